/*
 * The current speed of an upstream, by its own reports. Pure functions of
 * reports and `now`.
 *
 * Designed for: upstreams that run several times slower than usual for about
 * 600 ms and say so. A report is older than that by the time most VMs use it,
 * so its effect decays. Faults make others ten times slower for many seconds:
 * each request that finds out whether that is over takes so much longer, so the
 * effect of such a report lasts longer in proportion.
 */
#ifndef POLICY_UPSPEED_H
#define POLICY_UPSPEED_H

#include <apr_time.h>

/* Run time in percent of usual of an upstream that is neither slow nor fast. */
#define UPSPEED_USUAL 100

/*
 * Largest run time that is believed, in percent of usual: slow periods take
 * several times the usual, and what is beyond a hundred times is a fault.
 */
#define UPSPEED_MAX 10000

/* Zeroed memory is a valid empty state. */
struct upspeed {
	/* Last reported run time in percent of usual; 0: unknown. */
	unsigned percent;
	apr_time_t at;
	/* The report with the largest effect now; 0: none. */
	unsigned slowest_percent;
	apr_time_t slowest_at;
};

/* Records a reported run time in percent of usual, which must not be 0. */
void upspeed_note(struct upspeed *speed, unsigned percent, apr_time_t at);

/*
 * Returns the factor by which runs are expected to take longer than usual: 1
 * if the speed is unknown or above the usual.
 */
double upspeed_factor(const struct upspeed *speed, apr_time_t now);

/*
 * Returns the time expected of an attempt that has just ended, in which the
 * reports that arrived meanwhile count. expected is the time expected when it
 * was sent, and assumed the upspeed_factor() in it.
 */
apr_interval_time_t upspeed_explained(const struct upspeed *speed,
				      apr_interval_time_t expected,
				      double assumed, apr_time_t now);

#endif
