#include "policy/tkt_budget.h"

#define WRITE UINT64_C(1000000)
/* More than any part; cut to the part with the first write. */
#define FULL (UINT64_C(1) << 62)

void tkt_budget_init(struct tkt_budget *budget, uint32_t fleet_per_s,
		     apr_time_t now)
{
	*budget = (struct tkt_budget){
		.fleet_per_s = fleet_per_s,
		.saved = FULL,
		.at = now,
	};
}

bool tkt_budget_take(struct tkt_budget *budget, uint32_t vms, apr_time_t now)
{
	/* Millionths of a write in a second. */
	const uint64_t rate = budget->fleet_per_s * WRITE / (vms ? vms : 1);
	const uint64_t most = rate > WRITE ? rate : WRITE;
	const uint64_t longest = most * APR_USEC_PER_SEC / (rate ? rate : 1);
	uint64_t passed = now > budget->at ? (uint64_t)(now - budget->at) : 0;

	if (passed > longest)
		passed = longest;
	budget->saved += passed * rate / APR_USEC_PER_SEC;
	if (budget->saved > most)
		budget->saved = most;
	budget->at = now;
	if (!vms || budget->saved < WRITE)
		return false;
	budget->saved -= WRITE;
	return true;
}
