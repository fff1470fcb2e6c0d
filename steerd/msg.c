#include "steerd/msg.h"

#include <string.h>

/* Final statuses, and the interim one that ends HTTP on the connection. */
#define STATUS_FINAL_MIN	   200
#define STATUS_MAX		   599
#define STATUS_SWITCHING_PROTOCOLS 101
#define STATUS_NO_CONTENT	   204
#define STATUS_NOT_MODIFIED	   304

/* Offsets of the status and of the byte behind it, in a status line. */
#define STATUS_OFFSET (sizeof("HTTP/1.1 ") - 1)
#define STATUS_END    (STATUS_OFFSET + 3)

static struct msg *msg_of(struct http_parser *parser)
{
	return parser->data;
}

static int append_text(struct msg *msg, struct msg_span *span, const char *at,
		       size_t len)
{
	if (msg->text.len + len > msg->max_head)
		msg->state = MSG_HEAD_TOO_LARGE;
	else if (buf_add(&msg->text, (struct str){.ptr = at, .len = len}))
		msg->state = MSG_INVALID;
	span->len += (uint32_t)len;
	return msg->state == MSG_INCOMPLETE ? 0 : -1;
}

static int on_url(struct http_parser *parser, const char *at, size_t len)
{
	struct msg *msg = msg_of(parser);

	return append_text(msg, &msg->target, at, len);
}

static int on_field(struct http_parser *parser, const char *at, size_t len)
{
	struct msg *msg = msg_of(parser);
	struct msg_field *field;

	/* Trailers are not passed on. */
	if (msg->head_done)
		return 0;
	/* http-parser accepts them; other parsers trim or ignore them. */
	if (memchr(at, ' ', len)) {
		msg->state = MSG_INVALID;
		return -1;
	}
	if (msg->in_value || !msg->field_count) {
		if (msg->field_count == MSG_MAX_FIELDS) {
			msg->state = MSG_HEAD_TOO_LARGE;
			return -1;
		}
		field = &msg->fields[msg->field_count++];
		field->name = (struct msg_span){(uint32_t)msg->text.len, 0};
		field->value = field->name;
		msg->in_value = false;
	}
	field = &msg->fields[msg->field_count - 1];
	return append_text(msg, &field->name, at, len);
}

static int on_value(struct http_parser *parser, const char *at, size_t len)
{
	struct msg *msg = msg_of(parser);
	struct msg_field *field;

	if (msg->head_done)
		return 0;
	field = &msg->fields[msg->field_count - 1];
	if (!msg->in_value)
		field->value.offset = (uint32_t)msg->text.len;
	msg->in_value = true;
	return append_text(msg, &field->value, at, len);
}

static bool is_interim(const struct http_parser *parser)
{
	return parser->type == HTTP_RESPONSE &&
	       parser->status_code < STATUS_FINAL_MIN;
}

/* Whether the head announces a body of at least one byte. */
static bool announces_body(const struct http_parser *parser)
{
	return (parser->flags & F_CHUNKED) || parser->uses_transfer_encoding ||
	       (parser->content_length != UINT64_MAX && parser->content_length);
}

/*
 * Whether the head is one of a response. A body of an interim response can't
 * be told from the final response.
 */
static bool is_valid_response(const struct http_parser *parser)
{
	const unsigned status = parser->status_code;

	return status <= STATUS_MAX && status != STATUS_SWITCHING_PROTOCOLS &&
	       !parser->upgrade &&
	       !(is_interim(parser) && announces_body(parser));
}

/* Whether the status excludes a body, whatever the headers state. */
static bool excludes_body(const struct http_parser *parser)
{
	return parser->type == HTTP_RESPONSE &&
	       (is_interim(parser) ||
		parser->status_code == STATUS_NO_CONTENT ||
		parser->status_code == STATUS_NOT_MODIFIED);
}

/*
 * Whether the body is delimited by a length, by chunks alone or by the end of
 * the connection. Other codings can't be decoded, and aren't passed on either.
 */
static bool has_known_framing(const struct msg *msg)
{
	unsigned codings = 0;

	for (unsigned i = 0; i < msg->field_count; i++) {
		if (!str_eq_nocase(msg_name(msg, i),
				   STR_LIT("Transfer-Encoding")))
			continue;
		if (codings++ || !(msg->parser.flags & F_CHUNKED) ||
		    !str_eq_nocase(str_trim(msg_value(msg, i)),
				   STR_LIT("chunked")))
			return false;
	}
	return true;
}

