/* State shared by the quota agent's thread and its callers. Private to them. */
#ifndef AGENT_QUOTA_STATE_H
#define AGENT_QUOTA_STATE_H

#include <pthread.h>

#include "agent/ctl.h"
#include "agent/quota_limits.h"
#include "agent/quota_split.h"
#include "common/rpcc.h"

struct quota_agent {
	const struct settings *set;
	const struct clk *clk;
	struct ctl_agent *ctl;
	uint64_t incarnation;
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t wake;
	/* Guarded by lock. */
	bool stopping;
	/* Some work was refused: borrow before borrow_at. */
	bool borrow_early;
	struct limiter *limiter;
	struct splitter *splitter;
	/* Peers were asked for their splits; no domain is picked before. */
	bool splits_known;
	/* The newest table; NULL before the first view. */
	struct tbl *tbl;
	/* Used by the thread only. */
	struct rpcc *rpc;
	apr_time_t borrow_at;
	apr_time_t started_at;
	bool grants_lapsed;
	bool had_grants;
	struct lending_ask asks[LENDING_ASKS_MAX];
	struct lending_grant grants[LENDING_ASKS_MAX];
};

/*
 * Returns the link's limit, created if needed, or NULL when there are too many
 * or out of memory. The caller holds the lock.
 */
struct limiter_limit *quota_link_limit(struct quota_agent *agent,
				       const struct tbl *tbl, uint32_t from,
				       uint32_t to);

/* Least burst of a region limit, in requests. */
#define QUOTA_REQUEST_BURST 1

/* The thread: follows the view, moves the splits, borrows. arg: the agent. */
void *quota_thread_run(void *arg);

#endif
