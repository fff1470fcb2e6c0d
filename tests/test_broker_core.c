#include <check.h>
#include <stdlib.h>

#include "common/clk.h"
#include "policy/broker_core.h"
#include "tests/fix_run.h"

#define MAX_ANSWERS 4096

static struct broker_answer answers[MAX_ANSWERS];
static size_t answer_count;
static struct strbuf answer_upstream[MAX_ANSWERS];

static void keep_answer(void *ctx, const struct broker_answer *answer)
{
	(void)ctx;
	ck_assert_uint_lt(answer_count, MAX_ANSWERS);
	if (answer->up)
		answer_upstream[answer_count] = answer->up->vm.name;
	answers[answer_count++] = *answer;
}

static const struct broker_cfg default_cfg = {
	.up = {.ramp = CLK_SEC(10),
	       .ramp_start_pct = 25,
	       .shed_hold = CLK_MS(100),
	       .silent_hold = CLK_MS(500),
	       .drain_hold = CLK_SEC(10)},
	.permit_ttl = CLK_MS(3500),
	.queue_max = 1000,
	.epoch = 7,
};

static struct broker_listed_vm listed(const char *name, uint32_t slots)
{
	struct broker_listed_vm vm = {.port = 9000, .slots = slots};

	strbuf_set(&vm.name, str_from_c(name));
	strbuf_set(&vm.address, STR_LIT("127.0.0.2"));
	return vm;
}

static struct broker *new_broker(const struct broker_cfg *cfg, uint32_t slots)
{
	const struct broker_sink sink = {.answer = keep_answer};
	const uint32_t pct[RANK_COUNT] = {50, 30, 20};
	const struct broker_listed_vm vms[] = {
		listed("a", slots),
		listed("b", slots),
		listed("c", slots),
	};
	struct broker *b = NULL;

	answer_count = 0;
	ck_assert_int_eq(broker_create(&b, cfg, sink, 0), 0);
	broker_set_reserves(b, pct, 0);
	ck_assert_int_eq(broker_set_upstreams(b, vms, 3, 0), 0);
	return b;
}

static void ask(struct broker *b, const char *entry, uint64_t id,
		enum rank rank, apr_time_t now)
{
	const struct broker_ask a = {
		.id = id,
		.rank = rank,
		.deadline = now + CLK_SEC(10),
	};

	broker_ask(b, broker_hello(b, str_from_c(entry), 1, now), &a, now);
}

static void release(struct broker *b, const char *entry, uint64_t permit,
		    enum permit_outcome outcome, apr_time_t now)
{
	broker_release(b, broker_hello(b, str_from_c(entry), 1, now), permit,
		       outcome, now);
}

static struct broker_stats stats_of(const struct broker *b)
{
	struct broker_stats stats;

	broker_stats(b, &stats);
	return stats;
}

START_TEST(slots_are_given_evenly_and_never_exceeded)
{
	struct broker *b = new_broker(&default_cfg, 3);

	for (uint64_t i = 0; i < 12; i++)
		ask(b, "e1", i, RANK_NORMAL, 0);
	ck_assert_uint_eq(answer_count, 9);
	ck_assert_uint_eq(stats_of(b).held, 9);
	ck_assert_uint_eq(stats_of(b).waiting_by[RANK_NORMAL], 3);
	ck_assert_uint_eq(broker_upstream(b, STR_LIT("a"))->held, 3);
	release(b, "e1", answers[0].permit, PERMIT_DONE, CLK_MS(10));
	ck_assert_uint_eq(answer_count, 10);
	ck_assert_uint_eq(answers[9].ask, 9);
	broker_destroy(b);
}
END_TEST

START_TEST(urgent_goes_first_and_others_keep_their_reserve)
{
	struct broker *b = new_broker(&default_cfg, 10);
	uint64_t id = 0;

	for (int i = 0; i < 200; i++)
		ask(b, "e1", ++id, RANK_URGENT, 0);
	for (int i = 0; i < 50; i++) {
		ask(b, "e1", ++id, RANK_NORMAL, 0);
		ask(b, "e1", ++id, RANK_BULK, 0);
	}
	for (size_t i = 0; i < 100; i++)
		release(b, "e1", answers[i].permit, PERMIT_DONE,
			CLK_MS(10 + i));
	ck_assert_uint_eq(stats_of(b).held, 30);
	ck_assert_uint_eq(stats_of(b).held_by[RANK_URGENT], 15);
	ck_assert_uint_eq(stats_of(b).held_by[RANK_NORMAL], 9);
	ck_assert_uint_eq(stats_of(b).held_by[RANK_BULK], 6);
	broker_destroy(b);
}
END_TEST

START_TEST(an_ask_sent_again_gets_the_same_permit)
{
	struct broker *b = new_broker(&default_cfg, 3);

	ask(b, "e1", 5, RANK_NORMAL, 0);
	ask(b, "e1", 5, RANK_NORMAL, CLK_MS(1));
	ck_assert_uint_eq(answer_count, 2);
	ck_assert_uint_eq(answers[0].permit, answers[1].permit);
	ck_assert_uint_gt(answers[1].grant, answers[0].grant);
	ck_assert_uint_eq(stats_of(b).held, 1);
	broker_destroy(b);
}
END_TEST

