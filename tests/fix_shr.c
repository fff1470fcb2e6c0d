#include "tests/fix_shr.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "common/clk.h"
#include "common/err.h"
#include "tests/fix_limits.h"

#define LOAN	 CLK_MS(2000)
#define INTERVAL CLK_MS(250)
#define TICK	 CLK_MS(100)
#define TIMEOUT	 CLK_MS(500)
#define SILENT	 CLK_SEC(2)

/* Clocks differ by less than one part in SHR_DRIFT from each other. */
#define DRIFT_PPM  (1000000 / SHR_DRIFT / 2 - 100)

#define LINK_MBPS  8
#define INTAKE	   240
#define MESSAGES   4096
#define PER_DOMAIN (FS_VMS / FS_DOMAINS)

/* Times a limit is lowered by or raised to in the matching faults. */
#define CHANGED_FACTOR 2

/* After this an edit is in force on every VM. */
#define EDIT_BOUND CLK_SEC(5)

/* What a lowered limit may still take: an edit's way and its last loans. */
#define LOWERED_WITHIN (EDIT_BOUND + LOAN + CLK_SEC(2))

enum kind {
	MSG_BORROW,
	MSG_DRAW,
	MSG_ABOUT,
	MSG_READ,
	MSG_SWAP,
};

struct message {
	bool used;
	bool reply;
	enum kind kind;
	size_t from;
	size_t to;
	uint64_t from_process;
	uint64_t seq;
	apr_time_t at;
	enum shr_level level;
	struct shr_ask asks[FS_LIMITS];
	struct shr_grant grants[FS_LIMITS];
	size_t count;
	size_t domain;
	struct shr_record record;
	int err;
	enum shr_reply answer;
	apr_interval_time_t rest;
};

/* A duty waits for one answer at a time. */
struct call {
	bool waiting;
	uint64_t seq;
	apr_time_t sent_at;
	size_t domain;
	struct shr_ask asks[FS_LIMITS];
	size_t count;
};

struct process {
	bool alive;
	uint64_t number;
	apr_time_t paused_until;
};

struct vm_sim {
	apr_interval_time_t offset;
	int drift_ppm;
	struct process control;
	struct process entry;
	struct shr_node *node;
	struct shr_root roots[FS_DOMAINS];
	struct call root_calls[FS_DOMAINS];
	struct call borrow;
	/* Next domain of the round; FS_DOMAINS: between rounds. */
	size_t round;
	bool child;
	bool acting;
	size_t parent;
	apr_time_t round_at;
	apr_time_t tick_at;
	apr_time_t silent_until[FS_VMS];
	struct ql *ql;
	struct call draw;
	apr_time_t draw_at;
	bool wants;
	/* As the platform's list has it, and since when. */
	bool listed;
	apr_time_t list_changed;
	apr_interval_time_t list_lag;
	apr_interval_time_t edit_lag;
	apr_time_t absent_since;
};

struct fs {
	FILE *log;
	apr_time_t now;
	uint64_t numbers;
	uint64_t seq;
	struct vm_sim vms[FS_VMS];
	struct message messages[MESSAGES];
	/* No message is in a slot from here on. */
	size_t message_top;
	struct shr_record store[FS_DOMAINS];
	uint64_t store_revision;
	bool store_down;
	int loss_pct;
	int double_pct;
	int slow_pct;
	bool lose_swaps;
	bool cut[FS_REGIONS];
	struct shr_map *maps[2];
	apr_time_t edited_at;
	uint64_t ids[FS_LIMITS];
	uint64_t window[FS_LIMITS][FS_WINDOW + 1];
	uint64_t sum[FS_LIMITS];
	uint64_t total[FS_LIMITS];
	uint64_t excess[FS_LIMITS];
	enum fs_fault fault;
	enum fs_when when;
	bool armed;
	bool struck;
};

