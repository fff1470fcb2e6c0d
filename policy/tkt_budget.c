#include "policy/tkt_budget.h"

#define TOKENS_PER_WRITE UINT64_C(1000000)
/* More than any bucket holds; the first write cuts it to the capacity. */
#define TOKENS_UNLIMITED (UINT64_C(1) << 62)

void tkt_budget_init(struct tkt_budget *budget, uint32_t fleet_per_s,
		     apr_time_t now)
{
	*budget = (struct tkt_budget){
		.fleet_per_s = fleet_per_s,
		.tokens = TOKENS_UNLIMITED,
		.refilled_at = now,
	};
}

bool tkt_budget_take(struct tkt_budget *budget, uint32_t vms, apr_time_t now)
{
	/* Tokens per second. */
	const uint64_t rate =
		budget->fleet_per_s * TOKENS_PER_WRITE / (vms ? vms : 1);
	const uint64_t capacity =
		rate > TOKENS_PER_WRITE ? rate : TOKENS_PER_WRITE;
	const uint64_t time_to_full =
		capacity * APR_USEC_PER_SEC / (rate ? rate : 1);
	uint64_t elapsed = now > budget->refilled_at
				   ? (uint64_t)(now - budget->refilled_at)
				   : 0;

	if (elapsed > time_to_full)
		elapsed = time_to_full;
	budget->tokens += elapsed * rate / APR_USEC_PER_SEC;
	if (budget->tokens > capacity)
		budget->tokens = capacity;
	budget->refilled_at = now;
	if (!vms || budget->tokens < TOKENS_PER_WRITE)
		return false;
	budget->tokens -= TOKENS_PER_WRITE;
	return true;
}
