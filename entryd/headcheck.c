#include "entryd/headcheck.h"

#include <ctype.h>
#include <string.h>

#include "common/err.h"

/* Any number of this many decimal digits fits 64 bits. */
#define MAX_LENGTH_DIGITS 18

enum unique_header {
	UNIQUE_HOST = 1 << 0,
	UNIQUE_LENGTH = 1 << 1,
	UNIQUE_CODING = 1 << 2,
	UNIQUE_KEY = 1 << 3,
	UNIQUE_DEADLINE = 1 << 4,
};

static bool is_token_char(unsigned char c)
{
	return isalnum(c) || (c && strchr("!#$%&'*+-.^_`|~", c));
}

static bool is_token(struct str text)
{
	for (size_t i = 0; i < text.len; i++) {
		if (!is_token_char((unsigned char)text.ptr[i]))
			return false;
	}
	return text.len > 0;
}

static bool is_target(struct str text)
{
	for (size_t i = 0; i < text.len; i++) {
		if (text.ptr[i] <= ' ' || text.ptr[i] >= 0x7f)
			return false;
	}
	return text.len > 0;
}

static bool is_value(struct str text)
{
	for (size_t i = 0; i < text.len; i++) {
		const unsigned char c = (unsigned char)text.ptr[i];

		if ((c < ' ' && c != '\t') || c == 0x7f)
			return false;
	}
	return true;
}

int headcheck_line(struct headcheck *headcheck, struct str method,
		   struct str target, struct str version)
{
	if (!is_token(method) || !is_target(target) || version.len != 8 ||
	    memcmp(version.ptr, "HTTP/", 5) != 0 ||
	    !isdigit((unsigned char)version.ptr[5]) || version.ptr[6] != '.' ||
	    !isdigit((unsigned char)version.ptr[7]))
		return PST_ERR_REQ_MALFORMED;
	headcheck->idempotent = str_eq(method, STR_LIT("GET")) ||
				str_eq(method, STR_LIT("HEAD"));
	headcheck->http_1_0 = version.ptr[7] == '0';
	return version.ptr[5] == '1' ? 0 : PST_ERR_REQ_VERSION;
}

static unsigned unique_header_bit(struct str name)
{
	static const struct {
		struct str name;
		unsigned bit;
	} list[] = {
		{STR_LIT("Host"), UNIQUE_HOST},
		{STR_LIT("Content-Length"), UNIQUE_LENGTH},
		{STR_LIT("Transfer-Encoding"), UNIQUE_CODING},
		{STR_LIT("Idempotency-Key"), UNIQUE_KEY},
		{STR_LIT("X-Deadline-Ms"), UNIQUE_DEADLINE},
	};

	for (size_t i = 0; i < sizeof(list) / sizeof(list[0]); i++) {
		if (str_eq_nocase(name, list[i].name))
			return list[i].bit;
	}
	return 0;
}

static int check_length(struct str value)
{
	for (size_t i = 0; i < value.len; i++) {
		if (!isdigit((unsigned char)value.ptr[i]))
			return PST_ERR_REQ_MALFORMED;
	}
	if (!value.len)
		return PST_ERR_REQ_MALFORMED;
	return value.len > MAX_LENGTH_DIGITS ? PST_ERR_REQ_TOO_LARGE : 0;
}

int headcheck_field(struct headcheck *headcheck, struct str name,
		    struct str value)
{
	const unsigned bit = unique_header_bit(name);

	value = str_trim(value);
	if (!is_token(name) || !is_value(value)) {
		headcheck->unparsed = true;
		return PST_ERR_REQ_MALFORMED;
	}
	if (headcheck->seen & bit)
		return PST_ERR_REQ_MALFORMED;
	headcheck->seen |= bit;
	if (bit == UNIQUE_LENGTH)
		return check_length(value);
	if (bit == UNIQUE_CODING && !str_eq_nocase(value, STR_LIT("chunked")))
		return PST_ERR_REQ_MALFORMED;
	return 0;
}

int headcheck_end(struct headcheck *headcheck)
{
	const unsigned both = UNIQUE_LENGTH | UNIQUE_CODING;

	headcheck->complete = true;
	if ((headcheck->seen & both) == both ||
	    (headcheck->http_1_0 && (headcheck->seen & UNIQUE_CODING)) ||
	    (!headcheck->http_1_0 && !(headcheck->seen & UNIQUE_HOST)))
		return PST_ERR_REQ_MALFORMED;
	return 0;
}

bool headcheck_not_run(const struct headcheck *headcheck)
{
	if (headcheck->idempotent)
		return true;
	return headcheck->complete && !headcheck->unparsed &&
	       !(headcheck->seen & UNIQUE_KEY);
}

/* Splits text at the first c; returns false if there is none. */
static bool cut(struct str text, char c, struct str *before, struct str *after)
{
	const char *at = text.len ? memchr(text.ptr, c, text.len) : NULL;

	if (!at)
		return false;
	before->ptr = text.ptr;
	before->len = (size_t)(at - text.ptr);
	after->ptr = at + 1;
	after->len = text.len - before->len - 1;
	return true;
}

static int request_line(struct headcheck *headcheck, struct str line)
{
	struct str method;
	struct str target;
	struct str rest;

	if (!cut(line, ' ', &method, &rest) || !cut(rest, ' ', &target, &rest))
		return PST_ERR_REQ_MALFORMED;
	return headcheck_line(headcheck, method, target, rest);
}

static int header_line(struct headcheck *headcheck, struct str line)
{
	struct str name;
	struct str value;

	if (!cut(line, ':', &name, &value)) {
		headcheck->unparsed = true;
		return PST_ERR_REQ_MALFORMED;
	}
	return headcheck_field(headcheck, name, value);
}

static int first_error(int first, int err)
{
	return first ? first : err;
}

int headcheck_head(struct headcheck *headcheck, struct str bytes, size_t limit)
{
	struct str rest = {.ptr = bytes.ptr,
			   .len = bytes.len < limit ? bytes.len : limit};
	struct str line;
	size_t lines = 0;
	int err = 0;

	/* A malformed head is parsed to its end, to find its key. */
	*headcheck = (struct headcheck){0};
	/* Input of another protocol may never contain an end of line. */
	if (rest.len && rest.ptr[0] != '\r' && rest.ptr[0] != '\n' &&
	    !is_token_char((unsigned char)rest.ptr[0]))
		return PST_ERR_REQ_MALFORMED;
	while (cut(rest, '\n', &line, &rest)) {
		if (line.len && line.ptr[line.len - 1] == '\r')
			line.len--;
		if (!line.len && lines)
			return first_error(err, headcheck_end(headcheck));
		if (!line.len)
			continue;
		err = first_error(err, lines ? header_line(headcheck, line)
					     : request_line(headcheck, line));
		lines++;
	}
	return bytes.len >= limit ? PST_ERR_REQ_HEAD_TOO_LARGE
				  : HEADCHECK_INCOMPLETE;
}
