/*
 * Server side of the protocol: answers other entry processes as the witness of
 * their tickets and as the process that they ask for an outcome. The handlers
 * run on the RPC server's thread and hold locks only briefly.
 */
#ifndef AGENT_TKT_SERVE_H
#define AGENT_TKT_SERVE_H

#include <pthread.h>
#include <stdatomic.h>

#include "common/clk.h"
#include "common/rpcs.h"
#include "policy/tkt_claimant.h"
#include "policy/tkt_wset.h"

struct tkt_serve {
	const struct clk *clk;
	uint64_t incarnation;
	apr_interval_time_t ttl;
	/* Tells homes to choose another witness. */
	atomic_bool leaving;
	/* Guards witnesses. */
	pthread_mutex_t lock;
	struct tkt_wset *witnesses;
	/* Returns the outcome of this process's own attempts; thread-safe. */
	enum tkt_outcome (*query)(void *ctx, struct str key, uint64_t attempt);
	void *ctx;
	struct rpcs_program home_program;
	struct rpcs_program witness_program;
};

/*
 * Registers both programs; s must live as long as the RPC server. The members
 * before home_program are filled in by the caller. Returns 0, PST_ERR_FULL or
 * PST_ERR_EXISTS.
 */
int tkt_serve_register(struct tkt_serve *s);

#endif
