#include "policy/downtime.h"

/*
 * Time in which entries return after an outage, in microseconds: about two
 * seconds, and a margin.
 */
#define RETURN_TIME_US 2300000

/* Largest age of a deletion when the watch reports it, in microseconds. */
#define MAX_DELETION_AGE_US 700000

bool downtime_record_call(struct downtime *downtime, bool failed,
			  apr_time_t now)
{
	const bool back = !failed && downtime->store_unavailable;

	if (back)
		downtime->ended_at = now;
	downtime->store_unavailable = failed;
	return back;
}

void downtime_note_restore(struct downtime *downtime, apr_time_t now)
{
	downtime->ended_at = now;
}

bool downtime_is_recent(const struct downtime *downtime, apr_time_t now)
{
	return downtime->store_unavailable ||
	       (downtime->ended_at &&
		now - downtime->ended_at < RETURN_TIME_US);
}

apr_time_t downtime_hold_until(const struct downtime *downtime,
			       apr_interval_time_t leave, apr_time_t now)
{
	const apr_time_t back =
		(downtime->store_unavailable ? now : downtime->ended_at) +
		RETURN_TIME_US;
	const apr_time_t latest = now + leave - MAX_DELETION_AGE_US;

	if (!downtime_is_recent(downtime, now) || latest <= now)
		return 0;
	return back < latest ? back : latest;
}
