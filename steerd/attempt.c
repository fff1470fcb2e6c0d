#include "steerd/attempt.h"

#include <string.h>

#include "common/ctr.h"
#include "common/err.h"
#include "common/evt.h"
#include "policy/admission.h"
#include "policy/spillover.h"
#include "steerd/pacelog.h"
#include "steerd/pass.h"
#include "steerd/said.h"
#include "steerd/upstats.h"
#include "steerd/verdict.h"

#define LOG_MODULE "flow"

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

static struct placement_request make_ask(const struct flow *flow)
{
	struct st *st = flow->st;
	struct placement_request ask = {
		.svc = flow->svc,
		.run = flow->run,
		.route = flow->route,
		.tenant = flow->tenant,
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
		.vms_version = (uint64_t)st->vms_changed_at,
		.settled = st_settled_vms(st),
		.cold_overage = st->set->bounds.cold_overage,
		.cold_slack = st->set->bounds.cold_slack,
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
	return flow->expires_at - FLOW_LATE_GRACE_US - now;
}

/* Whether another attempt is allowed; takes it from the retry budget. */
static bool take_retry(struct flow *flow)
{
	const struct retrycap_rules rules = flow_retry_rules(flow->st);
	const apr_time_t now = clk_now(flow->st->clk);

	return !st_would_cut(flow->st, flow->pick.expected) &&
	       time_left(flow, now) > MIN_TIME_LEFT_US &&
	       flow->attempts_made < flow->route->max_attempts &&
	       flow->tried_count < PLACEMENT_MAX_TRIED &&
	       retrycap_take(&flow->svc->budget, &rules, now);
}

static void on_answer(struct flow *flow)
{
	struct upclient_call *call = &flow->call;
	const enum up_outcome outcome = verdict_outcome(call);
	const bool safe = flow->route->kind == ROUTING_SAFE;

	if (outcome == UP_OUTCOME_SHED) {
		if (take_retry(flow))
			attempt_next(flow);
		else
			flow_refuse(flow,
				    flow->may_have_run ? REFUSE_UPSTREAM
						       : REFUSE_SHED,
				    retry_after_time(flow));
		return;
	}
	flow->may_have_run = true;
	if (!verdict_can_forward(call, safe)) {
		if (safe && take_retry(flow))
			attempt_next(flow);
		else
			flow_refuse(flow, REFUSE_UPSTREAM, 0);
		return;
	}
	if (outcome == UP_OUTCOME_FAILED && safe && take_retry(flow))
		attempt_next(flow);
	else
		flow_answer(flow, call->answer);
}

/* Time that was to be expected of the attempt, by what is known now. */
static apr_interval_time_t explained_time(const struct flow *flow,
					  apr_time_t now)
{
	const struct placement_pick *pick = &flow->pick;
	apr_interval_time_t expected = pick->expected;

	/* An upstream that is slow to start has no warm objects. */
	if (pacelog_is_on(flow->st) && pick->up->pace.reason != PACE_NONE &&
	    pick->slow_after > expected)
		expected = pick->slow_after;
	return upspeed_explained(&pick->up->speed, expected, pick->speed_factor,
				 now);
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
			said_record(flow->st, call, up, flow_log_id(flow), now);
	} else if (result == UPCLIENT_STALE || result == UPCLIENT_WITHHELD) {
		outcome = UP_OUTCOME_ABANDONED;
		if (result == UPCLIENT_WITHHELD)
			upstats_count_kept_away(up);
	}
	elapsed = now - call->sent_at;
	up_note_outcome(up, outcome, elapsed, explained_time(flow, now), now);
	if (outcome == UP_OUTCOME_OK)
		up_note_answer_time(
			up, elapsed,
			upspeed_explained(&up->speed, flow->pick.slow_after,
					  flow->pick.speed_factor, now),
			now);
	pacelog_update(flow->st, up);
	if (outcome == UP_OUTCOME_OK) {
		up_note_object(up, flow->object, now);
		flow->run->answer_bytes += ((double)call->answer->body.len -
					    flow->run->answer_bytes) *
					   ANSWER_SIZE_WEIGHT;
		registry_note_run(
			flow->svc, flow->run, flow->rank,
			elapsed - (up->region >= 0
					   ? flow->st->region_rtt[up->region]
					   : 0),
			flow->pick.wait, now);
	}
	if (outcome != UP_OUTCOME_OK)
		evt_log(FLOW_TRY_ENDED, "req=%.*s upstream=%s end=%d status=%d",
			STR_ARG(flow_log_id(flow)), up->id.ptr, (int)result,
			result == UPCLIENT_ANSWERED
				? (int)call->answer->parser.status_code
				: 0);
}

