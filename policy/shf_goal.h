/*
 * The split that an entry VM aims at: its own failure domain first, then its
 * own region, as far as the fleet-wide split by the table's weights allows.
 */
#ifndef POLICY_SHF_GOAL_H
#define POLICY_SHF_GOAL_H

#include <stddef.h>
#include <stdint.h>

/* One failure domain, as the goal sees it. */
struct shf_place {
	/* Index of its region, below region_count. */
	uint32_t region;
	/* The table's weight, or 0 when no upstream there takes work. */
	double weight;
};

/*
 * Writes parts of the traffic of an entry VM in region own (region_count:
 * none) for each domain; the sum is 1, or 0 when no domain has a weight.
 * demand: part of the fleet's requests that arrives in each region.
 *
 * With f the part of the weights and d the part of the demand of a region,
 * an entry keeps min(1, f / d) in its region and gives the rest to regions
 * with f > d in proportion to f - d. When demand is as stated, the sum over
 * all entries is the split by weights, with the fewest requests that leave
 * their region. Returns 0 or PST_ERR_NOMEM.
 */
int shf_goal(const struct shf_place *places, size_t count, const double *demand,
	     size_t region_count, size_t own, double *out);

/*
 * Applies the same rule within the region of failure domain own (count: none)
 * to what shf_goal() wrote: with f and d as parts of the region, an entry
 * keeps min(1, f / d) of what stays in its region in its own domain, but for
 * 0.1% that stay split by weight: a redraw needs a domain with a part. demand:
 * part of the fleet's requests that arrives in each domain. The sum over the
 * entries of a region stays the same. Returns 0 or PST_ERR_NOMEM.
 */
int shf_goal_domain(const struct shf_place *places, size_t count,
		    const double *demand, size_t own, double *goal);

#endif
