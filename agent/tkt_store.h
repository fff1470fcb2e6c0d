/*
 * Claims of callers' own keys in the store.
 *
 * Keys are attached to leases that are never renewed. A lease is used for the
 * keys of one retention time and has a time to live of two, so that a key is
 * kept for at least one. To be used by one thread only.
 */
#ifndef AGENT_TKT_STORE_H
#define AGENT_TKT_STORE_H

#include "agent/kvclient.h"
#include "policy/tkt_types.h"

struct tkt_store;

/* Borrows set and clk. Returns 0, PST_ERR_NOMEM or PST_ERR_HTTP. */
int tkt_store_create(struct tkt_store **out, const struct settings *set,
		     const struct clk *clk);

/* NULL is allowed. */
void tkt_store_destroy(struct tkt_store *store);

/* Cancels a claim in progress; any thread may call it. */
void tkt_store_cancel(struct tkt_store *store);

/* Claims key for owner, or returns the current owner. Blocks. */
struct tkt_ruling tkt_store_claim(struct tkt_store *store, struct str key,
				  const struct tkt_owner *owner);

#endif
