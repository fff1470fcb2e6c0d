#include "agent/quota_row.h"

#include <stdlib.h>

#include "common/clk.h"
#include "common/err.h"
#include "common/evt.h"

#define LOG_MODULE "quota.split"

/* Less than this part of the traffic left to move counts as settled. */
#define SETTLED 1e-6

/* A settled row without requests for this long comes to rest. */
#define REST_AFTER CLK_SEC(10)

int qr_make_rows(struct qs *qs)
{
	const int own = tbl_region_find(qs->tbl, strbuf_str(&qs->region));
	const int domain = tbl_domain_find(qs->tbl, strbuf_str(&qs->domain));

	qs->own = own < 0 ? qs->tbl->region_count : (size_t)own;
	qs->own_domain = domain < 0 ? qs->tbl->domain_count : (size_t)domain;
	qs->rows = calloc(qs->row_count + 1, sizeof(*qs->rows));
	qs->live = calloc(qs->row_count + 1, sizeof(*qs->live));
	qs->places = calloc(qs->tbl->domain_count + 1, sizeof(*qs->places));
	if (!qs->rows || !qs->live || !qs->places)
		return PST_ERR_NOMEM;
	for (size_t i = 0; i < qs->row_count; i++)
		/* A first request that fails may go elsewhere. */
		qs->rows[i] = (struct row){
			.since = qs->basis.newest,
			.credit = 1,
		};
	return 0;
}

static void free_live(struct live *live)
{
	shf_done(&live->shf);
	free(live->goal);
	free(live);
}

void qr_free_rows(struct qs *qs)
{
	for (size_t i = 0; i < qs->live_count; i++)
		free_live(qs->rows[qs->live[i]].live);
	free(qs->rows);
	free(qs->live);
	free(qs->places);
	qs->rows = NULL;
	qs->live = NULL;
	qs->places = NULL;
	qs->live_count = 0;
}

/* Only domains that serve count; all of them when none does. */
static int set_goal(struct qs *qs, const struct tbl_row *row, uint32_t epoch,
		    double *goal)
{
	const struct tbl *tbl = qs->tbl;
	const struct qb_epoch *at = qb_epoch(&qs->basis, epoch);
	const bool *serving =
		&qs->basis.serving[row->service * tbl->domain_count];
	struct shf_domain *places = qs->places;
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
	err = shf_goal(places, tbl->domain_count, at->demand, tbl->region_count,
		       qs->own, goal);
	if (err)
		return err;
	return shf_goal_domain(places, tbl->domain_count, at->domain_demand,
			       qs->own_domain, goal);
}

/* Running time at which an epoch ended; now for the one in force. */
static apr_interval_time_t end_of(const struct qs *qs, uint32_t epoch)
{
	return epoch == qs->basis.newest
		       ? qs->run
		       : qb_epoch(&qs->basis, epoch + 1)->from;
}

static apr_interval_time_t length_of(const struct qs *qs, uint32_t epoch)
{
	return end_of(qs, epoch) - qb_epoch(&qs->basis, epoch)->from;
}

/* The newest epoch at whose end a resting row was at its goal for certain. */
static uint32_t settled_epoch(const struct qs *qs, size_t at)
{
	const double cap = qs->tbl->rows[at].shift_cap_pct_per_s;
	const uint32_t since = qs->rows[at].since;
	uint32_t settled = since;
	double left = 0;

	for (uint32_t i = since; i != qs->basis.newest; i++) {
		left += qb_epoch(&qs->basis, i + 1)->far;
		if (left > 1)
			left = 1;
		left -= shf_max_move(cap, length_of(qs, i + 1));
		if (left > 0)
			continue;
		settled = i + 1;
		left = 0;
	}
	return settled;
}

/* Follows the goals of the epochs after first. */
static int catch_up(struct qs *qs, const struct tbl_row *cells, uint32_t first,
		    struct live *live)
{
	for (uint32_t i = first; i != qs->basis.newest; i++) {
		const apr_time_t until =
			qs->stepped_at - (qs->run - end_of(qs, i + 1));
		const int err = set_goal(qs, cells, i + 1, live->goal);

		if (err)
			return err;
		live->left = shf_replay(&live->shf, until, length_of(qs, i + 1),
					live->goal, cells->shift_cap_pct_per_s);
	}
	live->settled = live->left <= SETTLED;
	return 0;
}

