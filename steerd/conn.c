#include "steerd/conn.h"

#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/err.h"
#include "common/evt.h"
#include "entryd/headcheck.h"
#include "steerd/conn_end.h"
#include "steerd/conn_out.h"
#include "steerd/sock.h"

#define LOG_MODULE "conn"

/* Pipelined requests that may be pending on one connection. */
#define MAX_PENDING 16

/* Most bytes read at a time. */
#define READ_BYTES 16384

/* Time between two checks of a caller that isn't read from, or lingers. */
#define PAUSE_CHECK_S 0.2

/* Longest wait for a caller that has acknowledged all to close its side. */
#define LINGER_US APR_USEC_PER_SEC

static void dispatch(struct srv_conn *conn);
static void advance(struct srv_conn *conn);
static void on_readable(struct srv_conn *conn);

static double seconds(apr_interval_time_t t)
{
	return (double)t / (double)APR_USEC_PER_SEC;
}

static void req_free(struct srv_req *req)
{
	struct srv *srv = req->srv;

	srv->req_count--;
	srv->held -= req->msg.body.cap + req->answer.cap;
	msg_free(&req->msg);
	buf_free(&req->answer);
	free(req);
}

static void account_held(struct srv_req *req, size_t before)
{
	req->srv->held += req->msg.body.cap + req->answer.cap - before;
}

/* Closes, and tells the handler; conn_leave() frees it later. */
static void close_conn(struct srv_conn *conn, enum srv_end end)
{
	struct srv *srv = conn->srv;

	conn->dead = true;
	if (conn->fd >= 0) {
		conn_end_record(conn, end);
		ev_io_stop(srv->loop, &conn->io);
		ev_timer_stop(srv->loop, &conn->timer);
		sockwatch_drop(&srv->watch, &conn->watch);
		close(conn->fd);
		conn->fd = -1;
	}
	conn_end_drop(conn, end, req_free);
	conn_out_free(conn);
}

/* Ends a use of the connection; frees it if it is dead and this is the last. */
static void conn_leave(struct srv_conn *conn)
{
	struct srv *srv = conn->srv;

	conn->users--;
	if (!conn->dead || conn->users)
		return;
	if (conn->reading)
		req_free(conn->reading);
	TAILQ_REMOVE(&srv->conns, conn, link);
	srv->conn_count--;
	buf_free(&conn->in);
	buf_free(&conn->out);
	free(conn);
}

void conn_free(struct srv_conn *conn, enum srv_end end)
{
	conn->users++;
	close_conn(conn, end);
	conn_leave(conn);
}

/*
 * Whether input stays in the socket: it came behind an answer that does not say
 * that what follows counts as not read.
 */
static bool leaves_input(const struct srv_conn *conn)
{
	return conn->read_ended && !conn->said_close &&
	       TAILQ_EMPTY(&conn->reqs);
}

static void set_events(struct srv_conn *conn)
{
	const bool reads = conn->pending < MAX_PENDING && !leaves_input(conn);
	const int events =
		(reads ? EV_READ : 0) | (conn->out.len ? EV_WRITE : 0);

	if (conn->dead || events == conn->events)
		return;
	if ((conn->events & EV_READ) && !(events & EV_READ)) {
		conn->timer.repeat = PAUSE_CHECK_S;
		ev_timer_again(conn->srv->loop, &conn->timer);
	}
	conn->events = events;
	ev_io_stop(conn->srv->loop, &conn->io);
	ev_io_set(&conn->io, conn->fd, events);
	ev_io_start(conn->srv->loop, &conn->io);
}

bool conn_idle(const struct srv_conn *conn)
{
	return !conn->reading && TAILQ_EMPTY(&conn->reqs) && !conn->out.len;
}

/*
 * Ends the output, and waits for the caller to end its side (RFC 9112, 9.6):
 * closing at once can reset the connection and lose an answer on its way.
 */
static void end_sending(struct srv_conn *conn, enum srv_end end)
{
	if (conn->lingering)
		return;
	conn->lingering = true;
	conn->linger_end = end;
	conn->linger_until = clk_now(conn->srv->clk) + LINGER_US;
	shutdown(conn->fd, SHUT_WR);
	conn->timer.repeat = PAUSE_CHECK_S;
	ev_timer_again(conn->srv->loop, &conn->timer);
}

/* Ends an idle connection; what has arrived on it by now is still served. */
static void end_idle(struct srv_conn *conn, enum srv_end end)
{
	if (conn->lingering)
		return;
	on_readable(conn);
	if (conn->dead || !conn_idle(conn))
		return;
	conn->read_ended = true;
	end_sending(conn, end);
	set_events(conn);
}

