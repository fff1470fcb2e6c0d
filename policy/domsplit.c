#include "policy/domsplit.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "common/err.h"

/* Keeps any second, with a whole step at its edge, below the cap. */
#define CAP_MARGIN \
	((double)APR_USEC_PER_SEC / (APR_USEC_PER_SEC + DOMSPLIT_STEP_MAX))

/* Smaller parts of the traffic are rounding errors. */
#define ROUNDING 1e-9

static double sum_of(const double *parts, size_t count)
{
	double sum = 0;

	for (size_t i = 0; i < count; i++)
		sum += parts[i];
	return sum;
}

static void record(struct domsplit *domsplit, apr_time_t now, double moved)
{
	domsplit->history[domsplit->next % DOMSPLIT_HISTORY].at = now;
	domsplit->history[domsplit->next % DOMSPLIT_HISTORY].moved = moved;
	domsplit->next++;
}

/* Part of the traffic to be moved: half the sum of the differences. */
static double distance(const struct domsplit *domsplit, const double *goal,
		       double total)
{
	double sum = 0;

	for (size_t i = 0; i < domsplit->count; i++)
		sum += fabs(goal[i] / total - domsplit->share[i]);
	return sum / 2;
}

static double to_unit_interval(uint64_t random)
{
	return (double)(random >> 11) * 0x1p-53;
}

int domsplit_init(struct domsplit *domsplit, const double *parts, size_t count,
		  apr_time_t now)
{
	const double total = sum_of(parts, count);

	/* The first request may be redrawn. */
	*domsplit = (struct domsplit){
		.count = count, .at = now, .redraw_credit = 1};
	if (total <= 0)
		return PST_ERR_INVALID;
	domsplit->share = calloc(count, sizeof(*domsplit->share));
	if (!domsplit->share)
		return PST_ERR_NOMEM;
	for (size_t i = 0; i < count; i++)
		domsplit->share[i] = parts[i] / total;
	return 0;
}

void domsplit_done(struct domsplit *domsplit)
{
	free(domsplit->share);
	domsplit->share = NULL;
	domsplit->count = 0;
}

void domsplit_copy_moves(struct domsplit *domsplit,
			 const struct domsplit *former)
{
	domsplit->at = former->at;
	domsplit->redraw_credit = former->redraw_credit;
	domsplit->next = former->next;
	memcpy(domsplit->history, former->history, sizeof(domsplit->history));
}

static void move(struct domsplit *domsplit, const double *goal, double total,
		 double left, double moved)
{
	for (size_t i = 0; i < domsplit->count; i++)
		domsplit->share[i] +=
			(goal[i] / total - domsplit->share[i]) * moved / left;
}

double domsplit_step(struct domsplit *domsplit, apr_time_t now,
		     const double *goal, double cap_pct)
{
	const double total = sum_of(goal, domsplit->count);
	apr_interval_time_t elapsed = now - domsplit->at;
	double left;
	double moved;

	if (total <= 0)
		return 0;
	if (elapsed < DOMSPLIT_STEP_MIN)
		return distance(domsplit, goal, total);
	domsplit->at = now;
	if (elapsed > DOMSPLIT_STEP_MAX)
		elapsed = DOMSPLIT_STEP_MAX;
	left = distance(domsplit, goal, total);
	if (left < ROUNDING)
		return 0;
	moved = domsplit_max_move(cap_pct, elapsed);
	if (moved > left)
		moved = left;
	move(domsplit, goal, total, left, moved);
	record(domsplit, now, moved);
	return left - moved;
}

double domsplit_replay(struct domsplit *domsplit, apr_time_t until,
		       apr_interval_time_t run, const double *goal,
		       double cap_pct)
{
	const double total = sum_of(goal, domsplit->count);
	const double most_per_second =
		domsplit_max_move(cap_pct, APR_USEC_PER_SEC);
	const double most = domsplit_max_move(cap_pct, run);
	double left;
	double moved;

	if (total <= 0)
		return 0;
	left = distance(domsplit, goal, total);
	if (left < ROUNDING || most <= 0)
		return left;
	moved = most < left ? most : left;
	move(domsplit, goal, total, left, moved);
	record(domsplit,
	       until - run + (apr_interval_time_t)((double)run * moved / most),
	       moved < most_per_second ? moved : most_per_second);
	return left - moved;
}

double domsplit_max_move(double cap_pct, apr_interval_time_t run)
{
	return cap_pct / 100 * CAP_MARGIN * (double)run / APR_USEC_PER_SEC;
}

double domsplit_moved(const struct domsplit *domsplit, apr_time_t now)
{
	double sum = 0;

	for (size_t i = 0; i < DOMSPLIT_HISTORY; i++) {
		if (domsplit->history[i].at > now - APR_USEC_PER_SEC)
			sum += domsplit->history[i].moved;
	}
	return sum;
}

static int draw(const struct domsplit *domsplit, uint64_t random,
		const bool *skip)
{
	double total = 0;
	double left;
	int last = -1;

	for (size_t i = 0; i < domsplit->count; i++) {
		if (!skip || !skip[i])
			total += domsplit->share[i];
	}
	left = to_unit_interval(random) * total;
	for (size_t i = 0; i < domsplit->count; i++) {
		if ((skip && skip[i]) || domsplit->share[i] <= ROUNDING)
			continue;
		last = (int)i;
		left -= domsplit->share[i];
		if (left < 0)
			break;
	}
	return last;
}

/* Each request adds the unused part of the cap to the credit for redraws. */
int domsplit_draw(struct domsplit *domsplit, apr_time_t now, double cap_pct,
		  uint64_t random)
{
	double room = cap_pct / 100 - domsplit_moved(domsplit, now);

	if (room > 1)
		room = 1;
	if (room > 0)
		domsplit->redraw_credit += room;
	if (domsplit->redraw_credit > 1 + room)
		domsplit->redraw_credit = 1 + (room > 0 ? room : 0);
	return draw(domsplit, random, NULL);
}

int domsplit_redraw(struct domsplit *domsplit, uint64_t random,
		    const bool *skip)
{
	int found;

	if (domsplit->redraw_credit < 1)
		return -1;
	found = draw(domsplit, random, skip);
	if (found >= 0)
		domsplit->redraw_credit -= 1;
	return found;
}
