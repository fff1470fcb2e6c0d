/* Writes the heads of messages that are forwarded to the next hop. */
#ifndef STEERD_PASS_H
#define STEERD_PASS_H

#include <apr_time.h>

#include "steerd/msg.h"

/*
 * Replaces the buffer's content by the head of the request to the upstream,
 * with the time left as its deadline. Returns 0 or PST_ERR_NOMEM.
 */
int pass_request(struct buf *out, const struct msg *request,
		 apr_interval_time_t left, struct str upstream);

/*
 * Appends the answer's header lines that are forwarded to the caller. Returns
 * 0 or PST_ERR_NOMEM.
 */
int pass_answer(struct buf *out, const struct msg *answer);

#endif