struct srv_conn *conn_drain(struct srv_conn *conn)
{
	struct srv_conn *next;

	if (conn->draining)
		return TAILQ_NEXT(conn, link);
	conn->users++;
	if (conn_idle(conn))
		end_idle(conn, SRV_END_STOP_IDLE);
	conn->draining = true;
	if (!conn->reading)
		conn->read_ended = true;
	if (!conn->dead)
		set_events(conn);
	next = TAILQ_NEXT(conn, link);
	conn_leave(conn);
	return next;
}

static void flush(struct srv_conn *conn)
{
	while (conn->out.len) {
		const int n = sock_write(conn->fd, buf_str(&conn->out));

		if (n == PST_ERR_AGAIN)
			break;
		if (n < 0) {
			close_conn(conn, SRV_END_CALLER_RESET);
			return;
		}
		sockwatch_written(&conn->srv->watch, conn->srv->loop,
				  &conn->watch, conn->fd);
		conn_out_written(conn, (size_t)n);
		conn->last_byte_at = clk_now(conn->srv->clk);
	}
	conn_out_account(conn);
	if (!conn->out.len && conn->read_ended && TAILQ_EMPTY(&conn->reqs))
		end_sending(conn, conn->caller_closes ? SRV_END_ANSWERED
						      : SRV_END_LINGER_PEER);
	if (!conn->dead)
		set_events(conn);
}

/* Sends the answers that are next in order. */
static void send_ready(struct srv_conn *conn)
{
	struct srv_req *req;

	while ((req = TAILQ_FIRST(&conn->reqs)) && req->answered) {
		const bool last = req->close;
		const bool asked = !msg_keep_alive(&req->msg);

		const size_t bytes = req->answer.len;

		if (conn_out_add(conn, req)) {
			close_conn(conn, SRV_END_NO_MEMORY);
			return;
		}
		conn_end_track(conn, req, bytes);
		TAILQ_REMOVE(&conn->reqs, req, link);
		conn->pending--;
		req_free(req);
		if (!last)
			continue;
		conn->read_ended = true;
		conn->said_close = true;
		conn->caller_closes = asked;
		/* Requests after the last answer count as not read. */
		conn_end_drop(conn, SRV_END_BEHIND_LAST, req_free);
	}
	flush(conn);
}

/* Whether the connection closes after this request's answer. */
static bool is_last(const struct srv_req *req)
{
	return req->close || !msg_keep_alive(&req->msg);
}

/* Whether the request after this one was passed to the handler. */
static bool next_is_running(const struct srv_req *req)
{
	const struct srv_req *next = TAILQ_NEXT(req, link);

	return next && next->dispatched;
}

void srv_answer(struct srv_req *req, unsigned status, struct str reason,
		struct str fields, struct str body)
{
	struct srv_conn *conn = req->conn;
	const size_t before = req->msg.body.cap + req->answer.cap;

	if (is_last(req) || (conn->srv->stopping && !next_is_running(req)))
		req->close = true;
	conn_out_write(req, status, reason, fields, body);
	account_held(req, before);
	req->answered = true;
	conn_out_account(conn);
	conn_out_enforce(conn);
	if (conn->users)
		return;
	conn->users++;
	send_ready(conn);
	if (!conn->dead)
		dispatch(conn);
	advance(conn);
	if (!conn->dead)
		set_events(conn);
	conn_leave(conn);
}

static bool is_repeatable(const struct srv_req *req)
{
	return req->msg.parser.method == HTTP_GET ||
	       req->msg.parser.method == HTTP_HEAD;
}

/* Passes the complete requests that may run now to the handler. */
static void dispatch(struct srv_conn *conn)
{
	struct srv_req *req;
	struct srv_req *next;

	for (req = TAILQ_FIRST(&conn->reqs); req && !conn->dead; req = next) {
		const bool first = req == TAILQ_FIRST(&conn->reqs);

		next = TAILQ_NEXT(req, link);
		if (!req->dispatched && !first && !is_repeatable(req))
			break;
		if (!req->dispatched) {
			req->dispatched = true;
			conn->srv->ops->request(conn->srv->ctx, req);
		}
		if (conn->dead || is_last(req))
			break;
	}
	if (conn->dead)
		return;
	req = TAILQ_FIRST(&conn->reqs);
	if (req && req->answered) {
		send_ready(conn);
		if (!conn->dead)
			dispatch(conn);
	}
}

/* Answers input that is not a valid request, and reads no further. */
static void refuse_input(struct srv_conn *conn, unsigned status,
			 struct str reason)
{
	struct srv_req *req = conn->reading;