START_TEST(permits_of_a_dead_or_restarted_entry_are_freed)
{
	struct broker *b = new_broker(&default_cfg, 3);

	ask(b, "e1", 1, RANK_NORMAL, 0);
	ask(b, "e2", 1, RANK_NORMAL, 0);
	broker_hello(b, STR_LIT("e2"), 2, CLK_MS(1));
	ck_assert_uint_eq(stats_of(b).held, 1);
	broker_tick(b, CLK_MS(3499));
	ck_assert_uint_eq(stats_of(b).held, 1);
	broker_tick(b, CLK_MS(3501));
	ck_assert_uint_eq(stats_of(b).held, 0);
	ck_assert_uint_eq(stats_of(b).permits, 0);
	broker_destroy(b);
}
END_TEST

START_TEST(complete_list_frees_what_the_entry_does_not_have)
{
	struct broker *b = new_broker(&default_cfg, 3);
	struct broker_entry *e;
	struct broker_claim claim = {.rank = RANK_NORMAL};

	ask(b, "e1", 1, RANK_NORMAL, 0);
	ask(b, "e1", 2, RANK_NORMAL, 0);
	ask(b, "e1", 3, RANK_NORMAL, 0);
	claim.permit = answers[0].permit;
	claim.ask = 1;
	claim.upstream = answer_upstream[0];
	/* The answer with the third grant is still in flight. */
	e = broker_hello(b, STR_LIT("e1"), 1, CLK_MS(5));
	broker_sync(b, e, &claim, 1, 2, CLK_MS(5));
	ck_assert_uint_eq(stats_of(b).held, 2);
	broker_sync(b, e, &claim, 1, 3, CLK_MS(6));
	ck_assert_uint_eq(stats_of(b).held, 1);
	broker_destroy(b);
}
END_TEST

/* The answer was lost, or went to an entry VM that uses another broker now. */
START_TEST(permit_never_listed_is_freed_after_its_time_to_live)
{
	struct broker *b = new_broker(&default_cfg, 3);
	apr_time_t now = CLK_MS(1);

	ask(b, "e1", 1, RANK_NORMAL, 0);
	for (int i = 0; i < 5; i++) {
		broker_sync(b, broker_hello(b, STR_LIT("e1"), 1, now), NULL, 0,
			    0, now);
		now += CLK_SEC(1);
	}
	ck_assert_uint_eq(stats_of(b).held, 0);
	broker_destroy(b);
}
END_TEST

START_TEST(new_broker_learns_before_it_grants)
{
	struct broker_cfg cfg = default_cfg;
	struct broker_claim claims[9];
	struct broker *b;

	cfg.learn_time = CLK_MS(600);
	b = new_broker(&cfg, 3);
	broker_expect_entries(b, 2);
	ask(b, "e1", 1, RANK_URGENT, CLK_MS(1));
	ck_assert_uint_eq(answer_count, 0);
	for (size_t i = 0; i < 9; i++) {
		claims[i] = (struct broker_claim){.permit = 100 + i, .ask = i};
		strbuf_set(&claims[i].upstream, STR_LIT("abc"));
		claims[i].upstream.ptr[0] = "abc"[i % 3];
		claims[i].upstream.ptr[1] = 0;
		claims[i].upstream.len = 1;
	}
	broker_sync(b, broker_hello(b, STR_LIT("e2"), 1, CLK_MS(2)), claims, 9,
		    0, CLK_MS(2));
	broker_sync(b, broker_hello(b, STR_LIT("e1"), 1, CLK_MS(2)), NULL, 0, 0,
		    CLK_MS(2));
	ck_assert(!broker_learning(b));
	ck_assert_uint_eq(stats_of(b).held, 9);
	ck_assert_uint_eq(answer_count, 0);
	release(b, "e2", 100, PERMIT_DONE, CLK_MS(3));
	ck_assert_uint_eq(answer_count, 1);
	broker_destroy(b);
}
END_TEST

START_TEST(learning_ends_after_its_time_limit)
{
	struct broker_cfg cfg = default_cfg;
	struct broker *b;

	cfg.learn_time = CLK_MS(600);
	b = new_broker(&cfg, 3);
	broker_expect_entries(b, 24);
	ask(b, "e1", 1, RANK_URGENT, 0);
	broker_tick(b, CLK_MS(599));
	ck_assert_uint_eq(answer_count, 0);
	broker_tick(b, CLK_MS(601));
	ck_assert_uint_eq(answer_count, 1);
	broker_destroy(b);
}
END_TEST

START_TEST(ask_that_cannot_meet_its_deadline_is_refused_early)
{
	struct broker *b = new_broker(&default_cfg, 3);
	struct broker_ask late = {.id = 900, .rank = RANK_BULK};

	for (uint64_t i = 0; i < 300; i++)
		ask(b, "e1", i, RANK_BULK, 0);
	late.deadline = CLK_MS(100);
	broker_ask(b, broker_hello(b, STR_LIT("e1"), 1, 0), &late, 0);
	ck_assert_uint_eq(answers[answer_count - 1].ask, 900);
	ck_assert_int_eq(answers[answer_count - 1].result, PERMIT_LATE);
	ck_assert_int_gt(answers[answer_count - 1].retry_after, 0);
	broker_destroy(b);
}
END_TEST

