/*
 * The routing thread: runs the state machine of each request
 * (policy/reqstate.h).
 *
 * All other threads send it messages through one bounded queue. The number of
 * requests is limited to entry.max_requests, and the queue has room for every
 * message that so many requests can cause, so only new requests are refused.
 */
#ifndef ENTRYD_ROUTER_H
#define ENTRYD_ROUTER_H

#include "agent/quota.h"
#include "entryd/req.h"

struct router;
struct forwarder;

/* Components that the thread uses; all borrowed. */
struct router_deps {
	struct ctl_agent *ctl;
	struct quota_agent *quota;
	struct permit_agent *permit;
	struct tkt_agent *ticket;
	struct forwarder *forwarder;
};

/* Borrows set and clk. Returns 0, PST_ERR_NOMEM or PST_ERR_FULL. */
int router_create(struct router **out, const struct settings *set,
		  const struct clk *clk);
void router_destroy(struct router *router);

/* Starts the thread. Returns 0 or PST_ERR_THREAD. */
int router_start(struct router *router, const struct router_deps *deps);
void router_stop(struct router *router);

/*
 * Submits a new request; the thread takes its own reference. Returns 0, or
 * PST_ERR_REQ_BUSY or PST_ERR_REQ_STOPPING without any effect.
 */
int router_submit(struct router *router, struct req *req);

/* Callbacks of the agents; ctx is the struct router. */
void router_on_ticket(void *ctx, const struct tkt_answer *answer);
void router_on_permit(void *ctx, const struct permit_answer *answer);

/* For the upstream thread: the head of an answer is in the request. */
void router_answer_head(struct router *router, struct req *req);

/* For the upstream thread: an attempt ended; status is 0 without an answer. */
void router_attempt_ended(struct router *router, struct req *req,
			  enum reqstate_result result, bool replayable,
			  unsigned status);

/* For the HTTP server: the caller's connection is lost. */
void router_caller_gone(struct router *router, struct req *req);

/* Makes the thread check deadlines and connections; called every ROUTER_TICK.
 */
#define ROUTER_TICK CLK_MS(10)
void router_tick(struct router *router);

/* Makes router_submit() refuse requests from now on. */
void router_refuse_new(struct router *router);

/* Number of requests that have arrived and not ended. */
size_t router_in_progress(const struct router *router);

#endif
