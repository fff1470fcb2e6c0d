#include "steerd/flow.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"
#include "common/evt.h"
#include "platform/plt_headers.h"
#include "policy/admission.h"
#include "policy/placement.h"
#include "policy/spillover.h"
#include "steerd/reqstats.h"
#include "steerd/pass.h"
#include "steerd/refuse.h"
#include "steerd/said.h"
#include "steerd/upstats.h"
#include "steerd/stoplog.h"
#include "steerd/verdict.h"

#define LOG_MODULE "flow"

/* Time-out of a request whose caller and route state none. */
#define DEFAULT_TIMEOUT_US (30 * APR_USEC_PER_SEC)

/* Time after the time-out in which an answer in transit is still accepted. */
#define LATE_GRACE_US 100000

/* Attempts that reach no upstream before a request is refused. */
#define MAX_UNSENT 4

/*
 * Limits of this VM's connections to one upstream. It uses only this ratio of
 * its even share, since VMs may not know of each other yet.
 */
#define CONN_SHARE_RATIO 0.8
#define MIN_CONNS	 4
#define MAX_CONNS	 128

/* Weight of a new answer in the smoothed (EWMA) answer size. */
#define ANSWER_SIZE_WEIGHT 0.05

/* Delay after which a caller turns from a VM that stops to another one. */
#define STOP_RETRY_AFTER_US 50000

/* Delay after which answers that are not read may have made room. */
#define UNREAD_RETRY_AFTER_US 500000

/* An attempt is made only if at least this much time is left. */
#define MIN_TIME_LEFT_US 20000

struct flow {
	struct st *st;
	struct srv_req *req;
	struct routing *routing;
	const struct routing_route *route;
	const struct routing_service *limits;
	struct registry_service *svc;
	struct registry_route_stats *run;
	struct request_meta marks;
	uint64_t object;
	/* When the request is answered with a time-out. */
	apr_time_t expires_at;
	struct ev_timer timer;
	struct upclient_call call;
	struct buf head;
	struct placement_pick pick;
	struct up *tried[PLACEMENT_MAX_TRIED];
	size_t tried_count;
	/* Attempts that reached no upstream. */
	unsigned unsent;
	/* Attempts that may have reached an upstream. */
	unsigned attempts_made;
	/* An upstream may have run the request. */
	bool may_have_run;
};

static struct retrycap_rules budget_rules(const struct st *st)
{
	return (struct retrycap_rules){
		.ratio = st->set->bounds.retry_ratio,
		.extra = st->set->bounds.retry_extra,
		.window = CLK_SEC(st->set->bounds.retry_window_s),
		.vms = st->vms.count ? (unsigned)st->vms.count : 1,
	};
}

static void flow_free(struct flow *flow)
{
	ev_timer_stop(flow->st->loop, &flow->timer);
	for (size_t i = 0; i < flow->tried_count; i++)
		ref_put(&flow->tried[i]->ref);
	if (flow->routing)
		ref_put(&flow->routing->ref);
	buf_free(&flow->head);
	flow->req->user = NULL;
	free(flow);
}

/* The caller's id of the request, cut for a log line. */
static struct str log_id(const struct flow *flow)
{
	return strbuf_str(&flow->req->id);
}

/* Source of the load report that the last choice of an upstream used. */
static const char *report_by(const struct placement_pick *pick)
{
	if (!pick->up || pick->report_age < 0)
		return "none";
	return pick->report_shared ? "vm" : "own";
}

static void log_done(const struct flow *flow, unsigned status, const char *why)
{
	const apr_time_t now = clk_now(flow->st->clk);
	const struct up *up = flow->pick.up;

	reqstats_record(status, now - flow->req->first_byte_at);
	evt_log(FLOW_DONE,
		"req=%.*s route=%.*s rank=%u status=%u why=%s us=%lld tries=%u "
		"upstream=%s copy=%d expected_us=%lld load=%.1f "
		"report_age_ms=%lld report_by=%s weighed=%u manifest=%llu",
		STR_ARG(log_id(flow)),
		STR_ARG(flow->route ? flow->route->name : STR_LIT("-")),
		flow->route ? flow->route->rank : 0, status, why,
		(long long)(now - flow->req->first_byte_at),
		flow->attempts_made, up ? up->id.ptr : "-",
		(int)flow->pick.replica, (long long)flow->pick.expected,
		flow->pick.load, (long long)flow->pick.report_age / 1000,
		report_by(&flow->pick), flow->pick.weighed,
		flow->routing ? (unsigned long long)flow->routing->version
			      : 0ULL);
}

