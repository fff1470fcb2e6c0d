#include "agent/quota_split.h"

#include <stdlib.h>
#include <string.h>

#include "agent/quota_demand.h"
#include "common/err.h"
#include "common/evt.h"
#include "policy/shf_goal.h"

#define LOG_MODULE "quota.split"

/* Less than this part of the traffic left to move counts as settled. */
#define SETTLED 1e-6

struct row {
	struct shf shf;
	double *goal;
	double left;
	/* At the goal; nothing to step until a new goal or split comes. */
	bool settled;
	bool moving;
};

/* What the goals of all rows are worked out from. */
struct basis {
	const struct tbl *tbl;
	/* This VM's region; the count of regions when it is not known. */
	size_t own;
	/* This VM's failure domain; the count of domains if not known. */
	size_t own_domain;
	double *demand;
	double *domain_demand;
	bool *serving;
	struct shf_place *places;
};

struct qs {
	struct strbuf region;
	struct strbuf domain;
	/* Of the goals in force. */
	struct basis basis;
	struct tbl *tbl;
	struct vml *vml;
	struct row *rows;
	size_t row_count;
};

int qs_create(struct qs **out, struct str region)
{
	*out = calloc(1, sizeof(**out));
	return *out ? strbuf_set(&(*out)->region, region) : PST_ERR_NOMEM;
}

int qs_set_domain(struct qs *qs, struct str domain)
{
	return strbuf_set(&qs->domain, domain);
}

static void free_rows(struct row *rows, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		shf_done(&rows[i].shf);
		free(rows[i].goal);
	}
	free(rows);
}

static void free_basis(struct basis *basis)
{
	free(basis->demand);
	free(basis->domain_demand);
	free(basis->serving);
	free(basis->places);
}

void qs_destroy(struct qs *qs)
{
	if (!qs)
		return;
	free_rows(qs->rows, qs->row_count);
	free_basis(&qs->basis);
	if (qs->tbl)
		tbl_put(qs->tbl);
	if (qs->vml)
		vml_put(qs->vml);
	free(qs);
}

/*
 * A domain none of whose entry VMs is heard counts as lost: its upstreams
 * fail with it, while the platform's list still names them for a time.
 */
static bool domain_lost(const struct vml *vml, const struct strbuf *domain)
{
	bool listed = false;

	for (size_t i = 0; i < vml->count; i++) {
		const struct vm *vm = &vml->vms[i];

		if (vm->kind != VM_ENTRY || !strbuf_eq(&vm->domain, domain))
			continue;
		if (vm->state == VM_LIVE)
			return false;
		listed = true;
	}
	return listed;
}

static void clear_lost(const struct tbl *tbl, const struct vml *vml,
		       bool *serving)
{
	for (size_t d = 0; d < tbl->domain_count; d++) {
		if (!domain_lost(vml, &tbl->domains[d].name))
			continue;
		for (size_t s = 0; s < tbl->service_count; s++)
			serving[s * tbl->domain_count + d] = false;
	}
}

/* Marks each service's failure domains with an upstream that takes work. */
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
	if (serving)
		clear_lost(tbl, vml, serving);
	return serving;
}

/* Only domains that serve count; all of them when none does. */
static int set_goal(struct basis *basis, const struct tbl_row *row,
		    double *goal)
{
	const struct tbl *tbl = basis->tbl;
	const size_t first = row->service * tbl->domain_count;
	double sum = 0;
	int err;

	for (size_t i = 0; i < tbl->domain_count; i++) {
		basis->places[i].region = tbl->domains[i].region;
		basis->places[i].weight =
			basis->serving[first + i] ? row->weights[i] : 0;
		sum += basis->places[i].weight;
	}
	for (size_t i = 0; sum <= 0 && i < tbl->domain_count; i++)
		basis->places[i].weight = row->weights[i];
	err = shf_goal(basis->places, tbl->domain_count, basis->demand,
		       tbl->region_count, basis->own, goal);
	if (err)
		return err;
	return shf_goal_domain(basis->places, tbl->domain_count,
			       basis->domain_demand, basis->own_domain, goal);
}

static const struct row *find_row(const struct qs *qs, struct str service,
				  enum rank rank)
{
	const int at = qs->tbl ? tbl_service_find(qs->tbl, service) : -1;

	return at < 0 ? NULL : &qs->rows[(size_t)at * RANK_COUNT + rank];
}

/* The former split by the new table's domains; false when there is none. */
static bool carry_over(const struct qs *qs, const struct row *old,
		       const struct tbl *tbl, double *share)
{
	double sum = 0;

	if (!old || !old->shf.count)
		return false;
	for (size_t i = 0; i < tbl->domain_count; i++) {
		const int at = tbl_domain_find(
			qs->tbl, strbuf_str(&tbl->domains[i].name));

		share[i] = at < 0 ? 0 : old->shf.share[at];
		sum += share[i];
	}
	return sum > 0;
}

