#include "policy/upspeed.h"

#include <math.h>

/*
 * Time in which a report loses two thirds of its effect: a slow period lasts
 * about 600 ms, and a report comes from any part of it.
 */
#define DECAY_US 400000.0

/* Run time in percent of usual up to which DECAY_US holds. */
#define SLOW_PERIOD_SPEED 250.0

/* Longest decay time: a VM must notice that an upstream has recovered. */
#define MAX_DECAY_US 4000000.0

static double decay_time(unsigned percent)
{
	const double time = DECAY_US * percent / SLOW_PERIOD_SPEED;

	return fmin(fmax(time, DECAY_US), MAX_DECAY_US);
}

static double decayed_factor(unsigned percent, apr_time_t at, apr_time_t now)
{
	if (percent <= UPSPEED_USUAL)
		return 1;
	return 1 + ((double)percent / UPSPEED_USUAL - 1) *
			   exp(-(double)(now - at) / decay_time(percent));
}

void upspeed_note(struct upspeed *speed, unsigned percent, apr_time_t at)
{
	speed->percent = percent;
	speed->at = at;
	if (decayed_factor(percent, at, at) <
	    decayed_factor(speed->slowest_percent, speed->slowest_at, at))
		return;
	speed->slowest_percent = percent;
	speed->slowest_at = at;
}

double upspeed_factor(const struct upspeed *speed, apr_time_t now)
{
	return decayed_factor(speed->percent, speed->at, now);
}

apr_interval_time_t upspeed_explained(const struct upspeed *speed,
				      apr_interval_time_t expected,
				      double assumed, apr_time_t now)
{
	/* The last report may come from after the slow part of the run. */
	const double slowest =
		decayed_factor(speed->slowest_percent, speed->slowest_at, now);

	if (assumed < 1 || slowest <= assumed)
		return expected;
	return (apr_interval_time_t)((double)expected * slowest / assumed);
}
