/* The control process and the entry process of a VM. */
#include "tests/fix_lending_state.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"

void sim_start_control(struct sim *sim, size_t vm)
{
	struct sim_vm *v = &sim->vms[vm];
	const struct strbuf self = sim_vm_name(vm);

	lending_node_destroy(v->node);
	lending_node_create(&v->node, LOAN);
	v->control = (struct process){.alive = true,
				      .incarnation = ++sim->last_incarnation};
	memset(v->root_calls, 0, sizeof(v->root_calls));
	v->borrow = (struct call){0};
	v->next_target = 0;
	v->target_count = 0;
	memset(v->answered_at, 0, sizeof(v->answered_at));
	memset(v->silent_until, 0, sizeof(v->silent_until));
	for (size_t d = 0; d < SIM_DOMAINS; d++) {
		const struct strbuf name = sim_domain_name(d);

		lending_root_init(&v->roots[d], strbuf_str(&name),
				  strbuf_str(&self), v->control.incarnation,
				  LOAN, sim_local_time(sim, vm));
	}
}

void sim_start_entry(struct sim *sim, size_t vm)
{
	struct sim_vm *v = &sim->vms[vm];

	limiter_destroy(v->limiter);
	limiter_create(&v->limiter, sim_local_time(sim, vm) + RATELIMIT_WINDOW);
	v->entry = (struct process){.alive = true,
				    .incarnation = ++sim->last_incarnation};
	v->draw = (struct call){0};
	for (size_t i = 0; i < SIM_LIMITS; i++)
		limiter_limit(v->limiter, sim->ids[i],
			      i == SIM_LINK ? 65536 : 1);
}

struct lending_view sim_view_of(const struct sim *sim, size_t vm, size_t domain)
{
	const struct lending_record *record =
		&sim->vms[vm].roots[domain].record;
	struct lending_view view = {.listed = sim_sees_listed(sim, vm, vm)};
	size_t vms[SIM_VMS];

	view.candidate =
		(sim_lender_order(sim, vm, domain, vms) && vms[0] == vm) ||
		(sim->vms[vm].acting && domain == sim_domain_of(vm));
	for (size_t i = 0; record->present && i < SIM_VMS; i++) {
		const struct strbuf name = sim_vm_name(i);

		if (strbuf_eq(&name, &record->holder) &&
		    !sim_sees_listed(sim, vm, i))
			view.holder_absent = sim->now - sim->vms[vm].list_lag -
					     sim->vms[i].list_changed;
	}
	return view;
}

void sim_apply_roots(struct sim *sim, size_t vm)
{
	struct sim_vm *v = &sim->vms[vm];

	for (size_t d = 0; d < SIM_DOMAINS; d++)
		lending_node_hold(v->node, strbuf_str(&v->roots[d].domain),
				  lending_root_valid(&v->roots[d],
						     sim_local_time(sim, vm)));
}

static size_t holder_of(const struct lending_record *record)
{
	for (size_t i = 0; i < SIM_VMS; i++) {
		const struct strbuf name = sim_vm_name(i);

		if (strbuf_eq(&name, &record->holder))
			return i;
	}
	return SIM_VMS;
}

static void start_action(struct sim *sim, size_t vm, size_t d,
			 enum lending_action action)
{
	struct sim_vm *v = &sim->vms[vm];
	const struct lending_root *root = &v->roots[d];
	struct message m = {.domain = d, .record = root->record};

	switch (action) {
	case LENDING_DO_NOTHING:
		return;
	case LENDING_DO_READ:
		m.kind = MSG_READ;
		break;
	case LENDING_DO_SWAP:
		m.kind = MSG_SWAP;
		break;
	case LENDING_DO_ASK:
		m.kind = MSG_ABOUT;
		m.to = holder_of(&root->record);
		break;
	}
	if (m.kind == MSG_ABOUT && m.to == vm) {
		lending_root_on_reply(&v->roots[d], sim_local_time(sim, vm),
				      LENDING_REPLY_GONE, 0);
		return;
	}
	sim_call(sim, vm, &v->root_calls[d], &m);
}

