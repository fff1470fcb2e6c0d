#include "steerd/pacelog.h"

#include "common/evt.h"

#define LOG_MODULE "pace"

/* Least time between two lines on one upstream. */
#define MIN_INTERVAL_US CLK_SEC(1)

bool pacelog_is_on(const struct st *st)
{
	return st->set->bounds.cold_overage > 0;
}

void pacelog_update(const struct st *st, struct up *up)
{
	const struct pace *last = &up->logged_pace;
	const apr_time_t now = clk_now(st->clk);
	const char *change;
	double share;

	if (!pacelog_is_on(st) ||
	    (up->pace.reason == PACE_NONE && last->reason == PACE_NONE) ||
	    (up->pace_logged_at && now - up->pace_logged_at < MIN_INTERVAL_US))
		return;
	share = pace_share(&up->pace, up->svc->trouble, now);
	if (up->pace.reason == PACE_NONE)
		change = "end";
	else if (last->reason == PACE_NONE)
		change = "set";
	else if (up->pace.level < last->level ||
		 up->pace.cold_level < last->cold_level)
		change = "down";
	else
		return;
	evt_log(UPSTREAM_PACE,
		"upstream=%s change=%s reason=%s share=%.2f cold_part=%.2f "
		"trouble=%.2f service_trouble=%.2f cold=%d",
		up->id.ptr, change, pace_reason_name(up->pace.reason), share,
		up->pace.cold_level, up->pace.trouble, up->svc->trouble,
		up_is_cold(up, now));
	up->logged_pace = up->pace;
	up->pace_logged_at = now;
}
