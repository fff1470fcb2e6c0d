#include "agent/tkt_dial.h"

#include "agent/tkt_wire.h"
#include "policy/tkt_key.h"

int tkt_dial(struct rpcc **out, const struct settings *set,
	     const struct clk *clk, const struct vm *vm, rpcprog_t prog)
{
	struct net_addr addr;
	const int err = net_addr_make(&addr, strbuf_str(&vm->address),
				      (uint16_t)set->entry.rpc_port);

	if (err)
		return err;
	return rpcc_create(out, set, clk, strbuf_str(&vm->region), &addr, prog,
			   TKT_VERS);
}

const struct vm *tkt_vm_find(const struct vmlist *vmlist, uint64_t hash)
{
	for (size_t i = 0; i < vmlist->count; i++) {
		const struct vm *vm = &vmlist->vms[i];

		if (vm->kind == VM_ENTRY &&
		    tkt_vm_hash(strbuf_str(&vm->id)) == hash)
			return vm;
	}
	return NULL;
}
