#include "entryd/route.h"

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include <apr_hash.h>
#include <apr_queue.h>

#include "common/ctr.h"
#include "common/err.h"
#include "common/evt.h"
#include "entryd/ups.h"

#define LOG_MODULE "entry.route"

/* Messages that one request can have under way at once, and spare. */
#define MESSAGES_PER_REQUEST 8
#define MESSAGES_SPARE	     64

/* An ask's id is the request's number and the count of its asks. */
#define ASK_BITS 3
#define ASK_MASK ((1u << ASK_BITS) - 1)

/* Ticks between two looks at the callers' connections. */
#define GONE_TICKS  20

#define NO_DEADLINE INT64_MAX

enum msg_kind {
	MSG_ARRIVED,
	MSG_TICKET,
	MSG_PERMIT,
	MSG_HEAD,
	MSG_RESULT,
	MSG_GONE,
	MSG_TICK,
	MSG_STOP,
};

struct msg {
	enum msg_kind kind;
	/* A reference, or NULL. */
	struct req *req;
	union {
		struct tkt_answer ticket;
		struct permit_answer permit;
		struct {
			enum pth_result result;
			bool replayable;
			unsigned status;
		} result;
	};
};

struct rte {
	const struct settings *set;
	const struct clk *clk;
	struct rte_parts parts;
	apr_pool_t *pool;
	apr_queue_t *ring;
	apr_hash_t *by_number;
	struct req *active;
	pthread_t thread;
	atomic_size_t in_progress;
	atomic_bool closed;
	atomic_bool tick_pending;
	unsigned ticks;
	uint64_t random;
	/* Events that an action caused at once; follow the action's own step.
	 */
	struct pth_event deferred[PTH_MAX_ACTIONS];
	size_t deferred_count;
	struct ctr *refused[RANK_COUNT];
	struct ctr *answered[RANK_COUNT];
	struct hst *latency[RANK_COUNT];
	struct hst *permit_wait[RANK_COUNT];
};

static uint64_t next_random(struct rte *rte)
{
	/* splitmix64 */
	uint64_t z = rte->random += 0x9e3779b97f4a7c15;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
	return z ^ (z >> 31);
}

static struct msg *msg_create(enum msg_kind kind, struct req *req)
{
	struct msg *msg = calloc(1, sizeof(*msg));

	if (!msg)
		abort();
	msg->kind = kind;
	msg->req = req;
	if (req)
		req_get(req);
	return msg;
}

static void post(struct rte *rte, struct msg *msg)
{
	if (apr_queue_push(rte->ring, msg) == APR_SUCCESS)
		return;
	if (msg->req)
		req_put(msg->req);
	free(msg);
}

static struct req *find(struct rte *rte, uint64_t number)
{
	return apr_hash_get(rte->by_number, &number, sizeof(number));
}

static void enlist(struct rte *rte, struct req *req)
{
	req_get(req);
	req->listed = true;
	req->next = rte->active;
	req->prev = NULL;
	if (rte->active)
		rte->active->prev = req;
	rte->active = req;
	apr_hash_set(rte->by_number, &req->number, sizeof(req->number), req);
}

static void delist(struct rte *rte, struct req *req)
{
	if (!req->listed)
		return;
	req->listed = false;
	if (req->prev)
		req->prev->next = req->next;
	else
		rte->active = req->next;
	if (req->next)
		req->next->prev = req->prev;
	apr_hash_set(rte->by_number, &req->number, sizeof(req->number), NULL);
	atomic_fetch_sub(&rte->in_progress, 1);
	req_put(req);
}

static void set_stage(struct req *req, enum req_stage stage)
{
	pthread_mutex_lock(&req->lock);
	req->stage = stage;
	req_wake(req);
	pthread_mutex_unlock(&req->lock);
}

static int reason_of(enum pth_cause cause)
{
	switch (cause) {
	case PTH_CAUSE_KEY:
		return PST_ERR_REQ_KEY;
	case PTH_CAUSE_LATE:
		return PST_ERR_REQ_LATE;
	case PTH_CAUSE_NO_ROOM:
		return PST_ERR_REQ_NO_ROOM;
	case PTH_CAUSE_SHED:
		return PST_ERR_REQ_SHED;
	case PTH_CAUSE_SILENT:
		return PST_ERR_REQ_SILENT;
	case PTH_CAUSE_DEADLINE:
		return PST_ERR_REQ_DEADLINE;
	case PTH_CAUSE_UPSTREAM:
	case PTH_CAUSE_CALLER_GONE:
	case PTH_CAUSE_NONE:
		break;
	}
	return PST_ERR_REQ_UPSTREAM;
}