static int on_head(struct http_parser *parser)
{
	struct msg *msg = msg_of(parser);

	msg->head_done = true;
	if (parser->type == HTTP_RESPONSE && !is_valid_response(parser)) {
		msg->state = MSG_INVALID;
		return -1;
	}
	if (excludes_body(parser)) {
		/* Its bytes may arrive after the connection was reused. */
		msg->body_excluded = announces_body(parser);
		return 1;
	}
	if (parser->type == HTTP_RESPONSE && !msg->bodyless &&
	    !has_known_framing(msg)) {
		msg->state = MSG_INVALID;
		return -1;
	}
	if (parser->content_length != UINT64_MAX &&
	    parser->content_length > msg->max_body && !msg->bodyless) {
		msg->state = MSG_BODY_TOO_LARGE;
		return -1;
	}
	return msg->bodyless ? 1 : 0;
}

/*
 * Whether a line end follows a chunk, as far as its bytes are there.
 * http-parser skips two bytes.
 */
static bool check_chunk_end(struct msg *msg, const char *at)
{
	for (; msg->chunk_end_left && at < msg->data_end; at++) {
		if (*at != (msg->chunk_end_left == 2 ? '\r' : '\n'))
			return false;
		msg->chunk_end_left--;
	}
	return true;
}

static int on_body(struct http_parser *parser, const char *at, size_t len)
{
	struct msg *msg = msg_of(parser);

	if ((parser->flags & F_CHUNKED) && !parser->content_length) {
		msg->chunk_end_left = 2;
		if (!check_chunk_end(msg, at + len)) {
			msg->state = MSG_INVALID;
			return -1;
		}
	}
	if (msg->body.len + len > msg->max_body)
		msg->state = MSG_BODY_TOO_LARGE;
	else if (buf_add(&msg->body, (struct str){.ptr = at, .len = len}))
		msg->state = MSG_INVALID;
	return msg->state == MSG_INCOMPLETE ? 0 : -1;
}

static void discard_interim(struct msg *msg)
{
	buf_reset(&msg->text);
	buf_reset(&msg->body);
	msg->field_count = 0;
	msg->in_value = false;
	msg->head_done = false;
	msg->line_len = 0;
}

static int on_done(struct http_parser *parser)
{
	struct msg *msg = msg_of(parser);

	/* The final answer follows an interim one. */
	if (is_interim(parser))
		discard_interim(msg);
	else
		msg->state = MSG_COMPLETE;
	http_parser_pause(parser, 1);
	return 0;
}

static const struct http_parser_settings callbacks = {
	.on_url = on_url,
	.on_header_field = on_field,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_done,
};

void msg_init(struct msg *msg, enum http_parser_type type, size_t max_head,
	      size_t max_body)
{
	struct buf text = msg->text;
	struct buf body = msg->body;

	buf_reset(&text);
	buf_reset(&body);
	memset(msg, 0, offsetof(struct msg, fields));
	memset(&msg->field_count, 0,
	       sizeof(*msg) - offsetof(struct msg, field_count));
	msg->text = text;
	msg->body = body;
	msg->max_head = max_head;
	msg->max_body = max_body;
	http_parser_init(&msg->parser, type);
	msg->parser.data = msg;
}

void msg_free(struct msg *msg)
{
	buf_free(&msg->text);
	buf_free(&msg->body);
}

/*
 * Whether the bytes of a status line hold three digits where the status is.
 * http-parser also accepts fewer, and zeros in front of them.
 */
static bool check_status(struct msg *msg, struct str data)
{
	for (size_t i = 0; i < data.len && msg->line_len <= STATUS_END; i++) {
		const char c = data.ptr[i];
		const bool digit = c >= '0' && c <= '9';

		/* http-parser skips empty lines in front, and spaces. */
		if ((!msg->line_len && (c == '\r' || c == '\n')) ||
		    (msg->line_len == STATUS_OFFSET && c == ' '))
			continue;
		if (msg->line_len >= STATUS_OFFSET &&
		    digit != (msg->line_len < STATUS_END))
			return false;
		/* No status has a zero in front. */
		if (msg->line_len == STATUS_OFFSET && c == '0')
			return false;
		msg->line_len++;
	}
	return true;
}

/* Parses up to the end of the next answer, interim or final. */
static size_t parse_one(struct msg *msg, struct str data)
{
	msg->data_end = data.ptr + data.len;
	if (!check_chunk_end(msg, data.ptr) ||
	    (msg->parser.type == HTTP_RESPONSE && !check_status(msg, data))) {
		msg->state = MSG_INVALID;
		return 0;
	}
	http_parser_pause(&msg->parser, 0);
	return http_parser_execute(&msg->parser, &callbacks, data.ptr,
				   data.len);
}

