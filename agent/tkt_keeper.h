/*
 * Keeps the home supplied with blocks: one thread that chooses a witness,
 * asks it for blocks, leaves it when it fails, and hands unused tickets back.
 */
#ifndef AGENT_TKT_KEEPER_H
#define AGENT_TKT_KEEPER_H

#include "common/clk.h"
#include "common/settings.h"
#include "policy/tkt_home.h"
#include "policy/vml.h"

struct tkt_keeper_conf {
	const struct settings *set;
	const struct clk *clk;
	uint64_t vm;
	uint64_t incarnation;
	/* Returns a new reference, or NULL while no list is known. */
	struct vml *(*list)(void *ctx);
	/* Runs once on the thread, after a drain has handed tickets back. */
	void (*drained)(void *ctx);
	void *ctx;
};

struct tkt_keeper;

/* Returns 0, PST_ERR_NOMEM or PST_ERR_THREAD. */
int tkt_keeper_start(struct tkt_keeper **out,
		     const struct tkt_keeper_conf *conf);

/* NULL is allowed. */
void tkt_keeper_stop(struct tkt_keeper *keeper);

/* Issues one ticket; thread-safe, never blocks. */
bool tkt_keeper_issue(struct tkt_keeper *keeper, struct tkt_id *out);

/* Moves to another witness: vm failed with err, or leaves. Thread-safe. */
void tkt_keeper_avoid(struct tkt_keeper *keeper, uint64_t vm, int err);

/* Hands every unused ticket back and gets no more. Returns how many. */
uint32_t tkt_keeper_drain(struct tkt_keeper *keeper);

#endif
