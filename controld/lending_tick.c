/* Steps the ownership state machines by the view and the time. */
#include <unistd.h>

#include "common/evt.h"
#include "controld/lending_order.h"
#include "controld/lending_state.h"

#define LOG_MODULE "share"

/* Time between two sweeps, and two log lines about a silent holder. */
#define SWEEP_INTERVAL CLK_SEC(10)

static struct lending_owned *find_owned(struct lending_state *state,
					struct str domain)
{
	for (size_t i = 0; i < state->owned_count; i++) {
		if (str_eq(strbuf_str(&state->owned[i].root.domain), domain))
			return &state->owned[i];
	}
	return NULL;
}

static struct lending_owned *add_owned(struct lending_state *state,
				       struct str domain, apr_time_t now)
{
	struct lending_owned *owned = find_owned(state, domain);

	if (owned)
		return owned;
	if (state->owned_count == LENDING_OWNED_MAX)
		return NULL;
	owned = &state->owned[state->owned_count++];
	lending_root_init(&owned->root, domain, state->set->vm.id,
			  state->incarnation, CLK_MS(state->set->share.loan_ms),
			  now);
	owned->logged = LENDING_IDLE;
	return owned;
}

/*
 * Whether this VM is the one to own the domain's part: its first live VM that
 * answers, or the one that stands in (see lending_order()). A false positive is
 * harmless, since taking over needs evidence.
 */
static bool is_candidate(const struct lending_state *state,
			 const struct ctl_view *view, struct str domain)
{
	const struct vm *first;

	if (state->acting_lender &&
	    str_eq(domain, state->set->vm.failure_domain))
		return true;
	return lending_order(view, domain, &first, 1) &&
	       str_eq(strbuf_str(&first->id), state->set->vm.id);
}

static void update_candidates(struct lending_state *state,
			      const struct ctl_view *view, apr_time_t now)
{
	for (size_t i = 0; i < view->tbl->domain_count; i++) {
		const struct str domain =
			strbuf_str(&view->tbl->domains[i].name);
		const bool candidate = is_candidate(state, view, domain);
		struct lending_owned *owned = find_owned(state, domain);

		if (candidate && !owned)
			owned = add_owned(state, domain, now);
		if (owned)
			owned->view.candidate = candidate;
	}
}

static void track_holder(struct lending_owned *owned,
			 const struct vmlist *vmlist, apr_time_t now)
{
	const struct lending_record *record = &owned->root.record;

	if (!record->present ||
	    vmlist_find(vmlist, strbuf_str(&record->holder))) {
		owned->absent_since = 0;
		owned->view.holder_absent = 0;
		return;
	}
	if (!owned->absent_since)
		owned->absent_since = now;
	owned->view.holder_absent = now - owned->absent_since;
}

static void step_owned(struct lending_state *state, struct lending_owned *owned,
		       const struct vmlist *vmlist, apr_time_t now)
{
	const struct vm *self = vmlist_find(vmlist, state->set->vm.id);

	owned->view.listed = self && self->state == VM_LIVE;
	track_holder(owned, vmlist, now);
	if (lending_root_step(&owned->root, now, &owned->view) ==
	    LENDING_DO_NOTHING)
		return;
	/* With a full queue the action is dropped; the next step retries it. */
	if (apr_queue_trypush(state->jobs, owned))
		owned->root.awaiting_result = false;
}

static void rebuild_map(struct lending_state *state, const struct tbl *tbl,
			apr_time_t now)
{
	struct lending_map *map = NULL;

	if (lending_map_build(&map, tbl))
		return;
	lending_node_set_map(state->node, now, map);
	lending_map_put(map);
}

/* State seen by the previous tick. */
struct tick {
	struct tbl *tbl;
	struct vmlist *vmlist;
	bool acting_lender;
	apr_time_t sweep_at;
};

static void log_silent_holders(struct lending_state *state)
{
	for (size_t i = 0; i < state->owned_count; i++) {
		const struct lending_owned *owned = &state->owned[i];

		if (owned->root.state == LENDING_ASKING &&
		    !owned->root.stopped_since)
			evt_log(SHARE_HOLDER_SILENT,
				"domain=%s holder=%s absent_ms=%ld",
				owned->root.domain.ptr,
				owned->root.record.holder.ptr,
				(long)(owned->view.holder_absent / 1000));
	}
}

static void run_tick(struct lending_state *state, struct tick *tick,
		     struct ctl_view *view)
{
	const apr_time_t now = clk_now(state->clk);
	const bool table_changed = tick->tbl != view->tbl;

	if (!view->tbl || !view->vmlist)
		return;
	if (table_changed)
		rebuild_map(state, view->tbl, now);
	if (table_changed || tick->vmlist != view->vmlist ||
	    tick->acting_lender != state->acting_lender)
		update_candidates(state, view, now);
	tick->acting_lender = state->acting_lender;
	tick->tbl = view->tbl;
	tick->vmlist = view->vmlist;
	for (size_t i = 0; i < state->owned_count; i++)
		step_owned(state, &state->owned[i], view->vmlist, now);
	lending_state_apply(state, now);
	if (now < tick->sweep_at)
		return;
	tick->sweep_at = now + SWEEP_INTERVAL;
	lending_node_sweep(state->node, now);
	log_silent_holders(state);
}

void *lending_tick_run(void *arg)
{
	struct lending_state *state = arg;
	struct ctl_view *held = NULL;
	struct tick tick = {0};

	while (!state->stopping) {
		struct ctl_view *view = curview_get(state->curview);

		if (view) {
			pthread_mutex_lock(&state->lock);
			run_tick(state, &tick, view);
			pthread_mutex_unlock(&state->lock);
			/* Kept: tick compares its members by address. */
			if (held)
				ctl_view_put(held);
			held = view;
		}
		usleep(LENDING_STEP_INTERVAL);
	}
	if (held)
		ctl_view_put(held);
	return NULL;
}
