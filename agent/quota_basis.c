#include "agent/quota_basis.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "agent/quota_demand.h"
#include "common/err.h"

/* Below this part of the demand no bound is worked out. */
#define DEMAND_MIN 1e-6

static bool *serving_domains(const struct tbl *tbl, const struct vml *vml)
{
	bool *serving = calloc(tbl->service_count * tbl->domain_count + 1,
			       sizeof(*serving));

	for (size_t i = 0; serving && i < vml->count; i++) {
		const struct vm *vm = &vml->vms[i];
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

static void mark_entries(const struct tbl *tbl, const struct vml *vml,
			 bool *lost, bool live)
{
	for (size_t i = 0; i < vml->count; i++) {
		const struct vm *vm = &vml->vms[i];
		int domain;

		if (vm->kind != VM_ENTRY || (vm->state == VM_LIVE) != live)
			continue;
		domain = tbl_domain_find(tbl, strbuf_str(&vm->domain));
		if (domain >= 0)
			lost[domain] = !live;
	}
}

/*
 * A domain none of whose entry VMs is heard counts as lost: its upstreams
 * fail with it, while the platform's list still names them for a time.
 */
static bool *lost_domains(const struct tbl *tbl, const struct vml *vml)
{
	bool *lost = calloc(tbl->domain_count + 1, sizeof(*lost));

	if (!lost)
		return NULL;
	mark_entries(tbl, vml, lost, false);
	mark_entries(tbl, vml, lost, true);
	return lost;
}

static void drop(struct qb_epoch *epoch)
{
	free(epoch->demand);
	free(epoch->domain_demand);
	free(epoch->lost);
	*epoch = (struct qb_epoch){0};
}

int qb_make(struct qb *out, const struct tbl *tbl, const struct vml *vml,
	    apr_interval_time_t from)
{
	*out = (struct qb){.epochs[0].from = from};
	out->serving = serving_domains(tbl, vml);
	out->epochs[0].demand = qd_by_region(tbl, vml);
	out->epochs[0].domain_demand = qd_by_domain(tbl, vml);
	out->epochs[0].lost = lost_domains(tbl, vml);
	if (out->serving && out->epochs[0].demand &&
	    out->epochs[0].domain_demand && out->epochs[0].lost)
		return 0;
	qb_done(out);
	return PST_ERR_NOMEM;
}

void qb_done(struct qb *qb)
{
	for (size_t i = 0; i < QB_EPOCHS_MAX; i++)
		drop(&qb->epochs[i]);
	free(qb->serving);
	qb->serving = NULL;
}

const struct qb_epoch *qb_epoch(const struct qb *qb, uint32_t number)
{
	return &qb->epochs[number % QB_EPOCHS_MAX];
}

bool qb_same_epoch(const struct qb *a, const struct qb *b,
		   const struct tbl *tbl)
{
	const struct qb_epoch *x = qb_epoch(a, a->newest);
	const struct qb_epoch *y = qb_epoch(b, b->newest);

	return !memcmp(x->demand, y->demand,
		       tbl->region_count * sizeof(*x->demand)) &&
	       !memcmp(x->domain_demand, y->domain_demand,
		       tbl->domain_count * sizeof(*x->domain_demand)) &&
	       !memcmp(x->lost, y->lost, tbl->domain_count * sizeof(*x->lost));
}

/*
 * With k what an entry keeps in its own place and d the demand there, k
 * changes by at most the change of d over d, and the rest, 1 - k of the whole,
 * by the change of all demand over what the other places can take, which is
 * at least (1 - k) * d.
 */
static double far_by_demand(const double *a, const double *b, size_t count,
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

/* Writes the domains' demand as parts of the region's; all 0 without any. */
static void parts_of_region(const double *demand, const struct tbl *tbl,
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

/* How far apart the goals are by how a region's work is split. */
static double far_in_region(const struct qb_epoch *a, const struct qb_epoch *b,
			    const struct tbl *tbl, size_t own_domain)
{
	const uint32_t region = tbl->domains[own_domain].region;
	double *parts = calloc(2 * tbl->domain_count, sizeof(*parts));
	double far = 1;

	if (parts) {
		double *other = parts + tbl->domain_count;

		parts_of_region(a->domain_demand, tbl, region, parts);
		parts_of_region(b->domain_demand, tbl, region, other);
		far = far_by_demand(parts, other, tbl->domain_count,
				    own_domain);
	}
	free(parts);
	return far;
}

static double far_apart(const struct qb_epoch *a, const struct qb_epoch *b,
			const struct tbl *tbl, size_t own, size_t own_domain)
{
	double far = 0;

	if (memcmp(a->lost, b->lost, tbl->domain_count * sizeof(*a->lost)) != 0)
		return 1;
	if (own < tbl->region_count)
		far += far_by_demand(a->demand, b->demand, tbl->region_count,
				     own);
	if (own_domain < tbl->domain_count)
		far += far_in_region(a, b, tbl, own_domain);
	return far < 1 ? far : 1;
}

void qb_follow(struct qb *qb, struct qb *next, const struct tbl *tbl,
	       size_t own, size_t own_domain)
{
	struct qb_epoch *at;

	free(qb->serving);
	qb->serving = next->serving;
	next->serving = NULL;
	if (!qb_same_epoch(qb, next, tbl)) {
		qb->newest++;
		if (qb->newest - qb->oldest == QB_EPOCHS_MAX)
			qb->oldest++;
		at = &qb->epochs[qb->newest % QB_EPOCHS_MAX];
		drop(at);
		*at = next->epochs[0];
		at->far = far_apart(qb_epoch(qb, qb->newest - 1), at, tbl, own,
				    own_domain);
		next->epochs[0] = (struct qb_epoch){0};
	}
	qb_done(next);
}