enum msg_state msg_parse(struct msg *msg, struct str data, size_t *used)
{
	*used = 0;
	if (msg->state != MSG_INCOMPLETE || !data.len)
		return msg->state;
	msg->begun = true;
	do {
		const struct str rest = {.ptr = data.ptr + *used,
					 .len = data.len - *used};

		*used += parse_one(msg, rest);
	} while (msg->state == MSG_INCOMPLETE && *used < data.len &&
		 HTTP_PARSER_ERRNO(&msg->parser) == HPE_PAUSED);
	if (msg->state == MSG_COMPLETE && msg->parser.upgrade &&
	    *used < data.len)
		return msg->state;
	if (msg->state == MSG_INCOMPLETE &&
	    HTTP_PARSER_ERRNO(&msg->parser) != HPE_OK &&
	    HTTP_PARSER_ERRNO(&msg->parser) != HPE_PAUSED)
		msg->state = MSG_INVALID;
	return msg->state;
}

enum msg_state msg_eof(struct msg *msg)
{
	if (msg->state == MSG_INCOMPLETE && msg->begun)
		http_parser_execute(&msg->parser, &callbacks, NULL, 0);
	if (msg->state == MSG_INCOMPLETE)
		msg->state = MSG_INVALID;
	return msg->state;
}

struct str msg_text(const struct msg *msg, struct msg_span span)
{
	if (!msg->text.ptr)
		return STR_LIT("");
	return (struct str){.ptr = msg->text.ptr + span.offset,
			    .len = span.len};
}

struct str msg_target(const struct msg *msg)
{
	return msg_text(msg, msg->target);
}

struct str msg_name(const struct msg *msg, unsigned field)
{
	return msg_text(msg, msg->fields[field].name);
}

struct str msg_value(const struct msg *msg, unsigned field)
{
	return msg_text(msg, msg->fields[field].value);
}

struct str msg_header(const struct msg *msg, struct str name)
{
	for (unsigned i = 0; i < msg->field_count; i++) {
		if (str_eq_nocase(msg_name(msg, i), name))
			return msg_value(msg, i);
	}
	return STR_LIT("");
}

bool msg_keep_alive(const struct msg *msg)
{
	return !msg->body_excluded && http_should_keep_alive(&msg->parser);
}

bool msg_idle_timeout(const struct msg *msg, uint64_t *s)
{
	const struct str value = msg_header(msg, STR_LIT("Keep-Alive"));
	const struct str name = STR_LIT("timeout=");

	for (size_t i = 0; i + name.len < value.len; i++) {
		struct str digits = {.ptr = value.ptr + i + name.len};

		if (!str_eq_nocase(
			    (struct str){.ptr = value.ptr + i, .len = name.len},
			    name))
			continue;
		while (i + name.len + digits.len < value.len &&
		       digits.ptr[digits.len] >= '0' &&
		       digits.ptr[digits.len] <= '9')
			digits.len++;
		if (!str_to_u64(digits, s))
			return true;
	}
	return false;
}

bool msg_states_length(const struct msg *msg)
{
	return msg->head_done && !(msg->parser.flags & F_CHUNKED) &&
	       msg->parser.content_length != UINT64_MAX;
}

/* Whether the comma-separated list names the token. */
static bool lists(struct str list, struct str token)
{
	struct str part;

	while (str_cut(&list, ',', &part)) {
		if (str_eq_nocase(part, token))
			return true;
	}
	return false;
}

bool msg_is_hop_by_hop(const struct msg *msg, unsigned field)
{
	static const struct str names[] = {
		STR_LIT("Connection"),	     STR_LIT("Keep-Alive"),
		STR_LIT("Proxy-Connection"), STR_LIT("TE"),
		STR_LIT("Trailer"),	     STR_LIT("Transfer-Encoding"),
		STR_LIT("Upgrade"),	     STR_LIT("Content-Length"),
		STR_LIT("Expect"),
	};
	const struct str name = msg_name(msg, field);

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (name.len == names[i].len && str_eq_nocase(name, names[i]))
			return true;
	}
	for (unsigned i = 0; i < msg->field_count; i++) {
		if (str_eq_nocase(msg_name(msg, i), STR_LIT("Connection")) &&
		    lists(msg_value(msg, i), name))
			return true;
	}
	return false;
}
