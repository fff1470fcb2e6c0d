#include <check.h>
#include <stdlib.h>

#include "policy/outquota.h"
#include "tests/fix_run.h"

#define LIMIT	1000000UL
#define CALLERS 50
#define ANSWER	80000
#define TICK_US (APR_USEC_PER_SEC / 10)
#define TICKS	200
#define READERS 2

struct play {
	struct outquota quota;
	struct outquota_conn conns[CALLERS];
	size_t peak;
	int asked;
	int refused;
	int cut_readers;
	int cut_idlers;
};

static bool reads(int caller)
{
	return caller % READERS;
}

static void release(struct play *play, int caller)
{
	play->quota.used -= play->conns[caller].bytes;
	play->conns[caller] = (struct outquota_conn){0};
}

static bool evict_one(struct play *play)
{
	int victim = -1;

	for (int i = 0; i < CALLERS; i++) {
		if (outquota_evicts(&play->quota, &play->conns[i],
				    victim < 0 ? NULL : &play->conns[victim]))
			victim = i;
	}
	if (victim < 0)
		return false;
	if (reads(victim))
		play->cut_readers++;
	else
		play->cut_idlers++;
	release(play, victim);
	return true;
}

static void ask(struct play *play, int caller)
{
	play->asked += reads(caller);
	while (!outquota_admits(&play->quota, ANSWER)) {
		if (!evict_one(play)) {
			play->refused += reads(caller);
			return;
		}
	}
	play->conns[caller].bytes += ANSWER;
	play->quota.used += ANSWER;
	if (play->quota.used > play->peak)
		play->peak = play->quota.used;
}

static void play_all(struct play *play)
{
	play->quota.limit = LIMIT;
	for (int tick = 0; tick < TICKS; tick++) {
		for (int i = 0; i < CALLERS; i++) {
			if (reads(i))
				release(play, i);
			else if (play->conns[i].bytes)
				play->conns[i].stalled += TICK_US;
		}
		for (int i = 0; i < CALLERS; i++) {
			if (!play->conns[i].bytes && (tick + i) % 10 == 0)
				ask(play, i);
		}
	}
}

/* Half of the callers never read; the others are served beside them. */
START_TEST(callers_that_do_not_read_make_room_for_others)
{
	struct play play = {0};

	play_all(&play);
	ck_assert_uint_le(play.peak, LIMIT);
	ck_assert_int_eq(play.cut_readers, 0);
	ck_assert_int_gt(play.cut_idlers, 0);
	ck_assert_int_lt(play.refused, play.asked / 2);
}
END_TEST

START_TEST(answers_that_have_come_fit_the_hard_limit)
{
	struct outquota quota = {.limit = LIMIT};
	const struct outquota_conn large = {.bytes = LIMIT};
	const struct outquota_conn small = {.bytes = 10};
	const struct outquota_conn stalled = {.bytes = 10,
					      .stalled = APR_USEC_PER_SEC};

	quota.used = 2 * LIMIT;
	ck_assert(!outquota_evicts(&quota, &large, NULL));
	quota.used = 2 * LIMIT + 2;
	ck_assert(outquota_is_exhausted(&quota));
	ck_assert(outquota_evicts(&quota, &large, &small));
	ck_assert(!outquota_evicts(&quota, &small, &large));
	ck_assert(outquota_evicts(&quota, &stalled, &large));
	ck_assert(!outquota_evicts(&quota, &(struct outquota_conn){0}, NULL));
}
END_TEST

START_TEST(answers_larger_than_the_quota_are_not_refused_for_good)
{
	struct outquota quota = {.limit = LIMIT};

	ck_assert(outquota_admits(&quota, 3 * LIMIT));
	quota.used = LIMIT / 2;
	ck_assert(outquota_admits(&quota, 3 * LIMIT));
	quota.used++;
	ck_assert(!outquota_admits(&quota, 3 * LIMIT));
	ck_assert(outquota_admits(&quota, LIMIT / 2 - 1));
	quota.used = LIMIT;
	ck_assert(!outquota_admits(&quota, 0));
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("outquota");

	tcase_add_test(tc, callers_that_do_not_read_make_room_for_others);
	tcase_add_test(tc, answers_that_have_come_fit_the_hard_limit);
	tcase_add_test(tc,
		       answers_larger_than_the_quota_are_not_refused_for_good);
	return fix_run("outquota", tc);
}
