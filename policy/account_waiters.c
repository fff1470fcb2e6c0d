#include "policy/account_waiters.h"

#include <string.h>

void account_waiters_add(struct account_waiters *waiters,
			 const struct account_waiter *waiter)
{
	for (unsigned i = 0; i < ACCOUNT_WAITERS; i++) {
		if (waiters->list[i].unmet)
			continue;
		waiters->list[i] = *waiter;
		return;
	}
}

static void drop_first(struct account_waiters *waiters)
{
	memmove(&waiters->list[0], &waiters->list[1],
		(ACCOUNT_WAITERS - 1) * sizeof(waiters->list[0]));
	waiters->list[ACCOUNT_WAITERS - 1].unmet = 0;
}

bool account_waiters_serve(struct account_waiters *waiters, double *tokens,
			   apr_time_t now, struct account_waiter *out)
{
	const struct account_waiter *first = &waiters->list[0];

	while (first->unmet && first->until <= now)
		drop_first(waiters);
	if (!first->unmet || *tokens < 1)
		return false;
	*out = *first;
	if (*tokens < out->unmet)
		out->unmet = (unsigned)*tokens;
	*tokens -= out->unmet;
	/* What it lacks further it asks for again. */
	drop_first(waiters);
	return true;
}
