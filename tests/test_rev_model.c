/* A model of a fleet that walks a matrix of faults against the steps of an
 * edit. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "common/clk.h"
#include "common/err.h"
#include "policy/rev.h"
#include "tests/fix_run.h"

#define TIMEOUT	     CLK_MS(3000)
#define PAUSE_BOUND  CLK_MS(1000)
#define TICK	     CLK_MS(50)
#define TARGET	     CLK_SEC(5)

#define DOMAINS	     6
#define PER_DOMAIN   4
#define NODES	     24
#define REGION_NODES 8
#define RELAYS	     2

/* Intervals of the duties, in ticks. */
#define HEAD_EVERY 20
#define PEER_EVERY 10

/* Steps of the path of an edit at which a fault begins. */
enum at {
	AT_BEFORE_WRITE,
	AT_WRITE,
	AT_RELAYS,
	AT_ACCEPTED,
	AT_COUNT,
};

static const char *const at_names[] = {"before write", "at write",
				       "relays hold it", "accepted"};

enum fault {
	FAULT_NONE,
	FAULT_STORE_DOWN,
	FAULT_SILENT_WATCH,
	FAULT_OLD_FROM_STORE,
	FAULT_OLD_FROM_PEER,
	FAULT_NODE_CUT,
	FAULT_DOMAIN_CUT,
	FAULT_REGION_CUT,
	FAULT_STORE_REGION_CUT,
	FAULT_NODE_PAUSED,
	FAULT_NODE_SUSPENDED,
	FAULT_NODE_RESTARTED,
	FAULT_RELAYS_DEAD,
	FAULT_COUNT,
};

/* What is expected of an edit that the fault overlaps. */
struct expect {
	const char *name;
	/* Accepted within the target while the fault lasts. */
	bool accepted;
	/* Nodes that may have stopped when the fault has lasted. */
	int may_stop;
};

static const struct expect expects[] = {
	[FAULT_NONE] = {"none", true, 0},
	/* No write gets through until the store is back. */
	[FAULT_STORE_DOWN] = {"store down", false, 0},
	[FAULT_SILENT_WATCH] = {"silent watch", true, 0},
	/* Nobody can learn of the edit from a store that hides it. */
	[FAULT_OLD_FROM_STORE] = {"older value from the store", false, 0},
	[FAULT_OLD_FROM_PEER] = {"older value from a peer", true, 0},
	[FAULT_NODE_CUT] = {"node cut off", true, 1},
	[FAULT_DOMAIN_CUT] = {"domain cut off", true, PER_DOMAIN},
	[FAULT_REGION_CUT] = {"region cut off", true, REGION_NODES},
	/* The store's region is a minority: nothing is accepted there. */
	[FAULT_STORE_REGION_CUT] = {"region of the store cut off", false, 0},
	[FAULT_NODE_PAUSED] = {"node paused", true, 1},
	[FAULT_NODE_SUSPENDED] = {"VM suspended", true, 1},
	[FAULT_NODE_RESTARTED] = {"node restarted", true, 0},
	[FAULT_RELAYS_DEAD] = {"relays of a domain dead", true, RELAYS},
};

struct node {
	struct rev rev;
	/* Highest revision ever held, for the check. */
	uint64_t highest;
	int group;
	bool dead;
	bool paused;
	/* Time for which its monotonic clock stood still. */
	apr_interval_time_t lost;
	bool clock_stands;
	apr_time_t started_at;
	struct rev_vote votes[DOMAINS];
};

struct model {
	struct node nodes[NODES];
	apr_time_t now;
	uint64_t random;
	bool store_down;
	bool silent_watch;
	bool old_from_store;
	/* Offers an older value to whoever asks, or NULL. */
	const struct node *old_peer;
	uint64_t store_revision;
	/* What the store shows while it offers older values. */
	uint64_t store_shows;
	uint64_t written;
	/* When the operator first saw it held by a majority. */
	apr_time_t majority_at;
	apr_time_t began_at;
	uint64_t accepted;
	apr_time_t accepted_at;
	const char *what;
};

static uint64_t draw(struct model *m)
{
	m->random ^= m->random << 13;
	m->random ^= m->random >> 7;
	m->random ^= m->random << 17;
	return m->random;
}

static apr_time_t node_now(const struct model *m, const struct node *n)
{
	return m->now - n->lost;
}

static int domain_of(const struct model *m, const struct node *n)
{
	return (int)(n - m->nodes) / PER_DOMAIN;
}

static bool runs(const struct node *n)
{
	return !n->dead && !n->paused;
}

static bool fresh(const struct model *m, const struct node *n)
{
	return runs(n) && rev_fresh(&n->rev, node_now(m, n), m->now);
}

