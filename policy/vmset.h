/*
 * The list of VMs that was in force when it last had not changed for a while,
 * so that all VMs know it. Pure.
 *
 * Designed for: decisions of the form "the first n VMs of the list may", which
 * must not be taken by more than n VMs while a change of the list spreads. A VM
 * that is among them by both the settled and the current list is among them by
 * the settled list, which all VMs share.
 */
#ifndef POLICY_VMSET_H
#define POLICY_VMSET_H

#include "policy/vms.h"

/* Zeroed memory is an empty set, which no VM is in. */
struct vmset {
	/* Hashes of the VMs' ids. Owned. */
	uint64_t *hashes;
	size_t count;
	/* Time of the change of the list after which it was taken. */
	apr_time_t of_change;
};

/*
 * Takes the list over if it has not changed for a while; changed_at is the time
 * of its last change. Without memory the set becomes empty.
 */
void vmset_update(struct vmset *set, const struct vms *vms,
		  apr_time_t changed_at, apr_time_t now);

bool vmset_has(const struct vmset *set, uint64_t vm);

void vmset_done(struct vmset *set);

#endif
