#include "steerd/accounts.h"

#include <stdlib.h>

#include "common/err.h"
#include "common/evt.h"
#include "platform/plt_codec.h"
#include "steerd/acctbook.h"
#include "steerd/acctlist.h"
#include "steerd/acctpeers.h"
#include "steerd/acctstats.h"
#include "steerd/self.h"

#define LOG_MODULE "accounts"

/*
 * Time between two notes that the process runs; well below ACCOUNT_STALL_US,
 * so that a busy machine does not look like a stall.
 */
#define BEAT_INTERVAL_S 0.2

/* Beats between two searches for records that are no longer needed. */
#define SWEEP_BEATS 50

/* Asks in a row that this VM's own account answers. */
#define MAX_OWN_ASKS 4

/* Shortest time until a timer, so that rounding causes no busy loop. */
#define MIN_TIMER_S 0.001

/* Retry-After without memory for a record. */
#define NO_MEMORY_RETRY_US APR_USEC_PER_SEC

static void serve_waits(struct acct_tenant *tenant);

/* Sets the timer to the next thing that is due. */
static void arm_timer(struct acct_tenant *tenant)
{
	struct st *st = tenant->accounts->st;
	const apr_time_t due = permits_due_at(&tenant->permits);
	double wait;

	ev_timer_stop(st->loop, &tenant->timer);
	if (!due)
		return;
	wait = (double)(due - clk_now(st->clk)) / (double)APR_USEC_PER_SEC;
	ev_timer_set(&tenant->timer, wait > MIN_TIMER_S ? wait : MIN_TIMER_S,
		     0);
	/* Relative to now, not to when the loop last woke up. */
	ev_now_update(st->loop);
	ev_timer_start(st->loop, &tenant->timer);
}

/* Answers an ask of this VM from its own account; returns whether it could. */
static bool answer_own(struct acct_tenant *tenant,
		       const struct permits_ask *ask)
{
	const apr_time_t now = clk_now(tenant->accounts->st->clk);
	struct account_answer answer;
	struct permits_grant grant;

	if (acctbook_grant(tenant, tenant->accounts->self, ask->id, ask->wanted,
			   &answer))
		return false;
	grant = (struct permits_grant){
		.id = ask->id,
		.permits = answer.permits,
		.retry_after = answer.retry_after,
		.pending = answer.pending,
	};
	permits_note_grant(&tenant->permits, &grant, now);
	return true;
}

/* The VM that is asked, or ACCTORDER_NONE. */
static int vm_to_ask(const struct acct_tenant *tenant, unsigned to)
{
	const struct acctorder *order = &tenant->order;

	if (!order->region_accounts)
		return ACCTORDER_NONE;
	return acctorder_vm_at(order,
			       account_position(tenant->accounts->region_index,
						order->region_accounts,
						order->region_vms, to));
}

/* Asks for permits if that is due. */
static void send_asks(struct acct_tenant *tenant)
{
	struct accounts *accounts = tenant->accounts;
	struct permits_ask ask;

	for (int i = 0; i < MAX_OWN_ASKS; i++) {
		struct acctmsg msg;
		int vm;

		if (!permits_next_ask(&tenant->permits,
				      clk_now(accounts->st->clk), &ask))
			return;
		vm = vm_to_ask(tenant, ask.to);
		if (vm == ACCTORDER_NONE)
			return;
		acctstats_count_ask(vm == accounts->self, ask.to);
		if (vm == accounts->self) {
			if (!answer_own(tenant, &ask))
				return;
			continue;
		}
		msg = (struct acctmsg){
			.type = ACCTMSG_ASK,
			.ask = {.id = ask.id,
				.tenant = tenant->hash,
				.wanted = ask.wanted,
				.manifest = tenant->manifest,
				.rate = tenant->limits.rate,
				.burst = tenant->limits.burst},
		};
		acct_send(accounts, vm, &msg);
		return;
	}
}

static void serve_tenant(struct acct_tenant *tenant)
{
	acct_refresh(tenant);
	if (tenant->limits.rate > 0)
		send_asks(tenant);
	serve_waits(tenant);
	if (tenant->limits.rate > 0) {
		acctbook_pull(tenant);
		arm_timer(tenant);
	} else {
		ev_timer_stop(tenant->accounts->st->loop, &tenant->timer);
	}
}

