/* Loads of the placement model. */
#include "common/clk.h"
#include "fakes/place_model.h"

struct pmd_load pmd_current_load(uint64_t seed)
{
	return (struct pmd_load){
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

struct pmd_load pmd_grown_load(uint64_t seed)
{
	struct pmd_load load = pmd_current_load(seed);

	load.upstreams[0] = 5;
	load.upstreams[1] = 22;
	load.upstreams[2] = 26;
	for (int r = 0; r < PMD_REGIONS; r++)
		load.vms[r] = 16;
	load.objects = 234;
	load.rate = 340;
	load.share_delay = CLK_MS(100);
	load.run_time = CLK_MS(768);
	load.warm_factor = 0.25;
	return load;
}

const char *pmd_policy_name(enum pmd_policy policy)
{
	static const char *const names[] = {
		[PMD_OWN] = "own",
		[PMD_NO_ADMISSION] = "open_lines",
		[PMD_RANDOM] = "random",
		[PMD_LEAST_LOAD] = "least_load",
		[PMD_TWO_CHOICES] = "two_choices",
		[PMD_HASH] = "hash",
	};

	return names[policy];
}
