#include "policy/otg.h"

/*
 * Time in which entries return after an outage, in microseconds: about two
 * seconds, and a margin.
 */
#define RETURN_TIME_US 2300000

/* Largest age of a deletion when the watch reports it, in microseconds. */
#define MAX_DELETION_AGE_US 700000

bool otg_record_call(struct otg *otg, bool failed, apr_time_t now)
{
	const bool back = !failed && otg->store_unavailable;

	if (back)
		otg->ended_at = now;
	otg->store_unavailable = failed;
	return back;
}

bool otg_is_recent(const struct otg *otg, apr_time_t now)
{
	return otg->store_unavailable ||
	       (otg->ended_at && now - otg->ended_at < RETURN_TIME_US);
}

apr_time_t otg_hold_until(const struct otg *otg, apr_interval_time_t leave,
			  apr_time_t now)
{
	const apr_time_t back =
		(otg->store_unavailable ? now : otg->ended_at) + RETURN_TIME_US;
	const apr_time_t latest = now + leave - MAX_DELETION_AGE_US;

	if (!otg_is_recent(otg, now) || latest <= now)
		return 0;
	return back < latest ? back : latest;
}
