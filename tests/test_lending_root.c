#include <check.h>

#include "common/clk.h"
#include "common/err.h"
#include "policy/lending_root.h"
#include "tests/fix_run.h"

#define LOAN  CLK_SEC(2)
#define SELF  7
#define OTHER 8
#define TICK  CLK_MS(100)

/* A takeover waits at least this long after the holder has stopped. */
#define EXPIRY_DELAY_MIN (LOAN + CLK_SEC(1))

static struct lending_root root;
static apr_time_t now;
static struct lending_view view;

static void setup(void)
{
	now = CLK_SEC(50);
	view = (struct lending_view){.candidate = true, .listed = true};
	lending_root_init(&root, STR_LIT("almaty-1"), STR_LIT("entry-1"), SELF,
			  LOAN, now);
}

static enum lending_action step(apr_interval_time_t by)
{
	now += by;
	return lending_root_step(&root, now, &view);
}

/* Steps until an action is due, expects it and returns the time passed. */
static apr_interval_time_t step_until(enum lending_action wanted)
{
	const apr_time_t from = now;
	enum lending_action action = LENDING_DO_NOTHING;

	while (action == LENDING_DO_NOTHING && now < from + CLK_SEC(60))
		action = step(TICK);
	ck_assert_int_eq(action, wanted);
	return now - from;
}

static struct lending_record record(const char *holder, uint64_t incarnation,
				    uint64_t revision)
{
	struct lending_record out = {
		.present = true,
		.revision = revision,
		.incarnation = incarnation,
	};

	strbuf_set(&out.holder, str_from_c(holder));
	return out;
}

static void report_read(const char *holder, uint64_t incarnation,
			uint64_t revision)
{
	const struct lending_record r = record(holder, incarnation, revision);

	lending_root_on_read(&root, now, 0, &r);
}

static void hold(uint64_t revision)
{
	const struct lending_record none = {0};

	step_until(LENDING_DO_READ);
	lending_root_on_read(&root, now, 0, &none);
	step_until(LENDING_DO_SWAP);
	lending_root_on_swap(&root, now, 0, revision);
	ck_assert(lending_root_valid(&root, now));
}

/* Brings the state machine to ask "entry-2", holder at revision 5. */
static void read_other_holder(void)
{
	step_until(LENDING_DO_READ);
	report_read("entry-2", OTHER, 5);
	step_until(LENDING_DO_ASK);
}

START_TEST(a_first_claim_needs_no_wait)
{
	setup();
	hold(3);
}
END_TEST

START_TEST(a_lost_reply_of_a_swap_is_read_back)
{
	const struct lending_record none = {0};

	setup();
	step_until(LENDING_DO_READ);
	lending_root_on_read(&root, now, 0, &none);
	step_until(LENDING_DO_SWAP);
	lending_root_on_swap(&root, now, PST_ERR_TIMEOUT, 0);
	ck_assert(!lending_root_valid(&root, now));
	step_until(LENDING_DO_READ);
	report_read("entry-1", SELF, 4);
	ck_assert(lending_root_valid(&root, now));
}
END_TEST

START_TEST(a_store_outage_does_not_end_holding)
{
	setup();
	hold(3);
	for (int i = 0; i < 100; i++) {
		step_until(LENDING_DO_READ);
		lending_root_on_read(&root, now, PST_ERR_UNAVAILABLE, NULL);
		ck_assert(lending_root_valid(&root, now));
	}
}
END_TEST

START_TEST(a_pause_suspends_until_the_store_confirms)
{
	setup();
	hold(3);
	now += CLK_SEC(3);
	ck_assert(!lending_root_valid(&root, now));
	ck_assert_int_eq(step(0), LENDING_DO_READ);
	ck_assert(!lending_root_valid(&root, now));
	lending_root_on_read(&root, now, PST_ERR_UNAVAILABLE, NULL);
	ck_assert(!lending_root_valid(&root, now));
	step_until(LENDING_DO_READ);
	report_read("entry-1", SELF, 3);
	ck_assert(lending_root_valid(&root, now));
}
END_TEST

START_TEST(a_taken_over_record_ends_holding)
{
	setup();
	hold(3);
	now += CLK_SEC(30);
	ck_assert_int_eq(step(0), LENDING_DO_READ);
	report_read("entry-2", OTHER, 9);
	ck_assert(!lending_root_valid(&root, now));
}
END_TEST

/* The store may have answered before the pause and changed since. */
START_TEST(an_answer_from_before_a_pause_is_not_used)
{
	setup();
	hold(3);
	step_until(LENDING_DO_READ);
	now += CLK_SEC(30);
	step(0);
	report_read("entry-1", SELF, 3);
	ck_assert(!lending_root_valid(&root, now));
	step_until(LENDING_DO_READ);
	report_read("entry-2", OTHER, 9);
	ck_assert(!lending_root_valid(&root, now));
}
END_TEST

START_TEST(a_swap_from_before_a_pause_is_read_back)
{
	const struct lending_record none = {0};

	setup();
	step_until(LENDING_DO_READ);
	lending_root_on_read(&root, now, 0, &none);
	step_until(LENDING_DO_SWAP);
	now += CLK_SEC(30);
	step(0);
	lending_root_on_swap(&root, now, 0, 4);
	ck_assert(!lending_root_valid(&root, now));
	step_until(LENDING_DO_READ);
}
END_TEST

