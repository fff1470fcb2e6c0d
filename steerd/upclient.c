#include "steerd/upclient.h"

#include <stdlib.h>
#include <sys/queue.h>
#include <unistd.h>

#include "common/ctr.h"
#include "common/err.h"
#include "common/evt.h"
#include "platform/plt_headers.h"
#include "steerd/sock.h"

#define LOG_MODULE "out"

/* Most bytes read from a socket at once. */
#define READ_CHUNK_BYTES 32768

/*
 * Connecting may take this long plus two round trips. A lost first packet
 * would be sent again only after a second.
 */
#define CONNECT_TIMEOUT_US 400000

/* Idle time-out of a connection when the upstream states none. */
#define DEFAULT_IDLE_US 4000000

/* Ratio of the stated idle time-out used, since both ends measure it. */
#define IDLE_USED_RATIO 0.6

/* Longest idle time of a connection for requests not safe to repeat. */
#define UNSAFE_MAX_IDLE_US 1500000

/* Lower bound of the limit learned from connections found closed. */
#define MIN_IDLE_LIMIT_US 200000

/* Late answers to earlier requests that are skipped on one connection. */
#define MAX_SKIPPED 4

enum conn_state {
	CONN_CONNECTING,
	CONN_IDLE,
	CONN_BUSY,
};

struct upclient_conn {
	struct ev_io io;
	struct ev_timer timer;
	struct upclient *upclient;
	struct upclient_pool *pool;
	int fd;
	struct sockwatch_item watch;
	int events;
	enum conn_state state;
	struct upclient_call *call;
	struct msg answer;
	struct buf in;
	/* Bytes of the request's head and body written. */
	size_t sent;
	/* It carried an earlier request. */
	bool reused;
	/* A late answer was skipped, so it is closed after this request. */
	bool not_reusable;
	/* A write found it broken before its stream had ended. */
	bool reset;
	/* Late answers skipped during this request. */
	unsigned skipped;
	/*
	 * When connecting started, or when it became idle. While a reused
	 * connection is busy: how long it was idle before.
	 */
	apr_time_t since;
	apr_interval_time_t max_idle;
	/* What answer holds. */
	struct memquota_item memory;
	/* In pool->idle, or in upclient->active with an attempt. */
	TAILQ_ENTRY(upclient_conn) link;
};

/* The connections to one upstream; up->pool. */
struct upclient_pool {
	struct up *up;
	unsigned count;
	/* Longest idle time after which a connection is still reused. */
	apr_interval_time_t idle_limit;
	TAILQ_HEAD(, upclient_conn) idle;
};

static struct upclient_pool *pool_of(struct up *up)
{
	struct upclient_pool *pool = up->pool;

	if (pool)
		return pool;
	pool = calloc(1, sizeof(*pool));
	if (!pool)
		return NULL;
	pool->up = up;
	pool->idle_limit = INT64_MAX;
	TAILQ_INIT(&pool->idle);
	ref_get(&up->ref);
	up->pool = pool;
	return pool;
}

/* Frees the pool of an upstream that is gone, after its last connection. */
static void pool_free_if_unused(struct upclient_pool *pool)
{
	struct up *up = pool->up;

	if (pool->count || up->state != UP_GONE)
		return;
	up->pool = NULL;
	free(pool);
	ref_put(&up->ref);
}

static void conn_close(struct upclient_conn *conn)
{
	struct upclient_pool *pool = conn->pool;

	ev_io_stop(conn->upclient->loop, &conn->io);
	ev_timer_stop(conn->upclient->loop, &conn->timer);
	sockwatch_drop(&conn->upclient->watch, &conn->watch);
	close(conn->fd);
	if (conn->state == CONN_IDLE)
		TAILQ_REMOVE(&pool->idle, conn, link);
	else
		TAILQ_REMOVE(&conn->upclient->active, conn, link);
	memquota_set(&conn->upclient->quota, &conn->memory, 0, false);
	conn->upclient->count--;
	pool->count--;
	msg_free(&conn->answer);
	buf_free(&conn->in);
	free(conn);
	pool_free_if_unused(pool);
}

static void set_events(struct upclient_conn *conn, int events)
{
	if (conn->events == events)
		return;
	conn->events = events;
	ev_io_stop(conn->upclient->loop, &conn->io);
	ev_io_set(&conn->io, conn->fd, events);
	ev_io_start(conn->upclient->loop, &conn->io);
}

/* Closes the connection, and ends the attempt on it, if any. */
static void conn_fail(struct upclient_conn *conn, enum upclient_result result)
{
	struct upclient_call *call = conn->call;

	conn->call = NULL;
	conn_close(conn);
	if (!call)
		return;
	call->conn = NULL;
	call->answer = NULL;
	call->ended(call, result);
}