static void on_ended(struct upclient_call *call, enum upclient_result result)
{
	struct flow *flow = call->ctx;
	const bool safe = flow->route->kind == ROUTING_SAFE;

	flow->in_attempt = false;
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
			attempt_next(flow);
		else
			flow_refuse(flow, REFUSE_NO_ROOM,
				    retry_after_time(flow));
		return;
	case UPCLIENT_STALE:
	case UPCLIENT_BROKEN:
		flow->may_have_run = true;
		if (safe && take_retry(flow))
			attempt_next(flow);
		else
			flow_refuse(flow, REFUSE_UPSTREAM, 0);
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
	struct pass_fields fields;
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
	fields = (struct pass_fields){
		.left = time_left(flow, ask->now),
		.upstream = strbuf_str(&up->id),
		/* A newer manifest may have made Key a secret. */
		.has_tenants =
			flow->routing->has_tenants || st->routing->has_tenants,
		.tenant = flow->tenant ? flow->tenant->name : STR_LIT(""),
	};
	err = pass_request(&flow->head, &flow->req->msg, &fields);
	flow->call.head = buf_str(&flow->head);
	if (!err) {
		placement_spend_pace(ask, up);
		add_tried(flow);
		up_note_sent(up);
		flow->in_attempt = true;
		err = upclient_start(&st->upclient, &flow->call);
		if (!err)
			return;
		flow->in_attempt = false;
		up_note_outcome(up, UP_OUTCOME_ABANDONED, 0, 0, ask->now);
		/* Another upstream may have connections left. */
		if (err == PST_ERR_FULL && ++flow->unsent < MAX_UNSENT) {
			attempt_next(flow);
			return;
		}
	}
	evt_log(FLOW_NOT_SENT, "req=%.*s upstream=%s error=%s",
		STR_ARG(flow_log_id(flow)), up->id.ptr, err_name(err));
	flow_refuse(flow, REFUSE_NO_ROOM, retry_after_time(flow));
}

static void count_over_share(enum admission_verdict verdict)
{
	ctr_add(ctr_get("pst_over_share_total",
			verdict == ADMISSION_SEND ? "sent=\"1\"" : "sent=\"0\"",
			"Requests over their tenant's share of a service that "
			"was late."),
		1);
}

/* Whether fair shares limit the request: a rate is a tenant's agreed share. */
static bool takes_share(const struct flow *flow)
{
	return flow->routing->has_tenants &&
	       !(flow->tenant && flow->tenant->rate > 0);
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
		[ADMISSION_OVER_SHARE] = REFUSE_OVER_SHARE,
	};
	const struct admission_request request = {
		.route = flow->route,
		.rank = flow->rank,
		.tenant = flow->tenant ? flow->tenant->hash : 0,
		.pick = &flow->pick,
		.waited = now - flow->req->first_byte_at,
		.is_retry = flow->tried_count > 0,
		.shares = takes_share(flow) ? &flow->svc->shares : NULL,
		.use = &flow->use,
	};
	apr_interval_time_t retry_after;
	apr_interval_time_t room_after;
	enum admission_verdict verdict;

	if (flow->may_have_run)
		return false;
	verdict = admission_request(&flow->svc->ranks, &request, now,
				    &retry_after);
	if (flow->use.is_over && !request.is_retry)
		count_over_share(verdict);
	if (verdict == ADMISSION_SEND)
		return false;
	room_after = retry_after_time(flow);
	flow_refuse(flow, causes[verdict],
		    retry_after > room_after ? retry_after : room_after);
	return true;
}

void attempt_next(struct flow *flow)
{
	struct st *st = flow->st;
	const struct placement_request ask = make_ask(flow);
	enum refuse_cause cause;
	const struct spillover_rules rules = {
		.geo = &st->geo,
		.own = st->region,
		.vms = vms_in_region(&st->vms, st->region),
		.evacuated = st->evacuated,
		.shift_most = st->set->bounds.shift_most,
	};

	if (time_left(flow, ask.now) < MIN_TIME_LEFT_US ||
	    flow->tried_count == PLACEMENT_MAX_TRIED) {
		flow_refuse(flow,
			    flow->may_have_run ? REFUSE_TIMEOUT : REFUSE_LATE,
			    flow->may_have_run ? 0 : retry_after_time(flow));
		return;
	}
	if (!flow->may_have_run && !flow_keeps_tenant(flow, &cause)) {
		flow_refuse(flow, cause, FLOW_NO_TABLE_RETRY_US);
		return;
	}
	spillover_update(flow->svc, &rules, ask.now);
	placement_choose(&ask, &flow->pick);
	if (!flow->pick.up) {
		flow_refuse(flow,
			    flow->may_have_run ? REFUSE_UPSTREAM
					       : REFUSE_NO_ROOM,
			    retry_after_time(flow));
		return;
	}
	if (!flow->may_have_run && st_would_cut(st, flow->pick.expected)) {
		flow_refuse(flow, REFUSE_STOPPING, STOP_RETRY_AFTER_US);
		return;
	}
	if (!flow->may_have_run &&
	    !srv_admits(flow->req, (size_t)flow->run->answer_bytes)) {
		flow_refuse(flow, REFUSE_UNREAD, UNREAD_RETRY_AFTER_US);
		return;
	}
	if (refused_admission(flow, ask.now))
		return;
	if (!flow->may_have_run &&
	    flow->pick.wait > flow->expires_at - ask.now) {
		flow_refuse(flow, REFUSE_LATE, flow->pick.wait / 2);
		return;
	}
	send_attempt(flow, &ask);
}