void sim_end_root_call(struct sim *sim, size_t vm, size_t d,
		       const struct message *m)
{
	struct sim_vm *v = &sim->vms[vm];
	const enum lending_phase before = v->roots[d].state;
	const apr_time_t now = sim_local_time(sim, vm);

	v->root_calls[d].waiting = false;
	switch (m->kind) {
	case MSG_READ:
		lending_root_on_read(&v->roots[d], now, m->err, &m->record);
		break;
	case MSG_SWAP:
		lending_root_on_swap(&v->roots[d], now, m->err,
				     m->record.revision);
		break;
	case MSG_ABOUT:
		lending_root_on_reply(&v->roots[d], now, m->answer, m->rest);
		break;
	case MSG_BORROW:
	case MSG_DRAW:
		break;
	}
	if (before != v->roots[d].state)
		sim_log(sim, "vm%zu %s %s to %s revision %lu", vm,
			v->roots[d].domain.ptr, lending_phase_name(before),
			lending_phase_name(v->roots[d].state),
			(unsigned long)v->roots[d].record.revision);
	sim_apply_roots(sim, vm);
}

static void time_out_root(struct sim *sim, size_t vm, size_t d)
{
	struct sim_vm *v = &sim->vms[vm];
	struct message m = {.err = PST_ERR_TIMEOUT,
			    .answer = LENDING_REPLY_SILENT};

	switch (v->roots[d].state) {
	case LENDING_ASKING:
		m.kind = MSG_ABOUT;
		break;
	case LENDING_CLAIMING:
		m.kind = MSG_SWAP;
		break;
	case LENDING_IDLE:
	case LENDING_READING:
	case LENDING_HOLDING:
	case LENDING_SUSPENDED:
		m.kind = MSG_READ;
		break;
	}
	sim_end_root_call(sim, vm, d, &m);
}

static void tick_control(struct sim *sim, size_t vm)
{
	struct sim_vm *v = &sim->vms[vm];
	const apr_time_t now = sim_local_time(sim, vm);
	const bool edited =
		sim->maps[1] && sim->now >= sim->edited_at + v->edit_lag;

	lending_node_set_map(v->node, now, sim->maps[edited]);
	for (size_t d = 0; d < SIM_DOMAINS; d++) {
		const struct lending_view view = sim_view_of(sim, vm, d);

		if (v->root_calls[d].waiting &&
		    now - v->root_calls[d].sent_at > TIMEOUT)
			time_out_root(sim, vm, d);
		start_action(sim, vm, d,
			     lending_root_step(&v->roots[d], now, &view));
	}
	sim_apply_roots(sim, vm);
}

static void add_target(struct sim_vm *v, size_t vm, size_t domain,
		       enum lending_lender_kind kind)
{
	for (size_t i = 0; i < v->target_count; i++) {
		if (v->targets[i].vm == vm && v->targets[i].domain == domain)
			return;
	}
	v->targets[v->target_count++] =
		(struct target){.vm = vm, .domain = domain, .kind = kind};
}

/* Lists the parent or else the other domains, then recent lenders. */
static void start_round(struct sim *sim, size_t vm)
{
	struct sim_vm *v = &sim->vms[vm];
	const apr_time_t now = sim_local_time(sim, vm);
	size_t vms[SIM_VMS];
	const size_t count = sim_lender_order(sim, vm, sim_domain_of(vm), vms);
	bool child = false;

	v->next_target = 0;
	v->target_count = 0;
	for (size_t i = 0; i < count && vms[i] != vm && !child; i++) {
		child = sim_domain_of(vms[i]) == sim_domain_of(vm) &&
			now >= v->silent_until[vms[i]];
		if (child)
			add_target(v, vms[i], SIM_DOMAINS, LENDING_PARENT);
	}
	if (!child)
		v->acting = count && vms[0] != vm;
	for (size_t d = 0; d < SIM_DOMAINS && !child; d++) {
		if (sim_lender_order(sim, vm, d, vms) && vms[0] != vm &&
		    now >= v->silent_until[vms[0]])
			add_target(v, vms[0], d, LENDING_OTHER_DOMAIN);
	}
	for (size_t i = 0; i < TARGETS_MAX; i++) {
		const size_t other = i / (SIM_DOMAINS + 1);
		const size_t d = i % (SIM_DOMAINS + 1);

		if (v->answered_at[other][d] &&
		    now < v->answered_at[other][d] + LOAN &&
		    now >= v->silent_until[other])
			add_target(v, other, d, LENDING_FORMER);
	}
}

static struct lending_lender lender_of(const struct target *target,
				       const struct strbuf *vm,
				       const struct strbuf *domain)
{
	struct lending_lender lender = {.kind = target->kind,
					.vm = strbuf_str(vm)};

	if (target->domain < SIM_DOMAINS)
		lender.domain = strbuf_str(domain);
	return lender;
}

