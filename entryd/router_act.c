#include "entryd/router_act.h"

#include "common/err.h"
#include "common/evt.h"
#include "entryd/forwarder.h"

#define LOG_MODULE "entry.route"

static uint64_t next_random(struct router *router)
{
	/* splitmix64 */
	uint64_t z = router->random += 0x9e3779b97f4a7c15;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
	return z ^ (z >> 31);
}

static void remove_active(struct router *router, struct req *req)
{
	if (!req->active)
		return;
	req->active = false;
	if (req->prev)
		req->prev->next = req->next;
	else
		router->active = req->next;
	if (req->next)
		req->next->prev = req->prev;
	apr_hash_set(router->by_number, &req->number, sizeof(req->number),
		     NULL);
	atomic_fetch_sub(&router->in_progress, 1);
	req_put(req);
}

static int reason_for(enum reqstate_cause cause)
{
	switch (cause) {
	case REQSTATE_CAUSE_KEY:
		return PST_ERR_REQ_KEY;
	case REQSTATE_CAUSE_LATE:
		return PST_ERR_REQ_LATE;
	case REQSTATE_CAUSE_NO_ROOM:
		return PST_ERR_REQ_NO_ROOM;
	case REQSTATE_CAUSE_SHED:
		return PST_ERR_REQ_SHED;
	case REQSTATE_CAUSE_SILENT:
		return PST_ERR_REQ_SILENT;
	case REQSTATE_CAUSE_DEADLINE:
		return PST_ERR_REQ_DEADLINE;
	case REQSTATE_CAUSE_UPSTREAM:
	case REQSTATE_CAUSE_CALLER_GONE:
	case REQSTATE_CAUSE_NONE:
		break;
	}
	return PST_ERR_REQ_UPSTREAM;
}

static unsigned status_for(int reason)
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

void router_refuse(struct router *router, struct req *req, bool not_run,
		   int reason)
{
	const unsigned status = status_for(reason);

	/* The reason of the verdict tells the caller what to do next. */
	if (reason == PST_ERR_REQ_KEY && req->key_error)
		reason = req->key_error;
	evt_log(REQ_REFUSED, "req=%s run=%s cause=%s", req->id.ptr,
		not_run ? "no" : "unknown", err_name(reason));
	ctr_add(router->refused[req->rank], 1);
	pthread_mutex_lock(&req->lock);
	req->status = status;
	req->not_run = not_run;
	req->reason = reason;
	req->stage = REQ_REFUSED;
	req_resume(req);
	pthread_mutex_unlock(&req->lock);
}

static void break_answer(struct req *req)
{
	evt_log(REQ_BROKEN, "req=%s", req->id.ptr);
	pthread_mutex_lock(&req->lock);
	pipe_close(&req->answer, true);
	req->stage = REQ_BROKEN;
	req_resume(req);
	pthread_mutex_unlock(&req->lock);
}

static void finish(struct router *router, struct req *req)
{
	const apr_interval_time_t total = clk_now(router->clk) - req->arrived;

	if (req->stage == REQ_ANSWERING) {
		evt_log(REQ_ANSWERED, "req=%s status=%u total_us=%lld",
			req->id.ptr, req->status, (long long)total);
		ctr_add(router->answered[req->rank], 1);
		hist_record(router->latency[req->rank], (uint64_t)total);
	}
	remove_active(router, req);
}

static enum permit_outcome
permit_outcome_for(const struct req *req, const struct reqstate_action *action)
{
	if (action->unused)
		return PERMIT_UNUSED;
	switch (action->result) {
	case REQSTATE_RESULT_WHOLE:
		return PERMIT_DONE;
	case REQSTATE_RESULT_SHED:
		return req->load_reported && req->load_report.draining
			       ? PERMIT_DRAINING
			       : PERMIT_SHED;
	case REQSTATE_RESULT_NOT_SENT:
	case REQSTATE_RESULT_SILENT:
		return PERMIT_SILENT;
	case REQSTATE_RESULT_EXPIRED:
		return PERMIT_EXPIRED;
	case REQSTATE_RESULT_LOST:
	case REQSTATE_RESULT_BAD:
	case REQSTATE_RESULT_TRUNCATED:
		break;
	}
	return PERMIT_FAILED;
}

/*
 * Picks a domain that has room under its limits. Returns its index in the
 * table, or -1.
 */
static int pick_domain(struct router *router, struct req *req,
		       const struct tbl *tbl)
{
	const int service = tbl_service_find(tbl, strbuf_str(&req->service));
	const int here = tbl_region_find(tbl, router->set->vm.region);
	const struct tbl_row *row;

	if (service < 0)
		return -1;
	row = tbl_row(tbl, (uint32_t)service, req->rank);
	for (;;) {
		const int i = quota_pick_domain(router->deps.quota, tbl, row,
						next_random(router),
						req->excluded_domains);
		uint32_t region;

		if (i < 0)
			return -1;
		region = tbl->domains[i].region;
		if ((int)region == here ||
		    quota_take_request(router->deps.quota, row, region))
			return i;
		req->excluded_domains[i] = true;
	}
}

