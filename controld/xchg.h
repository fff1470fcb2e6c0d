/*
 * RPC calls to the pst-controld of other VMs. An instance is used by one
 * thread only.
 */
#ifndef CONTROLD_XCHG_H
#define CONTROLD_XCHG_H

#include "controld/node.h"

struct xchg;

/* Borrows set, clk and node. Returns 0 or PST_ERR_NOMEM. */
int xchg_create(struct xchg **out, const struct settings *set,
		const struct clk *clk, struct node *node);
void xchg_destroy(struct xchg *xchg);

/*
 * Fetches the newer changes of the VM's table, its confirmation, its VM list,
 * marks and reports of absent VMs. Returns 0, an error of rpcc_call()
 * or one of taking the parts.
 */
int xchg_sync(struct xchg *xchg, const struct vm *vm);

/*
 * Asks the VM for its status; *asked_at is the time before the call. The status
 * is freed by xdr_free(). Returns 0 or an error of rpcc_call().
 */
int xchg_status(struct xchg *xchg, const struct vm *vm, table_status *out,
		apr_time_t *asked_at);

/* Sends a change without a reply. Returns 0 or an error of rpcc_send(). */
int xchg_push(struct xchg *xchg, const struct vm *vm, table_change *change);

/* Sends marks without a reply. Returns 0 or an error of rpcc_send(). */
int xchg_marks(struct xchg *xchg, const struct vm *vm, table_marks *marks);

#endif
