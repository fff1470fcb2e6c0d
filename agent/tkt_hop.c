#include "agent/tkt_hop.h"

#include "policy/tkt_pick.h"

/* Successors that are asked; two, as the list may lag by one VM. */
#define MAX_SUCCESSORS 2

static uint64_t successor(const struct vmlist *vmlist, uint64_t witness,
			  uint32_t rank)
{
	const struct vm *vms[MAX_SUCCESSORS];

	if (!vmlist ||
	    tkt_pick_successors(vmlist, witness, vms, MAX_SUCCESSORS) <= rank)
		return 0;
	return tkt_vm_hash(strbuf_str(&vms[rank]->id));
}

uint64_t tkt_hop_next(const struct vmlist *vmlist, struct tkt_call *call,
		      struct tkt_ruling *ruling)
{
	uint64_t vm = 0;

	if (ruling->grant != TKT_GRANT_NO_REPLY &&
	    ruling->grant != TKT_GRANT_LOST)
		return 0;
	if (!call->hop)
		call->witness_grant = ruling->grant;
	if (call->hop < MAX_SUCCESSORS)
		vm = successor(vmlist, call->witness, call->hop);
	call->hop++;
	if (!vm)
		ruling->grant = call->witness_grant;
	return vm;
}
