#include "agent/quota_split.h"

#include <stdlib.h>
#include <string.h>

#include "agent/quota_basis.h"
#include "agent/quota_row.h"
#include "common/err.h"
#include "common/evt.h"

#define LOG_MODULE "quota.split"

int splitter_create(struct splitter **out, struct str region)
{
	*out = calloc(1, sizeof(**out));
	return *out ? strbuf_set(&(*out)->region, region) : PST_ERR_NOMEM;
}

int splitter_set_domain(struct splitter *splitter, struct str domain)
{
	return strbuf_set(&splitter->domain, domain);
}

void splitter_destroy(struct splitter *splitter)
{
	if (!splitter)
		return;
	split_rows_free(splitter);
	split_basis_free(&splitter->basis);
	if (splitter->tbl)
		tbl_put(splitter->tbl);
	if (splitter->vmlist)
		vmlist_put(splitter->vmlist);
	free(splitter);
}

static struct split_row *find_row(const struct splitter *splitter,
				  struct str service, enum rank rank)
{
	const int at =
		splitter->tbl ? tbl_service_find(splitter->tbl, service) : -1;

	return at < 0 ? NULL : &splitter->rows[(size_t)at * RANK_COUNT + rank];
}

/* Maps a split to tbl's domains; false when none of them had a part. */
static bool map_share(const struct tbl *from, const struct active_split *old,
		      const struct tbl *tbl, double *share)
{
	double sum = 0;

	for (size_t i = 0; i < tbl->domain_count; i++) {
		const int at = tbl_domain_find(
			from, strbuf_str(&tbl->domains[i].name));

		share[i] = at < 0 ? 0 : old->domsplit.share[at];
		sum += share[i];
	}
	return sum > 0;
}

/* Starts a row of a new table from its split under the old one. */
static int carry_row(struct splitter *old, size_t old_at,
		     struct splitter *splitter, size_t at)
{
	const struct active_split *former = split_row_activate(old, old_at);
	double *share = calloc(splitter->tbl->domain_count + 1, sizeof(*share));
	struct active_split *active = NULL;

	if (former && share)
		active = split_row_activate(splitter, at);
	if (active && map_share(old->tbl, former, splitter->tbl, share)) {
		domsplit_done(&active->domsplit);
		if (domsplit_init(&active->domsplit, share,
				  splitter->tbl->domain_count,
				  splitter->stepped_at))
			active = NULL;
	}
	free(share);
	if (!active)
		return PST_ERR_NOMEM;
	domsplit_copy_moves(&active->domsplit, &former->domsplit);
	active->moving = former->moving;
	active->used_at = former->used_at;
	active->goal_current = false;
	active->settled = false;
	return 0;
}

static int carry_rows(struct splitter *old, struct splitter *splitter)
{
	for (size_t i = 0; i < splitter->row_count; i++) {
		const struct tbl_row *cells = &splitter->tbl->rows[i];
		const struct split_row *row = find_row(
			old,
			strbuf_str(&splitter->tbl->services[cells->service]),
			cells->rank);

		if (row &&
		    carry_row(old, (size_t)(row - old->rows), splitter, i))
			return PST_ERR_NOMEM;
	}
	return 0;
}

static void replace_view(struct splitter *splitter, struct tbl *tbl,
			 struct vmlist *vmlist)
{
	tbl_get(tbl);
	vmlist_get(vmlist);
	if (splitter->tbl)
		tbl_put(splitter->tbl);
	if (splitter->vmlist)
		vmlist_put(splitter->vmlist);
	splitter->tbl = tbl;
	splitter->vmlist = vmlist;
}

/* Recreates all rows when the regions, domains or services differ. */
static int rebuild(struct splitter *splitter, struct tbl *tbl,
		   struct vmlist *vmlist, struct split_basis *basis)
{
	struct splitter next = {
		.region = splitter->region,
		.domain = splitter->domain,
		.running_time = splitter->running_time,
		.stepped_at = splitter->stepped_at,
		.row_count = tbl->service_count * RANK_COUNT,
		.tbl = tbl,
		.basis = *basis,
	};
	int err = split_rows_create(&next);

