/* Messages, the store, and what VMs see of each other. */
#include "tests/fix_lending_state.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "common/err.h"

void sim_log(const struct sim *sim, const char *fmt, ...)
{
	va_list ap;

	if (!sim->log)
		return;
	fprintf(sim->log, "%6ld ms ", (long)(sim->now / 1000));
	va_start(ap, fmt);
	vfprintf(sim->log, fmt, ap);
	va_end(ap);
	fputc('\n', sim->log);
}

size_t sim_domain_of(size_t vm)
{
	return vm / VMS_PER_DOMAIN;
}

size_t sim_region_of(size_t vm)
{
	return sim_domain_of(vm) / (SIM_DOMAINS / SIM_REGIONS);
}

struct strbuf sim_domain_name(size_t domain)
{
	const size_t per_region = SIM_DOMAINS / SIM_REGIONS;
	struct strbuf out;
	char text[48];

	snprintf(text, sizeof(text), "r%zu-%zu", domain / per_region,
		 domain % per_region);
	strbuf_set(&out, str_from_c(text));
	return out;
}

struct strbuf sim_vm_name(size_t vm)
{
	struct strbuf out;
	char text[48];

	snprintf(text, sizeof(text), "vm%zu", vm);
	strbuf_set(&out, str_from_c(text));
	return out;
}

/* The VM's own time. */
apr_time_t sim_local_time(const struct sim *sim, size_t vm)
{
	const struct sim_vm *v = &sim->vms[vm];

	return v->offset + sim->now + sim->now / 1000 * v->drift_ppm / 1000;
}

bool sim_is_running(const struct sim *sim, const struct process *p)
{
	return p->alive && p->paused_until <= sim->now;
}

/* Whether the lagging list that a VM sees has another VM. */
bool sim_sees_listed(const struct sim *sim, size_t vm, size_t other)
{
	const struct sim_vm *o = &sim->vms[other];

	if (sim->now - sim->vms[vm].list_lag >= o->list_changed)
		return o->listed;
	return !o->listed;
}

/*
 * Writes a domain's VMs in the order in which they are asked, first its
 * candidate, and returns their number. A domain without a listed VM is
 * represented by a VM of another.
 */
size_t sim_lender_order(const struct sim *sim, size_t vm, size_t domain,
			size_t *out)
{
	size_t count = 0;

	for (size_t i = 0; i < SIM_VMS; i++) {
		if (sim_domain_of(i) == domain && sim_sees_listed(sim, vm, i))
			out[count++] = i;
	}
	for (size_t i = 0; !count && i < SIM_VMS; i++) {
		const size_t other = (domain * VMS_PER_DOMAIN + i) % SIM_VMS;

		if (sim_sees_listed(sim, vm, other)) {
			out[0] = other;
			return 1;
		}
	}
	return count;
}

static bool crosses_cut(const struct sim *sim, const struct message *m)
{
	const size_t a = sim_region_of(m->from);
	const size_t b = m->kind == MSG_READ || m->kind == MSG_SWAP
				 ? 0
				 : sim_region_of(m->to);

	return a != b && (sim->cut[a] || sim->cut[b]);
}

static void enqueue(struct sim *sim, const struct message *m)
{
	long delay_max;

	for (size_t i = 0; i < MESSAGES_MAX; i++) {
		if (sim->messages[i].used)
			continue;
		sim->messages[i] = *m;
		sim->messages[i].used = true;
		if (i >= sim->message_top)
			sim->message_top = i + 1;
		delay_max = random() % 100 < sim->slow_pct ? 400000 : 60000;
		sim->messages[i].deliver_at =
			sim->now + SIM_STEP / 5 + random() % delay_max;
		return;
	}
	abort();
}

static void post(struct sim *sim, const struct message *m)
{
	const bool local = m->kind == MSG_DRAW;

	if (crosses_cut(sim, m) || (!local && random() % 100 < sim->loss_pct))
		return;
	enqueue(sim, m);
	if (random() % 100 < sim->double_pct)
		enqueue(sim, m);
}

void sim_call(struct sim *sim, size_t vm, struct call *c, struct message *m)
{
	const struct sim_vm *v = &sim->vms[vm];

	c->waiting = true;
	c->seq = ++sim->seq;
	c->sent_at = sim_local_time(sim, vm);
	memcpy(c->asks, m->asks, sizeof(c->asks));
	c->count = m->count;
	m->from = vm;
	m->seq = c->seq;
	m->from_incarnation = m->kind == MSG_DRAW ? v->entry.incarnation
						  : v->control.incarnation;
	post(sim, m);
}

