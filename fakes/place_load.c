/* Loads of the placement model. */
#include "common/clk.h"
#include "fakes/place_model.h"

struct placesim_load placesim_current_load(uint64_t seed)
{
	return (struct placesim_load){
		.upstreams = {1, 5, 5},
		.vms = {4, 4, 4},
		.slots = 4,
		.queue = 12,
		.objects = 47,
		.warm_capacity = 26,
		.rate = 42,
		.bulk_objects = 24,
		.bulk_latency_target = CLK_MS(1200),
		.burst = 1,
		.slow_factor = 1,
		.run_time = CLK_MS(640),
		.warm_factor = 0.3,
		.region_rtt = CLK_MS(110),
		.latency_target = CLK_MS(500),
		.duration = CLK_SEC(40),
		.seed = seed,
	};
}

struct placesim_load placesim_grown_load(uint64_t seed)
{
	struct placesim_load load = placesim_current_load(seed);

	load.upstreams[0] = 5;
	load.upstreams[1] = 22;
	load.upstreams[2] = 26;
	for (int r = 0; r < PLACESIM_REGIONS; r++)
		load.vms[r] = 16;
	load.objects = 234;
	load.rate = 340;
	load.share_delay = CLK_MS(100);
	load.run_time = CLK_MS(768);
	load.warm_factor = 0.25;
	return load;
}

struct placesim_load placesim_uneven_load(uint64_t seed)
{
	struct placesim_load load = placesim_current_load(seed);

	load.upstreams[0] = 4;
	load.upstreams[1] = 18;
	load.upstreams[2] = 19;
	load.vms[0] = 5;
	load.vms[1] = 6;
	load.vms[2] = 6;
	load.slots = 3;
	load.objects = 234;
	load.rate = 216;
	load.share_delay = CLK_MS(100);
	load.run_time = CLK_MS(410);
	load.latency_target = CLK_MS(400);
	load.slow_share = 0.15;
	load.slow_factor = 2.5;
	load.slow_for = CLK_MS(600);
	return load;
}

const char *placesim_policy_name(enum placesim_policy policy)
{
	static const char *const names[] = {
		[PLACESIM_OWN] = "own",
		[PLACESIM_NO_ADMISSION] = "open_lines",
		[PLACESIM_RANDOM] = "random",
		[PLACESIM_LEAST_LOAD] = "least_load",
		[PLACESIM_TWO_CHOICES] = "two_choices",
		[PLACESIM_HASH] = "hash",
	};

	return names[policy];
}
