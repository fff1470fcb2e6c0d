#include <check.h>
#include <string.h>

#include "common/clk.h"
#include "policy/broker_up.h"
#include "tests/fix_run.h"

#define SLOTS 8

static const struct broker_up_cfg cfg = {
	.ramp = CLK_SEC(10),
	.ramp_start_pct = 25,
	.shed_hold = CLK_MS(100),
	.silent_hold = CLK_MS(500),
	.drain_hold = CLK_SEC(10),
};

static struct broker_fleet fleet;

static struct broker_listed_vm vm_of(const char *name, bool leaving)
{
	struct broker_listed_vm vm = {.slots = SLOTS, .leaving = leaving};

	strbuf_set(&vm.name, str_from_c(name));
	strbuf_set(&vm.address, STR_LIT("127.0.0.2"));
	return vm;
}

static void list(const char *names, apr_time_t now)
{
	struct broker_listed_vm vms[8];
	size_t count = 0;

	for (; *names; names++) {
		const char name[2] = {*names, 0};

		vms[count++] = vm_of(name, false);
	}
	ck_assert_int_eq(broker_fleet_set_list(&fleet, vms, count, now), 0);
}

static struct broker_up *up_of(const char *name)
{
	struct broker_up *up = broker_fleet_find(&fleet, str_from_c(name));

	ck_assert_ptr_nonnull(up);
	return up;
}

static void setup(void)
{
	ck_assert_int_eq(broker_fleet_init(&fleet, &cfg), 0);
	list("ab", 0);
}

static void teardown(void)
{
	broker_fleet_done(&fleet);
}

/* Takes a slot and releases it. */
static void use(const char *name, enum permit_outcome outcome,
		double time_ratio, apr_time_t now)
{
	broker_up_take(&fleet, up_of(name), BROKER_SLOT, now);
	broker_up_release(&fleet, up_of(name), BROKER_SLOT, outcome, time_ratio,
			  now);
}

START_TEST(first_list_is_warm_and_later_ones_ramp_up)
{
	ck_assert_uint_eq(up_of("a")->usable, SLOTS);
	list("abc", CLK_SEC(1));
	ck_assert_uint_eq(up_of("a")->usable, SLOTS);
	ck_assert_uint_eq(up_of("c")->usable, SLOTS / 4);
	ck_assert_int_eq(up_of("c")->why, BROKER_UP_RAMP);
	broker_fleet_tick(&fleet, CLK_SEC(6));
	ck_assert_uint_eq(up_of("c")->usable, SLOTS * 5 / 8);
	broker_fleet_tick(&fleet, CLK_SEC(11));
	ck_assert_uint_eq(up_of("c")->usable, SLOTS);
}
END_TEST

START_TEST(replaced_or_returning_upstream_is_cold)
{
	struct broker_listed_vm vms[] = {vm_of("a", false), vm_of("b", false)};

	strbuf_set(&vms[0].address, STR_LIT("127.0.0.3"));
	broker_fleet_set_list(&fleet, vms, 2, CLK_SEC(1));
	ck_assert_uint_eq(up_of("a")->usable, SLOTS / 4);
	broker_up_take(&fleet, up_of("b"), BROKER_SLOT, CLK_SEC(1));
	list("a", CLK_SEC(2));
	ck_assert_uint_eq(up_of("b")->usable, 0);
	list("ab", CLK_SEC(3));
	ck_assert_uint_eq(up_of("b")->usable, SLOTS / 4);
}
END_TEST

/* The first sign of draining, of any kind, ends new work at once. */
START_TEST(leaving_upstream_gets_no_new_work)
{
	const struct load_report draining = {.draining = true};
	struct broker_listed_vm vms[] = {vm_of("a", _i == 0),
					 vm_of("b", false)};

	if (_i == 0)
		broker_fleet_set_list(&fleet, vms, 2, CLK_SEC(1));
	if (_i == 1)
		broker_up_report(&fleet, up_of("a"), &draining, CLK_SEC(1));
	if (_i == 2)
		use("a", PERMIT_DRAINING, 0, CLK_SEC(1));
	ck_assert_uint_eq(up_of("a")->usable, 0);
	for (int i = 0; i < SLOTS; i++) {
		struct broker_up *up =
			broker_fleet_pick(&fleet, RANK_URGENT, BROKER_SLOT);

		ck_assert_str_eq(up->vm.name.ptr, "b");
		broker_up_take(&fleet, up, BROKER_SLOT, CLK_SEC(1));
	}
	ck_assert_ptr_null(broker_fleet_pick(&fleet, RANK_URGENT, BROKER_SLOT));
}
END_TEST

START_TEST(report_does_not_override_a_refusal)
{
	const struct load_report fine = {.load_permille = 10};

	use("a", PERMIT_DRAINING, 0, CLK_SEC(1));
	broker_up_report(&fleet, up_of("a"), &fine, CLK_SEC(2));
	ck_assert_uint_eq(up_of("a")->usable, 0);
	broker_fleet_tick(&fleet, CLK_SEC(12));
	ck_assert_uint_eq(up_of("a")->usable, SLOTS);
}
END_TEST