START_TEST(full_queue_and_no_upstream_are_refused)
{
	struct broker_cfg cfg = default_cfg;
	struct broker_listed_vm vm = listed("a", 3);
	struct broker *b;

	cfg.queue_max = 2;
	b = new_broker(&cfg, 1);
	for (uint64_t i = 0; i < 6; i++)
		ask(b, "e1", i, RANK_NORMAL, 0);
	ck_assert_uint_eq(answer_count, 4);
	ck_assert_int_eq(answers[3].result, PERMIT_FULL);
	vm.leaving = true;
	broker_set_upstreams(b, &vm, 1, 1);
	ask(b, "e1", 50, RANK_URGENT, 1);
	ck_assert_int_eq(answers[4].result, PERMIT_NO_UPSTREAM);
	broker_destroy(b);
}
END_TEST

START_TEST(brokers_of_one_process_never_share_an_epoch)
{
	for (uint64_t nth = 0; nth < 1000; nth++) {
		ck_assert_uint_ne(broker_epoch(0x8000000ff, nth),
				  broker_epoch(0x8000000ff, nth + 1));
		ck_assert_uint_eq(broker_epoch(UINT64_MAX, nth) >> 31, 0);
	}
}
END_TEST

/*
 * A request of 8 ms with a round-trip time of 110 ms uses its slot for a
 * thirtieth of the time.
 */
START_TEST(remote_permits_are_weighted_by_slot_time)
{
	struct broker *b = new_broker(&default_cfg, 3);
	apr_time_t now = 0;

	for (uint64_t i = 0; i < 20; i++) {
		ask(b, "near", i, RANK_NORMAL, now);
		now += CLK_MS(8);
		release(b, "near", answers[i].permit, PERMIT_DONE, now);
	}
	answer_count = 0;
	broker_set_round_trip(broker_hello(b, STR_LIT("far"), 1, now),
			      CLK_MS(110));
	for (uint64_t i = 0; i < 30; i++)
		ask(b, "far", 100 + i, RANK_NORMAL, now);
	ck_assert_uint_eq(answer_count, 30);
	ck_assert_uint_le(stats_of(b).held_by[RANK_NORMAL], 9);
	for (uint64_t i = 0; i < 30; i++)
		ask(b, "near", 200 + i, RANK_NORMAL, now);
	ck_assert_uint_lt(answer_count, 30 + 9);
	broker_destroy(b);
}
END_TEST

/* Other failure domains can serve the requests meanwhile. */
START_TEST(asks_do_not_wait_for_upstreams_that_are_silent)
{
	struct broker_cfg cfg = default_cfg;
	struct broker *b = new_broker(&cfg, 1);
	size_t given;

	for (uint64_t i = 0; i < 6; i++)
		ask(b, "e1", i, RANK_NORMAL, 0);
	ck_assert_uint_eq(answer_count, 3);
	for (int i = 0; i < 9; i++) {
		given = answer_count;
		for (size_t k = 0; k < given; k++)
			release(b, "e1", answers[k].permit, PERMIT_SILENT, 1);
	}
	ck_assert_uint_eq(stats_of(b).usable, 0);
	ck_assert_uint_eq(stats_of(b).waiting_by[RANK_NORMAL], 0);
	ask(b, "e1", 100, RANK_URGENT, 2);
	ck_assert_uint_eq(answers[answer_count - 1].ask, 100);
	ck_assert_int_eq(answers[answer_count - 1].result, PERMIT_NO_UPSTREAM);
	broker_tick(b, CLK_SEC(1));
	ask(b, "e1", 101, RANK_URGENT, CLK_SEC(1));
	ck_assert_int_eq(answers[answer_count - 1].result, PERMIT_GRANTED);
	broker_destroy(b);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("brk_core");

	tcase_add_test(tc, brokers_of_one_process_never_share_an_epoch);
	tcase_add_test(tc, slots_are_given_evenly_and_never_exceeded);
	tcase_add_test(tc, urgent_goes_first_and_others_keep_their_reserve);
	tcase_add_test(tc, an_ask_sent_again_gets_the_same_permit);
	tcase_add_test(tc, permits_of_a_dead_or_restarted_entry_are_freed);
	tcase_add_test(tc, complete_list_frees_what_the_entry_does_not_have);
	tcase_add_test(tc, permit_never_listed_is_freed_after_its_time_to_live);
	tcase_add_test(tc, new_broker_learns_before_it_grants);
	tcase_add_test(tc, learning_ends_after_its_time_limit);
	tcase_add_test(tc, asks_do_not_wait_for_upstreams_that_are_silent);
	tcase_add_test(tc, remote_permits_are_weighted_by_slot_time);
	tcase_add_test(tc, ask_that_cannot_meet_its_deadline_is_refused_early);
	tcase_add_test(tc, full_queue_and_no_upstream_are_refused);
	return fix_run("brk_core", tc);
}
