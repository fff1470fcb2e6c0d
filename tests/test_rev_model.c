/*
 * Runs the fleet model of fix_fleet.h with each fault at each step of an edit,
 * and with pairs of faults. fix_fleet.c checks the invariants in each step.
 */
#include <stdio.h>

#include <check.h>

#include "tests/fix_fleet.h"
#include "tests/fix_run.h"

#define TARGET CLK_SEC(5)

/* Step of an edit at which a fault begins. */
enum fault_step {
	AT_BEFORE_WRITE,
	AT_WRITE,
	AT_RELAYS,
	AT_ACCEPTED,
	AT_COUNT,
};

static const char *const step_names[] = {"before write", "at write",
					 "relays hold it", "accepted"};

/* Expected outcome of an edit during a fault. */
struct expectation {
	const char *name;
	/* The edit is accepted within TARGET while the fault lasts. */
	bool accepted;
	/* Most nodes that are not fresh at the end of the fault. */
	int max_stopped;
};

static const struct expectation expectations[] = {
	[FLEET_NONE] = {"none", true, 0},
	/* Nothing is written until the store is back. */
	[FLEET_STORE_DOWN] = {"store down", false, 0},
	[FLEET_SILENT_WATCH] = {"silent watch", true, 0},
	/* Nodes read an older value and don't learn of the edit. */
	[FLEET_OLD_FROM_STORE] = {"older value from the store", false, 0},
	[FLEET_OLD_FROM_PEER] = {"older value from a peer", true, 0},
	[FLEET_NODE_CUT] = {"node cut off", true, 1},
	[FLEET_DOMAIN_CUT] = {"domain cut off", true, FLEET_PER_DOMAIN},
	[FLEET_REGION_CUT] = {"region cut off", true, FLEET_REGION_NODES},
	/* The store's region is a minority, so no edit is accepted there. */
	[FLEET_STORE_REGION_CUT] = {"region of the store cut off", false, 0},
	[FLEET_NODE_PAUSED] = {"node paused", true, 1},
	[FLEET_NODE_SUSPENDED] = {"VM suspended", true, 1},
	[FLEET_NODE_RESTARTED] = {"node restarted", true, 0},
	[FLEET_RELAYS_DEAD] = {"relays of a domain dead", true, FLEET_RELAYS},
};

static bool relays_hold(struct fleet *m)
{
	for (int i = 0; i < FLEET_NODES; i++) {
		const struct fleet_node *n = &m->nodes[i];

		if (n->group == 0 && fleet_runs(n) && fleet_is_relay(m, n) &&
		    n->rev.revision < m->written)
			return false;
	}
	return true;
}

static void run_until(struct fleet *m, enum fault_step at)
{
	for (int i = 0; i < 200; i++) {
		if (at == AT_RELAYS && relays_hold(m))
			return;
		if (at == AT_ACCEPTED && m->accepted == m->written)
			return;
		fleet_step(m);
	}
}

static int count_stopped(const struct fleet *m)
{
	int stopped = 0;

	for (int i = 0; i < FLEET_NODES; i++)
		stopped += !fleet_fresh(m, &m->nodes[i]);
	return stopped;
}

static void run_case(struct fleet *m, enum fault_step at, enum fleet_fault a,
		     enum fleet_fault b)
{
	if (at == AT_BEFORE_WRITE) {
		fleet_begin_fault(m, a);
		fleet_begin_fault(m, b);
		fleet_run_for(m, CLK_MS(100 + fleet_draw(m) % 2000));
	}
	fleet_write_edit(m);
	if (at == AT_RELAYS || at == AT_ACCEPTED)
		run_until(m, at);
	if (at != AT_BEFORE_WRITE) {
		fleet_begin_fault(m, a);
		fleet_begin_fault(m, b);
	}
	fleet_run_for(m, TARGET + CLK_SEC(3));
}

static void recover(struct fleet *m)
{
	fleet_end_faults(m);
	fleet_run_for(m, CLK_MS(500));
	fleet_write_edit(m);
	fleet_run_for(m, TARGET);
	ck_assert_msg(m->accepted == m->store_revision,
		      "%s: not accepted after the fault", m->what);
	ck_assert_msg(count_stopped(m) == 0, "%s: %d not fresh after it",
		      m->what, count_stopped(m));
}

