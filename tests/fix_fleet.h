/*
 * A model of 24 VMs in 6 failure domains that exchange revisions, with a store,
 * an operator and faults, on a hand-moved clock. It fails the test when a VM
 * goes back or serves under less than what was accepted.
 */
#ifndef TESTS_FIX_FLEET_H
#define TESTS_FIX_FLEET_H

#include "common/clk.h"
#include "policy/rev.h"

#define FLEET_TIMEOUT	   CLK_MS(3000)
#define FLEET_DOMAINS	   6
#define FLEET_PER_DOMAIN   4
#define FLEET_NODES	   24
#define FLEET_REGION_NODES 8
/* Relays of a domain. */
#define FLEET_RELAYS 2

enum fleet_fault {
	FLEET_NONE,
	FLEET_STORE_DOWN,
	FLEET_SILENT_WATCH,
	FLEET_OLD_FROM_STORE,
	FLEET_OLD_FROM_PEER,
	FLEET_NODE_CUT,
	FLEET_DOMAIN_CUT,
	FLEET_REGION_CUT,
	FLEET_STORE_REGION_CUT,
	FLEET_NODE_PAUSED,
	FLEET_NODE_SUSPENDED,
	FLEET_NODE_RESTARTED,
	FLEET_RELAYS_DEAD,
	FLEET_COUNT,
};

struct fleet_node {
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
	struct rev_vote votes[FLEET_DOMAINS];
};

struct fleet {
	struct fleet_node nodes[FLEET_NODES];
	apr_time_t now;
	uint64_t random;
	bool store_down;
	bool silent_watch;
	bool old_from_store;
	/* Offers an older value to whoever asks, or NULL. */
	const struct fleet_node *old_peer;
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

/* Fleet of fresh VMs under revision 5; what names the run in failures. */
void fleet_start(struct fleet *m, uint64_t seed, const char *what);

/* One step of the clock, or as many as the time takes. */
void fleet_step(struct fleet *m);
void fleet_run_for(struct fleet *m, apr_interval_time_t time);

void fleet_begin_fault(struct fleet *m, enum fleet_fault fault);
/* Ends all faults; dead VMs start anew. */
void fleet_end_faults(struct fleet *m);
/* Puts VMs into a group of their own; the store is in group 0. */
void fleet_set_group(struct fleet *m, int first, int count, int group);
void fleet_restart(const struct fleet *m, struct fleet_node *n);

/* The operator writes once, unless the store is down. */
void fleet_write_edit(struct fleet *m);

uint64_t fleet_draw(struct fleet *m);
bool fleet_fresh(const struct fleet *m, const struct fleet_node *n);
bool fleet_is_relay(struct fleet *m, const struct fleet_node *n);
bool fleet_runs(const struct fleet_node *n);

#endif
