#include "policy/broker_sched.h"

#include <math.h>

/* Time constant of the averages of demand and grant rate. */
#define DEMAND_TIME_US 1e6

/* EWMA weight of a new sample of the time for which a slot is used. */
#define HELD_EWMA_WEIGHT (1.0 / 16)

/* Assumed time for which a slot is used until there are samples. */
#define HELD_DEFAULT_US 50e3

/* Largest credit or debt of a rank. */
#define CREDIT_MAX_SLOT_US 1e6

/* Mean deviations above the mean that are reserved for running the request. */
#define RUN_TIME_DEVIATIONS 4

/* Largest part of the time left that is reserved for running the request. */
#define RUN_TIME_PART_MAX 0.5

/* Slots kept free above the demand, as a factor on its square root. */
#define HEADROOM_SQRT_FACTOR 0.5

/*
 * All of these slots, up to the part HEADROOM_PART_MAX, are kept free when the
 * time to the next free slot is at least HEADROOM_FULL_INTERVAL request times.
 * With shorter times the number falls in proportion.
 */
#define HEADROOM_FULL_INTERVAL 8.0
#define HEADROOM_PART_MAX      0.6

/* Interval between starts, as a part of the even interval. */
#define START_GAP_PART 0.8

/* Finished requests of a rank after which its deviation is used. */
#define START_GAP_SAMPLES_MIN 8

/* Longest interval between starts, in mean times of urgent requests. */
#define START_GAP_MAX_PART 0.5

/*
 * Delay of a start that the next interval makes up for. With many slots the
 * intervals are shorter than the delays.
 */
#define START_GAP_SLACK_US 1e3

/* Starts are not spaced when this many mean deviations reach the mean. */
#define START_GAP_DEVIATIONS 2.0

/* Time after a rank's last request for which slots are kept free for it. */
#define HEADROOM_TIME_US APR_TIME_C(10000000)

static double min_of(double a, double b)
{
	return a < b ? a : b;
}

static double max_of(double a, double b)
{
	return a > b ? a : b;
}

static double clamp(double x, double low, double high)
{
	return x < low ? low : min_of(x, high);
}

/*
 * A fraction of a slot is given as one slot too many while there is credit, and
 * then as one slot too few.
 */
static bool below_reserve(const struct broker_rank_use *use)
{
	if (use->held + 1 <= use->reserved)
		return true;
	return use->held < use->reserved && use->credit > 0;
}

/*
 * Mean time until a less urgent rank frees a slot above its reserved part.
 * Slots within its reserved part go back to the same rank.
 */
static double time_to_free_slot(const struct broker_sched *sched,
				enum rank rank)
{
	double rate = 0;

	for (int r = (int)rank + 1; r < RANK_COUNT; r++) {
		const struct broker_rank_use *use = &sched->ranks[r];

		if (use->held > use->reserved)
			rate += (use->held - use->reserved) / use->mean;
	}
	return rate > 0 ? 1 / rate : HELD_DEFAULT_US;
}

static bool recently_asked(const struct broker_sched *sched, enum rank rank)
{
	const struct broker_rank_use *use = &sched->ranks[rank];

	return use->last_ask &&
	       sched->updated_at - use->last_ask <= HEADROOM_TIME_US;
}

/* Slots to keep free for the rank; fewer when slots are freed often. */
static double headroom(const struct broker_sched *sched, enum rank rank)
{
	const struct broker_rank_use *use = &sched->ranks[rank];
	const double soon = time_to_free_slot(sched, rank);
	const double part = min_of(HEADROOM_PART_MAX,
				   soon / (HEADROOM_FULL_INTERVAL * use->mean));
	double wanted = use->demand + HEADROOM_SQRT_FACTOR * sqrt(use->demand);

	if (!recently_asked(sched, rank))
		return 0;
	wanted = min_of(wanted, use->reserved) - use->held;
	return wanted > 0 ? part * wanted : 0;
}

/* Slots available to the rank when the others use their parts. */
static double slots_for(const struct broker_sched *sched, enum rank rank)
{
	double slots = sched->capacity;

	for (int r = 0; r < RANK_COUNT; r++) {
		const struct broker_rank_use *other = &sched->ranks[r];

		if (r == (int)rank)
			continue;
		if (r < (int)rank)
			slots -= other->demand;
		else
			slots -= min_of(other->demand, other->reserved);
	}
	slots = clamp(slots, sched->ranks[rank].reserved, sched->capacity);
	return slots > 0.1 ? slots : 0.1;
}

/*
 * Requests that take the same time and start together also end together, and
 * then no slot is freed for a long time. Starts are therefore spaced over that
 * time while urgent requests are expected. Requests of varying times end apart
 * without it.
 */
