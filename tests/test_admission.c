#include <check.h>
#include <stdlib.h>

#include "common/clk.h"
#include "policy/admission.h"
#include "tests/fix_run.h"

/* A request to an upstream with four slots; a warm run takes 0.2 s. */
static struct admission_input input_at_load(double load)
{
	const double over = load >= 4 ? load - 4 + 1 : 0;

	return (struct admission_input){
		.latency_target = CLK_MS(500),
		.expected = CLK_MS(200) +
			    (apr_interval_time_t)(over * (double)CLK_MS(50)),
		.best_case = CLK_MS(200),
		.load = load,
		.slots = 4,
		.queue_step = CLK_MS(50),
	};
}

static enum admission_verdict decide(const struct admission_input *in)
{
	apr_interval_time_t retry_after;

	return admission_decide(in, &retry_after);
}

START_TEST(queues_only_requests_in_time)
{
	struct admission_input in;

	for (int load = 0; load <= 9; load++) {
		in = input_at_load(load);
		ck_assert_int_eq(decide(&in), ADMISSION_SEND);
	}
	for (int load = 10; load <= 16; load++) {
		in = input_at_load(load);
		ck_assert_int_eq(decide(&in), ADMISSION_LATE);
	}
	/* A retry has spent part of its time on an earlier attempt. */
	in = input_at_load(8);
	in.waited = CLK_MS(200);
	ck_assert_int_eq(decide(&in), ADMISSION_LATE);
}
END_TEST

/* A cold run is late even with an empty queue, so it may take a free slot. */
START_TEST(late_requests_take_free_slots)
{
	for (int load = 0; load <= 16; load++) {
		struct admission_input in = input_at_load(load);

		in.expected += CLK_MS(450);
		ck_assert_int_eq(decide(&in),
				 load < 7 ? ADMISSION_SEND : ADMISSION_LATE);
	}
}
END_TEST

START_TEST(yielding_requests_leave_a_slot)
{
	for (int load = 0; load <= 16; load++) {
		struct admission_input in = input_at_load(load);

		in.must_yield = true;
		ck_assert_int_eq(decide(&in),
				 load < 3 ? ADMISSION_SEND : ADMISSION_YIELD);
	}
}
END_TEST

/* Another region is too far to be in time; its queue stays usable. */
START_TEST(latency_target_out_of_reach)
{
	for (int load = 0; load <= 16; load++) {
		struct admission_input in = input_at_load(load);

		in.best_case += CLK_MS(400);
		in.expected += CLK_MS(400);
		ck_assert_int_eq(decide(&in), in.expected <= CLK_MS(1200)
						      ? ADMISSION_SEND
						      : ADMISSION_LATE);
	}
}
END_TEST

START_TEST(queues_all_without_a_latency_target)
{
	struct admission_input in = input_at_load(16);

	in.latency_target = 0;
	ck_assert_int_eq(decide(&in), ADMISSION_SEND);
	ck_assert(!admission_is_late(&in));
}
END_TEST

/* The retry time is that in which the queue shrinks to the limit. */
START_TEST(retry_after_matches_the_queue)
{
	struct admission_input in = input_at_load(13);
	apr_interval_time_t retry_after;

	ck_assert_int_eq(admission_decide(&in, &retry_after), ADMISSION_LATE);
	ck_assert_int_eq(retry_after, 6.6 * (double)in.queue_step);
	in.must_yield = true;
	ck_assert_int_eq(admission_decide(&in, &retry_after), ADMISSION_YIELD);
	ck_assert_int_eq(retry_after, 10 * in.queue_step);
	in = input_at_load(2);
	ck_assert_int_eq(admission_decide(&in, &retry_after), ADMISSION_SEND);
	ck_assert_int_eq(retry_after, 0);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("admission");

	tcase_add_test(tc, queues_only_requests_in_time);
	tcase_add_test(tc, late_requests_take_free_slots);
	tcase_add_test(tc, yielding_requests_leave_a_slot);
	tcase_add_test(tc, latency_target_out_of_reach);
	tcase_add_test(tc, queues_all_without_a_latency_target);
	tcase_add_test(tc, retry_after_matches_the_queue);
	return fix_run("adm", tc);
}