/* The store is in group 0. */
static bool store_answers(const struct model *m, const struct node *n)
{
	return !m->store_down && n->group == 0;
}

static void hold(struct node *n, uint64_t revision)
{
	if (rev_heard(&n->rev, revision) && rev_hold(&n->rev, revision))
		ck_abort_msg("a higher revision was refused");
}

static void read_store(struct model *m, struct node *n)
{
	const uint64_t shown =
		m->old_from_store ? m->store_shows : m->store_revision;

	if (!store_answers(m, n))
		return;
	hold(n, shown);
	if (node_now(m, n) - n->started_at > TIMEOUT)
		rev_introduce(&n->rev);
	rev_confirm(&n->rev, shown, node_now(m, n));
}

static void ask(struct model *m, struct node *n, const struct node *peer)
{
	const apr_interval_time_t age = rev_age(&peer->rev, node_now(m, peer));
	uint64_t revision = peer->rev.revision;

	if (n == peer || !runs(peer) || n->group != peer->group)
		return;
	if (m->old_peer == peer && revision)
		revision--;
	hold(n, revision);
	if (peer->rev.voter)
		rev_introduce(&n->rev);
	if (age != REV_NEVER)
		rev_confirm(&n->rev, revision, node_now(m, n) - age);
}

static struct node *relay(struct model *m, const struct node *n, int i)
{
	struct node *found[RELAYS] = {NULL};
	int count = 0;

	for (int k = 0; k < PER_DOMAIN && count < RELAYS; k++) {
		struct node *c = &m->nodes[domain_of(m, n) * PER_DOMAIN + k];

		if (!c->dead)
			found[count++] = c;
	}
	return i < count ? found[i] : NULL;
}

static bool is_relay(struct model *m, const struct node *n)
{
	return n == relay(m, n, 0) || n == relay(m, n, 1);
}

static void vote(struct model *m, struct node *n)
{
	apr_time_t at;

	for (int d = 0; d < DOMAINS; d++) {
		const struct node *peer =
			d == domain_of(m, n)
				? n
				: &m->nodes[d * PER_DOMAIN +
					    (int)(draw(m) % PER_DOMAIN)];

		if (!runs(peer) || peer->group != n->group)
			continue;
		n->votes[d] = (struct rev_vote){
			.valid = peer->rev.voter,
			.revision = peer->rev.revision,
			.asked_at = node_now(m, n),
		};
		hold(n, peer->rev.revision);
	}
	if (rev_majority(n->votes, DOMAINS, n->rev.revision, &at))
		rev_confirm(&n->rev, n->rev.revision, at);
}

static void run_node(struct model *m, struct node *n, int tick)
{
	const int phase = tick + (int)(n - m->nodes) * 7;

	rev_tick(&n->rev, node_now(m, n), m->now);
	if (is_relay(m, n) && phase % HEAD_EVERY == 0)
		read_store(m, n);
	if (is_relay(m, n) && !m->silent_watch &&
	    n->rev.revision < m->store_revision)
		read_store(m, n);
	if (phase % PEER_EVERY)
		return;
	for (int i = 0; i < RELAYS; i++) {
		const struct node *r = relay(m, n, i);

		if (r)
			ask(m, n, r);
	}
	ask(m, n, &m->nodes[draw(m) % NODES]);
	if (rev_age(&n->rev, node_now(m, n)) > TIMEOUT / 2)
		vote(m, n);
}

/* pstctl stands next to the store. */
static void run_operator(struct model *m)
{
	struct rev_holders holders = {.domains = DOMAINS, .vms = NODES};

	if (m->written <= m->accepted)
		return;
	for (int d = 0; d < DOMAINS; d++) {
		int whole = 0;

		for (int k = 0; k < PER_DOMAIN; k++) {
			const struct node *n = &m->nodes[d * PER_DOMAIN + k];

			whole += runs(n) && n->group == 0 &&
				 n->rev.revision >= m->written;
		}
		holders.vms_holding += (size_t)whole;
		holders.domains_whole += whole == PER_DOMAIN;
	}
	if (!m->majority_at && rev_held_by_majority(&holders))
		m->majority_at = m->now;
	if (!rev_accepted(&holders, m->now - m->majority_at, TIMEOUT))
		return;
	m->accepted = m->written;
	m->accepted_at = m->now;
}

static void check_all(const struct model *m)
{
	for (int i = 0; i < NODES; i++) {
		const struct node *n = &m->nodes[i];

		if (!n->dead && n->rev.revision < n->highest)
			ck_abort_msg("%s: node %d went back", m->what, i);
		if (fresh(m, n) && n->rev.revision < m->accepted)
			ck_abort_msg("%s: node %d serves %llu, accepted %llu",
				     m->what, i,
				     (unsigned long long)n->rev.revision,
				     (unsigned long long)m->accepted);
	}
}

