#include <check.h>
#include <stdlib.h>

#include "policy/memquota.h"
#include "tests/fix_run.h"

#define ANSWERS 40
#define LIMIT	100000

struct answers {
	struct memquota quota;
	struct memquota_item items[ANSWERS];
};

static struct memquota_item *victim(struct answers *answers)
{
	struct memquota_item *found = NULL;

	for (int i = 0; i < ANSWERS; i++) {
		struct memquota_item *item = &answers->items[i];

		if (item->bytes &&
		    memquota_evicts(&answers->quota, item, found))
			found = item;
	}
	return found;
}

static void add(struct answers *answers, int i, size_t bytes, bool sized)
{
	memquota_set(&answers->quota, &answers->items[i],
		     answers->items[i].bytes + bytes, sized);
}

START_TEST(counts_what_is_held)
{
	struct answers a = {.quota.limit = LIMIT};

	add(&a, 0, 10, false);
	add(&a, 0, 90, true);
	add(&a, 1, 50, false);
	ck_assert_uint_eq(a.quota.used, 150);
	ck_assert_uint_eq(a.quota.unsized, 50);
	memquota_set(&a.quota, &a.items[0], 0, false);
	memquota_set(&a.quota, &a.items[1], 0, false);
	ck_assert_uint_eq(a.quota.used, 0);
	ck_assert_uint_eq(a.quota.unsized, 0);
}
END_TEST

/* Endless answers grow in turn, beside sound ones with and without length. */
START_TEST(endless_answers_are_evicted_before_sound_ones)
{
	struct answers a = {.quota.limit = LIMIT};
	int evicted = 0;

	for (int i = 20; i < ANSWERS; i++)
		add(&a, i, 1500, i % 2);
	for (int round = 0; round < 1000; round++) {
		for (int i = 0; i < 20; i++) {
			add(&a, i, 1000, false);
			while (memquota_is_exceeded(&a.quota)) {
				struct memquota_item *item = victim(&a);

				ck_assert_ptr_nonnull(item);
				ck_assert_int_lt(item - a.items, 20);
				memquota_set(&a.quota, item, 0, false);
				evicted++;
			}
			ck_assert_uint_le(a.quota.used, LIMIT);
		}
	}
	ck_assert_int_gt(evicted, 0);
}
END_TEST

/* Answers that state a length but never end are evicted when they hold most. */
START_TEST(large_stated_lengths_are_evicted_too)
{
	struct answers a = {.quota.limit = LIMIT};

	for (int i = 20; i < ANSWERS; i++)
		add(&a, i, 500, false);
	for (int i = 0; i < 10; i++)
		add(&a, i, 9500, true);
	ck_assert(memquota_is_exceeded(&a.quota));
	ck_assert_int_lt(victim(&a) - a.items, 10);
}
END_TEST

/* A sound download with a length stays beside endless ones of its size. */
START_TEST(a_stated_length_is_kept_while_others_hold_most)
{
	struct answers a = {.quota.limit = LIMIT};

	add(&a, 0, 40000, true);
	add(&a, 1, 31000, false);
	add(&a, 2, 30000, false);
	ck_assert(memquota_is_exceeded(&a.quota));
	ck_assert_ptr_eq(victim(&a), &a.items[1]);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("memquota");

	tcase_add_test(tc, counts_what_is_held);
	tcase_add_test(tc, endless_answers_are_evicted_before_sound_ones);
	tcase_add_test(tc, large_stated_lengths_are_evicted_too);
	tcase_add_test(tc, a_stated_length_is_kept_while_others_hold_most);
	return fix_run("memquota", tc);
}
