#include <check.h>
#include <math.h>
#include <stdlib.h>

#include "agent/quota_limits.h"
#include "agent/quota_split.h"
#include "common/clk.h"
#include "policy/domsplit_goal.h"
#include "tests/fix_limits.h"
#include "tests/fix_run.h"

#define ID    77
#define RATE  1000000UL
#define CHUNK 16384UL

static struct limiter *limiter;
static struct limiter_limit *limit;

static void grant(apr_time_t sent_at, uint64_t amount,
		  apr_interval_time_t duration)
{
	const struct lending_ask ask = {.id = ID};
	const struct lending_grant given = {.amount = amount,
					    .duration = duration};

	limiter_apply(limiter, sent_at, &ask, &given, 1);
}

static void open_limit(apr_time_t open_at)
{
	limiter_create(&limiter, open_at);
	limit = limiter_limit(limiter, ID, 2 * CHUNK);
}

START_TEST(nothing_is_taken_without_a_valid_grant)
{
	open_limit(0);
	ck_assert_uint_eq(
		limiter_take(limiter, limit, CLK_SEC(1), RANK_URGENT, 10), 0);
	grant(CLK_SEC(1), RATE, CLK_SEC(2));
	ck_assert_uint_eq(
		limiter_take(limiter, limit, CLK_SEC(2), RANK_URGENT, 10), 10);
	ck_assert_uint_eq(
		limiter_take(limiter, limit, CLK_SEC(3), RANK_URGENT, 10), 0);
	grant(CLK_SEC(3), 0, 0);
	ck_assert_uint_eq(
		limiter_take(limiter, limit, CLK_SEC(3), RANK_URGENT, 10), 0);
	limiter_destroy(limiter);
}
END_TEST

/* What the VM's previous process took counts for another window. */
START_TEST(a_new_process_waits_for_one_window)
{
	open_limit(CLK_SEC(1));
	grant(0, RATE, CLK_SEC(9));
	ck_assert_uint_eq(
		limiter_take(limiter, limit, CLK_MS(999), RANK_URGENT, 10), 0);
	ck_assert_uint_eq(
		limiter_take(limiter, limit, CLK_SEC(1), RANK_URGENT, 10), 10);
	limiter_destroy(limiter);
}
END_TEST

/* Bulk work asks for more than the rate, urgent work for half of it. */
START_TEST(urgent_bytes_come_first)
{
	uint64_t urgent = 0;
	uint64_t bulk = 0;

	open_limit(0);
	grant(0, RATE, CLK_SEC(60));
	for (apr_time_t now = 0; now < CLK_SEC(10); now += CLK_MS(1)) {
		bulk += limiter_take(limiter, limit, now, RANK_BULK, CHUNK);
		if (now % CLK_MS(32) == 0)
			urgent += limiter_take(limiter, limit, now, RANK_URGENT,
					       CHUNK);
	}
	ck_assert_uint_ge(urgent, CHUNK * 312 * 95 / 100);
	ck_assert_uint_ge(urgent + bulk, RATE * 9);
	limiter_destroy(limiter);
}
END_TEST

START_TEST(bulk_alone_gets_nearly_all)
{
	uint64_t bulk = 0;

	open_limit(0);
	grant(0, RATE, CLK_SEC(60));
	for (apr_time_t now = 0; now < CLK_SEC(10); now += CLK_MS(1))
		bulk += limiter_take(limiter, limit, now, RANK_BULK, CHUNK);
	ck_assert_uint_ge(bulk, RATE * 9);
	ck_assert_uint_le(bulk, RATE * 10);
	limiter_destroy(limiter);
}
END_TEST

START_TEST(demand_is_reported_with_room_to_grow)
{
	struct lending_ask ask[LENDING_ASKS_MAX];

	open_limit(0);
	grant(0, RATE, CLK_SEC(60));
	for (apr_time_t now = 0; now < CLK_SEC(2); now += CLK_MS(1))
		limiter_take(limiter, limit, now, RANK_NORMAL, 100);
	ck_assert_uint_eq(limiter_plan(limiter, CLK_SEC(2), ask), 1);
	ck_assert_uint_ge(ask[0].want, 100000);
	ck_assert_uint_le(ask[0].want, 140000);
	ck_assert_uint_eq(limiter_plan(limiter, CLK_SEC(200), ask), 0);
	limiter_destroy(limiter);
}
END_TEST

/* Uploads with pauses between them, each as fast as the limit allows. */
#define BURST_BYTES    (RATE / 2)
#define BURST_INTERVAL CLK_MS(1300)

