#include <stdio.h>
#include <stdlib.h>

#include <check.h>

#include "common/clk.h"
#include "policy/liveness.h"
#include "policy/liveness_mark.h"
#include "tests/fix_run.h"
#include "tests/fix_table.h"

#define TIMEOUT CLK_SEC(3)
#define START	CLK_SEC(100)
#define DOMAIN	"almaty-1"
#define SELF	"entry-1"

static struct vmlist *list;
static struct liveness *liveness;
static apr_time_t now;

static void begin(void)
{
	list = fix_vms(4);
	ck_assert_int_eq(liveness_create(&liveness, TIMEOUT), 0);
	now = START;
}

static void end(void)
{
	liveness_destroy(liveness);
	vmlist_put(list);
}

static void observe(void)
{
	liveness_observe(liveness, list, STR_LIT(SELF), STR_LIT(DOMAIN), START,
			 now);
}

/* entry-2 to entry-4 send heartbeats, except the silent one; 0: none. */
static void run_for(apr_interval_time_t time, int silent)
{
	const apr_time_t until = now + time;

	for (; now < until; now += CLK_MS(500)) {
		for (int i = 2; i <= 4; i++) {
			char id[16];

			snprintf(id, sizeof(id), "entry-%d", i);
			if (i != silent)
				liveness_heard(liveness, str_from_c(id), now);
		}
		observe();
	}
}

static enum vm_state state_of(const char *id,
			      const struct liveness_drain *drains, size_t count)
{
	struct vmlist *corrected = NULL;
	enum vm_state state;

	ck_assert_int_eq(liveness_correct(liveness, list, STR_LIT(SELF), drains,
					  count, 9, now, &corrected),
			 0);
	ck_assert_uint_eq(corrected->revision, 9);
	state = vmlist_find(corrected, str_from_c(id))->state;
	ck_assert_int_eq(liveness_lists_equal(list, corrected),
			 liveness_lists_equal(corrected, list));
	vmlist_put(corrected);
	return state;
}

START_TEST(silent_vm_is_absent_after_the_timeout_and_back_when_heard)
{
	begin();
	run_for(CLK_SEC(2), 3);
	ck_assert_int_eq(state_of("entry-3", NULL, 0), VM_LIVE);
	run_for(CLK_SEC(3), 3);
	ck_assert_int_eq(state_of("entry-3", NULL, 0), VM_LEAVING);
	ck_assert_int_eq(state_of("entry-2", NULL, 0), VM_LIVE);
	run_for(CLK_SEC(1), 0);
	ck_assert_int_eq(state_of("entry-3", NULL, 0), VM_LIVE);
	end();
}
END_TEST

START_TEST(new_relay_reports_nothing_before_the_timeout)
{
	begin();
	now = START + CLK_SEC(1);
	liveness_observe(liveness, list, STR_LIT(SELF), STR_LIT(DOMAIN), now,
			 now);
	now += CLK_SEC(2);
	liveness_heard(liveness, STR_LIT("entry-2"), now);
	liveness_observe(liveness, list, STR_LIT(SELF), STR_LIT(DOMAIN),
			 START + CLK_SEC(1), now);
	ck_assert_int_eq(state_of("entry-3", NULL, 0), VM_LIVE);
	end();
}
END_TEST

/* Otherwise an empty report would replace the previous relay's too soon. */
START_TEST(new_relay_leaves_the_last_report_in_force)
{
	const struct str absent[] = {STR_LIT("entry-3")};

	begin();
	liveness_merge(liveness, STR_LIT(DOMAIN), absent, 1, now);
	now += CLK_SEC(1);
	liveness_observe(liveness, list, STR_LIT(SELF), STR_LIT(DOMAIN), now,
			 now);
	ck_assert_int_eq(state_of("entry-3", NULL, 0), VM_LEAVING);
	end();
}
END_TEST

START_TEST(relay_that_hears_nobody_reports_nobody)
{
	size_t count;

	begin();
	now += CLK_SEC(30);
	observe();
	now += CLK_SEC(30);
	observe();
	ck_assert_int_eq(state_of("entry-2", NULL, 0), VM_LIVE);
	ck_assert_uint_eq(liveness_reports(liveness, &count)[0].count, 0);
	ck_assert_uint_eq(count, 1);
	end();
}
END_TEST

