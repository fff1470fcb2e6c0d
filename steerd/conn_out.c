#include "steerd/conn_out.h"

#include "common/evt.h"
#include "steerd/sock.h"

#define LOG_MODULE "conn"

void conn_out_account(struct srv_conn *conn)
{
	struct outquota *quota = &conn->srv->outquota;
	size_t bytes = conn->out.cap;
	struct srv_req *req;

	TAILQ_FOREACH(req, &conn->reqs, link)
	{
		if (req->answered)
			bytes += req->answer.cap;
	}
	quota->used += bytes - conn->out_held;
	conn->out_held = bytes;
}

void conn_out_write(struct srv_req *req, unsigned status, struct str reason,
		    struct str fields, struct str body)
{
	const bool head = req->msg.parser.method == HTTP_HEAD;
	int err;

	err = buf_addf(&req->answer, "HTTP/1.1 %u %.*s\r\n", status,
		       STR_ARG(reason));
	if (!err)
		err = buf_add(&req->answer, fields);
	if (!err && status != 204 && status != 304)
		err = buf_addf(&req->answer, "Content-Length: %zu\r\n",
			       body.len);
	if (!err)
		err = buf_add(&req->answer, req->close
						    ? STR_LIT("Connection: "
							      "close\r\n\r\n")
						    : STR_LIT("\r\n"));
	if (!err && !head)
		err = buf_add(&req->answer, body);
	if (err) {
		/* Closes without an answer instead of sending part of it. */
		evt_log(SRV_NO_MEMORY, "bytes=%zu req=%s", body.len,
			req->id.ptr);
		buf_reset(&req->answer);
		req->close = true;
	}
}

int conn_out_add(struct srv_conn *conn, struct srv_req *req)
{
	if (conn->out.len)
		return buf_add(&conn->out, buf_str(&req->answer));
	conn->taken_at = clk_now(conn->srv->clk);
	buf_free(&conn->out);
	conn->srv->held -= req->answer.cap;
	conn->out = req->answer;
	req->answer = (struct buf){0};
	return 0;
}

void conn_out_written(struct srv_conn *conn, size_t count)
{
	buf_consume(&conn->out, count);
	conn->written += count;
	conn->unsent = 0;
	conn->taken_at = clk_now(conn->srv->clk);
	if (!conn->out.len)
		buf_free(&conn->out);
}

void conn_out_free(struct srv_conn *conn)
{
	buf_free(&conn->out);
	conn_out_account(conn);
}

bool conn_out_is_taken(struct srv_conn *conn)
{
	const size_t unsent = sock_unsent(conn->fd);
	/* More than at the last look: the end of the output counts as a byte.
	 */
	const bool taken = unsent && (!conn->unsent || unsent < conn->unsent);

	conn->unsent = unsent;
	return taken;
}

static struct outquota_conn as_item(struct srv_conn *conn, apr_time_t now)
{
	const size_t unsent = conn->out.len ? sock_unsent(conn->fd) : 0;

	/* The kernel may send for long before there is room for a write. */
	if (unsent != conn->unsent_seen) {
		conn->unsent_seen = unsent;
		conn->taken_at = now;
	}
	return (struct outquota_conn){
		.bytes = conn->out_held,
		.stalled = conn->out.len ? now - conn->taken_at : 0,
	};
}

/* Closes a connection other than the given one; returns whether it did. */
static bool evict_one(struct srv *srv, const struct srv_conn *kept)
{
	const apr_time_t now = clk_now(srv->clk);
	struct srv_conn *victim = NULL;
	struct outquota_conn chosen;
	struct srv_conn *conn;

	TAILQ_FOREACH(conn, &srv->conns, link)
	{
		struct outquota_conn item;

		if (conn == kept || conn->dead)
			continue;
		item = as_item(conn, now);
		if (!outquota_evicts(&srv->outquota, &item,
				     victim ? &chosen : NULL))
			continue;
		victim = conn;
		chosen = item;
	}
	if (!victim)
		return false;
	evt_log(CONN_EVICTED, "bytes=%zu stalled_ms=%lld sum=%zu", chosen.bytes,
		(long long)chosen.stalled / 1000, srv->outquota.used);
	conn_free(victim, SRV_END_NOT_READ);
	return true;
}

void conn_out_enforce(struct srv_conn *conn)
{
	while (outquota_is_exhausted(&conn->srv->outquota)) {
		if (!evict_one(conn->srv, conn))
			return;
	}
}

bool srv_admits(struct srv_req *req, size_t expected)
{
	while (!outquota_admits(&req->srv->outquota, expected)) {
		if (!evict_one(req->srv, req->conn))
			return false;
	}
	return true;
}
