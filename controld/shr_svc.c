#include "controld/shr_svc.h"

#include <stdlib.h>

#include "agent/quota_msg.h"
#include "common/err.h"
#include "common/evt.h"
#include "controld/shr_state.h"

#define LOG_MODULE "share"

struct shr_svc {
	struct shr_state state;
	apr_pool_t *pool;
	pthread_t threads[3];
	size_t thread_count;
};

static const char *default_reason(enum shr_phase state)
{
	switch (state) {
	case SHR_IDLE:
		return "another_vm_is_nearer_or_holds";
	case SHR_READING:
		return "first_of_the_domains_live_vms";
	case SHR_ASKING:
		return "another_process_is_named";
	case SHR_CLAIMING:
		return "no_holder_or_holder_stopped";
	case SHR_HOLDING:
		return "record_names_this_process";
	case SHR_SUSPENDED:
		return "pause";
	}
	return "unknown";
}

void shr_state_log(struct shr_owned *owned, const char *why)
{
	const struct shr_root *root = &owned->root;

	if (root->state == owned->logged)
		return;
	evt_log(SHARE_STATE,
		"domain=%s from=%s to=%s revision=%lu holder=%s "
		"why=%s",
		root->domain.ptr, shr_phase_name(owned->logged),
		shr_phase_name(root->state),
		(unsigned long)root->record.revision,
		root->record.present ? root->record.holder.ptr : "none",
		why ? why : default_reason(root->state));
	if (root->state == SHR_HOLDING)
		evt_log(SHARE_HELD, "domain=%s revision=%lu", root->domain.ptr,
			(unsigned long)root->record.revision);
	else if (root->state == SHR_SUSPENDED)
		evt_log(SHARE_SUSPENDED, "domain=%s", root->domain.ptr);
	else if (owned->logged == SHR_HOLDING)
		evt_log(SHARE_RELEASED, "domain=%s revision=%lu why=%s",
			root->domain.ptr, (unsigned long)root->record.revision,
			why ? why : default_reason(root->state));
	owned->logged = root->state;
}

void shr_state_apply(struct shr_state *state, apr_time_t now)
{
	for (size_t i = 0; i < state->owned_count; i++) {
		const struct shr_root *root = &state->owned[i].root;

		shr_node_hold(state->node, strbuf_str(&root->domain),
			      shr_root_valid(root, now));
		shr_state_log(&state->owned[i], NULL);
	}
}

static int start_threads(struct shr_svc *svc)
{
	void *(*const routines[])(void *) = {
		shr_tick_run,
		shr_store_run,
		shr_borrow_run,
	};

	for (size_t i = 0; i < sizeof(routines) / sizeof(routines[0]); i++) {
		if (pthread_create(&svc->threads[i], NULL, routines[i],
				   &svc->state))
			return PST_ERR_THREAD;
		svc->thread_count++;
	}
	return 0;
}

static int init_state(struct shr_svc *svc)
{
	struct shr_state *state = &svc->state;
	int err;

	pthread_mutex_init(&state->lock, NULL);
	if (apr_pool_create(&svc->pool, NULL) ||
	    apr_queue_create(&state->jobs, SHR_JOBS_MAX, svc->pool))
		return PST_ERR_NOMEM;
	err = shr_node_create(&state->node, CLK_MS(state->set->share.loan_ms));
	if (err)
		return err;
	return shr_rpc_register(state);
}

int shr_svc_start(struct shr_svc **out, const struct settings *set,
		  const struct clk *clk, struct cview *cview)
{
	struct shr_svc *svc = calloc(1, sizeof(*svc));
	int err;

	if (!svc)
		return PST_ERR_NOMEM;
	svc->state.set = set;
	svc->state.clk = clk;
	svc->state.cview = cview;
	svc->state.incarnation = quota_msg_incarnation();
	err = init_state(svc);
	if (!err)
		err = start_threads(svc);
	if (err) {
		shr_svc_stop(svc);
		return err;
	}
	*out = svc;
	return 0;
}

void shr_svc_stop(struct shr_svc *svc)
{
	if (!svc)
		return;
	svc->state.stopping = true;
	if (svc->state.jobs)
		apr_queue_term(svc->state.jobs);
	for (size_t i = 0; i < svc->thread_count; i++)
		pthread_join(svc->threads[i], NULL);
	shr_node_destroy(svc->state.node);
	xdr_free((xdrproc_t)xdr_shr_x_splits, &svc->state.splits);
	if (svc->pool)
		apr_pool_destroy(svc->pool);
	pthread_mutex_destroy(&svc->state.lock);
	free(svc);
}
