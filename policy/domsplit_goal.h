/*
 * The split that an entry VM moves towards: it prefers its own failure domain,
 * then its own region, while the split of the whole fleet follows the table's
 * weights.
 */
#ifndef POLICY_DOMSPLIT_GOAL_H
#define POLICY_DOMSPLIT_GOAL_H

#include <stddef.h>
#include <stdint.h>

/* One failure domain, as input to the goal. */
struct domsplit_domain {
	/* Index of its region, below region_count. */
	uint32_t region;
	/* The table's weight, or 0 when no upstream there takes work. */
	double weight;
};

/*
 * Writes each domain's part of the traffic of an entry VM in region own
 * (region_count when it is in none). The sum is 1, or 0 when no domain has a
 * weight. demand is the part of the fleet's requests that arrives in each
 * region.
 *
 * With f a region's part of the weights and d its part of the demand, an entry
 * VM keeps min(1, f / d) of its traffic in its region and spreads the rest over
 * regions with f > d, in proportion to f - d. While demand is accurate, the sum
 * over all entry VMs is the split by weights, and as few requests as possible
 * leave their region. Returns 0 or PST_ERR_NOMEM.
 */
int domsplit_goal(const struct domsplit_domain *places, size_t count,
		  const double *demand, size_t region_count, size_t own,
		  double *out);

/*
 * Applies the same rule to the output of domsplit_goal() within the region of
 * failure domain own (count when there is none): with f and d as parts of the
 * region, an entry VM keeps min(1, f / d) of the traffic that stays in its
 * region in its own domain. 0.1% of that traffic stays split by weight, since
 * a request can only be redrawn to a domain that has a part. demand is the part
 * of the fleet's requests that arrives in each domain. The sum over the entry
 * VMs of a region does not change. Returns 0 or PST_ERR_NOMEM.
 */
int domsplit_goal_domain(const struct domsplit_domain *places, size_t count,
			 const double *demand, size_t own, double *goal);

#endif
