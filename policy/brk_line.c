#include "policy/brk_line.h"

#include <math.h>

/* Time over which demand is averaged, in microseconds. */
#define DEMAND_TIME 1e6

/* Weight of a new sample of the time that a slot is held. */
#define HELD_WEIGHT (1.0 / 16)

/* Until there are samples, in microseconds. */
#define HELD_DEFAULT 50e3

/* Most slot-microseconds that a rank is credited or charged. */
#define CREDIT_MAX 1e6

/* Deviations above the mean that are kept for the request itself. */
#define NEED_DEVIATIONS 4

/* Largest part of the time left that is kept for the request itself. */
#define NEED_PART 0.5

/* Slots kept free above the demand, in square roots of it. */
#define GUARD_ROOTS 0.5

/*
 * All of these slots are kept free, up to GUARD_MOST of them, when slots
 * come free less often than once in GUARD_PART times the time of a request.
 */
#define GUARD_PART 8.0
#define GUARD_MOST 0.6

/* Part of the even distance between starts that is kept. */
#define SPREAD_PART 0.8

/* Samples of a rank after which its deviation tells how alike times are. */
#define SPREAD_SAMPLES_MIN 8

/* Longest distance kept, in times of a request of urgent work. */
#define SPREAD_MOST 0.5

/* Starts this late are made up for, in microseconds: many slots, short gaps. */
#define SPREAD_SLACK 1e3

/* Mean deviations that make up the mean where nothing is to be spread. */
#define SPREAD_DEVIATIONS 2.0

/* Time after the last ask of a rank for which slots are kept free. */
#define GUARD_TIME APR_TIME_C(10000000)

static double least(double a, double b)
{
	return a < b ? a : b;
}

static double most(double a, double b)
{
	return a > b ? a : b;
}

static double clamp(double x, double low, double high)
{
	return x < low ? low : least(x, high);
}

/*
 * A part of a slot is paid out over time: one slot too many while credit
 * lasts, then one too few.
 */
static bool below_reserve(const struct brk_use *use)
{
	if (use->held + 1 <= use->reserved)
		return true;
	return use->held < use->reserved && use->credit > 0;
}

/*
 * Mean time until a less urgent rank frees a slot that it holds above its
 * reserved part: what is below it, the rank takes again.
 */
static double next_free(const struct brk_line *line, enum rank rank)
{
	double rate = 0;

	for (int r = (int)rank + 1; r < RANK_COUNT; r++) {
		const struct brk_use *use = &line->use[r];

		if (use->held > use->reserved)
			rate += (use->held - use->reserved) / use->mean;
	}
	return rate > 0 ? 1 / rate : HELD_DEFAULT;
}

static bool recently_asked(const struct brk_line *line, enum rank rank)
{
	const struct brk_use *use = &line->use[rank];

	return use->last_ask && line->at - use->last_ask <= GUARD_TIME;
}

/* Slots to be left free for the rank; fewer when slots come free soon. */
static double guard(const struct brk_line *line, enum rank rank)
{
	const struct brk_use *use = &line->use[rank];
	const double soon = next_free(line, rank);
	const double part = least(GUARD_MOST, soon / (GUARD_PART * use->mean));
	double wanted = use->demand + GUARD_ROOTS * sqrt(use->demand);

	if (!recently_asked(line, rank))
		return 0;
	wanted = least(wanted, use->reserved) - use->held;
	return wanted > 0 ? part * wanted : 0;
}

/* Slots that the rank can count on when the others use what is theirs. */
static double slots_for(const struct brk_line *line, enum rank rank)
{
	double slots = line->capacity;

	for (int r = 0; r < RANK_COUNT; r++) {
		const struct brk_use *other = &line->use[r];

		if (r == (int)rank)
			continue;
		if (r < (int)rank)
			slots -= other->demand;
		else
			slots -= least(other->demand, other->reserved);
	}
	slots = clamp(slots, line->use[rank].reserved, line->capacity);
	return slots > 0.1 ? slots : 0.1;
}

/*
 * Requests that take the same time and start together end together, and then
 * no slot comes free for long. So starts are spread over that time while more
 * urgent work may come; times that vary spread the ends by themselves.
 */
