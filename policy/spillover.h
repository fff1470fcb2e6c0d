/*
 * Splits the requests of one region over all regions. Pure functions.
 *
 * Designed for: callers that are spread evenly over regions while upstreams
 * are not. A region keeps the requests that its own slots can run and gives
 * the rest to regions with room. The split follows its target slowly, so that
 * no region's load changes faster than the shift cap.
 */
#ifndef POLICY_SPILLOVER_H
#define POLICY_SPILLOVER_H

#include "policy/geo.h"
#include "policy/registry.h"

struct spillover_rules {
	const struct geo *geo;
	/* Index of the region whose requests are split. */
	int own;
	/* Number of entry VMs that share the region's requests, at least 1. */
	unsigned vms;
	/* Evacuated domains, by domain index; NULL if there are none. */
	const bool *evacuated;
	/* Maximum change of a region's fraction in two seconds. */
	double shift_most;
};

/* Moves svc->split towards its target by the time since the last update. */
void spillover_update(struct registry_service *svc,
		      const struct spillover_rules *rules, apr_time_t now);

/*
 * Orders the regions for one object by weighted rendezvous hashing, so that
 * VMs agree without communication and few objects move when weights change.
 * Writes the indices of all regions to out, the first choice first.
 */
void spillover_order(const struct registry_service *svc, const struct geo *geo,
		     uint64_t object, int *out);

#endif
