#include "entryd/router.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "common/err.h"
#include "common/evt.h"
#include "entryd/router_act.h"
#include "entryd/router_watch.h"

#define LOG_MODULE "entry.route"

/*
 * Capacity of the queue: messages that one request can have queued at once, and
 * messages that belong to no request.
 */
#define MESSAGES_PER_REQUEST 8
#define SPARE_MESSAGES	     64

/* Ticks between two checks of the callers' connections. */
#define CALLER_CHECK_TICKS 20

enum msg_kind {
	MSG_ARRIVED,
	MSG_TICKET,
	MSG_PERMIT,
	MSG_HEAD,
	MSG_RESULT,
	MSG_CALLER_GONE,
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
			enum reqstate_result result;
			bool replayable;
			unsigned status;
		} result;
	};
};

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

static void post(struct router *router, struct msg *msg)
{
	if (apr_queue_push(router->messages, msg) == APR_SUCCESS)
		return;
	if (msg->req)
		req_put(msg->req);
	free(msg);
}

static struct req *find(struct router *router, uint64_t number)
{
	return apr_hash_get(router->by_number, &number, sizeof(number));
}

static void add_active(struct router *router, struct req *req)
{
	req_get(req);
	req->active = true;
	req->next = router->active;
	req->prev = NULL;
	if (router->active)
		router->active->prev = req;
	router->active = req;
	apr_hash_set(router->by_number, &req->number, sizeof(req->number), req);
}

static void set_stage(struct req *req, enum req_stage stage)
{
	pthread_mutex_lock(&req->lock);
	req->stage = stage;
	req_resume(req);
	pthread_mutex_unlock(&req->lock);
}

static void step_request(struct router *router, struct req *req,
			 struct reqstate_event event)
{
	struct reqstate_actions actions;

	req_get(req);
	for (;;) {
		reqstate_step(&req->reqstate, &event, &actions);
		for (size_t i = 0; i < actions.count; i++)
			router_act(router, req, &actions.list[i]);
		if (!router->deferred_count)
			break;
		event = router->deferred[0];
		router->deferred_count--;
		memmove(&router->deferred[0], &router->deferred[1],
			router->deferred_count * sizeof(event));
	}
	req_put(req);
}

/*
 * Refuses a request before its state machine starts. Its key is not sealed:
 * another entry may have run it, or may still do so.
 */
static void refuse_arrival(struct router *router, struct req *req, int reason)
{
	atomic_fetch_sub(&router->in_progress, 1);
	router_refuse(router, req, !req->keyed, reason);
}

