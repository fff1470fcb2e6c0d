#include <check.h>
#include <stdlib.h>

#include "common/clk.h"
#include "policy/ratelimit.h"
#include "tests/fix_run.h"

#define STEPS 4000

/* Seeds are fixed and printed with a failure. */
#define SEEDS 20

struct taken {
	apr_time_t at;
	uint64_t amount;
};

static struct taken takes[STEPS];

/* Largest sum in any window of the given length that ends at an entry. */
static uint64_t largest_sum(const struct taken *all, size_t count,
			    apr_interval_time_t window)
{
	uint64_t largest = 0;
	uint64_t sum = 0;
	size_t first = 0;

	for (size_t i = 0; i < count; i++) {
		sum += all[i].amount;
		while (all[i].at - all[first].at > window)
			sum -= all[first++].amount;
		if (sum > largest)
			largest = sum;
	}
	return largest;
}

static uint64_t largest_window(const struct taken *all, size_t count)
{
	return largest_sum(all, count, RATELIMIT_WINDOW);
}

static int by_time(const void *a, const void *b)
{
	const struct taken *x = a;
	const struct taken *y = b;

	return (x->at > y->at) - (x->at < y->at);
}

START_TEST(no_window_exceeds_the_rate)
{
	for (unsigned seed = 1; seed <= SEEDS; seed++) {
		const uint64_t rate = seed % 2 ? 7 * seed : 1000000 * seed;
		struct ratelimit ratelimit = {0};
		apr_time_t now = 123456789;

		srandom(seed);
		for (size_t i = 0; i < STEPS; i++) {
			now += random() % (random() % 10 ? 3000 : 400000);
			takes[i].at = now;
			takes[i].amount =
				ratelimit_take(&ratelimit, now, rate, rate,
					       1 + random() % rate);
		}
		ck_assert_msg(largest_window(takes, STEPS) <= rate, "seed %u",
			      seed);
	}
}
END_TEST

/* Delays of a link and the buffers before it, in microseconds. */
#define DELAY_LEAST  4000
#define DELAY_SPREAD 30000

START_TEST(no_second_exceeds_the_rate_where_amounts_arrive)
{
	for (unsigned seed = 1; seed <= SEEDS; seed++) {
		const uint64_t rate = 33750000;
		struct ratelimit ratelimit = {0};
		apr_time_t now = 123456789;

		srandom(seed);
		for (size_t i = 0; i < STEPS; i++) {
			now += random() % 3000;
			takes[i].at = now + DELAY_LEAST +
				      random() % (DELAY_SPREAD + 1);
			takes[i].amount = ratelimit_take(&ratelimit, now, rate,
							 rate / 7, rate);
		}
		qsort(takes, STEPS, sizeof(takes[0]), by_time);
		ck_assert_msg(largest_sum(takes, STEPS, APR_USEC_PER_SEC) <=
				      rate,
			      "seed %u", seed);
	}
}
END_TEST

START_TEST(steady_demand_gets_nearly_the_rate)
{
	const uint64_t rate = 1000000;
	struct ratelimit ratelimit = {0};
	uint64_t sum = 0;

	for (apr_time_t now = 0; now < CLK_SEC(10); now += CLK_MS(1))
		sum += ratelimit_take(&ratelimit, now, rate, rate / 7, rate);
	/* 97% of the rate less the allowance for varying delays. */
	ck_assert_uint_ge(sum, 10 * rate * 97 / 100 * APR_USEC_PER_SEC /
				       RATELIMIT_WINDOW);
	ck_assert_uint_le(sum, 11 * rate);
}
END_TEST

START_TEST(a_rate_of_one_gives_one_a_second)
{
	struct ratelimit ratelimit = {0};

	ck_assert_uint_eq(ratelimit_take(&ratelimit, CLK_SEC(5), 1, 1, 3), 1);
	ck_assert_uint_eq(ratelimit_take(&ratelimit, CLK_SEC(6), 1, 1, 3), 0);
	ck_assert_uint_eq(ratelimit_take(&ratelimit,
					 CLK_SEC(5) + RATELIMIT_WINDOW, 1, 1,
					 3),
			  0);
	ck_assert_uint_eq(
		ratelimit_take(&ratelimit,
			       CLK_SEC(5) + RATELIMIT_WINDOW + CLK_MS(24), 1, 1,
			       3),
		1);
	ck_assert_uint_eq(ratelimit_take(&ratelimit, CLK_SEC(9), 0, 1, 3), 0);
}
END_TEST

START_TEST(a_return_never_lets_the_rate_be_exceeded)
{
	for (unsigned seed = 1; seed <= SEEDS; seed++) {
		const uint64_t rate = 500000;
		struct ratelimit ratelimit = {0};
		apr_time_t now = 0;

		srandom(seed);
		for (size_t i = 0; i < STEPS; i++) {
			uint64_t got;
			uint64_t back;

			now += random() % 5000;
			got = ratelimit_take(&ratelimit, now, rate, 65536,
					     random() % 60000);
			back = got ? (uint64_t)random() % got : 0;
			takes[i].at = now;
			takes[i].amount = got - back;
			/* Returns that come too late are ignored. */
			if (random() % 4)
				now += random() % CLK_MS(100);
			else
				now += random() % CLK_MS(1500);
			ratelimit_return(&ratelimit, now, takes[i].at, back);
		}
		ck_assert_msg(largest_window(takes, STEPS) <= rate, "seed %u",
			      seed);
	}
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("bkt");

	tcase_add_test(tc, no_window_exceeds_the_rate);
	tcase_add_test(tc, no_second_exceeds_the_rate_where_amounts_arrive);
	tcase_add_test(tc, steady_demand_gets_nearly_the_rate);
	tcase_add_test(tc, a_rate_of_one_gives_one_a_second);
	tcase_add_test(tc, a_return_never_lets_the_rate_be_exceeded);
	return fix_run("bkt", tc);
}
