/* Choice of the VM whose process is this home's witness. */
#ifndef POLICY_TKT_PICK_H
#define POLICY_TKT_PICK_H

#include "policy/tkt_key.h"
#include "policy/vml.h"

/* Most successors that can be asked for. */
#define TKT_SUCCESSORS_MAX 4

/* Why a witness was chosen. */
enum tkt_pick_why {
	/* Other failure domain of the same region. */
	TKT_PICK_NEAR,
	/* Other region: no candidate is left in this one. */
	TKT_PICK_FAR,
	/* Same failure domain: no other has a candidate. */
	TKT_PICK_SHARED_FATE,
};

struct tkt_pick {
	const struct vm *vm;
	enum tkt_pick_why why;
	/* Live entry VMs that were considered. */
	size_t candidates;
};

/*
 * Picks a live entry VM other than self, by rendezvous hashing of self's id
 * among the nearest kind of candidate. avoid marks VMs (one bool each, in the
 * list's order; NULL for none) that did not answer lately. Returns false when
 * there is none; vm borrows from the list.
 */
bool tkt_pick_witness(const struct vml *vml, const struct vm *self,
		      const bool *avoid, struct tkt_pick *out);

/*
 * Ranks the entry VMs, leaving ones included, that may hold the records of a
 * witness that stopped, by rendezvous hashing of the witness, which is left
 * out itself. Returns how many of the want best were found; they borrow from
 * the list.
 */
size_t tkt_pick_successors(const struct vml *vml, uint64_t witness,
			   const struct vm **out, size_t want);

/*
 * The VM to which self hands the records of a witness over: the first of that
 * ranking that is live and not self. NULL when the best TKT_SUCCESSORS_MAX
 * have none.
 */
const struct vm *tkt_pick_heir(const struct vml *vml, uint64_t witness,
			       uint64_t self);

const char *tkt_pick_why_name(enum tkt_pick_why why);

#endif
