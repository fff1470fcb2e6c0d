#include <check.h>
#include <stdlib.h>

#include "common/clk.h"
#include "policy/account.h"
#include "policy/accthold.h"
#include "tests/fix_run.h"

#define START CLK_SEC(1000)
#define LEASE CLK_SEC(5)

/* Hashes of VMs; SELF is this one. */
enum {
	SELF = 1000,
	A,
	B,
	C,
	D
};

static const struct accthold_state current = {.is_settled = true};
static const struct accthold_state joining = {.is_settled = false};
static const struct accthold_state unserved = {
	.list_age = CLK_SEC(4),
	.store_age = CLK_SEC(4),
	.is_settled = true,
};

static struct accthold *new_hold(void)
{
	struct accthold *hold = calloc(1, sizeof(*hold));

	ck_assert_ptr_nonnull(hold);
	accthold_init(hold, LEASE, START);
	return hold;
}

/* The store answers: the lease is renewed, the list current. */
static void serve(struct accthold *hold, apr_time_t at)
{
	accthold_note_renewal(hold, at);
	accthold_note_list(hold, at);
}

static void answer(struct accthold *hold, uint64_t vm,
		   const struct accthold_state *state, apr_time_t at)
{
	accthold_should_ask(hold, vm, at);
	accthold_note_peer(hold, vm, state, at);
}

static apr_time_t usable_at(const struct accthold *hold,
			    const struct accthold_member *order, unsigned count,
			    unsigned accounts, apr_time_t now)
{
	return accthold_usable_at(hold, order, count, true, SELF, accounts,
				  now);
}

/*
 * Guards against a share that is used when the lease has ended, and when others
 * may use it, though the list is current (a VM that hears it through others).
 */
START_TEST(shares_end_with_the_lease)
{
	struct accthold *hold = new_hold();

	serve(hold, START);
	accthold_note_list(hold, START + CLK_SEC(6));
	ck_assert(!accthold_update(hold, START + CLK_MS(5999)));
	ck_assert(accthold_update(hold, START + CLK_SEC(6)));
	ck_assert(hold->is_stopped);
	ck_assert_int_lt(LEASE + ACCTHOLD_EXCESS_US,
			 LEASE + ACCOUNT_LIST_SPREAD_US);
	free(hold);
}
END_TEST

/* Guards against a share that is used by a list that is not current. */
START_TEST(shares_end_with_the_list)
{
	struct accthold *hold = new_hold();

	serve(hold, START);
	accthold_note_renewal(hold, START + CLK_SEC(6));
	accthold_update(hold, START + CLK_SEC(6));
	ck_assert(hold->is_stopped);
	free(hold);
}
END_TEST

/*
 * Guards against a process that uses the shares of the one before it, whose
 * lease ends at an unknown time, without a lease of its own.
 */
START_TEST(a_new_process_needs_a_lease)
{
	struct accthold *hold = new_hold();

	accthold_note_list(hold, START + CLK_SEC(2));
	accthold_update(hold, START + CLK_MS(2999));
	ck_assert(!hold->is_stopped);
	accthold_update(hold, START + ACCOUNT_LIST_SPREAD_US);
	ck_assert(hold->is_stopped);
	free(hold);
}
END_TEST

/* Guards against shares that are used at once after the store was away. */
START_TEST(shares_that_return_wait_like_new_ones)
{
	const struct accthold_member order[] = {{.vm = SELF}, {.vm = A}};
	struct accthold *hold = new_hold();
	const apr_time_t back = START + CLK_SEC(20);

	serve(hold, START);
	accthold_update(hold, back - CLK_MS(200));
	ck_assert(hold->is_stopped);
	serve(hold, back);
	ck_assert(accthold_update(hold, back));
	ck_assert(!hold->is_stopped);
	ck_assert_int_eq(usable_at(hold, order, 2, 1, back),
			 back + LEASE + ACCOUNT_LIST_SPREAD_US);
	answer(hold, A, &current, back + CLK_MS(300));
	ck_assert_int_eq(usable_at(hold, order, 2, 1, back + CLK_MS(300)),
			 back + ACCOUNT_LIST_SPREAD_US);
	free(hold);
}
END_TEST