	evt_log(SRV_INPUT_REFUSED, "status=%u bytes=%zu", status, conn->in.len);
	conn->reading = NULL;
	conn->read_ended = true;
	buf_reset(&conn->in);
	if (!req)
		return;
	TAILQ_INSERT_TAIL(&conn->reqs, req, link);
	conn->pending++;
	req->dispatched = true;
	req->close = true;
	srv_answer(req, status, reason, STR_LIT(""), STR_LIT(""));
}

static struct srv_req *new_req(struct srv_conn *conn)
{
	struct srv_req *req = calloc(1, sizeof(*req));

	if (!req)
		return NULL;
	req->conn = conn;
	req->srv = conn->srv;
	req->first_byte_at = clk_now(conn->srv->clk);
	conn->srv->req_count++;
	conn->head_ok = false;
	msg_init(&req->msg, HTTP_REQUEST, conn->srv->limits.max_header,
		 conn->srv->limits.max_body);
	return req;
}

/* Returns whether the head is complete and valid; refuses an invalid one. */
static bool check_head(struct srv_conn *conn)
{
	struct headcheck headcheck;
	int err;

	if (conn->head_ok)
		return true;
	err = headcheck_head(&headcheck, buf_str(&conn->in),
			     conn->srv->limits.max_header);
	if (err == HEADCHECK_INCOMPLETE)
		return false;
	conn->head_ok = !err;
	if (err == PST_ERR_REQ_HEAD_TOO_LARGE)
		refuse_input(conn, 431,
			     STR_LIT("Request Header Fields Too Large"));
	else if (err == PST_ERR_REQ_TOO_LARGE)
		refuse_input(conn, 413, STR_LIT("Content Too Large"));
	else if (err)
		refuse_input(conn, 400, STR_LIT("Bad Request"));
	return conn->head_ok;
}

static void send_continue(struct srv_conn *conn, const struct srv_req *req)
{
	const struct str expect = msg_header(&req->msg, STR_LIT("Expect"));

	if (req->msg.body.len || !TAILQ_EMPTY(&conn->reqs) ||
	    !str_eq_nocase(expect, STR_LIT("100-continue")))
		return;
	if (!buf_add(&conn->out, STR_LIT("HTTP/1.1 100 Continue\r\n\r\n")))
		flush(conn);
}

/* Parses requests from the input buffer. */
static void parse(struct srv_conn *conn)
{
	while (conn->in.len && !conn->read_ended && !conn->dead &&
	       conn->pending < MAX_PENDING) {
		struct srv_req *req = conn->reading;
		enum msg_state state;
		size_t before;
		size_t used;

		if (!req) {
			req = conn->reading = new_req(conn);
			if (!req) {
				close_conn(conn, SRV_END_NO_MEMORY);
				return;
			}
		}
		if (!check_head(conn))
			return;
		before = req->msg.body.cap;
		state = msg_parse(&req->msg, buf_str(&conn->in), &used);
		account_held(req, before);
		buf_consume(&conn->in, used);
		switch (state) {
		case MSG_INCOMPLETE:
			if (conn->srv->held > conn->srv->max_held)
				refuse_input(conn, 503,
					     STR_LIT("Service Unavailable"));
			else
				send_continue(conn, req);
			return;
		case MSG_COMPLETE:
			req->read_at = clk_now(conn->srv->clk);
			conn->reading = NULL;
			conn->read_ended = conn->draining;
			conn->pending++;
			TAILQ_INSERT_TAIL(&conn->reqs, req, link);
			break;
		case MSG_HEAD_TOO_LARGE:
			refuse_input(conn, 431,
				     STR_LIT("Request Header Fields Too "
					     "Large"));
			return;
		case MSG_BODY_TOO_LARGE:
			refuse_input(conn, 413, STR_LIT("Content Too Large"));
			return;
		case MSG_INVALID:
			refuse_input(conn, 400, STR_LIT("Bad Request"));
			return;
		}
	}
}

/*
 * Takes requests from the input and passes them on, for as long as there is
 * room: the rest was read when too many were pending.
 */
static void advance(struct srv_conn *conn)
{
	size_t before;

	do {
		before = buf_str(&conn->in).len;
		if (!conn->dead)
			parse(conn);
		if (!conn->dead)
			dispatch(conn);
		if (!conn->dead)
			send_ready(conn);
	} while (!conn->dead && !conn->read_ended && conn->in.len &&
		 buf_str(&conn->in).len != before);
}