static void on_prepare(struct ev_loop *loop, struct ev_prepare *prepare,
		       int events)
{
	struct accounts *accounts = prepare->data;
	struct acct_tenant *tenant;

	(void)events;
	acct_note_running(accounts);
	accounts_list_changed(accounts);
	/* Requests that end here may make more tenants dirty. */
	while ((tenant = TAILQ_FIRST(&accounts->dirty)) != NULL) {
		TAILQ_REMOVE(&accounts->dirty, tenant, dirty_link);
		tenant->is_dirty = false;
		serve_tenant(tenant);
	}
	if (accounts->outbox)
		acctmsg_flush(accounts->outbox);
	ev_prepare_stop(loop, prepare);
}

void acct_mark_dirty(struct acct_tenant *tenant)
{
	struct accounts *accounts = tenant->accounts;

	if (!tenant->is_dirty)
		TAILQ_INSERT_TAIL(&accounts->dirty, tenant, dirty_link);
	tenant->is_dirty = true;
	ev_prepare_start(accounts->st->loop, &accounts->prepare);
}

static void on_due(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct acct_tenant *tenant = timer->data;

	(void)loop;
	(void)events;
	acct_note_running(tenant->accounts);
	acct_mark_dirty(tenant);
}

static void send_bytes(void *ctx, const struct sockaddr_in *to,
		       struct str bytes)
{
	struct accounts *accounts = ctx;

	acctstats_count_datagram(peersock_send(accounts->sock, to, bytes)
					 ? ACCTSTATS_SENT
					 : ACCTSTATS_NOT_SENT);
}

static bool has_outbox(struct accounts *accounts)
{
	if (!accounts->outbox) {
		accounts->outbox = calloc(1, sizeof(*accounts->outbox));
		if (!accounts->outbox)
			return false;
		accounts->outbox->send = send_bytes;
		accounts->outbox->ctx = accounts;
	}
	return true;
}

void acct_send(struct accounts *accounts, int vm, const struct acctmsg *msg)
{
	struct sockaddr_in to;

	const struct vms_entry *entry =
		vm <= ACCT_LEFT_VM ? &accounts->left.vms[ACCT_LEFT_VM - vm]
				   : &accounts->st->vms.list[vm];

	if (!accounts->sock || !has_outbox(accounts) ||
	    plt_read_addr(strbuf_str(&entry->peer), &to))
		return;
	acctmsg_put(accounts->outbox, &to, msg);
	ev_prepare_start(accounts->st->loop, &accounts->prepare);
}

void accounts_list_changed(struct accounts *accounts)
{
	if (!acctlist_update(accounts))
		return;
	for (apr_hash_index_t *i = apr_hash_first(NULL, accounts->tenants); i;
	     i = apr_hash_next(i)) {
		struct acct_tenant *tenant = apr_hash_this_val(i);

		if (tenant->account)
			acct_mark_dirty(tenant);
	}
}

void acct_note_running(struct accounts *accounts)
{
	const apr_time_t now = clk_now(accounts->st->clk);
	const bool stalled = ev_is_active(&accounts->beat) &&
			     now - accounts->ran_at > ACCOUNT_STALL_US;

	accounts->ran_at = now;
	if (!stalled)
		return;
	accounts->outdated_at = now;
	accounts->was_listed = false;
	for (apr_hash_index_t *i = apr_hash_first(NULL, accounts->tenants); i;
	     i = apr_hash_next(i)) {
		struct acct_tenant *tenant = apr_hash_this_val(i);

		if (tenant->account)
			account_note_stall(tenant->account, now);
	}
}

/* Brings the accounts up to date with the shares that may be used. */
static void update_shares(struct accounts *accounts, bool changed)
{
	for (apr_hash_index_t *i = apr_hash_first(NULL, accounts->tenants); i;
	     i = apr_hash_next(i)) {
		struct acct_tenant *tenant = apr_hash_this_val(i);

		if (!tenant->account)
			continue;
		acct_refresh(tenant);
		if (changed)
			acctbook_set_place(tenant);
		else
			acctbook_bar(tenant);
		acct_mark_dirty(tenant);
	}
}

static void on_beat(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct accounts *accounts = timer->data;
	bool changed;

	(void)loop;
	(void)events;
	acct_note_running(accounts);
	changed = acctpeers_beat(accounts);
	if (changed ||
	    accthold_is_joining(&accounts->hold, clk_now(accounts->st->clk)))
		update_shares(accounts, changed);
	if (++accounts->beats % SWEEP_BEATS)
		return;
	for (apr_hash_index_t *i = apr_hash_first(NULL, accounts->tenants); i;
	     i = apr_hash_next(i))
		acct_free_if_unused(apr_hash_this_val(i));
}