	if (!err)
		err = carry_rows(splitter, &next);
	if (err) {
		split_rows_free(&next);
		split_basis_free(basis);
		return err;
	}
	split_rows_free(splitter);
	split_basis_free(&splitter->basis);
	next.tbl = splitter->tbl;
	next.vmlist = splitter->vmlist;
	*splitter = next;
	replace_view(splitter, tbl, vmlist);
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

/* Tables derived from one another share their arrays of names. */
static bool same_structure(const struct tbl *a, const struct tbl *b)
{
	if (a->services == b->services && a->domains == b->domains)
		return true;
	return a->region_count == b->region_count &&
	       a->domain_count == b->domain_count &&
	       a->service_count == b->service_count && same_names(a, b);
}

static bool same_cells(const struct splitter *splitter, const struct tbl *tbl,
		       const bool *serving, size_t i)
{
	const struct tbl_row *a = &splitter->tbl->rows[i];
	const struct tbl_row *b = &tbl->rows[i];
	const size_t first = a->service * tbl->domain_count;

	return a->shift_cap_pct_per_s == b->shift_cap_pct_per_s &&
	       (a->weights == b->weights ||
		!memcmp(a->weights, b->weights,
			tbl->domain_count * sizeof(*a->weights))) &&
	       !memcmp(&splitter->basis.serving[first], &serving[first],
		       tbl->domain_count * sizeof(*serving));
}

/*
 * Activates rows whose weights, cap or serving domains change. Epochs don't
 * record these, so that an idle row couldn't be recomputed across the change.
 */
static int activate_changed(struct splitter *splitter, const struct tbl *tbl,
			    const bool *serving, bool *changed)
{
	for (size_t i = 0; i < splitter->row_count; i++) {
		if (same_cells(splitter, tbl, serving, i))
			continue;
		*changed = true;
		if (!split_row_activate(splitter, i))
			return PST_ERR_NOMEM;
	}
	return 0;
}

static void mark_goals_outdated(struct splitter *splitter)
{
	for (size_t i = 0; i < splitter->active_count; i++) {
		struct active_split *active =
			splitter->rows[splitter->active_rows[i]].active;

		active->goal_current = false;
		active->settled = false;
	}
}

static int update_table(struct splitter *splitter, struct tbl *tbl,
			struct vmlist *vmlist)
{
	bool changed = false;
	const int err = activate_changed(splitter, tbl, splitter->basis.serving,
					 &changed);

	if (err)
		return err;
	if (changed)
		mark_goals_outdated(splitter);
	replace_view(splitter, tbl, vmlist);
	return 0;
}

static int update_basis(struct splitter *splitter, struct tbl *tbl,
			struct vmlist *vmlist, struct split_basis *next)
{
	const bool new_epoch =
		!split_basis_same_epoch(&splitter->basis, next, tbl);
	bool changed = new_epoch;
	int err = activate_changed(splitter, tbl, next->serving, &changed);

	if (!err && new_epoch)
		err = split_rows_release_oldest(splitter);
	if (err) {
		split_basis_free(next);
		return err;
	}
	if (changed)
		mark_goals_outdated(splitter);
	split_basis_update(&splitter->basis, next, tbl, splitter->own,
			   splitter->own_domain);
	replace_view(splitter, tbl, vmlist);
	return 0;
}

int splitter_set_view(struct splitter *splitter, apr_time_t now,
		      struct tbl *tbl, struct vmlist *vmlist)
{
	const bool follows =
		splitter->tbl && same_structure(splitter->tbl, tbl);
	struct split_basis next;

	if (!splitter->tbl)
		splitter->stepped_at = now;
	else if (tbl == splitter->tbl && vmlist == splitter->vmlist)
		return 0;
	else if (follows && vmlist == splitter->vmlist)
		return update_table(splitter, tbl, vmlist);
	if (split_basis_make(&next, tbl, vmlist, splitter->running_time))
		return PST_ERR_NOMEM;
	return follows ? update_basis(splitter, tbl, vmlist, &next)
		       : rebuild(splitter, tbl, vmlist, &next);
}

void splitter_step(struct splitter *splitter, apr_time_t now)
{
	const apr_interval_time_t elapsed = now - splitter->stepped_at;

	if (!splitter->tbl || elapsed < DOMSPLIT_STEP_MIN)
		return;
	splitter->stepped_at = now;
	splitter->running_time +=
		elapsed < DOMSPLIT_STEP_MAX ? elapsed : DOMSPLIT_STEP_MAX;
	/* From the end: a row that becomes idle is replaced by the last one. */
	for (size_t i = splitter->active_count; i > 0; i--)
		split_row_step(splitter, splitter->active_rows[i - 1]);
}

static void log_pick(const struct splitter *splitter,
		     const struct active_split *active, struct str service,
		     enum rank rank, int domain, bool redirected)
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
		splitter->tbl->domains[domain].name.ptr,
		100 * active->domsplit.share[domain], active->domsplit.count,
		redirected ? "others_could_not" : "split");
}

