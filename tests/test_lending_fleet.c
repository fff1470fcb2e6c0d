#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/clk.h"
#include "tests/fix_run.h"
#include "tests/fix_lending.h"

/* VMs with demand after the faults; in region r0, where the link starts. */
#define MEASURED_VMS 1

/* Seeds of each pair of fault and phase, and of pairs of faults. */
#define CASE_SEEDS 2
#define PAIR_SEEDS 60

/* Percentage of a limit that demand at MEASURED_VMS must use at least. */
#define LEAST_USED_PCT 90

/* Time before the measurement of use, and time that it takes. */
#define SETTLE	CLK_SEC(20)
#define MEASURE CLK_SEC(10)

static void expect_no_excess(const struct sim *sim, const char *label,
			     unsigned seed)
{
	for (size_t i = 0; i < SIM_LIMITS; i++)
		ck_assert_msg(!sim_excess(sim, i),
			      "%s, seed %u: limit %zu exceeded by %lu", label,
			      seed, i, (unsigned long)sim_excess(sim, i));
}

/* Expects demand to use at least LEAST_USED_PCT of each limit. */
static void expect_used(struct sim *sim, const char *label, unsigned seed)
{
	uint64_t before[SIM_LIMITS];

	sim_run(sim, SETTLE);
	for (size_t i = 0; i < SIM_LIMITS; i++)
		before[i] = sim_taken(sim, i);
	sim_run(sim, MEASURE);
	for (size_t i = 0; i < SIM_LIMITS; i++) {
		const uint64_t used = sim_taken(sim, i) - before[i];
		const uint64_t limit =
			sim_limit(sim, i) * MEASURE / APR_USEC_PER_SEC;

		ck_assert_msg(100 * used >= LEAST_USED_PCT * limit,
			      "%s, seed %u: limit %zu used to %lu%%", label,
			      seed, i, (unsigned long)(100 * used / limit));
	}
}

/* Alternates between demand of all VMs and of some. */
static void run_with_demand(struct sim *sim, apr_interval_time_t time)
{
	const apr_time_t end = sim_now(sim) + time;

	while (sim_now(sim) < end) {
		size_t some;

		sim_set_demand(sim, SIM_VMS, 0);
		sim_run(sim, CLK_MS(2000 + random() % 4000));
		some = 1 + (size_t)random() % SIM_VMS;
		sim_set_demand(sim, some, (size_t)random() % SIM_VMS);
		sim_run(sim, CLK_MS(random() % 2000));
	}
}

static void run_case(enum sim_fault fault, enum sim_phase phase, unsigned seed)
{
	struct sim *sim = sim_create(seed, NULL);
	char label[128];

	snprintf(label, sizeof(label), "%s while %s", sim_fault_name(fault),
		 sim_phase_name(phase));
	sim_set_demand(sim, SIM_VMS, 0);
	/* Only a VM that comes back causes a handover. */
	if (phase == SIM_WHILE_HANDING_OVER) {
		sim_run(sim, CLK_SEC(6));
		sim_arm_fault(sim, SIM_VM_DIES, SIM_WHILE_HOLDING);
		sim_run(sim, CLK_SEC(20));
		sim_clear_faults(sim);
	}
	sim_arm_fault(sim, fault, phase);
	run_with_demand(sim, CLK_SEC(25));
	ck_assert_msg(sim_fault_injected(sim), "%s did not come about", label);
	expect_no_excess(sim, label, seed);
	sim_clear_faults(sim);
	sim_set_demand(sim, MEASURED_VMS, 0);
	expect_used(sim, label, seed);
	expect_no_excess(sim, label, seed);
	sim_destroy(sim);
}

START_TEST(every_fault_in_every_phase)
{
	const enum sim_fault fault = (enum sim_fault)_i;

	for (int phase = 0; phase < SIM_PHASE_COUNT; phase++) {
		for (unsigned seed = 1; seed <= CASE_SEEDS; seed++)
			run_case(fault, (enum sim_phase)phase, seed);
	}
}
END_TEST

/* The environment variable PST_PAIR_SEEDS overrides PAIR_SEEDS. */
static unsigned pair_seeds(void)
{
	const char *more = getenv("PST_PAIR_SEEDS");
	const long count = more ? strtol(more, NULL, 10) : 0;

	return count > 0 ? (unsigned)count : PAIR_SEEDS;
}

/* Two faults at a time, while demand moves between VMs. */
START_TEST(pairs_of_faults)
{
	const unsigned seeds = pair_seeds();

	for (unsigned seed = 1; seed <= seeds; seed++) {
		struct sim *sim = sim_create(1000 + seed, NULL);
		char label[160];
		enum sim_fault first;
		enum sim_fault second;

		first = (enum sim_fault)(random() % SIM_FAULT_COUNT);
		second = (enum sim_fault)(random() % SIM_FAULT_COUNT);
		snprintf(label, sizeof(label), "%s and %s",
			 sim_fault_name(first), sim_fault_name(second));
		sim_set_demand(sim, 2, (size_t)random() % SIM_VMS);
		sim_run(sim, CLK_MS(random() % 8000));
		sim_arm_fault(sim, first,
			      (enum sim_phase)(random() % SIM_PHASE_COUNT));
		sim_run(sim, CLK_SEC(5));
		sim_arm_fault(sim, second,
			      (enum sim_phase)(random() % SIM_PHASE_COUNT));
		run_with_demand(sim, CLK_SEC(30));
		expect_no_excess(sim, label, 1000 + seed);
		sim_clear_faults(sim);
		sim_set_demand(sim, MEASURED_VMS, 1);
		expect_used(sim, label, 1000 + seed);
		expect_no_excess(sim, label, 1000 + seed);
		sim_destroy(sim);
	}
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("shr_fleet");

	tcase_add_loop_test(tc, every_fault_in_every_phase, 0, SIM_FAULT_COUNT);
	tcase_add_test(tc, pairs_of_faults);
	return fix_run("shr_fleet", tc);
}
