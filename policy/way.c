#include "policy/way.h"

bool way_by_vm(enum way way)
{
	return way == WAY_RELAY || way == WAY_DETOUR;
}

enum way way_next(const struct way_view *view)
{
	const bool wait_for_renewal = view->unwell && view->renewing;

	switch (view->place) {
	case WAY_UNLISTED:
		if (wait_for_renewal)
			return WAY_WAIT;
		return view->may_lag ? WAY_LIST_LAGGING : WAY_LIST;
	case WAY_BEHIND:
		return wait_for_renewal ? WAY_WAIT : WAY_CATCH_UP;
	case WAY_PLACED:
		break;
	}
	if (view->relay)
		return WAY_RELAY;
	if (view->detour)
		return WAY_DETOUR;
	return wait_for_renewal || view->settling || view->idle ? WAY_WAIT
								: WAY_STORE;
}
