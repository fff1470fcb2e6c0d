#include "policy/acctorder.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"

static uint64_t mix(uint64_t h)
{
	h = (h ^ (h >> 33)) * UINT64_C(0xff51afd7ed558ccd);
	h = (h ^ (h >> 33)) * UINT64_C(0xc4ceb9fe1a85ec53);
	return h ^ (h >> 33);
}

static uint64_t score(const struct vms *vms, int vm, uint64_t tenant)
{
	return mix(vms->hashes[vm] ^ mix(tenant));
}

/* Whether VM a comes before VM b. */
static bool precedes(const struct vms *vms, int a, int b, uint64_t tenant)
{
	const uint64_t score_a = score(vms, a, tenant);
	const uint64_t score_b = score(vms, b, tenant);

	return score_a != score_b ? score_a > score_b
				  : vms->hashes[a] > vms->hashes[b];
}

bool acctorder_can_keep(const struct vms *vms, size_t vm)
{
	return vms->list[vm].region >= 0 &&
	       (vms->list[vm].peer.len || vms->count == 1);
}

unsigned acctorder_first(const struct vms *vms, int region, uint64_t tenant,
			 unsigned max, int *out)
{
	unsigned count = 0;

	for (size_t i = 0; i < vms->count; i++) {
		const int vm = (int)i;
		unsigned at;

		if (vms->list[i].region != region ||
		    !acctorder_can_keep(vms, i) ||
		    (count == max &&
		     !precedes(vms, vm, out[count - 1], tenant)))
			continue;
		at = count < max ? count++ : count - 1;
		for (; at && precedes(vms, vm, out[at - 1], tenant); at--)
			out[at] = out[at - 1];
		out[at] = vm;
	}
	return count;
}

static int reserve(struct acctorder *order, size_t count)
{
	int *grown;

	if (count <= order->cap)
		return 0;
	grown = realloc(order->vms, count * sizeof(*grown));
	if (!grown)
		return PST_ERR_NOMEM;
	order->vms = grown;
	order->cap = count;
	return 0;
}

/* Appends the accounts of one region. */
static int add_region(struct acctorder *order, const struct vms *vms,
		      const struct account_limits *limits, uint64_t tenant,
		      int region, unsigned region_vms, bool is_own)
{
	const unsigned wanted =
		account_count(limits, order->regions, region_vms);
	const unsigned accounts = wanted < region_vms ? wanted : region_vms;
	unsigned found;

	/* With room for the spare one. */
	if (reserve(order, (size_t)order->accounts + accounts + 1))
		return PST_ERR_NOMEM;
	found = acctorder_first(vms, region, tenant, accounts + is_own,
				order->vms + order->accounts);
	if (is_own) {
		order->region_vms = region_vms;
		order->region_accounts = accounts;
		order->region_first = order->accounts;
		if (found > accounts)
			order->spare = order->vms[order->accounts + accounts];
	}
	order->accounts += accounts;
	return 0;
}

int acctorder_find(struct acctorder *order, const struct vms *vms,
		   const struct account_limits *limits, uint64_t tenant,
		   int region, const int by_name[GEO_MAX_REGIONS])
{
	unsigned sizes[GEO_MAX_REGIONS] = {0};
	int err = 0;

	order->regions = 0;
	order->accounts = 0;
	order->region_vms = 0;
	order->region_accounts = 0;
	order->region_first = 0;
	order->spare = ACCTORDER_NONE;
	for (size_t i = 0; i < vms->count; i++) {
		if (acctorder_can_keep(vms, i))
			order->regions += !sizes[vms->list[i].region]++;
	}
	for (int i = 0; i < GEO_MAX_REGIONS && !err; i++) {
		const int r = by_name[i];

		if (sizes[r])
			err = add_region(order, vms, limits, tenant, r,
					 sizes[r], r == region);
	}
	if (!order->regions)
		order->regions = 1;
	return err;
}

void acctorder_free(struct acctorder *order)
{
	free(order->vms);
	memset(order, 0, sizeof(*order));
}

void acctorder_sort_regions(const struct geo *geo, int by_name[GEO_MAX_REGIONS])
{
	for (int i = 0; i < GEO_MAX_REGIONS; i++) {
		int at = i;

		for (; i < geo->region_count && at &&
		       str_cmp(strbuf_str(&geo->regions[i]),
			       strbuf_str(&geo->regions[by_name[at - 1]])) < 0;
		     at--)
			by_name[at] = by_name[at - 1];
		by_name[at] = i;
	}
}

int acctorder_vm_at(const struct acctorder *order, unsigned position)
{
	if (position < order->region_accounts)
		return order->vms[order->region_first + position];
	return position == order->region_accounts ? order->spare
						  : ACCTORDER_NONE;
}

struct account_place acctorder_place(const struct acctorder *order, int vm)
{
	struct account_place place = {
		.accounts = order->accounts ? order->accounts : 1,
		.self = order->accounts ? order->accounts : 1,
		.region_accounts = order->region_accounts,
	};

	for (unsigned i = 0; i < order->region_accounts; i++) {
		if (vm == ACCTORDER_NONE ||
		    order->vms[order->region_first + i] != vm)
			continue;
		place.self = order->region_first + i;
		place.share = 1.0 / ((double)order->regions *
				     (double)order->region_accounts);
	}
	return place;
}