static int make_row(const struct qs *qs, apr_time_t now, struct basis *basis,
		    const struct tbl_row *cells, struct row *out)
{
	const struct tbl *tbl = basis->tbl;
	const struct row *old = find_row(
		qs, strbuf_str(&tbl->services[cells->service]), cells->rank);
	double *share = calloc(tbl->domain_count + 1, sizeof(*share));
	const double *start = share;
	int err = PST_ERR_NOMEM;

	out->goal = calloc(tbl->domain_count + 1, sizeof(*out->goal));
	if (out->goal && share)
		err = set_goal(basis, cells, out->goal);
	if (!err) {
		if (!carry_over(qs, old, tbl, share))
			start = out->goal;
		err = shf_init(&out->shf, start, tbl->domain_count, now);
	}
	free(share);
	if (!err && old) {
		shf_carry(&out->shf, &old->shf);
		out->moving = old->moving;
	}
	return err == PST_ERR_INVALID ? 0 : err;
}

static int make_basis(const struct qs *qs, const struct tbl *tbl,
		      const struct vml *vml, struct basis *out)
{
	const int own = tbl_region_find(tbl, strbuf_str(&qs->region));
	const int domain = tbl_domain_find(tbl, strbuf_str(&qs->domain));

	*out = (struct basis){
		.tbl = tbl,
		.own = own < 0 ? tbl->region_count : (size_t)own,
		.own_domain = domain < 0 ? tbl->domain_count : (size_t)domain,
	};
	out->demand = qd_by_region(tbl, vml);
	out->domain_demand = qd_by_domain(tbl, vml);
	out->serving = serving_domains(tbl, vml);
	out->places = calloc(tbl->domain_count + 1, sizeof(*out->places));
	if (out->demand && out->domain_demand && out->serving && out->places)
		return 0;
	free_basis(out);
	return PST_ERR_NOMEM;
}

static bool same_basis(const struct basis *a, const struct basis *b)
{
	const struct tbl *tbl = b->tbl;

	return a->tbl == tbl &&
	       !memcmp(a->demand, b->demand,
		       tbl->region_count * sizeof(*a->demand)) &&
	       !memcmp(a->domain_demand, b->domain_demand,
		       tbl->domain_count * sizeof(*a->domain_demand)) &&
	       !memcmp(a->serving, b->serving,
		       tbl->service_count * tbl->domain_count *
			       sizeof(*a->serving));
}

static struct row *make_rows(const struct qs *qs, apr_time_t now,
			     struct basis *basis)
{
	const size_t count = basis->tbl->service_count * RANK_COUNT;
	struct row *rows = calloc(count + 1, sizeof(*rows));

	for (size_t i = 0; rows && i < count; i++) {
		if (!make_row(qs, now, basis, &basis->tbl->rows[i], &rows[i]))
			continue;
		free_rows(rows, count);
		rows = NULL;
	}
	return rows;
}

static void put_view(struct qs *qs, struct tbl *tbl, struct vml *vml)
{
	tbl_get(tbl);
	vml_get(vml);
	if (qs->tbl)
		tbl_put(qs->tbl);
	if (qs->vml)
		vml_put(qs->vml);
	qs->tbl = tbl;
	qs->vml = vml;
}

int qs_set_view(struct qs *qs, apr_time_t now, struct tbl *tbl, struct vml *vml)
{
	struct basis basis;
	struct row *rows;

	if (tbl == qs->tbl && vml == qs->vml)
		return 0;
	if (make_basis(qs, tbl, vml, &basis))
		return PST_ERR_NOMEM;
	if (qs->tbl && same_basis(&qs->basis, &basis)) {
		free_basis(&basis);
		put_view(qs, tbl, vml);
		return 0;
	}
	rows = make_rows(qs, now, &basis);
	if (!rows) {
		free_basis(&basis);
		return PST_ERR_NOMEM;
	}
	free_rows(qs->rows, qs->row_count);
	qs->rows = rows;
	qs->row_count = tbl->service_count * RANK_COUNT;
	free_basis(&qs->basis);
	qs->basis = basis;
	put_view(qs, tbl, vml);
	return 0;
}

static void log_motion(const struct qs *qs, const struct tbl_row *cells,
		       struct row *row)
{
	const char *service = qs->tbl->services[cells->service].ptr;
	const bool moving = row->left > SETTLED;

	if (moving == row->moving)
		return;
	row->moving = moving;
	if (moving)
		evt_log(SPLIT_MOVING,
			"service=%s rank=%s left_pct=%.1f cap_pct=%u "
			"why=weights_or_vms_changed",
			service, rank_name(cells->rank), 100 * row->left,
			cells->shift_cap_pct_per_s);
	else
		evt_log(SPLIT_SETTLED, "service=%s rank=%s", service,
			rank_name(cells->rank));
}

