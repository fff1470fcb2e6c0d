#include "policy/spillover.h"

#include <math.h>

#include "common/str.h"

/* Fraction of a region's slots that its own requests may fill. */
#define OWN_UTILIZATION 0.5

/* Minimum time between two updates. */
#define SPLIT_INTERVAL_US 250000

/* Fraction of the shift cap that one VM uses, since VMs' views differ. */
#define CAP_SHARE 0.5

/* Weight of a region that is chosen only if no other is available. */
#define WEIGHT_MIN 1e-9

/* Whether the slots of an upstream count as capacity of its region. */
static bool has_capacity(const struct up *up,
			 const struct spillover_rules *rules)
{
	if (up->region < 0 || up->state != UP_READY)
		return false;
	return up->domain < 0 || !rules->evacuated ||
	       !rules->evacuated[up->domain];
}

static double slots_by_region(const struct registry_service *svc,
			      const struct spillover_rules *rules,
			      double *slots)
{
	double total = 0;

	for (int r = 0; r < rules->geo->region_count; r++)
		slots[r] = 0;
	for (size_t i = 0; i < svc->count; i++) {
		const struct up *up = svc->ups[i];

		if (!has_capacity(up, rules))
			continue;
		slots[up->region] += up->slots;
		total += up->slots;
	}
	return total;
}

/* Fraction of its own requests that a region keeps. */
static double kept_share(const struct registry_service *svc, double own,
			 double even, const struct spillover_rules *rules,
			 apr_time_t now)
{
	const double busy = rankstats_busy_slots(&svc->ranks, now) * rules->vms;
	const double by_load = busy > 0 ? OWN_UTILIZATION * own / busy : 0;
	const double by_slots = even > 0 ? own / even : 0;
	const double keep = by_load > by_slots ? by_load : by_slots;

	return keep < 1 ? keep : 1;
}

static void target_split(const struct registry_service *svc,
			 const struct spillover_rules *rules, apr_time_t now,
			 double *out)
{
	const int count = rules->geo->region_count;
	double slots[GEO_MAX_REGIONS];
	const double total = slots_by_region(svc, rules, slots);
	const double even = total / count;
	double room = 0;
	double keep;

	keep = kept_share(svc, slots[rules->own], even, rules, now);
	for (int r = 0; r < count; r++) {
		/* If no region has more than its even share, slots decide. */
		out[r] = slots[r] > even ? slots[r] - even : slots[r] / 1000;
		if (r == rules->own)
			out[r] = 0;
		room += out[r];
	}
	if (room <= 0)
		keep = 1;
	for (int r = 0; r < count; r++)
		out[r] = room > 0 ? out[r] / room * (1 - keep) : 0;
	out[rules->own] = keep;
}

void spillover_update(struct registry_service *svc,
		      const struct spillover_rules *rules, apr_time_t now)
{
	const apr_interval_time_t passed = now - svc->split_at;
	double target[GEO_MAX_REGIONS];
	double max_change;

	if (svc->split_at && passed < SPLIT_INTERVAL_US)
		return;
	target_split(svc, rules, now, target);
	max_change = CAP_SHARE * rules->shift_most * (double)passed /
		     (2.0 * APR_USEC_PER_SEC);
	for (int r = 0; r < rules->geo->region_count; r++) {
		const double diff = target[r] - svc->split[r];

		if (!svc->split_at || fabs(diff) <= max_change)
			svc->split[r] = target[r];
		else
			svc->split[r] += diff > 0 ? max_change : -max_change;
	}
	svc->split_at = now;
}

/* Hash of an object and a region, uniform over (0, 1). */
static double unit_hash(uint64_t object, int region)
{
	const uint64_t hash =
		str_hash((struct str){.ptr = (const char *)&object,
				      .len = sizeof(object)},
			 (uint64_t)region + 1);

	return ((double)(hash >> 11) + 0.5) * 0x1p-53;
}

void spillover_order(const struct registry_service *svc, const struct geo *geo,
		     uint64_t object, int *out)
{
	double score[GEO_MAX_REGIONS];

	for (int r = 0; r < geo->region_count; r++) {
		const double weight =
			svc->split[r] > WEIGHT_MIN ? svc->split[r] : WEIGHT_MIN;
		int at = r;

		score[r] = -log(unit_hash(object, r)) / weight;
		while (at > 0 && score[out[at - 1]] > score[r]) {
			out[at] = out[at - 1];
			at--;
		}
		out[at] = r;
	}
}
