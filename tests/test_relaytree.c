/* Choice of the relay through which a VM watches the store. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/clk.h"
#include "policy/relaytree.h"
#include "tests/fix_run.h"

/* Shortest of the users' bounds on the time until a change is in force. */
#define CHANGE_BOUND CLK_MS(2500)

/* Largest delay of a change through relays, and of an inter-region call. */
#define RELAY_DELAY CLK_MS(1500)
#define REGION_CALL CLK_MS(200)

/* A time within the grace period of VMs that started at 10 s. */
#define IN_GRACE (CLK_SEC(10) + CLK_MS(500))

static struct vms_entry vm(const char *id, int domain)
{
	struct vms_entry entry = {.domain = domain};

	strbuf_set(&entry.id, str_from_c(id));
	strbuf_set(&entry.peer, STR_LIT("10.0.0.1:7000"));
	return entry;
}

/* All VMs of a domain choose the same relay, which watches the store. */
START_TEST(one_relay_per_domain)
{
	struct vms vms = {0};
	struct relaytree relaytree;
	unsigned direct = 0;
	const struct vms_entry *relay = NULL;

	relaytree_init(&relaytree, CLK_SEC(10));
	for (int i = 0; i < 12; i++) {
		struct vms_entry entry;
		char id[16];

		snprintf(id, sizeof(id), "vm-%d", i);
		entry = vm(id, i % 2);
		vms_put(&vms, &entry);
	}
	for (size_t i = 0; i < vms.count; i++) {
		const struct vms_entry *r;

		if (vms.list[i].domain != 0)
			continue;
		r = relaytree_choose(&relaytree, &vms, 0,
				     strbuf_str(&vms.list[i].id), CLK_SEC(20));
		direct += !r;
		ck_assert(!r || r->domain == 0);
		ck_assert(!r || !relay || r == relay);
		if (r)
			relay = r;
	}
	ck_assert_uint_eq(direct, 1);
	ck_assert_ptr_null(relaytree_choose(&relaytree, &vms, 0,
					    STR_LIT("vm-0"), CLK_SEC(10)));
	relaytree_failed(&relaytree, 0, CLK_SEC(20));
	ck_assert_ptr_null(relaytree_choose(&relaytree, &vms, 0,
					    STR_LIT("vm-0"), CLK_SEC(21)));
	free(vms.list);
	free(vms.hashes);
}
END_TEST

/*
 * A VM that starts in a domain with running VMs uses their relay at once. If
 * that relay fails, or none runs yet, it watches the store in the grace period.
 */
START_TEST(start_among_running_vms)
{
	struct vms vms = {0};
	const struct vms_entry other = vm("vm-0", 0);
	const struct vms_entry far = vm("vm-1", 1);
	struct relaytree relaytree;

	relaytree_init(&relaytree, CLK_SEC(10));
	vms_put(&vms, &far);
	relaytree_vms_listed(&relaytree, &vms, 0, CLK_SEC(10));
	vms_put(&vms, &other);
	ck_assert_ptr_null(
		relaytree_choose(&relaytree, &vms, 0, STR_LIT("me"), IN_GRACE));
	relaytree_vms_listed(&relaytree, &vms, 0, IN_GRACE);
	ck_assert_ptr_nonnull(
		relaytree_choose(&relaytree, &vms, 0, STR_LIT("me"), IN_GRACE));
	relaytree_failed(&relaytree, 0, IN_GRACE);
	relaytree_vms_listed(&relaytree, &vms, 0, IN_GRACE);
	ck_assert_ptr_null(
		relaytree_choose(&relaytree, &vms, 0, STR_LIT("me"), IN_GRACE));
	ck_assert_ptr_nonnull(relaytree_choose(&relaytree, &vms, 0,
					       STR_LIT("me"), CLK_SEC(12)));
	relaytree_failed(&relaytree, 0, CLK_SEC(12));
	ck_assert_ptr_null(relaytree_choose(&relaytree, &vms, 0, STR_LIT("me"),
					    CLK_SEC(14)));
	free(vms.list);
	free(vms.hashes);
}
END_TEST

/* Index of the VM's relay in the list, or the count for the store. */
static size_t relay_of(const struct relaytree *relaytree, const struct vms *vms,
		       size_t i)
{
	const struct vms_entry *r = relaytree_choose(
		relaytree, vms, 0, strbuf_str(&vms->list[i].id), CLK_SEC(20));

	return r ? (size_t)(r - vms->list) : vms->count;
}

