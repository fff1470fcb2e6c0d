#include "agent/quota_split.h"

#include <stdlib.h>
#include <string.h>

#include "agent/quota_basis.h"
#include "agent/quota_row.h"
#include "common/err.h"
#include "common/evt.h"

#define LOG_MODULE "quota.split"

int qs_create(struct qs **out, struct str region)
{
	*out = calloc(1, sizeof(**out));
	return *out ? strbuf_set(&(*out)->region, region) : PST_ERR_NOMEM;
}

int qs_set_domain(struct qs *qs, struct str domain)
{
	return strbuf_set(&qs->domain, domain);
}

void qs_destroy(struct qs *qs)
{
	if (!qs)
		return;
	qr_free_rows(qs);
	qb_done(&qs->basis);
	if (qs->tbl)
		tbl_put(qs->tbl);
	if (qs->vml)
		vml_put(qs->vml);
	free(qs);
}

static struct row *find_row(const struct qs *qs, struct str service,
			    enum rank rank)
{
	const int at = qs->tbl ? tbl_service_find(qs->tbl, service) : -1;

	return at < 0 ? NULL : &qs->rows[(size_t)at * RANK_COUNT + rank];
}

/* The former split by the new table's domains; false when there is none. */
static bool carry_over(const struct tbl *from, const struct live *old,
		       const struct tbl *tbl, double *share)
{
	double sum = 0;

	for (size_t i = 0; i < tbl->domain_count; i++) {
		const int at = tbl_domain_find(
			from, strbuf_str(&tbl->domains[i].name));

		share[i] = at < 0 ? 0 : old->shf.share[at];
		sum += share[i];
	}
	return sum > 0;
}

/* Starts a row of a new set of domains from its former split. */
static int carry_row(struct qs *old, size_t old_at, struct qs *qs, size_t at)
{
	const struct live *former = qr_wake(old, old_at);
	double *share = calloc(qs->tbl->domain_count + 1, sizeof(*share));
	struct live *live = NULL;

	if (former && share)
		live = qr_wake(qs, at);
	if (live && carry_over(old->tbl, former, qs->tbl, share)) {
		shf_done(&live->shf);
		if (shf_init(&live->shf, share, qs->tbl->domain_count,
			     qs->stepped_at))
			live = NULL;
	}
	free(share);
	if (!live)
		return PST_ERR_NOMEM;
	shf_copy_moves(&live->shf, &former->shf);
	live->moving = former->moving;
	live->used_at = former->used_at;
	live->current = false;
	live->settled = false;
	return 0;
}

