#include "entryd/callers.h"

#include <fcntl.h>
#include <linux/sockios.h>
#include <linux/tcp.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdlib.h>
#include <sys/ioctl.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/err.h"
#include "common/evt.h"

#define LOG_MODULE "entry.pace"

/* Interval between two checks for the start of a head: one system call each. */
#define HEAD_PROBE_INTERVAL CLK_MS(500)

/* Interval between two checks of lingering connections at the end. */
#define LINGER_INTERVAL CLK_MS(10)

/* Number of connections scanned before the lock is released. */
#define SCAN_SLICE 64

enum state {
	/* A head is awaited. */
	STATE_HEAD,
	STATE_BODY,
	/* Nothing is awaited from the caller. */
	STATE_SERVED,
	/* Answered on the socket; shut down after CALLERS_LINGER. */
	STATE_ANSWERED,
	STATE_SHUT,
	/*
	 * Closed by libmicrohttpd, but the kernel still sends: fd is a copy.
	 * A request that arrives at a closed socket would reset it.
	 */
	STATE_LINGERING,
};

struct callers_conn {
	TAILQ_ENTRY(callers_conn) link;
	int fd;
	enum state state;
	/* Bytes received on the socket when the last request had ended. */
	uint64_t received_before;
	/*
	 * Time of the head's first byte, of the start of the body's window or
	 * of the final answer, by state.
	 */
	apr_time_t since;
	apr_time_t last_byte_at;
	apr_time_t probed_at;
	/* Bytes of the body received in the current window. */
	uint64_t window_bytes;
	struct req *req;
};

struct callers {
	const struct settings *set;
	const struct clk *clk;
	struct router *router;
	struct forwarder *forwarder;
	pthread_mutex_t lock;
	TAILQ_HEAD(, callers_conn) conns;
	atomic_size_t count;
};

int callers_create(struct callers **out, const struct settings *set,
		   const struct clk *clk, struct router *router,
		   struct forwarder *forwarder)
{
	struct callers *callers = calloc(1, sizeof(*callers));

	if (!callers)
		return PST_ERR_NOMEM;
	callers->set = set;
	callers->clk = clk;
	callers->router = router;
	callers->forwarder = forwarder;
	pthread_mutex_init(&callers->lock, NULL);
	TAILQ_INIT(&callers->conns);
	*out = callers;
	return 0;
}

/* Returns the bytes received from the peer so far, or 0 if unknown. */
static uint64_t bytes_received(int fd)
{
	struct tcp_info info = {0};
	socklen_t len = sizeof(info);

	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len))
		return 0;
	return info.tcpi_bytes_received;
}

/* Bytes received from now on belong to the next head. */
static void end_of_request(struct callers_conn *conn)
{
	conn->state = STATE_SERVED;
	conn->received_before = bytes_received(conn->fd);
}

struct callers_conn *callers_open(struct callers *callers, int fd)
{
	struct callers_conn *conn = calloc(1, sizeof(*conn));

	if (!conn)
		return NULL;
	conn->fd = fd;
	conn->state = STATE_HEAD;
	pthread_mutex_lock(&callers->lock);
	TAILQ_INSERT_TAIL(&callers->conns, conn, link);
	callers->count++;
	pthread_mutex_unlock(&callers->lock);
	return conn;
}

/* Whether the peer may still get bytes that were written. */
static bool has_unsent(int fd)
{
	struct pollfd poller = {.fd = fd};
	int count = 0;

	return !ioctl(fd, SIOCOUTQ, &count) && count > 0 &&
	       (poll(&poller, 1, 0) <= 0 ||
		!(poller.revents & (POLLERR | POLLHUP)));
}

/* Called with the lock held. */
static void conn_free(struct callers *callers, struct callers_conn *conn)
{
	TAILQ_REMOVE(&callers->conns, conn, link);
	callers->count--;
	free(conn);
}

