/*
 * What the deciding thread keeps, and the actions it takes for a request's
 * path. Only for entryd/route.c and entryd/route_act.c.
 */
#ifndef ENTRYD_ROUTE_ACT_H
#define ENTRYD_ROUTE_ACT_H

#include <apr_hash.h>
#include <apr_queue.h>

#include "common/ctr.h"
#include "entryd/route.h"

/* An ask's id is the request's number and the count of its asks. */
#define RTE_ASK_BITS 3
#define RTE_ASK_MASK ((1u << RTE_ASK_BITS) - 1)

struct rte {
	const struct settings *set;
	const struct clk *clk;
	struct rte_parts parts;
	apr_pool_t *pool;
	apr_queue_t *ring;
	apr_hash_t *by_number;
	struct req *active;
	pthread_t thread;
	atomic_size_t in_progress;
	atomic_bool closed;
	atomic_bool tick_pending;
	unsigned ticks;
	uint64_t random;
	/* Events that an action caused at once; follow the action's own step.
	 */
	struct pth_event deferred[PTH_MAX_ACTIONS];
	size_t deferred_count;
	struct ctr *refused[RANK_COUNT];
	struct ctr *answered[RANK_COUNT];
	struct hist *latency[RANK_COUNT];
	struct hist *permit_wait[RANK_COUNT];
};

/* Takes one action; events that it causes at once are deferred. */
void rte_act(struct rte *rte, struct req *req, const struct pth_action *action);

/* Answers the caller with a refusal for this error. */
void rte_refuse(struct rte *rte, struct req *req, bool not_run, int reason);

#endif
