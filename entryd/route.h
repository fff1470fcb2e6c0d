/*
 * The routing thread: runs the state machine of each request
 * (policy/reqstate.h).
 *
 * All other threads send it messages through one bounded queue. The number of
 * requests is limited to entry.max_requests, and the queue has room for every
 * message that so many requests can cause, so only new requests are refused.
 */
#ifndef ENTRYD_ROUTE_H
#define ENTRYD_ROUTE_H

#include "agent/quota.h"
#include "entryd/req.h"

struct rte;
struct ups;

/* Components that the thread uses; all borrowed. */
struct rte_deps {
	struct ctl_agent *ctl;
	struct quota_agent *quota;
	struct permit_agent *permit;
	struct tkt_agent *ticket;
	struct ups *ups;
};

/* Borrows set and clk. Returns 0, PST_ERR_NOMEM or PST_ERR_FULL. */
int rte_create(struct rte **out, const struct settings *set,
	       const struct clk *clk);
void rte_destroy(struct rte *rte);

/* Starts the thread. Returns 0 or PST_ERR_THREAD. */
int rte_start(struct rte *rte, const struct rte_deps *deps);
void rte_stop(struct rte *rte);

/*
 * Submits a new request; the thread takes its own reference. Returns 0, or
 * PST_ERR_REQ_BUSY or PST_ERR_REQ_STOPPING without any effect.
 */
int rte_submit(struct rte *rte, struct req *req);

/* Callbacks of the agents; ctx is the struct rte. */
void rte_on_ticket(void *ctx, const struct tkt_answer *answer);
void rte_on_permit(void *ctx, const struct permit_answer *answer);

/* For the upstream thread: the head of an answer is in the request. */
void rte_answer_head(struct rte *rte, struct req *req);

/* For the upstream thread: an attempt ended; status is 0 without an answer. */
void rte_attempt_ended(struct rte *rte, struct req *req,
		       enum reqstate_result result, bool replayable,
		       unsigned status);

/* For the HTTP server: the caller's connection is lost. */
void rte_caller_gone(struct rte *rte, struct req *req);

/* Makes the thread check deadlines and connections; called every RTE_TICK. */
#define RTE_TICK CLK_MS(10)
void rte_tick(struct rte *rte);

/* Makes rte_submit() refuse requests from now on. */
void rte_refuse_new(struct rte *rte);

/* Number of requests that have arrived and not ended. */
size_t rte_in_progress(const struct rte *rte);

#endif