static double start_gap(const struct brk_line *line, enum rank rank)
{
	const struct brk_use *use = &line->use[rank];
	const double alike = 1 - SPREAD_DEVIATIONS * use->deviation / use->mean;

	if (rank == RANK_URGENT || !recently_asked(line, RANK_URGENT) ||
	    use->samples < SPREAD_SAMPLES_MIN || alike <= 0 || !line->capacity)
		return 0;
	return alike * least(SPREAD_PART * use->mean / line->capacity,
			     SPREAD_MOST * line->use[RANK_URGENT].mean);
}

static bool too_soon(const struct brk_line *line, enum rank rank)
{
	return (double)line->at < line->use[rank].next_start;
}

void brk_line_init(struct brk_line *line, apr_time_t now)
{
	*line = (struct brk_line){.at = now};
	for (int r = 0; r < RANK_COUNT; r++) {
		line->use[r].mean = HELD_DEFAULT;
		line->use[r].deviation = HELD_DEFAULT / 2;
	}
}

void brk_line_reserve(struct brk_line *line, const uint32_t pct[RANK_COUNT])
{
	uint32_t left = 100;

	for (int r = 0; r < RANK_COUNT; r++) {
		struct brk_use *use = &line->use[r];

		use->reserved_pct = pct[r] < left ? pct[r] : left;
		left -= use->reserved_pct;
		use->reserved = line->capacity * use->reserved_pct / 100.0;
	}
}

void brk_line_advance(struct brk_line *line, uint32_t capacity, apr_time_t now)
{
	const double passed = now > line->at ? now - line->at : 0;
	const double weight = passed / (DEMAND_TIME + passed);

	for (int r = 0; r < RANK_COUNT; r++) {
		struct brk_use *use = &line->use[r];
		const double busy = use->held + use->waiting;

		use->demand += weight * (busy - use->demand);
		use->rate -= weight * use->rate;
		use->credit += passed * (use->reserved - use->held);
		use->credit = use->waiting ? clamp(use->credit, -CREDIT_MAX,
						   CREDIT_MAX)
					   : clamp(use->credit, -CREDIT_MAX, 0);
		use->reserved = capacity * use->reserved_pct / 100.0;
	}
	line->capacity = capacity;
	line->at = now > line->at ? now : line->at;
}

int brk_line_next(const struct brk_line *line, enum rank first, double free,
		  bool *reserve)
{
	double guarded = 0;

	if (free <= 0)
		return BRK_LINE_NONE;
	*reserve = true;
	for (int r = (int)first; r < RANK_COUNT; r++) {
		if (line->use[r].waiting && below_reserve(&line->use[r]))
			return r;
	}
	*reserve = false;
	for (int r = (int)first; r < RANK_COUNT; r++) {
		if (line->use[r].waiting && free >= 0.5 + guarded &&
		    !too_soon(line, (enum rank)r))
			return r;
		guarded += guard(line, (enum rank)r);
	}
	return BRK_LINE_NONE;
}

void brk_line_granted(struct brk_line *line, enum rank rank)
{
	struct brk_use *use = &line->use[rank];

	use->rate += 1 / DEMAND_TIME;
	use->next_start =
		start_gap(line, rank) +
		most(use->next_start, (double)line->at - SPREAD_SLACK);
}

void brk_line_sample(struct brk_line *line, enum rank rank,
		     apr_interval_time_t held)
{
	struct brk_use *use = &line->use[rank];
	const double sample = held > 1 ? held : 1;
	double weight = 1.0 / ++use->samples;

	if (weight < HELD_WEIGHT) {
		weight = HELD_WEIGHT;
		use->samples--;
	}
	use->deviation += weight * (fabs(sample - use->mean) - use->deviation);
	use->mean += weight * (sample - use->mean);
}

apr_interval_time_t brk_line_wait(const struct brk_line *line, enum rank rank)
{
	const struct brk_use *use = &line->use[rank];
	const double pace = slots_for(line, rank) / use->mean;

	/* What the rank is sure of, or what it got of late if that is more. */
	return (apr_interval_time_t)((use->waiting + 1) /
				     (use->rate > pace ? use->rate : pace));
}

apr_interval_time_t brk_line_need(const struct brk_line *line, enum rank rank,
				  apr_interval_time_t messages,
				  apr_interval_time_t left)
{
	const struct brk_use *use = &line->use[rank];
	const double need =
		use->mean + NEED_DEVIATIONS * use->deviation + messages;

	return (apr_interval_time_t)least(need, NEED_PART * left);
}
