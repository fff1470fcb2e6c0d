/* Which requests the entry retries, and whether it reports them as run. */
#include <string.h>

#include "common/clk.h"
#include "tests/fix_entry.h"
#include "tests/fix_run.h"
#include "tests/fix_upstream.h"
#include "tests/stub_agents.h"

START_TEST(shed_request_is_retried_or_reported_as_not_run)
{
	struct fix_caller c =
		fix_entry_call("POST", "/s/svc/shedonce", NULL, 0, false);

	ck_assert_int_eq(c.status, 200);
	c = fix_entry_call("POST", "/s/svc/shed", NULL, 0, false);
	ck_assert_int_eq(c.status, 503);
	ck_assert_ptr_nonnull(strstr(c.text, "\"run\":\"no\""));
	fix_entry_wait_idle();
}
END_TEST

START_TEST(non_idempotent_request_without_answer_runs_once_and_is_unknown)
{
	const unsigned before = fix_upstream_runs;
	struct fix_caller c;

	/* Leaves an idle connection, which libcurl might reuse and retry on. */
	fix_entry_call("GET", "/s/svc/ok", NULL, 0, false);
	c = fix_entry_call("POST", "/s/svc/drop", "Idempotency-Key: \"k1\"", 0,
			   false);
	ck_assert_int_eq(c.status, 502);
	ck_assert_ptr_nonnull(strstr(c.text, "\"run\":\"unknown\""));
	fix_entry_wait_idle();
	ck_assert_uint_eq(fix_upstream_runs, before + 2);
	ck_assert_uint_eq(stub_ended[TKT_END_UNKNOWN], 1);
}
END_TEST

START_TEST(key_with_a_refusing_verdict_does_not_run)
{
	const unsigned before = fix_upstream_runs;
	struct fix_caller c;

	stub_verdict = TKT_NOT_RUN;
	c = fix_entry_call("POST", "/s/svc/ok", "Idempotency-Key: k2", 0,
			   false);
	ck_assert_int_eq(c.status, 409);
	ck_assert_ptr_nonnull(strstr(c.text, "\"run\":\"no\""));
	ck_assert_ptr_nonnull(strstr(c.text, "\"reason\":\"TKT_SEALED\""));
	stub_verdict = TKT_UNKNOWN;
	c = fix_entry_call("POST", "/s/svc/ok", "Idempotency-Key: k3", 0,
			   false);
	ck_assert_ptr_nonnull(strstr(c.text, "\"run\":\"unknown\""));
	stub_verdict = TKT_RUN;
	fix_entry_wait_idle();
	ck_assert_uint_eq(fix_upstream_runs, before);
}
END_TEST

START_TEST(silent_upstream_is_abandoned_within_the_bound)
{
	const apr_time_t began = clk_now(clk_system());
	const struct fix_caller c =
		fix_entry_call("GET", "/s/svc/silent", NULL, 0, false);

	ck_assert_int_eq(c.status, 504);
	ck_assert_ptr_nonnull(strstr(c.text, "\"run\":\"unknown\""));
	/* Three attempts of the silence time-out each, and one as a margin. */
	ck_assert_int_lt(clk_now(clk_system()) - began, CLK_MS(4 * 300));
	fix_entry_wait_idle();
}
END_TEST

START_TEST(silent_connection_is_not_reused)
{
	/* The upstream answers only the first request of a connection. */
	for (int i = 0; i < 3; i++) {
		const struct fix_caller c =
			fix_entry_call("GET", "/s/svc/later", NULL, 0, false);

		ck_assert_int_eq(c.status, 200);
	}
	fix_entry_wait_idle();
}
END_TEST

START_TEST(deadline_ends_non_idempotent_request_as_unknown)
{
	const struct fix_caller c = fix_entry_call(
		"POST", "/s/svc/silent", "X-Deadline-Ms: 200", 0, false);

	ck_assert_int_eq(c.status, 504);
	ck_assert_ptr_nonnull(strstr(c.text, "\"run\":\"unknown\""));
	fix_entry_wait_idle();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("entry_once");

	tcase_add_test(tc, shed_request_is_retried_or_reported_as_not_run);
	tcase_add_test(
		tc,
		non_idempotent_request_without_answer_runs_once_and_is_unknown);
	tcase_add_test(tc, key_with_a_refusing_verdict_does_not_run);
	tcase_add_test(tc, silent_upstream_is_abandoned_within_the_bound);
	tcase_add_test(tc, silent_connection_is_not_reused);
	tcase_add_test(tc, deadline_ends_non_idempotent_request_as_unknown);
	return fix_entry_run("entry_once", tc);
}
