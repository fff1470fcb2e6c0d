/*
 * The current split of one row's traffic over failure domains.
 *
 * The split moves towards a goal no faster than the row's shift cap: in any
 * second at most the cap's part of the traffic moves between domains. A
 * request that is sent to another domain because the drawn one could not take
 * it is a move too and counts against the same cap.
 */
#ifndef POLICY_DOMSPLIT_H
#define POLICY_DOMSPLIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <apr_time.h>

/* Longest time that one step accounts for, in microseconds. */
#define DOMSPLIT_STEP_MAX (APR_USEC_PER_SEC / 20)

/* A step within this time of the last one moves nothing. */
#define DOMSPLIT_STEP_MIN (APR_USEC_PER_SEC / 50)

/* Number of steps whose moves are kept: more than one second of steps. */
#define DOMSPLIT_HISTORY 64

struct domsplit {
	size_t count;
	/* Part of the traffic of each domain; the sum is 1. */
	double *share;
	/* Time of the last step. */
	apr_time_t at;
	/* Moves of the latest steps, which count against the cap. */
	struct {
		apr_time_t at;
		double moved;
	} history[DOMSPLIT_HISTORY];
	size_t next;
	/* Number of requests that may still be redrawn. */
	double redraw_credit;
};

/*
 * Starts with the given parts, scaled to a sum of 1. Returns 0, PST_ERR_NOMEM,
 * or PST_ERR_INVALID when every part is 0.
 */
int domsplit_init(struct domsplit *domsplit, const double *parts, size_t count,
		  apr_time_t now);
void domsplit_done(struct domsplit *domsplit);

/* Copies what the replaced split, former, has used of the cap. */
void domsplit_copy_moves(struct domsplit *domsplit,
			 const struct domsplit *former);

/*
 * Moves the split towards goal by at most cap_pct percent of the traffic a
 * second. The parts in goal are scaled to a sum of 1; nothing moves when all
 * are 0. A time since the last step longer than DOMSPLIT_STEP_MAX counts as
 * that long. Returns the part of the traffic that is still to be moved.
 */
double domsplit_step(struct domsplit *domsplit, apr_time_t now,
		     const double *goal, double cap_pct);

/*
 * Replaces the steps of a period of length run that ended at until: moves by
 * what the cap allows for the whole period and records the moves of its last
 * second. The result is that of the steps if no requests came in the period.
 * Returns the part of the traffic that is still to be moved.
 */
double domsplit_replay(struct domsplit *domsplit, apr_time_t until,
		       apr_interval_time_t run, const double *goal,
		       double cap_pct);

/* Part of the traffic that may be moved in a period of length run. */
double domsplit_max_move(double cap_pct, apr_interval_time_t run);

/* Part of the traffic moved by steps in the last second. */
double domsplit_moved(const struct domsplit *domsplit, apr_time_t now);

/* Draws a domain by the split. Returns -1 when no domain has a part. */
int domsplit_draw(struct domsplit *domsplit, apr_time_t now, double cap_pct,
		  uint64_t random);

/*
 * Draws a domain that is not skipped, in place of one that could not take the
 * request. Returns -1 when no other domain has a part or the cap is used up.
 */
int domsplit_redraw(struct domsplit *domsplit, uint64_t random,
		    const bool *skip);

#endif
