/*
 * Picks the relays of a failure domain, which watch the store, and the trees of
 * VMs along which changes are passed on.
 */
#ifndef POLICY_RELAY_H
#define POLICY_RELAY_H

#include "policy/vmlist.h"

/* Relays of each failure domain. */
#define RELAY_PER_DOMAIN 2

/* Writes the live relays of a domain, first choice first; returns how many. */
size_t relay_pick(const struct vmlist *vmlist, struct str domain,
		  const struct vm *out[RELAY_PER_DOMAIN]);

/*
 * Writes the VMs to which the VM id passes a change on: the relays pass it to
 * each other and down a tree, so that each live VM of the domain gets it once
 * and none sends it more than RELAY_CHILDREN_MAX times. Returns how many, 0 for
 * a VM that isn't a live VM of the domain.
 */
#define RELAY_FANOUT	   8
#define RELAY_CHILDREN_MAX (RELAY_FANOUT + RELAY_PER_DOMAIN - 1)
size_t relay_children(const struct vmlist *vmlist, struct str domain,
		      struct str id, const struct vm *out[RELAY_CHILDREN_MAX]);

/*
 * Writes the relays to which a relay of the domain passes on a change that came
 * up in the domain root: those of the domain's children in a tree of all
 * domains with entry VMs, RELAY_FANOUT wide. Returns how many, 0 when root or
 * domain has no entry VM.
 */
#define RELAY_DOMAIN_CHILDREN_MAX (RELAY_FANOUT * RELAY_PER_DOMAIN)
size_t relay_domain_children(const struct vmlist *vmlist, struct str root,
			     struct str domain,
			     const struct vm *out[RELAY_DOMAIN_CHILDREN_MAX]);

/* Whether the VM id is a relay of the domain. */
bool relay_is(const struct vmlist *vmlist, struct str domain, struct str id);

#endif