static void note(const struct fs *fs, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static void note(const struct fs *fs, const char *fmt, ...)
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

static size_t domain_of(size_t vm)
{
	return vm / PER_DOMAIN;
}

static size_t region_of(size_t vm)
{
	return domain_of(vm) / (FS_DOMAINS / FS_REGIONS);
}

static struct strbuf domain_name(size_t domain)
{
	const size_t each = FS_DOMAINS / FS_REGIONS;
	struct strbuf out;
	char text[48];

	snprintf(text, sizeof(text), "r%zu-%zu", domain / each, domain % each);
	strbuf_set(&out, str_from_c(text));
	return out;
}

static struct strbuf vm_name(size_t vm)
{
	struct strbuf out;
	char text[48];

	snprintf(text, sizeof(text), "vm%zu", vm);
	strbuf_set(&out, str_from_c(text));
	return out;
}

/* The VM's own time. */
static apr_time_t local(const struct fs *fs, size_t vm)
{
	const struct vm_sim *v = &fs->vms[vm];

	return v->offset + fs->now + fs->now / 1000 * v->drift_ppm / 1000;
}

static bool runs(const struct fs *fs, const struct process *p)
{
	return p->alive && p->paused_until <= fs->now;
}

/* The list as this VM sees it, which lags. */
static bool sees(const struct fs *fs, size_t vm, size_t other)
{
	const struct vm_sim *o = &fs->vms[other];

	if (fs->now - fs->vms[vm].list_lag >= o->list_changed)
		return o->listed;
	return !o->listed;
}

/* The order of a domain's VMs, the first being its candidate. */
static size_t order(const struct fs *fs, size_t vm, size_t domain, size_t *out)
{
	size_t count = 0;

	for (size_t i = 0; i < FS_VMS; i++) {
		if (domain_of(i) == domain && sees(fs, vm, i))
			out[count++] = i;
	}
	for (size_t i = 0; !count && i < FS_VMS; i++) {
		const size_t other = (domain * PER_DOMAIN + i) % FS_VMS;

		if (sees(fs, vm, other)) {
			out[0] = other;
			return 1;
		}
	}
	return count;
}

static void start_control(struct fs *fs, size_t vm)
{
	struct vm_sim *v = &fs->vms[vm];
	const struct strbuf self = vm_name(vm);

	shr_node_destroy(v->node);
	shr_node_create(&v->node, LOAN);
	v->control = (struct process){.alive = true, .number = ++fs->numbers};
	memset(v->root_calls, 0, sizeof(v->root_calls));
	v->borrow = (struct call){0};
	v->round = FS_DOMAINS;
	memset(v->silent_until, 0, sizeof(v->silent_until));
	for (size_t d = 0; d < FS_DOMAINS; d++) {
		const struct strbuf name = domain_name(d);

		shr_root_init(&v->roots[d], strbuf_str(&name),
			      strbuf_str(&self), v->control.number, LOAN,
			      local(fs, vm));
	}
}

static void start_entry(struct fs *fs, size_t vm)
{
	struct vm_sim *v = &fs->vms[vm];

	ql_destroy(v->ql);
	ql_create(&v->ql, local(fs, vm) + BKT_WINDOW);
	v->entry = (struct process){.alive = true, .number = ++fs->numbers};
	v->draw = (struct call){0};
	for (size_t i = 0; i < FS_LIMITS; i++)
		ql_limit(v->ql, fs->ids[i], i == FS_LINK ? 65536 : 1);
}

static void set_listed(struct fs *fs, size_t vm, bool listed)
{
	if (fs->vms[vm].listed == listed)
		return;
	fs->vms[vm].listed = listed;
	fs->vms[vm].list_changed = fs->now;
}

static bool crosses_cut(const struct fs *fs, const struct message *m)
{
	const size_t a = region_of(m->from);
	const size_t b = m->kind == MSG_READ || m->kind == MSG_SWAP
				 ? 0
				 : region_of(m->to);

	return a != b && (fs->cut[a] || fs->cut[b]);
}

static void enqueue(struct fs *fs, const struct message *m)
{
	for (size_t i = 0; i < MESSAGES; i++) {
		if (fs->messages[i].used)
			continue;
		fs->messages[i] = *m;
		fs->messages[i].used = true;
		if (i >= fs->message_top)
			fs->message_top = i + 1;
		fs->messages[i].at =
			fs->now + FS_STEP / 5 +
			random() % (random() % 100 < fs->slow_pct ? 400000
								  : 60000);
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

static void call(struct fs *fs, size_t vm, struct call *c, struct message *m)
{
	const struct vm_sim *v = &fs->vms[vm];

	c->waiting = true;
	c->seq = ++fs->seq;
	c->sent_at = local(fs, vm);
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

static struct shr_view view_of(const struct fs *fs, size_t vm, size_t domain)
{
	const struct shr_record *record = &fs->vms[vm].roots[domain].record;
	struct shr_view view = {.listed = sees(fs, vm, vm)};
	size_t vms[FS_VMS];

	view.candidate = (order(fs, vm, domain, vms) && vms[0] == vm) ||
			 (fs->vms[vm].acting && domain == domain_of(vm));
	for (size_t i = 0; record->present && i < FS_VMS; i++) {
		const struct strbuf name = vm_name(i);

		if (strbuf_eq(&name, &record->holder) && !sees(fs, vm, i))
			view.holder_absent = fs->now - fs->vms[vm].list_lag -
					     fs->vms[i].list_changed;
	}
	return view;
}

static void apply_roots(struct fs *fs, size_t vm)
{
	struct vm_sim *v = &fs->vms[vm];

	for (size_t d = 0; d < FS_DOMAINS; d++)
		shr_node_hold(v->node, strbuf_str(&v->roots[d].domain),
			      shr_root_valid(&v->roots[d], local(fs, vm)));
}

static size_t holder_of(const struct shr_record *record)
{
	for (size_t i = 0; i < FS_VMS; i++) {
		const struct strbuf name = vm_name(i);

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
		shr_root_asked(&v->roots[d], local(fs, vm), SHR_REPLY_GONE, 0);
		return;
	}
	call(fs, vm, &v->root_calls[d], &m);
}

static void end_root_call(struct fs *fs, size_t vm, size_t d,
			  const struct message *m)
{
	struct vm_sim *v = &fs->vms[vm];
	const enum shr_phase before = v->roots[d].state;
	const apr_time_t now = local(fs, vm);

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
		note(fs, "vm%zu %s %s to %s revision %lu", vm,
		     v->roots[d].domain.ptr, shr_phase_name(before),
		     shr_phase_name(v->roots[d].state),
		     (unsigned long)v->roots[d].record.revision);
	apply_roots(fs, vm);
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
	end_root_call(fs, vm, d, &m);
}

static void tick_control(struct fs *fs, size_t vm)
{
	struct vm_sim *v = &fs->vms[vm];
	const apr_time_t now = local(fs, vm);
	const bool edited =
		fs->maps[1] && fs->now >= fs->edited_at + v->edit_lag;

	shr_node_set_map(v->node, now, fs->maps[edited]);
	for (size_t d = 0; d < FS_DOMAINS; d++) {
		const struct shr_view view = view_of(fs, vm, d);

		if (v->root_calls[d].waiting &&
		    now - v->root_calls[d].sent_at > TIMEOUT)
			time_out_root(fs, vm, d);
		act(fs, vm, d, shr_root_step(&v->roots[d], now, &view));
	}
	apply_roots(fs, vm);
}

static void start_round(struct fs *fs, size_t vm)
{
	struct vm_sim *v = &fs->vms[vm];
	const apr_time_t now = local(fs, vm);
	size_t vms[FS_VMS];
	const size_t count = order(fs, vm, domain_of(vm), vms);

	v->child = false;
	v->round = 0;
	for (size_t i = 0; i < count && vms[i] != vm; i++) {
		if (domain_of(vms[i]) != domain_of(vm) ||
		    now < v->silent_until[vms[i]])
			continue;
		v->child = true;
		v->parent = vms[i];
		return;
	}
	v->acting = count && vms[0] != vm;
}

/* Sends the round's next request; ends the round after the last. */
static void next_borrow(struct fs *fs, size_t vm)
{
	struct vm_sim *v = &fs->vms[vm];
	const apr_time_t now = local(fs, vm);

	while (v->round < FS_DOMAINS && !v->borrow.waiting) {
		struct shr_ask asks[SHR_ASKS_MAX];
		struct message m = {.kind = MSG_BORROW};
		const size_t d = v->round++;
		const struct strbuf name = domain_name(d);
		size_t vms[FS_VMS];

		if (v->child) {
			v->round = FS_DOMAINS;
			m.to = v->parent;
			m.level = SHR_CHILD;
			v->borrow.domain = FS_DOMAINS;
			m.count =
				shr_node_plan(v->node, now, STR_LIT(""), asks);
		} else {
			if (!order(fs, vm, d, vms) || vms[0] == vm)
				continue;
			m.to = vms[0];
			if (now < v->silent_until[m.to])
				continue;
			m.level = SHR_PEER;
			v->borrow.domain = d;
			m.domain = d;
			m.count = shr_node_plan(v->node, now, strbuf_str(&name),
						asks);
		}
		if (!m.count && !v->child)
			continue;
		memcpy(m.asks, asks, m.count * sizeof(asks[0]));
		v->parent = m.to;
		call(fs, vm, &v->borrow, &m);
	}
}

static void end_borrow(struct fs *fs, size_t vm, const struct message *m)
{
	struct vm_sim *v = &fs->vms[vm];
	struct strbuf name = {0};

	v->borrow.waiting = false;
	if (v->child)
		v->acting = false;
	if (v->borrow.domain < FS_DOMAINS)
		name = domain_name(v->borrow.domain);
	shr_node_apply(v->node, local(fs, vm), strbuf_str(&name),
		       v->borrow.sent_at, v->borrow.asks, m->grants,
		       v->borrow.count);
}

static void step_control(struct fs *fs, size_t vm)
{
	struct vm_sim *v = &fs->vms[vm];
	const apr_time_t now = local(fs, vm);

	if (now >= v->tick_at) {
		v->tick_at = now + TICK;
		tick_control(fs, vm);
	}
	if (v->borrow.waiting && now - v->borrow.sent_at > TIMEOUT) {
		v->borrow.waiting = false;
		v->silent_until[v->parent] = now + SILENT;
	}
	if (v->round >= FS_DOMAINS && !v->borrow.waiting &&
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

static void step_entry(struct fs *fs, size_t vm)
{
	const size_t takes = (size_t)FS_LIMITS * RANK_COUNT;
	struct vm_sim *v = &fs->vms[vm];
	const apr_time_t now = local(fs, vm);

	if (v->draw.waiting && now - v->draw.sent_at > TIMEOUT)
		v->draw.waiting = false;
	if (!v->draw.waiting && now >= v->draw_at) {
		struct shr_ask asks[SHR_ASKS_MAX];
		struct message m = {.kind = MSG_DRAW, .to = vm};

		m.count = ql_plan(v->ql, now, asks);
		memcpy(m.asks, asks, m.count * sizeof(asks[0]));
		v->draw_at = now + INTERVAL;
		call(fs, vm, &v->draw, &m);
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
			.holder = vm_name(m->from),
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
	const struct shr_view view = view_of(fs, m->to, m->domain);
	const apr_time_t now = local(fs, m->to);
	bool holds;

	if (m->record.incarnation != v->control.number) {
		m->answer = SHR_REPLY_GONE;
		answer(fs, m);
		return;
	}
	holds = shr_root_asks(&v->roots[m->domain], now, m->record.revision,
			      &view);
	apply_roots(fs, m->to);
	m->answer = holds ? SHR_REPLY_HOLDS : SHR_REPLY_NOT;
	m->rest = shr_node_rest(v->node, now);
	if (!holds)
		note(fs, "vm%zu gives up r%zu-%zu", m->to, m->domain / 2,
		     m->domain % 2);
	answer(fs, m);
}

static void serve_borrow(struct fs *fs, struct message *m)
{
	struct vm_sim *v = &fs->vms[m->to];
	struct shr_borrower from = {
		.name = vm_name(m->from),
		.incarnation = m->from_process,
		.level = m->kind == MSG_DRAW ? SHR_CHILD : m->level,
	};

	if (from.level == SHR_PEER)
		from.lender = domain_name(m->domain);
	apply_roots(fs, m->to);
	shr_node_serve(v->node, local(fs, m->to), &from, m->asks, m->count,
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
			end_borrow(fs, m->from, m);
		return;
	}
	if (v->root_calls[m->domain].waiting &&
	    m->seq == v->root_calls[m->domain].seq)
		end_root_call(fs, m->from, m->domain, m);
}

/* A paused process handles its messages when it runs again. */
static void deliver(struct fs *fs, struct message *slot)
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

static bool applies(const struct fs *fs, size_t vm)
{
	const struct vm_sim *v = &fs->vms[vm];
	const struct shr_root *root = &v->roots[domain_of(vm)];
	const bool holds = shr_root_valid(root, local(fs, vm));
	struct shr_ask asks[SHR_ASKS_MAX];

	switch (fs->when) {
	case FS_AT_START:
		return fs->now >= CLK_MS(300);
	case FS_WHILE_CLAIMING:
		return root->state == SHR_CLAIMING && root->busy;
	case FS_WHILE_HOLDING:
		return holds;
	case FS_WHILE_LENDING:
		return holds && !v->wants && fs->now > CLK_SEC(4) &&
		       shr_node_rest(v->node, local(fs, vm)) > 0;
	case FS_WHILE_BORROWING:
		return v->wants && fs->now > CLK_SEC(4) && v->borrow.waiting &&
		       shr_node_plan(v->node, local(fs, vm), STR_LIT(""),
				     asks) > 0;
	case FS_WHILE_HANDING_OVER:
		return root->state == SHR_ASKING;
	case FS_WHENS:
		break;
	}
	return false;
}

static void edit(struct fs *fs, uint32_t mbps, uint32_t intake)
{
	struct tbl *tbl;

	if (fs->maps[1])
		return;
	tbl = fix_tbl(FS_REGIONS, FS_DOMAINS / FS_REGIONS, mbps, intake, 2);
	shr_map_build(&fs->maps[1], tbl);
	fs->edited_at = fs->now;
	tbl_put(tbl);
}

static void kill_vm(struct fs *fs, size_t vm)
{
	fs->vms[vm].control.alive = false;
	fs->vms[vm].entry.alive = false;
	set_listed(fs, vm, false);
}

static void strike(struct fs *fs, size_t vm)
{
	struct vm_sim *v = &fs->vms[vm];

	note(fs, "fault %s on vm%zu", fs_fault_name(fs->fault), vm);
	switch (fs->fault) {
	case FS_PAUSE_SHORT:
		v->control.paused_until = fs->now + CLK_MS(1500);
		break;
	case FS_PAUSE_LONG:
	case FS_PAUSE_UNLISTED:
		v->control.paused_until = fs->now + CLK_SEC(20);
		set_listed(fs, vm, fs->fault == FS_PAUSE_LONG);
		break;
	case FS_CONTROL_DIES:
		v->control.alive = false;
		break;
	case FS_ENTRY_DIES:
		start_entry(fs, vm);
		break;
	case FS_ENTRY_PAUSE:
		v->entry.paused_until = fs->now + CLK_SEC(5);
		break;
	case FS_VM_DIES:
		kill_vm(fs, vm);
		break;
	case FS_VM_REPLACED:
		start_control(fs, vm);
		start_entry(fs, vm);
		break;
	case FS_STORE_DOWN:
		fs->store_down = true;
		break;
	case FS_SWAP_REPLY_LOST:
		fs->lose_swaps = true;
		break;
	case FS_MESSAGES_LOST:
		fs->loss_pct = 30;
		break;
	case FS_MESSAGES_DOUBLED:
		fs->double_pct = 50;
		break;
	case FS_LIST_STALE:
		for (size_t i = 0; i < FS_VMS; i += 2)
			fs->vms[i].list_lag = CLK_SEC(30);
		set_listed(fs, vm, false);
		break;
	case FS_REGION_CUT:
		fs->cut[region_of(vm)] = true;
		break;
	case FS_LIMIT_LOWERED:
		edit(fs, LINK_MBPS / CHANGED_FACTOR, INTAKE / CHANGED_FACTOR);
		break;
	case FS_LIMIT_RAISED:
		edit(fs, LINK_MBPS * CHANGED_FACTOR, INTAKE * CHANGED_FACTOR);
		break;
	case FS_NO_FAULT:
	case FS_FAULTS:
		break;
	}
}

static void check_fault(struct fs *fs)
{
	for (size_t i = 0; fs->armed && i < FS_VMS; i++) {
		if (!runs(fs, &fs->vms[i].control) || !applies(fs, i))
			continue;
		fs->armed = false;
		fs->struck = true;
		strike(fs, i);
	}
}

uint64_t fs_limit(const struct fs *fs, size_t limit)
{
	const uint64_t old = shr_map_limit(fs->maps[0], fs->ids[limit]);
	uint64_t new = old;

	if (fs->maps[1])
		new = shr_map_limit(fs->maps[1], fs->ids[limit]);
	if (new < old && fs->now < fs->edited_at + LOWERED_WITHIN)
		return old;
	return new;
}

static void check_limits(struct fs *fs)
{
	const size_t next = (size_t)(fs->now / FS_STEP + 1) % (FS_WINDOW + 1);

	for (size_t i = 0; i < FS_LIMITS; i++) {
		const uint64_t limit = fs_limit(fs, i);

		if (fs->sum[i] > limit && fs->sum[i] - limit > fs->excess[i]) {
			fs->excess[i] = fs->sum[i] - limit;
			note(fs, "limit %zu exceeded by %lu", i,
			     (unsigned long)fs->excess[i]);
		}
		fs->sum[i] -= fs->window[i][next];
		fs->window[i][next] = 0;
	}
}

static void step(struct fs *fs)
{
	while (fs->message_top && !fs->messages[fs->message_top - 1].used)
		fs->message_top--;
	for (size_t i = 0; i < fs->message_top; i++) {
		if (fs->messages[i].used && fs->messages[i].at <= fs->now)
			deliver(fs, &fs->messages[i]);
	}
	for (size_t i = 0; i < FS_VMS; i++) {
		if (runs(fs, &fs->vms[i].control))
			step_control(fs, i);
		if (runs(fs, &fs->vms[i].entry))
			step_entry(fs, i);
	}
	check_fault(fs);
	check_limits(fs);
	fs->now += FS_STEP;
}

struct fs *fs_create(unsigned seed, FILE *log)
{
	struct fs *fs = calloc(1, sizeof(*fs));
	struct tbl *tbl = fix_tbl(FS_REGIONS, FS_DOMAINS / FS_REGIONS,
				  LINK_MBPS, INTAKE, 1);

	srandom(seed);
	fs->slow_pct = 5;
	fs->log = log;
	fs->now = CLK_MS(100);
	fs->ids[FS_LINK] = shr_link_id(STR_LIT("r0"), STR_LIT("r1"));
	fs->ids[FS_INTAKE] =
		shr_intake_id(STR_LIT("status"), RANK_URGENT, STR_LIT("r2"));
	shr_map_build(&fs->maps[0], tbl);
	tbl_put(tbl);
	for (size_t i = 0; i < FS_VMS; i++) {
		struct vm_sim *v = &fs->vms[i];

		v->offset = CLK_SEC(random() % 100000);
		v->drift_ppm =
			(int)(random() % (2 * DRIFT_PPM + 1)) - DRIFT_PPM;
		v->listed = true;
		v->list_lag = CLK_MS(random() % 3000);
		v->list_changed = -CLK_SEC(100);
		v->edit_lag = random() % EDIT_BOUND;
		start_control(fs, i);
		start_entry(fs, i);
	}
	return fs;
}

void fs_destroy(struct fs *fs)
{
	for (size_t i = 0; i < FS_VMS; i++) {
		shr_node_destroy(fs->vms[i].node);
		ql_destroy(fs->vms[i].ql);
	}
	shr_map_put(fs->maps[0]);
	shr_map_put(fs->maps[1]);
	free(fs);
}

void fs_demand(struct fs *fs, size_t vms, size_t first)
{
	for (size_t i = 0; i < FS_VMS; i++)
		fs->vms[i].wants = false;
	for (size_t i = 0; i < vms; i++)
		fs->vms[(first + i) % FS_VMS].wants = true;
}

void fs_arm(struct fs *fs, enum fs_fault fault, enum fs_when when)
{
	fs->fault = fault;
	fs->when = when;
	fs->armed = true;
}

void fs_heal(struct fs *fs)
{
	fs->armed = false;
	fs->store_down = false;
	fs->lose_swaps = false;
	fs->loss_pct = 0;
	fs->slow_pct = 0;
	fs->double_pct = 0;
	memset(fs->cut, 0, sizeof(fs->cut));
	note(fs, "faults end");
	for (size_t i = 0; i < FS_VMS; i++) {
		struct vm_sim *v = &fs->vms[i];

		v->control.paused_until = 0;
		v->entry.paused_until = 0;
		if (v->list_lag > CLK_SEC(3))
			v->list_lag = CLK_SEC(1);
		set_listed(fs, i, true);
		if (!v->control.alive)
			start_control(fs, i);
		if (!v->entry.alive)
			start_entry(fs, i);
	}
}

void fs_run(struct fs *fs, apr_interval_time_t time)
{
	const apr_time_t end = fs->now + time;

	while (fs->now < end)
		step(fs);
}

apr_time_t fs_now(const struct fs *fs)
{
	return fs->now;
}

bool fs_struck(const struct fs *fs)
{
	return fs->struck;
}

uint64_t fs_excess(const struct fs *fs, size_t limit)
{
	return fs->excess[limit];
}

uint64_t fs_taken(const struct fs *fs, size_t limit)
{
	return fs->total[limit];
}

const char *fs_fault_name(enum fs_fault fault)
{
	static const char *const names[] = {
		[FS_NO_FAULT] = "none",
		[FS_PAUSE_SHORT] = "control paused 1.5 s",
		[FS_PAUSE_LONG] = "control paused 20 s",
		[FS_PAUSE_UNLISTED] = "control paused 20 s and off the list",
		[FS_CONTROL_DIES] = "control dies",
		[FS_ENTRY_DIES] = "entry restarts",
		[FS_ENTRY_PAUSE] = "entry paused 5 s",
		[FS_VM_DIES] = "VM dies",
		[FS_VM_REPLACED] = "VM replaced at once",
		[FS_STORE_DOWN] = "store down",
		[FS_SWAP_REPLY_LOST] = "replies of swaps lost",
		[FS_MESSAGES_LOST] = "30% of messages lost",
		[FS_MESSAGES_DOUBLED] = "50% of messages doubled",
		[FS_LIST_STALE] = "list stale on half of the VMs",
		[FS_REGION_CUT] = "region cut off",
		[FS_LIMIT_LOWERED] = "limit lowered",
		[FS_LIMIT_RAISED] = "limit raised",
	};

	return names[fault];
}

const char *fs_when_name(enum fs_when when)
{
	static const char *const names[] = {
		[FS_AT_START] = "at start",
		[FS_WHILE_CLAIMING] = "claiming",
		[FS_WHILE_HOLDING] = "holding",
		[FS_WHILE_LENDING] = "lending",
		[FS_WHILE_BORROWING] = "borrowing",
		[FS_WHILE_HANDING_OVER] = "handing over",
	};

	return names[when];
}
