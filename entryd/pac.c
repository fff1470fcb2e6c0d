#include "entryd/pac.h"

#include <linux/tcp.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <sys/queue.h>
#include <sys/socket.h>

#include "common/err.h"
#include "common/evt.h"

#define LOG_MODULE "entry.pace"

/* Between two looks at whether a head has begun; each is a system call. */
#define PROBE CLK_MS(500)

/* Connections that are looked at before others may have the lock. */
#define SCAN_SLICE 64

enum state {
	/* The caller owes a head. */
	STATE_HEAD,
	STATE_BODY,
	/* The caller owes nothing. */
	STATE_SERVED,
	/* Answered here; closed after PAC_LINGER. */
	STATE_ANSWERED,
	STATE_SHUT,
};

struct pac_conn {
	TAILQ_ENTRY(pac_conn) link;
	int fd;
	enum state state;
	/* Bytes received on the socket when the request was read whole. */
	uint64_t received;
	/* First byte of the head, start of the body's window, or answer. */
	apr_time_t since;
	apr_time_t last_byte;
	apr_time_t probed;
	/* Bytes of the body in this window. */
	uint64_t moved;
	struct req *req;
};

struct pac {
	const struct settings *set;
	const struct clk *clk;
	struct rte *rte;
	struct ups *ups;
	pthread_mutex_t lock;
	TAILQ_HEAD(, pac_conn) conns;
	atomic_size_t count;
};

int pac_create(struct pac **out, const struct settings *set,
	       const struct clk *clk, struct rte *rte, struct ups *ups)
{
	struct pac *pac = calloc(1, sizeof(*pac));

	if (!pac)
		return PST_ERR_NOMEM;
	pac->set = set;
	pac->clk = clk;
	pac->rte = rte;
	pac->ups = ups;
	pthread_mutex_init(&pac->lock, NULL);
	TAILQ_INIT(&pac->conns);
	*out = pac;
	return 0;
}

void pac_destroy(struct pac *pac)
{
	pthread_mutex_destroy(&pac->lock);
	free(pac);
}

/* Bytes that the peer has sent so far, or 0 when that is not known. */
static uint64_t received(int fd)
{
	struct tcp_info info = {0};
	socklen_t len = sizeof(info);

	if (getsockopt(fd, IPPROTO_TCP, TCP_INFO, &info, &len))
		return 0;
	return info.tcpi_bytes_received;
}

/* What is received from now on belongs to the next head. */
static void read_whole(struct pac_conn *conn)
{
	conn->state = STATE_SERVED;
	conn->received = received(conn->fd);
}

struct pac_conn *pac_open(struct pac *pac, int fd)
{
	struct pac_conn *conn = calloc(1, sizeof(*conn));

	if (!conn)
		return NULL;
	conn->fd = fd;
	conn->state = STATE_HEAD;
	pthread_mutex_lock(&pac->lock);
	TAILQ_INSERT_TAIL(&pac->conns, conn, link);
	pac->count++;
	pthread_mutex_unlock(&pac->lock);
	return conn;
}

void pac_close(struct pac *pac, struct pac_conn *conn)
{
	pthread_mutex_lock(&pac->lock);
	TAILQ_REMOVE(&pac->conns, conn, link);
	pac->count--;
	pthread_mutex_unlock(&pac->lock);
	free(conn);
}

size_t pac_count(const struct pac *pac)
{
	return pac->count;
}

static bool is_over(const struct pac_conn *conn)
{
	return conn->state == STATE_ANSWERED || conn->state == STATE_SHUT;
}

void pac_await_head(struct pac *pac, struct pac_conn *conn)
{
	pthread_mutex_lock(&pac->lock);
	conn->req = NULL;
	if (!is_over(conn)) {
		conn->state = STATE_HEAD;
		conn->since = 0;
	}
	pthread_mutex_unlock(&pac->lock);
}

bool pac_head_done(struct pac *pac, struct pac_conn *conn, struct req *req)
{
	bool in_time;

	pthread_mutex_lock(&pac->lock);
	in_time = !is_over(conn);
	if (in_time) {
		conn->state = STATE_BODY;
		conn->req = req;
		conn->since = clk_now(pac->clk);
		conn->last_byte = conn->since;
		conn->moved = 0;
		if (!req)
			read_whole(conn);
	}
	pthread_mutex_unlock(&pac->lock);
	return in_time;
}