static int carry_rows(struct qs *old, struct qs *qs)
{
	for (size_t i = 0; i < qs->row_count; i++) {
		const struct tbl_row *cells = &qs->tbl->rows[i];
		const struct row *row = find_row(
			old, strbuf_str(&qs->tbl->services[cells->service]),
			cells->rank);

		if (row && carry_row(old, (size_t)(row - old->rows), qs, i))
			return PST_ERR_NOMEM;
	}
	return 0;
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

/* Other regions, domains or services: all rows anew. */
static int rebuild(struct qs *qs, struct tbl *tbl, struct vml *vml,
		   struct qb *basis)
{
	struct qs next = {
		.region = qs->region,
		.domain = qs->domain,
		.run = qs->run,
		.stepped_at = qs->stepped_at,
		.row_count = tbl->service_count * RANK_COUNT,
		.tbl = tbl,
		.basis = *basis,
	};
	int err = qr_make_rows(&next);

	if (!err)
		err = carry_rows(qs, &next);
	if (err) {
		qr_free_rows(&next);
		qb_done(basis);
		return err;
	}
	qr_free_rows(qs);
	qb_done(&qs->basis);
	next.tbl = qs->tbl;
	next.vml = qs->vml;
	*qs = next;
	put_view(qs, tbl, vml);
	return 0;
}

static bool same_names(const struct tbl *a, const struct tbl *b)
{
	for (size_t i = 0; i < a->region_count; i++) {
		if (!strbuf_eq(&a->regions[i].name, &b->regions[i].name))
			return false;
	}
	for (size_t i = 0; i < a->domain_count; i++) {
		if (a->domains[i].region != b->domains[i].region ||
		    !strbuf_eq(&a->domains[i].name, &b->domains[i].name))
			return false;
	}
	for (size_t i = 0; i < a->service_count; i++) {
		if (!strbuf_eq(&a->services[i], &b->services[i]))
			return false;
	}
	return true;
}

/* Tables made from one another share their names. */
static bool same_frame(const struct tbl *a, const struct tbl *b)
{
	if (a->services == b->services && a->domains == b->domains)
		return true;
	return a->region_count == b->region_count &&
	       a->domain_count == b->domain_count &&
	       a->service_count == b->service_count && same_names(a, b);
}

static bool same_cells(const struct qs *qs, const struct tbl *tbl,
		       const bool *serving, size_t i)
{
	const struct tbl_row *a = &qs->tbl->rows[i];
	const struct tbl_row *b = &tbl->rows[i];
	const size_t first = a->service * tbl->domain_count;

	return a->shift_cap_pct_per_s == b->shift_cap_pct_per_s &&
	       (a->weights == b->weights ||
		!memcmp(a->weights, b->weights,
			tbl->domain_count * sizeof(*a->weights))) &&
	       !memcmp(&qs->basis.serving[first], &serving[first],
		       tbl->domain_count * sizeof(*serving));
}

/* Rows whose goal changes by more than an epoch leave their rest. */
static int wake_changed(struct qs *qs, const struct tbl *tbl,
			const bool *serving, bool *changed)
{
	for (size_t i = 0; i < qs->row_count; i++) {
		if (same_cells(qs, tbl, serving, i))
			continue;
		*changed = true;
		if (!qr_wake(qs, i))
			return PST_ERR_NOMEM;
	}
	return 0;
}

static void set_goals_due(struct qs *qs)
{
	for (size_t i = 0; i < qs->live_count; i++) {
		struct live *live = qs->rows[qs->live[i]].live;

		live->current = false;
		live->settled = false;
	}
}

static int follow_table(struct qs *qs, struct tbl *tbl, struct vml *vml)
{
	bool changed = false;
	const int err = wake_changed(qs, tbl, qs->basis.serving, &changed);

	if (err)
		return err;
	if (changed)
		set_goals_due(qs);
	put_view(qs, tbl, vml);
	return 0;
}

static int follow(struct qs *qs, struct tbl *tbl, struct vml *vml,
		  struct qb *next)
{
	const bool new_epoch = !qb_same_epoch(&qs->basis, next, tbl);
	bool changed = new_epoch;
	int err = wake_changed(qs, tbl, next->serving, &changed);

	if (!err && new_epoch)
		err = qr_leave_oldest(qs);
	if (err) {
		qb_done(next);
		return err;
	}
	if (changed)
		set_goals_due(qs);
	qb_follow(&qs->basis, next, tbl, qs->own, qs->own_domain);
	put_view(qs, tbl, vml);
	return 0;
}

int qs_set_view(struct qs *qs, apr_time_t now, struct tbl *tbl, struct vml *vml)
{
	const bool follows = qs->tbl && same_frame(qs->tbl, tbl);
	struct qb next;

	if (!qs->tbl)
		qs->stepped_at = now;
	else if (tbl == qs->tbl && vml == qs->vml)
		return 0;
	else if (follows && vml == qs->vml)
		return follow_table(qs, tbl, vml);
	if (qb_make(&next, tbl, vml, qs->run))
		return PST_ERR_NOMEM;
	return follows ? follow(qs, tbl, vml, &next)
		       : rebuild(qs, tbl, vml, &next);
}

void qs_step(struct qs *qs, apr_time_t now)
{
	const apr_interval_time_t elapsed = now - qs->stepped_at;

	if (!qs->tbl || elapsed < SHF_STEP_MIN)
		return;
	qs->stepped_at = now;
	qs->run += elapsed < SHF_STEP_MAX ? elapsed : SHF_STEP_MAX;
	/* From the end: a row that comes to rest leaves its place to the last.
	 */
	for (size_t i = qs->live_count; i > 0; i--)
		qr_step(qs, qs->live[i - 1]);
}

static void log_pick(const struct qs *qs, const struct live *live,
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
		qs->tbl->domains[domain].name.ptr,
		100 * live->shf.share[domain], live->shf.count,
		redirected ? "others_could_not" : "split");
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

static int redraw(struct qs *qs, struct live *live, const struct tbl *tbl,
		  uint64_t random, const bool *skip)
{
	bool *translated;
	int domain;

	if (tbl == qs->tbl)
		return shf_redraw(&live->shf, random, skip);
	translated = translate_skip(qs, tbl, skip);
	if (!translated)
		return -1;
	domain = shf_redraw(&live->shf, random, translated);
	free(translated);
	return domain;
}

int qs_pick(struct qs *qs, apr_time_t now, const struct tbl *tbl,
	    const struct tbl_row *cells, uint64_t random, const bool *skip)
{
	const struct str service = strbuf_str(&tbl->services[cells->service]);
	const struct row *row = find_row(qs, service, cells->rank);
	const bool again = any_skipped(tbl, skip);
	struct live *live;
	int domain;

	live = row ? qr_wake(qs, (size_t)(row - qs->rows)) : NULL;
	if (!live)
		return -1;
	live->used_at = now;
	if (again)
		domain = redraw(qs, live, tbl, random, skip);
	else
		domain = shf_draw(&live->shf, now, cells->shift_cap_pct_per_s,
				  random);
	log_pick(qs, live, service, cells->rank, domain, again);
	if (domain < 0 || tbl == qs->tbl)
		return domain;
	return tbl_domain_find(tbl, strbuf_str(&qs->tbl->domains[domain].name));
}

const struct tbl *qs_table(const struct qs *qs)
{
	return qs->tbl;
}

size_t qs_moving(struct qs *qs, struct qs_row_view *out, size_t max)
{
	size_t count = 0;

	for (size_t i = 0; i < qs->row_count && count < max; i++) {
		const struct tbl_row *cells = &qs->tbl->rows[i];

		if (!qr_moving(qs, i))
			continue;
		out[count++] = (struct qs_row_view){
			.service =
				strbuf_str(&qs->tbl->services[cells->service]),
			.rank = cells->rank,
			.share = qs->rows[i].live->shf.share,
		};
	}
	return count;
}

void qs_adopt(struct qs *qs, apr_time_t now, struct str from,
	      struct str service, enum rank rank, const struct str *domains,
	      const double *share, size_t count)
{
	const struct row *row =
		rank < RANK_COUNT ? find_row(qs, service, rank) : NULL;
	struct live *live;
	double *mine;
	struct shf shf;

	live = row ? qr_wake(qs, (size_t)(row - qs->rows)) : NULL;
	if (!live)
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
		shf_done(&live->shf);
		live->shf = shf;
		live->settled = false;
		evt_log(SPLIT_ADOPTED, "service=%.*s rank=%s from=%.*s",
			STR_ARG(service), rank_name(rank), STR_ARG(from));
	}
	free(mine);
}
