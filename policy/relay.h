/* Which VMs of a failure domain hold the store's watch, and who tells whom. */
#ifndef POLICY_RELAY_H
#define POLICY_RELAY_H

#include "policy/vml.h"

/* Relays of each failure domain. */
#define RELAY_PER_DOMAIN 2

/* Writes the live relays of a domain, best first. Returns how many. */
size_t relay_pick(const struct vml *vml, struct str domain,
		  const struct vm *out[RELAY_PER_DOMAIN]);

/*
 * Writes the VMs to which a VM passes a change on, so that each live VM of
 * the domain gets it once and none sends more than RELAY_CHILDREN_MAX times:
 * the relays pass it to each other and down a tree. Returns how many.
 */
#define RELAY_FANOUT	   8
#define RELAY_CHILDREN_MAX (RELAY_FANOUT + RELAY_PER_DOMAIN - 1)
size_t relay_children(const struct vml *vml, struct str domain, struct str id,
		      const struct vm *out[RELAY_CHILDREN_MAX]);

/*
 * Writes the relays to which a relay of the domain passes on what began at the
 * domain root: those of the domains below it in a tree over all domains with
 * live VMs, RELAY_FANOUT wide. Returns how many, 0 for a domain without any.
 */
#define RELAY_ACROSS_MAX (RELAY_FANOUT * RELAY_PER_DOMAIN)
size_t relay_across(const struct vml *vml, struct str root, struct str domain,
		    const struct vm *out[RELAY_ACROSS_MAX]);

/* Whether the VM id is a relay of the domain. */
bool relay_is(const struct vml *vml, struct str domain, struct str id);

#endif
