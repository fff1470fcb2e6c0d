#include "agent/quota_state.h"

#include <stdlib.h>

#include "agent/quota_msg.h"
#include "common/condvar.h"
#include "common/err.h"
#include "common/evt.h"
#include "policy/lending_map.h"

#define LOG_MODULE "quota"

/* Time between two steps of the splits. */
#define STEP_INTERVAL CLK_MS(25)

/* Least time between two borrow requests when work was refused. */
#define EARLY_BORROW_INTERVAL CLK_MS(25)

/*
 * Peers asked for their splits at the start, inside and again outside the own
 * domain, and the time after which no further one is asked.
 */
#define SPLIT_PEERS   3
#define SPLIT_TIMEOUT CLK_SEC(2)

/* Longest wait for a list that has this VM; then any list is used. */
#define LIST_TIMEOUT CLK_SEC(10)

/* Creates limits at once, so that a VM always has some part of its links. */
static void create_link_limits(struct quota_agent *agent, const struct tbl *tbl)
{
	for (size_t i = 0; i < tbl->link_count; i++) {
		const struct str from =
			strbuf_str(&tbl->regions[tbl->links[i].from].name);
		const struct str to =
			strbuf_str(&tbl->regions[tbl->links[i].to].name);

		if (str_eq(from, agent->set->vm.region) ||
		    str_eq(to, agent->set->vm.region))
			quota_link_limit(agent, tbl, tbl->links[i].from,
					 tbl->links[i].to);
	}
}

static void create_region_limits(struct quota_agent *agent,
				 const struct tbl *tbl,
				 const struct tbl_row *row)
{
	for (size_t i = 0; i < tbl->region_count; i++) {
		const struct str region = strbuf_str(&tbl->regions[i].name);

		if (row->region_limits[i] == UINT32_MAX ||
		    str_eq(region, agent->set->vm.region))
			continue;
		limiter_limit(agent->limiter,
			      lending_intake_id(
				      strbuf_str(&tbl->services[row->service]),
				      row->rank, region),
			      QUOTA_REQUEST_BURST);
	}
}

/* Rows whose region limits are created before their first use. */
#define PREPARED_ROWS 64

static void follow_table(struct quota_agent *agent, struct tbl *tbl)
{
	if (agent->tbl == tbl)
		return;
	if (agent->tbl)
		tbl_put(agent->tbl);
	tbl_get(tbl);
	agent->tbl = tbl;
	create_link_limits(agent, tbl);
	for (size_t i = 0;
	     i < tbl->service_count * RANK_COUNT && i < PREPARED_ROWS; i++)
		create_region_limits(agent, tbl, &tbl->rows[i]);
}

/*
 * Splits start at their goals, so the first list of VMs must be complete. A
 * list that has this VM is taken to be.
 */
static bool may_start_splits(const struct quota_agent *agent,
			     const struct ctl_view *view, apr_time_t now)
{
	return agent->splits_known ||
	       vmlist_find(view->vmlist, agent->set->vm.id) ||
	       now - agent->started_at > LIST_TIMEOUT;
}

/* Returns whether the splits have a view. */
static bool follow_view(struct quota_agent *agent)
{
	struct ctl_view *view = ctl_agent_view(agent->ctl);
	const apr_time_t now = clk_now(agent->clk);
	bool started;

	if (!view)
		return false;
	started = may_start_splits(agent, view, now);
	pthread_mutex_lock(&agent->lock);
	if (started)
		splitter_set_view(agent->splitter, now, view->tbl,
				  view->vmlist);
	follow_table(agent, view->tbl);
	if (agent->splits_known)
		splitter_step(agent->splitter, now);
	pthread_mutex_unlock(&agent->lock);
	ctl_view_put(view);
	return started;
}

/* Asks one peer's pst-controld; returns whether it knew the splits. */
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
	if (!rpcc_call(rpc, SHR_X_SPLITS_GET, quota_msg_xdr_none, NULL,
		       (xdrproc_t)xdr_shr_x_splits, &splits,
		       CLK_MS(agent->set->net.rpc_timeout_ms))) {
		known = splits.known;
		pthread_mutex_lock(&agent->lock);
		if (known)
			quota_msg_splits_adopt(agent->splitter,
					       clk_now(agent->clk),
					       strbuf_str(&vm->id), &splits);
		pthread_mutex_unlock(&agent->lock);
		xdr_free((xdrproc_t)xdr_shr_x_splits, &splits);
	}
	rpcc_destroy(rpc);
	return known;
}

static bool may_know_splits(const struct quota_agent *agent,
			    const struct vm *vm, bool own_domain)
{
	return vm->kind == VM_ENTRY && vm->state == VM_LIVE &&
	       str_eq(strbuf_str(&vm->region), agent->set->vm.region) &&
	       str_eq(strbuf_str(&vm->domain), agent->set->vm.failure_domain) ==
		       own_domain &&
	       !str_eq(strbuf_str(&vm->id), agent->set->vm.id);
}

/* Asks peers of the own region, inside or outside the own domain. */
static bool fetch_from_peers(struct quota_agent *agent,
			     const struct vmlist *vmlist, apr_time_t began,
			     bool own_domain)
{
	const size_t first = (size_t)agent->incarnation;
	size_t asked = 0;

	for (size_t i = 0; i < vmlist->count && asked < SPLIT_PEERS; i++) {
		const struct vm *vm = &vmlist->vms[(first + i) % vmlist->count];

		if (clk_now(agent->clk) - began > SPLIT_TIMEOUT)
			return false;
		if (!may_know_splits(agent, vm, own_domain))
			continue;
		asked++;
		if (fetch_splits(agent, vm))
			return true;
	}
	return false;
}

