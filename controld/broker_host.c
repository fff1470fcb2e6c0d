#include "controld/broker_host.h"

#include <stdlib.h>

#include "agent/permit_batch.h"
#include "agent/permit_local.h"
#include "common/err.h"
#include "common/evt.h"
#include "controld/broker_client.h"
#include "policy/broker_core.h"

#define LOG_MODULE "broker"

/* Time between calls above which the process is taken to have been paused. */
#define PAUSE_TIME CLK_MS(800)

/* Idle time after which a broker ends, and a client is dropped. */
#define BROKER_IDLE CLK_SEC(30)

/* The broker of one service and failure domain. */
struct hosted_broker {
	struct hosted_broker *next;
	struct broker_host *host;
	struct strbuf service;
	struct strbuf domain;
	struct broker *broker;
	bool learning;
	apr_time_t used_at;
};

struct broker_host {
	const struct settings *set;
	uint64_t incarnation;
	struct broker_host_io io;
	struct ctl_view *view;
	struct hosted_broker *brokers;
	struct broker_clients clients;
	bool targets_changed;
	uint32_t brokers_created;
	apr_time_t now;
};

static pmt_answers *get_answers(const struct broker_host *host,
				struct broker_client *c)
{
	if (!c->answers)
		c->answers = permit_answers_new(
			host->set->vm.id, host->incarnation, c->incarnation);
	return c->answers;
}

static void log_answer(const struct hosted_broker *hosted,
		       const struct broker_answer *a)
{
	if (a->result == PERMIT_GRANTED)
		evt_log(PERMIT_GRANTED,
			"service=%s domain=%s entry=%s ask=%llu rank=%s "
			"upstream=%s permit=%llx among=%u free=%u waiting=%u "
			"waited_us=%lld why=%s",
			hosted->service.ptr, hosted->domain.ptr, a->entry->ptr,
			(unsigned long long)a->ask, rank_name(a->rank),
			a->up->vm.name.ptr, (unsigned long long)a->permit,
			a->upstream_count, a->free, a->waiting,
			(long long)a->waited, broker_why_name(a->why));
	else
		evt_log(PERMIT_REFUSED,
			"service=%s domain=%s entry=%s ask=%llu rank=%s "
			"result=%d waiting=%u retry_ms=%lld",
			hosted->service.ptr, hosted->domain.ptr, a->entry->ptr,
			(unsigned long long)a->ask, rank_name(a->rank),
			(int)a->result, a->waiting,
			(long long)a->retry_after / 1000);
}

static void on_answer(void *ctx, const struct broker_answer *a)
{
	struct hosted_broker *hosted = ctx;
	struct broker_client *c = broker_client_find(&hosted->host->clients,
						     strbuf_str(a->entry));
	pmt_answers *answers = c ? get_answers(hosted->host, c) : NULL;
	const pmt_answer answer = {
		.ask = a->ask,
		.result = a->result,
		.permit = a->permit,
		.grant = a->grant,
		.port = a->up ? a->up->vm.port : 0,
		.retry_ms = (u_int)(a->retry_after / 1000),
	};

	/* After a failure the entry VM asks again. */
	if (answers)
		permit_answers_add(
			answers, &answer, strbuf_str(&hosted->service),
			strbuf_str(&hosted->domain),
			a->up ? strbuf_str(&a->up->vm.name) : STR_LIT(""),
			a->up ? strbuf_str(&a->up->vm.address) : STR_LIT(""));
	log_answer(hosted, a);
}

static void on_capacity(void *ctx, const struct broker_up *up)
{
	const struct hosted_broker *hosted = ctx;

	evt_log(UPSTREAM_CAPACITY,
		"service=%s domain=%s upstream=%s slots=%u usable=%u why=%s",
		hosted->service.ptr, hosted->domain.ptr, up->vm.name.ptr,
		up->vm.slots, up->usable, broker_up_why_name(up->why));
}

static void on_expired(void *ctx, const struct strbuf *entry, size_t permits)
{
	const struct hosted_broker *hosted = ctx;

	if (!permits)
		return;
	evt_log(PERMIT_EXPIRED, "service=%s domain=%s entry=%s permits=%zu",
		hosted->service.ptr, hosted->domain.ptr, entry->ptr, permits);
}

/* Live entry VMs of the own region are the main users of its upstreams. */
static bool is_regional_entry(const struct broker_host *host,
			      const struct vm *vm)
{
	return vm->kind == VM_ENTRY && vm->state == VM_LIVE &&
	       str_eq(strbuf_str(&vm->region), host->set->vm.region);
}

static size_t count_regional_entries(const struct broker_host *host)
{
	const struct vmlist *vmlist = host->view ? host->view->vmlist : NULL;
	size_t count = 0;

	for (size_t i = 0; vmlist && i < vmlist->count; i++)
		count += is_regional_entry(host, &vmlist->vms[i]);
	return count;
}