START_TEST(refusals_lower_the_slots_for_a_short_while)
{
	broker_up_take(&fleet, up_of("a"), BROKER_SLOT, 0);
	broker_up_take(&fleet, up_of("a"), BROKER_SLOT, 0);
	use("a", PERMIT_SHED, 0, CLK_MS(1));
	ck_assert_uint_eq(up_of("a")->usable, 2);
	broker_fleet_tick(&fleet, CLK_MS(102));
	ck_assert_uint_eq(up_of("a")->usable, SLOTS);
	use("a", PERMIT_SHED, 0, CLK_MS(103));
	broker_fleet_tick(&fleet, CLK_MS(300));
	ck_assert_uint_eq(up_of("a")->usable, 2);
	broker_fleet_tick(&fleet, CLK_MS(304));
	ck_assert_uint_eq(up_of("a")->usable, SLOTS);
}
END_TEST

START_TEST(silent_upstream_is_tried_and_then_ramps_up)
{
	use("a", PERMIT_SILENT, 0, 0);
	ck_assert_uint_eq(up_of("a")->usable, 1);
	use("a", PERMIT_SILENT, 0, 1);
	ck_assert_uint_eq(up_of("a")->usable, 0);
	broker_fleet_tick(&fleet, CLK_MS(501));
	ck_assert_uint_eq(up_of("a")->usable, 1);
	use("a", PERMIT_SILENT, 0, CLK_MS(502));
	broker_fleet_tick(&fleet, CLK_MS(1501));
	ck_assert_uint_eq(up_of("a")->usable, 0);
	broker_fleet_tick(&fleet, CLK_MS(1503));
	ck_assert_uint_eq(up_of("a")->usable, 1);
	use("a", PERMIT_DONE, 1, CLK_MS(1504));
	ck_assert_uint_eq(up_of("a")->usable, SLOTS / 4);
	ck_assert_int_eq(up_of("a")->why, BROKER_UP_RAMP);
}
END_TEST

/* A trial that ends at its caller's deadline does not lengthen the hold. */
START_TEST(expired_trial_is_followed_by_another_soon)
{
	for (int i = 0; i < 4; i++)
		use("a", PERMIT_SILENT, 0, CLK_SEC(i * 10));
	use("a", PERMIT_EXPIRED, 0, CLK_SEC(40));
	broker_fleet_tick(&fleet, CLK_SEC(40) + CLK_MS(499));
	ck_assert_uint_eq(up_of("a")->usable, 0);
	broker_fleet_tick(&fleet, CLK_SEC(40) + CLK_MS(501));
	ck_assert_uint_eq(up_of("a")->usable, 1);
	use("a", PERMIT_DONE, 1, CLK_SEC(42));
	ck_assert_int_eq(up_of("a")->why, BROKER_UP_RAMP);
}
END_TEST

/* Without other evidence, a missed deadline counts as silence. */
START_TEST(expired_requests_show_a_silent_upstream)
{
	use("a", PERMIT_EXPIRED, 0, 0);
	ck_assert_uint_eq(up_of("a")->usable, 1);
	ck_assert_int_eq(up_of("a")->why, BROKER_UP_SILENT);
}
END_TEST

/* An entry VM that cannot send its requests may hold every slot. */
START_TEST(stuck_permits_do_not_prevent_a_trial)
{
	for (int i = 0; i < SLOTS; i++)
		broker_up_take(&fleet, up_of("a"), BROKER_SLOT, 0);
	broker_up_release(&fleet, up_of("a"), BROKER_SLOT, PERMIT_SILENT, 0,
			  CLK_SEC(3));
	ck_assert_uint_eq(up_of("a")->usable, SLOTS);
	use("a", PERMIT_DONE, 1, CLK_SEC(4));
	ck_assert_uint_eq(up_of("a")->usable, SLOTS);
	broker_up_release(&fleet, up_of("a"), BROKER_SLOT, PERMIT_SILENT, 0,
			  CLK_SEC(5));
	broker_up_release(&fleet, up_of("a"), BROKER_SLOT, PERMIT_SILENT, 0,
			  CLK_SEC(5));
	ck_assert_uint_eq(up_of("a")->usable, 0);
	broker_fleet_tick(&fleet, CLK_SEC(6));
	ck_assert_uint_eq(up_of("a")->usable, SLOTS - 2);
}
END_TEST

/* Requests finished meanwhile show that only one connection is silent. */
START_TEST(one_silent_connection_is_not_a_silent_upstream)
{
	use("a", PERMIT_DONE, 1, CLK_MS(1000));
	use("a", PERMIT_SILENT, 0, CLK_MS(1100));
	use("a", PERMIT_SILENT, 0, CLK_MS(1200));
	ck_assert_uint_eq(up_of("a")->usable, SLOTS);
	use("a", PERMIT_DONE, 1, CLK_MS(1300));
	use("a", PERMIT_SILENT, 0, CLK_MS(1400));
	use("a", PERMIT_SILENT, 0, CLK_MS(1401));
	use("a", PERMIT_SILENT, 0, CLK_MS(1402));
	ck_assert_uint_eq(up_of("a")->usable, 1);
}
END_TEST