/* Maps skip from tbl's domains to those of the table in force. */
static bool *translate_skip(const struct splitter *splitter,
			    const struct tbl *tbl, const bool *skip)
{
	bool *out = calloc(splitter->tbl->domain_count + 1, sizeof(*out));

	for (size_t i = 0; out && i < tbl->domain_count; i++) {
		const int at = tbl_domain_find(
			splitter->tbl, strbuf_str(&tbl->domains[i].name));

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

static int redraw(struct splitter *splitter, struct active_split *active,
		  const struct tbl *tbl, uint64_t random, const bool *skip)
{
	bool *translated;
	int domain;

	if (tbl == splitter->tbl)
		return domsplit_redraw(&active->domsplit, random, skip);
	translated = translate_skip(splitter, tbl, skip);
	if (!translated)
		return -1;
	domain = domsplit_redraw(&active->domsplit, random, translated);
	free(translated);
	return domain;
}

int splitter_pick(struct splitter *splitter, apr_time_t now,
		  const struct tbl *tbl, const struct tbl_row *cells,
		  uint64_t random, const bool *skip)
{
	const struct str service = strbuf_str(&tbl->services[cells->service]);
	const struct split_row *row = find_row(splitter, service, cells->rank);
	const bool again = any_skipped(tbl, skip);
	struct active_split *active;
	int domain;

	active = row ? split_row_activate(splitter,
					  (size_t)(row - splitter->rows))
		     : NULL;
	if (!active)
		return -1;
	active->used_at = now;
	if (again)
		domain = redraw(splitter, active, tbl, random, skip);
	else
		domain = domsplit_draw(&active->domsplit, now,
				       cells->shift_cap_pct_per_s, random);
	log_pick(splitter, active, service, cells->rank, domain, again);
	if (domain < 0 || tbl == splitter->tbl)
		return domain;
	return tbl_domain_find(
		tbl, strbuf_str(&splitter->tbl->domains[domain].name));
}

const struct tbl *splitter_table(const struct splitter *splitter)
{
	return splitter->tbl;
}

size_t splitter_moving(struct splitter *splitter, struct splitter_row_view *out,
		       size_t max)
{
	size_t count = 0;

	for (size_t i = 0; i < splitter->row_count && count < max; i++) {
		const struct tbl_row *cells = &splitter->tbl->rows[i];

		if (!split_row_is_moving(splitter, i))
			continue;
		out[count++] = (struct splitter_row_view){
			.service = strbuf_str(
				&splitter->tbl->services[cells->service]),
			.rank = cells->rank,
			.share = splitter->rows[i].active->domsplit.share,
		};
	}
	return count;
}

void splitter_adopt(struct splitter *splitter, apr_time_t now, struct str from,
		    struct str service, enum rank rank,
		    const struct str *domains, const double *share,
		    size_t count)
{
	const struct split_row *row =
		rank < RANK_COUNT ? find_row(splitter, service, rank) : NULL;
	struct active_split *active;
	double *own_share;
	struct domsplit domsplit;

	active = row ? split_row_activate(splitter,
					  (size_t)(row - splitter->rows))
		     : NULL;
	if (!active)
		return;
	own_share = calloc(splitter->tbl->domain_count + 1, sizeof(*own_share));
	if (!own_share)
		return;
	for (size_t i = 0; i < count; i++) {
		const int at = tbl_domain_find(splitter->tbl, domains[i]);

		if (at >= 0)
			own_share[at] = share[i];
	}
	if (!domsplit_init(&domsplit, own_share, splitter->tbl->domain_count,
			   now)) {
		domsplit_done(&active->domsplit);
		active->domsplit = domsplit;
		active->settled = false;
		evt_log(SPLIT_ADOPTED, "service=%.*s rank=%s from=%.*s",
			STR_ARG(service), rank_name(rank), STR_ARG(from));
	}
	free(own_share);
}
