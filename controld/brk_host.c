#include "controld/brk_host.h"

#include <stdlib.h>

#include "agent/permit_batch.h"
#include "agent/permit_local.h"
#include "common/err.h"
#include "common/evt.h"
#include "controld/brk_client.h"
#include "policy/brk_core.h"

#define LOG_MODULE "broker"

/* Time without a tick after which the process has been paused. */
#define PAUSE_TIME CLK_MS(800)

/* Time without entry VMs after which a broker ends. */
#define BROKER_IDLE CLK_SEC(30)

/* The broker of one service and failure domain. */
struct role {
	struct role *next;
	struct brk_host *host;
	struct strbuf service;
	struct strbuf domain;
	struct brk *brk;
	bool learning;
	apr_time_t used_at;
};

struct brk_host {
	const struct settings *set;
	uint64_t incarnation;
	struct brk_host_io io;
	struct ctl_view *view;
	struct role *roles;
	struct brk_clients clients;
	bool targets_changed;
	uint32_t epochs;
	apr_time_t now;
};

static pmt_answers *answers_for(const struct brk_host *host,
				struct brk_client *c)
{
	if (!c->answers)
		c->answers = permit_answers_new(
			host->set->vm.id, host->incarnation, c->incarnation);
	return c->answers;
}

static void log_answer(const struct role *role, const struct brk_answer *a)
{
	if (a->result == PERMIT_GRANTED)
		evt_log(PERMIT_GRANTED,
			"service=%s domain=%s entry=%s ask=%llu rank=%s "
			"upstream=%s permit=%llx among=%u free=%u waiting=%u "
			"waited_us=%lld why=%s",
			role->service.ptr, role->domain.ptr, a->entry->ptr,
			(unsigned long long)a->ask, rank_name(a->rank),
			a->up->vm.name.ptr, (unsigned long long)a->permit,
			a->among, a->free, a->waiting, (long long)a->waited,
			brk_why_name(a->why));
	else
		evt_log(PERMIT_REFUSED,
			"service=%s domain=%s entry=%s ask=%llu rank=%s "
			"result=%d waiting=%u retry_ms=%lld",
			role->service.ptr, role->domain.ptr, a->entry->ptr,
			(unsigned long long)a->ask, rank_name(a->rank),
			(int)a->result, a->waiting,
			(long long)a->retry_after / 1000);
}

static void on_answer(void *ctx, const struct brk_answer *a)
{
	struct role *role = ctx;
	struct brk_client *c =
		brk_client_find(&role->host->clients, strbuf_str(a->entry));
	pmt_answers *answers = c ? answers_for(role->host, c) : NULL;
	const pmt_answer answer = {
		.ask = a->ask,
		.result = a->result,
		.permit = a->permit,
		.grant = a->grant,
		.port = a->up ? a->up->vm.port : 0,
		.retry_ms = (u_int)(a->retry_after / 1000),
	};

	/* What is lost here is asked for again. */
	if (answers)
		permit_answers_add(
			answers, &answer, strbuf_str(&role->service),
			strbuf_str(&role->domain),
			a->up ? strbuf_str(&a->up->vm.name) : STR_LIT(""),
			a->up ? strbuf_str(&a->up->vm.address) : STR_LIT(""));
	log_answer(role, a);
}

static void on_capacity(void *ctx, const struct brk_up *up)
{
	const struct role *role = ctx;

	evt_log(UPSTREAM_CAPACITY,
		"service=%s domain=%s upstream=%s slots=%u usable=%u why=%s",
		role->service.ptr, role->domain.ptr, up->vm.name.ptr,
		up->vm.slots, up->usable, brk_up_why_name(up->why));
}

static void on_expired(void *ctx, const struct strbuf *entry, size_t permits)
{
	const struct role *role = ctx;

	if (!permits)
		return;
	evt_log(PERMIT_EXPIRED, "service=%s domain=%s entry=%s permits=%zu",
		role->service.ptr, role->domain.ptr, entry->ptr, permits);
}

/* Live entry VMs of the own region: those that mostly use its upstreams. */
static bool is_near(const struct brk_host *host, const struct vm *vm)
{
	return vm->kind == VM_ENTRY && vm->state == VM_LIVE &&
	       str_eq(strbuf_str(&vm->region), host->set->vm.region);
}

static size_t near_entries(const struct brk_host *host)
{
	const struct vml *vml = host->view ? host->view->vml : NULL;
	size_t count = 0;

	for (size_t i = 0; vml && i < vml->count; i++)
		count += is_near(host, &vml->vms[i]);
	return count;
}

