/* Which VMs of a failure domain hold the store's watch and pass changes on. */
#ifndef POLICY_RELAY_H
#define POLICY_RELAY_H

#include "policy/vml.h"

/* Relays of each failure domain. */
#define RELAY_PER_DOMAIN 2

/* Writes the live relays of a domain, best first. Returns how many. */
size_t relay_pick(const struct vml *vml, struct str domain,
		  const struct vm *out[RELAY_PER_DOMAIN]);

/* Whether the VM id is a relay of the domain. */
bool relay_is(const struct vml *vml, struct str domain, struct str id);

#endif
