#include <check.h>

#include "common/err.h"
#include "policy/pick.h"
#include "tests/fix_run.h"

#define SEED   20261204
#define TRIALS 3000

static uint64_t random_state;

static uint64_t next_random(void)
{
	random_state ^= random_state << 13;
	random_state ^= random_state >> 7;
	random_state ^= random_state << 17;
	return random_state * 0x2545f4914f6cdd1du;
}

static const struct pick_target targets[] = {
	{.usable = true, .outstanding = 5, .load_permille = 100},
	{.usable = false, .outstanding = 0, .load_permille = 0},
	{.usable = true, .outstanding = 1, .load_permille = 900},
	{.usable = true, .outstanding = 3, .load_permille = 500},
};

static void count_picks(enum pick_policy policy, unsigned hits[4])
{
	random_state = SEED;
	for (int i = 0; i < TRIALS; i++) {
		const int at = pick_target(policy, targets, 4, next_random());

		ck_assert_int_ge(at, 0);
		hits[at]++;
	}
	ck_assert_uint_eq(hits[1], 0);
}

START_TEST(names_match_the_setting)
{
	enum pick_policy policy;

	for (int p = PICK_BROKER; p <= PICK_STATIC_SPLIT; p++) {
		const char *name = pick_name((enum pick_policy)p);

		ck_assert_int_eq(pick_parse(str_from_c(name), &policy), 0);
		ck_assert_int_eq(policy, p);
	}
	ck_assert_int_eq(pick_parse(STR_LIT("best"), &policy), PST_ERR_INVALID);
}
END_TEST

START_TEST(random_spreads_evenly)
{
	unsigned hits[4] = {0};

	count_picks(PICK_RANDOM, hits);
	for (int i = 0; i < 4; i++) {
		if (i != 1)
			ck_assert_uint_ge(hits[i], TRIALS / 3 * 9 / 10);
	}
}
END_TEST

START_TEST(least_reported_follows_reports)
{
	unsigned hits[4] = {0};

	count_picks(PICK_LEAST_REPORTED, hits);
	ck_assert_uint_eq(hits[0], TRIALS);
}
END_TEST

/* The fewest outstanding wins two of the three pairs, the most none. */
START_TEST(two_choices_compare_what_is_outstanding)
{
	unsigned hits[4] = {0};

	count_picks(PICK_TWO_CHOICES, hits);
	ck_assert_uint_eq(hits[0], 0);
	ck_assert_uint_ge(hits[2], TRIALS * 2 / 3 * 9 / 10);
	ck_assert_uint_ge(hits[3], TRIALS / 3 * 9 / 10);
}
END_TEST

START_TEST(no_usable_target_gives_none)
{
	for (int p = PICK_BROKER; p <= PICK_STATIC_SPLIT; p++)
		ck_assert_int_eq(
			pick_target((enum pick_policy)p, &targets[1], 1, 7),
			-1);
}
END_TEST

START_TEST(one_usable_target_is_taken)
{
	for (int p = PICK_BROKER; p <= PICK_STATIC_SPLIT; p++)
		ck_assert_int_eq(pick_target((enum pick_policy)p, targets, 2,
					     UINT64_MAX),
				 0);
}
END_TEST

START_TEST(shares_add_up_to_the_slots)
{
	for (uint32_t holders = 1; holders < 30; holders++) {
		for (uint32_t slots = 0; slots < 10; slots++) {
			uint32_t sum = 0;

			for (uint32_t h = 0; h < holders; h++)
				sum += pick_slot_share(17, slots, holders, h);
			ck_assert_uint_eq(sum, slots);
		}
	}
}
END_TEST

/* Twelve upstreams of 3 slots among 24: each holder gets 1 or 2 of the 36. */
START_TEST(shares_of_several_upstreams_are_even)
{
	for (uint32_t h = 0; h < 24; h++) {
		uint32_t sum = 0;

		for (uint32_t u = 0; u < 12; u++)
			sum += pick_slot_share(3 * u, 3, 24, h);
		ck_assert_uint_ge(sum, 1);
		ck_assert_uint_le(sum, 2);
	}
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("pick");

	tcase_add_test(tc, names_match_the_setting);
	tcase_add_test(tc, random_spreads_evenly);
	tcase_add_test(tc, least_reported_follows_reports);
	tcase_add_test(tc, two_choices_compare_what_is_outstanding);
	tcase_add_test(tc, no_usable_target_gives_none);
	tcase_add_test(tc, one_usable_target_is_taken);
	tcase_add_test(tc, shares_add_up_to_the_slots);
	tcase_add_test(tc, shares_of_several_upstreams_are_even);
	return fix_run("pick", tc);
}