static unsigned status_of(int reason)
{
	switch (reason) {
	case PST_ERR_REQ_SERVICE:
		return MHD_HTTP_NOT_FOUND;
	case PST_ERR_REQ_KEY:
		return MHD_HTTP_CONFLICT;
	case PST_ERR_REQ_UPSTREAM:
		return MHD_HTTP_BAD_GATEWAY;
	case PST_ERR_REQ_SILENT:
	case PST_ERR_REQ_DEADLINE:
		return MHD_HTTP_GATEWAY_TIMEOUT;
	default:
		return MHD_HTTP_SERVICE_UNAVAILABLE;
	}
}

static void refuse(struct rte *rte, struct req *req, bool not_run, int reason)
{
	evt_log(REQ_REFUSED, "req=%s run=%s cause=%s", req->id.ptr,
		not_run ? "no" : "unknown", err_name(reason));
	ctr_add(rte->refused[req->rank], 1);
	pthread_mutex_lock(&req->lock);
	req->status = status_of(reason);
	req->not_run = not_run;
	req->reason = reason;
	req->stage = REQ_REFUSED;
	req_wake(req);
	pthread_mutex_unlock(&req->lock);
}

static void break_answer(struct req *req)
{
	evt_log(REQ_BROKEN, "req=%s", req->id.ptr);
	pthread_mutex_lock(&req->lock);
	pipe_close(&req->answer, true);
	req->stage = REQ_BROKEN;
	req_wake(req);
	pthread_mutex_unlock(&req->lock);
}

static void finish(struct rte *rte, struct req *req)
{
	const apr_interval_time_t total = clk_now(rte->clk) - req->arrived;

	if (req->stage == REQ_ANSWERING) {
		evt_log(REQ_ANSWERED, "req=%s status=%u total_us=%lld",
			req->id.ptr, req->status, (long long)total);
		ctr_add(rte->answered[req->rank], 1);
		hst_record(rte->latency[req->rank], (uint64_t)total);
	}
	delist(rte, req);
}

static enum permit_outcome outcome_of(const struct pth_action *action)
{
	if (action->unused)
		return PERMIT_UNUSED;
	switch (action->result) {
	case PTH_RESULT_WHOLE:
		return PERMIT_DONE;
	case PTH_RESULT_SHED:
		return PERMIT_SHED;
	case PTH_RESULT_NOT_SENT:
	case PTH_RESULT_SILENT:
		return PERMIT_SILENT;
	case PTH_RESULT_LOST:
	case PTH_RESULT_BAD:
	case PTH_RESULT_TRUNCATED:
		break;
	}
	return PERMIT_FAILED;
}

/*
 * Picks a domain whose limits leave room. Returns its index in the table,
 * or -1.
 */
static int pick_domain(struct rte *rte, struct req *req, const struct tbl *tbl)
{
	const int service = tbl_service_find(tbl, strbuf_str(&req->service));
	const int here = tbl_region_find(tbl, rte->set->vm.region);
	const struct tbl_row *row;

	if (service < 0)
		return -1;
	row = tbl_row(tbl, (uint32_t)service, req->rank);
	for (;;) {
		const int i = quota_pick_domain(rte->parts.quota, tbl, row,
						next_random(rte), req->tried);
		uint32_t region;

		if (i < 0)
			return -1;
		region = tbl->domains[i].region;
		if ((int)region == here ||
		    quota_take_request(rte->parts.quota, row, region))
			return i;
		req->tried[i] = true;
	}
}

static bool ask_permit(struct rte *rte, struct req *req)
{
	struct ctl_view *view = ctl_agent_view(rte->parts.ctl);
	struct permit_ask ask = {
		.id = req->number << ASK_BITS | req->pth.asks,
		.service = req->service,
		.rank = req->rank,
		.deadline = req->deadline,
	};
	int err = PST_ERR_REQ_NO_ROOM;
	int domain = -1;

	if (view)
		domain = pick_domain(rte, req, view->tbl);
	if (domain >= 0) {
		req->domain = view->tbl->domains[domain].name;
		ask.domain = req->domain;
		req->asked_at = clk_now(rte->clk);
		evt_log(REQ_DOMAIN, "req=%s domain=%s from=%s try=%u",
			req->id.ptr, req->domain.ptr,
			rte->set->vm.failure_domain.ptr, req->pth.sends + 1);
		err = permit_agent_ask(rte->parts.permit, &ask);
	}
	if (view)
		ctl_view_put(view);
	return err == 0;
}

