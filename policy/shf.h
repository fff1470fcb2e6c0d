/*
 * The split of one row's traffic over failure domains that is in force.
 *
 * It follows a goal no faster than the row's shift cap: in any second at
 * most the cap's part of the traffic is moved between domains. Requests that
 * a domain could not take and that are sent to another instead are moves
 * too, and are counted against the same cap.
 */
#ifndef POLICY_SHF_H
#define POLICY_SHF_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <apr_time.h>

/* Longest time that one step accounts for. */
#define SHF_STEP_MAX (APR_USEC_PER_SEC / 20)

/* Steps closer together than this wait for the next. */
#define SHF_STEP_MIN (APR_USEC_PER_SEC / 50)

/* Steps whose moves are remembered: more than one second of them. */
#define SHF_HISTORY 64

struct shf {
	size_t count;
	/* Part of the traffic of each domain; the sum is 1. Owned. */
	double *share;
	/* Time of the last step. */
	apr_time_t at;
	/* Moves of the latest steps, for the part of the cap in use. */
	struct {
		apr_time_t at;
		double moved;
	} history[SHF_HISTORY];
	size_t next;
	/* Requests that may still be sent to a domain not drawn. */
	double credit;
};

/*
 * Starts with the given parts, which are scaled to a sum of 1. Returns 0,
 * PST_ERR_NOMEM, or PST_ERR_INVALID when every part is 0.
 */
int shf_init(struct shf *shf, const double *parts, size_t count,
	     apr_time_t now);
void shf_done(struct shf *shf);

/* Takes over what another split has used of the cap, when it replaces it. */
void shf_carry(struct shf *shf, const struct shf *former);

/*
 * Moves towards goal (parts, scaled to a sum of 1; no move when all are 0)
 * by at most cap_pct percent of the traffic a second. A time step longer
 * than SHF_STEP_MAX counts as that long. Returns the part of the traffic
 * that is still to be moved.
 */
double shf_step(struct shf *shf, apr_time_t now, const double *goal,
		double cap_pct);

/*
 * Stands for the steps of a time that ended at until: moves by what the cap
 * allows in all of run, and remembers the moves of its last second. Without
 * requests in that time it differs in nothing from having stepped. Returns
 * the part of the traffic that is still to be moved.
 */
double shf_replay(struct shf *shf, apr_time_t until, apr_interval_time_t run,
		  const double *goal, double cap_pct);

/* Part of the traffic that may be moved in a running time. */
double shf_most(double cap_pct, apr_interval_time_t run);

/* Part of the traffic moved by steps in the last second. */
double shf_moved(const struct shf *shf, apr_time_t now);

/* Draws a domain by the split; -1 when no domain has a part. */
int shf_draw(struct shf *shf, apr_time_t now, double cap_pct, uint64_t random);

/*
 * Draws a domain that is not skipped, in place of one that failed. Returns
 * -1 when no other domain has a part or when the cap leaves no room.
 */
int shf_redraw(struct shf *shf, uint64_t random, const bool *skip);

#endif