static double start_gap(const struct broker_sched *sched, enum rank rank)
{
	const struct broker_rank_use *use = &sched->ranks[rank];
	const double uniformity =
		1 - START_GAP_DEVIATIONS * use->deviation / use->mean;

	if (rank == RANK_URGENT || !recently_asked(sched, RANK_URGENT) ||
	    use->samples < START_GAP_SAMPLES_MIN || uniformity <= 0 ||
	    !sched->capacity)
		return 0;
	return uniformity *
	       min_of(START_GAP_PART * use->mean / sched->capacity,
		      START_GAP_MAX_PART * sched->ranks[RANK_URGENT].mean);
}

static bool too_soon(const struct broker_sched *sched, enum rank rank)
{
	return (double)sched->updated_at < sched->ranks[rank].next_start;
}

void broker_sched_init(struct broker_sched *sched, apr_time_t now)
{
	*sched = (struct broker_sched){.updated_at = now};
	for (int r = 0; r < RANK_COUNT; r++) {
		sched->ranks[r].mean = HELD_DEFAULT_US;
		sched->ranks[r].deviation = HELD_DEFAULT_US / 2;
	}
}

void broker_sched_set_reserves(struct broker_sched *sched,
			       const uint32_t pct[RANK_COUNT])
{
	uint32_t left = 100;

	for (int r = 0; r < RANK_COUNT; r++) {
		struct broker_rank_use *use = &sched->ranks[r];

		use->reserved_pct = pct[r] < left ? pct[r] : left;
		left -= use->reserved_pct;
		use->reserved = sched->capacity * use->reserved_pct / 100.0;
	}
}

void broker_sched_advance(struct broker_sched *sched, uint32_t capacity,
			  apr_time_t now)
{
	const double passed =
		now > sched->updated_at ? now - sched->updated_at : 0;
	const double weight = passed / (DEMAND_TIME_US + passed);

	for (int r = 0; r < RANK_COUNT; r++) {
		struct broker_rank_use *use = &sched->ranks[r];
		const double busy = use->held + use->waiting;

		use->demand += weight * (busy - use->demand);
		use->grant_rate -= weight * use->grant_rate;
		use->credit += passed * (use->reserved - use->held);
		use->credit =
			use->waiting
				? clamp(use->credit, -CREDIT_MAX_SLOT_US,
					CREDIT_MAX_SLOT_US)
				: clamp(use->credit, -CREDIT_MAX_SLOT_US, 0);
		use->reserved = capacity * use->reserved_pct / 100.0;
	}
	sched->capacity = capacity;
	sched->updated_at = now > sched->updated_at ? now : sched->updated_at;
}

int broker_sched_next(const struct broker_sched *sched, enum rank first,
		      double free, bool *reserve)
{
	double headroom_sum = 0;

	if (free <= 0)
		return BROKER_SCHED_NONE;
	*reserve = true;
	for (int r = (int)first; r < RANK_COUNT; r++) {
		if (sched->ranks[r].waiting && below_reserve(&sched->ranks[r]))
			return r;
	}
	*reserve = false;
	for (int r = (int)first; r < RANK_COUNT; r++) {
		if (sched->ranks[r].waiting && free >= 0.5 + headroom_sum &&
		    !too_soon(sched, (enum rank)r))
			return r;
		headroom_sum += headroom(sched, (enum rank)r);
	}
	return BROKER_SCHED_NONE;
}

void broker_sched_granted(struct broker_sched *sched, enum rank rank)
{
	struct broker_rank_use *use = &sched->ranks[rank];

	use->grant_rate += 1 / DEMAND_TIME_US;
	use->next_start = start_gap(sched, rank) +
			  max_of(use->next_start, (double)sched->updated_at -
							  START_GAP_SLACK_US);
}

void broker_sched_sample(struct broker_sched *sched, enum rank rank,
			 apr_interval_time_t held)
{
	struct broker_rank_use *use = &sched->ranks[rank];
	const double sample = held > 1 ? held : 1;
	double weight = 1.0 / ++use->samples;

	if (weight < HELD_EWMA_WEIGHT) {
		weight = HELD_EWMA_WEIGHT;
		use->samples--;
	}
	use->deviation += weight * (fabs(sample - use->mean) - use->deviation);
	use->mean += weight * (sample - use->mean);
}

apr_interval_time_t broker_sched_expected_wait(const struct broker_sched *sched,
					       enum rank rank)
{
	const struct broker_rank_use *use = &sched->ranks[rank];
	const double service_rate = slots_for(sched, rank) / use->mean;

	/*
	 * The rate that the rank's slots allow, or its recent rate if that is
	 * higher.
	 */
	return (apr_interval_time_t)((use->waiting + 1) /
				     (use->grant_rate > service_rate
					      ? use->grant_rate
					      : service_rate));
}

apr_interval_time_t broker_sched_run_time(const struct broker_sched *sched,
					  enum rank rank,
					  apr_interval_time_t messages,
					  apr_interval_time_t left)
{
	const struct broker_rank_use *use = &sched->ranks[rank];
	const double run_time =
		use->mean + RUN_TIME_DEVIATIONS * use->deviation + messages;

	return (apr_interval_time_t)min_of(run_time, RUN_TIME_PART_MAX * left);
}
