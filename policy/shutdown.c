#include "policy/shutdown.h"

/* Longest part of a look-up answer's time for which callers still arrive. */
#define ACCEPT_TIME_US 1200000

/* Fraction of the grace period after which requests are abandoned. */
#define GRACE_FRACTION 0.94

/* Ratio of the time that a request may take to the time expected of it. */
#define EXPECTED_RATIO 2

/* Time until the requests that are left are abandoned. */
static apr_interval_time_t time_left(const struct shutdown *shutdown)
{
	return (apr_interval_time_t)((double)shutdown->grace * GRACE_FRACTION) -
	       shutdown->elapsed;
}

bool shutdown_accepts(const struct shutdown *shutdown)
{
	return shutdown->elapsed < ACCEPT_TIME_US &&
	       !shutdown_is_over(shutdown);
}

bool shutdown_admits(const struct shutdown *shutdown,
		     apr_interval_time_t expected)
{
	return expected < time_left(shutdown) / EXPECTED_RATIO;
}

bool shutdown_is_over(const struct shutdown *shutdown)
{
	return time_left(shutdown) <= 0;
}
