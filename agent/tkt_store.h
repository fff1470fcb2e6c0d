/*
 * Claims of callers' own keys in the store.
 *
 * Keys hang on leases that are never renewed: each lease takes the keys of
 * one retention time and lives for two, so a key is remembered for at least
 * one. Belongs to one thread.
 */
#ifndef AGENT_TKT_STORE_H
#define AGENT_TKT_STORE_H

#include "agent/stc.h"
#include "policy/tkt_types.h"

struct tkt_store;

/* Borrows set and clk. Returns 0, PST_ERR_NOMEM or PST_ERR_HTTP. */
int tkt_store_create(struct tkt_store **out, const struct settings *set,
		     const struct clk *clk);

/* NULL is allowed. */
void tkt_store_destroy(struct tkt_store *store);

/* Makes a claim in progress end soon; any thread may call it. */
void tkt_store_cancel(struct tkt_store *store);

/* Claims key for owner, or finds out whose it is. Blocks. */
struct tkt_ruling tkt_store_claim(struct tkt_store *store, struct str key,
				  const struct tkt_owner *owner);

#endif
