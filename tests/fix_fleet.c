#include "tests/fix_fleet.h"

#include <string.h>

#include <check.h>

#define PAUSE_BOUND CLK_MS(1000)
#define TICK	    CLK_MS(50)
#define HEAD_EVERY  20
#define PEER_EVERY  10

uint64_t fleet_draw(struct fleet *m)
{
	m->random ^= m->random << 13;
	m->random ^= m->random >> 7;
	m->random ^= m->random << 17;
	return m->random;
}

static apr_time_t node_now(const struct fleet *m, const struct fleet_node *n)
{
	return m->now - n->lost;
}

static int domain_of(const struct fleet *m, const struct fleet_node *n)
{
	return (int)(n - m->nodes) / FLEET_PER_DOMAIN;
}

bool fleet_runs(const struct fleet_node *n)
{
	return !n->dead && !n->paused;
}

bool fleet_fresh(const struct fleet *m, const struct fleet_node *n)
{
	return fleet_runs(n) && rev_is_fresh(&n->rev, node_now(m, n), m->now);
}

/* The store is in group 0. */
static bool store_answers(const struct fleet *m, const struct fleet_node *n)
{
	return !m->store_down && n->group == 0;
}

static void hold(struct fleet_node *n, uint64_t revision)
{
	if (rev_note_exists(&n->rev, revision) &&
	    rev_set_held(&n->rev, revision))
		ck_abort_msg("a higher revision was refused");
}

static void read_store(struct fleet *m, struct fleet_node *n)
{
	const uint64_t shown =
		m->old_from_store ? m->store_shows : m->store_revision;

	if (!store_answers(m, n))
		return;
	hold(n, shown);
	if (node_now(m, n) - n->started_at > FLEET_TIMEOUT)
		rev_allow_confirm(&n->rev);
	rev_confirm(&n->rev, shown, node_now(m, n));
}

static void ask(struct fleet *m, struct fleet_node *n,
		const struct fleet_node *peer)
{
	const apr_interval_time_t age =
		rev_confirmation_age(&peer->rev, node_now(m, peer));
	uint64_t revision = peer->rev.revision;

	if (n == peer || !fleet_runs(peer) || n->group != peer->group)
		return;
	if (m->old_peer == peer && revision)
		revision--;
	hold(n, revision);
	if (peer->rev.voter)
		rev_allow_confirm(&n->rev);
	if (age != REV_NEVER)
		rev_confirm(&n->rev, revision, node_now(m, n) - age);
}

static struct fleet_node *relay(struct fleet *m, const struct fleet_node *n,
				int i)
{
	struct fleet_node *found[FLEET_RELAYS] = {NULL};
	int count = 0;

	for (int k = 0; k < FLEET_PER_DOMAIN && count < FLEET_RELAYS; k++) {
		struct fleet_node *c =
			&m->nodes[domain_of(m, n) * FLEET_PER_DOMAIN + k];

		if (!c->dead)
			found[count++] = c;
	}
	return i < count ? found[i] : NULL;
}

bool fleet_is_relay(struct fleet *m, const struct fleet_node *n)
{
	return n == relay(m, n, 0) || n == relay(m, n, 1);
}

static void vote(struct fleet *m, struct fleet_node *n)
{
	apr_time_t at;

	for (int d = 0; d < FLEET_DOMAINS; d++) {
		const struct fleet_node *peer =
			d == domain_of(m, n)
				? n
				: &m->nodes[d * FLEET_PER_DOMAIN +
					    (int)(fleet_draw(m) %
						  FLEET_PER_DOMAIN)];

		if (!fleet_runs(peer) || peer->group != n->group)
			continue;
		n->votes[d] = (struct rev_vote){
			.valid = peer->rev.voter,
			.revision = peer->rev.revision,
			.asked_at = node_now(m, n),
		};
		hold(n, peer->rev.revision);
	}
	if (rev_majority(n->votes, FLEET_DOMAINS, n->rev.revision, &at))
		rev_confirm(&n->rev, n->rev.revision, at);
}

static void run_node(struct fleet *m, struct fleet_node *n, int tick)
{
	const int phase = tick + (int)(n - m->nodes) * 7;

	rev_tick(&n->rev, node_now(m, n), m->now);
	if (fleet_is_relay(m, n) && phase % HEAD_EVERY == 0)
		read_store(m, n);
	if (fleet_is_relay(m, n) && !m->silent_watch &&
	    n->rev.revision < m->store_revision)
		read_store(m, n);
	if (phase % PEER_EVERY)
		return;
	for (int i = 0; i < FLEET_RELAYS; i++) {
		const struct fleet_node *r = relay(m, n, i);

		if (r)
			ask(m, n, r);
	}
	ask(m, n, &m->nodes[fleet_draw(m) % FLEET_NODES]);
	if (rev_confirmation_age(&n->rev, node_now(m, n)) > FLEET_TIMEOUT / 2)
		vote(m, n);
}