void accounts_manifest_changed(struct accounts *accounts)
{
	struct st *st = accounts->st;
	const struct routing *routing = st->routing;
	bool has_rate = false;

	for (size_t i = 0; i < routing->tenant_count && !has_rate; i++)
		has_rate = routing->tenants[i].rate > 0;
	if (has_rate && !ev_is_active(&accounts->beat)) {
		accounts->ran_at = clk_now(st->clk);
		ev_timer_again(st->loop, &accounts->beat);
	} else if (!has_rate) {
		ev_timer_stop(st->loop, &accounts->beat);
	}
	/* Requests that wait, and accounts, go on with the new limits. */
	for (apr_hash_index_t *i = apr_hash_first(NULL, accounts->tenants); i;
	     i = apr_hash_next(i))
		acct_mark_dirty(apr_hash_this_val(i));
}

static void on_datagram(void *ctx, size_t vm, struct str bytes)
{
	struct accounts *accounts = ctx;
	struct acctmsg_batch batch = {0};

	if (acctmsg_decode(&batch, bytes)) {
		acctstats_count_datagram(ACCTSTATS_DAMAGED);
		return;
	}
	acctstats_count_datagram(ACCTSTATS_TAKEN);
	acct_note_running(accounts);
	accounts_list_changed(accounts);
	acctbook_receive(accounts, (int)vm, &batch);
}

/* Only asks: a VM that is not listed keeps no account. */
static bool on_unlisted(void *ctx, const struct sockaddr_in *from,
			struct str bytes)
{
	struct accounts *accounts = ctx;
	struct acctmsg_batch batch = {0};
	const int vm = acctlist_find_left(accounts, from);

	if (vm == ACCTORDER_NONE)
		return false;
	if (acctmsg_decode(&batch, bytes)) {
		acctstats_count_datagram(ACCTSTATS_DAMAGED);
		return true;
	}
	acctstats_count_datagram(ACCTSTATS_TAKEN);
	acct_note_running(accounts);
	accounts_list_changed(accounts);
	batch.grant_count = 0;
	batch.give_count = 0;
	batch.pull_count = 0;
	acctbook_receive(accounts, vm, &batch);
	return true;
}

int accounts_start(struct accounts *accounts, struct st *st,
		   struct peersock *sock)
{
	const struct peersock_kind kind = {
		.kind = ACT_X_KIND,
		.receive = on_datagram,
		.receive_unlisted = on_unlisted,
		.ctx = accounts,
	};

	accounts->st = st;
	accounts->sock = sock;
	accounts->self = ACCTORDER_NONE;
	accounts->self_hash = vms_hash(st->set->vm.id);
	accounts->outdated_at = clk_now(st->clk);
	accthold_init(&accounts->hold, CLK_MS(SELF_LEASE_MS),
		      accounts->outdated_at);
	acctorder_sort_regions(&st->geo, accounts->regions_by_name);
	TAILQ_INIT(&accounts->dirty);
	accounts->tenants = apr_hash_make(st->pool);
	if (!accounts->tenants)
		return PST_ERR_NOMEM;
	accounts->due = on_due;
	ev_prepare_init(&accounts->prepare, on_prepare);
	accounts->prepare.data = accounts;
	ev_timer_init(&accounts->beat, on_beat, 0, BEAT_INTERVAL_S);
	accounts->beat.data = accounts;
	if (sock)
		peersock_add_kind(sock, &kind);
	acctpeers_start(accounts, sock);
	return 0;
}

static struct permits_env env_of(const struct acct_tenant *tenant)
{
	const struct accounts *accounts = tenant->accounts;
	struct permits_env env = {
		.tenant = tenant->hash,
		/* A VM that isn't listed doesn't know how many others are. */
		.vms = VMS_MAX,
		.index = accounts->self_hash % VMS_MAX,
	};

	if (accounts->self != ACCTORDER_NONE) {
		env.vms = (unsigned)accounts->st->vms.count;
		env.index = accounts->self_index;
	}
	return env;
}

/* Decides on a request that is new, or that waits. */
static enum permits_verdict decide(struct acct_tenant *tenant, bool waits,
				   apr_interval_time_t *retry_after)
{
	struct permits *permits = &tenant->permits;
	const struct permits_env env = env_of(tenant);
	const apr_time_t now = clk_now(tenant->accounts->st->clk);
	const int64_t window = permits->alone_window;
	const unsigned alone = permits->admitted_alone;
	const enum permits_verdict verdict =
		waits ? permits_resume(permits, &tenant->limits, &env, now,
				       retry_after)
		      : permits_take(permits, &tenant->limits, &env, now,
				     retry_after);

	if (verdict == PERMITS_SEND &&
	    permits->admitted_alone >
		    (window == permits->alone_window ? alone : 0))
		acctstats_count_alone();
	return verdict;
}

