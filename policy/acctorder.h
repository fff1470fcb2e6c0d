/*
 * Which VMs keep a tenant's accounts, in an order on which all VMs with the
 * same list agree. Pure.
 *
 * Designed for: thousands of tenants whose accounts spread evenly over the VMs
 * of a region, and VMs that come and go, each of which moves only its own
 * accounts (rendezvous hashing).
 */
#ifndef POLICY_ACCTORDER_H
#define POLICY_ACCTORDER_H

#include "policy/account.h"
#include "policy/vms.h"

/* Index of a VM that does not exist. */
#define ACCTORDER_NONE (-1)

/*
 * The accounts of a tenant, as seen from one region. VMs are indexes into the
 * list of VMs, valid while its version is the same. Zeroed memory is valid for
 * acctorder_find() and acctorder_free().
 */
struct acctorder {
	/* Regions with VMs, at least 1, and accounts in all of them. */
	unsigned regions;
	unsigned accounts;
	/* VM of each account, by its number; owned. */
	int *vms;
	size_t cap;
	/* Of the own region: its VMs, its accounts and the first's number. */
	unsigned region_vms;
	unsigned region_accounts;
	unsigned region_first;
	/* The VM behind the last account of the own region. */
	int spare;
};

/*
 * Finds the accounts of the tenant with this hash of its name. by_name lists
 * the regions in the order of their names. A VM without an address for other
 * VMs is passed over unless it is the only one that is listed. Returns 0 or
 * PST_ERR_NOMEM.
 */
int acctorder_find(struct acctorder *order, const struct vms *vms,
		   const struct account_limits *limits, uint64_t tenant,
		   int region, const int by_name[GEO_MAX_REGIONS]);

void acctorder_free(struct acctorder *order);

/* Fills by_name with all indexes of regions, those of geo first. */
void acctorder_sort_regions(const struct geo *geo,
			    int by_name[GEO_MAX_REGIONS]);

/* Whether the VM with this index in the list may keep accounts. */
bool acctorder_can_keep(const struct vms *vms, size_t vm);

/*
 * Writes the first VMs, at most max, of a region by the tenant's order, as
 * indexes into the list; returns their count.
 */
unsigned acctorder_first(const struct vms *vms, int region, uint64_t tenant,
			 unsigned max, int *out);

/* The VM at a position of the own region's order, or ACCTORDER_NONE. */
int acctorder_vm_at(const struct acctorder *order, unsigned position);

/* The place of a VM's account; vm may be ACCTORDER_NONE. */
struct account_place acctorder_place(const struct acctorder *order, int vm);

#endif