/* The result of an attempt whose connection broke. */
static enum upclient_result result_of_break(const struct upclient_conn *conn)
{
	if (!conn->sent)
		return UPCLIENT_UNSENT;
	return conn->reused && !conn->answer.begun && !conn->skipped
		       ? UPCLIENT_STALE
		       : UPCLIENT_BROKEN;
}

/*
 * A reused connection was found closed after this idle time: the limit becomes
 * half of it.
 */
static void shorten_idle_limit(struct upclient_conn *conn,
			       apr_interval_time_t age)
{
	struct upclient_pool *pool = conn->pool;

	if (age / 2 < pool->idle_limit)
		pool->idle_limit = age / 2 > MIN_IDLE_LIMIT_US
					   ? age / 2
					   : MIN_IDLE_LIMIT_US;
}

static void on_broken(struct upclient_conn *conn)
{
	const enum upclient_result result = result_of_break(conn);

	if (result == UPCLIENT_STALE)
		shorten_idle_limit(conn, conn->since);
	conn_fail(conn, result);
}

/* The idle time-out to use, from the Keep-Alive header if there is one. */
static apr_interval_time_t stated_idle_limit(const struct msg *answer)
{
	uint64_t s;

	if (!msg_idle_timeout(answer, &s) || s >= UINT32_MAX)
		return DEFAULT_IDLE_US;
	return (apr_interval_time_t)((double)s * IDLE_USED_RATIO *
				     APR_USEC_PER_SEC);
}

static void read_marks(const struct upclient_conn *conn)
{
	const struct msg *answer = &conn->answer;
	struct answer_meta *marks = &conn->call->marks;

	*marks = (struct answer_meta){.cold_for = -1};
	for (unsigned i = 0; i < answer->field_count; i++)
		plt_answer_header(msg_name(answer, i), msg_value(answer, i),
				  marks);
	marks->matched = !conn->reused ||
			 (marks->id.len && str_eq(marks->id, conn->call->id));
}

static void make_idle(struct upclient_conn *conn, const struct msg *answer)
{
	struct upclient_pool *pool = conn->pool;

	TAILQ_REMOVE(&conn->upclient->active, conn, link);
	memquota_set(&conn->upclient->quota, &conn->memory, 0, false);
	conn->state = CONN_IDLE;
	conn->call = NULL;
	conn->max_idle = stated_idle_limit(answer);
	if (pool->idle_limit < conn->max_idle)
		conn->max_idle = pool->idle_limit;
	conn->since = clk_now(conn->upclient->clk);
	TAILQ_INSERT_HEAD(&pool->idle, conn, link);
	conn->timer.repeat = (double)conn->max_idle / (double)APR_USEC_PER_SEC;
	ev_timer_again(conn->upclient->loop, &conn->timer);
	set_events(conn, EV_READ);
}

/* Whether the answer belongs to another request than the current one. */
static bool is_for_other_request(const struct upclient_call *call)
{
	return call->marks.id.len && !str_eq(call->marks.id, call->id);
}

static void init_answer(struct upclient_conn *conn)
{
	msg_init(&conn->answer, HTTP_RESPONSE, conn->upclient->max_head,
		 conn->upclient->max_body);
	conn->answer.bodyless = conn->call->bodyless;
}

static void on_answer_complete(struct upclient_conn *conn)
{
	struct upclient_call *call = conn->call;
	const bool sent_all = conn->sent == call->head.len + call->body.len;
	const bool keep = sent_all && !conn->not_reusable && !conn->in.len &&
			  msg_keep_alive(&conn->answer) &&
			  conn->pool->up->state == UP_READY;
	struct msg answer = conn->answer;

	/* ended() may reuse the connection: move the answer out of it. */
	answer.parser.data = NULL;
	conn->answer = (struct msg){0};
	call->answer = &answer;
	call->conn = NULL;
	if (keep) {
		make_idle(conn, &answer);
	} else {
		conn->call = NULL;
		conn_close(conn);
	}
	call->ended(call, UPCLIENT_ANSWERED);
	msg_free(&answer);
}

/* Ends attempts until the answers that are being read fit their quota. */
static void enforce_quota(struct upclient *upclient)
{
	while (memquota_is_exceeded(&upclient->quota)) {
		struct upclient_conn *victim = NULL;
		struct upclient_conn *conn;

		TAILQ_FOREACH(conn, &upclient->active, link)
		{
			if (conn->memory.bytes &&
			    memquota_evicts(&upclient->quota, &conn->memory,
					    victim ? &victim->memory : NULL))
				victim = conn;
		}
		if (!victim)
			return;
		evt_log(ANSWER_EVICTED,
			"req=%.*s upstream=%s bytes=%zu stated=%d sum=%zu",
			STR_ARG(victim->call->id), victim->pool->up->id.ptr,
			victim->memory.bytes, victim->memory.sized,
			upclient->quota.used);
		conn_fail(victim, UPCLIENT_BROKEN);
	}
}