static bool make_target(struct rte *rte, const struct req *req,
			struct ups_target *out)
{
	struct ctl_view *view = ctl_agent_view(rte->parts.ctl);
	int domain = -1;
	int here = -1;

	if (view) {
		here = tbl_region_find(view->tbl, rte->set->vm.region);
		domain = tbl_domain_find(view->tbl, strbuf_str(&req->domain));
	}
	if (domain >= 0 && here >= 0) {
		*out = (struct ups_target){
			.upstream = req->upstream,
			.address = req->upstream_address,
			.port = req->upstream_port,
			.here = (uint32_t)here,
			.there = view->tbl->domains[domain].region,
		};
		out->region = view->tbl->regions[out->there].name;
	}
	if (view)
		ctl_view_put(view);
	return domain >= 0 && here >= 0;
}

static void defer(struct rte *rte, struct pth_event event)
{
	rte->deferred[rte->deferred_count++] = event;
}

static void send_try(struct rte *rte, struct req *req)
{
	const apr_interval_time_t wait = clk_now(rte->clk) - req->asked_at;
	struct ups_target target;

	if (!make_target(rte, req, &target)) {
		defer(rte, (struct pth_event){
				   .kind = PTH_EV_RESULT,
				   .result = PTH_RESULT_NOT_SENT,
			   });
		return;
	}
	evt_log(REQ_SENT, "req=%s upstream=%s domain=%s try=%u wait_us=%lld",
		req->id.ptr, req->upstream.ptr, req->domain.ptr, req->pth.sends,
		(long long)wait);
	hst_record(rte->permit_wait[req->rank], (uint64_t)wait);
	pthread_mutex_lock(&req->lock);
	if (req->stage == REQ_WAITING)
		req->stage = REQ_OPEN;
	if (req->body_length)
		req_wake(req);
	pthread_mutex_unlock(&req->lock);
	ups_send(rte->parts.ups, req, &target);
}

static void admit_key(struct rte *rte, struct req *req)
{
	if (!tkt_agent_admit(rte->parts.ticket, req->number,
			     str_from_c(req->key), req->deadline))
		return;
	defer(rte, (struct pth_event){
			   .kind = PTH_EV_TICKET,
			   .ticket = PTH_TICKET_UNKNOWN,
		   });
}

static enum tkt_end key_end(enum pth_end end)
{
	switch (end) {
	case PTH_END_RAN:
		return TKT_END_RAN;
	case PTH_END_NOT_RUN:
		return TKT_END_NOT_RUN;
	case PTH_END_UNKNOWN:
		break;
	}
	return TKT_END_UNKNOWN;
}

static void act(struct rte *rte, struct req *req,
		const struct pth_action *action)
{
	switch (action->kind) {
	case PTH_ACT_ADMIT_KEY:
		admit_key(rte, req);
		break;
	case PTH_ACT_ASK_PERMIT:
		if (!ask_permit(rte, req))
			defer(rte, (struct pth_event){
					   .kind = PTH_EV_NO_DOMAIN,
				   });
		break;
	case PTH_ACT_CANCEL_ASK:
		permit_agent_cancel(rte->parts.permit,
				    req->number << ASK_BITS | req->pth.asks);
		break;
	case PTH_ACT_RELEASE:
		permit_agent_release(rte->parts.permit, req->permit_id,
				     outcome_of(action));
		break;
	case PTH_ACT_END_KEY:
		tkt_agent_end(rte->parts.ticket, str_from_c(req->key),
			      key_end(action->end));
		break;
	case PTH_ACT_SEND:
		send_try(rte, req);
		break;
	case PTH_ACT_ABORT:
		ups_abort(rte->parts.ups, req);
		break;
	case PTH_ACT_REFUSE:
		refuse(rte, req, action->refuse.not_run,
		       reason_of(action->refuse.cause));
		break;
	case PTH_ACT_BREAK:
		break_answer(req);
		break;
	case PTH_ACT_DONE:
		finish(rte, req);
		break;
	}
}