/* Each fault alone, begun at each step of an edit. */
START_TEST(each_fault_at_each_step)
{
	const enum fault_step at = (enum fault_step)(_i % AT_COUNT);
	const enum fleet_fault fault = (enum fleet_fault)(_i / AT_COUNT);
	const struct expectation *expected = &expectations[fault];
	char what[128];

	for (uint64_t seed = 1; seed <= 5; seed++) {
		static struct fleet m;

		snprintf(what, sizeof(what), "%s, %s, seed %llu",
			 expected->name, step_names[at],
			 (unsigned long long)seed);
		fleet_start(&m, seed, what);
		run_case(&m, at, fault, FLEET_NONE);
		if (expected->accepted || at == AT_ACCEPTED)
			ck_assert_msg(m.accepted &&
					      m.accepted_at - m.began_at <=
						      TARGET,
				      "%s: not accepted in time", what);
		ck_assert_msg(count_stopped(&m) <= expected->max_stopped,
			      "%s: %d stopped", what, count_stopped(&m));
		recover(&m);
	}
}
END_TEST

/* Random pairs of faults; checks only the invariants and the recovery. */
START_TEST(pairs_of_faults_keep_the_invariants)
{
	for (uint64_t seed = 1; seed <= 2000; seed++) {
		static struct fleet m;
		char what[128];
		enum fault_step at;
		enum fleet_fault a;
		enum fleet_fault b;

		fleet_start(&m, seed, "start of a pair");
		m.what = what;
		at = (enum fault_step)(fleet_draw(&m) % AT_COUNT);
		a = (enum fleet_fault)(fleet_draw(&m) % FLEET_COUNT);
		b = (enum fleet_fault)(fleet_draw(&m) % FLEET_COUNT);
		snprintf(what, sizeof(what), "%s + %s, %s, seed %llu",
			 expectations[a].name, expectations[b].name,
			 step_names[at], (unsigned long long)seed);
		run_case(&m, at, a, b);
		recover(&m);
	}
}
END_TEST

/* An outage of the store stops no node, however long, if all nodes are up. */
START_TEST(long_store_outage_stops_no_node)
{
	static struct fleet m;

	fleet_start(&m, 9, "long outage");
	m.store_down = true;
	fleet_run_for(&m, CLK_SEC(600));
	ck_assert_int_eq(count_stopped(&m), 0);
	/* Without one region, a majority of the domains remains. */
	fleet_set_group(&m, 0, FLEET_REGION_NODES, 1);
	fleet_run_for(&m, CLK_SEC(60));
	ck_assert_int_eq(count_stopped(&m), FLEET_REGION_NODES);
	recover(&m);
}
END_TEST

START_TEST(node_that_starts_in_an_outage_waits_for_the_newest_revision)
{
	static struct fleet m;
	struct fleet_node *n = &m.nodes[7];

	fleet_start(&m, 3, "start in an outage");
	m.store_down = true;
	fleet_run_for(&m, CLK_SEC(4));
	n->dead = true;
	fleet_run_for(&m, CLK_SEC(1));
	fleet_restart(&m, n);
	ck_assert(!fleet_fresh(&m, n));
	fleet_run_for(&m, CLK_SEC(2));
	ck_assert_uint_eq(n->rev.revision, 5);
	ck_assert(fleet_fresh(&m, n));
}
END_TEST

START_TEST(all_restarted_in_an_outage_do_not_serve)
{
	static struct fleet m;

	fleet_start(&m, 4, "all restarted");
	m.store_down = true;
	for (int i = 0; i < FLEET_NODES; i++)
		fleet_restart(&m, &m.nodes[i]);
	fleet_run_for(&m, CLK_SEC(10));
	ck_assert_int_eq(count_stopped(&m), FLEET_NODES);
	recover(&m);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("rev_model");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, each_fault_at_each_step, 0,
			    AT_COUNT * FLEET_COUNT);
	tcase_add_test(tc, pairs_of_faults_keep_the_invariants);
	tcase_add_test(tc, long_store_outage_stops_no_node);
	tcase_add_test(
		tc,
		node_that_starts_in_an_outage_waits_for_the_newest_revision);
	tcase_add_test(tc, all_restarted_in_an_outage_do_not_serve);
	return fix_run("rev_model", tc);
}