static struct live *make_live(struct qs *qs, size_t at)
{
	const struct tbl_row *cells = &qs->tbl->rows[at];
	const uint32_t first = settled_epoch(qs, at);
	struct live *live = calloc(1, sizeof(*live));
	int err = PST_ERR_NOMEM;

	if (!live)
		return NULL;
	live->current = true;
	live->used_at = qs->stepped_at - REST_AFTER;
	live->goal = calloc(qs->tbl->domain_count + 1, sizeof(*live->goal));
	if (live->goal)
		err = set_goal(qs, cells, first, live->goal);
	if (!err)
		err = shf_init(&live->shf, live->goal, qs->tbl->domain_count,
			       qs->stepped_at);
	if (!err)
		err = catch_up(qs, cells, first, live);
	if (err) {
		free_live(live);
		return NULL;
	}
	live->shf.redraw_credit = qs->rows[at].credit;
	return live;
}

struct live *qr_wake(struct qs *qs, size_t at)
{
	struct row *row = &qs->rows[at];

	if (row->live)
		return row->live;
	row->live = make_live(qs, at);
	if (!row->live)
		return NULL;
	row->live_at = (uint32_t)qs->live_count;
	qs->live[qs->live_count++] = (uint32_t)at;
	return row->live;
}

/* Nothing is lost: it is at its goal, and has no moves to remember. */
static void try_rest(struct qs *qs, size_t at)
{
	struct row *row = &qs->rows[at];
	struct live *live = row->live;
	const uint32_t last = qs->live[qs->live_count - 1];

	if (!live->settled || !live->current || live->moving ||
	    qs->stepped_at - live->used_at < REST_AFTER ||
	    shf_moved(&live->shf, qs->stepped_at) > 0)
		return;
	row->credit = live->shf.redraw_credit;
	row->since = qs->basis.newest;
	row->live = NULL;
	free_live(live);
	qs->live[row->live_at] = last;
	qs->rows[last].live_at = row->live_at;
	qs->live_count--;
}

static void log_motion(const struct qs *qs, const struct tbl_row *cells,
		       struct live *live)
{
	const char *service = qs->tbl->services[cells->service].ptr;
	const bool moving = live->left > SETTLED;

	if (moving == live->moving)
		return;
	live->moving = moving;
	if (moving)
		evt_log(SPLIT_MOVING,
			"service=%s rank=%s left_pct=%.1f cap_pct=%u "
			"why=weights_or_vms_changed",
			service, rank_name(cells->rank), 100 * live->left,
			cells->shift_cap_pct_per_s);
	else
		evt_log(SPLIT_SETTLED, "service=%s rank=%s", service,
			rank_name(cells->rank));
}

void qr_step(struct qs *qs, size_t at)
{
	const struct tbl_row *cells = &qs->tbl->rows[at];
	struct live *live = qs->rows[at].live;

	if (!live->current)
		live->current =
			!set_goal(qs, cells, qs->basis.newest, live->goal);
	if (live->settled) {
		live->shf.at = qs->stepped_at;
	} else {
		live->left = shf_step(&live->shf, qs->stepped_at, live->goal,
				      cells->shift_cap_pct_per_s);
		live->settled = live->left <= SETTLED;
		log_motion(qs, cells, live);
	}
	try_rest(qs, at);
}

bool qr_moving(struct qs *qs, size_t at)
{
	struct row *row = &qs->rows[at];

	if (!row->live) {
		row->since = settled_epoch(qs, at);
		if (row->since == qs->basis.newest || !qr_wake(qs, at))
			return false;
	}
	if (row->live->moving || row->live->left > SETTLED)
		return true;
	try_rest(qs, at);
	return false;
}

int qr_leave_oldest(struct qs *qs)
{
	const struct qb *basis = &qs->basis;

	if (basis->newest - basis->oldest + 1 < QB_EPOCHS_MAX)
		return 0;
	for (size_t i = 0; i < qs->row_count; i++) {
		struct row *row = &qs->rows[i];

		if (row->live || row->since != basis->oldest)
			continue;
		row->since = settled_epoch(qs, i);
		if (row->since == basis->oldest && !qr_wake(qs, i))
			return PST_ERR_NOMEM;
	}
	return 0;
}
