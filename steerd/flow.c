#include "steerd/flow.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/err.h"
#include "common/evt.h"
#include "platform/plt_headers.h"
#include "steerd/attempt.h"
#include "steerd/reqstats.h"
#include "steerd/pass.h"
#include "steerd/stoplog.h"

#define LOG_MODULE "flow"

/* Time-out of a request whose caller and route state none. */
#define DEFAULT_TIMEOUT_US (30 * APR_USEC_PER_SEC)

/* Delay after which an account that was slow may answer. */
#define LATE_PERMIT_RETRY_US 100000

struct retrycap_rules flow_retry_rules(const struct st *st)
{
	return (struct retrycap_rules){
		.ratio = st->set->bounds.retry_ratio,
		.extra = st->set->bounds.retry_extra,
		.window = CLK_SEC(st->set->bounds.retry_window_s),
		.vms = st->vms.count ? (unsigned)st->vms.count : 1,
	};
}

/* Another request may use the permit if nothing was sent. */
static void give_up_permit(struct flow *flow)
{
	accounts_cancel(&flow->permit_wait);
	if (flow->has_permit && !flow->attempts_made && !flow->in_attempt)
		accounts_put_back(flow->st->accounts, flow->tenant);
}

static void flow_free(struct flow *flow)
{
	give_up_permit(flow);
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
struct str flow_log_id(const struct flow *flow)
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

/* Source of the last report of the chosen upstream's speed. */
static const char *speed_by(const struct placement_pick *pick)
{
	if (!pick->up || !pick->speed)
		return "none";
	return pick->speed_shared ? "vm" : "own";
}

static void log_done(const struct flow *flow, unsigned status, const char *why)
{
	const apr_time_t now = clk_now(flow->st->clk);
	const struct up *up = flow->pick.up;
	char share[96] = "";

	/* Inputs of the decision on a request over its tenant's share. */
	if (flow->use.is_over)
		snprintf(share, sizeof(share),
			 " over=1 demand=%.3f share=%.3f level=%.3f late=%.2f",
			 flow->use.demand, flow->use.admitted, flow->use.level,
			 flow->use.late);
	reqstats_record(status, now - flow->req->first_byte_at);
	evt_log(FLOW_DONE,
		"req=%.*s route=%.*s tenant=%.*s rank=%u status=%u why=%s "
		"us=%lld tries=%u "
		"upstream=%s copy=%d expected_us=%lld load=%.1f "
		"report_age_ms=%lld report_by=%s "
		"speed=%u speed_age_ms=%lld speed_by=%s weighed=%u "
		"manifest=%llu%s",
		STR_ARG(flow_log_id(flow)),
		STR_ARG(flow->route ? flow->route->name : STR_LIT("-")),
		STR_ARG(flow->tenant ? flow->tenant->name : STR_LIT("-")),
		flow->rank, status, why,
		(long long)(now - flow->req->first_byte_at),
		flow->attempts_made, up ? up->id.ptr : "-",
		(int)flow->pick.replica, (long long)flow->pick.expected,
		flow->pick.load, (long long)flow->pick.report_age / 1000,
		report_by(&flow->pick), flow->pick.speed,
		(long long)flow->pick.speed_age / 1000, speed_by(&flow->pick),
		flow->pick.weighed,
		flow->routing ? (unsigned long long)flow->routing->version
			      : 0ULL,
		share);
}

/* Answers with a refusal or failure of this VM's own, and frees the flow. */
void flow_refuse(struct flow *flow, enum refuse_cause cause,
		 apr_interval_time_t retry_after)
{
	struct srv_req *req = flow->req;

	/* The manifest denies these, at any time. */
	if (cause == REFUSE_UNKNOWN_KEY || cause == REFUSE_NO_REGION)
		retry_after = 0;
	log_done(flow, refuse_status(cause), refuse_name(cause));
	flow_free(flow);
	refuse_send(req, cause, retry_after);
}

/* Forwards a complete answer unchanged, and frees the flow. */
void flow_answer(struct flow *flow, const struct msg *answer)
{
	struct srv_req *req = flow->req;
	struct buf fields = {0};
	const unsigned status = answer->parser.status_code;

	if (pass_answer(&fields, answer)) {
		buf_free(&fields);
		flow_refuse(flow, REFUSE_UPSTREAM, 0);
		return;
	}
	log_done(flow, status, "answered");
	flow_free(flow);
	srv_answer(req, status,
		   str_from_c(http_status_str((enum http_status)status)),
		   buf_str(&fields), buf_str(&answer->body));
	buf_free(&fields);
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
	/* It waits for a permit. */
	if (!flow->pick.up) {
		flow_refuse(flow, REFUSE_LATE, LATE_PERMIT_RETRY_US);
		return;
	}
	up_note_outcome(flow->pick.up, UP_OUTCOME_ABANDONED, 0, 0, now);
	upclient_cancel(&flow->call);
	flow_refuse(flow, REFUSE_TIMEOUT, 0);
}

/* Cause for what the manifest does not allow, or not the one known here. */
static enum refuse_cause unless_outage(const struct st *st,
				       enum refuse_cause cause)
{
	return downtime_is_recent(&st->downtime, clk_now(st->clk))
		       ? REFUSE_NO_TABLE
		       : cause;
}

/* The tenant of the only key that the caller stated; NULL: none. */
static const struct routing_tenant *tenant_of(const struct flow *flow,
					      const struct routing *routing)
{
	if (!routing->has_tenants || flow->marks.key_count != 1)
		return NULL;
	return routing_tenant_of_key(routing, flow->marks.key);
}

bool flow_keeps_tenant(const struct flow *flow, enum refuse_cause *cause)
{
	const struct routing *now = flow->st->routing;
	const struct routing_tenant *tenant;

	*cause = unless_outage(flow->st, REFUSE_UNKNOWN_KEY);
	if (now == flow->routing || !flow->tenant || !now->has_tenants)
		return true;
	tenant = tenant_of(flow, now);
	if (tenant && str_eq(tenant->name, flow->tenant->name))
		return true;
	/* The manifest in force may allow it under another tenant, or none. */
	if (tenant || flow->route->public)
		*cause = REFUSE_TENANT_CHANGED;
	return false;
}

static bool has_allowed_region(const struct flow *flow)
{
	const struct geo *geo = &flow->st->geo;

	if (!routing_has_homes(flow->route, flow->tenant))
		return true;
	for (int i = 0; i < geo->region_count; i++) {
		if (routing_allows_region(flow->route, flow->tenant,
					  strbuf_str(&geo->regions[i])))
			return true;
	}
	return false;
}

/* Finds the tenant. Returns 0, or an error and the cause of refusal. */
static int match_tenant(struct flow *flow, enum refuse_cause *cause)
{
	flow->tenant = tenant_of(flow, flow->routing);
	flow->rank = routing_rank(flow->route, flow->tenant);
	*cause = unless_outage(flow->st, REFUSE_UNKNOWN_KEY);
	if (flow->routing->has_tenants && !flow->route->public && !flow->tenant)
		return PST_ERR_REQ_KEY;
	*cause = unless_outage(flow->st, REFUSE_NO_REGION);
	return has_allowed_region(flow) ? 0 : PST_ERR_REQ_KEY;
}

/* Finds the service and what is known of it, for a request with a route. */
static int match_service(struct flow *flow)
{
	struct st *st = flow->st;
	const struct routing_backend *part;
	struct str draw_key = flow->marks.id;

	if (!draw_key.len)
		draw_key = msg_target(&flow->req->msg);
	part = routing_choose_backend(flow->route, str_hash(draw_key, 1));
	flow->limits = routing_service(flow->routing, part->service);
	flow->svc = registry_find_service(&st->registry, part->service);
	if (!flow->svc)
		return PST_ERR_REQ_NO_ROOM;
	flow->run = registry_route_stats_of(&st->registry, flow->svc,
					    flow->route->name);
	if (!flow->run)
		return PST_ERR_NOMEM;
	flow->object = str_hash(
		flow->marks.object.len ? flow->marks.object : draw_key, 2);
	return 0;
}

/*
 * Finds the route, the tenant and the service. Returns 0, or an error and the
 * cause of refusal.
 */
static int match_route(struct flow *flow, enum refuse_cause *cause)
{
	struct st *st = flow->st;
	const struct msg *msg = &flow->req->msg;
	int err;

	*cause = REFUSE_NO_TABLE;
	if (!st->routing || !st->table_known || !st->upstreams_known)
		return PST_ERR_REQ_NO_TABLE;
	flow->routing = st->routing;
	ref_get(&flow->routing->ref);
	flow->route =
		routing_match(flow->routing, msg_header(msg, STR_LIT("Host")),
			      msg_target(msg));
	*cause = unless_outage(st, REFUSE_NO_ROUTE);
	if (!flow->route)
		return PST_ERR_REQ_SERVICE;
	err = match_tenant(flow, cause);
	if (err)
		return err;
	*cause = REFUSE_NO_ROOM;
	return match_service(flow);
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
	flow->expires_at = begun + wait + FLOW_LATE_GRACE_US;
}

/* The request may be sent. */
static void begin_attempts(struct flow *flow)
{
	const struct retrycap_rules rules = flow_retry_rules(flow->st);

	retrycap_count_request(&flow->svc->budget, &rules,
			       clk_now(flow->st->clk));
	attempt_next(flow);
}

static void on_permit(struct flow *flow, enum permits_verdict verdict,
		      apr_interval_time_t retry_after)
{
	if (verdict == PERMITS_SEND) {
		flow->has_permit = true;
		begin_attempts(flow);
		return;
	}
	accounts_log_refusal(flow->st->accounts, flow->tenant,
			     flow_log_id(flow), verdict, retry_after);
	flow_refuse(flow,
		    verdict == PERMITS_REFUSE ? REFUSE_OVER_LIMIT
					      : REFUSE_NO_ALLOWANCE,
		    retry_after);
}

static void on_wait_ended(struct accounts_wait *wait,
			  enum permits_verdict verdict,
			  apr_interval_time_t retry_after)
{
	on_permit(wait->ctx, verdict, retry_after);
}

/* Takes a permit if the tenant has a rate, and sends the request. */
static void take_permit(struct flow *flow)
{
	enum permits_verdict verdict;
	apr_interval_time_t retry_after;

	if (!flow->tenant || flow->tenant->rate <= 0) {
		begin_attempts(flow);
		return;
	}
	flow->permit_wait.ended = on_wait_ended;
	flow->permit_wait.ctx = flow;
	verdict = accounts_take(flow->st->accounts, &flow->permit_wait,
				flow->tenant, &retry_after);
	if (verdict != PERMITS_WAIT)
		on_permit(flow, verdict, retry_after);
}

static void on_request(void *ctx, struct srv_req *req)
{
	struct st *st = ctx;
	const apr_time_t now = clk_now(st->clk);
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
		flow_refuse(flow, cause, FLOW_NO_TABLE_RETRY_US);
		return;
	}
	set_expiry(flow);
	flow->timer.repeat =
		(double)(flow->expires_at - now) / (double)APR_USEC_PER_SEC;
	if (flow->timer.repeat < 0.001)
		flow->timer.repeat = 0.001;
	ev_timer_again(st->loop, &flow->timer);
	take_permit(flow);
}

static void on_gone(void *ctx, struct srv_req *req, enum srv_end end)
{
	struct st *st = ctx;
	struct flow *flow = req->user;

	stoplog_request_cut(st, req, end);
	if (!flow)
		return;
	log_done(flow, 0, srv_end_name(end));
	if (flow->pick.up)
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