/* Answers with a refusal or failure of this VM's own, and frees the flow. */
static void refuse(struct flow *flow, enum refuse_cause cause,
		   apr_interval_time_t retry_after)
{
	struct srv_req *req = flow->req;

	log_done(flow, refuse_status(cause), refuse_name(cause));
	flow_free(flow);
	refuse_send(req, cause, retry_after);
}

static struct placement_request make_ask(const struct flow *flow)
{
	struct st *st = flow->st;
	struct placement_request ask = {
		.svc = flow->svc,
		.run = flow->run,
		.route = flow->route,
		.limits = flow->limits,
		.geo = &st->geo,
		.domain = st->domain,
		.region = st->region,
		.object = flow->object,
		.bytes = flow->req->msg.body.len +
			 (size_t)flow->run->answer_bytes,
		.tried_count = flow->tried_count,
		.evacuated = st->evacuated,
		.region_rtt = st->region_rtt,
		.vms = st->vms.hashes,
		.vm_count = st->vms.count,
		.self = vms_hash(st->set->vm.id),
		.now = clk_now(st->clk),
	};

	memcpy(ask.tried, flow->tried, sizeof(ask.tried));
	return ask;
}

/* Time after which a caller that is refused now may be admitted. */
static apr_interval_time_t retry_after_time(const struct flow *flow)
{
	const struct placement_request ask = make_ask(flow);

	return placement_retry_after(&ask);
}

static void dispatch(struct flow *flow);

static void add_tried(struct flow *flow)
{
	if (flow->tried_count == PLACEMENT_MAX_TRIED)
		return;
	ref_get(&flow->pick.up->ref);
	flow->tried[flow->tried_count++] = flow->pick.up;
}

/* Time left for an upstream to answer. */
static apr_interval_time_t time_left(const struct flow *flow, apr_time_t now)
{
	return flow->expires_at - LATE_GRACE_US - now;
}

/* Whether another attempt is allowed; takes it from the retry budget. */
static bool take_retry(struct flow *flow)
{
	const struct retrycap_rules rules = budget_rules(flow->st);
	const apr_time_t now = clk_now(flow->st->clk);

	return !st_would_cut(flow->st, flow->pick.expected) &&
	       time_left(flow, now) > MIN_TIME_LEFT_US &&
	       flow->attempts_made < flow->route->max_attempts &&
	       flow->tried_count < PLACEMENT_MAX_TRIED &&
	       retrycap_take(&flow->svc->budget, &rules, now);
}

/* Forwards a complete answer unchanged, and frees the flow. */
static void answer_caller(struct flow *flow, const struct msg *answer)
{
	struct srv_req *req = flow->req;
	struct buf fields = {0};
	const unsigned status = answer->parser.status_code;

	if (pass_answer(&fields, answer)) {
		buf_free(&fields);
		refuse(flow, REFUSE_UPSTREAM, 0);
		return;
	}
	log_done(flow, status, "answered");
	flow_free(flow);
	srv_answer(req, status,
		   str_from_c(http_status_str((enum http_status)status)),
		   buf_str(&fields), buf_str(&answer->body));
	buf_free(&fields);
}

static void on_answer(struct flow *flow)
{
	struct upclient_call *call = &flow->call;
	const enum up_outcome outcome = verdict_outcome(call);
	const bool safe = flow->route->kind == ROUTING_SAFE;

	if (outcome == UP_OUTCOME_SHED) {
		if (take_retry(flow))
			dispatch(flow);
		else
			refuse(flow,
			       flow->may_have_run ? REFUSE_UPSTREAM
						  : REFUSE_SHED,
			       retry_after_time(flow));
		return;
	}
	flow->may_have_run = true;
	if (!verdict_can_forward(call, safe)) {
		if (safe && take_retry(flow))
			dispatch(flow);
		else
			refuse(flow, REFUSE_UPSTREAM, 0);
		return;
	}
	if (outcome == UP_OUTCOME_FAILED && safe && take_retry(flow))
		dispatch(flow);
	else
		answer_caller(flow, call->answer);
}

