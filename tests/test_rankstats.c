#include <check.h>
#include <stdlib.h>

#include "common/clk.h"
#include "policy/rankstats.h"
#include "tests/fix_run.h"

#define START CLK_SEC(1000)

/* Keeps slots of two ranks busy for some seconds, in steps of 0.1 s. */
static apr_time_t run(struct rankstats *rankstats, apr_time_t now, int seconds,
		      double urgent, double bulk)
{
	for (int i = 0; i < 10 * seconds; i++) {
		now += CLK_MS(100);
		if (urgent > 0)
			rankstats_note_run(rankstats, 0,
					   urgent * (double)CLK_MS(100), now);
		if (bulk > 0)
			rankstats_note_run(rankstats, 2,
					   bulk * (double)CLK_MS(100), now);
	}
	return now;
}

static void request(struct rankstats *rankstats, unsigned rank, int count,
		    bool late)
{
	for (int i = 0; i < count; i++)
		rankstats_note_request(rankstats, rank, late,
				       rankstats->updated_at);
}

START_TEST(counts_busy_slots_of_all_ranks)
{
	struct rankstats rankstats = {0};
	const apr_time_t now = run(&rankstats, START, 40, 3, 1);

	ck_assert_double_eq_tol(rankstats_busy_slots(&rankstats, now), 4, 0.1);
	ck_assert_double_eq_tol(
		rankstats_busy_slots(&rankstats, now + CLK_SEC(4)), 1.47, 0.1);
}
END_TEST

START_TEST(no_rank_yields_while_urgent_is_in_time)
{
	struct rankstats rankstats = {0};

	ck_assert(!rankstats_yields(&rankstats, 0));
	run(&rankstats, START, 20, 3, 1);
	request(&rankstats, 0, 50, false);
	request(&rankstats, 2, 50, true);
	ck_assert(!rankstats_yields(&rankstats, 0));
	ck_assert(!rankstats_yields(&rankstats, 2));
	/* One late request is not enough. */
	request(&rankstats, 0, 1, true);
	ck_assert(!rankstats_yields(&rankstats, 2));
}
END_TEST

START_TEST(bulk_yields_while_urgent_is_late)
{
	struct rankstats rankstats = {0};
	apr_time_t now = run(&rankstats, START, 20, 3, 1);

	request(&rankstats, 0, 5, true);
	ck_assert(rankstats_yields(&rankstats, 2));
	ck_assert(!rankstats_yields(&rankstats, 0));
	/* It yields until urgent requests are in time again. */
	request(&rankstats, 0, 40, false);
	ck_assert(!rankstats_yields(&rankstats, 2));
	/* It stops when urgent requests end, though none of them shows that. */
	request(&rankstats, 0, 5, true);
	ck_assert(rankstats_yields(&rankstats, 2));
	for (int i = 0; i < 30; i++) {
		now = run(&rankstats, now, 1, 0, 3);
		request(&rankstats, 2, 10, false);
	}
	ck_assert(!rankstats_yields(&rankstats, 2));
}
END_TEST

/* The urgent rank has kept no slot busy, since all of it was refused. */
START_TEST(bulk_yields_to_rank_without_runs)
{
	struct rankstats rankstats = {0};

	run(&rankstats, START, 20, 0, 4);
	request(&rankstats, 2, 50, false);
	request(&rankstats, 0, 3, true);
	ck_assert(rankstats_yields(&rankstats, 2));
}
END_TEST

/* Other ranks keep a share when the most urgent one floods the service. */
START_TEST(each_rank_keeps_its_share)
{
	struct rankstats rankstats = {0};

	run(&rankstats, START, 40, 8, 1);
	request(&rankstats, 0, 50, true);
	ck_assert(!rankstats_yields(&rankstats, 2));
	run(&rankstats, START + CLK_SEC(40), 40, 8, 2);
	ck_assert(rankstats_yields(&rankstats, 2));
}
END_TEST

START_TEST(more_ranks_than_entries)
{
	struct rankstats rankstats = {0};

	for (unsigned rank = 0; rank < 3 * RANKSTATS_MAX; rank++) {
		rankstats_note_run(&rankstats, rank, CLK_SEC(1), START);
		rankstats_note_request(&rankstats, rank, true, START);
	}
	ck_assert_uint_eq(rankstats.count, RANKSTATS_MAX);
	ck_assert_double_eq_tol(rankstats_busy_slots(&rankstats, START),
				3 * RANKSTATS_MAX / 4.0, 0.01);
	ck_assert(!rankstats_yields(&rankstats, 0));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("ranks");

	tcase_add_test(tc, counts_busy_slots_of_all_ranks);
	tcase_add_test(tc, no_rank_yields_while_urgent_is_in_time);
	tcase_add_test(tc, bulk_yields_while_urgent_is_late);
	tcase_add_test(tc, bulk_yields_to_rank_without_runs);
	tcase_add_test(tc, each_rank_keeps_its_share);
	tcase_add_test(tc, more_ranks_than_entries);
	return fix_run("rnk", tc);
}
