/* What the quota agent's duty and its callers share; private to it. */
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
	bool hurry;
	struct ql *ql;
	struct qs *qs;
	bool splits_known;
	struct tbl *seen;
	/* The thread's own. */
	struct rpcc *rpc;
	apr_time_t draw_at;
	apr_time_t started_at;
	bool lapsed;
	bool had_grants;
	struct shr_ask asks[SHR_ASKS_MAX];
	struct shr_grant grants[SHR_ASKS_MAX];
};

/* The link's limit, created if needed; NULL when there are too many. Locked. */
struct ql_limit *quota_link_limit(struct quota_agent *agent,
				  const struct tbl *tbl, uint32_t from,
				  uint32_t to);

/* Requests given at once where the rate allows it. */
#define QUOTA_REQUEST_BURST 1

/* Duty: follows the view, moves the splits and draws. arg: the agent. */
void *quota_duty_run(void *arg);

#endif
