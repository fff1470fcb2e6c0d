/* Table parts and VM lists to and from their messages (schema/table.x). */
#ifndef AGENT_TMSG_H
#define AGENT_TMSG_H

#include "policy/lsd.h"
#include "policy/tbl.h"
#include "policy/vml.h"
#include "schema/gen/table.h"

/*
 * Copies parts for a message that xdr_free() frees. Returns NULL when memory
 * is out or count is 0.
 */
table_part *tmsg_parts_copy(const struct tbl_part *parts, size_t count);

/* Borrows from the message; the array is owned by the caller (free()). */
struct tbl_part *tmsg_parts_borrow(const table_part *parts, size_t count);

/* Copies a list for a message that xdr_free() frees, or returns NULL. */
table_list *tmsg_list_copy(const struct vml *vml);

/* Returns 0 with one reference, PST_ERR_NOMEM or PST_ERR_PROTOCOL. */
int tmsg_list_take(struct vml **out, const table_list *list);

/* Copies a change of the list for a message, or returns NULL. */
table_delta *tmsg_delta_copy(const struct lsd_delta *delta);

/*
 * Makes the list that a received change leads to. Returns what lsd_patch()
 * does, or PST_ERR_PROTOCOL.
 */
int tmsg_delta_patch(const struct lsd *lsd, const table_delta *delta,
		     struct vml **out);

/* Revision of the last part of a page, or after when it has none. */
uint64_t tmsg_last_revision(const table_answer *answer, uint64_t after);

/* Codec of a call without arguments. */
bool_t tmsg_xdr_nothing(XDR *xdrs, ...);

/* An age for a message: milliseconds rounded up, TABLE_AGE_NEVER at most. */
u_int tmsg_age_ms(apr_interval_time_t age);

#endif