/*
 * Guards against a VM that uses a share before those that may have kept the
 * account know of it: also where several have joined, and one does not answer,
 * answers with an old list, or has answered before the join.
 */
START_TEST(a_joining_vm_waits_for_those_before_it)
{
	const struct accthold_member order[] = {
		{.vm = SELF}, {.vm = A}, {.vm = B}, {.vm = C}, {.vm = D}};
	const apr_time_t join = START + CLK_SEC(100);
	const apr_time_t now = join + CLK_SEC(1);
	const apr_time_t latest = join + LEASE + ACCOUNT_LIST_SPREAD_US;
	struct accthold *hold = new_hold();

	answer(hold, B, &current, join - CLK_MS(1));
	accthold_note_join(hold, join);
	ck_assert_int_eq(usable_at(hold, order, 5, 1, now), latest);
	/* A joins as well: the account was at the next one. */
	answer(hold, A, &joining, now);
	ck_assert_int_eq(usable_at(hold, order, 5, 1, now), latest);
	answer(hold, B, &unserved, now);
	ck_assert_int_eq(usable_at(hold, order, 5, 1, now), latest);
	answer(hold, B, &current, now + CLK_SEC(3));
	ck_assert_int_eq(usable_at(hold, order, 5, 1, now + CLK_SEC(3)),
			 now + CLK_SEC(3));
	/* Of two accounts, one was at C. */
	ck_assert_int_eq(usable_at(hold, order, 5, 2, now + CLK_SEC(3)),
			 latest);
	answer(hold, C, &current, now + CLK_SEC(3));
	ck_assert_int_eq(usable_at(hold, order, 5, 2, now + CLK_SEC(3)),
			 now + CLK_SEC(3));
	/* Later it is not joining any more. */
	ck_assert_int_lt(usable_at(hold, order, 5, 4, latest), latest);
	free(hold);
}
END_TEST

/* Guards against a share that a VM still uses whose lease has just ended. */
START_TEST(a_vm_that_left_is_waited_for)
{
	const apr_time_t join = START + CLK_SEC(100);
	const struct accthold_member order[] = {
		{.vm = A, .left_at = join + CLK_SEC(4)},
		{.vm = SELF},
		{.vm = B},
	};
	const apr_time_t now = join + CLK_SEC(4);
	struct accthold *hold = new_hold();

	accthold_note_join(hold, join);
	answer(hold, B, &current, join + CLK_SEC(1));
	ck_assert_int_eq(usable_at(hold, order, 3, 1, now),
			 join + CLK_SEC(4) + ACCTHOLD_EXCESS_US);
	free(hold);
}
END_TEST

/* Guards against an order of which only the first VMs are known. */
START_TEST(vms_beyond_a_part_of_the_order_count)
{
	const struct accthold_member order[] = {{.vm = SELF}, {.vm = A}};
	const apr_time_t join = START + CLK_SEC(100);
	const apr_time_t now = join + CLK_SEC(1);
	struct accthold *hold = new_hold();

	accthold_note_join(hold, join);
	answer(hold, A, &joining, now);
	ck_assert_int_eq(
		accthold_usable_at(hold, order, 2, false, SELF, 1, now),
		join + LEASE + ACCOUNT_LIST_SPREAD_US);
	ck_assert_int_eq(accthold_usable_at(hold, order, 2, true, SELF, 1, now),
			 join + ACCOUNT_LIST_SPREAD_US);
	free(hold);
}
END_TEST

/* Guards against a first VM that meets one whose lease has just ended. */
START_TEST(after_an_empty_list_there_is_a_short_wait)
{
	struct accthold *hold = new_hold();

	accthold_note_empty_list(hold, START);
	ck_assert_int_eq(usable_at(hold, NULL, 0, 1, START),
			 START + ACCTHOLD_EXCESS_US);
	free(hold);
}
END_TEST

