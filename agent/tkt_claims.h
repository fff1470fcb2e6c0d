/*
 * Sends claims of callers' own keys to the store: one thread that takes them
 * from a bounded queue, within the write budget.
 */
#ifndef AGENT_TKT_CLAIMS_H
#define AGENT_TKT_CLAIMS_H

#include "common/clk.h"
#include "common/str.h"
#include "policy/tkt_types.h"

struct tkt_claims_conf {
	const struct clk *clk;
	/* Writes per second of all entry VMs together. */
	uint32_t writes_per_s;
	/* Returns the number of entry VMs, or 0 while it is not known. */
	uint32_t (*entry_count)(void *ctx);
	/* Claims the key for owner; may block. */
	struct tkt_ruling (*claim)(void *ctx, struct str key,
				   const struct tkt_owner *owner);
	void *claim_ctx;
	/* Reports a ruling; like the other two it runs on the thread. */
	void (*on_ruling)(void *ctx, uint64_t attempt,
			  const struct tkt_ruling *ruling);
	void *ctx;
};

struct tkt_claims;

/* Returns 0, PST_ERR_NOMEM or PST_ERR_THREAD. */
int tkt_claims_start(struct tkt_claims **out,
		     const struct tkt_claims_conf *conf);

/* Drops queued claims. NULL is allowed. */
void tkt_claims_stop(struct tkt_claims *claims);

/* Copies key. Returns 0, PST_ERR_FULL or PST_ERR_NOMEM. */
int tkt_claims_send(struct tkt_claims *claims, struct str key,
		    const struct tkt_owner *owner);

#endif
