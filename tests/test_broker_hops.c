/*
 * The targets for floods where messages between failure domains take 1.5 ms, as
 * at the Guild, as parts of all slot time. A slot is idle while the release of
 * one request and the permit for the next are in flight. Each test also runs
 * with one domain of every region short of an entry VM, so that requests cross
 * domains.
 */
#include <check.h>
#include <stdio.h>

#include "common/clk.h"
#include "fakes/slot_model.h"
#include "tests/fix_run.h"

#define SEED 42

/* Ten times the capacity. */
#define FLOOD_LOAD 10.0

/* Number of entry VMs missing in a domain of each region, out of four. */
#define ENTRIES_LOST_MAX 1

/* The stated targets. */
#define USEFUL_WORK  0.95
#define RESERVE_KEPT 0.95

static struct slot_model_results run(uint32_t entries_lost, double urgent,
				     double normal, double bulk)
{
	struct slot_model_cfg cfg;
	struct slot_model_results results;

	slot_model_guild(&cfg);
	cfg.seed = SEED;
	cfg.entries_lost = entries_lost;
	cfg.rank[RANK_URGENT].load = urgent;
	cfg.rank[RANK_NORMAL].load = normal;
	cfg.rank[RANK_BULK].load = bulk;
	printf("seed %d, %u entry VMs less in a domain of each region\n", SEED,
	       entries_lost);
	ck_assert_int_eq(slot_model_run(&cfg, &results), 0);
	return results;
}

START_TEST(slots_do_useful_work_in_a_bulk_flood)
{
	const struct slot_model_results r =
		run((uint32_t)_i, 0.2, 0.2, FLOOD_LOAD);

	ck_assert_double_ge(slot_model_useful(&r), USEFUL_WORK);
}
END_TEST

START_TEST(slots_do_useful_work_in_an_urgent_flood)
{
	const struct slot_model_results r =
		run((uint32_t)_i, FLOOD_LOAD, 0.35, 0.25);

	ck_assert_double_ge(slot_model_useful(&r), USEFUL_WORK);
}
END_TEST

START_TEST(other_ranks_keep_their_reserve_in_an_urgent_flood)
{
	const struct slot_model_results r =
		run((uint32_t)_i, FLOOD_LOAD, 0.35, 0.25);

	ck_assert_double_ge(r.rank[RANK_NORMAL].useful / r.capacity,
			    RESERVE_KEPT * 0.30);
	ck_assert_double_ge(r.rank[RANK_BULK].useful / r.capacity,
			    RESERVE_KEPT * 0.20);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("brk_hops");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, slots_do_useful_work_in_a_bulk_flood, 0,
			    ENTRIES_LOST_MAX + 1);
	tcase_add_loop_test(tc, slots_do_useful_work_in_an_urgent_flood, 0,
			    ENTRIES_LOST_MAX + 1);
	tcase_add_loop_test(tc,
			    other_ranks_keep_their_reserve_in_an_urgent_flood,
			    0, ENTRIES_LOST_MAX + 1);
	return fix_run("brk_hops", tc);
}
