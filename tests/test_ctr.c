#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "common/ctr.h"
#include "tests/fix_run.h"

START_TEST(quantiles_are_within_a_sixteenth)
{
	struct hist *hist =
		hist_get("latency_us", "rank=\"urgent\"", "Latency.");

	for (uint64_t us = 1; us <= 100000; us++)
		hist_record(hist, us);
	ck_assert_uint_ge(hist_quantile(hist, 0.5), 50000);
	ck_assert_uint_le(hist_quantile(hist, 0.5), 50000 + 50000 / 16);
	ck_assert_uint_ge(hist_quantile(hist, 0.999), 99900);
	ck_assert_uint_le(hist_quantile(hist, 0.999), 99900 + 99900 / 16);
}
END_TEST

START_TEST(largest_value_has_a_bucket)
{
	struct hist *hist = hist_get("extreme_us", "", "Extreme.");

	hist_record(hist, UINT64_MAX);
	ck_assert(hist_quantile(hist, 0.5) == UINT64_MAX);
}
END_TEST

START_TEST(series_of_a_name_share_one_header)
{
	size_t len = 0;
	char *text;
	const char *head;

	ctr_add(ctr_get("asked", "rank=\"bulk\"", "Asked."), 3);
	ctr_add(ctr_get("other", "", "Other."), 1);
	ctr_add(ctr_get("asked", "rank=\"urgent\"", "Asked."), 2);
	text = ctr_render(&len);
	head = strstr(text, "# TYPE asked untyped\n");
	ck_assert_ptr_nonnull(head);
	ck_assert_ptr_null(strstr(head + 1, "# TYPE asked"));
	ck_assert_ptr_nonnull(strstr(text, "asked{rank=\"bulk\"} 3\n"));
	ck_assert_ptr_nonnull(strstr(text, "other 1\n"));
	free(text);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("ctr");

	tcase_add_test(tc, quantiles_are_within_a_sixteenth);
	tcase_add_test(tc, largest_value_has_a_bucket);
	tcase_add_test(tc, series_of_a_name_share_one_header);
	return fix_run("ctr", tc);
}