/* Guards against shares that stop in an outage of the whole store. */
START_TEST(shares_are_used_in_an_outage_of_the_store)
{
	const uint64_t vms[] = {A, B, C, D};
	struct accthold *hold = new_hold();
	apr_time_t now = START;

	serve(hold, START);
	for (; now < START + CLK_SEC(60); now += CLK_MS(200)) {
		const bool all = now - START >= CLK_SEC(3);

		for (unsigned i = 0; i < 3; i++)
			answer(hold, vms[i], all ? &unserved : &current, now);
		accthold_judge_outage(hold, vms, 4, now);
		accthold_update(hold, now);
		ck_assert(!hold->is_stopped);
	}
	/* It ends for one after the other: there is time for that. */
	answer(hold, A, &current, now);
	accthold_judge_outage(hold, vms, 4, now);
	accthold_update(hold, now + CLK_SEC(1));
	ck_assert(!hold->is_stopped);
	accthold_update(hold, now + CLK_SEC(2));
	ck_assert(hold->is_stopped);
	free(hold);
}
END_TEST

/*
 * Guards against an outage that is assumed when the store answers another VM,
 * when too few are reached, or when there is none to ask.
 */
START_TEST(an_outage_needs_evidence)
{
	const uint64_t vms[] = {A, B, C, D};
	const apr_time_t now = START + CLK_SEC(10);
	struct accthold *hold = new_hold();

	serve(hold, START);
	accthold_judge_outage(hold, vms, 0, now);
	accthold_update(hold, now);
	ck_assert(hold->is_stopped);
	answer(hold, A, &unserved, now);
	answer(hold, B, &unserved, now);
	accthold_judge_outage(hold, vms, 4, now);
	accthold_update(hold, now);
	ck_assert(hold->is_stopped);
	answer(hold, C, &unserved, now);
	answer(hold, D, &current, now);
	accthold_judge_outage(hold, vms, 4, now);
	accthold_update(hold, now);
	ck_assert(hold->is_stopped);
	/* What was said some time ago does not count. */
	answer(hold, D, &unserved, now);
	accthold_judge_outage(hold, vms, 4, now + CLK_SEC(3));
	accthold_update(hold, now + CLK_SEC(3));
	ck_assert(hold->is_stopped);
	accthold_judge_outage(hold, vms, 4, now);
	accthold_update(hold, now);
	ck_assert(!hold->is_stopped);
	free(hold);
}
END_TEST

/* Guards against a table of VMs that fills up, or asks one too often. */
START_TEST(each_vm_is_asked_now_and_then)
{
	struct accthold *hold = new_hold();
	apr_time_t now = START;

	ck_assert(accthold_should_ask(hold, A, now));
	ck_assert(!accthold_should_ask(hold, A, now + CLK_MS(599)));
	ck_assert(accthold_should_ask(hold, A, now + CLK_MS(600)));
	ck_assert(!accthold_should_ask(hold, 0, now));
	for (uint64_t vm = 1; vm < UINT64_C(4) * ACCTHOLD_MAX_PEERS; vm++)
		ck_assert(accthold_should_ask(hold, vm * vm, now += 1000000));
	/* An answer that was not asked for is passed over. */
	accthold_note_join(hold, now);
	accthold_note_peer(hold, A, &current, now);
	ck_assert(!accthold_is_known_to(hold, A));
	free(hold);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("use of shares by the list of VMs");

	tcase_add_test(tc, shares_end_with_the_lease);
	tcase_add_test(tc, shares_end_with_the_list);
	tcase_add_test(tc, a_new_process_needs_a_lease);
	tcase_add_test(tc, shares_that_return_wait_like_new_ones);
	tcase_add_test(tc, a_joining_vm_waits_for_those_before_it);
	tcase_add_test(tc, a_vm_that_left_is_waited_for);
	tcase_add_test(tc, vms_beyond_a_part_of_the_order_count);
	tcase_add_test(tc, after_an_empty_list_there_is_a_short_wait);
	tcase_add_test(tc, shares_are_used_in_an_outage_of_the_store);
	tcase_add_test(tc, an_outage_needs_evidence);
	tcase_add_test(tc, each_vm_is_asked_now_and_then);
	return fix_run("accthold", tc);
}