static void run(struct rte *rte, struct req *req, struct pth_event event)
{
	struct pth_actions actions;

	req_get(req);
	for (;;) {
		pth_step(&req->pth, &event, &actions);
		for (size_t i = 0; i < actions.count; i++)
			act(rte, req, &actions.list[i]);
		if (!rte->deferred_count)
			break;
		event = rte->deferred[0];
		rte->deferred_count--;
		memmove(&rte->deferred[0], &rte->deferred[1],
			rte->deferred_count * sizeof(event));
	}
	req_put(req);
}

/* Refuses an arrival before it entered the path; a key is not sealed. */
static void refuse_arrival(struct rte *rte, struct req *req, int reason)
{
	atomic_fetch_sub(&rte->in_progress, 1);
	refuse(rte, req, !req->keyed, reason);
}

static void on_arrived(struct rte *rte, struct req *req)
{
	struct ctl_view *view = ctl_agent_view(rte->parts.ctl);
	const struct tbl_row *row;
	int service = -1;

	if (!view || !ctl_agent_fresh(rte->parts.ctl)) {
		evt_log(REQ_WAIT_TABLE, "req=%s", req->id.ptr);
		refuse_arrival(rte, req, PST_ERR_REQ_NO_TABLE);
		goto out;
	}
	service = tbl_service_find(view->tbl, strbuf_str(&req->service));
	if (service < 0) {
		refuse_arrival(rte, req, PST_ERR_REQ_SERVICE);
		goto out;
	}
	row = tbl_row(view->tbl, (uint32_t)service, req->rank);
	if (!req->deadline_ms || req->deadline_ms > row->deadline_ms)
		req->deadline_ms = row->deadline_ms;
	req->deadline = req->arrived + CLK_MS(req->deadline_ms);
	evt_log(REQ_ARRIVED,
		"req=%s service=%s rank=%s method=%s keyed=%d deadline_ms=%u",
		req->id.ptr, req->service.ptr, rank_name(req->rank),
		req->method, req->keyed, req->deadline_ms);
	enlist(rte, req);
	pth_init(&req->pth, req->idempotent, req->keyed);
	run(rte, req, (struct pth_event){.kind = PTH_EV_START});
out:
	if (view)
		ctl_view_put(view);
}

static void on_ticket(struct rte *rte, const struct tkt_answer *answer)
{
	static const enum pth_ticket verdicts[] = {
		[TKT_RUN] = PTH_TICKET_RUN,
		[TKT_NOT_RUN] = PTH_TICKET_NOT_RUN,
		[TKT_UNKNOWN] = PTH_TICKET_UNKNOWN,
		[TKT_REFUSED] = PTH_TICKET_NOT_RUN,
	};
	static const char *const names[] = {
		[TKT_RUN] = "run",
		[TKT_NOT_RUN] = "not_run",
		[TKT_UNKNOWN] = "unknown",
		[TKT_REFUSED] = "refused",
	};
	struct req *req = find(rte, answer->request_id);

	if (!req)
		return;
	evt_log(REQ_KEY_VERDICT, "req=%s verdict=%s reason=%s", req->id.ptr,
		names[answer->verdict], err_name(answer->reason));
	run(rte, req,
	    (struct pth_event){
		    .kind = PTH_EV_TICKET,
		    .ticket = verdicts[answer->verdict],
	    });
}

