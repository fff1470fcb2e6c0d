/*
 * Whether the head of a request is well-formed HTTP/1.x (RFC 9112). Pure
 * functions.
 *
 * libmicrohttpd takes folded, unnamed and repeated headers; here such a head
 * is malformed, so that no two parts of a path can read it differently.
 */
#ifndef ENTRYD_HCK_H
#define ENTRYD_HCK_H

#include <stdbool.h>

#include "common/str.h"

/* The head has not ended yet. */
#define HCK_PART 1

/* What was seen of one head; starts zeroed. */
struct hck {
	/* Bits of headers that may come once. */
	unsigned seen;
	/* HTTP/1.0, which needs no Host. */
	bool old;
	/* GET or HEAD. */
	bool idempotent;
	/* The blank line was reached. */
	bool whole;
	/* A header could not be read; it may have been a key. */
	bool unread;
};

/*
 * The request line. Returns 0, PST_ERR_REQ_MALFORMED or PST_ERR_REQ_VERSION.
 */
int hck_line(struct hck *hck, struct str method, struct str target,
	     struct str version);

/* A header. Returns 0, PST_ERR_REQ_MALFORMED or PST_ERR_REQ_TOO_LARGE. */
int hck_field(struct hck *hck, struct str name, struct str value);

/* The end of the head. Returns 0 or PST_ERR_REQ_MALFORMED. */
int hck_end(struct hck *hck);

/*
 * Checks a head from its first byte on; bytes behind it are not read.
 * Returns 0, HCK_PART, an error as above, or PST_ERR_REQ_HEAD_TOO_LARGE
 * when it has no end within limit bytes.
 */
int hck_head(struct hck *hck, struct str bytes, size_t limit);

/*
 * Whether it is sure that the request, turned away, has no key that another
 * entry may have run.
 */
bool hck_not_run(const struct hck *hck);

#endif
