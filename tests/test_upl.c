#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "common/clk.h"
#include "common/err.h"
#include "platform/plt_codec.h"
#include "tests/fix_place.h"
#include "tests/fix_run.h"

static struct place place;

static void setup(void)
{
	place_init(&place);
}

static void teardown(void)
{
	place_done(&place);
}

START_TEST(a_new_start_knows_nothing)
{
	struct upl_entry entry = place_entry("u1", "n1");
	struct up *up = place_add(&place, "u1", "n1");

	upl_sent(up);
	upl_remember(up, 77, place.now);
	entry.revision = 5;
	entry.born_ms = 2;
	ck_assert_int_eq(place_put(&place, &entry), UPL_RESTARTED);
	up = upl_find(&place.upl, STR_LIT("u1"));
	ck_assert_uint_eq(up->out, 0);
	ck_assert(!upl_remembers(up, 77, place.now));
	ck_assert_uint_eq(up->svc->count, 1);
}
END_TEST

START_TEST(older_news_change_nothing)
{
	struct upl_entry entry = place_entry("u1", "n1");
	struct up *up;

	entry.revision = 9;
	entry.state = UPL_DRAINING;
	place_put(&place, &entry);
	up = upl_find(&place.upl, STR_LIT("u1"));
	ck_assert(!upl_usable(up, place.now));
	entry.revision = 8;
	entry.state = UPL_READY;
	ck_assert_int_eq(place_put(&place, &entry), UPL_SAME);
	ck_assert(!upl_usable(up, place.now));
}
END_TEST

START_TEST(held_until_its_time)
{
	struct up *up = place_add(&place, "u1", "n1");
	const apr_time_t until = place.now + CLK_SEC(2);

	ck_assert(upl_remove(&place.upl, STR_LIT("u1"), until));
	ck_assert(upl_usable(up, until - 1));
	ck_assert(!upl_usable(up, until));
	ck_assert_int_eq(upl_expire(&place.upl, until - 1), 0);
	ck_assert_int_eq(upl_expire(&place.upl, until), 1);
	ck_assert_ptr_null(upl_find(&place.upl, STR_LIT("u1")));
	ck_assert(!upl_remove(&place.upl, STR_LIT("u1"), 0));
}
END_TEST

START_TEST(back_in_time)
{
	struct upl_entry entry = place_entry("u1", "n1");
	struct up *up = place_add(&place, "u1", "n1");

	upl_remove(&place.upl, STR_LIT("u1"), place.now + CLK_SEC(2));
	entry.revision = 4;
	place_put(&place, &entry);
	ck_assert_int_eq(upl_expire(&place.upl, place.now + CLK_SEC(3)), 0);
	ck_assert(upl_usable(up, place.now + CLK_SEC(3)));
}
END_TEST

START_TEST(a_leaving_one_is_not_held)
{
	struct upl_entry entry = place_entry("u1", "n1");

	place_add(&place, "u1", "n1");
	entry.state = UPL_DRAINING;
	entry.revision = 2;
	place_put(&place, &entry);
	upl_remove(&place.upl, STR_LIT("u1"), place.now + CLK_SEC(2));
	ck_assert_ptr_null(upl_find(&place.upl, STR_LIT("u1")));
}
END_TEST

START_TEST(failures_in_a_row_pause_it)
{
	struct up *up = place_add(&place, "u1", "n1");
	apr_interval_time_t before = 0;

	for (int i = 0; i < 4; i++) {
		apr_interval_time_t pause;

		upl_sent(up);
		upl_ended(up, UPL_END_LOST, 0, 0, place.now);
		pause = up->shut_until - place.now;
		ck_assert_int_gt(pause, before);
		ck_assert(!upl_usable(up, place.now));
		before = pause;
		place.now = up->shut_until;
		ck_assert(upl_usable(up, place.now));
	}
	/* It may have started anew meanwhile. */
	ck_assert(upl_cold(up, place.now));
	upl_sent(up);
	upl_ended(up, UPL_END_OK, 1000, 1000, place.now);
	ck_assert_uint_eq(up->strikes, 0);
	ck_assert_uint_eq(up->out, 0);
}
END_TEST