void qs_step(struct qs *qs, apr_time_t now)
{
	for (size_t i = 0; i < qs->row_count; i++) {
		const struct tbl_row *cells = &qs->tbl->rows[i];
		struct row *row = &qs->rows[i];

		if (!row->shf.count || row->settled)
			continue;
		row->left = shf_step(&row->shf, now, row->goal,
				     cells->shift_cap_pct_per_s);
		row->settled = row->left <= SETTLED;
		log_motion(qs, cells, row);
	}
}

static void log_pick(const struct qs *qs, const struct row *row,
		     struct str service, enum rank rank, int domain,
		     bool redirected)
{
	if (domain < 0) {
		evt_log(DOMAIN_REFUSED,
			"service=%.*s rank=%s skipped=%s why=%s",
			STR_ARG(service), rank_name(rank),
			redirected ? "some" : "none",
			redirected ? "shift_cap_or_none_left" : "no_weight");
		return;
	}
	evt_log(DOMAIN_PICKED,
		"service=%.*s rank=%s domain=%s share_pct=%.1f among=%zu "
		"why=%s",
		STR_ARG(service), rank_name(rank),
		qs->tbl->domains[domain].name.ptr, 100 * row->shf.share[domain],
		row->shf.count, redirected ? "others_could_not" : "split");
}

/* skip by the domains of the table in force. */
static bool *translate_skip(const struct qs *qs, const struct tbl *tbl,
			    const bool *skip)
{
	bool *out = calloc(qs->tbl->domain_count + 1, sizeof(*out));

	for (size_t i = 0; out && i < tbl->domain_count; i++) {
		const int at = tbl_domain_find(
			qs->tbl, strbuf_str(&tbl->domains[i].name));

		if (at >= 0)
			out[at] = skip[i];
	}
	return out;
}

static bool any_skipped(const struct tbl *tbl, const bool *skip)
{
	for (size_t i = 0; skip && i < tbl->domain_count; i++) {
		if (skip[i])
			return true;
	}
	return false;
}

static int redraw(struct qs *qs, struct row *row, const struct tbl *tbl,
		  uint64_t random, const bool *skip)
{
	bool *translated;
	int domain;

	if (tbl == qs->tbl)
		return shf_redraw(&row->shf, random, skip);
	translated = translate_skip(qs, tbl, skip);
	if (!translated)
		return -1;
	domain = shf_redraw(&row->shf, random, translated);
	free(translated);
	return domain;
}

int qs_pick(struct qs *qs, apr_time_t now, const struct tbl *tbl,
	    const struct tbl_row *cells, uint64_t random, const bool *skip)
{
	const struct str service = strbuf_str(&tbl->services[cells->service]);
	struct row *row = (struct row *)find_row(qs, service, cells->rank);
	const bool again = any_skipped(tbl, skip);
	int domain;

	if (!row || !row->shf.count)
		return -1;
	if (again)
		domain = redraw(qs, row, tbl, random, skip);
	else
		domain = shf_draw(&row->shf, now, cells->shift_cap_pct_per_s,
				  random);
	log_pick(qs, row, service, cells->rank, domain, again);
	if (domain < 0 || tbl == qs->tbl)
		return domain;
	return tbl_domain_find(tbl, strbuf_str(&qs->tbl->domains[domain].name));
}

const struct tbl *qs_table(const struct qs *qs)
{
	return qs->tbl;
}

size_t qs_moving(const struct qs *qs, struct qs_row_view *out, size_t max)
{
	size_t count = 0;

	for (size_t i = 0; i < qs->row_count && count < max; i++) {
		const struct tbl_row *cells = &qs->tbl->rows[i];

		if (!qs->rows[i].moving)
			continue;
		out[count++] = (struct qs_row_view){
			.service =
				strbuf_str(&qs->tbl->services[cells->service]),
			.rank = cells->rank,
			.share = qs->rows[i].shf.share,
		};
	}
	return count;
}

void qs_adopt(struct qs *qs, apr_time_t now, struct str from,
	      struct str service, enum rank rank, const struct str *domains,
	      const double *share, size_t count)
{
	struct row *row = (struct row *)find_row(qs, service, rank);
	double *mine;
	struct shf shf;

	if (!row || rank >= RANK_COUNT)
		return;
	mine = calloc(qs->tbl->domain_count + 1, sizeof(*mine));
	if (!mine)
		return;
	for (size_t i = 0; i < count; i++) {
		const int at = tbl_domain_find(qs->tbl, domains[i]);

		if (at >= 0)
			mine[at] = share[i];
	}
	if (!shf_init(&shf, mine, qs->tbl->domain_count, now)) {
		shf_done(&row->shf);
		row->shf = shf;
		row->settled = false;
		evt_log(SPLIT_ADOPTED, "service=%.*s rank=%s from=%.*s",
			STR_ARG(service), rank_name(rank), STR_ARG(from));
	}
	free(mine);
}
