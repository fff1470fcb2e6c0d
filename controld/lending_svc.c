#include "controld/lending_svc.h"

#include <stdlib.h>

#include "agent/quota_msg.h"
#include "common/err.h"
#include "common/evt.h"
#include "controld/lending_state.h"

#define LOG_MODULE "share"

struct lending_svc {
	struct lending_state state;
	apr_pool_t *pool;
	pthread_t threads[3];
	size_t thread_count;
};

static const char *default_reason(enum lending_phase state)
{
	switch (state) {
	case LENDING_IDLE:
		return "another_vm_is_nearer_or_holds";
	case LENDING_READING:
		return "first_of_the_domains_live_vms";
	case LENDING_ASKING:
		return "another_process_is_named";
	case LENDING_CLAIMING:
		return "no_holder_or_holder_stopped";
	case LENDING_HOLDING:
		return "record_names_this_process";
	case LENDING_SUSPENDED:
		return "pause";
	}
	return "unknown";
}

void lending_state_log(struct lending_owned *owned, const char *why)
{
	const struct lending_root *root = &owned->root;

	if (root->state == owned->logged)
		return;
	evt_log(SHARE_STATE,
		"domain=%s from=%s to=%s revision=%lu holder=%s "
		"why=%s",
		root->domain.ptr, lending_phase_name(owned->logged),
		lending_phase_name(root->state),
		(unsigned long)root->record.revision,
		root->record.present ? root->record.holder.ptr : "none",
		why ? why : default_reason(root->state));
	if (root->state == LENDING_HOLDING)
		evt_log(SHARE_HELD, "domain=%s revision=%lu", root->domain.ptr,
			(unsigned long)root->record.revision);
	else if (root->state == LENDING_SUSPENDED)
		evt_log(SHARE_SUSPENDED, "domain=%s", root->domain.ptr);
	else if (owned->logged == LENDING_HOLDING)
		evt_log(SHARE_RELEASED, "domain=%s revision=%lu why=%s",
			root->domain.ptr, (unsigned long)root->record.revision,
			why ? why : default_reason(root->state));
	owned->logged = root->state;
}

void lending_state_apply(struct lending_state *state, apr_time_t now)
{
	for (size_t i = 0; i < state->owned_count; i++) {
		const struct lending_root *root = &state->owned[i].root;

		lending_node_hold(state->node, strbuf_str(&root->domain),
				  lending_root_valid(root, now));
		lending_state_log(&state->owned[i], NULL);
	}
}

static int start_threads(struct lending_svc *svc)
{
	void *(*const routines[])(void *) = {
		lending_tick_run,
		lending_store_run,
		lending_borrow_run,
	};

	for (size_t i = 0; i < sizeof(routines) / sizeof(routines[0]); i++) {
		if (pthread_create(&svc->threads[i], NULL, routines[i],
				   &svc->state))
			return PST_ERR_THREAD;
		svc->thread_count++;
	}
	return 0;
}

static int init_state(struct lending_svc *svc)
{
	struct lending_state *state = &svc->state;
	int err;

	pthread_mutex_init(&state->lock, NULL);
	if (apr_pool_create(&svc->pool, NULL) ||
	    apr_queue_create(&state->jobs, LENDING_JOBS_MAX, svc->pool))
		return PST_ERR_NOMEM;
	err = lending_node_create(&state->node,
				  CLK_MS(state->set->share.loan_ms));
	if (err)
		return err;
	return lending_rpc_register(state);
}

int lending_svc_start(struct lending_svc **out, const struct settings *set,
		      const struct clk *clk, struct curview *curview)
{
	struct lending_svc *svc = calloc(1, sizeof(*svc));
	int err;

	if (!svc)
		return PST_ERR_NOMEM;
	svc->state.set = set;
	svc->state.clk = clk;
	svc->state.curview = curview;
	svc->state.incarnation = quota_msg_incarnation();
	err = init_state(svc);
	if (!err)
		err = start_threads(svc);
	if (err) {
		lending_svc_stop(svc);
		return err;
	}
	*out = svc;
	return 0;
}

void lending_svc_stop(struct lending_svc *svc)
{
	if (!svc)
		return;
	svc->state.stopping = true;
	if (svc->state.jobs)
		apr_queue_term(svc->state.jobs);
	for (size_t i = 0; i < svc->thread_count; i++)
		pthread_join(svc->threads[i], NULL);
	lending_node_destroy(svc->state.node);
	xdr_free((xdrproc_t)xdr_shr_x_splits, &svc->state.splits);
	if (svc->pool)
		apr_pool_destroy(svc->pool);
	pthread_mutex_destroy(&svc->state.lock);
	free(svc);
}
