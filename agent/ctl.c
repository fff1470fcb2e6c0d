#include "agent/ctl.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include <sys/random.h>

#include "agent/task.h"
#include "agent/tblcache.h"
#include "agent/tablemsg.h"
#include "common/err.h"
#include "common/evt.h"
#include "common/net.h"
#include "common/rpcc.h"

#define LOG_MODULE "sync"

/* Failed exchanges with this VM's pst-controld before another VM is asked. */
#define FAILURES_BEFORE_FALLBACK 2

/* While another VM answers, this VM's pst-controld is tried this often. */
#define LOCAL_RETRY_ROUNDS 8

/* Most pages of one exchange; a table has fewer. */
#define MAX_PAGES 64

struct ctl_agent {
	const struct settings *set;
	const struct clk *clk;
	struct task task;
	pthread_mutex_t lock;
	/* Guarded by lock. */
	table_serves serves;
	struct ctl_view *view;
	struct rev rev;
	/* Used by the thread only. */
	struct tblcache tblcache;
	struct vmlist *vmlist;
	uint64_t list_incarnation;
	uint64_t list_revision;
	uint32_t failures;
	uint32_t next_fallback;
	uint32_t round;
	/* Client of this VM's pst-controld. */
	struct rpcc *local;
	/* Client of another VM's while local does not answer; else NULL. */
	struct rpcc *fallback;
	bool fresh;
	/* This VM's pst-controld has no table, as after a restart. */
	bool local_empty;
	/* A new table is in force, which pst-controld has not been told. */
	bool changed;
	/* Random; distinguishes the processes of a VM. */
	uint64_t id;
};

static void release_view(struct ref *ref)
{
	struct ctl_view *view = REF_CONTAINER(ref, struct ctl_view, ref);

	tbl_put(view->tbl);
	vmlist_put(view->vmlist);
	free(view);
}

static void publish(struct ctl_agent *agent)
{
	struct ctl_view *old;
	struct ctl_view *view;

	if (!agent->tblcache.tbl || !agent->vmlist)
		return;
	view = ctl_view_make(agent->tblcache.tbl, agent->vmlist);
	if (!view)
		return;
	pthread_mutex_lock(&agent->lock);
	old = agent->view;
	agent->view = view;
	pthread_mutex_unlock(&agent->lock);
	ctl_view_put(old);
}

static int apply_list(struct ctl_agent *agent, const table_answer *answer)
{
	struct vmlist *vmlist = NULL;
	int err;

	if (!answer->list)
		return 0;
	err = tablemsg_list_decode(&vmlist, answer->list);
	if (err)
		return err;
	vmlist_put(agent->vmlist);
	agent->vmlist = vmlist;
	agent->list_incarnation = answer->list_incarnation;
	agent->list_revision = vmlist->revision;
	publish(agent);
	return 0;
}

static int store_parts(struct ctl_agent *agent, const table_answer *answer)
{
	struct tbl_part *parts = tablemsg_parts_borrow(answer->parts.parts_val,
						       answer->parts.parts_len);
	int err = parts ? tblcache_store_parts(&agent->tblcache, parts,
					       answer->parts.parts_len)
			: PST_ERR_NOMEM;

	free(parts);
	return err;
}

static int apply_answer(struct ctl_agent *agent, const table_answer *answer,
			apr_time_t asked_at)
{
	const table_status *status = &answer->status;
	bool changed = false;
	int err;

	if (!status->revision)
		return agent->tblcache.tbl ? PST_ERR_UNAVAILABLE : 0;
	rev_note_exists(&agent->tblcache.rev, status->revision);
	if (status->voter)
		rev_allow_confirm(&agent->tblcache.rev);
	err = tblcache_apply(&agent->tblcache, status->revision, status->vm,
			     &changed);
	if (changed) {
		publish(agent);
		agent->changed = true;
	}
	if (err && err != PST_ERR_STALE && err != PST_ERR_INVALID)
		return err;
	if (status->confirmed_age_ms != TABLE_AGE_NEVER)
		rev_confirm(&agent->tblcache.rev, status->revision,
			    asked_at - CLK_MS(status->confirmed_age_ms));
	return 0;
}

static table_serves read_serves(struct ctl_agent *agent)
{
	table_serves serves;

	pthread_mutex_lock(&agent->lock);
	serves = agent->serves;
	pthread_mutex_unlock(&agent->lock);
	return serves;
}

/* Addresses for a pst-controld without a VM list; out borrows from vmlist. */
static u_int pick_hints(const struct ctl_agent *agent,
			pst_id out[TABLE_HINTS_MAX])
{
	const struct vm *picks[TABLE_HINTS_MAX];
	size_t picked;
	u_int count = 0;

	if (!agent->local_empty || !agent->vmlist)
		return 0;
	picked = vmlist_rendezvous(agent->vmlist, agent->set->vm.id,
				   STR_LIT(""), picks, TABLE_HINTS_MAX);
	for (size_t i = 0; i < picked; i++) {
		if (!str_eq(strbuf_str(&picks[i]->id), agent->set->vm.id))
			out[count++] = (char *)picks[i]->address.ptr;
	}
	return count;
}