START_TEST(own_observations_override_a_report)
{
	const struct str absent[] = {STR_LIT("entry-9")};

	begin();
	liveness_merge(liveness, STR_LIT("astana-1"), absent, 1, now);
	ck_assert_int_eq(state_of("entry-9", NULL, 0), VM_LEAVING);
	liveness_heard(liveness, absent[0], now);
	ck_assert_int_eq(state_of("entry-9", NULL, 0), VM_LIVE);
	/* One failed call is no evidence, two in a row are. */
	liveness_failed(liveness, STR_LIT("entry-2"), now);
	ck_assert_int_eq(state_of("entry-2", NULL, 0), VM_LIVE);
	liveness_failed(liveness, STR_LIT("entry-2"), now);
	ck_assert_int_eq(state_of("entry-2", NULL, 0), VM_LEAVING);
	liveness_heard(liveness, STR_LIT("entry-2"), now);
	ck_assert_int_eq(state_of("entry-2", NULL, 0), VM_LIVE);
	/* A VM never suspects itself. */
	liveness_failed(liveness, STR_LIT(SELF), now);
	liveness_failed(liveness, STR_LIT(SELF), now);
	ck_assert_int_eq(state_of(SELF, NULL, 0), VM_LIVE);
	end();
}
END_TEST

START_TEST(newer_report_wins_and_an_old_one_lapses)
{
	const struct str absent[] = {STR_LIT("entry-9")};

	begin();
	liveness_merge(liveness, STR_LIT("astana-1"), absent, 1, now);
	liveness_merge(liveness, STR_LIT("astana-1"), NULL, 0,
		       now - CLK_SEC(1));
	ck_assert_int_eq(state_of("entry-9", NULL, 0), VM_LEAVING);
	liveness_merge(liveness, STR_LIT("astana-1"), NULL, 0, now + 1);
	ck_assert_int_eq(state_of("entry-9", NULL, 0), VM_LIVE);
	liveness_merge(liveness, STR_LIT("astana-1"), absent, 1, now + 2);
	now += CLK_SEC(11);
	ck_assert_int_eq(state_of("entry-9", NULL, 0), VM_LEAVING);
	now += CLK_SEC(2);
	ck_assert_int_eq(state_of("entry-9", NULL, 0), VM_LIVE);
	end();
}
END_TEST

/* Holders of an earlier report must learn that the VM is back. */
START_TEST(empty_report_is_sent_until_the_last_absence_lapses)
{
	const struct str absent[] = {STR_LIT("entry-9")};
	const struct liveness_report *report;
	size_t count;

	begin();
	liveness_merge(liveness, STR_LIT("astana-1"), NULL, 0, now);
	report = liveness_reports(liveness, &count);
	ck_assert_uint_eq(count, 1);
	ck_assert(!liveness_report_is_relevant(liveness, report, now));
	liveness_merge(liveness, STR_LIT("astana-1"), absent, 1, now + 1);
	ck_assert(liveness_report_is_relevant(liveness, report, now + 1));
	liveness_merge(liveness, STR_LIT("astana-1"), NULL, 0, now + 2);
	ck_assert(liveness_report_is_relevant(liveness, report,
					      now + 1 + 4 * TIMEOUT));
	ck_assert(!liveness_report_is_relevant(liveness, report,
					       now + 2 + 4 * TIMEOUT));
	/* An older report that arrives late counts as well. */
	now += 10 * TIMEOUT;
	liveness_merge(liveness, STR_LIT("astana-1"), NULL, 0, now + 2);
	liveness_merge(liveness, STR_LIT("astana-1"), absent, 1, now);
	ck_assert(liveness_report_is_relevant(liveness, report,
					      now + 4 * TIMEOUT));
	end();
}
END_TEST

START_TEST(report_on_another_domains_vm_is_ignored)
{
	const struct str absent[] = {STR_LIT("entry-9")};

	begin();
	/* entry-9 is in astana-1. */
	liveness_merge(liveness, STR_LIT("astana-2"), absent, 1, now);
	ck_assert_int_eq(state_of("entry-9", NULL, 0), VM_LIVE);
	end();
}
END_TEST

START_TEST(drain_mark_and_platform_state_both_apply)
{
	const struct liveness_drain drains[] = {{.id = STR_LIT("entry-7")}};

	begin();
	ck_assert_int_eq(state_of("entry-7", drains, 1), VM_LEAVING);
	ck_assert_int_eq(state_of("entry-8", drains, 1), VM_LIVE);
	list->vms[0].state = VM_LEAVING;
	liveness_heard(liveness, strbuf_str(&list->vms[0].id), now);
	ck_assert_int_eq(state_of(list->vms[0].id.ptr, drains, 1), VM_LEAVING);
	end();
}
END_TEST