/* Updates what is known of the upstream after an attempt. */
static void record_result(struct flow *flow, enum upclient_result result)
{
	struct upclient_call *call = &flow->call;
	struct up *up = flow->pick.up;
	const apr_time_t now = clk_now(flow->st->clk);
	enum up_outcome outcome = UP_OUTCOME_CONNECTION_LOST;
	apr_interval_time_t elapsed;

	if (result == UPCLIENT_ANSWERED) {
		outcome = verdict_outcome(call);
		if (call->answer->parser.status_code == 421 &&
		    call->marks.matched)
			registry_remove(&flow->st->registry,
					strbuf_str(&up->id), 0);
		else
			said_record(flow->st, call, up, log_id(flow), now);
	} else if (result == UPCLIENT_STALE || result == UPCLIENT_WITHHELD) {
		outcome = UP_OUTCOME_ABANDONED;
		if (result == UPCLIENT_WITHHELD)
			upstats_count_kept_away(up);
	}
	elapsed = now - call->sent_at;
	up_note_outcome(up, outcome, elapsed, flow->pick.expected, now);
	if (outcome == UP_OUTCOME_OK) {
		up_note_object(up, flow->object, now);
		flow->run->answer_bytes += ((double)call->answer->body.len -
					    flow->run->answer_bytes) *
					   ANSWER_SIZE_WEIGHT;
		registry_note_run(
			flow->svc, flow->run,
			elapsed - (up->region >= 0
					   ? flow->st->region_rtt[up->region]
					   : 0),
			flow->pick.wait, now);
	}
	if (outcome != UP_OUTCOME_OK)
		evt_log(FLOW_TRY_ENDED, "req=%.*s upstream=%s end=%d status=%d",
			STR_ARG(log_id(flow)), up->id.ptr, (int)result,
			result == UPCLIENT_ANSWERED
				? (int)call->answer->parser.status_code
				: 0);
}

static void on_ended(struct upclient_call *call, enum upclient_result result)
{
	struct flow *flow = call->ctx;
	const bool safe = flow->route->kind == ROUTING_SAFE;

	record_result(flow, result);
	if (result != UPCLIENT_UNSENT && result != UPCLIENT_WITHHELD)
		flow->attempts_made++;
	switch (result) {
	case UPCLIENT_ANSWERED:
		on_answer(flow);
		return;
	case UPCLIENT_UNSENT:
	case UPCLIENT_WITHHELD:
		/* Nothing was sent, so no retry is taken from the budget. */
		if (++flow->unsent < MAX_UNSENT)
			dispatch(flow);
		else
			refuse(flow, REFUSE_NO_ROOM, retry_after_time(flow));
		return;
	case UPCLIENT_STALE:
	case UPCLIENT_BROKEN:
		flow->may_have_run = true;
		if (safe && take_retry(flow))
			dispatch(flow);
		else
			refuse(flow, REFUSE_UPSTREAM, 0);
		return;
	}
}

/* This VM's share of the connections that an upstream accepts. */
static unsigned conn_share(const struct flow *flow)
{
	const size_t vms = flow->st->vms.count ? flow->st->vms.count : 1;
	const double most = flow->limits ? flow->limits->max_conns : MAX_CONNS;
	const double share = CONN_SHARE_RATIO * most / (double)vms;

	if (share < MIN_CONNS)
		return MIN_CONNS;
	return share < MAX_CONNS ? (unsigned)share : MAX_CONNS;
}