/*
 * Fetches the page of changes after *after, and advances *after. All pages of
 * an exchange must come from one process.
 */
static int fetch_page(struct ctl_agent *agent, struct rpcc *rpcc,
		      uint64_t *after, bool *more)
{
	const apr_time_t asked_at = clk_now(agent->clk);
	pst_id hints[TABLE_HINTS_MAX];
	table_ask args = {
		.from = (char *)agent->set->vm.id.ptr,
		.client = agent->id,
		.serves = read_serves(agent),
		.held = tblcache_in_force(&agent->tblcache),
		.after = *after,
		.list_incarnation = agent->list_incarnation,
		.list_revision = agent->list_revision,
		.hints = {.hints_val = hints},
	};
	table_answer answer = {0};
	int err;

	if (rpcc == agent->local)
		args.hints.hints_len = pick_hints(agent, hints);
	err = rpcc_call(rpcc, TABLE_VIEW, (xdrproc_t)xdr_table_ask, &args,
			(xdrproc_t)xdr_table_answer, &answer,
			CLK_MS(agent->set->net.rpc_timeout_ms));

	if (err)
		return err;
	if (rpcc == agent->local)
		agent->local_empty = !answer.status.revision;
	*more = answer.more;
	*after = tablemsg_last_revision(&answer, *after);
	err = apply_list(agent, &answer);
	if (!err)
		err = store_parts(agent, &answer);
	if (!err && !answer.more)
		err = apply_answer(agent, &answer, asked_at);
	xdr_free((xdrproc_t)xdr_table_answer, &answer);
	return err;
}

static int exchange(struct ctl_agent *agent, struct rpcc *rpcc)
{
	uint64_t after = agent->tblcache.rev.revision;
	bool more = true;
	int err = 0;

	agent->changed = false;
	agent->tblcache.has_all_parts = false;
	for (int i = 0; !err && more && i < MAX_PAGES; i++)
		err = fetch_page(agent, rpcc, &after, &more);
	if (err == PST_ERR_AGAIN) {
		agent->tblcache.has_all_parts = true;
		after = 0;
		more = true;
		err = 0;
	}
	for (int i = 0; !err && more && i < MAX_PAGES; i++)
		err = fetch_page(agent, rpcc, &after, &more);
	if (!err && agent->changed)
		err = fetch_page(agent, rpcc, &after, &more);
	return err;
}

static int open_client(struct ctl_agent *agent, struct str region,
		       struct str ip, struct rpcc **out)
{
	struct net_addr peer;
	int err = net_addr_make(&peer, ip,
				(uint16_t)agent->set->control.rpc_port);

	if (err)
		return err;
	return rpcc_create(out, agent->set, agent->clk, region, &peer,
			   TABLE_PROGRAM, TABLE_VERSION);
}

/* Another live entry VM, in this VM's failure domain if it has one. */
static const struct vm *pick_fallback(struct ctl_agent *agent)
{
	const struct settings *set = agent->set;
	const struct vm *picks[VMLIST_MAX_PICKS];
	size_t count;

	if (!agent->vmlist)
		return NULL;
	count = vmlist_rendezvous(agent->vmlist, set->vm.id,
				  set->vm.failure_domain, picks,
				  VMLIST_MAX_PICKS);
	if (count < 2)
		count = vmlist_rendezvous(agent->vmlist, set->vm.id,
					  STR_LIT(""), picks, VMLIST_MAX_PICKS);
	for (size_t i = 0; i < count; i++) {
		const struct vm *vm = picks[agent->next_fallback++ % count];

		if (!str_eq(strbuf_str(&vm->id), set->vm.id))
			return vm;
	}
	return NULL;
}

/*
 * Tells a pst-controld not to wait for this process any longer, by holding
 * the highest revision.
 */
static void send_leave(struct ctl_agent *agent, struct rpcc *rpcc)
{
	table_ask args = {
		.from = (char *)agent->set->vm.id.ptr,
		.client = agent->id,
		.serves = read_serves(agent),
		.held = UINT64_MAX,
		.after = UINT64_MAX,
		.list_incarnation = agent->list_incarnation,
		.list_revision = agent->list_revision,
	};
	table_answer answer = {0};

	if (!rpcc_call(rpcc, TABLE_VIEW, (xdrproc_t)xdr_table_ask, &args,
		       (xdrproc_t)xdr_table_answer, &answer,
		       CLK_MS(agent->set->net.rpc_timeout_ms)))
		xdr_free((xdrproc_t)xdr_table_answer, &answer);
}

static void drop_fallback(struct ctl_agent *agent)
{
	rpcc_destroy(agent->fallback);
	agent->fallback = NULL;
}

/*
 * Uses one VM for as long as it answers, because each VM that was asked waits
 * for this process to hold its revision.
 */
