#include <check.h>

#include "common/clk.h"
#include "common/err.h"
#include "policy/rev.h"
#include "tests/fix_run.h"

#define TIMEOUT	    CLK_MS(3000)
#define PAUSE_BOUND CLK_MS(1000)

START_TEST(lower_revision_is_never_taken)
{
	struct rev rev;

	rev_init(&rev, TIMEOUT, PAUSE_BOUND);
	rev_allow_confirm(&rev);
	ck_assert_int_eq(rev_set_held(&rev, 8), 0);
	ck_assert_int_eq(rev_set_held(&rev, 7), PST_ERR_STALE);
	ck_assert_uint_eq(rev.revision, 8);
	ck_assert(!rev_note_exists(&rev, 8));
	ck_assert(rev_note_exists(&rev, 9));
	/* 9 exists, so 8 cannot be confirmed any more. */
	ck_assert(!rev_confirm(&rev, 8, CLK_SEC(1)));
	ck_assert(!rev_is_fresh(&rev, CLK_SEC(1), CLK_SEC(1)));
}
END_TEST

START_TEST(confirmation_from_before_a_pause_does_not_count)
{
	struct rev rev;

	rev_init(&rev, TIMEOUT, PAUSE_BOUND);
	rev_allow_confirm(&rev);
	rev_set_held(&rev, 8);
	rev_tick(&rev, CLK_SEC(1), CLK_SEC(1));
	ck_assert(rev_confirm(&rev, 8, CLK_SEC(1)));
	ck_assert(rev_is_fresh(&rev, CLK_SEC(1), CLK_SEC(1)));
	/* Suspended for 100 s: the monotonic clock did not see it. */
	ck_assert(!rev_is_fresh(&rev, CLK_SEC(1), CLK_SEC(101)));
	ck_assert_int_eq(rev_tick(&rev, CLK_SEC(1) + 1, CLK_SEC(101)),
			 CLK_SEC(100) - 1);
	ck_assert(!rev_confirm(&rev, 8, CLK_SEC(1)));
	ck_assert(!rev_is_fresh(&rev, CLK_SEC(1) + 1, CLK_SEC(101)));
	ck_assert(rev_confirm(&rev, 8, CLK_SEC(1) + 1));
	ck_assert(rev_is_fresh(&rev, CLK_SEC(1) + 1, CLK_SEC(101)));
}
END_TEST

/* After a long call, the age of the confirmation decides, not the gap. */
START_TEST(gap_on_both_clocks_only_ages_the_confirmation)
{
	struct rev rev;

	rev_init(&rev, TIMEOUT, PAUSE_BOUND);
	rev_allow_confirm(&rev);
	rev_set_held(&rev, 8);
	rev_tick(&rev, CLK_SEC(1), CLK_SEC(50));
	rev_confirm(&rev, 8, CLK_SEC(1));
	rev_tick(&rev, CLK_MS(3500), CLK_MS(52500));
	ck_assert(rev_is_fresh(&rev, CLK_MS(3500), CLK_MS(52500)));
	rev_tick(&rev, CLK_MS(4100), CLK_MS(53100));
	ck_assert(!rev_is_fresh(&rev, CLK_MS(4100), CLK_MS(53100)));
}
END_TEST

/* A source with a lower revision than the held one is lagging. */
START_TEST(older_revision_confirms_nothing)
{
	struct rev rev;

	rev_init(&rev, TIMEOUT, PAUSE_BOUND);
	rev_allow_confirm(&rev);
	rev_set_held(&rev, 8);
	ck_assert(!rev_confirm(&rev, 7, CLK_SEC(1)));
	ck_assert(!rev_is_fresh(&rev, CLK_SEC(1), CLK_SEC(1)));
	ck_assert(rev_confirm(&rev, 8, CLK_SEC(1)));
}
END_TEST

START_TEST(majority_takes_the_oldest_vote_it_needs)
{
	struct rev_vote votes[] = {
		{.valid = true, .revision = 5, .asked_at = 10},
		{.valid = true, .revision = 4, .asked_at = 40},
		{.valid = false, .revision = 5, .asked_at = 90},
		{.valid = true, .revision = 5, .asked_at = 30},
		{.valid = true, .revision = 6, .asked_at = 80},
	};
	apr_time_t at;

	ck_assert(rev_majority(votes, 5, 5, &at));
	ck_assert_int_eq(at, 10);
	votes[2].valid = true;
	ck_assert(rev_majority(votes, 5, 5, &at));
	ck_assert_int_eq(at, 30);
	/* Half of the domains are no majority. */
	ck_assert(!rev_majority(votes, 4, 3, &at));
	ck_assert(!rev_majority(votes, 2, 4, &at));
}
END_TEST

START_TEST(acceptance_needs_a_majority_and_the_time_to_stop)
{
	struct rev_holders h = {
		.domains = 6,
		.domains_whole = 3,
		.vms = 24,
		.vms_holding = 23,
	};

	ck_assert(!rev_accepted(&h, CLK_SEC(60), TIMEOUT));
	h.domains_whole = 4;
	ck_assert(!rev_accepted(&h, TIMEOUT, TIMEOUT));
	ck_assert(rev_accepted(&h, TIMEOUT + CLK_MS(31), TIMEOUT));
	h.vms_holding = 24;
	ck_assert(rev_accepted(&h, 0, TIMEOUT));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("rev");

	tcase_add_test(tc, lower_revision_is_never_taken);
	tcase_add_test(tc, confirmation_from_before_a_pause_does_not_count);
	tcase_add_test(tc, gap_on_both_clocks_only_ages_the_confirmation);
	tcase_add_test(tc, older_revision_confirms_nothing);
	tcase_add_test(tc, majority_takes_the_oldest_vote_it_needs);
	tcase_add_test(tc, acceptance_needs_a_majority_and_the_time_to_stop);
	return fix_run("rev", tc);
}
