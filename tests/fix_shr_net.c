/* Messages, the store, and what VMs see of each other. */
#include "tests/fix_shr_state.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "common/err.h"

void fs_note(const struct fs *fs, const char *fmt, ...)
{
	va_list ap;

	if (!fs->log)
		return;
	fprintf(fs->log, "%6ld ms ", (long)(fs->now / 1000));
	va_start(ap, fmt);
	vfprintf(fs->log, fmt, ap);
	va_end(ap);
	fputc('\n', fs->log);
}

size_t fs_domain_of(size_t vm)
{
	return vm / PER_DOMAIN;
}

size_t fs_region_of(size_t vm)
{
	return fs_domain_of(vm) / (FS_DOMAINS / FS_REGIONS);
}

struct strbuf fs_domain_name(size_t domain)
{
	const size_t each = FS_DOMAINS / FS_REGIONS;
	struct strbuf out;
	char text[48];

	snprintf(text, sizeof(text), "r%zu-%zu", domain / each, domain % each);
	strbuf_set(&out, str_from_c(text));
	return out;
}

struct strbuf fs_vm_name(size_t vm)
{
	struct strbuf out;
	char text[48];

	snprintf(text, sizeof(text), "vm%zu", vm);
	strbuf_set(&out, str_from_c(text));
	return out;
}

/* The VM's own time. */
apr_time_t fs_local(const struct fs *fs, size_t vm)
{
	const struct vm_sim *v = &fs->vms[vm];

	return v->offset + fs->now + fs->now / 1000 * v->drift_ppm / 1000;
}

bool fs_runs(const struct fs *fs, const struct process *p)
{
	return p->alive && p->paused_until <= fs->now;
}

/* The list as this VM sees it, which lags. */
bool fs_sees(const struct fs *fs, size_t vm, size_t other)
{
	const struct vm_sim *o = &fs->vms[other];

	if (fs->now - fs->vms[vm].list_lag >= o->list_changed)
		return o->listed;
	return !o->listed;
}

/* The order of a domain's VMs, the first being its candidate. */
size_t fs_order(const struct fs *fs, size_t vm, size_t domain, size_t *out)
{
	size_t count = 0;

	for (size_t i = 0; i < FS_VMS; i++) {
		if (fs_domain_of(i) == domain && fs_sees(fs, vm, i))
			out[count++] = i;
	}
	for (size_t i = 0; !count && i < FS_VMS; i++) {
		const size_t other = (domain * PER_DOMAIN + i) % FS_VMS;

		if (fs_sees(fs, vm, other)) {
			out[0] = other;
			return 1;
		}
	}
	return count;
}

static bool crosses_cut(const struct fs *fs, const struct message *m)
{
	const size_t a = fs_region_of(m->from);
	const size_t b = m->kind == MSG_READ || m->kind == MSG_SWAP
				 ? 0
				 : fs_region_of(m->to);

	return a != b && (fs->cut[a] || fs->cut[b]);
}

static void enqueue(struct fs *fs, const struct message *m)
{
	long most;

	for (size_t i = 0; i < MESSAGES; i++) {
		if (fs->messages[i].used)
			continue;
		fs->messages[i] = *m;
		fs->messages[i].used = true;
		if (i >= fs->message_top)
			fs->message_top = i + 1;
		most = random() % 100 < fs->slow_pct ? 400000 : 60000;
		fs->messages[i].at = fs->now + FS_STEP / 5 + random() % most;
		return;
	}
	abort();
}

static void post(struct fs *fs, const struct message *m)
{
	const bool near = m->kind == MSG_DRAW;

	if (crosses_cut(fs, m) || (!near && random() % 100 < fs->loss_pct))
		return;
	enqueue(fs, m);
	if (random() % 100 < fs->double_pct)
		enqueue(fs, m);
}

void fs_call(struct fs *fs, size_t vm, struct call *c, struct message *m)
{
	const struct vm_sim *v = &fs->vms[vm];

	c->waiting = true;
	c->seq = ++fs->seq;
	c->sent_at = fs_local(fs, vm);
	memcpy(c->asks, m->asks, sizeof(c->asks));
	c->count = m->count;
	m->from = vm;
	m->seq = c->seq;
	m->from_process =
		m->kind == MSG_DRAW ? v->entry.number : v->control.number;
	post(fs, m);
}

