/* RPC clients of another entry process's at-most-once programs. */
#ifndef AGENT_TKT_DIAL_H
#define AGENT_TKT_DIAL_H

#include "common/rpcc.h"
#include "policy/vmlist.h"

/*
 * Creates a client of prog on the VM. Borrows set and clk. Returns 0,
 * PST_ERR_INVALID for an address that cannot be parsed, or PST_ERR_NOMEM.
 */
int tkt_dial(struct rpcc **out, const struct settings *set,
	     const struct clk *clk, const struct vm *vm, rpcprog_t prog);

/* Finds an entry VM by the hash of its id; returns NULL if there is none. */
const struct vm *tkt_vm_find(const struct vmlist *vmlist, uint64_t hash);

#endif