static void step(struct model *m)
{
	const int tick = (int)(m->now / TICK);

	m->now += TICK;
	check_all(m);
	for (int i = 0; i < NODES; i++) {
		struct node *n = &m->nodes[i];

		if (n->clock_stands)
			n->lost += TICK;
		if (runs(n))
			run_node(m, n, tick);
		if (!n->dead)
			n->highest = n->rev.revision;
	}
	run_operator(m);
	check_all(m);
}

static void run_for(struct model *m, apr_interval_time_t time)
{
	const apr_time_t end = m->now + time;

	while (m->now < end)
		step(m);
}

static void restart(const struct model *m, struct node *n)
{
	n->started_at = node_now(m, n);
	rev_init(&n->rev, TIMEOUT, PAUSE_BOUND);
	memset(n->votes, 0, sizeof(n->votes));
	n->highest = 0;
	n->dead = false;
}

static void start(struct model *m, uint64_t seed, const char *what)
{
	memset(m, 0, sizeof(*m));
	m->now = CLK_SEC(1000);
	m->random = seed * 2654435761U + 1;
	m->store_revision = 5;
	m->what = what;
	for (int i = 0; i < NODES; i++)
		restart(m, &m->nodes[i]);
	run_for(m, CLK_SEC(6));
	for (int i = 0; i < NODES; i++)
		ck_assert(fresh(m, &m->nodes[i]));
}

static void set_group(struct model *m, int first, int count, int group)
{
	for (int i = first; i < first + count; i++)
		m->nodes[i].group = group;
}

static void begin_fault(struct model *m, enum fault fault)
{
	struct node *victim = &m->nodes[PER_DOMAIN + 1];

	switch (fault) {
	case FAULT_NONE:
	case FAULT_COUNT:
		return;
	case FAULT_STORE_DOWN:
		m->store_down = true;
		return;
	case FAULT_SILENT_WATCH:
		m->silent_watch = true;
		return;
	case FAULT_OLD_FROM_STORE:
		m->old_from_store = true;
		m->store_shows = m->store_revision - 1;
		return;
	case FAULT_OLD_FROM_PEER:
		m->old_peer = &m->nodes[0];
		return;
	case FAULT_NODE_CUT:
		victim->group = 1;
		return;
	case FAULT_DOMAIN_CUT:
		set_group(m, PER_DOMAIN, PER_DOMAIN, 1);
		return;
	case FAULT_REGION_CUT:
		set_group(m, REGION_NODES, REGION_NODES, 1);
		return;
	case FAULT_STORE_REGION_CUT:
		set_group(m, REGION_NODES, NODES - REGION_NODES, 1);
		return;
	case FAULT_NODE_SUSPENDED:
		victim->clock_stands = true;
		victim->paused = true;
		return;
	case FAULT_NODE_PAUSED:
		victim->paused = true;
		return;
	case FAULT_NODE_RESTARTED:
		restart(m, victim);
		return;
	case FAULT_RELAYS_DEAD:
		m->nodes[0].dead = true;
		m->nodes[1].dead = true;
		return;
	}
}

static void end_faults(struct model *m)
{
	m->store_down = false;
	m->silent_watch = false;
	m->old_from_store = false;
	m->old_peer = NULL;
	for (int i = 0; i < NODES; i++) {
		struct node *n = &m->nodes[i];

		n->group = 0;
		n->paused = false;
		n->clock_stands = false;
		if (n->dead)
			restart(m, n);
	}
	check_all(m);
}

/* A store that is down takes no write. */
static void write_edit(struct model *m)
{
	if (!m->began_at)
		m->began_at = m->now;
	if (m->store_down || m->written)
		return;
	m->written = ++m->store_revision;
}

static bool relays_hold(struct model *m)
{
	for (int i = 0; i < NODES; i++) {
		const struct node *n = &m->nodes[i];

		if (n->group == 0 && runs(n) && is_relay(m, n) &&
		    n->rev.revision < m->written)
			return false;
	}
	return true;
}

static void run_until(struct model *m, enum at at)
{
	for (int i = 0; i < 200; i++) {
		if (at == AT_RELAYS && relays_hold(m))
			return;
		if (at == AT_ACCEPTED && m->accepted == m->written)
			return;
		step(m);
	}
}

static int count_stopped(const struct model *m)
{
	int stopped = 0;

	for (int i = 0; i < NODES; i++)
		stopped += !fresh(m, &m->nodes[i]);
	return stopped;
}

