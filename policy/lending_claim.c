#include "policy/lending_claim.h"

#include <string.h>

/* Margin for coarse timers, in microseconds. */
#define TIMER_MARGIN 2000

apr_time_t lending_claim_reusable_at(apr_time_t now,
				     apr_interval_time_t duration)
{
	return now + duration + duration / LENDING_DRIFT_DIVISOR +
	       TIMER_MARGIN + RATELIMIT_WINDOW +
	       RATELIMIT_WINDOW / LENDING_DRIFT_DIVISOR;
}

static void remove_first(struct lending_claim *claim)
{
	claim->count--;
	memmove(claim->step, claim->step + 1,
		claim->count * sizeof(claim->step[0]));
}

/* Merges the two smallest steps into one that covers both. */
static void join_last(struct lending_claim *claim)
{
	const uint32_t last = claim->count - 1;

	claim->step[last - 1].reusable_at = claim->step[last].reusable_at;
	claim->count--;
}

void lending_claim_add(struct lending_claim *claim, uint64_t amount,
		       apr_time_t reusable_at)
{
	if (!amount)
		return;
	while (claim->count && claim->step[claim->count - 1].amount <= amount) {
		claim->count--;
		if (claim->step[claim->count].reusable_at > reusable_at)
			reusable_at = claim->step[claim->count].reusable_at;
	}
	if (claim->count &&
	    claim->step[claim->count - 1].reusable_at >= reusable_at)
		return;
	if (claim->count == LENDING_CLAIM_STEPS)
		join_last(claim);
	claim->step[claim->count].amount = amount;
	claim->step[claim->count].reusable_at = reusable_at;
	claim->count++;
}

uint64_t lending_claim_held(struct lending_claim *claim, apr_time_t now)
{
	while (claim->count && claim->step[0].reusable_at <= now)
		remove_first(claim);
	return claim->count ? claim->step[0].amount : 0;
}

apr_time_t lending_claim_end(const struct lending_claim *claim)
{
	return claim->count ? claim->step[claim->count - 1].reusable_at : 0;
}
