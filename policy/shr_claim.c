#include "policy/shr_claim.h"

#include <string.h>

/* Margin for the coarseness of timers. */
#define TIMER_MARGIN 2000

apr_time_t shr_claim_back_at(apr_time_t now, apr_interval_time_t duration)
{
	return now + duration + duration / SHR_DRIFT + TIMER_MARGIN +
	       BKT_WINDOW + BKT_WINDOW / SHR_DRIFT;
}

static void remove_first(struct shr_claim *claim)
{
	claim->count--;
	memmove(claim->step, claim->step + 1,
		claim->count * sizeof(claim->step[0]));
}

/* The two smallest steps become one that covers both. */
static void join_last(struct shr_claim *claim)
{
	const uint32_t last = claim->count - 1;

	claim->step[last - 1].back_at = claim->step[last].back_at;
	claim->count--;
}

void shr_claim_add(struct shr_claim *claim, uint64_t amount, apr_time_t back_at)
{
	if (!amount)
		return;
	while (claim->count && claim->step[claim->count - 1].amount <= amount) {
		claim->count--;
		if (claim->step[claim->count].back_at > back_at)
			back_at = claim->step[claim->count].back_at;
	}
	if (claim->count && claim->step[claim->count - 1].back_at >= back_at)
		return;
	if (claim->count == SHR_STEPS)
		join_last(claim);
	claim->step[claim->count].amount = amount;
	claim->step[claim->count].back_at = back_at;
	claim->count++;
}

uint64_t shr_claim_held(struct shr_claim *claim, apr_time_t now)
{
	while (claim->count && claim->step[0].back_at <= now)
		remove_first(claim);
	return claim->count ? claim->step[0].amount : 0;
}

apr_time_t shr_claim_end(const struct shr_claim *claim)
{
	return claim->count ? claim->step[claim->count - 1].back_at : 0;
}