static void answer(struct fs *fs, struct message *m)
{
	m->reply = true;
	m->used = false;
	post(fs, m);
}

static void serve_store(struct fs *fs, struct message *m)
{
	struct shr_record *record = &fs->store[m->domain];

	if (fs->store_down)
		return;
	m->err = 0;
	if (m->kind == MSG_READ) {
		m->record = *record;
		answer(fs, m);
		return;
	}
	if (m->record.present ? record->revision != m->record.revision
			      : record->present) {
		m->err = PST_ERR_CONFLICT;
	} else {
		*record = (struct shr_record){
			.present = true,
			.revision = ++fs->store_revision,
			.holder = fs_vm_name(m->from),
			.incarnation = m->from_process,
		};
		m->record = *record;
	}
	if (!fs->lose_swaps)
		answer(fs, m);
}

static void serve_about(struct fs *fs, struct message *m)
{
	struct vm_sim *v = &fs->vms[m->to];
	const struct shr_view view = fs_view_of(fs, m->to, m->domain);
	const apr_time_t now = fs_local(fs, m->to);
	bool holds;

	if (m->record.incarnation != v->control.number) {
		m->answer = SHR_REPLY_GONE;
		answer(fs, m);
		return;
	}
	holds = shr_root_asks(&v->roots[m->domain], now, m->record.revision,
			      &view);
	fs_apply_roots(fs, m->to);
	m->answer = holds ? SHR_REPLY_HOLDS : SHR_REPLY_NOT;
	m->rest = shr_node_rest(v->node, now);
	if (!holds)
		fs_note(fs, "vm%zu gives up r%zu-%zu", m->to, m->domain / 2,
			m->domain % 2);
	answer(fs, m);
}

static void serve_borrow(struct fs *fs, struct message *m)
{
	struct vm_sim *v = &fs->vms[m->to];
	struct shr_borrower from = {
		.name = fs_vm_name(m->from),
		.incarnation = m->from_process,
		.level = m->kind == MSG_DRAW ? SHR_CHILD : m->level,
	};

	if (from.level == SHR_PEER)
		from.lender = fs_domain_name(m->domain);
	fs_apply_roots(fs, m->to);
	shr_node_serve(v->node, fs_local(fs, m->to), &from, m->asks, m->count,
		       m->grants);
	answer(fs, m);
}

static void take_reply(struct fs *fs, const struct message *m)
{
	struct vm_sim *v = &fs->vms[m->from];

	if (m->kind == MSG_DRAW) {
		if (m->from_process != v->entry.number || !v->draw.waiting ||
		    m->seq != v->draw.seq)
			return;
		v->draw.waiting = false;
		ql_apply(v->ql, v->draw.sent_at, v->draw.asks, m->grants,
			 v->draw.count);
		return;
	}
	if (m->from_process != v->control.number)
		return;
	if (m->kind == MSG_BORROW) {
		if (v->borrow.waiting && m->seq == v->borrow.seq)
			fs_end_borrow(fs, m->from, m);
		return;
	}
	if (v->root_calls[m->domain].waiting &&
	    m->seq == v->root_calls[m->domain].seq)
		fs_end_root_call(fs, m->from, m->domain, m);
}

/* A paused process handles its messages when it runs again. */
void fs_deliver(struct fs *fs, struct message *slot)
{
	const struct vm_sim *to = &fs->vms[slot->reply ? slot->from : slot->to];
	const bool store = !slot->reply &&
			   (slot->kind == MSG_READ || slot->kind == MSG_SWAP);
	const struct process *p = slot->reply && slot->kind == MSG_DRAW
					  ? &to->entry
					  : &to->control;
	struct message m;

	if (!store && p->alive && p->paused_until > fs->now)
		return;
	m = *slot;
	slot->used = false;
	if (store) {
		serve_store(fs, &m);
	} else if (!p->alive) {
		/* Nothing listens there, and the kernel says so. */
		if (m.kind != MSG_ABOUT || m.reply || !to->listed)
			return;
		m.answer = SHR_REPLY_GONE;
		answer(fs, &m);
	} else if (m.reply) {
		take_reply(fs, &m);
	} else if (m.kind == MSG_ABOUT) {
		serve_about(fs, &m);
	} else {
		serve_borrow(fs, &m);
	}
}
