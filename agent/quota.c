#include "agent/quota.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "agent/quota_limits.h"
#include "agent/quota_msg.h"
#include "agent/quota_split.h"
#include "common/err.h"
#include "common/evt.h"
#include "common/rpcc.h"
#include "policy/shr_map.h"

#define LOG_MODULE "quota"

/* Time between two steps of the splits. */
#define STEP_INTERVAL CLK_MS(25)

/* Least time between two draws when work was refused. */
#define HURRY_INTERVAL CLK_MS(25)

/* Peers asked for their splits at the start, and longest time for that. */
#define SPLIT_PEERS   3
#define SPLIT_TIMEOUT CLK_SEC(2)

/* Wait for a list that has this VM, after which any list will do. */
#define LIST_TIMEOUT CLK_SEC(10)

/* Requests, and windows of an answer, given at once if the rate allows. */
#define REQUEST_BURST 1
#define LINK_BURST    2

/* Least time between two lines about one limit. */
#define SHORT_LOG_INTERVAL CLK_SEC(1)

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

/* This thread's latest take that gave less than wanted. */
struct short_take {
	const struct quota_agent *agent;
	uint32_t from;
	uint32_t to;
	size_t got;
	apr_time_t at;
};

static _Thread_local struct short_take short_take;

static struct ql_limit *link_limit(struct quota_agent *agent,
				   const struct tbl *tbl, uint32_t from,
				   uint32_t to)
{
	const uint64_t id = shr_link_id(strbuf_str(&tbl->regions[from].name),
					strbuf_str(&tbl->regions[to].name));

	return ql_limit(agent->ql, id,
			LINK_BURST * agent->set->entry.link_window_bytes);
}

/* Limits that a VM of this region always keeps some part of. */
static void create_links(struct quota_agent *agent, const struct tbl *tbl)
{
	for (size_t i = 0; i < tbl->link_count; i++) {
		const struct str from =
			strbuf_str(&tbl->regions[tbl->links[i].from].name);
		const struct str to =
			strbuf_str(&tbl->regions[tbl->links[i].to].name);

		if (str_eq(from, agent->set->vm.region) ||
		    str_eq(to, agent->set->vm.region))
			link_limit(agent, tbl, tbl->links[i].from,
				   tbl->links[i].to);
	}
}

static void create_intakes(struct quota_agent *agent, const struct tbl *tbl,
			   const struct tbl_row *row)
{
	for (size_t i = 0; i < tbl->region_count; i++) {
		const struct str region = strbuf_str(&tbl->regions[i].name);

		if (row->region_limits[i] == UINT32_MAX ||
		    str_eq(region, agent->set->vm.region))
			continue;
		ql_limit(agent->ql,
			 shr_intake_id(strbuf_str(&tbl->services[row->service]),
				       row->rank, region),
			 REQUEST_BURST);
	}
}

/* Rows whose limits are asked for before their first use. */
#define EAGER_ROWS 64

static void follow_table(struct quota_agent *agent, struct tbl *tbl)
{
	if (agent->seen == tbl)
		return;
	if (agent->seen)
		tbl_put(agent->seen);
	tbl_get(tbl);
	agent->seen = tbl;
	create_links(agent, tbl);
	for (size_t i = 0;
	     i < tbl->service_count * RANK_COUNT && i < EAGER_ROWS; i++)
		create_intakes(agent, tbl, &tbl->rows[i]);
}

/*
 * A split starts at its goal, so the first list to work it out from must be
 * a whole one: it has this VM.
 */
static bool may_start(const struct quota_agent *agent,
		      const struct ctl_view *view, apr_time_t now)
{
	return agent->splits_known || vml_find(view->vml, agent->set->vm.id) ||
	       now - agent->started_at > LIST_TIMEOUT;
}