static bool ask_permit(struct router *router, struct req *req)
{
	struct ctl_view *view = ctl_agent_view(router->deps.ctl);
	struct permit_ask ask = {
		.id = req->number << ROUTER_ASK_BITS | req->reqstate.asks,
		.service = req->service,
		.rank = req->rank,
		.deadline = req->deadline,
	};
	int err = PST_ERR_REQ_NO_ROOM;
	int domain = -1;

	if (view)
		domain = pick_domain(router, req, view->tbl);
	if (domain >= 0) {
		req->domain = view->tbl->domains[domain].name;
		ask.domain = req->domain;
		req->permit_asked_at = clk_now(router->clk);
		evt_log(REQ_DOMAIN, "req=%s domain=%s from=%s try=%u",
			req->id.ptr, req->domain.ptr,
			router->set->vm.failure_domain.ptr,
			req->reqstate.attempt_count + 1);
		err = permit_agent_ask(router->deps.permit, &ask);
	}
	if (view)
		ctl_view_put(view);
	return err == 0;
}

static bool make_target(struct router *router, const struct req *req,
			struct forwarder_target *out)
{
	struct ctl_view *view = ctl_agent_view(router->deps.ctl);
	int domain = -1;
	int here = -1;

	if (view) {
		here = tbl_region_find(view->tbl, router->set->vm.region);
		domain = tbl_domain_find(view->tbl, strbuf_str(&req->domain));
	}
	if (domain >= 0 && here >= 0) {
		*out = (struct forwarder_target){
			.upstream = req->upstream,
			.address = req->upstream_address,
			.port = req->upstream_port,
			.local_region = (uint32_t)here,
			.upstream_region = view->tbl->domains[domain].region,
		};
		out->upstream_region_name =
			view->tbl->regions[out->upstream_region].name;
	}
	if (view)
		ctl_view_put(view);
	return domain >= 0 && here >= 0;
}

static void defer(struct router *router, struct reqstate_event event)
{
	router->deferred[router->deferred_count++] = event;
}

static void send_attempt(struct router *router, struct req *req)
{
	const apr_interval_time_t wait =
		clk_now(router->clk) - req->permit_asked_at;
	struct forwarder_target target;

	if (!make_target(router, req, &target)) {
		defer(router, (struct reqstate_event){
				      .kind = REQSTATE_EV_RESULT,
				      .result = REQSTATE_RESULT_NOT_SENT,
			      });
		return;
	}
	evt_log(REQ_SENT, "req=%s upstream=%s domain=%s try=%u wait_us=%lld",
		req->id.ptr, req->upstream.ptr, req->domain.ptr,
		req->reqstate.attempt_count, (long long)wait);
	hist_record(router->permit_wait[req->rank], (uint64_t)wait);
	pthread_mutex_lock(&req->lock);
	if (req->stage == REQ_WAITING)
		req->stage = REQ_OPEN;
	if (req->body_length)
		req_resume(req);
	pthread_mutex_unlock(&req->lock);
	forwarder_send(router->deps.forwarder, req, &target);
}

static void admit_key(struct router *router, struct req *req)
{
	if (!tkt_agent_admit(router->deps.ticket, req->number,
			     str_from_c(req->key), req->deadline))
		return;
	defer(router, (struct reqstate_event){
			      .kind = REQSTATE_EV_TICKET,
			      .ticket = REQSTATE_TICKET_UNKNOWN,
		      });
}

static enum tkt_end key_end_for(enum reqstate_end end)
{
	switch (end) {
	case REQSTATE_END_RAN:
		return TKT_END_RAN;
	case REQSTATE_END_NOT_RUN:
		return TKT_END_NOT_RUN;
	case REQSTATE_END_UNKNOWN:
		break;
	}
	return TKT_END_UNKNOWN;
}

static void release_permit(struct router *router, const struct req *req,
			   const struct reqstate_action *action)
{
	if (!action->unused && req->load_reported)
		permit_agent_report(router->deps.permit, req->permit_id,
				    &req->load_report);
	permit_agent_release(router->deps.permit, req->permit_id,
			     permit_outcome_for(req, action));
}

void router_act(struct router *router, struct req *req,
		const struct reqstate_action *action)
{
	switch (action->kind) {
	case REQSTATE_ACT_ADMIT_KEY:
		admit_key(router, req);
		break;
	case REQSTATE_ACT_ASK_PERMIT:
		if (!ask_permit(router, req))
			defer(router, (struct reqstate_event){
					      .kind = REQSTATE_EV_NO_DOMAIN,
				      });
		break;
	case REQSTATE_ACT_CANCEL_ASK:
		permit_agent_cancel(router->deps.permit,
				    req->number << ROUTER_ASK_BITS |
					    req->reqstate.asks);
		break;
	case REQSTATE_ACT_RELEASE:
		release_permit(router, req, action);
		break;
	case REQSTATE_ACT_END_KEY:
		tkt_agent_end(router->deps.ticket, str_from_c(req->key),
			      key_end_for(action->end));
		break;
	case REQSTATE_ACT_SEND:
		send_attempt(router, req);
		break;
	case REQSTATE_ACT_ABORT_ATTEMPT:
		forwarder_cancel(router->deps.forwarder, req);
		break;
	case REQSTATE_ACT_REFUSE:
		router_refuse(router, req, action->refuse.not_run,
			      reason_for(action->refuse.cause));
		break;
	case REQSTATE_ACT_ABORT_RESPONSE:
		break_answer(req);
		break;
	case REQSTATE_ACT_DONE:
		finish(router, req);
		break;
	}
}