/* Sends the next request of the round, if none is in flight. */
static void next_borrow(struct sim *sim, size_t vm)
{
	struct sim_vm *v = &sim->vms[vm];

	while (v->next_target < v->target_count && !v->borrow.waiting) {
		const struct target *target = &v->targets[v->next_target++];
		const struct strbuf name = sim_vm_name(target->vm);
		const struct strbuf domain = sim_domain_name(target->domain);
		const struct lending_lender lender =
			lender_of(target, &name, &domain);
		struct lending_ask asks[LENDING_ASKS_MAX];
		struct message m = {
			.kind = MSG_BORROW,
			.to = target->vm,
			.domain = target->domain,
			.level = target->domain < SIM_DOMAINS ? LENDING_PEER
							      : LENDING_CHILD,
		};

		m.count = lending_node_plan_asks(
			v->node, sim_local_time(sim, vm), &lender, asks);
		if (!m.count && target->kind != LENDING_PARENT)
			continue;
		memcpy(m.asks, asks, m.count * sizeof(asks[0]));
		sim_call(sim, vm, &v->borrow, &m);
	}
}

void sim_end_borrow(struct sim *sim, size_t vm, const struct message *m)
{
	struct sim_vm *v = &sim->vms[vm];
	const struct target *target = &v->targets[v->next_target - 1];
	const struct strbuf name = sim_vm_name(target->vm);
	const struct strbuf domain = sim_domain_name(target->domain);
	const struct lending_lender lender = lender_of(target, &name, &domain);

	v->borrow.waiting = false;
	if (target->kind == LENDING_PARENT)
		v->acting = false;
	v->answered_at[target->vm][target->domain] = sim_local_time(sim, vm);
	lending_node_apply_grants(v->node, sim_local_time(sim, vm), &lender,
				  v->borrow.sent_at, v->borrow.asks, m->grants,
				  v->borrow.count);
}

void sim_step_control(struct sim *sim, size_t vm)
{
	struct sim_vm *v = &sim->vms[vm];
	const apr_time_t now = sim_local_time(sim, vm);

	if (now >= v->next_tick_at) {
		v->next_tick_at = now + TICK;
		tick_control(sim, vm);
	}
	if (v->borrow.waiting && now - v->borrow.sent_at > TIMEOUT) {
		v->borrow.waiting = false;
		v->silent_until[v->targets[v->next_target - 1].vm] =
			now + SILENT_HOLD;
	}
	if (v->next_target >= v->target_count && !v->borrow.waiting &&
	    now >= v->next_round_at) {
		v->next_round_at = now + INTERVAL;
		start_round(sim, vm);
	}
	next_borrow(sim, vm);
}

static void count_taken(struct sim *sim, size_t limit, uint64_t amount)
{
	const size_t slot = (size_t)(sim->now / SIM_STEP) % (SIM_WINDOW + 1);

	sim->window[limit][slot] += amount;
	sim->sum[limit] += amount;
	sim->total[limit] += amount;
}

void sim_step_entry(struct sim *sim, size_t vm)
{
	const size_t takes = (size_t)SIM_LIMITS * RANK_COUNT;
	struct sim_vm *v = &sim->vms[vm];
	const apr_time_t now = sim_local_time(sim, vm);

	if (v->draw.waiting && now - v->draw.sent_at > TIMEOUT)
		v->draw.waiting = false;
	if (!v->draw.waiting && now >= v->next_draw_at) {
		struct lending_ask asks[LENDING_ASKS_MAX];
		struct message m = {.kind = MSG_DRAW, .to = vm};

		m.count = limiter_plan(v->limiter, now, asks);
		memcpy(m.asks, asks, m.count * sizeof(asks[0]));
		v->next_draw_at = now + INTERVAL;
		sim_call(sim, vm, &v->draw, &m);
	}
	for (size_t i = 0; v->wants && i < takes; i++) {
		const enum rank rank =
			(enum rank)((i + (size_t)random()) % RANK_COUNT);
		const size_t at = i / RANK_COUNT;
		const uint64_t want =
			at == SIM_LINK ? 65536 : 1 + (uint64_t)random() % 4;

		count_taken(
			sim, at,
			limiter_take(v->limiter,
				     limiter_limit(v->limiter, sim->ids[at], 1),
				     now, rank, want));
	}
}