/* Accounts for the answer being read; may close this connection. */
static void account_answer(struct upclient_conn *conn)
{
	struct upclient *upclient = conn->upclient;

	memquota_set(&upclient->quota, &conn->memory,
		     conn->answer.text.cap + conn->answer.body.cap,
		     msg_states_length(&conn->answer));
	enforce_quota(upclient);
}

/* Parses the bytes read; skips late answers to earlier requests. */
static void parse_answers(struct upclient_conn *conn)
{
	while (conn->in.len) {
		size_t used;
		const enum msg_state state =
			msg_parse(&conn->answer, buf_str(&conn->in), &used);

		buf_consume(&conn->in, used);
		if (state == MSG_INCOMPLETE) {
			account_answer(conn);
			return;
		}
		if (state != MSG_COMPLETE) {
			conn_fail(conn, UPCLIENT_BROKEN);
			return;
		}
		read_marks(conn);
		if (!is_for_other_request(conn->call)) {
			on_answer_complete(conn);
			return;
		}
		conn->not_reusable = true;
		if (++conn->skipped > MAX_SKIPPED) {
			conn_fail(conn, UPCLIENT_BROKEN);
			return;
		}
		init_answer(conn);
	}
}

/* The upstream closed its end: some answers are complete only then. */
static void on_eof(struct upclient_conn *conn)
{
	const bool whole =
		!conn->reset && msg_eof(&conn->answer) == MSG_COMPLETE;

	if (whole)
		read_marks(conn);
	if (whole && !is_for_other_request(conn->call))
		on_answer_complete(conn);
	else
		on_broken(conn);
}

static void on_readable(struct upclient_conn *conn)
{
	const int n = sock_read(conn->fd, &conn->in, READ_CHUNK_BYTES);

	if (n == PST_ERR_AGAIN)
		return;
	if (conn->state == CONN_IDLE) {
		/* It was closed, or sent bytes that belong to no request. */
		conn_close(conn);
		return;
	}
	if (n > 0)
		parse_answers(conn);
	else if (n == 0)
		on_eof(conn);
	else
		on_broken(conn);
}

/* Writes as much of the rest of the request as the socket takes. */
static void write_request(struct upclient_conn *conn)
{
	const struct upclient_call *call = conn->call;
	struct str head = call->head;
	struct str body = call->body;
	size_t skip = conn->sent;
	int n;

	if (skip < head.len) {
		head.ptr += skip;
		head.len -= skip;
		n = body.len ? sock_write_two(conn->fd, head, body)
			     : sock_write(conn->fd, head);
	} else {
		skip -= head.len;
		body.ptr += skip;
		body.len -= skip;
		n = sock_write(conn->fd, body);
	}
	if (n < 0 && n != PST_ERR_AGAIN) {
		/* An answer may have arrived before the connection broke. */
		conn->reset = n != PST_ERR_CLOSED;
		set_events(conn, EV_READ);
		if (!conn->sent)
			on_broken(conn);
		return;
	}
	if (n > 0) {
		conn->sent += (size_t)n;
		sockwatch_written(&conn->upclient->watch, conn->upclient->loop,
				  &conn->watch, conn->fd);
	}
	set_events(conn, conn->sent < call->head.len + call->body.len
				 ? EV_READ | EV_WRITE
				 : EV_READ);
}

static void on_connected(struct upclient_conn *conn)
{
	struct upclient *upclient = conn->upclient;
	const int region = conn->pool->up->region;
	const apr_interval_time_t elapsed =
		clk_now(upclient->clk) - conn->since;

	if (sock_connect_result(conn->fd)) {
		conn_fail(conn, UPCLIENT_UNSENT);
		return;
	}
	ev_timer_stop(upclient->loop, &conn->timer);
	if (region >= 0) {
		apr_interval_time_t *d = &upclient->region_rtt[region];

		/* A shorter time weighs more: longer ones include waiting. */
		*d += elapsed < *d ? (elapsed - *d) / 4 : (elapsed - *d) / 64;
	}
	if (!up_accepts(conn->pool->up, clk_now(upclient->clk))) {
		conn_fail(conn, UPCLIENT_WITHHELD);
		return;
	}
	conn->state = CONN_BUSY;
	write_request(conn);
}

