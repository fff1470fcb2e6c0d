/*
 * Token bucket over writes to the store.
 *
 * The fleet has a number of writes a second; each entry VM may spend its part
 * of them. A VM saves up one second's worth, or one write if that is less.
 */
#ifndef POLICY_TKT_BUDGET_H
#define POLICY_TKT_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include <apr_time.h>

struct tkt_budget {
	/* Of all entry VMs together. */
	uint32_t fleet_per_s;
	/* In millionths of a write. */
	uint64_t saved;
	apr_time_t at;
};

/* Starts full. */
void tkt_budget_init(struct tkt_budget *budget, uint32_t fleet_per_s,
		     apr_time_t now);

/*
 * Takes one write as one of so many VMs. Returns false when the part is spent
 * or the number is not known (0).
 */
bool tkt_budget_take(struct tkt_budget *budget, uint32_t vms, apr_time_t now);

#endif