START_TEST(bursts_do_not_ask_for_more_than_they_use)
{
	struct lending_ask ask[LENDING_ASKS_MAX];
	uint64_t left = 0;
	uint64_t largest = 0;

	open_limit(0);
	grant(0, RATE, CLK_SEC(60));
	for (apr_time_t now = CLK_MS(1); now < CLK_SEC(20); now += CLK_MS(1)) {
		if (now % BURST_INTERVAL == 0)
			left = BURST_BYTES;
		if (left)
			left -= limiter_take(limiter, limit, now, RANK_NORMAL,
					     left < CHUNK ? left : CHUNK);
		if (now % CLK_MS(250))
			continue;
		limiter_plan(limiter, now, ask);
		if (now > CLK_SEC(8) && ask[0].want > largest)
			largest = ask[0].want;
	}
	ck_assert_uint_ge(largest, BURST_BYTES * 10 / 13);
	ck_assert_uint_le(largest, RATE * 3 / 4);
	limiter_destroy(limiter);
}
END_TEST

START_TEST(demand_grows_fast_from_a_small_grant)
{
	struct lending_ask ask[LENDING_ASKS_MAX];
	apr_time_t now = CLK_MS(1);

	open_limit(0);
	grant(0, RATE / 1000, CLK_SEC(60));
	for (; limit->rate < RATE && now < CLK_SEC(2); now += CLK_MS(1)) {
		limiter_take(limiter, limit, now, RANK_NORMAL, CHUNK);
		if (now % CLK_MS(25))
			continue;
		limiter_plan(limiter, now, ask);
		grant(now, ask[0].want, CLK_SEC(60));
	}
	ck_assert_int_le(now, CLK_SEC(1));
	limiter_destroy(limiter);
}
END_TEST

/* The goals of all regions, weighted by demand, add up to the weights. */
START_TEST(goals_add_up_to_the_weights)
{
	for (unsigned seed = 1; seed <= 200; seed++) {
		struct domsplit_domain places[6];
		double demand[3];
		double sum[6] = {0};
		double demands = 0;
		double weights = 0;
		double local = 0;
		double best = 0;

		srandom(seed);
		for (size_t i = 0; i < 6; i++) {
			places[i].region = (uint32_t)i / 2;
			places[i].weight = (double)(random() % 4);
			weights += places[i].weight;
		}
		for (size_t r = 0; r < 3; r++) {
			demand[r] = (double)(random() % 5);
			demands += demand[r];
		}
		if (weights <= 0 || demands <= 0)
			continue;
		for (size_t r = 0; r < 3; r++)
			demand[r] /= demands;
		for (size_t r = 0; r < 3; r++) {
			const double f = (places[2 * r].weight +
					  places[2 * r + 1].weight) /
					 weights;
			double out[6];

			ck_assert_int_eq(
				domsplit_goal(places, 6, demand, 3, r, out), 0);
			for (size_t i = 0; i < 6; i++) {
				sum[i] += demand[r] * out[i];
				if (i / 2 == r)
					local += demand[r] * out[i];
			}
			best += f < demand[r] ? f : demand[r];
		}
		for (size_t i = 0; i < 6; i++)
			ck_assert_msg(fabs(sum[i] -
					   places[i].weight / weights) < 1e-9,
				      "seed %u domain %zu", seed, i);
		ck_assert_msg(fabs(local - best) < 1e-9, "seed %u", seed);
	}
}
END_TEST

START_TEST(without_demand_the_goal_is_the_weights)
{
	const struct domsplit_domain places[2] = {{.region = 0, .weight = 3},
						  {.region = 1, .weight = 1}};
	const double none[2] = {0, 0};
	double out[2];

	ck_assert_int_eq(domsplit_goal(places, 2, none, 2, 0, out), 0);
	ck_assert(fabs(out[0] - 0.75) < 1e-9);
	ck_assert_int_eq(domsplit_goal(places, 2, none, 2, 2, out), 0);
	ck_assert(fabs(out[1] - 0.25) < 1e-9);
}
END_TEST

static size_t count_picks(struct splitter *splitter, apr_time_t now,
			  const struct tbl *tbl, size_t domain)
{
	const struct tbl_row *row = tbl_row(tbl, 0, RANK_URGENT);
	size_t count = 0;

	for (uint64_t i = 0; i < 1000; i++)
		count += splitter_pick(splitter, now, tbl, row, i << 54,
				       NULL) == (int)domain;
	return count;
}

/* Entry VMs and upstreams in every domain; those of one domain are leaving. */
static struct vmlist *upstreams_without(size_t domain)
{
	struct vmlist *vmlist = fix_vml(3, 2, 2);

	for (size_t i = 1; i < vmlist->count; i += 2) {
		vmlist->vms[i].kind = VM_UPSTREAM;
		strbuf_set(&vmlist->vms[i].service, STR_LIT("status"));
		if (i / 2 == domain)
			vmlist->vms[i].state = VM_LEAVING;
	}
	return vmlist;
}

