/* Parsers for the request line and headers of a request. Pure functions. */
#ifndef ENTRYD_HDR_H
#define ENTRYD_HDR_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "policy/tbl.h"

/* Size of a SHA-256 digest. */
#define HDR_DIGEST_BYTES 32

/*
 * Splits "/s/SERVICE/REST" into the service and "/REST".
 * Returns 0 or PST_ERR_REQ_PATH.
 */
int hdr_path(struct str path, struct strbuf *service, struct str *rest);

/*
 * Maps the urgency in a Priority header (RFC 9218) to a rank; normal if it
 * states none. Returns 0 or PST_ERR_REQ_HEADER.
 */
int hdr_priority(struct str value, enum rank *out);

/*
 * Parses an X-Deadline-Ms header: 1 ms to a day. Returns 0 or
 * PST_ERR_REQ_HEADER.
 */
int hdr_deadline(struct str value, uint32_t *ms);

/*
 * Strips the quotes of an Idempotency-Key. Returns 0, or PST_ERR_REQ_HEADER
 * unless 1 to max letters, digits or "-_.:~" remain.
 */
int hdr_key(struct str value, size_t max, struct str *out);

/* Whether a request id from the caller may be used as it is. */
bool hdr_request_id_ok(struct str value);

/* Whether a header is hop-by-hop, so that it is not forwarded. */
bool hdr_hop_by_hop(struct str name);

/*
 * Parses the sha-256 member of a Content-Digest header (RFC 9530).
 * Returns 0, PST_ERR_NOTFOUND (no such member) or PST_ERR_REQ_HEADER.
 */
int hdr_digest(struct str value, unsigned char out[HDR_DIGEST_BYTES]);

#endif
