/*
 * Ranks at one service: decides which requests yield to more urgent ones. Pure
 * functions.
 *
 * Designed for: routes of several ranks that share a service which one of them
 * floods. Less urgent requests yield while more urgent ones are late for want
 * of slots, except for a share of the slots that each rank keeps.
 */
#ifndef POLICY_RANKSTATS_H
#define POLICY_RANKSTATS_H

#include <stdbool.h>

#include <apr_time.h>

/* Number of ranks tracked per service; further ones share the last entry. */
#define RANKSTATS_MAX 8

/* Fraction of requests that may be late before others are held back. */
#define RANKSTATS_MAX_LATE 0.05

/* Demand and lateness by rank. All zeroes for a service without requests. */
struct rankstats {
	struct {
		unsigned rank;
		/* Smoothed number of slots kept busy by its requests. */
		double busy_slots;
		/* Decaying count of requests, whether sent or refused. */
		double requests;
		/* Smoothed fraction of them expected to be late. */
		double late;
	} ranks[RANKSTATS_MAX];
	unsigned count;
	apr_time_t updated_at;
};

/* Records the slot time in microseconds of a request that ran. */
void rankstats_note_run(struct rankstats *rankstats, unsigned rank,
			double busy_us, apr_time_t now);

/* Records a request, and whether its answer is expected to be late. */
void rankstats_note_request(struct rankstats *rankstats, unsigned rank,
			    bool late, apr_time_t now);

/* Returns the number of slots kept busy by the requests of all ranks. */
double rankstats_busy_slots(const struct rankstats *rankstats, apr_time_t now);

/*
 * Returns the smoothed fraction of requests that are expected to be late, of
 * the rank or a more urgent one, whichever has most.
 */
double rankstats_late(const struct rankstats *rankstats, unsigned rank);

/* Whether a request of the rank must leave queues and last slots to others. */
bool rankstats_yields(const struct rankstats *rankstats, unsigned rank);

#endif
