/*
 * The targets for a flood of bulk work when each request takes exactly the mean
 * time of its rank, so that requests that start together end together.
 */
#include <check.h>
#include <stdio.h>

#include "common/clk.h"
#include "fakes/slot_model.h"
#include "tests/fix_run.h"

#define SEED 42

/* Ten times the capacity. */
#define FLOOD_LOAD 10.0

/* The stated targets. */
#define URGENT_P99_FACTOR 1.2
#define USEFUL_WORK	  0.95

struct times {
	apr_interval_time_t service[RANK_COUNT];
	apr_interval_time_t deadline[RANK_COUNT];
};

static const struct times cases[] = {
	/* All alike, as in lab/bench.py. */
	{{CLK_MS(250), CLK_MS(250), CLK_MS(250)},
	 {CLK_SEC(2), CLK_SEC(4), CLK_SEC(8)}},
	{{CLK_MS(20), CLK_MS(40), CLK_MS(150)},
	 {CLK_SEC(1), CLK_SEC(3), CLK_SEC(10)}},
	{{CLK_MS(20), CLK_MS(40), CLK_SEC(2)},
	 {CLK_SEC(1), CLK_SEC(3), CLK_SEC(30)}},
};

#define LONG_BULK 2
#define CASES	  ((int)(sizeof(cases) / sizeof(*cases)))

static struct slot_model_results run(struct slot_model_cfg *cfg, int at,
				     double bulk)
{
	static const double loads[] = {0.2, 0.3};
	struct slot_model_results results;

	cfg->seed = SEED;
	cfg->fixed_times = true;
	for (int r = 0; r < RANK_COUNT; r++) {
		cfg->rank[r].load = r == RANK_BULK ? bulk : loads[r];
		cfg->rank[r].service = cases[at].service[r];
		cfg->rank[r].deadline = cases[at].deadline[r];
	}
	printf("seed %d, times %d\n", SEED, at);
	ck_assert_int_eq(slot_model_run(cfg, &results), 0);
	ck_assert_uint_eq(results.leaked, 0);
	ck_assert_uint_eq(results.excess, 0);
	return results;
}

static void check_flood(struct slot_model_cfg *cfg, int at)
{
	const struct slot_model_results unflooded_run = run(cfg, at, 0.3);
	const struct slot_model_results flooded_run = run(cfg, at, FLOOD_LOAD);
	const struct slot_model_result *urgent = &flooded_run.rank[RANK_URGENT];

	printf("urgent p99 %lu us, calm %lu us, useful work %.3f\n",
	       (unsigned long)urgent->p99,
	       (unsigned long)unflooded_run.rank[RANK_URGENT].p99,
	       slot_model_useful(&flooded_run));
	ck_assert_double_le(
		(double)urgent->p99,
		URGENT_P99_FACTOR *
			(double)unflooded_run.rank[RANK_URGENT].p99);
	ck_assert_uint_eq(urgent->refused, 0);
	ck_assert_uint_eq(urgent->late, 0);
	/* Not met with bulk work of 2 s; see docs/design/broker.md. */
	if (at != LONG_BULK)
		ck_assert_double_ge(slot_model_useful(&flooded_run),
				    USEFUL_WORK);
}

START_TEST(fund_urgent_work_keeps_its_latency)
{
	struct slot_model_cfg cfg;

	slot_model_fund(&cfg);
	check_flood(&cfg, _i);
}
END_TEST

/* One entry VM less in a domain of each region: requests cross domains. */
START_TEST(guild_urgent_work_keeps_its_latency)
{
	struct slot_model_cfg cfg;

	slot_model_guild(&cfg);
	cfg.entries_lost = 1;
	check_flood(&cfg, _i);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("brk_fixed");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, fund_urgent_work_keeps_its_latency, 0, CASES);
	tcase_add_loop_test(tc, guild_urgent_work_keeps_its_latency, 0, CASES);
	return fix_run("brk_fixed", tc);
}
