#include "policy/feedstep.h"

/*
 * Time without trouble after which the users expect changes to be known in
 * time, less the time-out of a call (2 s) and the time to make it again.
 */
#define CALM_TIME_US 1000000

/* Well below the time for which the store keeps its history. */
#define MAX_WATCH_TIME_US 9000000

bool feedstep_asks_vm(enum feedstep feedstep)
{
	return feedstep == FEEDSTEP_LIST_RELAY ||
	       feedstep == FEEDSTEP_WATCH_RELAY ||
	       feedstep == FEEDSTEP_WATCH_FALLBACK;
}

const char *feedstep_name(enum feedstep feedstep)
{
	switch (feedstep) {
	case FEEDSTEP_LIST:
		return "store";
	case FEEDSTEP_LIST_REPLICA:
		return "replica";
	case FEEDSTEP_LIST_RELAY:
		return "relay";
	case FEEDSTEP_POLL_REPLICA:
	case FEEDSTEP_CATCH_UP:
	case FEEDSTEP_WATCH_STORE:
	case FEEDSTEP_WATCH_RELAY:
	case FEEDSTEP_WATCH_FALLBACK:
	case FEEDSTEP_WAIT:
		break;
	}
	return "-";
}

enum feedstep feedstep_next(const struct feedstep_input *view)
{
	const bool wait_for_renewal =
		view->store_failing && view->renewing_lease;

	switch (view->list_state) {
	case FEEDSTEP_UNLISTED:
		if (view->store_restored && view->has_relay)
			return FEEDSTEP_LIST_RELAY;
		if (wait_for_renewal)
			return FEEDSTEP_WAIT;
		if (!view->stale_list_allowed)
			return FEEDSTEP_LIST;
		if (view->awaits_relay)
			return FEEDSTEP_WAIT;
		return view->has_relay ? FEEDSTEP_LIST_RELAY
				       : FEEDSTEP_LIST_REPLICA;
	case FEEDSTEP_CHANGES_MISSING:
		if (view->has_relay)
			return FEEDSTEP_LIST_RELAY;
		return wait_for_renewal ? FEEDSTEP_WAIT : FEEDSTEP_CATCH_UP;
	case FEEDSTEP_UNCONFIRMED:
	case FEEDSTEP_LISTED:
		break;
	}
	if (view->has_relay)
		return FEEDSTEP_WATCH_RELAY;
	if (view->has_fallback)
		return FEEDSTEP_WATCH_FALLBACK;
	if (wait_for_renewal)
		return FEEDSTEP_WAIT;
	if (view->may_poll)
		return FEEDSTEP_POLL_REPLICA;
	if (view->in_start_grace || view->awaits_table)
		return FEEDSTEP_WAIT;
	return view->list_state == FEEDSTEP_UNCONFIRMED ? FEEDSTEP_CATCH_UP
							: FEEDSTEP_WATCH_STORE;
}

apr_interval_time_t feedstep_watch_time(apr_interval_time_t leave)
{
	const apr_interval_time_t wait = leave + CALM_TIME_US;

	return wait < MAX_WATCH_TIME_US ? wait : MAX_WATCH_TIME_US;
}

bool feedstep_answer_lost(const struct feedstep_failure *failure)
{
	return failure->now - failure->called_at >= failure->wait &&
	       failure->answered_since > failure->called_at;
}
