/* Conversion of limits and splits to and from RPC messages. */
#ifndef AGENT_QUOTA_MSG_H
#define AGENT_QUOTA_MSG_H

#include "agent/quota_split.h"
#include "policy/lending_node.h"
#include "schema/gen/share.h"

/* XDR filter for procedures without arguments or results. */
bool_t quota_msg_xdr_none(XDR *xdrs, ...);

/* Returns a random number that identifies a run of this process. */
uint64_t quota_msg_incarnation(void);

/*
 * Fills in a request, to be freed with xdr_free(). Returns 0 or PST_ERR_NOMEM
 * with nothing allocated.
 */
int quota_msg_borrow_make(struct shr_x_borrow *out, struct str vm,
			  uint64_t incarnation, enum shr_level level,
			  struct str lender, const struct lending_ask *asks,
			  size_t count);

/* Copies an answer's grants. Returns how many, at most count. */
size_t quota_msg_grants(const struct shr_x_lent *lent,
			struct lending_grant *out, size_t count);

/*
 * Fills in the splits of rows on the way to their goals, to be freed with
 * xdr_free(). Returns 0 or PST_ERR_NOMEM with nothing allocated.
 */
int quota_msg_splits_make(struct shr_x_splits *out, struct splitter *splitter);

/* Replaces the splits of rows by those of peer from. */
void quota_msg_splits_adopt(struct splitter *splitter, apr_time_t now,
			    struct str from, const struct shr_x_splits *splits);

#endif
