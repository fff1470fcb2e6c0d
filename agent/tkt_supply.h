/*
 * Supplies the home with blocks: one thread that chooses a witness, requests
 * blocks from it, switches to another one when it fails, and returns unused
 * tickets.
 */
#ifndef AGENT_TKT_SUPPLY_H
#define AGENT_TKT_SUPPLY_H

#include "common/clk.h"
#include "common/settings.h"
#include "policy/tkt_home.h"
#include "policy/vmlist.h"

struct tkt_supply_conf {
	const struct settings *set;
	const struct clk *clk;
	uint64_t vm;
	uint64_t incarnation;
	/* Returns a new reference, or NULL while no list is known. */
	struct vmlist *(*list)(void *ctx);
	/* Called once on the thread, after a drain has returned the tickets. */
	void (*drained)(void *ctx);
	void *ctx;
};

struct tkt_supply;

/* Returns 0, PST_ERR_NOMEM or PST_ERR_THREAD. */
int tkt_supply_start(struct tkt_supply **out,
		     const struct tkt_supply_conf *conf);

/* NULL is allowed. */
void tkt_supply_stop(struct tkt_supply *supply);

/* Issues one ticket; thread-safe, never blocks. */
bool tkt_supply_issue(struct tkt_supply *supply, struct tkt_id *out);

/*
 * Stops using vm as a witness for a while, because it failed with err or is
 * leaving. Thread-safe.
 */
void tkt_supply_avoid(struct tkt_supply *supply, uint64_t vm, int err);

/*
 * Stops issuing tickets and returns the unused ones to their witnesses, on the
 * thread. Returns how many. Thread-safe.
 */
uint32_t tkt_supply_drain(struct tkt_supply *supply);

#endif