/* Asks the entry VMs of the region which permits of a new broker they hold. */
static void query_entries(const struct hosted_broker *hosted)
{
	struct broker_host *host = hosted->host;
	const struct vmlist *vmlist = host->view ? host->view->vmlist : NULL;

	for (size_t i = 0; vmlist && i < vmlist->count; i++) {
		const struct vm *vm = &vmlist->vms[i];
		struct broker_client *c =
			broker_client_find(&host->clients, strbuf_str(&vm->id));

		if (!is_regional_entry(host, vm))
			continue;
		if (!c) {
			c = broker_client_add(&host->clients,
					      strbuf_str(&vm->id), host->now);
			if (!c)
				continue;
			c->region = vm->region;
			c->address = vm->address;
		}
		if (get_answers(host, c))
			permit_answers_query(c->answers,
					     strbuf_str(&hosted->service),
					     strbuf_str(&hosted->domain));
	}
}

static void apply_view(struct hosted_broker *hosted)
{
	const struct ctl_view *view = hosted->host->view;
	const apr_time_t now = hosted->host->now;
	struct broker_listed_vm *vms = NULL;
	uint32_t pct[RANK_COUNT];
	size_t count;

	if (!view)
		return;
	count = permit_list_upstreams(view->vmlist,
				      strbuf_str(&hosted->service),
				      strbuf_str(&hosted->domain), &vms);
	permit_reserved_pct(view->tbl, strbuf_str(&hosted->service), pct);
	broker_expect_entries(hosted->broker,
			      count_regional_entries(hosted->host));
	broker_set_reserves(hosted->broker, pct, now);
	/* After a failure the next view is applied in full. */
	if (vms)
		(void)broker_set_upstreams(hosted->broker, vms, count, now);
	free(vms);
	hosted->host->targets_changed = true;
}

static struct broker_cfg make_broker_cfg(struct broker_host *host)
{
	const struct set_broker *set = &host->set->broker;

	return (struct broker_cfg){
		.up = {.ramp = CLK_MS(set->ramp_ms),
		       .ramp_start_pct = (uint32_t)set->ramp_start_pct,
		       .shed_hold = CLK_MS(set->shed_hold_ms),
		       .silent_hold = CLK_MS(set->silent_hold_ms),
		       .drain_hold = CLK_MS(set->drain_hold_ms)},
		.permit_ttl = CLK_MS(set->permit_ttl_ms),
		.learn_time = CLK_MS(set->learn_ms),
		.queue_max = (uint32_t)set->line_max,
		.epoch = broker_epoch(host->incarnation,
				      ++host->brokers_created),
	};
}

static struct hosted_broker *new_broker(struct broker_host *host,
					struct str service, struct str domain)
{
	const struct broker_cfg cfg = make_broker_cfg(host);
	struct hosted_broker *hosted = calloc(1, sizeof(*hosted));
	struct broker_sink sink = {
		.answer = on_answer,
		.capacity = on_capacity,
		.expired = on_expired,
		.ctx = hosted,
	};

	if (!hosted || strbuf_set(&hosted->service, service) ||
	    strbuf_set(&hosted->domain, domain) ||
	    broker_create(&hosted->broker, &cfg, sink, host->now)) {
		free(hosted);
		return NULL;
	}
	hosted->host = host;
	hosted->learning = cfg.learn_time > 0;
	hosted->next = host->brokers;
	host->brokers = hosted;
	evt_log(BROKER_START, "service=%s domain=%s entries=%zu",
		hosted->service.ptr, hosted->domain.ptr,
		count_regional_entries(host));
	apply_view(hosted);
	query_entries(hosted);
	return hosted;
}

static struct hosted_broker *find_or_add_broker(struct broker_host *host,
						struct str service,
						struct str domain)
{
	for (struct hosted_broker *hosted = host->brokers; hosted;
	     hosted = hosted->next) {
		if (str_eq(strbuf_str(&hosted->service), service) &&
		    str_eq(strbuf_str(&hosted->domain), domain))
			return hosted;
	}
	if (host->view && (tbl_service_find(host->view->tbl, service) < 0 ||
			   tbl_domain_find(host->view->tbl, domain) < 0))
		return NULL;
	return new_broker(host, service, domain);
}

static void log_learned(struct hosted_broker *hosted)
{
	struct broker_stats stats;

	if (!hosted->learning || broker_learning(hosted->broker))
		return;
	hosted->learning = false;
	broker_stats(hosted->broker, &stats);
	evt_log(BROKER_LEARNED, "service=%s domain=%s entries=%zu permits=%zu",
		hosted->service.ptr, hosted->domain.ptr, stats.entries,
		stats.permits);
}

