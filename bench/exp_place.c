/*
 * Usage: exp_place [SEEDS]
 *
 * Runs the placement model and prints one line of CSV for each load, policy
 * and seed.
 */
#include <stdio.h>
#include <stdlib.h>

#include "common/clk.h"
#include "fakes/place_model.h"

static void run(const char *name, const struct placesim_load *load)
{
	for (int p = 0; p < PLACESIM_POLICIES; p++) {
		struct placesim_result r;

		if (placesim_run(load, (enum placesim_policy)p, &r)) {
			fprintf(stderr, "%s: out of memory\n", name);
			exit(EXIT_FAILURE);
		}
		printf("%s,%d,%.0f,%llu,%s,%.4f,%.4f,%.4f,%.4f,%.4f,%lld,%"
		       "lld,%.0f,%.4f\n",
		       name, load->objects, load->rate,
		       (unsigned long long)load->seed,
		       placesim_policy_name((enum placesim_policy)p),
		       placesim_in_time_share(&r), placesim_worst_region(&r),
		       placesim_worst_windows(&r),
		       (double)r.refused / r.requests,
		       r.count ? (double)r.warm / r.count : 0,
		       (long long)r.p50 / 1000, (long long)r.p99 / 1000,
		       load->bulk_rate, placesim_bulk_in_time_share(&r));
		placesim_free(&r);
	}
}

/* Installations without load reports, objects, some upstreams or slots. */
static void other_installations(uint64_t seed)
{
	struct placesim_load load = placesim_current_load(seed);

	load.no_load_reports = true;
	for (load.rate = 40; load.rate <= 100; load.rate += 30)
		run("silent", &load);
	load = placesim_current_load(seed);
	load.warm_factor = 1;
	load.run_time = CLK_MS(300);
	for (load.rate = 40; load.rate <= 100; load.rate += 30)
		run("no_objects", &load);
	load = placesim_current_load(seed);
	load.rate = 60;
	for (load.objects = 50; load.objects <= 400; load.objects *= 2)
		run("objects", &load);
	load = placesim_current_load(seed);
	load.slots = 1;
	load.queue = 2;
	for (load.rate = 10; load.rate <= 30; load.rate += 10)
		run("one_slot", &load);
	load = placesim_current_load(seed);
	load.upstreams[0] = 0;
	load.upstreams[1] = 6;
	for (load.rate = 40; load.rate <= 80; load.rate += 20)
		run("empty_region", &load);
}

/* Floods of bulk and of urgent requests to the same upstreams. */
static void rank_floods(uint64_t seed)
{
	struct placesim_load load = placesim_current_load(seed);

	for (load.bulk_rate = 60; load.bulk_rate <= 240; load.bulk_rate += 60)
		run("bulk_flood", &load);
	load.bulk_rate = 40;
	for (load.rate = 100; load.rate <= 200; load.rate += 50)
		run("urgent_flood", &load);
}

/* Many VMs, each with stale load reports of most upstreams. */
static void grown_installation(uint64_t seed)
{
	struct placesim_load load = placesim_grown_load(seed);

	for (load.rate = 260; load.rate <= 500; load.rate += 80)
		run("grown", &load);
	load = placesim_grown_load(seed);
	load.slow_share = 0.2;
	load.slow_factor = 5;
	load.slow_at = CLK_SEC(10);
	run("grown_slow", &load);
}

int main(int argc, char **argv)
{
	const unsigned long seeds = argc > 1 ? strtoul(argv[1], NULL, 10) : 3;

	printf("load,objects,rate,seed,policy,in_aim,worst_region,worst_"
	       "windows,"
	       "refused,warm,p50_ms,"
	       "p99_ms,bulk_rate,bulk_in_aim\n");
	for (uint64_t seed = 1; seed <= seeds; seed++) {
		struct placesim_load load = placesim_current_load(seed);

		for (load.rate = 20; load.rate <= 120; load.rate += 20)
			run("calm", &load);
		load.rate = 60;
		load.burst = 2;
		load.burst_at = CLK_SEC(15);
		load.burst_for = CLK_SEC(5);
		run("burst", &load);
		load = placesim_current_load(seed);
		load.slow_share = 0.2;
		load.slow_factor = 5;
		load.slow_at = CLK_SEC(10);
		run("slow", &load);
	}
	for (uint64_t seed = 1; seed <= seeds; seed++)
		other_installations(seed);
	for (uint64_t seed = 1; seed <= seeds; seed++)
		rank_floods(seed);
	for (uint64_t seed = 1; seed <= seeds; seed++)
		grown_installation(seed);
	return EXIT_SUCCESS;
}