START_TEST(load_is_own_and_others)
{
	struct up *up = place_add(&place, "u1", "n1");
	const struct upl_load load = {.running = 4, .waiting = 3, .slots = 6};

	upl_sent(up);
	upl_sent(up);
	upl_reported(up, &load, place.now);
	ck_assert_uint_eq(up->slots, 6);
	ck_assert(upl_load_now(up, place.now) == 7);
	/* An old report fades; what this VM sent does not. */
	ck_assert(upl_load_now(up, place.now + CLK_SEC(20)) < 2.1);
	ck_assert(upl_load_now(up, place.now + CLK_SEC(20)) >= 2);
}
END_TEST

START_TEST(run_times_by_route)
{
	struct upl_svc *svc;
	struct upl_run *slow;
	struct upl_run *fast;

	place_add(&place, "u1", "n1");
	svc = upl_service(&place.upl, STR_LIT("svc"));
	slow = upl_run_of(&place.upl, svc, STR_LIT("slow"), 0);
	fast = upl_run_of(&place.upl, svc, STR_LIT("fast"), 1);
	for (int i = 0; i < 50; i++) {
		upl_ran(svc, slow, CLK_MS(i % 5 ? 200 : 650), 0, place.now);
		upl_ran(svc, fast, CLK_MS(2), 0, place.now);
	}
	ck_assert(slow->warm_us > 180000 && slow->warm_us < 300000);
	ck_assert(fast->warm_us == 2000);
	ck_assert_ptr_eq(slow, upl_run_of(&place.upl, svc, STR_LIT("slow"), 0));
	ck_assert(rnk_busy_slots(&svc->ranks, place.now) > 0);
}
END_TEST

static int read_entry(const char *text, struct upl_entry *out)
{
	json_t *doc;
	const int err = plt_read_upstream(STR_LIT("servers/i-1"),
					  str_from_c(text), 3, out, &doc);

	json_decref(doc);
	return err;
}

#define ENTRY(addr, info, status) \
	"{\"addr\":\"" addr "\",\"info\":{" info "},\"status\":{" status "}}"
#define INFO   "\"service\":\"a\",\"version\":\"v1\",\"zone\":\"n1\",\"slots\":4"
#define STATUS "\"state\":\"ready\",\"seq\":4,\"coldMs\":1500"

START_TEST(entries_are_decoded_or_refused)
{
	static const char *const bad[] = {
		"",
		"\xff\xfe",
		"[]",
		ENTRY("10.0.0.1", INFO, STATUS),
		ENTRY("10.0.0.1:99999", INFO, STATUS),
		ENTRY("10.0.0.1:80", "\"service\":\"a\",\"slots\":4", STATUS),
		ENTRY("10.0.0.1:80",
		      "\"service\":7,\"version\":\"v\",\"zone\":\"n1\","
		      "\"slots\":4",
		      STATUS),
		ENTRY("10.0.0.1:80",
		      "\"service\":\"a\",\"version\":\"v\",\"zone\":\"n1\","
		      "\"slots\":\"4\"",
		      STATUS),
		ENTRY("10.0.0.1:80", INFO, "\"state\":\"odd\",\"seq\":1"),
		ENTRY("10.0.0.1:80", INFO, "\"state\":\"ready\""),
		ENTRY("10.0.0.1:80", INFO,
		      "\"state\":\"ready\",\"seq\":1,\"coldMs\":-5"),
	};
	struct upl_entry entry;

	ck_assert_int_eq(read_entry(ENTRY("10.0.0.1:80", INFO, STATUS), &entry),
			 0);
	ck_assert_uint_eq(entry.slots, 4);
	ck_assert_int_eq(entry.cold_for, 1500000);
	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		ck_assert_msg(read_entry(bad[i], &entry) == PST_ERR_INVALID,
			      "case %zu", i);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("upstreams");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, a_new_start_knows_nothing);
	tcase_add_test(tc, older_news_change_nothing);
	tcase_add_test(tc, held_until_its_time);
	tcase_add_test(tc, back_in_time);
	tcase_add_test(tc, a_leaving_one_is_not_held);
	tcase_add_test(tc, failures_in_a_row_pause_it);
	tcase_add_test(tc, load_is_own_and_others);
	tcase_add_test(tc, run_times_by_route);
	tcase_add_test(tc, entries_are_decoded_or_refused);
	return fix_run("upl", tc);
}
