#include "policy/tkt_budget.h"

#define WRITE UINT64_C(1000000)

void tkt_budget_init(struct tkt_budget *budget, uint32_t per_s, apr_time_t now)
{
	*budget = (struct tkt_budget){
		.per_s = per_s,
		.saved = per_s * WRITE,
		.at = now,
	};
}

bool tkt_budget_take(struct tkt_budget *budget, apr_time_t now)
{
	const uint64_t most = budget->per_s * WRITE;
	const uint64_t passed = now > budget->at ? now - budget->at : 0;

	if (passed >= APR_USEC_PER_SEC)
		budget->saved = most;
	else
		budget->saved += passed * budget->per_s;
	if (budget->saved > most)
		budget->saved = most;
	budget->at = now;
	if (budget->saved < WRITE)
		return false;
	budget->saved -= WRITE;
	return true;
}