/* Asks the entry VMs of the region what they hold of a new broker's. */
static void query_entries(const struct role *role)
{
	struct brk_host *host = role->host;
	const struct vml *vml = host->view ? host->view->vml : NULL;

	for (size_t i = 0; vml && i < vml->count; i++) {
		const struct vm *vm = &vml->vms[i];
		struct brk_client *c =
			brk_client_find(&host->clients, strbuf_str(&vm->id));

		if (!is_near(host, vm))
			continue;
		if (!c) {
			c = brk_client_add(&host->clients, strbuf_str(&vm->id),
					   host->now);
			if (!c)
				continue;
			c->region = vm->region;
			c->address = vm->address;
		}
		if (answers_for(host, c))
			permit_answers_query(c->answers,
					     strbuf_str(&role->service),
					     strbuf_str(&role->domain));
	}
}

static void role_view(struct role *role)
{
	const struct ctl_view *view = role->host->view;
	const apr_time_t now = role->host->now;
	struct brk_listed *vms = NULL;
	uint32_t pct[RANK_COUNT];
	size_t count;

	if (!view)
		return;
	count = permit_listed(view->vml, strbuf_str(&role->service),
			      strbuf_str(&role->domain), &vms);
	permit_reserves(view->tbl, strbuf_str(&role->service), pct);
	brk_expect(role->brk, near_entries(role->host));
	brk_set_reserves(role->brk, pct, now);
	/* After a failure the next view brings what is missing. */
	if (vms)
		(void)brk_set_upstreams(role->brk, vms, count, now);
	free(vms);
	role->host->targets_changed = true;
}

static struct brk_cfg broker_cfg(struct brk_host *host)
{
	const struct set_broker *set = &host->set->broker;

	return (struct brk_cfg){
		.up = {.ramp = CLK_MS(set->ramp_ms),
		       .ramp_start_pct = (uint32_t)set->ramp_start_pct,
		       .shed_hold = CLK_MS(set->shed_hold_ms),
		       .silent_hold = CLK_MS(set->silent_hold_ms),
		       .drain_hold = CLK_MS(set->drain_hold_ms)},
		.permit_ttl = CLK_MS(set->permit_ttl_ms),
		.learn = CLK_MS(set->learn_ms),
		.line_max = (uint32_t)set->line_max,
		.epoch = brk_epoch(host->incarnation, ++host->epochs),
	};
}

static struct role *new_role(struct brk_host *host, struct str service,
			     struct str domain)
{
	const struct brk_cfg cfg = broker_cfg(host);
	struct role *role = calloc(1, sizeof(*role));
	struct brk_sink sink = {
		.answer = on_answer,
		.capacity = on_capacity,
		.expired = on_expired,
		.ctx = role,
	};

	if (!role || strbuf_set(&role->service, service) ||
	    strbuf_set(&role->domain, domain) ||
	    brk_create(&role->brk, &cfg, sink, host->now)) {
		free(role);
		return NULL;
	}
	role->host = host;
	role->learning = cfg.learn > 0;
	role->next = host->roles;
	host->roles = role;
	evt_log(BROKER_START, "service=%s domain=%s entries=%zu",
		role->service.ptr, role->domain.ptr, near_entries(host));
	role_view(role);
	query_entries(role);
	return role;
}

static struct role *role_for(struct brk_host *host, struct str service,
			     struct str domain)
{
	for (struct role *role = host->roles; role; role = role->next) {
		if (str_eq(strbuf_str(&role->service), service) &&
		    str_eq(strbuf_str(&role->domain), domain))
			return role;
	}
	if (host->view && (tbl_service_find(host->view->tbl, service) < 0 ||
			   tbl_domain_find(host->view->tbl, domain) < 0))
		return NULL;
	return new_role(host, service, domain);
}

static void note_learned(struct role *role)
{
	struct brk_stats stats;

	if (!role->learning || brk_learning(role->brk))
		return;
	role->learning = false;
	brk_stats(role->brk, &stats);
	evt_log(BROKER_LEARNED, "service=%s domain=%s entries=%zu permits=%zu",
		role->service.ptr, role->domain.ptr, stats.entries,
		stats.permits);
}

