#include "policy/tkt_pick.h"

static enum tkt_pick_reason distance(const struct vm *a, const struct vm *b)
{
	if (strbuf_eq(&a->domain, &b->domain))
		return TKT_PICK_SAME_DOMAIN;
	if (strbuf_eq(&a->region, &b->region))
		return TKT_PICK_SAME_REGION;
	return TKT_PICK_OTHER_REGION;
}

static bool is_candidate(const struct vm *vm, const struct vm *self)
{
	return vm->kind == VM_ENTRY && vm->state == VM_LIVE &&
	       !strbuf_eq(&vm->id, &self->id);
}

bool tkt_pick_witness(const struct vmlist *vmlist, const struct vm *self,
		      const bool *avoid, struct tkt_pick *out)
{
	const uint64_t seed = tkt_vm_hash(strbuf_str(&self->id));
	uint64_t best = 0;

	*out = (struct tkt_pick){.reason = TKT_PICK_SAME_DOMAIN};
	for (size_t i = 0; i < vmlist->count; i++) {
		const struct vm *vm = &vmlist->vms[i];
		const enum tkt_pick_reason reason = distance(vm, self);
		uint64_t score;

		if (!is_candidate(vm, self) || (avoid && avoid[i]))
			continue;
		out->candidates++;
		score = str_hash(strbuf_str(&vm->id), seed);
		if (out->vm && (reason > out->reason ||
				(reason == out->reason && score <= best)))
			continue;
		out->vm = vm;
		out->reason = reason;
		best = score;
	}
	return out->vm != NULL;
}

size_t tkt_pick_successors(const struct vmlist *vmlist, uint64_t witness,
			   const struct vm **out, size_t max)
{
	uint64_t scores[TKT_SUCCESSORS_MAX];
	size_t count = 0;

	if (max > TKT_SUCCESSORS_MAX)
		max = TKT_SUCCESSORS_MAX;
	for (size_t i = 0; i < vmlist->count; i++) {
		const struct vm *vm = &vmlist->vms[i];
		const uint64_t score = str_hash(strbuf_str(&vm->id), witness);
		size_t at = count;

		if (vm->kind != VM_ENTRY ||
		    tkt_vm_hash(strbuf_str(&vm->id)) == witness)
			continue;
		while (at > 0 && scores[at - 1] < score)
			at--;
		if (at == max)
			continue;
		if (count < max)
			count++;
		for (size_t j = count - 1; j > at; j--) {
			scores[j] = scores[j - 1];
			out[j] = out[j - 1];
		}
		scores[at] = score;
		out[at] = vm;
	}
	return count;
}

const struct vm *tkt_pick_live_successor(const struct vmlist *vmlist,
					 uint64_t witness, uint64_t self)
{
	const struct vm *vms[TKT_SUCCESSORS_MAX];
	const size_t count =
		tkt_pick_successors(vmlist, witness, vms, TKT_SUCCESSORS_MAX);

	for (size_t i = 0; i < count; i++) {
		if (vms[i]->state == VM_LIVE &&
		    tkt_vm_hash(strbuf_str(&vms[i]->id)) != self)
			return vms[i];
	}
	return NULL;
}

const char *tkt_pick_reason_name(enum tkt_pick_reason reason)
{
	switch (reason) {
	case TKT_PICK_SAME_REGION:
		return "near";
	case TKT_PICK_OTHER_REGION:
		return "far";
	case TKT_PICK_SAME_DOMAIN:
		return "shared_fate";
	}
	return "?";
}