/* Returns whether there is a view to go by. */
static bool follow_view(struct quota_agent *agent)
{
	struct ctl_view *view = ctl_agent_view(agent->ctl);
	const apr_time_t now = clk_now(agent->clk);
	bool started;

	if (!view)
		return false;
	started = may_start(agent, view, now);
	pthread_mutex_lock(&agent->lock);
	if (started)
		qs_set_view(agent->qs, now, view->tbl, view->vml);
	follow_table(agent, view->tbl);
	if (agent->splits_known)
		qs_step(agent->qs, now);
	pthread_mutex_unlock(&agent->lock);
	ctl_view_put(view);
	return started;
}

/* Asks one peer's pst-controld; true when it knew. */
static bool fetch_splits(struct quota_agent *agent, const struct vm *vm)
{
	struct shr_x_splits splits = {0};
	struct rpcc *rpc = NULL;
	struct net_addr addr;
	bool known = false;

	if (net_addr_make(&addr, strbuf_str(&vm->address),
			  (uint16_t)agent->set->control.rpc_port) ||
	    rpcc_create(&rpc, agent->set, agent->clk, strbuf_str(&vm->region),
			&addr, SHR_X_PROGRAM, SHR_X_VERSION))
		return false;
	if (!rpcc_call(rpc, SHR_X_SPLITS_GET, qm_xdr_none, NULL,
		       (xdrproc_t)xdr_shr_x_splits, &splits,
		       CLK_MS(agent->set->net.rpc_timeout_ms))) {
		known = splits.known;
		pthread_mutex_lock(&agent->lock);
		if (known)
			qm_splits_adopt(agent->qs, clk_now(agent->clk),
					strbuf_str(&vm->id), &splits);
		pthread_mutex_unlock(&agent->lock);
		xdr_free((xdrproc_t)xdr_shr_x_splits, &splits);
	}
	rpcc_destroy(rpc);
	return known;
}

static bool may_know_splits(const struct quota_agent *agent,
			    const struct vm *vm)
{
	return vm->kind == VM_ENTRY && vm->state == VM_LIVE &&
	       str_eq(strbuf_str(&vm->region), agent->set->vm.region) &&
	       !str_eq(strbuf_str(&vm->id), agent->set->vm.id);
}

/* Peers of the own region: splits differ between regions. */
static void learn_splits(struct quota_agent *agent)
{
	struct ctl_view *view = ctl_agent_view(agent->ctl);
	const apr_time_t began = clk_now(agent->clk);
	size_t asked = 0;
	size_t first;

	if (!view)
		return;
	first = (size_t)agent->incarnation;
	for (size_t i = 0; i < view->vml->count && asked < SPLIT_PEERS; i++) {
		const size_t at = (first + i) % view->vml->count;
		const struct vm *vm = &view->vml->vms[at];

		if (clk_now(agent->clk) - began > SPLIT_TIMEOUT)
			break;
		if (!may_know_splits(agent, vm))
			continue;
		asked++;
		if (fetch_splits(agent, vm))
			break;
	}
	ctl_view_put(view);
	pthread_mutex_lock(&agent->lock);
	agent->splits_known = true;
	pthread_mutex_unlock(&agent->lock);
}

static void note_validity(struct quota_agent *agent, size_t valid, size_t count)
{
	const bool lapsed = count && !valid;

	if (valid)
		agent->had_grants = true;
	/* Before the first grant nothing has lapsed. */
	if (lapsed == agent->lapsed || !agent->had_grants)
		return;
	agent->lapsed = lapsed;
	if (lapsed)
		evt_log(QUOTA_LAPSED, "limits=%zu", count);
	else
		evt_log(QUOTA_RESTORED, "limits=%zu", valid);
}

static void put_splits(struct quota_agent *agent)
{
	struct shr_x_splits splits;
	int err;

	pthread_mutex_lock(&agent->lock);
	err = qm_splits_make(&splits, agent->qs);
	pthread_mutex_unlock(&agent->lock);
	if (err)
		return;
	rpcc_send(agent->rpc, SHR_X_SPLITS_PUT, (xdrproc_t)xdr_shr_x_splits,
		  &splits);
	xdr_free((xdrproc_t)xdr_shr_x_splits, &splits);
}

