/*
 * What accounts need of the list of VMs: this VM's place in it, whether it has
 * joined, and the VMs that have left.
 */
#ifndef STEERD_ACCTLIST_H
#define STEERD_ACCTLIST_H

#include <netinet/in.h>

#include "steerd/accounts.h"

/* Takes in the list; returns whether it has changed since the last call. */
bool acctlist_update(struct accounts *accounts);

/*
 * Adds the VMs that left the list lately to a copy of it. Returns when the
 * last one left, 0 if none did, and the present time without memory.
 */
apr_time_t acctlist_add_left(const struct accounts *accounts, struct vms *out);

/* The number of a VM that left lately, as for acct_send(), or NONE. */
int acctlist_find_left(const struct accounts *accounts,
		       const struct sockaddr_in *from);

#endif
