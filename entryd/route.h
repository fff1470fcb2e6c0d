/*
 * The deciding thread: drives each request along its path (policy/pth.h).
 *
 * Every other thread hands it messages over one bounded ring. Requests are
 * limited to entry.max_requests, and the ring holds every message that so
 * many requests can cause, so only arrivals are ever refused.
 */
#ifndef ENTRYD_ROUTE_H
#define ENTRYD_ROUTE_H

#include "agent/quota.h"
#include "entryd/req.h"

struct rte;
struct ups;

/* What the thread acts through; all borrowed. */
struct rte_parts {
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
int rte_start(struct rte *rte, const struct rte_parts *parts);
void rte_stop(struct rte *rte);

/*
 * Hands over a new request; the thread takes its own reference. Returns 0,
 * PST_ERR_REQ_BUSY or PST_ERR_REQ_STOPPING; then nothing was done.
 */
int rte_arrive(struct rte *rte, struct req *req);

/* The callbacks of the agents; ctx is the struct rte. */
void rte_on_ticket(void *ctx, const struct tkt_answer *answer);
void rte_on_permit(void *ctx, const struct permit_answer *answer);

/* From the upstream thread: an answer's head is in place. */
void rte_head(struct rte *rte, struct req *req);

/* From the upstream thread: a try ended with this status, 0 if none. */
void rte_result(struct rte *rte, struct req *req, enum pth_result result,
		bool replayable, unsigned status);

/* From the caller's threads: the connection is gone. */
void rte_gone(struct rte *rte, struct req *req);

/* Has deadlines and lost callers looked at; called every RTE_TICK. */
#define RTE_TICK CLK_MS(10)
void rte_tick(struct rte *rte);

/* Refuses new requests from now on. */
void rte_close(struct rte *rte);

/* Requests that have arrived and not ended. */
size_t rte_in_progress(const struct rte *rte);

#endif
