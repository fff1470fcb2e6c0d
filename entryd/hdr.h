/* What the entry reads from a request's line and headers. Pure functions. */
#ifndef ENTRYD_HDR_H
#define ENTRYD_HDR_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"
#include "policy/tbl.h"

/* SHA-256, in bytes. */
#define HDR_DIGEST_BYTES 32

/*
 * Splits "/s/SERVICE/REST" into the service and "/REST".
 * Returns 0 or PST_ERR_REQ_PATH.
 */
int hdr_path(struct str path, struct strbuf *service, struct str *rest);

/*
 * Rank asked for by a Priority header (RFC 9218); normal when there is no
 * urgency in it. Returns 0 or PST_ERR_REQ_HEADER.
 */
int hdr_priority(struct str value, enum rank *out);

/* Milliseconds of an X-Deadline-Ms header, 1 to a day; or an error. */
int hdr_deadline(struct str value, uint32_t *ms);

/*
 * Strips the quotes of an Idempotency-Key. Returns 0, or PST_ERR_REQ_HEADER
 * unless 1 to max letters, digits or "-_.:~" remain.
 */
int hdr_key(struct str value, size_t max, struct str *out);

/* Whether a request id may be taken over from the caller. */
bool hdr_request_id_ok(struct str value);

/* Whether the header belongs to one connection and is not passed on. */
bool hdr_hop_by_hop(struct str name);

/*
 * Reads the sha-256 member of a Content-Digest header (RFC 9530).
 * Returns 0, PST_ERR_NOTFOUND (no such member) or PST_ERR_REQ_HEADER.
 */
int hdr_digest(struct str value, unsigned char out[HDR_DIGEST_BYTES]);

#endif