/* Keeps the connection after its descriptor is closed; false if it can't. */
static bool begin_linger(struct callers *callers, struct callers_conn *conn)
{
	if (conn->state == STATE_SHUT || !has_unsent(conn->fd))
		return false;
	conn->fd = fcntl(conn->fd, F_DUPFD_CLOEXEC, 0);
	if (conn->fd < 0)
		return false;
	shutdown(conn->fd, SHUT_WR);
	conn->state = STATE_LINGERING;
	conn->since = clk_now(callers->clk);
	return true;
}

void callers_close(struct callers *callers, struct callers_conn *conn)
{
	pthread_mutex_lock(&callers->lock);
	if (!begin_linger(callers, conn))
		conn_free(callers, conn);
	pthread_mutex_unlock(&callers->lock);
}

size_t callers_count(const struct callers *callers)
{
	return callers->count;
}

static bool is_closing(const struct callers_conn *conn)
{
	return conn->state == STATE_ANSWERED || conn->state == STATE_SHUT;
}

void callers_await_head(struct callers *callers, struct callers_conn *conn)
{
	pthread_mutex_lock(&callers->lock);
	conn->req = NULL;
	if (!is_closing(conn)) {
		conn->state = STATE_HEAD;
		conn->since = 0;
	}
	pthread_mutex_unlock(&callers->lock);
}

bool callers_head_done(struct callers *callers, struct callers_conn *conn,
		       struct req *req)
{
	bool in_time;

	pthread_mutex_lock(&callers->lock);
	in_time = !is_closing(conn);
	if (in_time) {
		conn->state = STATE_BODY;
		conn->req = req;
		conn->since = clk_now(callers->clk);
		conn->last_byte_at = conn->since;
		conn->window_bytes = 0;
		if (!req)
			end_of_request(conn);
	}
	pthread_mutex_unlock(&callers->lock);
	return in_time;
}

bool callers_body(struct callers *callers, struct callers_conn *conn,
		  size_t bytes, bool ended)
{
	bool in_time;

	pthread_mutex_lock(&callers->lock);
	in_time = !is_closing(conn);
	if (bytes) {
		conn->window_bytes += bytes;
		conn->last_byte_at = clk_now(callers->clk);
	}
	if (ended && in_time && conn->state == STATE_BODY)
		end_of_request(conn);
	pthread_mutex_unlock(&callers->lock);
	return in_time;
}

/* Called with the lock held. */
static void send_final_answer(struct callers *callers,
			      struct callers_conn *conn,
			      const struct problem *problem)
{
	conn->state = STATE_ANSWERED;
	conn->since = clk_now(callers->clk);
	problem_send(conn->fd, problem);
}

void callers_refuse(struct callers *callers, struct callers_conn *conn,
		    const struct problem *problem)
{
	pthread_mutex_lock(&callers->lock);
	if (!is_closing(conn))
		send_final_answer(callers, conn, problem);
	pthread_mutex_unlock(&callers->lock);
}

static void answer_too_slow(struct callers *callers, struct callers_conn *conn,
			    bool not_run, struct str request_id)
{
	const struct problem problem = {
		.status = MHD_HTTP_REQUEST_TIMEOUT,
		.reason = PST_ERR_REQ_SLOW,
		.not_run = not_run,
		.request_id = request_id,
	};

	send_final_answer(callers, conn, &problem);
}

static void scan_head(struct callers *callers, struct callers_conn *conn,
		      apr_time_t now)
{
	if (!conn->since) {
		if (now - conn->probed_at < HEAD_PROBE_INTERVAL)
			return;
		conn->probed_at = now;
		if (bytes_received(conn->fd) > conn->received_before)
			conn->since = now;
		return;
	}
	if (now - conn->since < CLK_MS(callers->set->entry.head_timeout_ms))
		return;
	evt_log(REQ_INPUT_REFUSED, "cause=%s run=unknown",
		err_name(PST_ERR_REQ_SLOW));
	answer_too_slow(callers, conn, false, (struct str){0});
}

