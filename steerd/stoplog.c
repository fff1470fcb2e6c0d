#include "steerd/stoplog.h"

#include <stdio.h>

#include "common/evt.h"
#include "platform/plt_headers.h"
#include "steerd/reqstats.h"

#define LOG_MODULE "stop"

void stoplog_set_id(struct srv_req *req, struct str id)
{
	if (id.len > STR_ID_MAX)
		id.len = STR_ID_MAX;
	(void)strbuf_set(&req->id, id);
}

/* A request that was not passed on has no id yet. */
static void read_id(struct srv_req *req)
{
	struct request_meta marks = {0};

	for (unsigned i = 0; i < req->msg.field_count; i++)
		plt_request_header(msg_name(&req->msg, i),
				   msg_value(&req->msg, i), &marks);
	stoplog_set_id(req, marks.id);
}

/* Milliseconds from the order to stop; "-" without one. */
static void since_stop(const struct st *st, apr_time_t at, char *out,
		       size_t size)
{
	if (st->stopping)
		snprintf(out, size, "%lld",
			 (long long)(at - st->stopping_since) / 1000);
	else
		snprintf(out, size, "-");
}

void stoplog_request_cut(const struct st *st, struct srv_req *req,
			 enum srv_end end)
{
	const apr_time_t now = clk_now(st->clk);
	const bool left =
		end == SRV_END_CALLER_CLOSED || end == SRV_END_CALLER_RESET;
	char read_at[24];
	char cut_at[24];

	reqstats_record_cut(end, req->dispatched);
	if (left && !st->stopping)
		return;
	if (!req->dispatched)
		read_id(req);
	since_stop(st, req->read_at, read_at, sizeof(read_at));
	since_stop(st, now, cut_at, sizeof(cut_at));
	evt_log(REQUEST_CUT,
		"req=%s why=%s passed_on=%d read_ms=%s cut_ms=%s ran_ms=%lld",
		req->id.ptr, srv_end_name(end), req->dispatched, read_at,
		cut_at, (long long)(now - req->read_at) / 1000);
}
