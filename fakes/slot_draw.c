#include "fakes/slot_draw.h"

#include <math.h>

#include "policy/domsplit_goal.h"

/* Number of values of the generator's 53 bits. */
#define UNIFORM_STEPS 9007199254740992.0

int slot_draw_region_of(int domain)
{
	return domain / (SLOT_MODEL_DOMAINS / SLOT_MODEL_REGIONS);
}

int slot_draw_domain_of(int entry)
{
	return entry / SLOT_MODEL_PER_DOMAIN;
}

uint64_t slot_draw_random(struct slot_draw *draw)
{
	draw->state ^= draw->state << 13;
	draw->state ^= draw->state >> 7;
	draw->state ^= draw->state << 17;
	return draw->state * 0x2545f4914f6cdd1du;
}

static double uniform(struct slot_draw *draw)
{
	return (double)(slot_draw_random(draw) >> 11) / UNIFORM_STEPS;
}

double slot_draw_exponential(struct slot_draw *draw, double mean)
{
	return -mean * log(1 - uniform(draw));
}

apr_interval_time_t slot_draw_service(struct slot_draw *draw,
				      apr_interval_time_t mean)
{
	if (draw->fixed_times)
		return mean;
	return 1 + (apr_interval_time_t)slot_draw_exponential(draw, mean);
}

/*
 * Returns the index that at, from 0 to below 1, selects by weights that add up
 * to 1.
 */
static int weighted_index(const double *parts, int count, double at)
{
	int last = 0;

	for (int i = 0; i < count; i++) {
		if (parts[i] <= 0)
			continue;
		if (at < parts[i])
			return i;
		at -= parts[i];
		last = i;
	}
	return last;
}

/* The entry VMs of a region get the region's part of the load. */
uint16_t slot_draw_entry(struct slot_draw *draw)
{
	const int region =
		weighted_index(draw->region, SLOT_MODEL_REGIONS, uniform(draw));
	const uint32_t live = SLOT_MODEL_PER_REGION - draw->entries_lost;

	return (uint16_t)(region * SLOT_MODEL_PER_REGION +
			  (int)draw->entries_lost +
			  (int)(slot_draw_random(draw) % live));
}

uint16_t slot_draw_domain(struct slot_draw *draw, int entry)
{
	return (uint16_t)weighted_index(draw->goal[slot_draw_domain_of(entry)],
					SLOT_MODEL_DOMAINS, uniform(draw));
}

/* Only the first domain of each region lacks entry VMs. */
static int entries_lost_in(const struct slot_draw *draw, int domain)
{
	const int place = domain % (SLOT_MODEL_DOMAINS / SLOT_MODEL_REGIONS);

	return place == 0 ? (int)draw->entries_lost : 0;
}

int slot_draw_init(struct slot_draw *draw, const struct slot_model_cfg *cfg,
		   const uint32_t slots[SLOT_MODEL_DOMAINS])
{
	struct domsplit_domain places[SLOT_MODEL_DOMAINS];
	double demand[SLOT_MODEL_DOMAINS];
	double total = 0;
	int err = 0;

	*draw = (struct slot_draw){
		.state = cfg->seed * 0x9e3779b97f4a7c15u | 1,
		.fixed_times = cfg->fixed_times,
		.entries_lost = cfg->entries_lost,
	};
	for (int d = 0; d < SLOT_MODEL_DOMAINS; d++)
		total += slots[d];
	for (int d = 0; d < SLOT_MODEL_DOMAINS; d++) {
		const int region = slot_draw_region_of(d);
		int entries;

		places[d] = (struct domsplit_domain){
			.region = (uint32_t)region,
			.weight = slots[d],
		};
		draw->region[region] += slots[d] / total;
		entries = SLOT_MODEL_PER_DOMAIN - entries_lost_in(draw, d);
		demand[d] = entries;
	}
	for (int d = 0; d < SLOT_MODEL_DOMAINS && !err; d++) {
		const size_t region = (size_t)slot_draw_region_of(d);

		err = domsplit_goal(places, SLOT_MODEL_DOMAINS, draw->region,
				    SLOT_MODEL_REGIONS, region, draw->goal[d]);
		if (!err && !cfg->cross_domain)
			err = domsplit_goal_domain(places, SLOT_MODEL_DOMAINS,
						   demand, (size_t)d,
						   draw->goal[d]);
	}
	return err;
}
