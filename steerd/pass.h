/* Writes the heads of messages that are forwarded to the next hop. */
#ifndef STEERD_PASS_H
#define STEERD_PASS_H

#include <apr_time.h>

#include "steerd/msg.h"

/* What the system itself states in the head of a forwarded request. */
struct pass_fields {
	/* Time left until the deadline. */
	apr_interval_time_t left;
	struct str upstream;
	/* The caller's headers that name a key or tenant are dropped. */
	bool has_tenants;
	/* Name of the tenant; empty: none. */
	struct str tenant;
};

/*
 * Replaces the buffer's content by the head of the request to the upstream.
 * Returns 0 or PST_ERR_NOMEM.
 */
int pass_request(struct buf *out, const struct msg *request,
		 const struct pass_fields *fields);

/*
 * Appends the answer's header lines that are forwarded to the caller. Returns
 * 0 or PST_ERR_NOMEM.
 */
int pass_answer(struct buf *out, const struct msg *answer);

#endif