static void take_grants(struct quota_agent *agent, apr_time_t sent_at,
			const struct shr_x_lent *lent, size_t count)
{
	size_t valid;
	size_t limits;

	count = qm_grants(lent, agent->grants, count);
	pthread_mutex_lock(&agent->lock);
	ql_apply(agent->ql, sent_at, agent->asks, agent->grants, count);
	valid = ql_valid(agent->ql, clk_now(agent->clk));
	limits = ql_count(agent->ql);
	pthread_mutex_unlock(&agent->lock);
	note_validity(agent, valid, limits);
}

static void draw(struct quota_agent *agent)
{
	struct shr_x_lent lent = {0};
	struct shr_x_borrow request;
	apr_time_t sent_at;
	size_t count;

	pthread_mutex_lock(&agent->lock);
	agent->hurry = false;
	count = ql_plan(agent->ql, clk_now(agent->clk), agent->asks);
	pthread_mutex_unlock(&agent->lock);
	if (!count ||
	    qm_borrow_make(&request, agent->set->vm.id, agent->incarnation,
			   SHR_CHILD, STR_LIT(""), agent->asks, count))
		return;
	sent_at = clk_now(agent->clk);
	if (!rpcc_call(agent->rpc, SHR_X_BORROW, (xdrproc_t)xdr_shr_x_borrow,
		       &request, (xdrproc_t)xdr_shr_x_lent, &lent,
		       CLK_MS(agent->set->net.rpc_timeout_ms))) {
		take_grants(agent, sent_at, &lent, count);
		xdr_free((xdrproc_t)xdr_shr_x_lent, &lent);
	} else {
		pthread_mutex_lock(&agent->lock);
		count = ql_valid(agent->ql, clk_now(agent->clk));
		pthread_mutex_unlock(&agent->lock);
		note_validity(agent, count, 1);
	}
	xdr_free((xdrproc_t)xdr_shr_x_borrow, &request);
}

static void draw_when_due(struct quota_agent *agent)
{
	const apr_time_t now = clk_now(agent->clk);
	bool hurry;

	pthread_mutex_lock(&agent->lock);
	hurry = agent->hurry;
	pthread_mutex_unlock(&agent->lock);
	if (now < agent->draw_at &&
	    !(hurry && now >= agent->draw_at -
				       CLK_MS(agent->set->share.interval_ms) +
				       HURRY_INTERVAL))
		return;
	if (!hurry || now >= agent->draw_at)
		put_splits(agent);
	agent->draw_at = now + CLK_MS(agent->set->share.interval_ms);
	draw(agent);
}

/* Waits for the next step or an early draw; false when stopping. */
static bool wait_step(struct quota_agent *agent)
{
	struct timespec until;
	bool stopping;

	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_nsec += STEP_INTERVAL * 1000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000;
	}
	pthread_mutex_lock(&agent->lock);
	if (!agent->stopping)
		pthread_cond_timedwait(&agent->wake, &agent->lock, &until);
	stopping = agent->stopping;
	pthread_mutex_unlock(&agent->lock);
	return !stopping;
}

static void *run(void *arg)
{
	struct quota_agent *agent = arg;

	while (wait_step(agent)) {
		if (follow_view(agent) && !agent->splits_known)
			learn_splits(agent);
		draw_when_due(agent);
	}
	return NULL;
}

static int create_parts(struct quota_agent *agent)
{
	pthread_condattr_t attr;
	struct net_addr addr;
	int err = net_addr_make(&addr, agent->set->vm.address,
				(uint16_t)agent->set->control.rpc_port);

	pthread_mutex_init(&agent->lock, NULL);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&agent->wake, &attr);
	pthread_condattr_destroy(&attr);
	if (!err)
		err = rpcc_create(&agent->rpc, agent->set, agent->clk,
				  agent->set->vm.region, &addr, SHR_X_PROGRAM,
				  SHR_X_VERSION);
	/* What a former process of this VM took still counts for a window. */
	if (!err)
		err = ql_create(&agent->ql, agent->started_at + BKT_WINDOW);
	if (!err)
		err = qs_create(&agent->qs, agent->set->vm.region);
	return err;
}

