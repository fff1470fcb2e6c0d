#include "steerd/stoplog.h"

#include <stdio.h>

#include "common/evt.h"
#include "platform/plt_headers.h"
#include "steerd/conn.h"
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

void stoplog_drain(const struct srv *srv)
{
	const struct srv_conn *conn;
	unsigned idle = 0;
	unsigned busy = 0;
	unsigned reading = 0;
	unsigned lingering = 0;

	TAILQ_FOREACH(conn, &srv->conns, link)
	{
		if (conn->lingering)
			lingering++;
		else if (conn_idle(conn))
			idle++;
		else if (!TAILQ_EMPTY(&conn->reqs))
			busy++;
		else if (conn->reading)
			reading++;
	}
	evt_log(PROCESS_DRAIN,
		"program=pst-steerd connections=%u idle=%u with_requests=%u "
		"reading=%u lingering=%u requests=%u",
		srv->conn_count, idle, busy, reading, lingering,
		srv->req_count);
}

void stoplog_exit(const struct st *st)
{
	const struct srv_ends *ends = &st->front.ends;
	const unsigned *conns = ends->conns;

	evt_log(PROCESS_EXIT,
		"program=pst-steerd requests=%u drain_ms=%lld idle=%u "
		"last_answer=%u linger_peer=%u linger_time=%u callers=%u "
		"others=%u cut=%u cut_reading=%u unanswered_passed_on=%u "
		"unanswered_not_passed_on=%u unsent_bytes=%zu",
		st->front.req_count,
		(long long)(clk_now(st->clk) - st->stopping_since) / 1000,
		conns[SRV_END_STOP_IDLE], conns[SRV_END_ANSWERED],
		conns[SRV_END_LINGER_PEER], conns[SRV_END_LINGER_TIME],
		conns[SRV_END_CALLER_CLOSED] + conns[SRV_END_CALLER_RESET],
		conns[SRV_END_IDLE_TIMEOUT] + conns[SRV_END_NO_ROOM] +
			conns[SRV_END_NO_MEMORY],
		conns[SRV_END_STOP_CUT], ends->reading, ends->passed_on,
		ends->not_passed_on, ends->unsent);
}
