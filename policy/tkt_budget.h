/*
 * Token bucket for writes to the store.
 *
 * The fleet's writes per second are divided evenly among the entry VMs. The
 * bucket of a VM holds at most one second's share, or one write if that is
 * more.
 */
#ifndef POLICY_TKT_BUDGET_H
#define POLICY_TKT_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include <apr_time.h>

struct tkt_budget {
	/* Writes per second of all entry VMs together. */
	uint32_t fleet_per_s;
	/* Content of the bucket, in millionths of a write. */
	uint64_t tokens;
	apr_time_t refilled_at;
};

/* The bucket starts full. */
void tkt_budget_init(struct tkt_budget *budget, uint32_t fleet_per_s,
		     apr_time_t now);

/*
 * Takes one write from the bucket of one of vms VMs. Returns false when the
 * bucket has none, or when the number of VMs is not known (0).
 */
bool tkt_budget_take(struct tkt_budget *budget, uint32_t vms, apr_time_t now);

#endif