/* Whether the body stalled, or the current window had too few bytes. */
static bool too_slow(const struct callers *callers, struct callers_conn *conn,
		     apr_time_t now)
{
	const struct set_entry *entry = &callers->set->entry;
	const uint64_t min_bytes =
		entry->body_min_bytes_per_s * entry->idle_timeout_ms / 1000;

	if (now - conn->last_byte_at >= CLK_MS(entry->idle_timeout_ms))
		return true;
	if (now - conn->since < CLK_MS(entry->idle_timeout_ms))
		return false;
	if (conn->window_bytes < min_bytes)
		return true;
	conn->since = now;
	conn->window_bytes = 0;
	return false;
}

/*
 * Ends the request, whose body is given up. Called with the request's lock
 * held. Returns whether the request certainly did not run.
 */
static bool abandon_body(struct req *req)
{
	const bool not_run = req->stage == REQ_REFUSED && req->not_run;

	if (req->stage != REQ_REFUSED)
		req->stage = REQ_BROKEN;
	pipe_close(&req->body, true);
	return not_run;
}

static void scan_body(struct callers *callers, struct callers_conn *conn,
		      apr_time_t now)
{
	struct req *req = conn->req;
	bool awaited;
	bool not_run = false;

	pthread_mutex_lock(&req->lock);
	/* While the connection is suspended, the entry is not reading. */
	awaited = !req->suspended && req->stage != REQ_WAITING;
	if (!awaited) {
		conn->since = now;
		conn->last_byte_at = now;
		conn->window_bytes = 0;
	}
	awaited = awaited && too_slow(callers, conn, now);
	if (awaited)
		not_run = abandon_body(req);
	pthread_mutex_unlock(&req->lock);
	if (!awaited)
		return;
	evt_log(REQ_SLOW_BODY, "req=%s run=%s", req->id.ptr,
		not_run ? "no" : "unknown");
	answer_too_slow(callers, conn, not_run, strbuf_str(&req->id));
	forwarder_resume(callers->forwarder, req);
	router_caller_gone(callers->router, req);
}

static void scan_linger(struct callers *callers, struct callers_conn *conn,
			apr_time_t now)
{
	char unwanted[4096];

	while (recv(conn->fd, unwanted, sizeof(unwanted), MSG_DONTWAIT) > 0)
		;
	if (has_unsent(conn->fd) &&
	    now - conn->since < CLK_MS(callers->set->entry.idle_timeout_ms))
		return;
	close(conn->fd);
	conn_free(callers, conn);
}

/* May free conn. */
static void scan_one(struct callers *callers, struct callers_conn *conn,
		     apr_time_t now)
{
	switch (conn->state) {
	case STATE_HEAD:
		scan_head(callers, conn, now);
		break;
	case STATE_BODY:
		scan_body(callers, conn, now);
		break;
	case STATE_ANSWERED:
		if (now - conn->since < CALLERS_LINGER)
			break;
		shutdown(conn->fd, SHUT_RDWR);
		conn->state = STATE_SHUT;
		break;
	case STATE_LINGERING:
		scan_linger(callers, conn, now);
		break;
	case STATE_SERVED:
	case STATE_SHUT:
		break;
	}
}

void callers_scan(struct callers *callers)
{
	const apr_time_t now = clk_now(callers->clk);
	struct callers_conn *conn;
	struct callers_conn *next;

	pthread_mutex_lock(&callers->lock);
	for (conn = TAILQ_FIRST(&callers->conns); conn; conn = next) {
		next = TAILQ_NEXT(conn, link);
		scan_one(callers, conn, now);
	}
	pthread_mutex_unlock(&callers->lock);
}

void callers_destroy(struct callers *callers)
{
	while (callers->count) {
		callers_scan(callers);
		apr_sleep(LINGER_INTERVAL);
	}
	pthread_mutex_destroy(&callers->lock);
	free(callers);
}
