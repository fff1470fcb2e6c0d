/* The duties of one VM's processes. */
#include "tests/fix_shr_state.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"

void fs_start_control(struct fs *fs, size_t vm)
{
	struct vm_sim *v = &fs->vms[vm];
	const struct strbuf self = fs_vm_name(vm);

	shr_node_destroy(v->node);
	shr_node_create(&v->node, LOAN);
	v->control = (struct process){.alive = true, .number = ++fs->numbers};
	memset(v->root_calls, 0, sizeof(v->root_calls));
	v->borrow = (struct call){0};
	v->target = 0;
	v->target_count = 0;
	memset(v->answered, 0, sizeof(v->answered));
	memset(v->silent_until, 0, sizeof(v->silent_until));
	for (size_t d = 0; d < FS_DOMAINS; d++) {
		const struct strbuf name = fs_domain_name(d);

		shr_root_init(&v->roots[d], strbuf_str(&name),
			      strbuf_str(&self), v->control.number, LOAN,
			      fs_local(fs, vm));
	}
}

void fs_start_entry(struct fs *fs, size_t vm)
{
	struct vm_sim *v = &fs->vms[vm];

	ql_destroy(v->ql);
	ql_create(&v->ql, fs_local(fs, vm) + BKT_WINDOW);
	v->entry = (struct process){.alive = true, .number = ++fs->numbers};
	v->draw = (struct call){0};
	for (size_t i = 0; i < FS_LIMITS; i++)
		ql_limit(v->ql, fs->ids[i], i == FS_LINK ? 65536 : 1);
}

struct shr_view fs_view_of(const struct fs *fs, size_t vm, size_t domain)
{
	const struct shr_record *record = &fs->vms[vm].roots[domain].record;
	struct shr_view view = {.listed = fs_sees(fs, vm, vm)};
	size_t vms[FS_VMS];

	view.candidate = (fs_order(fs, vm, domain, vms) && vms[0] == vm) ||
			 (fs->vms[vm].acting && domain == fs_domain_of(vm));
	for (size_t i = 0; record->present && i < FS_VMS; i++) {
		const struct strbuf name = fs_vm_name(i);

		if (strbuf_eq(&name, &record->holder) && !fs_sees(fs, vm, i))
			view.holder_absent = fs->now - fs->vms[vm].list_lag -
					     fs->vms[i].list_changed;
	}
	return view;
}

void fs_apply_roots(struct fs *fs, size_t vm)
{
	struct vm_sim *v = &fs->vms[vm];

	for (size_t d = 0; d < FS_DOMAINS; d++)
		shr_node_hold(v->node, strbuf_str(&v->roots[d].domain),
			      shr_root_valid(&v->roots[d], fs_local(fs, vm)));
}

static size_t holder_of(const struct shr_record *record)
{
	for (size_t i = 0; i < FS_VMS; i++) {
		const struct strbuf name = fs_vm_name(i);

		if (strbuf_eq(&name, &record->holder))
			return i;
	}
	return FS_VMS;
}

static void act(struct fs *fs, size_t vm, size_t d, enum shr_action action)
{
	struct vm_sim *v = &fs->vms[vm];
	const struct shr_root *root = &v->roots[d];
	struct message m = {.domain = d, .record = root->record};

	switch (action) {
	case SHR_DO_NOTHING:
		return;
	case SHR_DO_READ:
		m.kind = MSG_READ;
		break;
	case SHR_DO_SWAP:
		m.kind = MSG_SWAP;
		break;
	case SHR_DO_ASK:
		m.kind = MSG_ABOUT;
		m.to = holder_of(&root->record);
		break;
	}
	if (m.kind == MSG_ABOUT && m.to == vm) {
		shr_root_asked(&v->roots[d], fs_local(fs, vm), SHR_REPLY_GONE,
			       0);
		return;
	}
	fs_call(fs, vm, &v->root_calls[d], &m);
}

