/*
 * The targets for floods where messages between failure domains take 1.5 ms,
 * as at the Guild, as parts of all slot time. A slot is idle while the end of
 * one request and the permit for the next are under way.
 */
#include <check.h>
#include <stdio.h>

#include "common/clk.h"
#include "fakes/slot_model.h"
#include "tests/fix_run.h"

#define SEED 42

/* Ten times the capacity. */
#define FLOOD 10.0

/* The stated targets. */
#define USEFUL_WORK  0.95
#define RESERVE_KEPT 0.95

static struct slot_model_results run(double urgent, double normal, double bulk)
{
	struct slot_model_cfg cfg;
	struct slot_model_results results;

	slot_model_guild(&cfg);
	cfg.seed = SEED;
	cfg.rank[RANK_URGENT].load = urgent;
	cfg.rank[RANK_NORMAL].load = normal;
	cfg.rank[RANK_BULK].load = bulk;
	printf("seed %d\n", SEED);
	ck_assert_int_eq(slot_model_run(&cfg, &results), 0);
	return results;
}

static double useful(const struct slot_model_results *r)
{
	double sum = 0;

	for (int k = 0; k < RANK_COUNT; k++)
		sum += r->rank[k].useful;
	return sum / r->capacity;
}

START_TEST(slots_do_useful_work_in_a_bulk_flood)
{
	const struct slot_model_results r = run(0.2, 0.2, FLOOD);

	ck_assert_double_ge(useful(&r), USEFUL_WORK);
}
END_TEST

START_TEST(slots_do_useful_work_in_an_urgent_flood)
{
	const struct slot_model_results r = run(FLOOD, 0.35, 0.25);

	ck_assert_double_ge(useful(&r), USEFUL_WORK);
}
END_TEST

START_TEST(other_ranks_keep_their_reserve_in_an_urgent_flood)
{
	const struct slot_model_results r = run(FLOOD, 0.35, 0.25);

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
	tcase_add_test(tc, slots_do_useful_work_in_a_bulk_flood);
	tcase_add_test(tc, slots_do_useful_work_in_an_urgent_flood);
	tcase_add_test(tc, other_ranks_keep_their_reserve_in_an_urgent_flood);
	return fix_run("brk_hops", tc);
}