/*
 * Domains up to the long-term target size, and larger ones: one VM watches the
 * store, none exceeds its bound on followers, and a change passes through at
 * most two relays (three in a domain of 400).
 */
START_TEST(large_domains_form_a_tree)
{
	static const struct {
		int vms;
		int depth;
	} sizes[] = {{1, 0}, {17, 1}, {18, 2}, {77, 2}, {273, 2}, {400, 3}};
	struct relaytree relaytree;

	relaytree_init(&relaytree, CLK_SEC(10));
	for (size_t k = 0; k < sizeof(sizes) / sizeof(*sizes); k++) {
		struct vms vms = {0};
		unsigned followers[512] = {0};
		size_t direct = 0;

		for (int i = 0; i < sizes[k].vms; i++) {
			struct vms_entry entry;
			char id[16];

			snprintf(id, sizeof(id), "vm-%d", i);
			entry = vm(id, 0);
			vms_put(&vms, &entry);
		}
		for (size_t i = 0; i < vms.count; i++) {
			size_t at = relay_of(&relaytree, &vms, i);
			int depth = 0;

			followers[at]++;
			direct += at == vms.count;
			for (; at < vms.count; depth++)
				at = relay_of(&relaytree, &vms, at);
			ck_assert_int_le(depth, sizes[k].depth);
		}
		ck_assert_uint_eq(direct, 1);
		for (size_t i = 0; i < vms.count; i++)
			ck_assert_uint_le(followers[i],
					  RELAYTREE_MAX_FOLLOWERS);
		free(vms.list);
		free(vms.hashes);
	}
}
END_TEST

/* The VMs with the most bandwidth are the relays, at each level of the tree. */
START_TEST(relays_have_most_bandwidth)
{
	struct vms vms = {0};
	struct relaytree relaytree;
	unsigned followers[40] = {0};
	unsigned direct = 0;

	relaytree_init(&relaytree, CLK_SEC(10));
	for (int i = 0; i < 40; i++) {
		struct vms_entry entry;
		char id[16];

		snprintf(id, sizeof(id), "vm-%d", i);
		entry = vm(id, 0);
		entry.link_mbps = i == 7 || i == 23 || i == 31 ? 200 : 20;
		if (i == 5)
			entry.link_mbps = 0;
		vms_put(&vms, &entry);
	}
	for (size_t i = 0; i < vms.count; i++) {
		const struct vms_entry *r = relaytree_choose(
			&relaytree, &vms, 0, strbuf_str(&vms.list[i].id),
			CLK_SEC(20));

		direct += !r;
		if (r)
			followers[r - vms.list]++;
	}
	ck_assert_uint_eq(direct, 1);
	for (size_t i = 0; i < vms.count; i++)
		ck_assert(!followers[i] || vms.list[i].link_mbps == 200);
	ck_assert_uint_eq(followers[7] + followers[23] + followers[31], 39);
	free(vms.list);
	free(vms.hashes);
}
END_TEST

/*
 * A relay that the store doesn't answer stops guaranteeing fresh data within
 * half of the shortest bound on changes, 2.5 s.
 */
START_TEST(stale_relay_stops_serving)
{
	struct relaytree relaytree = {.fresh_at = CLK_SEC(30),
				      .asked_at = CLK_SEC(30)};

	ck_assert(relaytree_is_fresh(relaytree.fresh_at, CLK_SEC(31)));
	ck_assert(!relaytree_is_fresh(relaytree.fresh_at,
				      CLK_SEC(30) + CLK_MS(1250)));
	ck_assert(relaytree_has_followers(&relaytree, CLK_SEC(31)));
	ck_assert(!relaytree_has_followers(&relaytree, CLK_SEC(40)));
	ck_assert(!relaytree_is_fresh(0, CLK_SEC(40)));
}
END_TEST

/*
 * A VM that others follow, and one that has no data yet, want their relay's
 * word as soon as it is newer than what they have; others wait for a change.
 */
