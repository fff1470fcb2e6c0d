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

int split_rows_create(struct splitter *splitter)
{
	const int own =
		tbl_region_find(splitter->tbl, strbuf_str(&splitter->region));
	const int domain =
		tbl_domain_find(splitter->tbl, strbuf_str(&splitter->domain));

	splitter->own = own < 0 ? splitter->tbl->region_count : (size_t)own;
	splitter->own_domain =
		domain < 0 ? splitter->tbl->domain_count : (size_t)domain;
	splitter->rows =
		calloc(splitter->row_count + 1, sizeof(*splitter->rows));
	splitter->active_rows =
		calloc(splitter->row_count + 1, sizeof(*splitter->active_rows));
	splitter->places = calloc(splitter->tbl->domain_count + 1,
				  sizeof(*splitter->places));
	if (!splitter->rows || !splitter->active_rows || !splitter->places)
		return PST_ERR_NOMEM;
	for (size_t i = 0; i < splitter->row_count; i++)
		/* Lets the first request that fails be redirected. */
		splitter->rows[i] = (struct split_row){
			.epoch = splitter->basis.newest,
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

void split_rows_free(struct splitter *splitter)
{
	for (size_t i = 0; i < splitter->active_count; i++)
		free_active(splitter->rows[splitter->active_rows[i]].active);
	free(splitter->rows);
	free(splitter->active_rows);
	free(splitter->places);
	splitter->rows = NULL;
	splitter->active_rows = NULL;
	splitter->places = NULL;
	splitter->active_count = 0;
}

/*
 * Computes a row's goal in an epoch. Domains without live upstreams and lost
 * domains get no weight, unless that excludes every domain with a weight.
 */
static int set_goal(struct splitter *splitter, const struct tbl_row *row,
		    uint32_t epoch, double *goal)
{
	const struct tbl *tbl = splitter->tbl;
	const struct split_epoch *at = split_epoch_at(&splitter->basis, epoch);
	const bool *serving =
		&splitter->basis.serving[row->service * tbl->domain_count];
	struct domsplit_domain *places = splitter->places;
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
			    tbl->region_count, splitter->own, goal);
	if (err)
		return err;
	return domsplit_goal_domain(places, tbl->domain_count,
				    at->domain_demand, splitter->own_domain,
				    goal);
}

/* Running time at which an epoch ended; the present for the newest. */
static apr_interval_time_t epoch_end(const struct splitter *splitter,
				     uint32_t epoch)
{
	return epoch == splitter->basis.newest
		       ? splitter->running_time
		       : split_epoch_at(&splitter->basis, epoch + 1)
				 ->started_at;
}

static apr_interval_time_t epoch_length(const struct splitter *splitter,
					uint32_t epoch)
{
	return epoch_end(splitter, epoch) -
	       split_epoch_at(&splitter->basis, epoch)->started_at;
}

/*
 * The newest epoch at whose end an idle row had certainly reached its goal, by
 * the bounds on how far goals have moved and on what the shift cap allows.
 */
static uint32_t settled_epoch(const struct splitter *splitter, size_t at)
{
	const double cap = splitter->tbl->rows[at].shift_cap_pct_per_s;
	const uint32_t since = splitter->rows[at].epoch;
	uint32_t settled = since;
	double left = 0;

	for (uint32_t i = since; i != splitter->basis.newest; i++) {
		left += split_epoch_at(&splitter->basis, i + 1)
				->max_goal_change;
		if (left > 1)
			left = 1;
		left -= domsplit_max_move(cap, epoch_length(splitter, i + 1));
		if (left > 0)
			continue;
		settled = i + 1;
		left = 0;
	}
	return settled;
}

/* Replays the steps towards the goals of the epochs after first. */
static int replay_epochs(struct splitter *splitter, const struct tbl_row *cells,
			 uint32_t first, struct active_split *active)
{
	for (uint32_t i = first; i != splitter->basis.newest; i++) {
		const apr_time_t until =
			splitter->stepped_at -
			(splitter->running_time - epoch_end(splitter, i + 1));
		const int err = set_goal(splitter, cells, i + 1, active->goal);

		if (err)
			return err;
		active->remaining = domsplit_replay(
			&active->domsplit, until, epoch_length(splitter, i + 1),
			active->goal, cells->shift_cap_pct_per_s);
	}
	active->settled = active->remaining <= SETTLED_REMAINING;
	return 0;
}

static struct active_split *activate(struct splitter *splitter, size_t at)
{
	const struct tbl_row *cells = &splitter->tbl->rows[at];
	const uint32_t first = settled_epoch(splitter, at);
	struct active_split *active = calloc(1, sizeof(*active));
	int err = PST_ERR_NOMEM;

	if (!active)
		return NULL;
	active->goal_current = true;
	active->used_at = splitter->stepped_at - IDLE_AFTER;
	active->goal =
		calloc(splitter->tbl->domain_count + 1, sizeof(*active->goal));
	if (active->goal)
		err = set_goal(splitter, cells, first, active->goal);
	if (!err)
		err = domsplit_init(&active->domsplit, active->goal,
				    splitter->tbl->domain_count,
				    splitter->stepped_at);
	if (!err)
		err = replay_epochs(splitter, cells, first, active);
	if (err) {
		free_active(active);
		return NULL;
	}
	active->domsplit.redraw_credit = splitter->rows[at].credit;
	return active;
}

struct active_split *split_row_activate(struct splitter *splitter, size_t at)
{
	struct split_row *row = &splitter->rows[at];

	if (row->active)
		return row->active;
	row->active = activate(splitter, at);
	if (!row->active)
		return NULL;
	row->active_at = (uint32_t)splitter->active_count;
	splitter->active_rows[splitter->active_count++] = (uint32_t)at;
	return row->active;
}

/*
 * Makes a row idle if it has no recent requests, is at its goal and has no
 * moves within the shift cap's window, so that it can be recomputed exactly.
 */
static void try_deactivate(struct splitter *splitter, size_t at)
{
	struct split_row *row = &splitter->rows[at];
	struct active_split *active = row->active;
	const uint32_t last = splitter->active_rows[splitter->active_count - 1];

	if (!active->settled || !active->goal_current || active->moving ||
	    splitter->stepped_at - active->used_at < IDLE_AFTER ||
	    domsplit_moved(&active->domsplit, splitter->stepped_at) > 0)
		return;
	row->credit = active->domsplit.redraw_credit;
	row->epoch = splitter->basis.newest;
	row->active = NULL;
	free_active(active);
	splitter->active_rows[row->active_at] = last;
	splitter->rows[last].active_at = row->active_at;
	splitter->active_count--;
}

static void log_moving(const struct splitter *splitter,
		       const struct tbl_row *cells, struct active_split *active)
{
	const char *service = splitter->tbl->services[cells->service].ptr;
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

void split_row_step(struct splitter *splitter, size_t at)
{
	const struct tbl_row *cells = &splitter->tbl->rows[at];
	struct active_split *active = splitter->rows[at].active;

	if (!active->goal_current)
		active->goal_current = !set_goal(
			splitter, cells, splitter->basis.newest, active->goal);
	if (active->settled) {
		active->domsplit.at = splitter->stepped_at;
	} else {
		active->remaining =
			domsplit_step(&active->domsplit, splitter->stepped_at,
				      active->goal, cells->shift_cap_pct_per_s);
		active->settled = active->remaining <= SETTLED_REMAINING;
		log_moving(splitter, cells, active);
	}
	try_deactivate(splitter, at);
}

bool split_row_is_moving(struct splitter *splitter, size_t at)
{
	struct split_row *row = &splitter->rows[at];

	if (!row->active) {
		row->epoch = settled_epoch(splitter, at);
		if (row->epoch == splitter->basis.newest ||
		    !split_row_activate(splitter, at))
			return false;
	}
	if (row->active->moving || row->active->remaining > SETTLED_REMAINING)
		return true;
	try_deactivate(splitter, at);
	return false;
}

int split_rows_release_oldest(struct splitter *splitter)
{
	const struct split_basis *basis = &splitter->basis;

	if (basis->newest - basis->oldest + 1 < SPLIT_EPOCHS_MAX)
		return 0;
	for (size_t i = 0; i < splitter->row_count; i++) {
		struct split_row *row = &splitter->rows[i];

		if (row->active || row->epoch != basis->oldest)
			continue;
		row->epoch = settled_epoch(splitter, i);
		if (row->epoch == basis->oldest &&
		    !split_row_activate(splitter, i))
			return PST_ERR_NOMEM;
	}
	return 0;
}
