/* Choice of the VMs that act as a home's witness and as its successors. */
#ifndef POLICY_TKT_PICK_H
#define POLICY_TKT_PICK_H

#include "policy/tkt_key.h"
#include "policy/vmlist.h"

/* Maximum number of successors that can be ranked. */
#define TKT_SUCCESSORS_MAX 4

/* Relation of a witness to its home, from the preferred one down. */
enum tkt_pick_reason {
	/* Another failure domain of the same region. */
	TKT_PICK_SAME_REGION,
	/* Another region: the region has no candidate of another domain. */
	TKT_PICK_OTHER_REGION,
	/* The same failure domain: no other domain has a candidate. */
	TKT_PICK_SAME_DOMAIN,
};

struct tkt_pick {
	const struct vm *vm;
	enum tkt_pick_reason reason;
	/* Live entry VMs that were considered. */
	size_t candidates;
};

/*
 * Picks a live entry VM other than self: by rendezvous hashing of self's id
 * among the candidates with the best tkt_pick_reason. avoid marks VMs that
 * failed recently (one bool each, in the list's order; NULL for none). Returns
 * false when there is no candidate. out->vm points into the list.
 */
bool tkt_pick_witness(const struct vmlist *vmlist, const struct vm *self,
		      const bool *avoid, struct tkt_pick *out);

/*
 * Ranks the entry VMs, including leaving ones, that may hold the records of a
 * stopped witness: by rendezvous hashing of the witness, which is excluded.
 * Returns how many were found, at most max and TKT_SUCCESSORS_MAX. The results
 * point into the list.
 */
size_t tkt_pick_successors(const struct vmlist *vmlist, uint64_t witness,
			   const struct vm **out, size_t max);

/*
 * Returns the VM to which self hands over the records of a witness: the first
 * in the ranking of tkt_pick_successors() that is live and not self. Returns
 * NULL when there is none among the first TKT_SUCCESSORS_MAX.
 */
const struct vm *tkt_pick_live_successor(const struct vmlist *vmlist,
					 uint64_t witness, uint64_t self);

const char *tkt_pick_reason_name(enum tkt_pick_reason reason);

#endif
