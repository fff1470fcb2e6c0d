/*
 * One HTTP/1.1 message, request or answer, parsed as its bytes arrive
 * (http-parser). The whole body is kept in memory.
 */
#ifndef STEERD_MSG_H
#define STEERD_MSG_H

#include <http_parser.h>
#include <stdbool.h>

#include "common/buf.h"

/* Most headers of one message; more are refused as MSG_HEAD_TOO_LARGE. */
#define MSG_MAX_FIELDS 96

enum msg_state {
	MSG_INCOMPLETE,
	MSG_COMPLETE,
	/*
	 * Not HTTP, a status that is not in 100 to 599 or that a response here
	 * can't have, a transfer coding other than chunked, incomplete when the
	 * connection ended, or out of memory.
	 */
	MSG_INVALID,
	MSG_HEAD_TOO_LARGE,
	MSG_BODY_TOO_LARGE,
};

/* A part of msg.text. */
struct msg_span {
	uint32_t offset;
	uint32_t len;
};

struct msg_field {
	struct msg_span name;
	struct msg_span value;
};

struct msg {
	struct http_parser parser;
	/* Target, header names and values, concatenated. */
	struct buf text;
	struct msg_span target;
	struct msg_field fields[MSG_MAX_FIELDS];
	unsigned field_count;
	struct buf body;
	size_t max_head;
	size_t max_body;
	enum msg_state state;
	/* The last header's value has begun. */
	bool in_value;
	bool head_done;
	/* The answer to a HEAD request, without a body. Set by the caller. */
	bool bodyless;
	/* The head announces a body where the status excludes one. */
	bool body_excluded;
	/* At least one byte was parsed. */
	bool begun;
	/* Bytes of the status line checked; no more than its status needs. */
	unsigned line_len;
	/* Bytes of the line end behind a chunk that are to come. */
	unsigned chunk_end_left;
	/* End of the bytes being parsed. */
	const char *data_end;
};

/* Starts a new message; keeps the buffers of an earlier one. */
void msg_init(struct msg *msg, enum http_parser_type type, size_t max_head,
	      size_t max_body);
void msg_free(struct msg *msg);

/* Parses up to the end of the message; *used is the count of bytes parsed. */
enum msg_state msg_parse(struct msg *msg, struct str data, size_t *used);

/*
 * The connection ended, which completes an answer of undeclared length.
 * Returns the final state.
 */
enum msg_state msg_eof(struct msg *msg);

struct str msg_text(const struct msg *msg, struct msg_span span);
struct str msg_target(const struct msg *msg);
struct str msg_name(const struct msg *msg, unsigned field);
struct str msg_value(const struct msg *msg, unsigned field);

/* The first header of this name, or an empty string. */
struct str msg_header(const struct msg *msg, struct str name);

/* Whether its connection may carry another message. */
bool msg_keep_alive(const struct msg *msg);

/*
 * Whether a Keep-Alive header states, in seconds, how long the connection is
 * kept open while it is idle.
 */
bool msg_idle_timeout(const struct msg *msg, uint64_t *s);

/* Whether the head is complete and states the length of the body. */
bool msg_states_length(const struct msg *msg);

/*
 * Whether a header concerns one connection only, or the length of the body,
 * and so is not passed on.
 */
bool msg_is_hop_by_hop(const struct msg *msg, unsigned field);

#endif
