/*
 * A sliding-window rate limit. It holds over every window of one second, also
 * where the amounts arrive after a delay that varies by at most
 * RATELIMIT_DELAY_VAR.
 *
 * Time is divided into slots, and each slot's amount is kept for
 * RATELIMIT_WINDOW, so that the total taken in any such window never exceeds
 * the rate. A token bucket of depth d keeps that bound only with a refill of
 * rate - d.
 */
#ifndef POLICY_RATELIMIT_H
#define POLICY_RATELIMIT_H

#include <stdint.h>

#include <apr_time.h>

/*
 * Most by which the delay between taking and arriving varies, in microseconds.
 */
#define RATELIMIT_DELAY_VAR 30000

/*
 * Window over which a limit holds where amounts are taken, in microseconds:
 * what arrives within one second was taken within this time.
 */
#define RATELIMIT_WINDOW (APR_USEC_PER_SEC + RATELIMIT_DELAY_VAR)

/* Length of a slot in microseconds, and number of slots in one window. */
#define RATELIMIT_SLOT	(APR_USEC_PER_SEC / 256)
#define RATELIMIT_SLOTS 265

/* Number of slots over which a burst is bounded. */
#define RATELIMIT_BURST_SLOTS 32

/* A zeroed struct is empty. */
struct ratelimit {
	/*
	 * Ring of amounts, indexed by slot number modulo its size: one window,
	 * the present slot, and one more, so that a clock that runs too fast by
	 * 1/128 still covers a whole window.
	 */
	uint64_t taken[RATELIMIT_SLOTS + 2];
	/* Number of the newest slot. */
	int64_t slot;
	/* Sum of taken. */
	uint64_t sum;
};

/*
 * Takes up to want within the limit of rate a second and returns the amount
 * taken. At most burst of it is taken in the present slot and the short run of
 * slots before it, so that a window's amount is not used up at its start.
 */
uint64_t ratelimit_take(struct ratelimit *ratelimit, apr_time_t now,
			uint64_t rate, uint64_t burst, uint64_t want);

/* Counts an amount without a limit, for use as a meter. */
void ratelimit_add(struct ratelimit *ratelimit, apr_time_t now,
		   uint64_t amount);

/*
 * Returns an unused amount that was taken at taken_at. It is ignored when that
 * time is no longer in the window.
 */
void ratelimit_return(struct ratelimit *ratelimit, apr_time_t now,
		      apr_time_t taken_at, uint64_t amount);

/* Amount taken in the last window. */
uint64_t ratelimit_sum(struct ratelimit *ratelimit, apr_time_t now);

#endif