static void answer(struct sim *sim, struct message *m)
{
	m->reply = true;
	m->used = false;
	post(sim, m);
}

static void serve_store(struct sim *sim, struct message *m)
{
	struct lending_record *record = &sim->store[m->domain];

	if (sim->store_down)
		return;
	m->err = 0;
	if (m->kind == MSG_READ) {
		m->record = *record;
		answer(sim, m);
		return;
	}
	if (m->record.present ? record->revision != m->record.revision
			      : record->present) {
		m->err = PST_ERR_CONFLICT;
	} else {
		*record = (struct lending_record){
			.present = true,
			.revision = ++sim->store_revision,
			.holder = sim_vm_name(m->from),
			.incarnation = m->from_incarnation,
		};
		m->record = *record;
	}
	if (!sim->lose_swaps)
		answer(sim, m);
}

static void serve_about(struct sim *sim, struct message *m)
{
	struct sim_vm *v = &sim->vms[m->to];
	const struct lending_view view = sim_view_of(sim, m->to, m->domain);
	const apr_time_t now = sim_local_time(sim, m->to);
	bool holds;

	if (m->record.incarnation != v->control.incarnation) {
		m->answer = LENDING_REPLY_GONE;
		answer(sim, m);
		return;
	}
	holds = lending_root_on_inquiry(&v->roots[m->domain], now,
					m->record.revision, &view);
	sim_apply_roots(sim, m->to);
	m->answer = holds ? LENDING_REPLY_HOLDS : LENDING_REPLY_NOT_HELD;
	m->rest = lending_node_expiry_delay(v->node, now);
	if (!holds)
		sim_log(sim, "vm%zu gives up r%zu-%zu", m->to, m->domain / 2,
			m->domain % 2);
	answer(sim, m);
}

static void serve_borrow(struct sim *sim, struct message *m)
{
	struct sim_vm *v = &sim->vms[m->to];
	struct lending_borrower from = {
		.name = sim_vm_name(m->from),
		.incarnation = m->from_incarnation,
		.level = m->kind == MSG_DRAW ? LENDING_CHILD : m->level,
	};

	if (from.level == LENDING_PEER)
		from.lender = sim_domain_name(m->domain);
	sim_apply_roots(sim, m->to);
	lending_node_serve(v->node, sim_local_time(sim, m->to), &from, m->asks,
			   m->count, m->grants);
	answer(sim, m);
}

static void take_reply(struct sim *sim, const struct message *m)
{
	struct sim_vm *v = &sim->vms[m->from];

	if (m->kind == MSG_DRAW) {
		if (m->from_incarnation != v->entry.incarnation ||
		    !v->draw.waiting || m->seq != v->draw.seq)
			return;
		v->draw.waiting = false;
		limiter_apply(v->limiter, v->draw.sent_at, v->draw.asks,
			      m->grants, v->draw.count);
		return;
	}
	if (m->from_incarnation != v->control.incarnation)
		return;
	if (m->kind == MSG_BORROW) {
		if (v->borrow.waiting && m->seq == v->borrow.seq)
			sim_end_borrow(sim, m->from, m);
		return;
	}
	if (v->root_calls[m->domain].waiting &&
	    m->seq == v->root_calls[m->domain].seq)
		sim_end_root_call(sim, m->from, m->domain, m);
}

/* Messages to a paused process stay queued until it runs again. */
void sim_deliver(struct sim *sim, struct message *slot)
{
	const struct sim_vm *to =
		&sim->vms[slot->reply ? slot->from : slot->to];
	const bool store = !slot->reply &&
			   (slot->kind == MSG_READ || slot->kind == MSG_SWAP);
	const struct process *p = slot->reply && slot->kind == MSG_DRAW
					  ? &to->entry
					  : &to->control;
	struct message m;

	if (!store && p->alive && p->paused_until > sim->now)
		return;
	m = *slot;
	slot->used = false;
	if (store) {
		serve_store(sim, &m);
	} else if (!p->alive) {
		/* No process listens: the connection is refused. */
		if (m.kind != MSG_ABOUT || m.reply || !to->listed)
			return;
		m.answer = LENDING_REPLY_GONE;
		answer(sim, &m);
	} else if (m.reply) {
		take_reply(sim, &m);
	} else if (m.kind == MSG_ABOUT) {
		serve_about(sim, &m);
	} else {
		serve_borrow(sim, &m);
	}
}
