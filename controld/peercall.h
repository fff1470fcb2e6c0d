/*
 * RPC calls to the pst-controld of other VMs. An instance is used by one
 * thread only.
 */
#ifndef CONTROLD_PEERCALL_H
#define CONTROLD_PEERCALL_H

#include "controld/node.h"

struct peercall;

/* Borrows set, clk and node. Returns 0 or PST_ERR_NOMEM. */
int peercall_create(struct peercall **out, const struct settings *set,
		    const struct clk *clk, struct node *node);
void peercall_destroy(struct peercall *peercall);

/*
 * Fetches the newer changes of the VM's table, its confirmation, its VM list,
 * marks and reports of absent VMs. Returns 0, an error of rpcc_call()
 * or one of taking the parts.
 */
int peercall_sync(struct peercall *peercall, const struct vm *vm);

/*
 * Asks the VM for its status; *asked_at is the time before the call. The status
 * is freed by xdr_free(). Returns 0 or an error of rpcc_call().
 */
int peercall_status(struct peercall *peercall, const struct vm *vm,
		    table_status *out, apr_time_t *asked_at);

/* Sends a change without a reply. Returns 0 or an error of rpcc_send(). */
int peercall_push(struct peercall *peercall, const struct vm *vm,
		  table_change *change);

/* Sends marks without a reply. Returns 0 or an error of rpcc_send(). */
int peercall_marks(struct peercall *peercall, const struct vm *vm,
		   table_marks *marks);

#endif