static void on_permit(struct rte *rte, const struct permit_answer *answer)
{
	struct req *req = find(rte, answer->ask_id >> ASK_BITS);
	struct pth_event event = {.kind = PTH_EV_PERMIT};

	if (!req || !req->pth.permit_pending ||
	    req->pth.asks != (answer->ask_id & ASK_MASK)) {
		if (answer->result == PERMIT_GRANTED)
			permit_agent_release(rte->parts.permit,
					     answer->permit_id, PERMIT_UNUSED);
		return;
	}
	switch (answer->result) {
	case PERMIT_GRANTED:
		event.permit = PTH_PERMIT_GRANTED;
		req->permit_id = answer->permit_id;
		req->upstream = answer->upstream;
		req->upstream_address = answer->address;
		req->upstream_port = answer->port;
		break;
	case PERMIT_FULL:
	case PERMIT_NO_UPSTREAM:
		event.permit = PTH_PERMIT_ELSEWHERE;
		break;
	case PERMIT_LATE:
		event.permit = PTH_PERMIT_LATE;
		break;
	}
	if (answer->result != PERMIT_GRANTED)
		evt_log(REQ_PERMIT_REFUSED, "req=%s domain=%s result=%d",
			req->id.ptr, req->domain.ptr, (int)answer->result);
	if (event.permit == PTH_PERMIT_ELSEWHERE) {
		struct ctl_view *view = ctl_agent_view(rte->parts.ctl);
		const int i =
			tbl_domain_find(view->tbl, strbuf_str(&req->domain));

		if (i >= 0)
			req->tried[i] = true;
		ctl_view_put(view);
	}
	run(rte, req, event);
}

static void on_result(struct rte *rte, struct req *req, const struct msg *msg)
{
	if (!req->listed)
		return;
	evt_log(REQ_TRY_ENDED, "req=%s upstream=%s result=%s status=%u",
		req->id.ptr, req->upstream.ptr,
		pth_result_name(msg->result.result), msg->result.status);
	run(rte, req,
	    (struct pth_event){
		    .kind = PTH_EV_RESULT,
		    .result = msg->result.result,
		    .replayable = msg->result.replayable,
	    });
}

static void on_gone(struct rte *rte, struct req *req)
{
	if (!req->listed || req->gone_noted)
		return;
	req->gone_noted = true;
	evt_log(REQ_CALLER_GONE, "req=%s", req->id.ptr);
	set_stage(req, REQ_BROKEN);
	run(rte, req, (struct pth_event){.kind = PTH_EV_CALLER_GONE});
}

/* An upload takes as long as it takes: its deadline starts at its end. */
static void check_deadline(struct rte *rte, struct req *req, apr_time_t now)
{
	bool uploading;

	if (req->deadline == NO_DEADLINE)
		return;
	pthread_mutex_lock(&req->lock);
	uploading =
		req->stage == REQ_OPEN && req->body_length && !req->body.closed;
	pthread_mutex_unlock(&req->lock);
	if (uploading) {
		req->deadline = now + CLK_MS(req->deadline_ms);
		return;
	}
	if (now < req->deadline)
		return;
	req->deadline = NO_DEADLINE;
	run(rte, req, (struct pth_event){.kind = PTH_EV_DEADLINE});
}

/* A suspended connection is not watched by the HTTP library. */
static bool caller_lost(struct req *req)
{
	struct pollfd pfd = {.fd = -1, .events = POLLRDHUP};

	pthread_mutex_lock(&req->lock);
	if (req->conn && req->parked)
		pfd.fd = req->caller_fd;
	pthread_mutex_unlock(&req->lock);
	if (pfd.fd < 0 || poll(&pfd, 1, 0) <= 0)
		return false;
	return pfd.revents & (POLLRDHUP | POLLHUP | POLLERR);
}

static void on_tick(struct rte *rte)
{
	const apr_time_t now = clk_now(rte->clk);
	const bool look = ++rte->ticks % GONE_TICKS == 0;
	struct req *next;

	rte->tick_pending = false;
	for (struct req *req = rte->active; req; req = next) {
		next = req->next;
		if (look && caller_lost(req))
			on_gone(rte, req);
		else
			check_deadline(rte, req, now);
	}
}

static void handle(struct rte *rte, struct msg *msg)
{
	switch (msg->kind) {
	case MSG_ARRIVED:
		on_arrived(rte, msg->req);
		break;
	case MSG_TICKET:
		on_ticket(rte, &msg->ticket);
		break;
	case MSG_PERMIT:
		on_permit(rte, &msg->permit);
		break;
	case MSG_HEAD:
		if (msg->req->listed)
			run(rte, msg->req,
			    (struct pth_event){.kind = PTH_EV_HEAD});
		break;
	case MSG_RESULT:
		on_result(rte, msg->req, msg);
		break;
	case MSG_GONE:
		on_gone(rte, msg->req);
		break;
	case MSG_TICK:
		on_tick(rte);
		break;
	case MSG_STOP:
		break;
	}
}

