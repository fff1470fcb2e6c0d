/*
 * Phases of a planned stop. Pure.
 *
 * Designed for: callers that keep on sending while the VM stops, on new
 * connections and ahead on those that they have, until the process is gone. In
 * the first phase everything is served, since callers use cached look-up
 * answers. Then each connection ends with the requests that it already
 * carries; of these, one whose answer cannot be expected within the grace
 * period is refused while it has not run, since its caller can go elsewhere.
 */
#ifndef POLICY_SHUTDOWN_H
#define POLICY_SHUTDOWN_H

#include <stdbool.h>

#include <apr_time.h>

/* A stop in progress; times in microseconds. */
struct shutdown {
	/* Time since the order to stop. */
	apr_interval_time_t elapsed;
	/* Time from that order until the process is killed. */
	apr_interval_time_t grace;
};

/* Whether new connections and further requests are accepted. */
bool shutdown_accepts(const struct shutdown *shutdown);

/* Whether a request may be sent that is expected to take so long. */
bool shutdown_admits(const struct shutdown *shutdown,
		     apr_interval_time_t expected);

/* Whether the requests that are left are abandoned. */
bool shutdown_is_over(const struct shutdown *shutdown);

#endif
