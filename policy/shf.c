#include "policy/shf.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "common/err.h"

/* Keeps any second, with a whole step at its edge, below the cap. */
#define CAP_MARGIN \
	((double)APR_USEC_PER_SEC / (APR_USEC_PER_SEC + SHF_STEP_MAX))

/* Smaller parts of the traffic are rounding errors. */
#define ROUNDING 1e-9

static double sum_of(const double *parts, size_t count)
{
	double sum = 0;

	for (size_t i = 0; i < count; i++)
		sum += parts[i];
	return sum;
}

static void record(struct shf *shf, apr_time_t now, double moved)
{
	shf->history[shf->next % SHF_HISTORY].at = now;
	shf->history[shf->next % SHF_HISTORY].moved = moved;
	shf->next++;
}

/* Part of the traffic to be moved: half the sum of the differences. */
static double distance(const struct shf *shf, const double *goal, double total)
{
	double sum = 0;

	for (size_t i = 0; i < shf->count; i++)
		sum += fabs(goal[i] / total - shf->share[i]);
	return sum / 2;
}

static double to_unit_interval(uint64_t random)
{
	return (double)(random >> 11) * 0x1p-53;
}

int shf_init(struct shf *shf, const double *parts, size_t count, apr_time_t now)
{
	const double total = sum_of(parts, count);

	/* The first request may be redrawn. */
	*shf = (struct shf){.count = count, .at = now, .redraw_credit = 1};
	if (total <= 0)
		return PST_ERR_INVALID;
	shf->share = calloc(count, sizeof(*shf->share));
	if (!shf->share)
		return PST_ERR_NOMEM;
	for (size_t i = 0; i < count; i++)
		shf->share[i] = parts[i] / total;
	return 0;
}

void shf_done(struct shf *shf)
{
	free(shf->share);
	shf->share = NULL;
	shf->count = 0;
}

void shf_copy_moves(struct shf *shf, const struct shf *former)
{
	shf->at = former->at;
	shf->redraw_credit = former->redraw_credit;
	shf->next = former->next;
	memcpy(shf->history, former->history, sizeof(shf->history));
}

static void move(struct shf *shf, const double *goal, double total, double left,
		 double moved)
{
	for (size_t i = 0; i < shf->count; i++)
		shf->share[i] +=
			(goal[i] / total - shf->share[i]) * moved / left;
}

double shf_step(struct shf *shf, apr_time_t now, const double *goal,
		double cap_pct)
{
	const double total = sum_of(goal, shf->count);
	apr_interval_time_t elapsed = now - shf->at;
	double left;
	double moved;

	if (total <= 0)
		return 0;
	if (elapsed < SHF_STEP_MIN)
		return distance(shf, goal, total);
	shf->at = now;
	if (elapsed > SHF_STEP_MAX)
		elapsed = SHF_STEP_MAX;
	left = distance(shf, goal, total);
	if (left < ROUNDING)
		return 0;
	moved = shf_max_move(cap_pct, elapsed);
	if (moved > left)
		moved = left;
	move(shf, goal, total, left, moved);
	record(shf, now, moved);
	return left - moved;
}

double shf_replay(struct shf *shf, apr_time_t until, apr_interval_time_t run,
		  const double *goal, double cap_pct)
{
	const double total = sum_of(goal, shf->count);
	const double most_per_second = shf_max_move(cap_pct, APR_USEC_PER_SEC);
	const double most = shf_max_move(cap_pct, run);
	double left;
	double moved;

	if (total <= 0)
		return 0;
	left = distance(shf, goal, total);
	if (left < ROUNDING || most <= 0)
		return left;
	moved = most < left ? most : left;
	move(shf, goal, total, left, moved);
	record(shf,
	       until - run + (apr_interval_time_t)((double)run * moved / most),
	       moved < most_per_second ? moved : most_per_second);
	return left - moved;
}

double shf_max_move(double cap_pct, apr_interval_time_t run)
{
	return cap_pct / 100 * CAP_MARGIN * (double)run / APR_USEC_PER_SEC;
}

double shf_moved(const struct shf *shf, apr_time_t now)
{
	double sum = 0;

	for (size_t i = 0; i < SHF_HISTORY; i++) {
		if (shf->history[i].at > now - APR_USEC_PER_SEC)
			sum += shf->history[i].moved;
	}
	return sum;
}

static int draw(const struct shf *shf, uint64_t random, const bool *skip)
{
	double total = 0;
	double left;
	int last = -1;

	for (size_t i = 0; i < shf->count; i++) {
		if (!skip || !skip[i])
			total += shf->share[i];
	}
	left = to_unit_interval(random) * total;
	for (size_t i = 0; i < shf->count; i++) {
		if ((skip && skip[i]) || shf->share[i] <= ROUNDING)
			continue;
		last = (int)i;
		left -= shf->share[i];
		if (left < 0)
			break;
	}
	return last;
}

/* Each request adds the unused part of the cap to the credit for redraws. */
int shf_draw(struct shf *shf, apr_time_t now, double cap_pct, uint64_t random)
{
	double room = cap_pct / 100 - shf_moved(shf, now);

	if (room > 1)
		room = 1;
	if (room > 0)
		shf->redraw_credit += room;
	if (shf->redraw_credit > 1 + room)
		shf->redraw_credit = 1 + (room > 0 ? room : 0);
	return draw(shf, random, NULL);
}

int shf_redraw(struct shf *shf, uint64_t random, const bool *skip)
{
	int found;

	if (shf->redraw_credit < 1)
		return -1;
	found = draw(shf, random, skip);
	if (found >= 0)
		shf->redraw_credit -= 1;
	return found;
}
