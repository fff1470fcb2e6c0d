#include "policy/feedstep.h"

bool feedstep_asks_vm(enum feedstep feedstep)
{
	return feedstep == FEEDSTEP_WATCH_RELAY ||
	       feedstep == FEEDSTEP_WATCH_FALLBACK;
}

enum feedstep feedstep_next(const struct feedstep_input *view)
{
	const bool wait_for_renewal =
		view->store_failing && view->renewing_lease;

	switch (view->list_state) {
	case FEEDSTEP_UNLISTED:
		if (wait_for_renewal)
			return FEEDSTEP_WAIT;
		return view->stale_list_allowed ? FEEDSTEP_LIST_REPLICA
						: FEEDSTEP_LIST;
	case FEEDSTEP_CHANGES_MISSING:
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