/* Starts an attempt at the picked upstream. */
static void send_attempt(struct flow *flow, const struct placement_request *ask)
{
	struct st *st = flow->st;
	struct up *up = flow->pick.up;
	int err;

	flow->call = (struct upclient_call){
		.up = up,
		.id = flow->marks.id,
		.body = buf_str(&flow->req->msg.body),
		.bodyless = flow->req->msg.parser.method == HTTP_HEAD,
		.unsafe = flow->route->kind != ROUTING_SAFE,
		.max_conns = conn_share(flow),
		.ended = on_ended,
		.ctx = flow,
	};
	err = pass_request(&flow->head, &flow->req->msg,
			   time_left(flow, ask->now), strbuf_str(&up->id));
	flow->call.head = buf_str(&flow->head);
	if (!err) {
		placement_spend_cold_token(ask, up);
		add_tried(flow);
		up_note_sent(up);
		err = upclient_start(&st->upclient, &flow->call);
		if (!err)
			return;
		up_note_outcome(up, UP_OUTCOME_ABANDONED, 0, 0, ask->now);
		/* Another upstream may have connections left. */
		if (err == PST_ERR_FULL && ++flow->unsent < MAX_UNSENT) {
			dispatch(flow);
			return;
		}
	}
	evt_log(FLOW_NOT_SENT, "req=%.*s upstream=%s error=%s",
		STR_ARG(log_id(flow)), up->id.ptr, err_name(err));
	refuse(flow, REFUSE_NO_ROOM, retry_after_time(flow));
}

/*
 * Refuses the request if it may not join the queue at the picked upstream;
 * returns whether it was refused. A request that an upstream may have run is
 * always admitted.
 */
static bool refused_admission(struct flow *flow, apr_time_t now)
{
	static const enum refuse_cause causes[] = {
		[ADMISSION_LATE] = REFUSE_PAST_AIM,
		[ADMISSION_YIELD] = REFUSE_YIELDS,
	};
	const struct admission_request request = {
		.route = flow->route,
		.pick = &flow->pick,
		.waited = now - flow->req->first_byte_at,
		.is_retry = flow->tried_count > 0,
	};
	apr_interval_time_t retry_after;
	apr_interval_time_t room_after;
	enum admission_verdict verdict;

	if (flow->may_have_run)
		return false;
	verdict = admission_request(&flow->svc->ranks, &request, now,
				    &retry_after);
	if (verdict == ADMISSION_SEND)
		return false;
	room_after = retry_after_time(flow);
	refuse(flow, causes[verdict],
	       retry_after > room_after ? retry_after : room_after);
	return true;
}

/* Picks an upstream and starts an attempt there, or refuses the request. */
static void dispatch(struct flow *flow)
{
	struct st *st = flow->st;
	const struct placement_request ask = make_ask(flow);
	const struct spillover_rules rules = {
		.geo = &st->geo,
		.own = st->region,
		.vms = vms_in_region(&st->vms, st->region),
		.evacuated = st->evacuated,
		.shift_most = st->set->bounds.shift_most,
	};

	if (time_left(flow, ask.now) < MIN_TIME_LEFT_US ||
	    flow->tried_count == PLACEMENT_MAX_TRIED) {
		refuse(flow, flow->may_have_run ? REFUSE_TIMEOUT : REFUSE_LATE,
		       flow->may_have_run ? 0 : retry_after_time(flow));
		return;
	}
	spillover_update(flow->svc, &rules, ask.now);
	placement_choose(&ask, &flow->pick);
	if (!flow->pick.up) {
		refuse(flow,
		       flow->may_have_run ? REFUSE_UPSTREAM : REFUSE_NO_ROOM,
		       retry_after_time(flow));
		return;
	}
	if (!flow->may_have_run && st_would_cut(st, flow->pick.expected)) {
		refuse(flow, REFUSE_STOPPING, STOP_RETRY_AFTER_US);
		return;
	}
	if (!flow->may_have_run &&
	    !srv_admits(flow->req, (size_t)flow->run->answer_bytes)) {
		refuse(flow, REFUSE_UNREAD, UNREAD_RETRY_AFTER_US);
		return;
	}
	if (refused_admission(flow, ask.now))
		return;
	if (!flow->may_have_run &&
	    flow->pick.wait > flow->expires_at - ask.now) {
		refuse(flow, REFUSE_LATE, flow->pick.wait / 2);
		return;
	}
	send_attempt(flow, &ask);
}

static void on_timeout(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct flow *flow = timer->data;
	const apr_time_t now = clk_now(flow->st->clk);

	(void)loop;
	(void)events;
	if (now < flow->expires_at) {
		timer->repeat = (double)(flow->expires_at - now) /
					(double)APR_USEC_PER_SEC +
				0.001;
		ev_timer_again(loop, timer);
		return;
	}
	up_note_outcome(flow->pick.up, UP_OUTCOME_ABANDONED, 0, 0, now);
	upclient_cancel(&flow->call);
	refuse(flow, REFUSE_TIMEOUT, 0);
}

