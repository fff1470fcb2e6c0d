/*
 * State of the routing thread, and the actions that a request's state machine
 * asks for. Private to entryd/router.c and entryd/router_act.c.
 */
#ifndef ENTRYD_ROUTER_ACT_H
#define ENTRYD_ROUTER_ACT_H

#include <apr_hash.h>
#include <apr_queue.h>

#include "common/ctr.h"
#include "entryd/router.h"

/*
 * Id of a request for a permit: the number of the caller's request, with the
 * count of its requests for permits in the low bits.
 */
#define ROUTER_ASK_BITS 3
#define ROUTER_ASK_MASK ((1u << ROUTER_ASK_BITS) - 1)

struct router {
	const struct settings *set;
	const struct clk *clk;
	struct router_deps deps;
	apr_pool_t *pool;
	apr_queue_t *messages;
	apr_hash_t *by_number;
	struct req *active;
	pthread_t thread;
	atomic_size_t in_progress;
	atomic_bool closed;
	atomic_bool tick_pending;
	unsigned ticks;
	uint64_t random;
	/*
	 * Events that actions caused immediately; handled after the step that
	 * asked for the actions.
	 */
	struct reqstate_event deferred[REQSTATE_MAX_ACTIONS];
	size_t deferred_count;
	struct ctr *refused[RANK_COUNT];
	struct ctr *answered[RANK_COUNT];
	struct hist *latency[RANK_COUNT];
	struct hist *permit_wait[RANK_COUNT];
};

/* Performs one action; events that it causes immediately are deferred. */
void router_act(struct router *router, struct req *req,
		const struct reqstate_action *action);

/* Answers the caller with a refusal for this error. */
void router_refuse(struct router *router, struct req *req, bool not_run,
		   int reason);

#endif