static void free_agent(struct quota_agent *agent)
{
	rpcc_destroy(agent->rpc);
	ql_destroy(agent->ql);
	qs_destroy(agent->qs);
	if (agent->seen)
		tbl_put(agent->seen);
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
	agent->incarnation = qm_incarnation();
	agent->started_at = clk_now(clk);
	err = create_parts(agent);
	if (!err && pthread_create(&agent->thread, NULL, run, agent))
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

static void note_short(struct quota_agent *agent, struct ql_limit *limit,
		       apr_time_t now, const char *kind, const char *name,
		       enum rank rank, uint64_t want)
{
	agent->hurry = true;
	if (limit->logged_at && limit->logged_at + SHORT_LOG_INTERVAL > now)
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
	const struct tbl *tbl = agent->seen;
	const apr_time_t now = clk_now(agent->clk);
	struct ql_limit *limit;
	size_t got;

	if (!tbl || from >= tbl->region_count || to >= tbl->region_count)
		return 0;
	if (!find_link(tbl, from, to))
		return want;
	limit = link_limit(agent, tbl, from, to);
	if (!limit)
		return 0;
	got = ql_take(agent->ql, limit, now, rank, want);
	if (!got)
		note_short(agent, limit, now, "link", tbl->regions[to].name.ptr,
			   rank, want);
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
	short_take = (struct short_take){
		.agent = got < want ? agent : NULL,
		.from = from,
		.to = to,
		.got = got,
		.at = clk_now(agent->clk),
	};
	pthread_mutex_unlock(&agent->lock);
	return got;
}

void quota_return_taken(struct quota_agent *agent, uint32_t from, uint32_t to,
			size_t bytes, apr_time_t taken_at)
{
	const struct tbl *tbl;

	pthread_mutex_lock(&agent->lock);
	tbl = agent->seen;
	if (from != to && tbl && from < tbl->region_count &&
	    to < tbl->region_count && find_link(tbl, from, to)) {
		struct ql_limit *limit = link_limit(agent, tbl, from, to);

		if (limit)
			ql_return(limit, clk_now(agent->clk), taken_at, bytes);
	}
	pthread_mutex_unlock(&agent->lock);
}

void quota_return_bytes(struct quota_agent *agent, uint32_t from, uint32_t to,
			size_t bytes)
{
	const struct short_take take = short_take;

	if (take.agent != agent || take.from != from || take.to != to)
		return;
	short_take.agent = NULL;
	quota_return_taken(agent, from, to, bytes < take.got ? bytes : take.got,
			   take.at);
}

static bool take_intake(struct quota_agent *agent, const struct tbl *tbl,
			const struct tbl_row *row, uint32_t region)
{
	const struct str service = strbuf_str(&tbl->services[row->service]);
	const struct str name = strbuf_str(&tbl->regions[region].name);
	const apr_time_t now = clk_now(agent->clk);
	struct ql_limit *limit;

	if (str_eq(name, agent->set->vm.region) ||
	    row->region_limits[region] == UINT32_MAX)
		return true;
	limit = ql_limit(agent->ql, shr_intake_id(service, row->rank, name),
			 REQUEST_BURST);
	if (!limit)
		return false;
	if (ql_take(agent->ql, limit, now, RANK_URGENT, 1))
		return true;
	note_short(agent, limit, now, "region", name.ptr, row->rank, 1);
	return false;
}

bool quota_take_request(struct quota_agent *agent, const struct tbl_row *row,
			uint32_t region)
{
	bool taken = false;

	pthread_mutex_lock(&agent->lock);
	/* A row of another table than the newest is judged by its cells. */
	if (agent->seen && region < agent->seen->region_count &&
	    row->service < agent->seen->service_count)
		taken = take_intake(agent, agent->seen, row, region);
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
		domain = qs_pick(agent->qs, clk_now(agent->clk), tbl, row,
				 random, skip);
	pthread_mutex_unlock(&agent->lock);
	return domain;
}