static void take_full(struct role *role, struct brk_entry *entry,
		      const pmt_part *part)
{
	const u_int count = part->held.held_len;
	struct brk_claim *claims = calloc(count + 1, sizeof(*claims));

	if (!claims)
		return;
	for (u_int i = 0; i < count; i++) {
		const pmt_held *held = &part->held.held_val[i];

		claims[i] = (struct brk_claim){
			.permit = held->permit,
			.ask = held->ask,
			.rank = held->rank < RANK_COUNT ? (enum rank)held->rank
							: RANK_BULK,
			.age = (apr_interval_time_t)held->age_us,
		};
		strbuf_set(&claims[i].upstream, str_from_c(held->upstream));
	}
	brk_sync(role->brk, entry, claims, count, part->seen, role->host->now);
	free(claims);
}

static void take_releases(struct role *role, struct brk_entry *entry,
			  const pmt_part *part)
{
	for (u_int i = 0; i < part->releases.releases_len; i++) {
		const pmt_release *r = &part->releases.releases_val[i];

		brk_release(role->brk, entry, r->permit,
			    r->outcome < PERMIT_OUTCOMES
				    ? (enum permit_outcome)r->outcome
				    : PERMIT_FAILED,
			    role->host->now);
	}
}

static void take_reports(struct role *role, const pmt_part *part)
{
	for (u_int i = 0; i < part->reports.reports_len; i++) {
		const pmt_report *r = &part->reports.reports_val[i];
		const struct permit_report report = {
			.load_permille = r->load_permille,
			.draining = r->draining,
			.cold = r->cold,
		};

		brk_report(role->brk, str_from_c(r->upstream), &report,
			   role->host->now);
	}
}

static void take_part(struct brk_host *host, const struct brk_client *c,
		      const pmt_part *part)
{
	struct role *role = role_for(host, str_from_c(part->service),
				     str_from_c(part->domain));
	struct brk_entry *entry;

	if (!role)
		return;
	entry = brk_hello(role->brk, strbuf_str(&c->entry), c->incarnation,
			  host->now);
	if (!entry)
		return;
	role->used_at = host->now;
	brk_far(entry, c->round_trip);
	take_reports(role, part);
	take_releases(role, entry, part);
	for (u_int i = 0; i < part->cancels.cancels_len; i++)
		brk_cancel(role->brk, entry, part->cancels.cancels_val[i],
			   host->now);
	if (part->full)
		take_full(role, entry, part);
	for (u_int i = 0; i < part->asks.asks_len; i++) {
		const pmt_ask *a = &part->asks.asks_val[i];
		const struct brk_ask ask = {
			.id = a->id,
			.rank = a->rank < RANK_COUNT ? (enum rank)a->rank
						     : RANK_BULK,
			.deadline = host->now + (apr_interval_time_t)a->left_us,
		};

		brk_ask(role->brk, entry, &ask, host->now);
	}
	note_learned(role);
}

static void drop_role(struct role **link, const char *reason)
{
	struct role *role = *link;

	evt_log(BROKER_STOP, "service=%s domain=%s reason=%s",
		role->service.ptr, role->domain.ptr, reason);
	*link = role->next;
	role->host->targets_changed = true;
	brk_destroy(role->brk);
	free(role);
}

/*
 * After a pause other brokers may have given the same slots, and what waits
 * in the rings is old: brokers begin anew and learn what is held.
 */
static void move_to(struct brk_host *host, apr_time_t now)
{
	const apr_interval_time_t gap = now - host->now;

	if (host->now && gap > PAUSE_TIME && host->roles) {
		evt_log(PAUSE_DETECTED, "gap_ms=%lld", (long long)gap / 1000);
		while (host->roles)
			drop_role(&host->roles, "paused");
		for (struct brk_client *c = host->clients.first; c;
		     c = c->next) {
			c->resync = true;
			c->wanted = true;
			c->heard_at = now;
		}
	}
	host->now = now;
}

static void send_answers(struct brk_host *host, struct brk_client *c)
{
	struct permit_mail mail = {
		.port = (uint16_t)host->set->entry.rpc_port,
		.prog = PMT_PROG_ENTRY,
		.vers = PMT_VERS,
		.proc = PMT_PROC_ANSWERS,
		.xargs = (xdrproc_t)xdr_pmt_answers,
	};

	brk_client_take(c, &mail, host->now);
	host->io.send(host->io.ctx, &mail);
}

static bool wants_answer(const pmt_batch *batch)
{
	for (u_int i = 0; i < batch->parts.parts_len; i++) {
		if (batch->parts.parts_val[i].asks.asks_len)
			return true;
	}
	return batch->ping;
}