static void apply_full_state(struct hosted_broker *hosted,
			     struct broker_entry *entry, const pmt_part *part)
{
	const u_int count = part->held.held_len;
	struct broker_claim *claims = calloc(count + 1, sizeof(*claims));

	if (!claims)
		return;
	for (u_int i = 0; i < count; i++) {
		const pmt_held *held = &part->held.held_val[i];

		claims[i] = (struct broker_claim){
			.permit = held->permit,
			.ask = held->ask,
			.rank = held->rank < RANK_COUNT ? (enum rank)held->rank
							: RANK_BULK,
			.age = (apr_interval_time_t)held->age_us,
		};
		strbuf_set(&claims[i].upstream, str_from_c(held->upstream));
	}
	broker_sync(hosted->broker, entry, claims, count, part->seen,
		    hosted->host->now);
	free(claims);
}

static void apply_releases(struct hosted_broker *hosted,
			   struct broker_entry *entry, const pmt_part *part)
{
	for (u_int i = 0; i < part->releases.releases_len; i++) {
		const pmt_release *r = &part->releases.releases_val[i];

		broker_release(hosted->broker, entry, r->permit,
			       r->outcome < PERMIT_OUTCOMES
				       ? (enum permit_outcome)r->outcome
				       : PERMIT_FAILED,
			       hosted->host->now);
	}
}

static void apply_reports(struct hosted_broker *hosted, const pmt_part *part)
{
	for (u_int i = 0; i < part->reports.reports_len; i++) {
		const pmt_report *r = &part->reports.reports_val[i];
		const struct load_report report = {
			.load_permille = r->load_permille,
			.draining = r->draining,
			.cold = r->cold,
		};

		broker_report(hosted->broker, str_from_c(r->upstream), &report,
			      hosted->host->now);
	}
}

static void handle_part(struct broker_host *host, const struct broker_client *c,
			const pmt_part *part)
{
	struct hosted_broker *hosted = find_or_add_broker(
		host, str_from_c(part->service), str_from_c(part->domain));
	struct broker_entry *entry;

	if (!hosted)
		return;
	entry = broker_hello(hosted->broker, strbuf_str(&c->entry),
			     c->incarnation, host->now);
	if (!entry)
		return;
	hosted->used_at = host->now;
	broker_set_round_trip(entry, c->round_trip);
	apply_reports(hosted, part);
	apply_releases(hosted, entry, part);
	for (u_int i = 0; i < part->cancels.cancels_len; i++)
		broker_cancel(hosted->broker, entry,
			      part->cancels.cancels_val[i], host->now);
	if (part->full)
		apply_full_state(hosted, entry, part);
	for (u_int i = 0; i < part->asks.asks_len; i++) {
		const pmt_ask *a = &part->asks.asks_val[i];
		const struct broker_ask ask = {
			.id = a->id,
			.rank = a->rank < RANK_COUNT ? (enum rank)a->rank
						     : RANK_BULK,
			.deadline = host->now + (apr_interval_time_t)a->left_us,
		};

		broker_ask(hosted->broker, entry, &ask, host->now);
	}
	log_learned(hosted);
}

static void drop_broker(struct hosted_broker **link, const char *reason)
{
	struct hosted_broker *hosted = *link;

	evt_log(BROKER_STOP, "service=%s domain=%s reason=%s",
		hosted->service.ptr, hosted->domain.ptr, reason);
	*link = hosted->next;
	hosted->host->targets_changed = true;
	broker_destroy(hosted->broker);
	free(hosted);
}

/*
 * After a pause other brokers may have granted the same slots, and the queued
 * messages are old: all brokers are dropped, and new ones learn from the entry
 * VMs which permits are held.
 */
static void advance_clock(struct broker_host *host, apr_time_t now)
{
	const apr_interval_time_t gap = now - host->now;

	if (host->now && gap > PAUSE_TIME && host->brokers) {
		evt_log(PAUSE_DETECTED, "gap_ms=%lld", (long long)gap / 1000);
		while (host->brokers)
			drop_broker(&host->brokers, "paused");
		for (struct broker_client *c = host->clients.first; c;
		     c = c->next) {
			c->resync = true;
			c->answer_due = true;
			c->heard_at = now;
		}
	}
	host->now = now;
}

