/* XDR conversions of table parts and VM lists; see schema/table.x. */
#ifndef AGENT_TABLEMSG_H
#define AGENT_TABLEMSG_H

#include "policy/vmhist.h"
#include "policy/tbl.h"
#include "policy/vmlist.h"
#include "schema/gen/table.h"

/*
 * Copies parts for a message, to be freed by xdr_free(). Returns NULL when
 * memory is exhausted or count is 0.
 */
table_part *tablemsg_parts_encode(const struct tbl_part *parts, size_t count);

/*
 * Converts parts of a message. The results point into the message; the array
 * is freed by the caller, with free(). Returns NULL when memory is exhausted.
 */
struct tbl_part *tablemsg_parts_borrow(const table_part *parts, size_t count);

/* Copies a list for a message, to be freed by xdr_free(), or returns NULL. */
table_list *tablemsg_list_encode(const struct vmlist *vmlist);

/*
 * Creates the list of a message. Returns 0 with one reference, PST_ERR_NOMEM
 * or PST_ERR_PROTOCOL.
 */
int tablemsg_list_decode(struct vmlist **out, const table_list *list);

/* Copies a change of the list for a message, or returns NULL. */
table_delta *tablemsg_delta_encode(const struct vmhist_delta *delta);

/*
 * Creates the list that results from a received change. Returns what
 * vmhist_patch() returns, PST_ERR_NOMEM or PST_ERR_PROTOCOL.
 */
int tablemsg_delta_apply(const struct vmhist *vmhist, const table_delta *delta,
			 struct vmlist **out);

/* Returns the revision of a page's last part, or after when it has none. */
uint64_t tablemsg_last_revision(const table_answer *answer, uint64_t after);

/* XDR codec of a call without arguments. */
bool_t tablemsg_xdr_void(XDR *xdrs, ...);

/* Converts an age to milliseconds, rounded up, at most TABLE_AGE_NEVER. */
u_int tablemsg_age_ms(apr_interval_time_t age);

#endif
