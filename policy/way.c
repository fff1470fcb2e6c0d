#include "policy/way.h"

bool way_asks_vm(enum way way)
{
	return way == WAY_WATCH_RELAY || way == WAY_WATCH_FALLBACK;
}

enum way way_next(const struct way_input *view)
{
	const bool wait_for_renewal =
		view->store_failing && view->renewing_lease;

	switch (view->list_state) {
	case WAY_UNLISTED:
		if (wait_for_renewal)
			return WAY_WAIT;
		return view->stale_list_allowed ? WAY_LIST_REPLICA : WAY_LIST;
	case WAY_CHANGES_MISSING:
		return wait_for_renewal ? WAY_WAIT : WAY_CATCH_UP;
	case WAY_LISTED:
		break;
	}
	if (view->has_relay)
		return WAY_WATCH_RELAY;
	if (view->has_fallback)
		return WAY_WATCH_FALLBACK;
	return wait_for_renewal || view->in_start_grace || view->awaits_table
		       ? WAY_WAIT
		       : WAY_WATCH_STORE;
}