static void on_conn(struct ev_loop *loop, struct ev_io *io, int events)
{
	struct upclient_conn *conn = io->data;

	(void)loop;
	if (conn->state == CONN_CONNECTING) {
		on_connected(conn);
		return;
	}
	if (events & EV_READ) {
		on_readable(conn);
		return;
	}
	if (conn->call &&
	    conn->sent < conn->call->head.len + conn->call->body.len)
		write_request(conn);
}

static void on_timer(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct upclient_conn *conn = timer->data;

	(void)loop;
	(void)events;
	if (conn->state == CONN_CONNECTING)
		conn_fail(conn, UPCLIENT_UNSENT);
	else if (conn->state == CONN_IDLE)
		conn_close(conn);
}

static struct upclient_conn *take_idle(struct upclient *upclient,
				       struct upclient_pool *pool, bool unsafe)
{
	struct upclient_conn *conn = TAILQ_FIRST(&pool->idle);
	const apr_time_t now = clk_now(upclient->clk);
	apr_interval_time_t age;

	if (!conn)
		return NULL;
	age = now - conn->since;
	if (age > conn->max_idle || (unsafe && age > UNSAFE_MAX_IDLE_US)) {
		/* The first was used last: the others were idle for longer. */
		if (age > conn->max_idle)
			conn_close(conn);
		return NULL;
	}
	TAILQ_REMOVE(&pool->idle, conn, link);
	TAILQ_INSERT_TAIL(&upclient->active, conn, link);
	ev_timer_stop(upclient->loop, &conn->timer);
	conn->state = CONN_BUSY;
	conn->reused = true;
	conn->since = age;
	return conn;
}

static struct upclient_conn *conn_new(struct upclient *upclient,
				      struct upclient_pool *pool,
				      unsigned max_conns)
{
	struct up *up = pool->up;
	struct upclient_conn *conn;
	int fd;

	if (pool->count >= max_conns ||
	    upclient->count >= upclient->max_total_conns)
		return NULL;
	conn = calloc(1, sizeof(*conn));
	fd = conn ? sock_connect(&up->addr) : PST_ERR_NOMEM;
	if (fd < 0) {
		free(conn);
		return NULL;
	}
	conn->upclient = upclient;
	conn->pool = pool;
	conn->fd = fd;
	conn->state = CONN_CONNECTING;
	conn->since = clk_now(upclient->clk);
	conn->events = EV_WRITE;
	upclient->count++;
	pool->count++;
	TAILQ_INSERT_TAIL(&upclient->active, conn, link);
	ev_io_init(&conn->io, on_conn, fd, EV_WRITE);
	conn->io.data = conn;
	ev_io_start(upclient->loop, &conn->io);
	ev_timer_init(
		&conn->timer, on_timer, 0,
		(double)(CONNECT_TIMEOUT_US +
			 (up->region >= 0 ? 2 * upclient->region_rtt[up->region]
					  : 0)) /
			(double)APR_USEC_PER_SEC);
	conn->timer.data = conn;
	ev_timer_again(upclient->loop, &conn->timer);
	return conn;
}

void upclient_init(struct upclient *upclient)
{
	TAILQ_INIT(&upclient->active);
}

int upclient_start(struct upclient *upclient, struct upclient_call *call)
{
	struct upclient_pool *pool = pool_of(call->up);
	struct upclient_conn *conn;

	if (!pool)
		return PST_ERR_NOMEM;
	conn = take_idle(upclient, pool, call->unsafe);
	if (!conn)
		conn = conn_new(upclient, pool, call->max_conns);
	if (!conn)
		return PST_ERR_FULL;
	call->upclient = upclient;
	call->conn = conn;
	call->sent_at = clk_now(upclient->clk);
	conn->call = call;
	conn->sent = 0;
	conn->skipped = 0;
	buf_reset(&conn->in);
	init_answer(conn);
	if (conn->state == CONN_BUSY)
		write_request(conn);
	return 0;
}

void upclient_cancel(struct upclient_call *call)
{
	struct upclient_conn *conn = call->conn;

	if (!conn)
		return;
	call->conn = NULL;
	conn->call = NULL;
	conn_close(conn);
}

void upclient_close_idle(struct up *up)
{
	struct upclient_pool *pool = up->pool;
	struct upclient_conn *conn;
	struct upclient_conn *next;

	if (!pool)
		return;
	/* The extra count keeps the pool while its connections are closed. */
	pool->count++;
	for (conn = TAILQ_FIRST(&pool->idle); conn; conn = next) {
		next = TAILQ_NEXT(conn, link);
		conn_close(conn);
	}
	pool->count--;
	pool_free_if_unused(pool);
}