/*
 * Finds the route, the service and its limits. Returns 0, or an error and the
 * cause of refusal.
 */
static int match_route(struct flow *flow, enum refuse_cause *cause)
{
	struct st *st = flow->st;
	const struct msg *msg = &flow->req->msg;
	const struct routing_backend *part;
	struct str draw_key = flow->marks.id;

	*cause = REFUSE_NO_TABLE;
	if (!st->routing || !st->table_known || !st->upstreams_known)
		return PST_ERR_REQ_NO_TABLE;
	flow->routing = st->routing;
	ref_get(&flow->routing->ref);
	flow->route =
		routing_match(flow->routing, msg_header(msg, STR_LIT("Host")),
			      msg_target(msg));
	*cause = downtime_is_recent(&st->downtime, clk_now(st->clk))
			 ? REFUSE_NO_TABLE
			 : REFUSE_NO_ROUTE;
	if (!flow->route)
		return PST_ERR_REQ_SERVICE;
	if (!draw_key.len)
		draw_key = msg_target(msg);
	part = routing_choose_backend(flow->route, str_hash(draw_key, 1));
	flow->limits = routing_service(flow->routing, part->service);
	flow->svc = registry_find_service(&st->registry, part->service);
	*cause = REFUSE_NO_ROOM;
	if (!flow->svc)
		return PST_ERR_REQ_NO_ROOM;
	flow->run = registry_route_stats_of(
		&st->registry, flow->svc, flow->route->name, flow->route->rank);
	if (!flow->run)
		return PST_ERR_NOMEM;
	flow->object = str_hash(
		flow->marks.object.len ? flow->marks.object : draw_key, 2);
	return 0;
}

static void set_expiry(struct flow *flow)
{
	const apr_time_t begun = flow->req->first_byte_at;
	const apr_interval_time_t timeout = flow->route->timeout;
	apr_interval_time_t wait = flow->marks.deadline;

	if (wait < 0)
		wait = DEFAULT_TIMEOUT_US;
	if (timeout && timeout < wait)
		wait = timeout;
	flow->expires_at = begun + wait + LATE_GRACE_US;
}

static void on_request(void *ctx, struct srv_req *req)
{
	struct st *st = ctx;
	const apr_time_t now = clk_now(st->clk);
	const struct retrycap_rules rules = budget_rules(st);
	struct flow *flow = calloc(1, sizeof(*flow));
	enum refuse_cause cause;

	if (!flow) {
		refuse_send(req, REFUSE_NO_ROOM, APR_USEC_PER_SEC);
		return;
	}
	flow->st = st;
	flow->req = req;
	flow->marks.deadline = META_NO_DEADLINE;
	req->user = flow;
	for (unsigned i = 0; i < req->msg.field_count; i++)
		plt_request_header(msg_name(&req->msg, i),
				   msg_value(&req->msg, i), &flow->marks);
	stoplog_set_id(req, flow->marks.id);
	ev_timer_init(&flow->timer, on_timeout, 0, 0);
	flow->timer.data = flow;
	if (match_route(flow, &cause)) {
		refuse(flow, cause, APR_USEC_PER_SEC / 2);
		return;
	}
	set_expiry(flow);
	retrycap_count_request(&flow->svc->budget, &rules, now);
	flow->timer.repeat =
		(double)(flow->expires_at - now) / (double)APR_USEC_PER_SEC;
	if (flow->timer.repeat < 0.001)
		flow->timer.repeat = 0.001;
	ev_timer_again(st->loop, &flow->timer);
	dispatch(flow);
}

static void on_gone(void *ctx, struct srv_req *req, enum srv_end end)
{
	struct st *st = ctx;
	struct flow *flow = req->user;

	stoplog_request_cut(st, req, end);
	if (!flow)
		return;
	log_done(flow, 0, srv_end_name(end));
	up_note_outcome(flow->pick.up, UP_OUTCOME_ABANDONED, 0, 0,
			clk_now(st->clk));
	upclient_cancel(&flow->call);
	flow_free(flow);
}

const struct srv_ops flow_ops = {
	.request = on_request,
	.gone = on_gone,
	.logs_answers = true,
};
