#include <check.h>
#include <math.h>
#include <stdlib.h>

#include "common/clk.h"
#include "policy/domsplit.h"
#include "tests/fix_run.h"

#define DOMAINS 6
#define CAP	10.0

/* Splits kept to look back one second, at steps of 1 ms. */
#define HISTORY_STEPS 1001

static double part_moved(const double *a, const double *b)
{
	double sum = 0;

	for (size_t i = 0; i < DOMAINS; i++)
		sum += fabs(a[i] - b[i]);
	return sum / 2;
}

START_TEST(no_second_moves_more_than_the_cap)
{
	static double history[HISTORY_STEPS][DOMAINS];

	for (unsigned seed = 1; seed <= 10; seed++) {
		double goal[DOMAINS] = {1, 1, 1, 1, 1, 1};
		struct domsplit domsplit;
		apr_time_t step = 0;

		srandom(seed);
		domsplit_init(&domsplit, goal, DOMAINS, 0);
		for (size_t ms = 0; ms < 20000; ms++) {
			const double *second_ago =
				history[(ms + 1) % HISTORY_STEPS];

			if (random() % 1500 == 0)
				goal[random() % DOMAINS] = random() % 3;
			/* Irregular steps, some after a pause. */
			if (CLK_MS(ms) >= step) {
				domsplit_step(&domsplit, CLK_MS(ms), goal, CAP);
				step = CLK_MS(ms + (random() % 20
							    ? random() % 60
							    : random() % 4000));
			}
			for (size_t i = 0; i < DOMAINS; i++)
				history[ms % HISTORY_STEPS][i] =
					domsplit.share[i];
			if (ms >= HISTORY_STEPS)
				ck_assert_msg(part_moved(second_ago,
							 domsplit.share) <=
						      CAP / 100 + 1e-9,
					      "seed %u at %zu ms", seed, ms);
		}
		domsplit_done(&domsplit);
	}
}
END_TEST

START_TEST(reaches_the_goal_near_the_cap)
{
	const double start[2] = {1, 0};
	const double goal[2] = {0, 1};
	struct domsplit domsplit;
	double left = 1;
	apr_time_t now = 0;

	domsplit_init(&domsplit, start, 2, 0);
	while (left > 0 && now < CLK_SEC(60)) {
		now += CLK_MS(25);
		left = domsplit_step(&domsplit, now, goal, CAP);
	}
	ck_assert_int_ge(now, CLK_SEC(10));
	ck_assert_int_le(now, CLK_SEC(11));
	domsplit_done(&domsplit);
}
END_TEST

START_TEST(draws_follow_the_split)
{
	const double parts[3] = {50, 30, 20};
	size_t drawn[3] = {0};
	struct domsplit domsplit;

	srandom(7);
	domsplit_init(&domsplit, parts, 3, 0);
	for (size_t i = 0; i < 100000; i++) {
		const uint64_t r = (uint64_t)random() << 33 | (uint64_t)random()
								      << 2;

		drawn[domsplit_draw(&domsplit, 0, CAP, r)]++;
	}
	ck_assert_int_lt(labs((long)drawn[0] - 50000), 1000);
	ck_assert_int_lt(labs((long)drawn[2] - 20000), 1000);
	domsplit_done(&domsplit);
}
END_TEST

/* One domain fails every request; each redraw counts as a move. */
START_TEST(redraws_stay_within_the_cap)
{
	const double parts[3] = {50, 30, 20};
	const bool skip[3] = {true, false, false};
	size_t redrawn = 0;
	struct domsplit domsplit;

	srandom(8);
	domsplit_init(&domsplit, parts, 3, 0);
	for (size_t i = 0; i < 10000; i++) {
		const uint64_t r = (uint64_t)random() << 33;

		if (domsplit_draw(&domsplit, CLK_MS(i), CAP, r) == 0 &&
		    domsplit_redraw(&domsplit, r, skip) > 0)
			redrawn++;
	}
	ck_assert_uint_le(redrawn, 1001);
	/* 90% of what the cap allows. */
	ck_assert_uint_ge(redrawn, 900);
	domsplit_done(&domsplit);
}
END_TEST

/* Moves of the split and redraws count against the same cap. */
START_TEST(redraws_wait_while_the_split_moves)
{
	const double parts[2] = {50, 50};
	const double goal[2] = {0, 1};
	const bool skip[2] = {true, false};
	size_t redrawn = 0;
	struct domsplit domsplit;

	srandom(9);
	domsplit_init(&domsplit, parts, 2, 0);
	for (size_t ms = 0; ms < 4000; ms++) {
		const uint64_t r = (uint64_t)random() << 33;

		domsplit_step(&domsplit, CLK_MS(ms), goal, CAP);
		if (domsplit_draw(&domsplit, CLK_MS(ms), CAP, r) == 0 &&
		    ms >= 1500 && domsplit_redraw(&domsplit, r, skip) > 0)
			redrawn++;
	}
	/* Only the margin of the steps and the initial credit are left. */
	ck_assert_uint_le(redrawn, 2 + 2500 * 5 / 1000);
	domsplit_done(&domsplit);
}
END_TEST

START_TEST(no_weight_gives_no_domain)
{
	const double none[2] = {0, 0};
	const double one[2] = {0, 1};
	const bool skip[2] = {false, true};
	struct domsplit domsplit;

	ck_assert_int_ne(domsplit_init(&domsplit, none, 2, 0), 0);
	ck_assert_int_eq(domsplit_init(&domsplit, one, 2, 0), 0);
	for (uint64_t r = 0; r < 100; r++)
		ck_assert_int_eq(domsplit_draw(&domsplit, 0, 100, r << 57), 1);
	ck_assert_int_eq(domsplit_redraw(&domsplit, 1, skip), -1);
	domsplit_done(&domsplit);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("shf");

	tcase_add_test(tc, no_second_moves_more_than_the_cap);
	tcase_add_test(tc, reaches_the_goal_near_the_cap);
	tcase_add_test(tc, draws_follow_the_split);
	tcase_add_test(tc, redraws_stay_within_the_cap);
	tcase_add_test(tc, redraws_wait_while_the_split_moves);
	tcase_add_test(tc, no_weight_gives_no_domain);
	return fix_run("shf", tc);
}