START_TEST(relays_want_newer_data)
{
	struct relaytree relaytree = {.asked_at = CLK_SEC(30)};
	const apr_time_t now = CLK_SEC(31);
	const apr_time_t own = now - CLK_MS(400);

	ck_assert_int_eq(relaytree_stated_age(&relaytree, own, now),
			 CLK_MS(400));
	ck_assert_int_eq(relaytree_stated_age(&relaytree, now + 5, now), 0);
	ck_assert_int_ge(relaytree_stated_age(&relaytree, 0, now),
			 CLK_SEC(3600));
	relaytree.asked_at = 0;
	ck_assert_int_lt(relaytree_stated_age(&relaytree, own, now), 0);
	ck_assert_int_ge(relaytree_stated_age(&relaytree, 0, now),
			 CLK_SEC(3600));

	/* The stated age includes the way there: no answer for that alone. */
	ck_assert(!relaytree_is_newer(own + CLK_MS(2), own));
	ck_assert(relaytree_is_newer(own + CLK_MS(200), own));
}
END_TEST

/* Changes that wait for the grace period and then pass relays are in time. */
START_TEST(grace_period_ends_in_time)
{
	struct relaytree relaytree;

	relaytree_init(&relaytree, CLK_SEC(1));
	ck_assert_int_gt(relaytree_grace_left(&relaytree, CLK_SEC(1)), 0);
	ck_assert_int_le(relaytree_grace_left(&relaytree, CLK_SEC(1)),
			 CHANGE_BOUND - RELAY_DELAY - REGION_CALL);
	ck_assert_int_eq(
		relaytree_grace_left(&relaytree,
				     CLK_SEC(1) + CHANGE_BOUND - RELAY_DELAY),
		0);
}
END_TEST

/* A relay still listed from an earlier run fails in the grace period. */
START_TEST(relay_fails_in_grace_period)
{
	struct relaytree relaytree;

	relaytree_init(&relaytree, CLK_SEC(1));
	relaytree.direct_until = CLK_MS(1200);
	ck_assert(!relaytree_failed(&relaytree, 0, CLK_MS(1300)));
	ck_assert_int_gt(relaytree_grace_left(&relaytree, CLK_MS(1300)), 0);
	ck_assert(!relaytree_failed(&relaytree, 0, CLK_MS(2100)));
	ck_assert_int_eq(relaytree_grace_left(&relaytree, CLK_MS(2100)), 0);
	ck_assert_int_gt(relaytree.direct_until, CLK_MS(2100));
}
END_TEST

/* The relay may notice the end of an outage later than its followers. */
START_TEST(relay_after_an_outage)
{
	struct relaytree relaytree;

	relaytree_init(&relaytree, CLK_SEC(1));
	ck_assert(!relaytree_failed(&relaytree, 0, CLK_SEC(5)));
	relaytree_store_back(&relaytree, CLK_SEC(7));
	ck_assert_int_le(relaytree.direct_until, CLK_SEC(7));
	ck_assert(relaytree_failed(&relaytree, CLK_SEC(7), CLK_MS(7400)));
	ck_assert_int_le(relaytree.direct_until, CLK_SEC(7));
	ck_assert(!relaytree_failed(&relaytree, CLK_SEC(7), CLK_SEC(9)));
	ck_assert_int_gt(relaytree.direct_until, CLK_SEC(9));
}
END_TEST

/* A fallback VM that works is kept when others join, leave or move. */
START_TEST(working_fallback_is_kept)
{
	struct vms vms = {0};
	struct strbuf first;
	struct relaytree relaytree;

	relaytree_init(&relaytree, CLK_SEC(10));
	for (int i = 0; i < 5; i++) {
		struct vms_entry entry;
		char id[16];

		snprintf(id, sizeof(id), "vm-%d", i);
		entry = vm(id, i);
		vms_put(&vms, &entry);
	}
	relaytree_fallback_failed(&relaytree, &vms, STR_LIT("vm-2"),
				  CLK_SEC(20));
	first = relaytree_fallback(&relaytree, &vms, STR_LIT("vm-2"))->id;
	/* A late answer of the previous fallback VM doesn't count. */
	relaytree_fallback_succeeded(&relaytree, &vms, STR_LIT("vm-2"),
				     relaytree.fallback_turn - 1);
	ck_assert(!relaytree.fallback_works);
	relaytree_fallback_succeeded(&relaytree, &vms, STR_LIT("vm-2"),
				     relaytree.fallback_turn);
	ck_assert(relaytree.fallback_works);
	for (int i = 0; i < 40; i++) {
		struct vms_entry joins;
		char id[16];

		snprintf(id, sizeof(id), "vm-%d", 9 + i);
		joins = vm(id, i);
		vms_put(&vms, &joins);
		snprintf(id, sizeof(id), "vm-%d", i % 5);
		if (!str_eq(strbuf_str(&first), str_from_c(id)))
			vms_remove(&vms, str_from_c(id), 0);
		ck_assert(
			str_eq(strbuf_str(&first),
			       strbuf_str(&relaytree_fallback(&relaytree, &vms,
							      STR_LIT("vm-2"))
						   ->id)));
	}
	relaytree_fallback_failed(&relaytree, &vms, STR_LIT("vm-2"),
				  CLK_SEC(20));
	ck_assert(!relaytree.fallback_works);
	ck_assert(!str_eq(strbuf_str(&first),
			  strbuf_str(&relaytree_fallback(&relaytree, &vms,
							 STR_LIT("vm-2"))
					      ->id)));
	free(vms.list);
	free(vms.hashes);
}
END_TEST

