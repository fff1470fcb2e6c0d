#include "agent/quota_basis.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

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

/* Part of the live entry VMs of each region; all 0 when there are none. */
static double *demand_by_region(const struct tbl *tbl, const struct vml *vml)
{
	double *demand = calloc(tbl->region_count + 1, sizeof(*demand));
	double total = 0;

	for (size_t i = 0; demand && i < vml->count; i++) {
		const struct vm *vm = &vml->vms[i];
		int region;

		if (vm->kind != VM_ENTRY || vm->state != VM_LIVE)
			continue;
		region = tbl_region_find(tbl, strbuf_str(&vm->region));
		if (region < 0)
			continue;
		demand[region] += 1;
		total += 1;
	}
	for (size_t i = 0; demand && total > 0 && i < tbl->region_count; i++)
		demand[i] /= total;
	return demand;
}

static void drop(struct qb_epoch *epoch)
{
	free(epoch->demand);
	free(epoch->lost);
	*epoch = (struct qb_epoch){0};
}

int qb_make(struct qb *out, const struct tbl *tbl, const struct vml *vml,
	    apr_interval_time_t from)
{
	*out = (struct qb){.epochs[0].from = from};
	out->serving = serving_domains(tbl, vml);
	out->epochs[0].demand = demand_by_region(tbl, vml);
	out->epochs[0].lost = lost_domains(tbl, vml);
	if (out->serving && out->epochs[0].demand && out->epochs[0].lost)
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
	       !memcmp(x->lost, y->lost, tbl->domain_count * sizeof(*x->lost));
}

/*
 * With k what an entry keeps in its region and d the demand there, k changes
 * by at most the change of d over d, and the rest, 1 - k of the whole, by the
 * change of all demand over what the other regions can take, which is at
 * least (1 - k) * d.
 */
static double far_apart(const struct qb_epoch *a, const struct qb_epoch *b,
			const struct tbl *tbl, size_t own)
{
	double all = 0;
	double least;
	double far;

	if (memcmp(a->lost, b->lost, tbl->domain_count * sizeof(*a->lost)) != 0)
		return 1;
	if (own >= tbl->region_count)
		return 0;
	least = a->demand[own] < b->demand[own] ? a->demand[own]
						: b->demand[own];
	if (least < DEMAND_MIN)
		return 1;
	for (size_t i = 0; i < tbl->region_count; i++)
		all += fabs(a->demand[i] - b->demand[i]);
	far = (fabs(a->demand[own] - b->demand[own]) + all) / least;
	return far < 1 ? far : 1;
}

void qb_follow(struct qb *qb, struct qb *next, const struct tbl *tbl,
	       size_t own)
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
		at->far = far_apart(qb_epoch(qb, qb->newest - 1), at, tbl, own);
		next->epochs[0] = (struct qb_epoch){0};
	}
	qb_done(next);
}
