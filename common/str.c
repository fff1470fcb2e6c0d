#include "common/str.h"

#include <string.h>
#include <strings.h>

#include <xxhash.h>

#include "common/err.h"

struct str str_from_c(const char *c)
{
	return (struct str){.ptr = c ? c : "", .len = c ? strlen(c) : 0};
}

bool str_eq(struct str a, struct str b)
{
	return a.len == b.len && (!a.len || !memcmp(a.ptr, b.ptr, a.len));
}

int str_cmp(struct str a, struct str b)
{
	const size_t shorter = a.len < b.len ? a.len : b.len;
	const int order = shorter ? memcmp(a.ptr, b.ptr, shorter) : 0;

	if (order)
		return order;
	return (a.len > b.len) - (a.len < b.len);
}

bool str_eq_nocase(struct str a, struct str b)
{
	return a.len == b.len && (!a.len || !strncasecmp(a.ptr, b.ptr, a.len));
}

uint64_t str_hash(struct str s, uint64_t seed)
{
	return XXH3_64bits_withSeed(s.ptr, s.len, seed);
}

int str_to_u64(struct str s, uint64_t *out)
{
	uint64_t value = 0;

	if (!s.len)
		return PST_ERR_INVALID;
	for (size_t i = 0; i < s.len; i++) {
		const unsigned digit = (unsigned char)s.ptr[i] - '0';

		if (digit > 9 || value > (UINT64_MAX - digit) / 10)
			return PST_ERR_INVALID;
		value = value * 10 + digit;
	}
	*out = value;
	return 0;
}

static bool is_blank(char c)
{
	return c == ' ' || c == '\t';
}

struct str str_trim(struct str s)
{
	while (s.len && is_blank(s.ptr[0])) {
		s.ptr++;
		s.len--;
	}
	while (s.len && is_blank(s.ptr[s.len - 1]))
		s.len--;
	return s;
}

bool str_cut(struct str *rest, char c, struct str *part)
{
	const char *at = rest->len ? memchr(rest->ptr, c, rest->len) : NULL;
	const bool any = rest->len > 0;

	*part = *rest;
	if (at)
		part->len = (size_t)(at - rest->ptr);
	rest->ptr += part->len + (at ? 1 : 0);
	rest->len -= part->len + (at ? 1 : 0);
	*part = str_trim(*part);
	return any;
}

int strbuf_set(struct strbuf *buf, struct str s)
{
	if (s.len > STR_ID_MAX)
		return PST_ERR_INVALID;
	if (s.len)
		memcpy(buf->ptr, s.ptr, s.len);
	memset(buf->ptr + s.len, 0, sizeof(buf->ptr) - s.len);
	buf->len = (uint8_t)s.len;
	return 0;
}

struct str strbuf_str(const struct strbuf *buf)
{
	return (struct str){.ptr = buf->ptr, .len = buf->len};
}

bool strbuf_eq(const struct strbuf *a, const struct strbuf *b)
{
	return str_eq(strbuf_str(a), strbuf_str(b));
}
