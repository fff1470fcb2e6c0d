/*
 * Claims of own keys on their way to the store: one thread that takes them
 * from a bounded ring, within the write budget.
 */
#ifndef AGENT_TKT_CLAIMS_H
#define AGENT_TKT_CLAIMS_H

#include "common/clk.h"
#include "common/str.h"
#include "policy/tkt_types.h"

struct tkt_claims_conf {
	const struct clk *clk;
	/* Of all entry VMs together. */
	uint32_t writes_per_s;
	/* How many entry VMs share them; 0 while not known. */
	uint32_t (*sharers)(void *ctx);
	/* Claims the key for owner; may block. */
	struct tkt_ruling (*claim)(void *ctx, struct str key,
				   const struct tkt_owner *owner);
	void *claim_ctx;
	/* All three run on the thread. */
	void (*ruled)(void *ctx, uint64_t attempt,
		      const struct tkt_ruling *ruling);
	void *ctx;
};

struct tkt_claims;

/* Returns 0, PST_ERR_NOMEM or PST_ERR_THREAD. */
int tkt_claims_start(struct tkt_claims **out,
		     const struct tkt_claims_conf *conf);

/* Drops what waits. NULL is allowed. */
void tkt_claims_stop(struct tkt_claims *claims);

/* Copies key. Returns 0, PST_ERR_FULL or PST_ERR_NOMEM. */
int tkt_claims_send(struct tkt_claims *claims, struct str key,
		    const struct tkt_owner *owner);

#endif
