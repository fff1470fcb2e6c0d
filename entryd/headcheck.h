/*
 * Checks that the head of a request is well-formed HTTP/1.x (RFC 9112). Pure
 * functions.
 *
 * libmicrohttpd accepts folded, unnamed and repeated headers. Here such a head
 * is malformed, so that no two hops can interpret it differently.
 */
#ifndef ENTRYD_HEADCHECK_H
#define ENTRYD_HEADCHECK_H

#include <stdbool.h>

#include "common/str.h"

/* The end of the head has not arrived yet. */
#define HEADCHECK_INCOMPLETE 1

/* State of the check of one head; starts zeroed. */
struct headcheck {
	/* Set of headers seen that may occur only once. */
	unsigned seen;
	/* HTTP/1.0, which requires no Host header. */
	bool http_1_0;
	/* GET or HEAD. */
	bool idempotent;
	/* The blank line at the end was reached. */
	bool complete;
	/* A header could not be parsed; it may have been a key. */
	bool unparsed;
};

/*
 * Checks the request line. Returns 0, PST_ERR_REQ_MALFORMED or
 * PST_ERR_REQ_VERSION.
 */
int headcheck_line(struct headcheck *headcheck, struct str method,
		   struct str target, struct str version);

/*
 * Checks a header. Returns 0, PST_ERR_REQ_MALFORMED or PST_ERR_REQ_TOO_LARGE.
 */
int headcheck_field(struct headcheck *headcheck, struct str name,
		    struct str value);

/*
 * Checks the head as a whole, at its end. Returns 0 or PST_ERR_REQ_MALFORMED.
 */
int headcheck_end(struct headcheck *headcheck);

/*
 * Checks a head from its first byte on; bytes after its end are ignored.
 * Returns 0, HEADCHECK_INCOMPLETE, an error as above, or
 * PST_ERR_REQ_HEAD_TOO_LARGE if it does not end within limit bytes.
 */
int headcheck_head(struct headcheck *headcheck, struct str bytes, size_t limit);

/*
 * Whether a request that is refused certainly did not run: it has no
 * idempotency key under which another entry may have run it.
 */
bool headcheck_not_run(const struct headcheck *headcheck);

#endif
