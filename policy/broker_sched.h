/*
 * Divides a broker's slots among the ranks: which rank is served next, how many
 * slots are kept free for more urgent work, and how long a request would wait.
 *
 * Each rank has its reserved part of the slots while it has work. The part of
 * it that the rank does not use goes to the others, most urgent first. Work in
 * a slot cannot be interrupted, so a few slots are kept free for the observed
 * demand of a more urgent rank when less urgent work takes long.
 */
#ifndef POLICY_BROKER_SCHED_H
#define POLICY_BROKER_SCHED_H

#include <apr_time.h>

#include "policy/tbl.h"

/* Result of broker_sched_next() when no rank may take a slot. */
#define BROKER_SCHED_NONE (-1)

/* One rank's use of the slots. Times are in microseconds. */
struct broker_rank_use {
	uint32_t reserved_pct;
	uint32_t waiting;
	/* Slots in use: the sum of the weights of the rank's permits. */
	double held;
	/* The reserved part of the present capacity, in slots. */
	double reserved;
	/*
	 * Slot-microseconds by which the rank's use is below its reserved part.
	 */
	double credit;
	/* Average of held plus waiting over DEMAND_TIME_US. */
	double demand;
	/* Granted requests per microsecond, averaged over DEMAND_TIME_US. */
	double grant_rate;
	/* Mean time for which a slot is used, and its mean deviation. */
	double mean;
	double deviation;
	uint32_t samples;
	apr_time_t last_ask;
	/* Earliest start of the next request while starts are spaced. */
	double next_start;
};

struct broker_sched {
	struct broker_rank_use ranks[RANK_COUNT];
	uint32_t capacity;
	apr_time_t updated_at;
};

void broker_sched_init(struct broker_sched *sched, apr_time_t now);

/*
 * Sets the reserved parts in percent. A sum above 100 is cut off, least urgent
 * ranks first.
 */
void broker_sched_set_reserves(struct broker_sched *sched,
			       const uint32_t pct[RANK_COUNT]);

/*
 * Advances the averages to now; to be called before each change of held or
 * waiting.
 */
void broker_sched_advance(struct broker_sched *sched, uint32_t capacity,
			  apr_time_t now);

/*
 * Returns the rank, of first and those less urgent, whose first queued request
 * gets a free slot, or BROKER_SCHED_NONE. *reserve tells whether the slot
 * belongs to the rank's reserved part.
 */
int broker_sched_next(const struct broker_sched *sched, enum rank first,
		      double free, bool *reserve);

/* Records that a queued request of the rank got a slot. */
void broker_sched_granted(struct broker_sched *sched, enum rank rank);

/* Records for how long a finished request used its slot. */
void broker_sched_sample(struct broker_sched *sched, enum rank rank,
			 apr_interval_time_t held);

/* Expected wait of a request at the end of the rank's queue. */
apr_interval_time_t broker_sched_expected_wait(const struct broker_sched *sched,
					       enum rank rank);

/*
 * Time to reserve for running the request and for its messages, out of the time
 * left until its deadline.
 */
apr_interval_time_t broker_sched_run_time(const struct broker_sched *sched,
					  enum rank rank,
					  apr_interval_time_t messages,
					  apr_interval_time_t left);

#endif
