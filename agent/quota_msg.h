/* Conversions between the limits' policies and their messages. */
#ifndef AGENT_QUOTA_MSG_H
#define AGENT_QUOTA_MSG_H

#include "agent/quota_split.h"
#include "policy/shr_node.h"
#include "schema/gen/share.h"

/* Encodes and decodes nothing. */
bool_t qm_xdr_none(XDR *xdrs, ...);

/* A number that no other process has, in this run or another. */
uint64_t qm_incarnation(void);

/*
 * Fills in a request; its asks are allocated and freed with xdr_free().
 * Returns 0 or PST_ERR_NOMEM.
 */
int qm_borrow_make(struct shr_x_borrow *out, struct str vm,
		   uint64_t incarnation, enum shr_level level,
		   struct str lender, const struct shr_ask *asks, size_t count);

/* Copies an answer's grants; returns how many, at most count. */
size_t qm_grants(const struct shr_x_lent *lent, struct shr_grant *out,
		 size_t count);

/*
 * Fills in the rows on the way to their goal; freed with xdr_free().
 * Returns 0 or PST_ERR_NOMEM.
 */
int qm_splits_make(struct shr_x_splits *out, struct qs *qs);

/* Starts rows from a peer's splits. */
void qm_splits_adopt(struct qs *qs, apr_time_t now, struct str from,
		     const struct shr_x_splits *splits);

#endif