/* Why a connection ends when a read returned n, which is 0 or an error. */
static enum srv_end read_end(const struct srv_conn *conn, int n)
{
	if (n == PST_ERR_NOMEM)
		return SRV_END_NO_MEMORY;
	if (n < 0)
		return SRV_END_CALLER_RESET;
	return conn->lingering ? conn->linger_end : SRV_END_CALLER_CLOSED;
}

static void on_readable(struct srv_conn *conn)
{
	const int n = sock_read(conn->fd, &conn->in, READ_BYTES);

	if (n == PST_ERR_AGAIN)
		return;
	if (n <= 0) {
		close_conn(conn, read_end(conn, n));
		return;
	}
	conn->last_byte_at = clk_now(conn->srv->clk);
	if (conn->read_ended) {
		buf_reset(&conn->in);
		return;
	}
	advance(conn);
}

static void on_conn(struct ev_loop *loop, struct ev_io *io, int events)
{
	struct srv_conn *conn = io->data;

	(void)loop;
	conn->users++;
	if (events & EV_WRITE)
		flush(conn);
	if ((events & EV_READ) && !conn->dead)
		on_readable(conn);
	if (!conn->dead)
		set_events(conn);
	conn_leave(conn);
}

/* When the connection times out unless something is read or sent. */
static apr_time_t times_out_at(const struct srv_conn *conn)
{
	const struct routing_limits *limits = &conn->srv->limits;

	if (conn->reading && !conn->head_ok)
		return conn->reading->first_byte_at + limits->header_timeout;
	return conn->last_byte_at + limits->idle_timeout;
}

static void check_linger(struct srv_conn *conn, apr_time_t now)
{
	/* Callers that read slowly get the rest of their answer. */
	if (conn_out_is_taken(conn))
		conn->last_byte_at = now;
	if (conn->unsent) {
		conn->linger_until = now + LINGER_US;
		if (now >= conn->last_byte_at + conn->srv->limits.idle_timeout)
			conn_free(conn, SRV_END_LINGER_TIME);
	} else if (sock_peer_closed(conn->fd)) {
		conn_free(conn, conn->linger_end);
	} else if (now >= conn->linger_until) {
		conn_free(conn, conn->linger_end == SRV_END_LINGER_PEER
					? SRV_END_LINGER_TIME
					: conn->linger_end);
	}
}

static void on_timer(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct srv_conn *conn = timer->data;
	const apr_time_t now = clk_now(conn->srv->clk);
	apr_time_t at = times_out_at(conn);

	(void)events;
	if (conn->lingering) {
		check_linger(conn, now);
		return;
	}
	if (!(conn->events & EV_READ) && sock_peer_closed(conn->fd)) {
		conn_free(conn, SRV_END_CALLER_CLOSED);
		return;
	}
	if (!conn->reading && !TAILQ_EMPTY(&conn->reqs)) {
		timer->repeat =
			conn->events & EV_READ
				? seconds(conn->srv->limits.idle_timeout)
				: PAUSE_CHECK_S;
		ev_timer_again(loop, timer);
		return;
	}
	if (now >= at && !conn->reading && conn_out_is_taken(conn)) {
		conn->last_byte_at = now;
		at = times_out_at(conn);
	}
	if (now < at) {
		timer->repeat = seconds(at - now) + 0.001;
		ev_timer_again(loop, timer);
		return;
	}
	conn->users++;
	if (conn->reading) {
		refuse_input(conn, 408, STR_LIT("Request Timeout"));
		send_ready(conn);
	} else if (conn_idle(conn)) {
		end_idle(conn, SRV_END_IDLE_TIMEOUT);
	} else {
		close_conn(conn, SRV_END_IDLE_TIMEOUT);
	}
	conn_leave(conn);
}

void conn_new(struct srv *srv, int fd)
{
	struct srv_conn *conn = calloc(1, sizeof(*conn));

	if (!conn) {
		close(fd);
		return;
	}
	conn->srv = srv;
	conn->fd = fd;
	conn->last_byte_at = clk_now(srv->clk);
	TAILQ_INIT(&conn->reqs);
	TAILQ_INSERT_TAIL(&srv->conns, conn, link);
	srv->conn_count++;
	conn->events = EV_READ;
	ev_io_init(&conn->io, on_conn, fd, EV_READ);
	conn->io.data = conn;
	ev_io_start(srv->loop, &conn->io);
	ev_timer_init(&conn->timer, on_timer, 0,
		      seconds(srv->limits.header_timeout));
	conn->timer.data = conn;
	ev_timer_again(srv->loop, &conn->timer);
	on_conn(srv->loop, &conn->io, EV_READ);
}