/* The same, but the domain's entry VM is leaving instead. */
static struct vmlist *entries_without(size_t domain)
{
	struct vmlist *vmlist = upstreams_without(99);

	vmlist->vms[2 * domain].state = VM_LEAVING;
	return vmlist;
}

/* Releases fewer. */
static void check_traffic_leaves_at_cap(struct vmlist *fewer)
{
	struct tbl *tbl = fix_tbl(3, 2, 100, 0, 1);
	struct vmlist *all = upstreams_without(99);
	struct splitter *splitter;

	splitter_create(&splitter, STR_LIT("r0"));
	ck_assert_int_eq(splitter_set_view(splitter, 0, tbl, all), 0);
	ck_assert_uint_ge(count_picks(splitter, 0, tbl, 0), 450);
	ck_assert_int_eq(splitter_set_view(splitter, 0, tbl, fewer), 0);
	ck_assert_uint_ge(count_picks(splitter, 0, tbl, 0), 450);
	for (apr_time_t now = 0; now <= CLK_SEC(1); now += CLK_MS(25))
		splitter_step(splitter, now);
	/* The shift cap is a tenth of the traffic a second. */
	ck_assert_uint_ge(count_picks(splitter, CLK_SEC(1), tbl, 0), 390);
	ck_assert_uint_le(count_picks(splitter, CLK_SEC(1), tbl, 0), 420);
	for (apr_time_t now = CLK_SEC(1); now <= CLK_SEC(8); now += CLK_MS(25))
		splitter_step(splitter, now);
	ck_assert_uint_eq(count_picks(splitter, CLK_SEC(8), tbl, 0), 0);
	/* The traffic comes back without an operator's action. */
	ck_assert_int_eq(splitter_set_view(splitter, CLK_SEC(8), tbl, all), 0);
	for (apr_time_t now = CLK_SEC(8); now <= CLK_SEC(16); now += CLK_MS(25))
		splitter_step(splitter, now);
	ck_assert_uint_ge(count_picks(splitter, CLK_SEC(16), tbl, 0), 450);
	splitter_destroy(splitter);
	vmlist_put(all);
	vmlist_put(fewer);
	tbl_put(tbl);
}

START_TEST(traffic_leaves_a_lost_domain_at_the_shift_cap)
{
	check_traffic_leaves_at_cap(upstreams_without(0));
}
END_TEST

START_TEST(traffic_leaves_a_domain_without_entry_vms_at_the_shift_cap)
{
	check_traffic_leaves_at_cap(entries_without(0));
}
END_TEST

START_TEST(a_new_entry_starts_from_a_peers_split)
{
	const struct str domains[2] = {STR_LIT("r0-1"), STR_LIT("r0-0")};
	const double share[2] = {0.9, 0.1};
	struct tbl *tbl = fix_tbl(3, 2, 100, 0, 1);
	struct vmlist *all = upstreams_without(99);
	struct splitter *splitter;

	splitter_create(&splitter, STR_LIT("r0"));
	ck_assert_int_eq(splitter_set_view(splitter, 0, tbl, all), 0);
	splitter_adopt(splitter, 0, STR_LIT("entry-2"), STR_LIT("status"),
		       RANK_URGENT, domains, share, 2);
	ck_assert_uint_le(count_picks(splitter, 0, tbl, 0), 110);
	for (apr_time_t now = 0; now <= CLK_SEC(1); now += CLK_MS(25))
		splitter_step(splitter, now);
	ck_assert_uint_le(count_picks(splitter, CLK_SEC(1), tbl, 0), 210);
	splitter_destroy(splitter);
	vmlist_put(all);
	tbl_put(tbl);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("quota");

	tcase_add_test(tc, nothing_is_taken_without_a_valid_grant);
	tcase_add_test(tc, a_new_process_waits_for_one_window);
	tcase_add_test(tc, urgent_bytes_come_first);
	tcase_add_test(tc, bulk_alone_gets_nearly_all);
	tcase_add_test(tc, demand_is_reported_with_room_to_grow);
	tcase_add_test(tc, bursts_do_not_ask_for_more_than_they_use);
	tcase_add_test(tc, demand_grows_fast_from_a_small_grant);
	tcase_add_test(tc, goals_add_up_to_the_weights);
	tcase_add_test(tc, without_demand_the_goal_is_the_weights);
	tcase_add_test(
		tc, traffic_leaves_a_domain_without_entry_vms_at_the_shift_cap);
	tcase_add_test(tc, traffic_leaves_a_lost_domain_at_the_shift_cap);
	tcase_add_test(tc, a_new_entry_starts_from_a_peers_split);
	return fix_run("quota", tc);
}