/*
 * Prefers peers of the own domain: splits differ between regions and between
 * the domains of a region.
 */
static void fetch_initial_splits(struct quota_agent *agent)
{
	struct ctl_view *view = ctl_agent_view(agent->ctl);
	const apr_time_t began = clk_now(agent->clk);

	if (!view)
		return;
	if (!fetch_from_peers(agent, view->vmlist, began, true))
		fetch_from_peers(agent, view->vmlist, began, false);
	ctl_view_put(view);
	pthread_mutex_lock(&agent->lock);
	agent->splits_known = true;
	pthread_mutex_unlock(&agent->lock);
}

static void update_validity(struct quota_agent *agent, size_t valid,
			    size_t count)
{
	const bool lapsed = count && !valid;

	if (valid)
		agent->had_grants = true;
	/* Before the first grant nothing can lapse. */
	if (lapsed == agent->grants_lapsed || !agent->had_grants)
		return;
	agent->grants_lapsed = lapsed;
	if (lapsed)
		evt_log(QUOTA_LAPSED, "limits=%zu", count);
	else
		evt_log(QUOTA_RESTORED, "limits=%zu", valid);
}

static void send_splits(struct quota_agent *agent)
{
	struct shr_x_splits splits;
	int err;

	pthread_mutex_lock(&agent->lock);
	err = quota_msg_splits_make(&splits, agent->splitter);
	pthread_mutex_unlock(&agent->lock);
	if (err)
		return;
	rpcc_send(agent->rpc, SHR_X_SPLITS_PUT, (xdrproc_t)xdr_shr_x_splits,
		  &splits);
	xdr_free((xdrproc_t)xdr_shr_x_splits, &splits);
}

static void apply_grants(struct quota_agent *agent, apr_time_t sent_at,
			 const struct shr_x_lent *lent, size_t count)
{
	size_t valid;
	size_t limits;

	count = quota_msg_grants(lent, agent->grants, count);
	pthread_mutex_lock(&agent->lock);
	limiter_apply(agent->limiter, sent_at, agent->asks, agent->grants,
		      count);
	valid = limiter_valid(agent->limiter, clk_now(agent->clk));
	limits = limiter_count(agent->limiter);
	pthread_mutex_unlock(&agent->lock);
	update_validity(agent, valid, limits);
}

static void borrow(struct quota_agent *agent)
{
	struct shr_x_lent lent = {0};
	struct shr_x_borrow request;
	apr_time_t sent_at;
	size_t count;

	pthread_mutex_lock(&agent->lock);
	agent->borrow_early = false;
	count = limiter_plan(agent->limiter, clk_now(agent->clk), agent->asks);
	pthread_mutex_unlock(&agent->lock);
	if (!count || quota_msg_borrow_make(&request, agent->set->vm.id,
					    agent->incarnation, LENDING_CHILD,
					    STR_LIT(""), agent->asks, count))
		return;
	sent_at = clk_now(agent->clk);
	if (!rpcc_call(agent->rpc, SHR_X_BORROW, (xdrproc_t)xdr_shr_x_borrow,
		       &request, (xdrproc_t)xdr_shr_x_lent, &lent,
		       CLK_MS(agent->set->net.rpc_timeout_ms))) {
		apply_grants(agent, sent_at, &lent, count);
		xdr_free((xdrproc_t)xdr_shr_x_lent, &lent);
	} else {
		pthread_mutex_lock(&agent->lock);
		count = limiter_valid(agent->limiter, clk_now(agent->clk));
		pthread_mutex_unlock(&agent->lock);
		update_validity(agent, count, 1);
	}
	xdr_free((xdrproc_t)xdr_shr_x_borrow, &request);
}

static void borrow_when_due(struct quota_agent *agent)
{
	const apr_time_t now = clk_now(agent->clk);
	bool early;

	pthread_mutex_lock(&agent->lock);
	early = agent->borrow_early;
	pthread_mutex_unlock(&agent->lock);
	if (now < agent->borrow_at &&
	    !(early && now >= agent->borrow_at -
				       CLK_MS(agent->set->share.interval_ms) +
				       EARLY_BORROW_INTERVAL))
		return;
	if (!early || now >= agent->borrow_at)
		send_splits(agent);
	agent->borrow_at = now + CLK_MS(agent->set->share.interval_ms);
	borrow(agent);
}

/* Waits for the next step; returns false when stopping. */
static bool wait_step(struct quota_agent *agent)
{
	const struct timespec end = condvar_deadline(STEP_INTERVAL);
	bool stopping;

	pthread_mutex_lock(&agent->lock);
	if (!agent->stopping)
		(void)condvar_wait(&agent->wake, &agent->lock, &end);
	stopping = agent->stopping;
	pthread_mutex_unlock(&agent->lock);
	return !stopping;
}

void *quota_thread_run(void *arg)
{
	struct quota_agent *agent = arg;

	while (wait_step(agent)) {
		if (follow_view(agent) && !agent->splits_known)
			fetch_initial_splits(agent);
		borrow_when_due(agent);
	}
	return NULL;
}
