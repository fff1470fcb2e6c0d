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
#define RESERVE_KEPT	  0.95
#define USEFUL_WORK	  0.95
#define BASELINE_FACTOR	  0.5

struct loads {
	double urgent;
	double normal;
	double bulk;
};

static const struct loads unflooded = {0.2, 0.2, 0.1};
static const struct loads bulk_flood = {0.2, 0.2, FLOOD_LOAD};
static const struct loads urgent_flood = {FLOOD_LOAD, 0.35, 0.25};

/* Remote permits weigh less, so there may be more of them than slots. */
static struct slot_model_results run_remote(const struct slot_model_cfg *base,
					    const struct loads *loads)
{
	struct slot_model_cfg cfg = *base;
	struct slot_model_results results;

	cfg.seed = SEED;
	cfg.end = CLK_SEC(35);
	cfg.rank[RANK_URGENT].load = loads->urgent;
	cfg.rank[RANK_NORMAL].load = loads->normal;
	cfg.rank[RANK_BULK].load = loads->bulk;
	printf("seed %d\n", SEED);
	ck_assert_int_eq(slot_model_run(&cfg, &results), 0);
	ck_assert_uint_eq(results.leaked, 0);
	return results;
}

static struct slot_model_results run(const struct slot_model_cfg *base,
				     const struct loads *loads)
{
	const struct slot_model_results results = run_remote(base, loads);

	ck_assert_uint_eq(results.excess, 0);
	return results;
}

/* Checks the targets for urgent work during a flood of bulk work. */
static void check_urgent(const struct slot_model_cfg *cfg)
{
	const struct slot_model_results unflooded_run = run(cfg, &unflooded);
	const struct slot_model_results flooded_run = run(cfg, &bulk_flood);

	ck_assert_double_le(
		(double)flooded_run.rank[RANK_URGENT].p99,
		URGENT_P99_FACTOR *
			(double)unflooded_run.rank[RANK_URGENT].p99);
	ck_assert_uint_eq(flooded_run.rank[RANK_URGENT].refused, 0);
	ck_assert_uint_eq(flooded_run.rank[RANK_URGENT].late, 0);
}

static void long_bulk(struct slot_model_cfg *cfg)
{
	cfg->rank[RANK_BULK].service = CLK_SEC(2);
	cfg->rank[RANK_BULK].deadline = CLK_SEC(30);
}

START_TEST(fund_urgent_work_keeps_its_latency_in_a_bulk_flood)
{
	struct slot_model_cfg cfg;

	slot_model_fund(&cfg);
	check_urgent(&cfg);
	long_bulk(&cfg);
	check_urgent(&cfg);
}
END_TEST

START_TEST(guild_urgent_work_keeps_its_latency_in_a_bulk_flood)
{
	struct slot_model_cfg cfg;

	slot_model_guild(&cfg);
	check_urgent(&cfg);
	long_bulk(&cfg);
	check_urgent(&cfg);
}
END_TEST

/* Checks that each other rank keeps its reserved part of the slot time. */
static void check_reserve(const struct slot_model_cfg *cfg)
{
	const struct slot_model_results r = run(cfg, &urgent_flood);

	for (int k = RANK_NORMAL; k < RANK_COUNT; k++)
		ck_assert_double_ge(r.rank[k].useful / r.capacity,
				    RESERVE_KEPT * cfg->rank[k].reserved_pct /
					    100);
}

START_TEST(fund_other_ranks_keep_their_reserve_in_an_urgent_flood)
{
	struct slot_model_cfg cfg;

	slot_model_fund(&cfg);
	check_reserve(&cfg);
}
END_TEST

/* As a part of the work done; for parts of all slot time see test_broker_hops.
 */
START_TEST(guild_other_ranks_keep_their_part_of_the_work)
{
	struct slot_model_cfg cfg;
	struct slot_model_results r;

	slot_model_guild(&cfg);
	r = run(&cfg, &urgent_flood);
	for (int k = RANK_NORMAL; k < RANK_COUNT; k++)
		ck_assert_double_ge(
			r.rank[k].useful / r.capacity / slot_model_useful(&r),
			RESERVE_KEPT * cfg.rank[k].reserved_pct / 100);
}
END_TEST

START_TEST(fund_slots_do_useful_work_in_floods)
{
	struct slot_model_cfg cfg;
	struct slot_model_results r;

	slot_model_fund(&cfg);
	r = run(&cfg, &bulk_flood);
	ck_assert_double_ge(slot_model_useful(&r), USEFUL_WORK);
	r = run(&cfg, &urgent_flood);
	ck_assert_double_ge(slot_model_useful(&r), USEFUL_WORK);
}
END_TEST

/* A quarter of the capacity is offered, half of it from 55 ms away. */
START_TEST(work_from_other_regions_does_not_use_up_the_slots)
{
	static const struct loads quarter = {0.08, 0.08, 0.08};
	struct slot_model_cfg cfg;
	struct slot_model_results broker;
	struct slot_model_results baseline;

	slot_model_fund(&cfg);
	cfg.hop_far = cfg.region_hop;
	cfg.cross_domain = true;
	cfg.seed = SEED;
	broker = run_remote(&cfg, &quarter);
	cfg.policy = PICK_TWO_CHOICES;
	baseline = run_remote(&cfg, &quarter);
	for (int k = 0; k < RANK_COUNT; k++) {
		ck_assert_uint_eq(broker.rank[k].refused, 0);
		ck_assert_uint_eq(broker.rank[k].late, 0);
	}
	/* The permit request takes one round trip. */
	ck_assert_double_le((double)broker.rank[RANK_URGENT].p99,
			    URGENT_P99_FACTOR *
				    ((double)baseline.rank[RANK_URGENT].p99 +
				     2.0 * (double)cfg.region_hop));
}
END_TEST

/* Domains are drawn by weight; test_broker_baseline prefers near ones. */
START_TEST(urgent_p99_at_80_percent_is_half_of_the_best_baseline)
{
	static const enum pick_policy baselines[] = {
		PICK_RANDOM,
		PICK_LEAST_REPORTED,
		PICK_TWO_CHOICES,
		PICK_STATIC_SPLIT,
	};
	static const struct loads steady = {0.3, 0.25, 0.25};
	struct slot_model_cfg cfg;
	struct slot_model_results broker;

	slot_model_fund(&cfg);
	cfg.cross_domain = true;
	broker = run(&cfg, &steady);
	for (size_t i = 0; i < 4; i++) {
		struct slot_model_results r;

		cfg.policy = baselines[i];
		r = run(&cfg, &steady);
		ck_assert_double_le((double)broker.rank[RANK_URGENT].p99,
				    BASELINE_FACTOR *
					    (double)r.rank[RANK_URGENT].p99);
	}
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("brk_flood");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, fund_urgent_work_keeps_its_latency_in_a_bulk_flood);
	tcase_add_test(tc, guild_urgent_work_keeps_its_latency_in_a_bulk_flood);
	tcase_add_test(tc,
		       fund_other_ranks_keep_their_reserve_in_an_urgent_flood);
	tcase_add_test(tc, guild_other_ranks_keep_their_part_of_the_work);
	tcase_add_test(tc, fund_slots_do_useful_work_in_floods);
	tcase_add_test(tc, work_from_other_regions_does_not_use_up_the_slots);
	tcase_add_test(tc,
		       urgent_p99_at_80_percent_is_half_of_the_best_baseline);
	return fix_run("brk_flood", tc);
}