static void exchange_with_fallback(struct ctl_agent *agent)
{
	const struct vm *vm;

	if (!agent->fallback) {
		vm = pick_fallback(agent);
		if (!vm ||
		    open_client(agent, strbuf_str(&vm->region),
				strbuf_str(&vm->address), &agent->fallback))
			return;
	}
	if (exchange(agent, agent->fallback))
		drop_fallback(agent);
}

static void on_local_answer(struct ctl_agent *agent)
{
	if (agent->failures >= FAILURES_BEFORE_FALLBACK)
		evt_log(SYNC_BACK, "vm=%.*s", STR_ARG(agent->set->vm.id));
	agent->failures = 0;
	if (!agent->fallback)
		return;
	send_leave(agent, agent->fallback);
	drop_fallback(agent);
}

static void sync_once(struct ctl_agent *agent)
{
	int err;

	agent->round++;
	if (agent->fallback && agent->round % LOCAL_RETRY_ROUNDS) {
		exchange_with_fallback(agent);
		return;
	}
	err = exchange(agent, agent->local);
	if (!err) {
		on_local_answer(agent);
		return;
	}
	if (++agent->failures == FAILURES_BEFORE_FALLBACK)
		evt_log(SYNC_LOST, "vm=%.*s err=%s", STR_ARG(agent->set->vm.id),
			err_name(err));
	if (agent->failures >= FAILURES_BEFORE_FALLBACK)
		exchange_with_fallback(agent);
}

/* Copies rev for other threads, which check its freshness at their own time. */
static void publish_rev(struct ctl_agent *agent)
{
	pthread_mutex_lock(&agent->lock);
	agent->rev = agent->tblcache.rev;
	pthread_mutex_unlock(&agent->lock);
}

static apr_interval_time_t run(void *ctx)
{
	struct ctl_agent *agent = ctx;

	agent->fresh = tblcache_tick(&agent->tblcache, agent->fresh);
	publish_rev(agent);
	sync_once(agent);
	publish_rev(agent);
	return CLK_MS(agent->set->control.sync_interval_ms);
}

static void destroy(struct ctl_agent *agent)
{
	rpcc_destroy(agent->local);
	rpcc_destroy(agent->fallback);
	tblcache_done(&agent->tblcache);
	vmlist_put(agent->vmlist);
	ctl_view_put(agent->view);
	pthread_mutex_destroy(&agent->lock);
	free(agent);
}

int ctl_agent_start(struct ctl_agent **out, const struct settings *set,
		    const struct clk *clk)
{
	struct ctl_agent *agent = calloc(1, sizeof(*agent));
	int err;

	if (!agent)
		return PST_ERR_NOMEM;
	agent->set = set;
	agent->clk = clk;
	if (getrandom(&agent->id, sizeof(agent->id), 0) < 0)
		agent->id = (uint64_t)apr_time_now();
	pthread_mutex_init(&agent->lock, NULL);
	err = tblcache_init(&agent->tblcache, set, clk, tblcache_wall_clock());
	agent->rev = agent->tblcache.rev;
	agent->tblcache.discard_parts = true;
	if (!err)
		err = open_client(agent, set->vm.region, set->vm.address,
				  &agent->local);
	if (!err)
		err = task_start(&agent->task, run, agent);
	if (err)
		destroy(agent);
	else
		*out = agent;
	return err;
}

void ctl_agent_stop(struct ctl_agent *agent)
{
	if (!agent)
		return;
	task_stop(&agent->task);
	send_leave(agent, agent->fallback ? agent->fallback : agent->local);
	destroy(agent);
}

void ctl_agent_announce(struct ctl_agent *agent, table_serves serves)
{
	pthread_mutex_lock(&agent->lock);
	agent->serves = serves;
	pthread_mutex_unlock(&agent->lock);
	task_wake(&agent->task);
}

struct ctl_view *ctl_agent_view(struct ctl_agent *agent)
{
	struct ctl_view *view;

	pthread_mutex_lock(&agent->lock);
	view = agent->view;
	if (view)
		ref_get(&view->ref);
	pthread_mutex_unlock(&agent->lock);
	return view;
}

struct ctl_view *ctl_view_make(struct tbl *tbl, struct vmlist *vmlist)
{
	struct ctl_view *view = calloc(1, sizeof(*view));

	if (!view)
		return NULL;
	ref_init(&view->ref, release_view);
	tbl_get(tbl);
	vmlist_get(vmlist);
	view->tbl = tbl;
	view->vmlist = vmlist;
	return view;
}

void ctl_view_put(struct ctl_view *view)
{
	if (view)
		ref_put(&view->ref);
}

bool ctl_agent_fresh(struct ctl_agent *agent)
{
	bool fresh;

	pthread_mutex_lock(&agent->lock);
	fresh = agent->view && rev_is_fresh(&agent->rev, clk_now(agent->clk),
					    clk_now(tblcache_wall_clock()));
	pthread_mutex_unlock(&agent->lock);
	return fresh;
}
