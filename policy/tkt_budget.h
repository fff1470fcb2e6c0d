/* Token bucket over writes to the store: one second's worth may be saved. */
#ifndef POLICY_TKT_BUDGET_H
#define POLICY_TKT_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include <apr_time.h>

struct tkt_budget {
	uint32_t per_s;
	/* In millionths of a write. */
	uint64_t saved;
	apr_time_t at;
};

/* Starts full. */
void tkt_budget_init(struct tkt_budget *budget, uint32_t per_s, apr_time_t now);

/* Takes one write; false when the budget is spent. */
bool tkt_budget_take(struct tkt_budget *budget, apr_time_t now);

#endif
