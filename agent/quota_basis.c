#include "agent/quota_basis.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "agent/quota_demand.h"
#include "common/err.h"

/* With less than this part of the demand the bound is 1. */
#define DEMAND_MIN 1e-6

static bool *serving_domains(const struct tbl *tbl, const struct vmlist *vmlist)
{
	bool *serving = calloc(tbl->service_count * tbl->domain_count + 1,
			       sizeof(*serving));

	for (size_t i = 0; serving && i < vmlist->count; i++) {
		const struct vm *vm = &vmlist->vms[i];
		int service;
		int domain;

		if (vm->kind != VM_UPSTREAM || vm->state != VM_LIVE)
			continue;
		service = tbl_service_find(tbl, strbuf_str(&vm->service));
		domain = tbl_domain_find(tbl, strbuf_str(&vm->domain));
		if (service >= 0 && domain >= 0)
			serving[(size_t)service * tbl->domain_count +
				(size_t)domain] = true;
	}
	return serving;
}

static void mark_entry_domains(const struct tbl *tbl,
			       const struct vmlist *vmlist, bool *lost,
			       bool live)
{
	for (size_t i = 0; i < vmlist->count; i++) {
		const struct vm *vm = &vmlist->vms[i];
		int domain;

		if (vm->kind != VM_ENTRY || (vm->state == VM_LIVE) != live)
			continue;
		domain = tbl_domain_find(tbl, strbuf_str(&vm->domain));
		if (domain >= 0)
			lost[domain] = !live;
	}
}

/*
 * A domain is lost when it has entry VMs and none of them is live. Its
 * upstreams have failed too, though the platform's list still has them for a
 * while.
 */
static bool *lost_domains(const struct tbl *tbl, const struct vmlist *vmlist)
{
	bool *lost = calloc(tbl->domain_count + 1, sizeof(*lost));

	if (!lost)
		return NULL;
	mark_entry_domains(tbl, vmlist, lost, false);
	mark_entry_domains(tbl, vmlist, lost, true);
	return lost;
}

static void free_epoch(struct split_epoch *epoch)
{
	free(epoch->demand);
	free(epoch->domain_demand);
	free(epoch->lost);
	*epoch = (struct split_epoch){0};
}

int split_basis_make(struct split_basis *out, const struct tbl *tbl,
		     const struct vmlist *vmlist, apr_interval_time_t from)
{
	*out = (struct split_basis){.epochs[0].started_at = from};
	out->serving = serving_domains(tbl, vmlist);
	out->epochs[0].demand = demand_by_region(tbl, vmlist);
	out->epochs[0].domain_demand = demand_by_domain(tbl, vmlist);
	out->epochs[0].lost = lost_domains(tbl, vmlist);
	if (out->serving && out->epochs[0].demand &&
	    out->epochs[0].domain_demand && out->epochs[0].lost)
		return 0;
	split_basis_free(out);
	return PST_ERR_NOMEM;
}

void split_basis_free(struct split_basis *basis)
{
	for (size_t i = 0; i < SPLIT_EPOCHS_MAX; i++)
		free_epoch(&basis->epochs[i]);
	free(basis->serving);
	basis->serving = NULL;
}

const struct split_epoch *split_epoch_at(const struct split_basis *basis,
					 uint32_t number)
{
	return &basis->epochs[number % SPLIT_EPOCHS_MAX];
}

bool split_basis_same_epoch(const struct split_basis *a,
			    const struct split_basis *b, const struct tbl *tbl)
{
	const struct split_epoch *x = split_epoch_at(a, a->newest);
	const struct split_epoch *y = split_epoch_at(b, b->newest);

	return !memcmp(x->demand, y->demand,
		       tbl->region_count * sizeof(*x->demand)) &&
	       !memcmp(x->domain_demand, y->domain_demand,
		       tbl->domain_count * sizeof(*x->domain_demand)) &&
	       !memcmp(x->lost, y->lost, tbl->domain_count * sizeof(*x->lost));
}

/*
 * Bounds the change of a goal by that of the demand. Let k be the part that an
 * entry VM keeps in its own place (region or domain) and d the demand there.
 * k changes by at most the change of d divided by d. The remaining 1 - k
 * changes by at most the change of all demand divided by what the other places
 * can take, which is at least (1 - k) * d.
 */
static double change_by_demand(const double *a, const double *b, size_t count,
			       size_t own)
{
	const double least = a[own] < b[own] ? a[own] : b[own];
	double all = 0;

	if (least < DEMAND_MIN)
		return 1;
	for (size_t i = 0; i < count; i++)
		all += fabs(a[i] - b[i]);
	return (fabs(a[own] - b[own]) + all) / least;
}

/* Writes each domain's part of its region's demand; all 0 without demand. */
static void region_parts(const double *demand, const struct tbl *tbl,
			 uint32_t region, double *out)
{
	double sum = 0;

	for (size_t i = 0; i < tbl->domain_count; i++) {
		out[i] = tbl->domains[i].region == region ? demand[i] : 0;
		sum += out[i];
	}
	for (size_t i = 0; sum > 0 && i < tbl->domain_count; i++)
		out[i] /= sum;
}

/* Bounds the change of a goal by that of the demand within the region. */
static double change_in_region(const struct split_epoch *a,
			       const struct split_epoch *b,
			       const struct tbl *tbl, size_t own_domain)
{
	const uint32_t region = tbl->domains[own_domain].region;
	double *parts = calloc(2 * tbl->domain_count, sizeof(*parts));
	double change = 1;

	if (parts) {
		double *other = parts + tbl->domain_count;

		region_parts(a->domain_demand, tbl, region, parts);
		region_parts(b->domain_demand, tbl, region, other);
		change = change_by_demand(parts, other, tbl->domain_count,
					  own_domain);
	}
	free(parts);
	return change;
}

static double max_change(const struct split_epoch *a,
			 const struct split_epoch *b, const struct tbl *tbl,
			 size_t own, size_t own_domain)
{
	double change = 0;

	if (memcmp(a->lost, b->lost, tbl->domain_count * sizeof(*a->lost)) != 0)
		return 1;
	if (own < tbl->region_count)
		change += change_by_demand(a->demand, b->demand,
					   tbl->region_count, own);
	if (own_domain < tbl->domain_count)
		change += change_in_region(a, b, tbl, own_domain);
	return change < 1 ? change : 1;
}

void split_basis_update(struct split_basis *basis, struct split_basis *next,
			const struct tbl *tbl, size_t own, size_t own_domain)
{
	struct split_epoch *at;

	free(basis->serving);
	basis->serving = next->serving;
	next->serving = NULL;
	if (!split_basis_same_epoch(basis, next, tbl)) {
		basis->newest++;
		if (basis->newest - basis->oldest == SPLIT_EPOCHS_MAX)
			basis->oldest++;
		at = &basis->epochs[basis->newest % SPLIT_EPOCHS_MAX];
		free_epoch(at);
		*at = next->epochs[0];
		at->max_goal_change =
			max_change(split_epoch_at(basis, basis->newest - 1), at,
				   tbl, own, own_domain);
		next->epochs[0] = (struct split_epoch){0};
	}
	split_basis_free(next);
}