START_TEST(short_silence_needs_no_ramp)
{
	use("a", PERMIT_SILENT, 0, CLK_MS(1));
	ck_assert_uint_eq(up_of("a")->usable, 1);
	use("a", PERMIT_DONE, 1, CLK_MS(510));
	ck_assert_uint_eq(up_of("a")->usable, SLOTS);
}
END_TEST

START_TEST(upstream_that_keeps_failing_counts_as_silent)
{
	use("a", PERMIT_FAILED, 0, 0);
	use("a", PERMIT_FAILED, 0, 0);
	ck_assert_uint_eq(up_of("a")->usable, SLOTS);
	use("a", PERMIT_FAILED, 0, 0);
	ck_assert_uint_eq(up_of("a")->usable, 1);
	use("a", PERMIT_FAILED, 0, 0);
	ck_assert_uint_eq(up_of("a")->usable, 0);
}
END_TEST

START_TEST(slow_upstream_keeps_one_slot_and_no_urgent_work)
{
	for (int i = 0; i < 20; i++)
		use("a", PERMIT_DONE, 6, 0);
	ck_assert_uint_eq(up_of("a")->usable, 1);
	ck_assert_int_eq(up_of("a")->why, BROKER_UP_SLOW);
	for (int i = 0; i < SLOTS; i++)
		broker_up_take(
			&fleet,
			broker_fleet_pick(&fleet, RANK_URGENT, BROKER_SLOT),
			BROKER_SLOT, 0);
	ck_assert_ptr_null(broker_fleet_pick(&fleet, RANK_URGENT, BROKER_SLOT));
	ck_assert_str_eq(
		broker_fleet_pick(&fleet, RANK_BULK, BROKER_SLOT)->vm.name.ptr,
		"a");
	for (int i = 0; i < 30; i++)
		use("a", PERMIT_DONE, 1, 0);
	ck_assert_uint_eq(up_of("a")->usable, SLOTS);
}
END_TEST

/* The first report of a cold start begins a ramp; repeats do not restart it. */
START_TEST(cold_report_starts_one_ramp)
{
	const struct load_report cold = {.cold = true};

	broker_up_report(&fleet, up_of("a"), &cold, CLK_SEC(1));
	ck_assert_uint_eq(up_of("a")->usable, SLOTS / 4);
	for (int s = 2; s < 11; s++)
		broker_up_report(&fleet, up_of("a"), &cold, CLK_SEC(s));
	broker_fleet_tick(&fleet, CLK_SEC(11));
	ck_assert_uint_eq(up_of("a")->usable, SLOTS);
}
END_TEST

START_TEST(unlisted_upstream_is_kept_while_permits_are_held)
{
	broker_up_take(&fleet, up_of("a"), BROKER_SLOT, 0);
	list("b", CLK_SEC(1));
	ck_assert_uint_eq(up_of("a")->usable, 0);
	ck_assert_uint_eq(fleet.held, 1);
	broker_up_release(&fleet, up_of("a"), BROKER_SLOT, PERMIT_DONE, 1,
			  CLK_SEC(2));
	ck_assert_ptr_null(broker_fleet_find(&fleet, STR_LIT("a")));
	ck_assert_uint_eq(fleet.held, 0);
	ck_assert_uint_eq(fleet.usable, SLOTS);
	ck_assert_uint_eq(fleet.free / BROKER_SLOT, SLOTS);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("brk_up");

	tcase_add_checked_fixture(tc, setup, teardown);
	tcase_add_test(tc, first_list_is_warm_and_later_ones_ramp_up);
	tcase_add_test(tc, replaced_or_returning_upstream_is_cold);
	tcase_add_loop_test(tc, leaving_upstream_gets_no_new_work, 0, 3);
	tcase_add_test(tc, report_does_not_override_a_refusal);
	tcase_add_test(tc, refusals_lower_the_slots_for_a_short_while);
	tcase_add_test(tc, silent_upstream_is_tried_and_then_ramps_up);
	tcase_add_test(tc, expired_trial_is_followed_by_another_soon);
	tcase_add_test(tc, expired_requests_show_a_silent_upstream);
	tcase_add_test(tc, stuck_permits_do_not_prevent_a_trial);
	tcase_add_test(tc, one_silent_connection_is_not_a_silent_upstream);
	tcase_add_test(tc, short_silence_needs_no_ramp);
	tcase_add_test(tc, upstream_that_keeps_failing_counts_as_silent);
	tcase_add_test(tc, slow_upstream_keeps_one_slot_and_no_urgent_work);
	tcase_add_test(tc, cold_report_starts_one_ramp);
	tcase_add_test(tc, unlisted_upstream_is_kept_while_permits_are_held);
	return fix_run("brk_up", tc);
}