static void *decide(void *arg)
{
	struct rte *rte = arg;
	bool stop = false;

	while (!stop) {
		void *item = NULL;
		struct msg *msg;

		if (apr_queue_pop(rte->ring, &item) != APR_SUCCESS)
			continue;
		msg = item;
		stop = msg->kind == MSG_STOP;
		handle(rte, msg);
		if (msg->req)
			req_put(msg->req);
		free(msg);
	}
	return NULL;
}

static void create_metrics(struct rte *rte)
{
	for (int i = 0; i < RANK_COUNT; i++) {
		char labels[64];

		snprintf(labels, sizeof(labels), "rank=\"%s\"",
			 rank_name((enum rank)i));
		rte->refused[i] = ctr_get("pst_requests_refused", labels,
					  "Requests refused.");
		rte->answered[i] = ctr_get("pst_requests_answered", labels,
					   "Requests answered whole.");
		rte->latency[i] = hst_get("pst_request_us", labels,
					  "Arrival to whole answer.");
		rte->permit_wait[i] = hst_get("pst_permit_wait_us", labels,
					      "Ask for a permit to its grant.");
	}
}

int rte_create(struct rte **out, const struct settings *set,
	       const struct clk *clk)
{
	struct rte *rte = calloc(1, sizeof(*rte));
	const unsigned capacity =
		(unsigned)set->entry.max_requests * MESSAGES_PER_REQUEST +
		MESSAGES_SPARE;

	if (!rte)
		return PST_ERR_NOMEM;
	rte->set = set;
	rte->clk = clk;
	if (apr_pool_create(&rte->pool, NULL) != APR_SUCCESS) {
		free(rte);
		return PST_ERR_NOMEM;
	}
	if (apr_queue_create(&rte->ring, capacity, rte->pool) != APR_SUCCESS) {
		rte_destroy(rte);
		return PST_ERR_NOMEM;
	}
	rte->by_number = apr_hash_make(rte->pool);
	if (getrandom(&rte->random, sizeof(rte->random), 0) < 0)
		rte->random = (uint64_t)clk_now(clk);
	create_metrics(rte);
	*out = rte;
	return 0;
}

void rte_destroy(struct rte *rte)
{
	apr_pool_destroy(rte->pool);
	free(rte);
}

int rte_start(struct rte *rte, const struct rte_parts *parts)
{
	rte->parts = *parts;
	if (pthread_create(&rte->thread, NULL, decide, rte))
		return PST_ERR_THREAD;
	return 0;
}

void rte_stop(struct rte *rte)
{
	post(rte, msg_create(MSG_STOP, NULL));
	pthread_join(rte->thread, NULL);
}

int rte_arrive(struct rte *rte, struct req *req)
{
	if (rte->closed)
		return PST_ERR_REQ_STOPPING;
	if (atomic_fetch_add(&rte->in_progress, 1) >=
	    rte->set->entry.max_requests) {
		atomic_fetch_sub(&rte->in_progress, 1);
		return PST_ERR_REQ_BUSY;
	}
	post(rte, msg_create(MSG_ARRIVED, req));
	return 0;
}

void rte_on_ticket(void *ctx, const struct tkt_answer *answer)
{
	struct msg *msg = msg_create(MSG_TICKET, NULL);

	msg->ticket = *answer;
	post(ctx, msg);
}

void rte_on_permit(void *ctx, const struct permit_answer *answer)
{
	struct msg *msg = msg_create(MSG_PERMIT, NULL);

	msg->permit = *answer;
	post(ctx, msg);
}

void rte_head(struct rte *rte, struct req *req)
{
	post(rte, msg_create(MSG_HEAD, req));
}

void rte_result(struct rte *rte, struct req *req, enum pth_result result,
		bool replayable, unsigned status)
{
	struct msg *msg = msg_create(MSG_RESULT, req);

	msg->result.result = result;
	msg->result.replayable = replayable;
	msg->result.status = status;
	post(rte, msg);
}

void rte_gone(struct rte *rte, struct req *req)
{
	post(rte, msg_create(MSG_GONE, req));
}

void rte_tick(struct rte *rte)
{
	if (atomic_exchange(&rte->tick_pending, true))
		return;
	post(rte, msg_create(MSG_TICK, NULL));
}

void rte_close(struct rte *rte)
{
	rte->closed = true;
}

size_t rte_in_progress(const struct rte *rte)
{
	return rte->in_progress;
}