void fs_end_root_call(struct fs *fs, size_t vm, size_t d,
		      const struct message *m)
{
	struct vm_sim *v = &fs->vms[vm];
	const enum shr_phase before = v->roots[d].state;
	const apr_time_t now = fs_local(fs, vm);

	v->root_calls[d].waiting = false;
	switch (m->kind) {
	case MSG_READ:
		shr_root_read(&v->roots[d], now, m->err, &m->record);
		break;
	case MSG_SWAP:
		shr_root_swapped(&v->roots[d], now, m->err, m->record.revision);
		break;
	case MSG_ABOUT:
		shr_root_asked(&v->roots[d], now, m->answer, m->rest);
		break;
	case MSG_BORROW:
	case MSG_DRAW:
		break;
	}
	if (before != v->roots[d].state)
		fs_note(fs, "vm%zu %s %s to %s revision %lu", vm,
			v->roots[d].domain.ptr, shr_phase_name(before),
			shr_phase_name(v->roots[d].state),
			(unsigned long)v->roots[d].record.revision);
	fs_apply_roots(fs, vm);
}

static void time_out_root(struct fs *fs, size_t vm, size_t d)
{
	struct vm_sim *v = &fs->vms[vm];
	struct message m = {.err = PST_ERR_TIMEOUT, .answer = SHR_REPLY_SILENT};

	switch (v->roots[d].state) {
	case SHR_ASKING:
		m.kind = MSG_ABOUT;
		break;
	case SHR_CLAIMING:
		m.kind = MSG_SWAP;
		break;
	case SHR_IDLE:
	case SHR_READING:
	case SHR_HOLDING:
	case SHR_SUSPENDED:
		m.kind = MSG_READ;
		break;
	}
	fs_end_root_call(fs, vm, d, &m);
}

static void tick_control(struct fs *fs, size_t vm)
{
	struct vm_sim *v = &fs->vms[vm];
	const apr_time_t now = fs_local(fs, vm);
	const bool edited =
		fs->maps[1] && fs->now >= fs->edited_at + v->edit_lag;

	shr_node_set_map(v->node, now, fs->maps[edited]);
	for (size_t d = 0; d < FS_DOMAINS; d++) {
		const struct shr_view view = fs_view_of(fs, vm, d);

		if (v->root_calls[d].waiting &&
		    now - v->root_calls[d].sent_at > TIMEOUT)
			time_out_root(fs, vm, d);
		act(fs, vm, d, shr_root_step(&v->roots[d], now, &view));
	}
	fs_apply_roots(fs, vm);
}

static void add_target(struct vm_sim *v, size_t vm, size_t domain,
		       enum shr_lender_kind kind)
{
	for (size_t i = 0; i < v->target_count; i++) {
		if (v->targets[i].vm == vm && v->targets[i].domain == domain)
			return;
	}
	v->targets[v->target_count++] =
		(struct target){.vm = vm, .domain = domain, .kind = kind};
}

/* The parent, or else the other domains; then who lent lately. */
static void start_round(struct fs *fs, size_t vm)
{
	struct vm_sim *v = &fs->vms[vm];
	const apr_time_t now = fs_local(fs, vm);
	size_t vms[FS_VMS];
	const size_t count = fs_order(fs, vm, fs_domain_of(vm), vms);
	bool child = false;

	v->target = 0;
	v->target_count = 0;
	for (size_t i = 0; i < count && vms[i] != vm && !child; i++) {
		child = fs_domain_of(vms[i]) == fs_domain_of(vm) &&
			now >= v->silent_until[vms[i]];
		if (child)
			add_target(v, vms[i], FS_DOMAINS, SHR_PARENT);
	}
	if (!child)
		v->acting = count && vms[0] != vm;
	for (size_t d = 0; d < FS_DOMAINS && !child; d++) {
		if (fs_order(fs, vm, d, vms) && vms[0] != vm &&
		    now >= v->silent_until[vms[0]])
			add_target(v, vms[0], d, SHR_OTHER_DOMAIN);
	}
	for (size_t i = 0; i < TARGETS; i++) {
		const size_t other = i / (FS_DOMAINS + 1);
		const size_t d = i % (FS_DOMAINS + 1);

		if (v->answered[other][d] &&
		    now < v->answered[other][d] + LOAN &&
		    now >= v->silent_until[other])
			add_target(v, other, d, SHR_FORMER);
	}
}

static struct shr_lender lender_of(const struct target *target,
				   const struct strbuf *vm,
				   const struct strbuf *domain)
{
	struct shr_lender lender = {.kind = target->kind, .vm = strbuf_str(vm)};

	if (target->domain < FS_DOMAINS)
		lender.domain = strbuf_str(domain);
	return lender;
}

