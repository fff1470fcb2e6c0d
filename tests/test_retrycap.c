#include <check.h>
#include <stdlib.h>

#include "common/clk.h"
#include "policy/retrycap.h"
#include "tests/fix_run.h"

static const struct retrycap_rules rules = {
	.ratio = 0.2,
	.extra = 144,
	.window = CLK_SEC(10),
	.vms = 9,
};

#define SEEDS 20
#define STEPS 40000

/*
 * Retries stay within this VM's share of the bound in every window, also when
 * requests and failures come in bursts.
 */
START_TEST(bound_holds_in_any_window)
{
	static apr_time_t requests[STEPS];
	static apr_time_t retries[STEPS];

	for (unsigned seed = 1; seed <= SEEDS; seed++) {
		struct retrycap retrycap = {0};
		size_t n_req = 0;
		size_t n_rep = 0;
		apr_time_t now = CLK_SEC(100);

		srand(seed);
		for (int i = 0; i < STEPS; i++) {
			const bool burst = (i / 3000) % 2;

			now += rand() % (burst ? 2000 : 20000);
			if (rand() % 3) {
				retrycap_count_request(&retrycap, &rules, now);
				requests[n_req++] = now;
			} else if (retrycap_take(&retrycap, &rules, now)) {
				retries[n_rep++] = now;
			}
		}
		for (size_t first = 0, last = 0; last < n_rep; last++) {
			size_t in = 0;
			double bound;

			while (retries[last] - retries[first] > rules.window)
				first++;
			for (size_t k = 0; k < n_req; k++)
				in += requests[k] <= retries[last] &&
				      retries[last] - requests[k] <
					      rules.window;
			bound = rules.ratio * (double)in +
				rules.extra / rules.vms;
			ck_assert_msg((double)(last - first + 1) <= bound,
				      "seed %u: %zu over %.1f", seed,
				      last - first + 1, bound);
			last += 20;
		}
	}
}
END_TEST

START_TEST(extra_retries_without_requests)
{
	struct retrycap retrycap = {0};
	int taken = 0;

	while (retrycap_take(&retrycap, &rules, CLK_SEC(50)))
		taken++;
	ck_assert_int_ge(taken, 10);
	ck_assert_int_le(taken, 16);
	ck_assert(!retrycap_take(&retrycap, &rules, CLK_SEC(55)));
	ck_assert(retrycap_take(&retrycap, &rules, CLK_SEC(70)));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("budget");

	tcase_add_test(tc, bound_holds_in_any_window);
	tcase_add_test(tc, extra_retries_without_requests);
	return fix_run("rbg", tc);
}
