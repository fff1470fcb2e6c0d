/* The target beside the baselines, all with near failure domains first. */
#include <check.h>
#include <stdio.h>

#include "common/clk.h"
#include "fakes/slot_model.h"
#include "tests/fix_run.h"

#define SEED 42

/* The stated target. */
#define BASELINE_FACTOR 0.5

static struct slot_model_results run(enum pick_policy policy)
{
	static const double loads[] = {0.3, 0.25, 0.25};
	struct slot_model_cfg cfg;
	struct slot_model_results results;

	slot_model_fund(&cfg);
	cfg.seed = SEED;
	cfg.policy = policy;
	for (int r = 0; r < RANK_COUNT; r++)
		cfg.rank[r].load = loads[r];
	printf("seed %d\n", SEED);
	ck_assert_int_eq(slot_model_run(&cfg, &results), 0);
	return results;
}

START_TEST(urgent_p99_at_80_percent_is_half_of_the_best_baseline)
{
	static const enum pick_policy baselines[] = {
		PICK_RANDOM,
		PICK_LEAST_REPORTED,
		PICK_TWO_CHOICES,
		PICK_STATIC_SPLIT,
	};
	const struct slot_model_results broker = run(PICK_BROKER);

	for (size_t i = 0; i < 4; i++) {
		const struct slot_model_results r = run(baselines[i]);

		ck_assert_double_le((double)broker.rank[RANK_URGENT].p99,
				    BASELINE_FACTOR *
					    (double)r.rank[RANK_URGENT].p99);
	}
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("brk_baseline");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc,
		       urgent_p99_at_80_percent_is_half_of_the_best_baseline);
	return fix_run("brk_baseline", tc);
}
