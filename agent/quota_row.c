#include "agent/quota_row.h"

#include <stdlib.h>

#include "common/clk.h"
#include "common/err.h"
#include "common/evt.h"

#define LOG_MODULE "quota.split"

/* A row is settled with at most this part of its traffic left to move. */
#define SETTLED_REMAINING 1e-6

/* A settled row without requests for this long becomes idle. */
#define IDLE_AFTER CLK_SEC(10)

int split_rows_create(struct qs *qs)
{
	const int own = tbl_region_find(qs->tbl, strbuf_str(&qs->region));
	const int domain = tbl_domain_find(qs->tbl, strbuf_str(&qs->domain));

	qs->own = own < 0 ? qs->tbl->region_count : (size_t)own;
	qs->own_domain = domain < 0 ? qs->tbl->domain_count : (size_t)domain;
	qs->rows = calloc(qs->row_count + 1, sizeof(*qs->rows));
	qs->active_rows = calloc(qs->row_count + 1, sizeof(*qs->active_rows));
	qs->places = calloc(qs->tbl->domain_count + 1, sizeof(*qs->places));
	if (!qs->rows || !qs->active_rows || !qs->places)
		return PST_ERR_NOMEM;
	for (size_t i = 0; i < qs->row_count; i++)
		/* Lets the first request that fails be redirected. */
		qs->rows[i] = (struct split_row){
			.epoch = qs->basis.newest,
			.credit = 1,
		};
	return 0;
}

static void free_active(struct active_split *active)
{
	domsplit_done(&active->domsplit);
	free(active->goal);
	free(active);
}

void split_rows_free(struct qs *qs)
{
	for (size_t i = 0; i < qs->active_count; i++)
		free_active(qs->rows[qs->active_rows[i]].active);
	free(qs->rows);
	free(qs->active_rows);
	free(qs->places);
	qs->rows = NULL;
	qs->active_rows = NULL;
	qs->places = NULL;
	qs->active_count = 0;
}

/*
 * Computes a row's goal in an epoch. Domains without live upstreams and lost
 * domains get no weight, unless that excludes every domain with a weight.
 */
static int set_goal(struct qs *qs, const struct tbl_row *row, uint32_t epoch,
		    double *goal)
{
	const struct tbl *tbl = qs->tbl;
	const struct split_epoch *at = split_epoch_at(&qs->basis, epoch);
	const bool *serving =
		&qs->basis.serving[row->service * tbl->domain_count];
	struct domsplit_domain *places = qs->places;
	double sum = 0;
	int err;

	for (size_t i = 0; i < tbl->domain_count; i++) {
		places[i].region = tbl->domains[i].region;
		places[i].weight =
			serving[i] && !at->lost[i] ? row->weights[i] : 0;
		sum += places[i].weight;
	}
	for (size_t i = 0; sum <= 0 && i < tbl->domain_count; i++)
		places[i].weight = row->weights[i];
	err = domsplit_goal(places, tbl->domain_count, at->demand,
			    tbl->region_count, qs->own, goal);
	if (err)
		return err;
	return domsplit_goal_domain(places, tbl->domain_count,
				    at->domain_demand, qs->own_domain, goal);
}

/* Running time at which an epoch ended; the present for the newest. */
static apr_interval_time_t epoch_end(const struct qs *qs, uint32_t epoch)
{
	return epoch == qs->basis.newest
		       ? qs->running_time
		       : split_epoch_at(&qs->basis, epoch + 1)->started_at;
}

static apr_interval_time_t epoch_length(const struct qs *qs, uint32_t epoch)
{
	return epoch_end(qs, epoch) -
	       split_epoch_at(&qs->basis, epoch)->started_at;
}

/*
 * The newest epoch at whose end an idle row had certainly reached its goal, by
 * the bounds on how far goals have moved and on what the shift cap allows.
 */
static uint32_t settled_epoch(const struct qs *qs, size_t at)
{
	const double cap = qs->tbl->rows[at].shift_cap_pct_per_s;
	const uint32_t since = qs->rows[at].epoch;
	uint32_t settled = since;
	double left = 0;

	for (uint32_t i = since; i != qs->basis.newest; i++) {
		left += split_epoch_at(&qs->basis, i + 1)->max_goal_change;
		if (left > 1)
			left = 1;
		left -= domsplit_max_move(cap, epoch_length(qs, i + 1));
		if (left > 0)
			continue;
		settled = i + 1;
		left = 0;
	}
	return settled;
}

/* Replays the steps towards the goals of the epochs after first. */
static int replay_epochs(struct qs *qs, const struct tbl_row *cells,
			 uint32_t first, struct active_split *active)
{
	for (uint32_t i = first; i != qs->basis.newest; i++) {
		const apr_time_t until =
			qs->stepped_at -
			(qs->running_time - epoch_end(qs, i + 1));
		const int err = set_goal(qs, cells, i + 1, active->goal);

		if (err)
			return err;
		active->remaining = domsplit_replay(
			&active->domsplit, until, epoch_length(qs, i + 1),
			active->goal, cells->shift_cap_pct_per_s);
	}
	active->settled = active->remaining <= SETTLED_REMAINING;
	return 0;
}