static void on_arrived(struct router *router, struct req *req)
{
	struct ctl_view *view = ctl_agent_view(router->deps.ctl);
	const struct tbl_row *row;
	int service = -1;

	if (!view || !ctl_agent_fresh(router->deps.ctl)) {
		evt_log(REQ_WAIT_TABLE, "req=%s", req->id.ptr);
		refuse_arrival(router, req, PST_ERR_REQ_NO_TABLE);
		goto out;
	}
	service = tbl_service_find(view->tbl, strbuf_str(&req->service));
	if (service < 0) {
		refuse_arrival(router, req, PST_ERR_REQ_SERVICE);
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
	add_active(router, req);
	reqstate_init(&req->reqstate, req->idempotent, req->keyed);
	step_request(router, req,
		     (struct reqstate_event){.kind = REQSTATE_EV_START});
out:
	if (view)
		ctl_view_put(view);
}

static void on_ticket(struct router *router, const struct tkt_answer *answer)
{
	static const enum reqstate_ticket verdicts[] = {
		[TKT_RUN] = REQSTATE_TICKET_RUN,
		[TKT_NOT_RUN] = REQSTATE_TICKET_NOT_RUN,
		[TKT_UNKNOWN] = REQSTATE_TICKET_UNKNOWN,
		[TKT_REFUSED] = REQSTATE_TICKET_NOT_RUN,
	};
	static const char *const names[] = {
		[TKT_RUN] = "run",
		[TKT_NOT_RUN] = "not_run",
		[TKT_UNKNOWN] = "unknown",
		[TKT_REFUSED] = "refused",
	};
	struct req *req = find(router, answer->request_id);

	if (!req)
		return;
	req->key_error = answer->reason;
	evt_log(REQ_KEY_VERDICT, "req=%s verdict=%s reason=%s", req->id.ptr,
		names[answer->verdict], err_name(answer->reason));
	step_request(router, req,
		     (struct reqstate_event){
			     .kind = REQSTATE_EV_TICKET,
			     .ticket = verdicts[answer->verdict],
		     });
}

static void on_permit(struct router *router, const struct permit_answer *answer)
{
	struct req *req = find(router, answer->ask_id >> ROUTER_ASK_BITS);
	struct reqstate_event event = {.kind = REQSTATE_EV_PERMIT};

	if (!req || !req->reqstate.permit_pending ||
	    req->reqstate.asks != (answer->ask_id & ROUTER_ASK_MASK)) {
		if (answer->result == PERMIT_GRANTED)
			permit_agent_release(router->deps.permit,
					     answer->permit_id, PERMIT_UNUSED);
		return;
	}
	switch (answer->result) {
	case PERMIT_GRANTED:
		event.permit = REQSTATE_PERMIT_GRANTED;
		req->permit_id = answer->permit_id;
		req->upstream = answer->upstream;
		req->upstream_address = answer->address;
		req->upstream_port = answer->port;
		break;
	case PERMIT_FULL:
	case PERMIT_NO_UPSTREAM:
		event.permit = REQSTATE_PERMIT_ELSEWHERE;
		break;
	case PERMIT_LATE:
		event.permit = REQSTATE_PERMIT_LATE;
		break;
	}
	if (answer->result != PERMIT_GRANTED)
		evt_log(REQ_PERMIT_REFUSED, "req=%s domain=%s result=%d",
			req->id.ptr, req->domain.ptr, (int)answer->result);
	if (event.permit == REQSTATE_PERMIT_ELSEWHERE) {
		struct ctl_view *view = ctl_agent_view(router->deps.ctl);
		const int i =
			tbl_domain_find(view->tbl, strbuf_str(&req->domain));

		if (i >= 0)
			req->excluded_domains[i] = true;
		ctl_view_put(view);
	}
	step_request(router, req, event);
}

static void on_result(struct router *router, struct req *req,
		      const struct msg *msg)
{
	if (!req->active)
		return;
	evt_log(REQ_TRY_ENDED, "req=%s upstream=%s result=%s status=%u",
		req->id.ptr, req->upstream.ptr,
		reqstate_result_name(msg->result.result), msg->result.status);
	step_request(router, req,
		     (struct reqstate_event){
			     .kind = REQSTATE_EV_RESULT,
			     .result = msg->result.result,
			     .replayable = msg->result.replayable,
		     });
}

static void on_gone(struct router *router, struct req *req)
{
	if (!req->active || req->caller_gone)
		return;
	req->caller_gone = true;
	evt_log(REQ_CALLER_GONE, "req=%s", req->id.ptr);
	set_stage(req, REQ_BROKEN);
	step_request(router, req,
		     (struct reqstate_event){.kind = REQSTATE_EV_CALLER_GONE});
}

static void on_tick(struct router *router)
{
	const apr_time_t now = clk_now(router->clk);
	const bool check_callers = ++router->ticks % CALLER_CHECK_TICKS == 0;
	struct req *next;

	router->tick_pending = false;
	for (struct req *req = router->active; req; req = next) {
		next = req->next;
		if (check_callers && router_caller_disconnected(req))
			on_gone(router, req);
		else if (router_deadline_passed(req, now))
			step_request(router, req,
				     (struct reqstate_event){
					     .kind = REQSTATE_EV_DEADLINE});
	}
}

static void handle(struct router *router, struct msg *msg)
{
	switch (msg->kind) {
	case MSG_ARRIVED:
		on_arrived(router, msg->req);
		break;
	case MSG_TICKET:
		on_ticket(router, &msg->ticket);
		break;
	case MSG_PERMIT:
		on_permit(router, &msg->permit);
		break;
	case MSG_HEAD:
		if (msg->req->active)
			step_request(router, msg->req,
				     (struct reqstate_event){
					     .kind = REQSTATE_EV_HEAD});
		break;
	case MSG_RESULT:
		on_result(router, msg->req, msg);
		break;
	case MSG_CALLER_GONE:
		on_gone(router, msg->req);
		break;
	case MSG_TICK:
		on_tick(router);
		break;
	case MSG_STOP:
		break;
	}
}

static void *run_routing(void *arg)
{
	struct router *router = arg;
	bool stop = false;

	while (!stop) {
		void *item = NULL;
		struct msg *msg;

		if (apr_queue_pop(router->messages, &item) != APR_SUCCESS)
			continue;
		msg = item;
		stop = msg->kind == MSG_STOP;
		handle(router, msg);
		if (msg->req)
			req_put(msg->req);
		free(msg);
	}
	return NULL;
}

static void create_metrics(struct router *router)
{
	for (int i = 0; i < RANK_COUNT; i++) {
		char labels[64];

		snprintf(labels, sizeof(labels), "rank=\"%s\"",
			 rank_name((enum rank)i));
		router->refused[i] = ctr_get("pst_requests_refused", labels,
					     "Requests refused.");
		router->answered[i] = ctr_get("pst_requests_answered", labels,
					      "Requests answered whole.");
		router->latency[i] = hist_get("pst_request_us", labels,
					      "Arrival to whole answer.");
		router->permit_wait[i] =
			hist_get("pst_permit_wait_us", labels,
				 "Ask for a permit to its grant.");
	}
}

int router_create(struct router **out, const struct settings *set,
		  const struct clk *clk)
{
	struct router *router = calloc(1, sizeof(*router));
	const unsigned capacity =
		(unsigned)set->entry.max_requests * MESSAGES_PER_REQUEST +
		SPARE_MESSAGES;

	if (!router)
		return PST_ERR_NOMEM;
	router->set = set;
	router->clk = clk;
	if (apr_pool_create(&router->pool, NULL) != APR_SUCCESS) {
		free(router);
		return PST_ERR_NOMEM;
	}
	if (apr_queue_create(&router->messages, capacity, router->pool) !=
	    APR_SUCCESS) {
		router_destroy(router);
		return PST_ERR_NOMEM;
	}
	router->by_number = apr_hash_make(router->pool);
	if (getrandom(&router->random, sizeof(router->random), 0) < 0)
		router->random = (uint64_t)clk_now(clk);
	create_metrics(router);
	*out = router;
	return 0;
}

void router_destroy(struct router *router)
{
	apr_pool_destroy(router->pool);
	free(router);
}

int router_start(struct router *router, const struct router_deps *deps)
{
	router->deps = *deps;
	if (pthread_create(&router->thread, NULL, run_routing, router))
		return PST_ERR_THREAD;
	return 0;
}

void router_stop(struct router *router)
{
	post(router, msg_create(MSG_STOP, NULL));
	pthread_join(router->thread, NULL);
}

int router_submit(struct router *router, struct req *req)
{
	if (router->closed)
		return PST_ERR_REQ_STOPPING;
	if (atomic_fetch_add(&router->in_progress, 1) >=
	    router->set->entry.max_requests) {
		atomic_fetch_sub(&router->in_progress, 1);
		return PST_ERR_REQ_BUSY;
	}
	post(router, msg_create(MSG_ARRIVED, req));
	return 0;
}

void router_on_ticket(void *ctx, const struct tkt_answer *answer)
{
	struct msg *msg = msg_create(MSG_TICKET, NULL);

	msg->ticket = *answer;
	post(ctx, msg);
}

void router_on_permit(void *ctx, const struct permit_answer *answer)
{
	struct msg *msg = msg_create(MSG_PERMIT, NULL);

	msg->permit = *answer;
	post(ctx, msg);
}

void router_answer_head(struct router *router, struct req *req)
{
	post(router, msg_create(MSG_HEAD, req));
}

void router_attempt_ended(struct router *router, struct req *req,
			  enum reqstate_result result, bool replayable,
			  unsigned status)
{
	struct msg *msg = msg_create(MSG_RESULT, req);

	msg->result.result = result;
	msg->result.replayable = replayable;
	msg->result.status = status;
	post(router, msg);
}

void router_caller_gone(struct router *router, struct req *req)
{
	post(router, msg_create(MSG_CALLER_GONE, req));
}

void router_tick(struct router *router)
{
	if (atomic_exchange(&router->tick_pending, true))
		return;
	post(router, msg_create(MSG_TICK, NULL));
}

void router_refuse_new(struct router *router)
{
	router->closed = true;
}

size_t router_in_progress(const struct router *router)
{
	return router->in_progress;
}