bool pac_body(struct pac *pac, struct pac_conn *conn, size_t bytes, bool ended)
{
	bool in_time;

	pthread_mutex_lock(&pac->lock);
	in_time = !is_over(conn);
	if (bytes) {
		conn->moved += bytes;
		conn->last_byte = clk_now(pac->clk);
	}
	if (ended && in_time && conn->state == STATE_BODY)
		read_whole(conn);
	pthread_mutex_unlock(&pac->lock);
	return in_time;
}

/* With the lock held. */
static void send_last(struct pac *pac, struct pac_conn *conn,
		      const struct problem *problem)
{
	conn->state = STATE_ANSWERED;
	conn->since = clk_now(pac->clk);
	problem_send(conn->fd, problem);
}

void pac_refuse(struct pac *pac, struct pac_conn *conn,
		const struct problem *problem)
{
	pthread_mutex_lock(&pac->lock);
	if (!is_over(conn))
		send_last(pac, conn, problem);
	pthread_mutex_unlock(&pac->lock);
}

static void answer(struct pac *pac, struct pac_conn *conn, bool not_run,
		   struct str request_id)
{
	const struct problem problem = {
		.status = MHD_HTTP_REQUEST_TIMEOUT,
		.reason = PST_ERR_REQ_SLOW,
		.not_run = not_run,
		.request_id = request_id,
	};

	send_last(pac, conn, &problem);
}

static void scan_head(struct pac *pac, struct pac_conn *conn, apr_time_t now)
{
	if (!conn->since) {
		if (now - conn->probed < PROBE)
			return;
		conn->probed = now;
		if (received(conn->fd) > conn->received)
			conn->since = now;
		return;
	}
	if (now - conn->since < CLK_MS(pac->set->entry.head_timeout_ms))
		return;
	evt_log(REQ_INPUT_REFUSED, "cause=%s run=unknown",
		err_name(PST_ERR_REQ_SLOW));
	answer(pac, conn, false, (struct str){0});
}

/* Whether the bytes of this window were too few. */
static bool too_slow(const struct pac *pac, struct pac_conn *conn,
		     apr_time_t now)
{
	const struct set_entry *entry = &pac->set->entry;
	const uint64_t least =
		entry->body_min_bytes_per_s * entry->idle_timeout_ms / 1000;

	if (now - conn->last_byte >= CLK_MS(entry->idle_timeout_ms))
		return true;
	if (now - conn->since < CLK_MS(entry->idle_timeout_ms))
		return false;
	if (conn->moved < least)
		return true;
	conn->since = now;
	conn->moved = 0;
	return false;
}

/* Ends what waits for the body; with the request's lock held. */
static bool give_up(struct req *req)
{
	const bool not_run = req->stage == REQ_REFUSED && req->not_run;

	if (req->stage != REQ_REFUSED)
		req->stage = REQ_BROKEN;
	pipe_close(&req->body, true);
	return not_run;
}

static void scan_body(struct pac *pac, struct pac_conn *conn, apr_time_t now)
{
	struct req *req = conn->req;
	bool waits;
	bool not_run = false;

	pthread_mutex_lock(&req->lock);
	/* While the connection is suspended, the caller is not waited for. */
	waits = !req->parked && req->stage != REQ_WAITING;
	if (!waits) {
		conn->since = now;
		conn->last_byte = now;
		conn->moved = 0;
	}
	waits = waits && too_slow(pac, conn, now);
	if (waits)
		not_run = give_up(req);
	pthread_mutex_unlock(&req->lock);
	if (!waits)
		return;
	evt_log(REQ_SLOW_BODY, "req=%s run=%s", req->id.ptr,
		not_run ? "no" : "unknown");
	answer(pac, conn, not_run, strbuf_str(&req->id));
	ups_kick(pac->ups, req);
	rte_gone(pac->rte, req);
}

static void scan_one(struct pac *pac, struct pac_conn *conn, apr_time_t now)
{
	switch (conn->state) {
	case STATE_HEAD:
		scan_head(pac, conn, now);
		break;
	case STATE_BODY:
		scan_body(pac, conn, now);
		break;
	case STATE_ANSWERED:
		if (now - conn->since < PAC_LINGER)
			break;
		shutdown(conn->fd, SHUT_RDWR);
		conn->state = STATE_SHUT;
		break;
	case STATE_SERVED:
	case STATE_SHUT:
		break;
	}
}

void pac_scan(struct pac *pac)
{
	const apr_time_t now = clk_now(pac->clk);
	struct pac_conn *conn;

	pthread_mutex_lock(&pac->lock);
	TAILQ_FOREACH(conn, &pac->conns, link)
	scan_one(pac, conn, now);
	pthread_mutex_unlock(&pac->lock);
}
