#include <check.h>

#include "common/clk.h"
#include "common/err.h"
#include "fakes/store.h"
#include "tests/fix_run.h"

static struct memstore *store;

static void setup(void)
{
	ck_assert_int_eq(memstore_create(&store), 0);
}

static void teardown(void)
{
	memstore_destroy(store);
}

static void put(const char *key, const char *value, uint64_t lease)
{
	const struct memstore_op op = {
		.key = str_from_c(key),
		.value = str_from_c(value),
		.lease = lease,
	};

	ck_assert_int_eq(memstore_apply(store, &op, 1), 0);
}

START_TEST(revisions_and_ranges)
{
	const struct memstore_item *item;
	size_t count;
	size_t first;

	put("/pst/b", "1", 0);
	put("/pst/a", "2", 0);
	put("/pst/b", "3", 0);
	put("/psu", "4", 0);
	item = memstore_get(store, STR_LIT("/pst/b"));
	ck_assert_uint_eq(item->create_revision, 2);
	ck_assert_uint_eq(item->mod_revision, 4);
	ck_assert_uint_eq(item->version, 2);
	first = memstore_range(store, STR_LIT("/pst/"), STR_LIT("/pst0"),
			       &count);
	ck_assert_uint_eq(count, 2);
	ck_assert(str_eq(memstore_at(store, first)->key, STR_LIT("/pst/a")));
	memstore_range(store, STR_LIT("/pst/"), STR_LIT("\0"), &count);
	ck_assert_uint_eq(count, 3);
	ck_assert_ptr_null(memstore_get(store, STR_LIT("/pst")));
}
END_TEST

START_TEST(changes_of_one_call_share_a_revision)
{
	const struct memstore_op ops[] = {
		{.key = STR_LIT("x"), .value = STR_LIT("1")},
		{.key = STR_LIT("y"), .value = STR_LIT("2")},
		{.key = STR_LIT("z"), .value = STR_LIT("3"), .lease = 77},
	};

	ck_assert_int_eq(memstore_apply(store, ops, 3), PST_ERR_FAKE_LEASE);
	ck_assert_ptr_null(memstore_get(store, STR_LIT("x")));
	ck_assert_uint_eq(memstore_revision(store), 1);
	ck_assert_int_eq(memstore_apply(store, ops, 2), 0);
	ck_assert_uint_eq(memstore_get(store, STR_LIT("x"))->mod_revision,
			  memstore_get(store, STR_LIT("y"))->mod_revision);
}
END_TEST

START_TEST(an_expired_lease_deletes_its_keys)
{
	const uint64_t lease = memstore_lease_grant(store, 0, 2, CLK_SEC(10));
	uint64_t ttl;

	put("/pst/share", "1", lease);
	ck_assert_int_eq(memstore_lease_renew(store, lease, CLK_SEC(11), &ttl),
			 0);
	ck_assert_uint_eq(ttl, 2);
	ck_assert_int_eq(memstore_lease_expire(store, CLK_SEC(12)),
			 CLK_SEC(13));
	ck_assert_ptr_nonnull(memstore_get(store, STR_LIT("/pst/share")));
	ck_assert_int_eq(memstore_lease_expire(store, CLK_SEC(13)), 0);
	ck_assert_ptr_null(memstore_get(store, STR_LIT("/pst/share")));
	ck_assert_int_eq(memstore_lease_renew(store, lease, CLK_SEC(13), &ttl),
			 PST_ERR_FAKE_LEASE);
}
END_TEST

START_TEST(a_watch_sees_each_change_once)
{
	uint64_t cursor = 0;
	const struct memstore_event *event;
	int err;

	put("/pst/a", "1", 0);
	put("/other", "2", 0);
	put("/pst/a", "3", 0);
	event = memstore_next(store, &cursor, 3, STR_LIT("/pst/"),
			      STR_LIT("/pst0"), &err);
	ck_assert_ptr_nonnull(event);
	ck_assert_uint_eq(event->item.mod_revision, 4);
	ck_assert(str_eq(event->item.value, STR_LIT("3")));
	event = memstore_next(store, &cursor, 3, STR_LIT("/pst/"),
			      STR_LIT("/pst0"), &err);
	ck_assert_ptr_null(event);
	ck_assert_int_eq(err, 0);
}
END_TEST

START_TEST(a_watch_from_a_compacted_revision_fails)
{
	uint64_t cursor = 0;
	int err;

	for (int i = 0; i < 20000; i++)
		put("/pst/a", "1", 0);
	memstore_next(store, &cursor, 2, STR_LIT("/pst/a"), STR_LIT(""), &err);
	ck_assert_int_eq(err, PST_ERR_FAKE_COMPACTED);
}
END_TEST

START_TEST(a_clone_does_not_change_with_the_store)
{
	struct memstore *copy;

	put("k", "old", 0);
	ck_assert_int_eq(memstore_clone(store, &copy), 0);
	put("k", "new", 0);
	ck_assert(str_eq(memstore_get(copy, STR_LIT("k"))->value,
			 STR_LIT("old")));
	ck_assert_uint_eq(memstore_revision(copy),
			  memstore_revision(store) - 1);
	memstore_destroy(copy);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("fake_store");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, revisions_and_ranges);
	tcase_add_test(tc, changes_of_one_call_share_a_revision);
	tcase_add_test(tc, an_expired_lease_deletes_its_keys);
	tcase_add_test(tc, a_watch_sees_each_change_once);
	tcase_add_test(tc, a_watch_from_a_compacted_revision_fails);
	tcase_add_test(tc, a_clone_does_not_change_with_the_store);
	return fix_run("fake_store", tc);
}