int brk_host_create(struct brk_host **out, const struct settings *set,
		    uint64_t incarnation, struct brk_host_io io)
{
	struct brk_host *host = calloc(1, sizeof(*host));

	if (!host || brk_clients_init(&host->clients)) {
		free(host);
		return PST_ERR_NOMEM;
	}
	host->set = set;
	host->incarnation = incarnation;
	host->io = io;
	*out = host;
	return 0;
}

void brk_host_destroy(struct brk_host *host)
{
	if (!host)
		return;
	while (host->roles)
		drop_role(&host->roles, "exit");
	brk_clients_done(&host->clients);
	if (host->view)
		ctl_view_put(host->view);
	free(host);
}

void brk_host_view(struct brk_host *host, struct ctl_view *view, apr_time_t now)
{
	move_to(host, now);
	ref_get(&view->ref);
	if (host->view)
		ctl_view_put(host->view);
	host->view = view;
	for (struct role *role = host->roles; role; role = role->next)
		role_view(role);
}

void brk_host_batch(struct brk_host *host, const pmt_batch *batch,
		    const struct strbuf *address, apr_time_t now)
{
	struct brk_client *c;

	move_to(host, now);
	c = brk_client_for(&host->clients, batch, address, now);
	if (!c)
		return;
	if (batch->seq <= c->got_seq) {
		evt_log(BROKER_BATCH_REFUSED, "peer=%s err=%s", address->ptr,
			err_name(PST_ERR_STALE));
		return;
	}
	if (batch->seq > c->got_seq + 1)
		c->resync = true;
	c->got_seq = batch->seq;
	brk_client_confirm(c, batch->heard, now);
	c->wanted = c->wanted || c->resync || wants_answer(batch);
	for (u_int i = 0; i < batch->parts.parts_len; i++)
		take_part(host, c, &batch->parts.parts_val[i]);
}

void brk_host_report(struct brk_host *host, const struct strbuf *upstream,
		     const struct permit_report *report, apr_time_t now)
{
	move_to(host, now);
	for (struct role *role = host->roles; role; role = role->next)
		brk_report(role->brk, strbuf_str(upstream), report, now);
}

void brk_host_tick(struct brk_host *host, apr_time_t now)
{
	struct role **link = &host->roles;
	struct brk_client **client = &host->clients.first;

	move_to(host, now);
	while (*link) {
		brk_tick((*link)->brk, now);
		note_learned(*link);
		if (now - (*link)->used_at > BROKER_IDLE)
			drop_role(link, "idle");
		else
			link = &(*link)->next;
	}
	while (*client) {
		if (now - (*client)->heard_at > BROKER_IDLE)
			brk_client_drop(&host->clients, client);
		else
			client = &(*client)->next;
	}
}

void brk_host_flush(struct brk_host *host, apr_time_t now)
{
	host->now = now;
	for (struct brk_client *c = host->clients.first; c; c = c->next) {
		if (c->wanted)
			answers_for(host, c);
		if (c->answers)
			send_answers(host, c);
	}
}

bool brk_host_busy(const struct brk_host *host)
{
	struct brk_stats stats;

	for (struct role *role = host->roles; role; role = role->next) {
		brk_stats(role->brk, &stats);
		for (int r = 0; r < RANK_COUNT; r++) {
			if (stats.waiting_by[r])
				return true;
		}
	}
	return false;
}

size_t brk_host_held(const struct brk_host *host)
{
	struct brk_stats stats;
	size_t held = 0;

	for (struct role *role = host->roles; role; role = role->next) {
		brk_stats(role->brk, &stats);
		held += stats.permits;
	}
	return held;
}

bool brk_host_targets(struct brk_host *host, struct brk_poll_target **out,
		      size_t *count)
{
	struct brk_poll_target *targets = NULL;
	size_t made = 0;

	if (!host->targets_changed || !host->view)
		return false;
	targets = calloc(host->view->vml->count + 1, sizeof(*targets));
	if (!targets)
		return false;
	for (struct role *role = host->roles; role; role = role->next) {
		struct brk_listed *vms = NULL;
		const size_t n = permit_listed(host->view->vml,
					       strbuf_str(&role->service),
					       strbuf_str(&role->domain), &vms);

		for (size_t i = 0; i < n; i++)
			targets[made++] = (struct brk_poll_target){
				.upstream = vms[i].name,
				.address = vms[i].address,
				.port = vms[i].port,
			};
		free(vms);
	}
	host->targets_changed = false;
	*out = targets;
	*count = made;
	return true;
}