START_TEST(a_stopped_holder_is_replaced_after_its_loans)
{
	apr_time_t first;

	setup();
	read_other_holder();
	first = now;
	while (root.state == LENDING_ASKING) {
		lending_root_on_reply(&root, now, LENDING_REPLY_GONE, 0);
		if (root.state == LENDING_ASKING)
			step_until(LENDING_DO_ASK);
	}
	ck_assert_int_eq(root.state, LENDING_CLAIMING);
	ck_assert_int_ge(now - first, EXPIRY_DELAY_MIN);
}
END_TEST

START_TEST(a_reply_without_evidence_restarts_the_wait)
{
	setup();
	read_other_holder();
	for (int i = 0; i < 40; i++) {
		lending_root_on_reply(&root, now,
				      i % 4 == 3 ? LENDING_REPLY_SILENT
						 : LENDING_REPLY_GONE,
				      0);
		ck_assert_int_eq(root.state, LENDING_ASKING);
		step_until(LENDING_DO_ASK);
	}
}
END_TEST

START_TEST(silence_alone_is_no_evidence)
{
	apr_time_t first;

	setup();
	read_other_holder();
	for (int i = 0; i < 200; i++) {
		lending_root_on_reply(&root, now, LENDING_REPLY_SILENT, 0);
		ck_assert_int_eq(root.state, LENDING_ASKING);
		step_until(LENDING_DO_ASK);
	}
	view.holder_absent = LENDING_ABSENT_MIN;
	step(TICK);
	first = now;
	while (root.state == LENDING_ASKING) {
		lending_root_on_reply(&root, now, LENDING_REPLY_SILENT, 0);
		if (root.state == LENDING_ASKING)
			step_until(LENDING_DO_ASK);
	}
	ck_assert_int_ge(now - first, EXPIRY_DELAY_MIN);
}
END_TEST

START_TEST(a_denial_delays_the_claim_by_its_expiry_delay)
{
	setup();
	read_other_holder();
	lending_root_on_reply(&root, now, LENDING_REPLY_NOT_HELD, CLK_MS(1700));
	ck_assert_int_ge(step_until(LENDING_DO_SWAP), CLK_MS(1700));
}
END_TEST

START_TEST(a_holder_gives_up_only_when_not_the_candidate)
{
	setup();
	hold(3);
	ck_assert(lending_root_on_inquiry(&root, now, 3, &view));
	ck_assert(lending_root_valid(&root, now));
	view.candidate = false;
	ck_assert(!lending_root_on_inquiry(&root, now, 3, &view));
	ck_assert(!lending_root_valid(&root, now));
}
END_TEST

/* The process has denied holding the record before its own swap succeeds. */
START_TEST(a_denied_record_is_never_held)
{
	const struct lending_record none = {0};

	setup();
	step_until(LENDING_DO_READ);
	lending_root_on_read(&root, now, 0, &none);
	step_until(LENDING_DO_SWAP);
	ck_assert(!lending_root_on_inquiry(&root, now, 4, &view));
	lending_root_on_swap(&root, now, 0, 4);
	ck_assert(!lending_root_valid(&root, now));
	ck_assert_int_ge(step_until(LENDING_DO_SWAP), EXPIRY_DELAY_MIN);
	lending_root_on_swap(&root, now, PST_ERR_CONFLICT, 0);
	step_until(LENDING_DO_READ);
	report_read("entry-1", SELF, 4);
	ck_assert(!lending_root_valid(&root, now));
}
END_TEST

START_TEST(an_unlisted_vm_stops_holding)
{
	setup();
	hold(3);
	view.listed = false;
	step(TICK);
	ck_assert(!lending_root_valid(&root, now));
}
END_TEST

START_TEST(another_process_of_the_vm_is_not_this_one)
{
	setup();
	step_until(LENDING_DO_READ);
	report_read("entry-1", SELF - 1, 5);
	ck_assert(!lending_root_valid(&root, now));
	step_until(LENDING_DO_ASK);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("shr_root");

	tcase_add_test(tc, a_first_claim_needs_no_wait);
	tcase_add_test(tc, a_lost_reply_of_a_swap_is_read_back);
	tcase_add_test(tc, a_store_outage_does_not_end_holding);
	tcase_add_test(tc, a_pause_suspends_until_the_store_confirms);
	tcase_add_test(tc, a_taken_over_record_ends_holding);
	tcase_add_test(tc, an_answer_from_before_a_pause_is_not_used);
	tcase_add_test(tc, a_swap_from_before_a_pause_is_read_back);
	tcase_add_test(tc, a_stopped_holder_is_replaced_after_its_loans);
	tcase_add_test(tc, a_reply_without_evidence_restarts_the_wait);
	tcase_add_test(tc, silence_alone_is_no_evidence);
	tcase_add_test(tc, a_denial_delays_the_claim_by_its_expiry_delay);
	tcase_add_test(tc, a_holder_gives_up_only_when_not_the_candidate);
	tcase_add_test(tc, a_denied_record_is_never_held);
	tcase_add_test(tc, an_unlisted_vm_stops_holding);
	tcase_add_test(tc, another_process_of_the_vm_is_not_this_one);
	return fix_run("shr_root", tc);
}
