#include "agent/quota.h"

#include <stdlib.h>

#include "agent/quota_msg.h"
#include "agent/quota_state.h"
#include "common/condvar.h"
#include "common/err.h"
#include "common/evt.h"
#include "policy/lending_map.h"

#define LOG_MODULE "quota"

/* Least burst of a link, in windows of an answer's flow control. */
#define LINK_BURST 2

/* Least time between two log lines about one limit. */
#define SHORTAGE_LOG_INTERVAL CLK_SEC(1)

struct limiter_limit *quota_link_limit(struct quota_agent *agent,
				       const struct tbl *tbl, uint32_t from,
				       uint32_t to)
{
	const uint64_t id =
		lending_link_id(strbuf_str(&tbl->regions[from].name),
				strbuf_str(&tbl->regions[to].name));

	return limiter_limit(agent->limiter, id,
			     LINK_BURST * agent->set->entry.link_window_bytes);
}

static int init_agent(struct quota_agent *agent)
{
	struct net_addr addr;
	int err = net_addr_make(&addr, agent->set->vm.address,
				(uint16_t)agent->set->control.rpc_port);

	pthread_mutex_init(&agent->lock, NULL);
	if (!err)
		err = condvar_init(&agent->wake);
	if (!err)
		err = rpcc_create(&agent->rpc, agent->set, agent->clk,
				  agent->set->vm.region, &addr, SHR_X_PROGRAM,
				  SHR_X_VERSION);
	/* What this VM's previous process took still counts for a window. */
	if (!err)
		err = limiter_create(&agent->limiter,
				     agent->started_at + RATELIMIT_WINDOW);
	if (!err)
		err = splitter_create(&agent->splitter, agent->set->vm.region);
	if (!err)
		err = splitter_set_domain(agent->splitter,
					  agent->set->vm.failure_domain);
	return err;
}

static void free_agent(struct quota_agent *agent)
{
	rpcc_destroy(agent->rpc);
	limiter_destroy(agent->limiter);
	splitter_destroy(agent->splitter);
	if (agent->tbl)
		tbl_put(agent->tbl);
	pthread_cond_destroy(&agent->wake);
	pthread_mutex_destroy(&agent->lock);
	free(agent);
}

int quota_agent_start(struct quota_agent **out, const struct settings *set,
		      const struct clk *clk, struct ctl_agent *ctl)
{
	struct quota_agent *agent = calloc(1, sizeof(*agent));
	int err;

	if (!agent)
		return PST_ERR_NOMEM;
	agent->set = set;
	agent->clk = clk;
	agent->ctl = ctl;
	agent->incarnation = quota_msg_incarnation();
	agent->started_at = clk_now(clk);
	err = init_agent(agent);
	if (!err &&
	    pthread_create(&agent->thread, NULL, quota_thread_run, agent))
		err = PST_ERR_THREAD;
	if (err) {
		free_agent(agent);
		return err;
	}
	*out = agent;
	return 0;
}

void quota_agent_stop(struct quota_agent *agent)
{
	pthread_mutex_lock(&agent->lock);
	agent->stopping = true;
	pthread_cond_signal(&agent->wake);
	pthread_mutex_unlock(&agent->lock);
	pthread_join(agent->thread, NULL);
	free_agent(agent);
}

static void report_shortage(struct quota_agent *agent,
			    struct limiter_limit *limit, apr_time_t now,
			    const char *kind, const char *name, enum rank rank,
			    uint64_t want)
{
	agent->borrow_early = true;
	if (limit->logged_at && limit->logged_at + SHORTAGE_LOG_INTERVAL > now)
		return;
	limit->logged_at = now;
	evt_log(QUOTA_SHORT, "limit=%s name=%s rank=%s want=%lu rate=%lu", kind,
		name, rank_name(rank), (unsigned long)want,
		now < limit->expires ? (unsigned long)limit->rate : 0);
}

static const struct tbl_link *find_link(const struct tbl *tbl, uint32_t from,
					uint32_t to)
{
	for (size_t i = 0; i < tbl->link_count; i++) {
		if (tbl->links[i].from == from && tbl->links[i].to == to)
			return &tbl->links[i];
	}
	return NULL;
}

static size_t take_link(struct quota_agent *agent, uint32_t from, uint32_t to,
			enum rank rank, size_t want)
{
	const struct tbl *tbl = agent->tbl;
	const apr_time_t now = clk_now(agent->clk);
	struct limiter_limit *limit;
	size_t got;

	if (!tbl || from >= tbl->region_count || to >= tbl->region_count)
		return 0;
	if (!find_link(tbl, from, to))
		return want;
	limit = quota_link_limit(agent, tbl, from, to);
	if (!limit)
		return 0;
	got = limiter_take(agent->limiter, limit, now, rank, want);
	if (!got)
		report_shortage(agent, limit, now, "link",
				tbl->regions[to].name.ptr, rank, want);
	return got;
}

size_t quota_take_bytes(struct quota_agent *agent, uint32_t from, uint32_t to,
			enum rank rank, size_t want)
{
	size_t got;

	if (from == to)
		return want;
	pthread_mutex_lock(&agent->lock);
	got = take_link(agent, from, to, rank, want);
	pthread_mutex_unlock(&agent->lock);
	return got;
}

void quota_return_taken(struct quota_agent *agent, uint32_t from, uint32_t to,
			size_t bytes, apr_time_t taken_at)
{
	const struct tbl *tbl;

	pthread_mutex_lock(&agent->lock);
	tbl = agent->tbl;
	if (from != to && tbl && from < tbl->region_count &&
	    to < tbl->region_count && find_link(tbl, from, to)) {
		struct limiter_limit *limit =
			quota_link_limit(agent, tbl, from, to);

		if (limit)
			limiter_return(limit, clk_now(agent->clk), taken_at,
				       bytes);
	}
	pthread_mutex_unlock(&agent->lock);
}

static bool take_region_limit(struct quota_agent *agent, const struct tbl *tbl,
			      const struct tbl_row *row, uint32_t region)
{
	const struct str service = strbuf_str(&tbl->services[row->service]);
	const struct str name = strbuf_str(&tbl->regions[region].name);
	const apr_time_t now = clk_now(agent->clk);
	struct limiter_limit *limit;

	if (str_eq(name, agent->set->vm.region) ||
	    row->region_limits[region] == UINT32_MAX)
		return true;
	limit = limiter_limit(agent->limiter,
			      lending_intake_id(service, row->rank, name),
			      QUOTA_REQUEST_BURST);
	if (!limit)
		return false;
	if (limiter_take(agent->limiter, limit, now, RANK_URGENT, 1))
		return true;
	report_shortage(agent, limit, now, "region", name.ptr, row->rank, 1);
	return false;
}

bool quota_take_request(struct quota_agent *agent, const struct tbl_row *row,
			uint32_t region)
{
	bool taken = false;

	pthread_mutex_lock(&agent->lock);
	/* The row may be of another table; its own limits apply. */
	if (agent->tbl && region < agent->tbl->region_count &&
	    row->service < agent->tbl->service_count)
		taken = take_region_limit(agent, agent->tbl, row, region);
	pthread_mutex_unlock(&agent->lock);
	return taken;
}

int quota_pick_domain(struct quota_agent *agent, const struct tbl *tbl,
		      const struct tbl_row *row, uint64_t random,
		      const bool *skip)
{
	int domain = -1;

	pthread_mutex_lock(&agent->lock);
	if (agent->splits_known)
		domain = splitter_pick(agent->splitter, clk_now(agent->clk),
				       tbl, row, random, skip);
	pthread_mutex_unlock(&agent->lock);
	return domain;
}