static void end_wait(struct accounts_wait *wait)
{
	struct acct_tenant *tenant = wait->tenant;

	TAILQ_REMOVE(&tenant->waits, wait, link);
	wait->tenant = NULL;
	acctstats_record_wait(clk_now(tenant->accounts->st->clk) - wait->since);
}

/* Decides on the requests that wait, in order of arrival. */
static void serve_waits(struct acct_tenant *tenant)
{
	struct accounts_wait *wait;

	while ((wait = TAILQ_FIRST(&tenant->waits)) != NULL) {
		enum permits_verdict verdict = PERMITS_SEND;
		apr_interval_time_t retry_after = 0;

		/* The newest manifest may have no limit any more. */
		if (tenant->limits.rate > 0)
			verdict = decide(tenant, true, &retry_after);
		else
			permits_cancel(&tenant->permits);
		if (verdict == PERMITS_WAIT)
			return;
		end_wait(wait);
		wait->ended(wait, verdict, retry_after);
	}
}

enum permits_verdict accounts_take(struct accounts *accounts,
				   struct accounts_wait *wait,
				   const struct routing_tenant *tenant,
				   apr_interval_time_t *retry_after)
{
	struct acct_tenant *record = acct_find_or_add(accounts, tenant->hash);
	enum permits_verdict verdict;

	*retry_after = NO_MEMORY_RETRY_US;
	if (!record)
		return PERMITS_UNKNOWN;
	acct_note_running(accounts);
	accounts_list_changed(accounts);
	acct_refresh(record);
	if (record->limits.rate <= 0)
		return PERMITS_SEND;
	record->used_at = clk_now(accounts->st->clk);
	verdict = decide(record, false, retry_after);
	/* Also without a wait: permits in hand may run short. */
	acct_mark_dirty(record);
	if (verdict != PERMITS_WAIT) {
		acctstats_record_wait(0);
		return verdict;
	}
	wait->tenant = record;
	wait->since = record->used_at;
	TAILQ_INSERT_TAIL(&record->waits, wait, link);
	/* Requests in front of this one are served before the loop waits. */
	if (TAILQ_FIRST(&record->waits) != wait ||
	    vm_to_ask(record, 0) != accounts->self ||
	    accounts->self == ACCTORDER_NONE)
		return PERMITS_WAIT;
	send_asks(record);
	verdict = decide(record, true, retry_after);
	if (verdict != PERMITS_WAIT)
		end_wait(wait);
	return verdict;
}

void accounts_put_back(struct accounts *accounts,
		       const struct routing_tenant *tenant)
{
	struct acct_tenant *record = acct_find(accounts, tenant->hash);

	if (!record)
		return;
	permits_put_back(&record->permits, clk_now(accounts->st->clk));
	if (!TAILQ_EMPTY(&record->waits))
		acct_mark_dirty(record);
}

void accounts_cancel(struct accounts_wait *wait)
{
	struct acct_tenant *tenant = wait->tenant;

	if (!tenant)
		return;
	permits_cancel(&tenant->permits);
	end_wait(wait);
	acct_mark_dirty(tenant);
}

void accounts_log_refusal(struct accounts *accounts,
			  const struct routing_tenant *tenant, struct str req,
			  enum permits_verdict verdict,
			  apr_interval_time_t retry_after)
{
	const struct acct_tenant *record = acct_find(accounts, tenant->hash);
	const struct vms *vms = &accounts->st->vms;
	unsigned skipped;
	int first = ACCTORDER_NONE;

	acctstats_count_refusal(verdict);
	if (!record || !acctstats_may_log(&accounts->refusal_lines,
					  clk_now(accounts->st->clk), &skipped))
		return;
	if (record->has_order && record->list_version == vms->version)
		first = vm_to_ask(record, 0);
	evt_log(QUOTA_REFUSED,
		"req=%.*s tenant=%.*s why=%s rate=%.3f burst=%.1f "
		"permits=%u waiting=%u account=%s vms=%zu "
		"retry_after_ms=%lld manifest=%llu skipped=%u",
		STR_ARG(req), STR_ARG(tenant->name),
		verdict == PERMITS_REFUSE ? "over_limit" : "no_allowance",
		record->limits.rate, record->limits.burst,
		record->permits.batches[0].left +
			record->permits.batches[1].left,
		record->permits.waiting,
		first == ACCTORDER_NONE ? "-" : vms->list[first].id.ptr,
		vms->count, (long long)retry_after / 1000,
		(unsigned long long)record->manifest, skipped);
}