/*
 * VMs could watch each other in a cycle if those that the store serves watched
 * one that it doesn't.
 */
START_TEST(no_watch_cycles)
{
	ck_assert(relaytree_refuses(true, true));
	ck_assert(!relaytree_refuses(true, false));
	ck_assert(!relaytree_refuses(false, true));
	ck_assert(!relaytree_refuses(false, false));
}
END_TEST

/* Each other VM is tried in turn, also by a VM that is unlisted. */
START_TEST(fallback_tries_all_others)
{
	static const char *const selves[] = {"vm-2", "unlisted"};
	const size_t count = 5;
	struct vms vms = {0};
	struct relaytree relaytree;

	relaytree_init(&relaytree, CLK_SEC(10));
	ck_assert_ptr_null(
		relaytree_fallback(&relaytree, &vms, STR_LIT("vm-2")));
	for (size_t i = 0; i < count; i++) {
		struct vms_entry entry;
		char id[16];

		snprintf(id, sizeof(id), "vm-%zu", i);
		entry = vm(id, (int)i);
		vms_put(&vms, &entry);
	}
	for (size_t k = 0; k < 2; k++) {
		unsigned asked[5] = {0};

		for (size_t i = 0; i < count; i++) {
			const struct vms_entry *to = relaytree_fallback(
				&relaytree, &vms, str_from_c(selves[k]));

			asked[to - vms.list]++;
			relaytree_fallback_failed(&relaytree, &vms,
						  str_from_c(selves[k]),
						  CLK_SEC(20));
		}
		for (size_t i = 0; i < count; i++)
			ck_assert(str_eq(strbuf_str(&vms.list[i].id),
					 str_from_c(selves[k]))
					  ? !asked[i]
					  : asked[i] >= 1);
	}
	/* In a long outage fallback VMs are tried less often. */
	for (size_t i = 0; i < 20; i++)
		relaytree_fallback_failed(&relaytree, &vms, STR_LIT("vm-2"),
					  CLK_SEC(20));
	ck_assert_int_gt(relaytree_fallback_failed(&relaytree, &vms,
						   STR_LIT("vm-2"),
						   CLK_SEC(20)),
			 CLK_SEC(1));
	relaytree_store_back(&relaytree, CLK_SEC(20));
	ck_assert_int_lt(relaytree_fallback_failed(&relaytree, &vms,
						   STR_LIT("vm-2"),
						   CLK_SEC(20)),
			 CLK_SEC(1));
	/* The relay isn't used for a while either. */
	ck_assert_ptr_null(relaytree_choose(&relaytree, &vms, 0,
					    STR_LIT("vm-2"), CLK_SEC(21)));
	free(vms.list);
	free(vms.hashes);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("relays");

	tcase_add_test(tc, one_relay_per_domain);
	tcase_add_test(tc, start_among_running_vms);
	tcase_add_test(tc, large_domains_form_a_tree);
	tcase_add_test(tc, relays_have_most_bandwidth);
	tcase_add_test(tc, stale_relay_stops_serving);
	tcase_add_test(tc, relays_want_newer_data);
	tcase_add_test(tc, grace_period_ends_in_time);
	tcase_add_test(tc, relay_fails_in_grace_period);
	tcase_add_test(tc, relay_after_an_outage);
	tcase_add_test(tc, fallback_tries_all_others);
	tcase_add_test(tc, working_fallback_is_kept);
	tcase_add_test(tc, no_watch_cycles);
	return fix_run("rly", tc);
}
