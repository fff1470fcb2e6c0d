/*
 * The at-most-once protocol in an entry process, as a client and a server.
 *
 * Issues tickets, admits requests that carry a ticket or a caller's own key,
 * and answers the questions of other processes. Its own threads do what
 * blocks; all functions but start and stop are thread-safe and never block.
 */
#ifndef AGENT_TICKET_H
#define AGENT_TICKET_H

#include "common/clk.h"
#include "common/settings.h"
#include "policy/tkt_types.h"
#include "policy/vmlist.h"

/* Access to the VM list and to the store; see agent/tkt_bind.h. */
struct tkt_env {
	/* Returns a new reference, or NULL while no list is known. */
	struct vmlist *(*list)(void *ctx);
	/* Claims an own key for owner; runs on one thread and may block. */
	struct tkt_ruling (*claim)(void *ctx, struct str key,
				   const struct tkt_owner *owner);
	/* Cancels a claim in progress, and all later ones; may be NULL. */
	void (*cancel)(void *ctx);
	void *ctx;
};

struct tkt_agent;

/*
 * Registers the RPC programs (call it before rpcs_start()) and starts the
 * threads. on_answer runs on one of them and must not block; each admission is
 * answered once. Borrows set and clk, copies env.
 */
int tkt_agent_start(struct tkt_agent **out, const struct settings *set,
		    const struct clk *clk, const struct tkt_env *env,
		    void (*on_answer)(void *ctx,
				      const struct tkt_answer *answer),
		    void *ctx);

/* Call after rpcs_stop(), whose handlers use the agent. NULL is allowed. */
void tkt_agent_stop(struct tkt_agent *agent);

/*
 * Writes up to count new tickets, NUL-terminated. Returns how many, which is 0
 * while no witness can be reached.
 */
size_t tkt_agent_issue(struct tkt_agent *agent, size_t count,
		       char out[][TKT_KEY_MAX + 1]);

/*
 * Starts the decision whether the request may run; the answer comes by the
 * deadline. Returns 0, or PST_ERR_FULL. In that case this process did not run
 * the request, but whether another one did under the same key is unknown, as
 * for any refusal of a keyed request before its verdict.
 */
int tkt_agent_admit(struct tkt_agent *agent, uint64_t request_id,
		    struct str key, apr_time_t deadline);

/* Reports how a request with verdict TKT_RUN ended; call once for each. */
void tkt_agent_end(struct tkt_agent *agent, struct str key, enum tkt_end end);

/*
 * Begins a planned stop: returns unused tickets, requests unconfirmed seals
 * once more and hands over the witness records.
 */
void tkt_agent_drain(struct tkt_agent *agent);

#endif