static void walk(struct model *m, enum at at, enum fault a, enum fault b)
{
	if (at == AT_BEFORE_WRITE) {
		begin_fault(m, a);
		begin_fault(m, b);
		run_for(m, CLK_MS(100 + draw(m) % 2000));
	}
	write_edit(m);
	if (at == AT_RELAYS || at == AT_ACCEPTED)
		run_until(m, at);
	if (at != AT_BEFORE_WRITE) {
		begin_fault(m, a);
		begin_fault(m, b);
	}
	run_for(m, TARGET + CLK_SEC(3));
}

static void heal(struct model *m)
{
	end_faults(m);
	run_for(m, CLK_MS(500));
	write_edit(m);
	run_for(m, TARGET);
	ck_assert_msg(m->accepted == m->store_revision,
		      "%s: not accepted after the fault", m->what);
	ck_assert_msg(count_stopped(m) == 0, "%s: %d not fresh after it",
		      m->what, count_stopped(m));
}

/* Single faults: every fault at every step, several seeds. */
START_TEST(each_fault_at_each_step)
{
	const enum at at = (enum at)(_i % AT_COUNT);
	const enum fault fault = (enum fault)(_i / AT_COUNT);
	const struct expect *expect = &expects[fault];
	char what[128];

	for (uint64_t seed = 1; seed <= 5; seed++) {
		static struct model m;

		snprintf(what, sizeof(what), "%s, %s, seed %llu", expect->name,
			 at_names[at], (unsigned long long)seed);
		start(&m, seed, what);
		walk(&m, at, fault, FAULT_NONE);
		if (expect->accepted || at == AT_ACCEPTED)
			ck_assert_msg(m.accepted &&
					      m.accepted_at - m.began_at <=
						      TARGET,
				      "%s: not accepted in time", what);
		ck_assert_msg(count_stopped(&m) <= expect->may_stop,
			      "%s: %d stopped", what, count_stopped(&m));
		heal(&m);
	}
}
END_TEST

/* Pairs of faults by seeded choice; only the invariants and the recovery. */
START_TEST(pairs_of_faults_keep_the_invariants)
{
	for (uint64_t seed = 1; seed <= 2000; seed++) {
		static struct model m;
		char what[128];
		enum at at;
		enum fault a;
		enum fault b;

		start(&m, seed, "start of a pair");
		m.what = what;
		at = (enum at)(draw(&m) % AT_COUNT);
		a = (enum fault)(draw(&m) % FAULT_COUNT);
		b = (enum fault)(draw(&m) % FAULT_COUNT);
		snprintf(what, sizeof(what), "%s + %s, %s, seed %llu",
			 expects[a].name, expects[b].name, at_names[at],
			 (unsigned long long)seed);
		walk(&m, at, a, b);
		heal(&m);
	}
}
END_TEST

/* A store outage with the whole fleet up stops nobody, for as long as it is. */
START_TEST(long_outage_stops_nobody)
{
	static struct model m;

	start(&m, 9, "long outage");
	m.store_down = true;
	run_for(&m, CLK_SEC(600));
	ck_assert_int_eq(count_stopped(&m), 0);
	/* A region lost on top leaves a majority. */
	set_group(&m, 0, REGION_NODES, 1);
	run_for(&m, CLK_SEC(60));
	ck_assert_int_eq(count_stopped(&m), REGION_NODES);
	heal(&m);
}
END_TEST

START_TEST(node_that_starts_in_an_outage_waits_for_the_highest)
{
	static struct model m;
	struct node *n = &m.nodes[7];

	start(&m, 3, "start in an outage");
	m.store_down = true;
	run_for(&m, CLK_SEC(4));
	n->dead = true;
	run_for(&m, CLK_SEC(1));
	restart(&m, n);
	ck_assert(!fresh(&m, n));
	run_for(&m, CLK_SEC(2));
	ck_assert_uint_eq(n->rev.revision, 5);
	ck_assert(fresh(&m, n));
}
END_TEST

START_TEST(all_restarted_in_an_outage_do_not_serve)
{
	static struct model m;

	start(&m, 4, "all restarted");
	m.store_down = true;
	for (int i = 0; i < NODES; i++)
		restart(&m, &m.nodes[i]);
	run_for(&m, CLK_SEC(10));
	ck_assert_int_eq(count_stopped(&m), NODES);
	heal(&m);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("rev_model");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, each_fault_at_each_step, 0,
			    AT_COUNT * FAULT_COUNT);
	tcase_add_test(tc, pairs_of_faults_keep_the_invariants);
	tcase_add_test(tc, long_outage_stops_nobody);
	tcase_add_test(tc, node_that_starts_in_an_outage_waits_for_the_highest);
	tcase_add_test(tc, all_restarted_in_an_outage_do_not_serve);
	return fix_run("rev_model", tc);
}
