/* Next step of a feed by its own state and that of the store and the relay. */
#include <check.h>

#include "policy/way.h"
#include "tests/fix_run.h"

START_TEST(store_works)
{
	struct way_view view = {.place = WAY_UNLISTED, .renewing = true};

	ck_assert_int_eq(way_next(&view), WAY_LIST);
	view.place = WAY_BEHIND;
	ck_assert_int_eq(way_next(&view), WAY_CATCH_UP);
	view.place = WAY_PLACED;
	ck_assert_int_eq(way_next(&view), WAY_STORE);
	view.relay = true;
	ck_assert_int_eq(way_next(&view), WAY_RELAY);
}
END_TEST

/* Only the first list may come from a replica; an outage makes it wait. */
START_TEST(first_list_may_be_stale)
{
	struct way_view view = {.place = WAY_UNLISTED, .may_lag = true};

	ck_assert_int_eq(way_next(&view), WAY_LIST_LAGGING);
	view.unwell = true;
	ck_assert_int_eq(way_next(&view), WAY_LIST_LAGGING);
	view.renewing = true;
	ck_assert_int_eq(way_next(&view), WAY_WAIT);
	view = (struct way_view){.place = WAY_BEHIND, .may_lag = true};
	ck_assert_int_eq(way_next(&view), WAY_CATCH_UP);
	ck_assert(!way_by_vm(WAY_LIST_LAGGING));
}
END_TEST

/* Keys that are of use only with a table aren't watched before there is one. */
START_TEST(no_watch_before_the_table)
{
	struct way_view view = {.place = WAY_UNLISTED, .idle = true};

	ck_assert_int_eq(way_next(&view), WAY_LIST);
	view.place = WAY_PLACED;
	ck_assert_int_eq(way_next(&view), WAY_WAIT);
	view.relay = true;
	ck_assert_int_eq(way_next(&view), WAY_RELAY);
}
END_TEST

START_TEST(outage_waits_for_renewals)
{
	struct way_view view = {.renewing = true, .unwell = true};

	for (view.place = WAY_UNLISTED; view.place <= WAY_PLACED; view.place++)
		ck_assert_int_eq(way_next(&view), WAY_WAIT);
}
END_TEST

START_TEST(outage_without_a_lease)
{
	struct way_view view = {.place = WAY_UNLISTED, .unwell = true};

	ck_assert_int_eq(way_next(&view), WAY_LIST);
	view.place = WAY_PLACED;
	ck_assert_int_eq(way_next(&view), WAY_STORE);
}
END_TEST

/* The store may refuse this VM and still answer the relay. */
START_TEST(relay_in_an_outage)
{
	const struct way_view view = {
		.place = WAY_PLACED,
		.relay = true,
		.renewing = true,
		.unwell = true,
	};

	ck_assert_int_eq(way_next(&view), WAY_RELAY);
}
END_TEST

START_TEST(fallback_in_an_outage)
{
	const struct way_view view = {
		.place = WAY_PLACED,
		.detour = true,
		.renewing = true,
		.unwell = true,
	};

	ck_assert_int_eq(way_next(&view), WAY_DETOUR);
	ck_assert(way_by_vm(WAY_DETOUR));
	ck_assert(way_by_vm(WAY_RELAY));
	ck_assert(!way_by_vm(WAY_STORE));
}
END_TEST

/* A list isn't put off in the grace period: without it this VM can't serve. */
START_TEST(watch_waits_in_grace_period)
{
	struct way_view view = {.place = WAY_UNLISTED, .settling = true};

	ck_assert_int_eq(way_next(&view), WAY_LIST);
	view.place = WAY_PLACED;
	ck_assert_int_eq(way_next(&view), WAY_WAIT);
	view.relay = true;
	ck_assert_int_eq(way_next(&view), WAY_RELAY);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("way");

	tcase_add_test(tc, store_works);
	tcase_add_test(tc, first_list_may_be_stale);
	tcase_add_test(tc, no_watch_before_the_table);
	tcase_add_test(tc, outage_waits_for_renewals);
	tcase_add_test(tc, outage_without_a_lease);
	tcase_add_test(tc, relay_in_an_outage);
	tcase_add_test(tc, fallback_in_an_outage);
	tcase_add_test(tc, watch_waits_in_grace_period);
	return fix_run("way", tc);
}