/* pstctl stands next to the store. */
static void run_operator(struct fleet *m)
{
	struct rev_holders holders = {.domains = FLEET_DOMAINS,
				      .vms = FLEET_NODES};

	if (m->written <= m->accepted)
		return;
	for (int d = 0; d < FLEET_DOMAINS; d++) {
		int whole = 0;

		for (int k = 0; k < FLEET_PER_DOMAIN; k++) {
			const struct fleet_node *n =
				&m->nodes[d * FLEET_PER_DOMAIN + k];

			whole += fleet_runs(n) && n->group == 0 &&
				 n->rev.revision >= m->written;
		}
		holders.vms_holding += (size_t)whole;
		holders.domains_whole += whole == FLEET_PER_DOMAIN;
	}
	if (!m->majority_at && rev_held_by_majority(&holders))
		m->majority_at = m->now;
	if (!rev_accepted(&holders, m->now - m->majority_at, FLEET_TIMEOUT))
		return;
	m->accepted = m->written;
	m->accepted_at = m->now;
}

static void check_all(const struct fleet *m)
{
	for (int i = 0; i < FLEET_NODES; i++) {
		const struct fleet_node *n = &m->nodes[i];

		if (!n->dead && n->rev.revision < n->highest)
			ck_abort_msg("%s: node %d went back", m->what, i);
		if (fleet_fresh(m, n) && n->rev.revision < m->accepted)
			ck_abort_msg("%s: node %d serves %llu, accepted %llu",
				     m->what, i,
				     (unsigned long long)n->rev.revision,
				     (unsigned long long)m->accepted);
	}
}

void fleet_step(struct fleet *m)
{
	const int tick = (int)(m->now / TICK);

	m->now += TICK;
	check_all(m);
	for (int i = 0; i < FLEET_NODES; i++) {
		struct fleet_node *n = &m->nodes[i];

		if (n->clock_stands)
			n->lost += TICK;
		if (fleet_runs(n))
			run_node(m, n, tick);
		if (!n->dead)
			n->highest = n->rev.revision;
	}
	run_operator(m);
	check_all(m);
}

void fleet_run_for(struct fleet *m, apr_interval_time_t time)
{
	const apr_time_t end = m->now + time;

	while (m->now < end)
		fleet_step(m);
}

void fleet_restart(const struct fleet *m, struct fleet_node *n)
{
	n->started_at = node_now(m, n);
	rev_init(&n->rev, FLEET_TIMEOUT, PAUSE_BOUND);
	memset(n->votes, 0, sizeof(n->votes));
	n->highest = 0;
	n->dead = false;
}

void fleet_start(struct fleet *m, uint64_t seed, const char *what)
{
	memset(m, 0, sizeof(*m));
	m->now = CLK_SEC(1000);
	m->random = seed * 2654435761U + 1;
	m->store_revision = 5;
	m->what = what;
	for (int i = 0; i < FLEET_NODES; i++)
		fleet_restart(m, &m->nodes[i]);
	fleet_run_for(m, CLK_SEC(6));
	for (int i = 0; i < FLEET_NODES; i++)
		ck_assert(fleet_fresh(m, &m->nodes[i]));
}

void fleet_set_group(struct fleet *m, int first, int count, int group)
{
	for (int i = first; i < first + count; i++)
		m->nodes[i].group = group;
}

void fleet_begin_fault(struct fleet *m, enum fleet_fault fault)
{
	struct fleet_node *victim = &m->nodes[FLEET_PER_DOMAIN + 1];

	switch (fault) {
	case FLEET_NONE:
	case FLEET_COUNT:
		return;
	case FLEET_STORE_DOWN:
		m->store_down = true;
		return;
	case FLEET_SILENT_WATCH:
		m->silent_watch = true;
		return;
	case FLEET_OLD_FROM_STORE:
		m->old_from_store = true;
		m->store_shows = m->store_revision - 1;
		return;
	case FLEET_OLD_FROM_PEER:
		m->old_peer = &m->nodes[0];
		return;
	case FLEET_NODE_CUT:
		victim->group = 1;
		return;
	case FLEET_DOMAIN_CUT:
		fleet_set_group(m, FLEET_PER_DOMAIN, FLEET_PER_DOMAIN, 1);
		return;
	case FLEET_REGION_CUT:
		fleet_set_group(m, FLEET_REGION_NODES, FLEET_REGION_NODES, 1);
		return;
	case FLEET_STORE_REGION_CUT:
		fleet_set_group(m, FLEET_REGION_NODES,
				FLEET_NODES - FLEET_REGION_NODES, 1);
		return;
	case FLEET_NODE_SUSPENDED:
		victim->clock_stands = true;
		victim->paused = true;
		return;
	case FLEET_NODE_PAUSED:
		victim->paused = true;
		return;
	case FLEET_NODE_RESTARTED:
		fleet_restart(m, victim);
		return;
	case FLEET_RELAYS_DEAD:
		m->nodes[0].dead = true;
		m->nodes[1].dead = true;
		return;
	}
}

void fleet_end_faults(struct fleet *m)
{
	m->store_down = false;
	m->silent_watch = false;
	m->old_from_store = false;
	m->old_peer = NULL;
	for (int i = 0; i < FLEET_NODES; i++) {
		struct fleet_node *n = &m->nodes[i];

		n->group = 0;
		n->paused = false;
		n->clock_stands = false;
		if (n->dead)
			fleet_restart(m, n);
	}
	check_all(m);
}

/* A store that is down takes no write. */
void fleet_write_edit(struct fleet *m)
{
	if (!m->began_at)
		m->began_at = m->now;
	if (m->store_down || m->written)
		return;
	m->written = ++m->store_revision;
}