static struct mbr_mark mark_of(uint64_t count, uint64_t client, bool leaving)
{
	struct mbr_mark mark = {
		.process_number = count,
		.client = client,
		.leaving = leaving,
	};

	strbuf_set(&mark.id, STR_LIT("entry-2"));
	return mark;
}

START_TEST(later_mark_wins_in_any_order)
{
	const struct mbr_mark marks[] = {
		mark_of(1, 7, true), mark_of(2, 8, false), mark_of(2, 8, true),
		mark_of(3, 9, false)};
	struct liveness_marks set = {.count = 0};

	ck_assert(!liveness_marks_merge(&set, &marks[1], now));
	for (int i = 0; i < 4; i++)
		ck_assert(liveness_marks_merge(&set, &marks[i], now));
	for (int i = 0; i < 4; i++)
		ck_assert(!liveness_marks_merge(&set, &marks[i], now));
	ck_assert(!liveness_marks_leaving(&set, STR_LIT("entry-2")));
	liveness_marks_free(&set);
}
END_TEST

/* The VM's pst-controld may hold no mark, or an older one. */
START_TEST(mark_of_a_stop_is_cleared_by_the_next_process_only)
{
	const struct str id = STR_LIT("entry-2");
	const struct mbr_mark old = mark_of(5, 7, true);
	struct liveness_marks set = {.count = 0};

	ck_assert(!liveness_marks_note(&set, id, 7, false, now));
	ck_assert(liveness_marks_note(&set, id, 7, true, now));
	ck_assert(!liveness_marks_note(&set, id, 7, false, now));
	ck_assert(liveness_marks_leaving(&set, id));
	ck_assert(liveness_marks_merge(&set, &old, now));
	ck_assert(liveness_marks_note(&set, id, 8, false, now));
	ck_assert(!liveness_marks_leaving(&set, id));
	ck_assert(!liveness_marks_merge(&set, &old, now));
	ck_assert(liveness_marks_note(&set, id, 8, true, now));
	ck_assert(liveness_marks_leaving(&set, id));
	liveness_marks_free(&set);
}
END_TEST

START_TEST(mark_is_kept_while_the_vm_is_listed_and_leaves)
{
	const struct mbr_mark mark = mark_of(1, 7, true);
	struct liveness_marks set = {.count = 0};
	struct vmlist *empty;

	begin();
	ck_assert_int_eq(vmlist_create(&empty, 0), 0);
	liveness_marks_merge(&set, &mark, now);
	liveness_marks_expire(&set, list, TIMEOUT, now + 2 * TIMEOUT);
	ck_assert_uint_eq(set.count, 1);
	liveness_marks_expire(&set, empty, TIMEOUT, now + TIMEOUT);
	ck_assert_uint_eq(set.count, 1);
	liveness_marks_note(&set, STR_LIT("entry-2"), 8, false, now);
	liveness_marks_expire(&set, list, TIMEOUT, now + TIMEOUT);
	ck_assert_uint_eq(set.count, 1);
	liveness_marks_expire(&set, list, TIMEOUT, now + TIMEOUT + 1);
	ck_assert_uint_eq(set.count, 0);
	liveness_marks_free(&set);
	vmlist_put(empty);
	end();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("mbr");

	tcase_add_test(
		tc, silent_vm_is_absent_after_the_timeout_and_back_when_heard);
	tcase_add_test(tc, new_relay_reports_nothing_before_the_timeout);
	tcase_add_test(tc, new_relay_leaves_the_last_report_in_force);
	tcase_add_test(tc, relay_that_hears_nobody_reports_nobody);
	tcase_add_test(tc, own_observations_override_a_report);
	tcase_add_test(tc, newer_report_wins_and_an_old_one_lapses);
	tcase_add_test(tc, empty_report_is_sent_until_the_last_absence_lapses);
	tcase_add_test(tc, report_on_another_domains_vm_is_ignored);
	tcase_add_test(tc, drain_mark_and_platform_state_both_apply);
	tcase_add_test(tc, later_mark_wins_in_any_order);
	tcase_add_test(tc, mark_of_a_stop_is_cleared_by_the_next_process_only);
	tcase_add_test(tc, mark_is_kept_while_the_vm_is_listed_and_leaves);
	return fix_run("mbr", tc);
}