static void send_answers(struct broker_host *host, struct broker_client *c)
{
	struct permit_message mail = {
		.port = (uint16_t)host->set->entry.rpc_port,
		.prog = PMT_PROG_ENTRY,
		.vers = PMT_VERS,
		.proc = PMT_PROC_ANSWERS,
		.xargs = (xdrproc_t)xdr_pmt_answers,
	};

	broker_client_fill_mail(c, &mail, host->now);
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

int broker_host_create(struct broker_host **out, const struct settings *set,
		       uint64_t incarnation, struct broker_host_io io)
{
	struct broker_host *host = calloc(1, sizeof(*host));

	if (!host || broker_clients_init(&host->clients)) {
		free(host);
		return PST_ERR_NOMEM;
	}
	host->set = set;
	host->incarnation = incarnation;
	host->io = io;
	*out = host;
	return 0;
}

void broker_host_destroy(struct broker_host *host)
{
	if (!host)
		return;
	while (host->brokers)
		drop_broker(&host->brokers, "exit");
	broker_clients_done(&host->clients);
	if (host->view)
		ctl_view_put(host->view);
	free(host);
}

void broker_host_set_view(struct broker_host *host, struct ctl_view *view,
			  apr_time_t now)
{
	advance_clock(host, now);
	ref_get(&view->ref);
	if (host->view)
		ctl_view_put(host->view);
	host->view = view;
	for (struct hosted_broker *hosted = host->brokers; hosted;
	     hosted = hosted->next)
		apply_view(hosted);
}

void broker_host_batch(struct broker_host *host, const pmt_batch *batch,
		       const struct strbuf *address, apr_time_t now)
{
	struct broker_client *c;

	advance_clock(host, now);
	c = broker_client_of_batch(&host->clients, batch, address, now);
	if (!c)
		return;
	if (batch->seq <= c->received_seq) {
		evt_log(BROKER_BATCH_REFUSED, "peer=%s err=%s", address->ptr,
			err_name(PST_ERR_STALE));
		return;
	}
	if (batch->seq > c->received_seq + 1)
		c->resync = true;
	c->received_seq = batch->seq;
	broker_client_confirm(c, batch->heard, now);
	c->answer_due = c->answer_due || c->resync || wants_answer(batch);
	for (u_int i = 0; i < batch->parts.parts_len; i++)
		handle_part(host, c, &batch->parts.parts_val[i]);
}

void broker_host_report(struct broker_host *host, const struct strbuf *upstream,
			const struct load_report *report, apr_time_t now)
{
	advance_clock(host, now);
	for (struct hosted_broker *hosted = host->brokers; hosted;
	     hosted = hosted->next)
		broker_report(hosted->broker, strbuf_str(upstream), report,
			      now);
}

void broker_host_tick(struct broker_host *host, apr_time_t now)
{
	struct hosted_broker **link = &host->brokers;
	struct broker_client **client = &host->clients.first;

	advance_clock(host, now);
	while (*link) {
		broker_tick((*link)->broker, now);
		log_learned(*link);
		if (now - (*link)->used_at > BROKER_IDLE)
			drop_broker(link, "idle");
		else
			link = &(*link)->next;
	}
	while (*client) {
		if (now - (*client)->heard_at > BROKER_IDLE)
			broker_client_drop(&host->clients, client);
		else
			client = &(*client)->next;
	}
}

void broker_host_flush(struct broker_host *host, apr_time_t now)
{
	host->now = now;
	for (struct broker_client *c = host->clients.first; c; c = c->next) {
		if (c->answer_due)
			get_answers(host, c);
		if (c->answers)
			send_answers(host, c);
	}
}

bool broker_host_has_waiting(const struct broker_host *host)
{
	struct broker_stats stats;

	for (struct hosted_broker *hosted = host->brokers; hosted;
	     hosted = hosted->next) {
		broker_stats(hosted->broker, &stats);
		for (int r = 0; r < RANK_COUNT; r++) {
			if (stats.waiting_by[r])
				return true;
		}
	}
	return false;
}

size_t broker_host_permit_count(const struct broker_host *host)
{
	struct broker_stats stats;
	size_t held = 0;

	for (struct hosted_broker *hosted = host->brokers; hosted;
	     hosted = hosted->next) {
		broker_stats(hosted->broker, &stats);
		held += stats.permits;
	}
	return held;
}

bool broker_host_targets(struct broker_host *host,
			 struct broker_poll_target **out, size_t *count)
{
	struct broker_poll_target *targets = NULL;
	size_t made = 0;

	if (!host->targets_changed || !host->view)
		return false;
	targets = calloc(host->view->vmlist->count + 1, sizeof(*targets));
	if (!targets)
		return false;
	for (struct hosted_broker *hosted = host->brokers; hosted;
	     hosted = hosted->next) {
		struct broker_listed_vm *vms = NULL;
		const size_t n = permit_list_upstreams(
			host->view->vmlist, strbuf_str(&hosted->service),
			strbuf_str(&hosted->domain), &vms);

		for (size_t i = 0; i < n; i++)
			targets[made++] = (struct broker_poll_target){
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