static struct active_split *activate(struct qs *qs, size_t at)
{
	const struct tbl_row *cells = &qs->tbl->rows[at];
	const uint32_t first = settled_epoch(qs, at);
	struct active_split *active = calloc(1, sizeof(*active));
	int err = PST_ERR_NOMEM;

	if (!active)
		return NULL;
	active->goal_current = true;
	active->used_at = qs->stepped_at - IDLE_AFTER;
	active->goal = calloc(qs->tbl->domain_count + 1, sizeof(*active->goal));
	if (active->goal)
		err = set_goal(qs, cells, first, active->goal);
	if (!err)
		err = domsplit_init(&active->domsplit, active->goal,
				    qs->tbl->domain_count, qs->stepped_at);
	if (!err)
		err = replay_epochs(qs, cells, first, active);
	if (err) {
		free_active(active);
		return NULL;
	}
	active->domsplit.redraw_credit = qs->rows[at].credit;
	return active;
}

struct active_split *split_row_activate(struct qs *qs, size_t at)
{
	struct split_row *row = &qs->rows[at];

	if (row->active)
		return row->active;
	row->active = activate(qs, at);
	if (!row->active)
		return NULL;
	row->active_at = (uint32_t)qs->active_count;
	qs->active_rows[qs->active_count++] = (uint32_t)at;
	return row->active;
}

/*
 * Makes a row idle if it has no recent requests, is at its goal and has no
 * moves within the shift cap's window, so that it can be recomputed exactly.
 */
static void try_deactivate(struct qs *qs, size_t at)
{
	struct split_row *row = &qs->rows[at];
	struct active_split *active = row->active;
	const uint32_t last = qs->active_rows[qs->active_count - 1];

	if (!active->settled || !active->goal_current || active->moving ||
	    qs->stepped_at - active->used_at < IDLE_AFTER ||
	    domsplit_moved(&active->domsplit, qs->stepped_at) > 0)
		return;
	row->credit = active->domsplit.redraw_credit;
	row->epoch = qs->basis.newest;
	row->active = NULL;
	free_active(active);
	qs->active_rows[row->active_at] = last;
	qs->rows[last].active_at = row->active_at;
	qs->active_count--;
}

static void log_moving(const struct qs *qs, const struct tbl_row *cells,
		       struct active_split *active)
{
	const char *service = qs->tbl->services[cells->service].ptr;
	const bool moving = active->remaining > SETTLED_REMAINING;

	if (moving == active->moving)
		return;
	active->moving = moving;
	if (moving)
		evt_log(SPLIT_MOVING,
			"service=%s rank=%s left_pct=%.1f cap_pct=%u "
			"why=weights_or_vms_changed",
			service, rank_name(cells->rank),
			100 * active->remaining, cells->shift_cap_pct_per_s);
	else
		evt_log(SPLIT_SETTLED, "service=%s rank=%s", service,
			rank_name(cells->rank));
}

void split_row_step(struct qs *qs, size_t at)
{
	const struct tbl_row *cells = &qs->tbl->rows[at];
	struct active_split *active = qs->rows[at].active;

	if (!active->goal_current)
		active->goal_current =
			!set_goal(qs, cells, qs->basis.newest, active->goal);
	if (active->settled) {
		active->domsplit.at = qs->stepped_at;
	} else {
		active->remaining =
			domsplit_step(&active->domsplit, qs->stepped_at,
				      active->goal, cells->shift_cap_pct_per_s);
		active->settled = active->remaining <= SETTLED_REMAINING;
		log_moving(qs, cells, active);
	}
	try_deactivate(qs, at);
}

bool split_row_is_moving(struct qs *qs, size_t at)
{
	struct split_row *row = &qs->rows[at];

	if (!row->active) {
		row->epoch = settled_epoch(qs, at);
		if (row->epoch == qs->basis.newest ||
		    !split_row_activate(qs, at))
			return false;
	}
	if (row->active->moving || row->active->remaining > SETTLED_REMAINING)
		return true;
	try_deactivate(qs, at);
	return false;
}

int split_rows_release_oldest(struct qs *qs)
{
	const struct split_basis *basis = &qs->basis;

	if (basis->newest - basis->oldest + 1 < SPLIT_EPOCHS_MAX)
		return 0;
	for (size_t i = 0; i < qs->row_count; i++) {
		struct split_row *row = &qs->rows[i];

		if (row->active || row->epoch != basis->oldest)
			continue;
		row->epoch = settled_epoch(qs, i);
		if (row->epoch == basis->oldest && !split_row_activate(qs, i))
			return PST_ERR_NOMEM;
	}
	return 0;
}
