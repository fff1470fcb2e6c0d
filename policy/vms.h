/*
 * List of the VMs that hold a lease in the store, and the choice of those
 * whose addresses a caller gets from the look-up. Pure.
 */
#ifndef POLICY_VMS_H
#define POLICY_VMS_H

#include <stdbool.h>

#include <apr_time.h>

#include "policy/geo.h"

/* Most VMs; the long-term target is 6,800. */
#define VMS_MAX 8192

/* Most addresses in one answer of the look-up. */
#define VMS_MAX_ANSWER 64

struct vms_entry {
	struct strbuf id;
	/* "ADDRESS:PORT" for callers. */
	struct strbuf front;
	/* "ADDRESS:PORT" for other VMs; empty: it accepts no calls. */
	struct strbuf peer;
	/* Bandwidth of its link in Mbit/s; 0 if it states none. */
	unsigned link_mbps;
	uint64_t hash;
	int domain;
	int region;
	/* End of use, where the lease expired in an outage; else 0. */
	apr_time_t hold_until;
	/*
	 * It left, and a restored store lists it: callers are not sent there
	 * until then, when its lease has ended if it does not run.
	 */
	apr_time_t doubt_until;
};

/* Zeroed memory is a valid empty list. */
struct vms {
	struct vms_entry *list;
	/* Hashes of the ids, in the order of list. */
	uint64_t *hashes;
	size_t count;
	size_t cap;
	/* Changes with the VMs, their places and addresses for other VMs. */
	uint64_t version;
};

/* Frees the list; the struct is then an empty one. */
void vms_free(struct vms *vms);

/* Adds or replaces a VM. Returns 0, PST_ERR_FULL or PST_ERR_NOMEM. */
int vms_put(struct vms *vms, const struct vms_entry *entry);

/*
 * The VM's lease ended: keeps the VM until hold_until (0: removes it at
 * once). Returns whether it was listed.
 */
bool vms_remove(struct vms *vms, struct str id, apr_time_t hold_until);

/* Removes VMs whose hold_until has passed; returns how many. */
int vms_expire(struct vms *vms, apr_time_t now);

/* Hash of a VM's id, as in vms.hashes. */
uint64_t vms_hash(struct str id);

/* Index of the VM, or vms->count when it isn't listed. */
size_t vms_find(const struct vms *vms, struct str id);

/* Number of VMs in a region, at least 1. */
unsigned vms_in_region(const struct vms *vms, int region);

/*
 * Selects the VMs for callers in a domain: those of the domain if it has
 * enough to share its load, else those of the region, else any. draw
 * is the offset from which the list is searched, and so spreads the callers.
 * VMs that may have left are taken if there are no others. Writes at most
 * VMS_MAX_ANSWER addresses to out and returns their count.
 */
size_t vms_choose(const struct vms *vms, int domain, int region, uint64_t draw,
		  apr_time_t now, struct strbuf *out);

#endif
