#include <check.h>
#include <stdlib.h>

#include "common/clk.h"
#include "policy/shutdown.h"
#include "tests/fix_run.h"

static struct shutdown after_ms(int ms)
{
	return (struct shutdown){.elapsed = CLK_MS(ms), .grace = CLK_SEC(6)};
}

/* The phases follow each other, and end before the process is killed. */
START_TEST(phases_come_in_order)
{
	bool accepted = true;
	bool over = false;

	for (int ms = 0; ms <= 6000; ms += 10) {
		const struct shutdown now = after_ms(ms);

		ck_assert(accepted || !shutdown_accepts(&now));
		ck_assert(!over || shutdown_is_over(&now));
		ck_assert(!(shutdown_accepts(&now) && shutdown_is_over(&now)));
		accepted = shutdown_accepts(&now);
		over = shutdown_is_over(&now);
	}
	ck_assert(!accepted);
	ck_assert(over);
}
END_TEST

/* What is sent has twice its expected time before it would be abandoned. */
START_TEST(late_requests_are_admitted_if_they_can_end)
{
	for (int ms = 0; ms < 6000; ms += 50) {
		for (int expected_ms = 50; expected_ms < 6000;
		     expected_ms += 50) {
			const struct shutdown now = after_ms(ms);
			const struct shutdown end =
				after_ms(ms + 2 * expected_ms);

			if (shutdown_admits(&now, CLK_MS(expected_ms)))
				ck_assert(!shutdown_is_over(&end));
		}
	}
	ck_assert(shutdown_admits(&(struct shutdown){.grace = CLK_SEC(6)},
				  CLK_MS(1500)));
}
END_TEST

START_TEST(nothing_is_admitted_after_the_end)
{
	const struct shutdown now = after_ms(5800);

	ck_assert(shutdown_is_over(&now));
	ck_assert(!shutdown_admits(&now, 0));
	ck_assert(!shutdown_admits(&now, CLK_MS(1)));
}
END_TEST

/* A stop accepted connections beyond the end of a grace period of a second. */
START_TEST(short_grace_period_is_kept)
{
	const struct shutdown end = {
		.grace = CLK_SEC(1),
		.elapsed = CLK_MS(950),
	};

	ck_assert(shutdown_is_over(&end));
	ck_assert(!shutdown_accepts(&end));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("shutdown");

	tcase_add_test(tc, phases_come_in_order);
	tcase_add_test(tc, late_requests_are_admitted_if_they_can_end);
	tcase_add_test(tc, nothing_is_admitted_after_the_end);
	tcase_add_test(tc, short_grace_period_is_kept);
	return fix_run("shutdown", tc);
}
