/* Exchanges with the pst-controld of other VMs. One thread each. */
#ifndef CONTROLD_XCHG_H
#define CONTROLD_XCHG_H

#include "controld/node.h"

struct xchg;

/* Borrows set, clk and node. Returns 0 or PST_ERR_NOMEM. */
int xchg_create(struct xchg **out, const struct settings *set,
		const struct clk *clk, struct node *node);
void xchg_destroy(struct xchg *xchg);

/*
 * Takes what the VM has that is newer, its confirmation, its list and its
 * domains' reports. Returns 0 or an error of rpcc_call().
 */
int xchg_sync(struct xchg *xchg, const struct vm *vm);

/*
 * Asks the VM for its status; *asked_at is when. The status is freed by
 * xdr_free(). Returns 0 or an error of rpcc_call().
 */
int xchg_status(struct xchg *xchg, const struct vm *vm, table_status *out,
		apr_time_t *asked_at);

/* Sends a change one way. Returns 0 or an error of rpcc_send(). */
int xchg_push(struct xchg *xchg, const struct vm *vm, table_change *change);

/* Sends marks one way. Returns 0 or the call's error. */
int xchg_marks(struct xchg *xchg, const struct vm *vm, table_marks *marks);

#endif
