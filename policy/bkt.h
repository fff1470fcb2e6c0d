/*
 * A rate limit that is exact over every window of one second, also where the
 * amounts arrive after a delay that varies by at most BKT_SPREAD.
 *
 * Time is cut into slots and each slot's amount is kept for BKT_WINDOW, so
 * that what was taken in any such window is never above the rate. A token
 * bucket of depth d keeps that bound only with a refill of rate - d.
 */
#ifndef POLICY_BKT_H
#define POLICY_BKT_H

#include <stdint.h>

#include <apr_time.h>

/* Most by which the delay from taking to arriving varies, in microseconds. */
#define BKT_SPREAD 30000

/*
 * The window over which a limit holds where it is taken, in microseconds:
 * what arrives within one second was taken within this.
 */
#define BKT_WINDOW (APR_USEC_PER_SEC + BKT_SPREAD)

/* Width of a slot in microseconds, and slots that cover one window. */
#define BKT_SLOT  (APR_USEC_PER_SEC / 256)
#define BKT_SLOTS 265

/* Slots over which a burst is bounded. */
#define BKT_PACE 32

/* Zeroed memory is an empty bucket. */
struct bkt {
	/*
	 * By slot number modulo its size: one window, the slot now, and one
	 * more, so that a clock that runs too fast by 1/128 still keeps a
	 * whole window.
	 */
	uint64_t taken[BKT_SLOTS + 2];
	/* Slot of the newest amount. */
	int64_t slot;
	/* Total of taken. */
	uint64_t sum;
};

/*
 * Takes up to want, as far as rate a second allows, and returns how much.
 * The last BKT_PACE slots and the present one give at most burst together, so
 * that a window's amount does not leave at once, with nothing after it.
 */
uint64_t bkt_take(struct bkt *bkt, apr_time_t now, uint64_t rate,
		  uint64_t burst, uint64_t want);

/* Counts an amount without a bound, for use as a meter. */
void bkt_add(struct bkt *bkt, apr_time_t now, uint64_t amount);

/*
 * Gives back an amount that was taken at taken_at and not used. What has
 * left the window meanwhile is ignored.
 */
void bkt_return(struct bkt *bkt, apr_time_t now, apr_time_t taken_at,
		uint64_t amount);

/* What was taken in the last window. */
uint64_t bkt_sum(struct bkt *bkt, apr_time_t now);

#endif
