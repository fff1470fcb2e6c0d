#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/err.h"
#include "platform/plt_json.h"
#include "platform/plt_changes.h"
#include "policy/changelog.h"
#include "tests/fix_run.h"

static struct changelog changelog;

static void setup(void)
{
	changelog_reset(&changelog, 100);
}

static void teardown(void)
{
	changelog_reset(&changelog, 0);
}

static void add(uint64_t revision, const char *key, const char *value)
{
	const struct changelog_change change = {
		.key = str_from_c(key),
		.value = str_from_c(value ? value : ""),
		.revision = revision,
		.gone = !value,
	};

	ck_assert_int_eq(changelog_add(&changelog, &change), 0);
}

static void collect(void *ctx, const struct changelog_change *change)
{
	uint64_t *sum = ctx;

	*sum = *sum * 1000 + change->revision;
}

START_TEST(in_order_and_once)
{
	uint64_t sum = 0;

	add(101, "a", "1");
	add(105, "b", "2");
	add(109, "a", NULL);
	ck_assert_int_eq(changelog_since(&changelog, 101, collect, &sum), 2);
	ck_assert_uint_eq(sum, 105109);
	ck_assert_int_eq(changelog_since(&changelog, 109, collect, &sum), 0);
	ck_assert_int_eq(changelog_since(&changelog, 99, collect, &sum),
			 PST_ERR_STALE);
}
END_TEST

/* A reader gets every change after its revision, or PST_ERR_STALE. */
START_TEST(dropped_changes_are_reported)
{
	for (uint64_t r = 101; r < 101 + 3 * CHANGELOG_CHANGES; r++) {
		uint64_t sum = 0;
		char key[32];

		snprintf(key, sizeof(key), "k%llu", (unsigned long long)r);
		add(r, key, "v");
		for (uint64_t after = 100; after <= r; after += 97) {
			const int n = changelog_since(&changelog, after,
						      collect, &sum);

			ck_assert(n == PST_ERR_STALE || n == (int)(r - after));
		}
	}
	ck_assert_uint_eq(changelog.count, CHANGELOG_CHANGES);
}
END_TEST

START_TEST(bytes_are_bounded)
{
	static char big[CHANGELOG_BYTES / 3];

	memset(big, 'x', sizeof(big) - 1);
	for (uint64_t r = 101; r < 120; r++) {
		add(r, "big", big);
		ck_assert_uint_le(changelog.bytes_held, CHANGELOG_BYTES);
	}
	ck_assert_uint_ge(changelog.count, 2);
}
END_TEST

/* A relay's answer is decoded like the store's own. */
START_TEST(answer_decodes_like_the_stores)
{
	struct buf out = {0};
	struct plt_parsed parsed;

	add(103, "pst/vm/a", "{\"x\":\"\xc3\xa9\"}");
	add(104, "pst/vm/b", NULL);
	changelog_advance(&changelog, 150);
	ck_assert_int_eq(plt_put_changes(&out, &changelog, 100, -5), 2);
	ck_assert_int_eq(plt_parse(buf_str(&out), &parsed), 0);
	ck_assert_uint_eq(parsed.revision, 150);
	ck_assert_uint_eq(parsed.count, 2);
	ck_assert_int_eq(parsed.age, -5);
	ck_assert(
		str_eq(parsed.items[0].value, STR_LIT("{\"x\":\"\xc3\xa9\"}")));
	ck_assert(!parsed.items[0].gone && parsed.items[1].gone);
	ck_assert_uint_eq(parsed.items[1].revision, 104);
	plt_parsed_free(&parsed);
	buf_free(&out);
}
END_TEST

START_TEST(watch_requests_are_validated)
{
	struct plt_watch_request request;

	ck_assert_int_eq(
		plt_read_watch_request(STR_LIT("/kv-watch?prefix=op%2F&after=12"
					       "&waitMs=400"),
				       &request),
		0);
	ck_assert_str_eq(request.prefix.ptr, "op/");
	ck_assert_uint_eq(request.after, 12);
	ck_assert_uint_eq(request.wait_ms, 400);
	ck_assert_int_eq(
		plt_read_watch_request(STR_LIT("/kv-range?x"), &request),
		PST_ERR_NOTFOUND);
	ck_assert_int_eq(
		plt_read_watch_request(STR_LIT("/kv-watch?after=1x"), &request),
		PST_ERR_INVALID);
	ck_assert_int_eq(plt_read_watch_request(STR_LIT("/kv-watch?prefix=%zz"),
						&request),
			 PST_ERR_INVALID);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("news");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, in_order_and_once);
	tcase_add_test(tc, dropped_changes_are_reported);
	tcase_add_test(tc, bytes_are_bounded);
	tcase_add_test(tc, answer_decodes_like_the_stores);
	tcase_add_test(tc, watch_requests_are_validated);
	return fix_run("nws", tc);
}