/* Sends the round's next request; ends the round after the last. */
static void next_borrow(struct fs *fs, size_t vm)
{
	struct vm_sim *v = &fs->vms[vm];

	while (v->target < v->target_count && !v->borrow.waiting) {
		const struct target *target = &v->targets[v->target++];
		const struct strbuf name = fs_vm_name(target->vm);
		const struct strbuf domain = fs_domain_name(target->domain);
		const struct shr_lender lender =
			lender_of(target, &name, &domain);
		struct shr_ask asks[SHR_ASKS_MAX];
		struct message m = {
			.kind = MSG_BORROW,
			.to = target->vm,
			.domain = target->domain,
			.level = target->domain < FS_DOMAINS ? SHR_PEER
							     : SHR_CHILD,
		};

		m.count =
			shr_node_plan(v->node, fs_local(fs, vm), &lender, asks);
		if (!m.count && target->kind != SHR_PARENT)
			continue;
		memcpy(m.asks, asks, m.count * sizeof(asks[0]));
		fs_call(fs, vm, &v->borrow, &m);
	}
}

void fs_end_borrow(struct fs *fs, size_t vm, const struct message *m)
{
	struct vm_sim *v = &fs->vms[vm];
	const struct target *target = &v->targets[v->target - 1];
	const struct strbuf name = fs_vm_name(target->vm);
	const struct strbuf domain = fs_domain_name(target->domain);
	const struct shr_lender lender = lender_of(target, &name, &domain);

	v->borrow.waiting = false;
	if (target->kind == SHR_PARENT)
		v->acting = false;
	v->answered[target->vm][target->domain] = fs_local(fs, vm);
	shr_node_apply(v->node, fs_local(fs, vm), &lender, v->borrow.sent_at,
		       v->borrow.asks, m->grants, v->borrow.count);
}

void fs_step_control(struct fs *fs, size_t vm)
{
	struct vm_sim *v = &fs->vms[vm];
	const apr_time_t now = fs_local(fs, vm);

	if (now >= v->tick_at) {
		v->tick_at = now + TICK;
		tick_control(fs, vm);
	}
	if (v->borrow.waiting && now - v->borrow.sent_at > TIMEOUT) {
		v->borrow.waiting = false;
		v->silent_until[v->targets[v->target - 1].vm] = now + SILENT;
	}
	if (v->target >= v->target_count && !v->borrow.waiting &&
	    now >= v->round_at) {
		v->round_at = now + INTERVAL;
		start_round(fs, vm);
	}
	next_borrow(fs, vm);
}

static void count_taken(struct fs *fs, size_t limit, uint64_t amount)
{
	const size_t slot = (size_t)(fs->now / FS_STEP) % (FS_WINDOW + 1);

	fs->window[limit][slot] += amount;
	fs->sum[limit] += amount;
	fs->total[limit] += amount;
}

void fs_step_entry(struct fs *fs, size_t vm)
{
	const size_t takes = (size_t)FS_LIMITS * RANK_COUNT;
	struct vm_sim *v = &fs->vms[vm];
	const apr_time_t now = fs_local(fs, vm);

	if (v->draw.waiting && now - v->draw.sent_at > TIMEOUT)
		v->draw.waiting = false;
	if (!v->draw.waiting && now >= v->draw_at) {
		struct shr_ask asks[SHR_ASKS_MAX];
		struct message m = {.kind = MSG_DRAW, .to = vm};

		m.count = ql_plan(v->ql, now, asks);
		memcpy(m.asks, asks, m.count * sizeof(asks[0]));
		v->draw_at = now + INTERVAL;
		fs_call(fs, vm, &v->draw, &m);
	}
	for (size_t i = 0; v->wants && i < takes; i++) {
		const enum rank rank =
			(enum rank)((i + (size_t)random()) % RANK_COUNT);
		const size_t at = i / RANK_COUNT;
		const uint64_t want =
			at == FS_LINK ? 65536 : 1 + (uint64_t)random() % 4;

		count_taken(fs, at,
			    ql_take(v->ql, ql_limit(v->ql, fs->ids[at], 1), now,
				    rank, want));
	}
}
