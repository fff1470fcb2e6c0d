#include "fakes/link/conn.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/err.h"
#include "common/net.h"

#define CHUNK_BYTES 16384
#define HEAD_BYTES  1024
/* Most bytes in flight in one direction of a connection. */
#define MAX_FLIGHT_BYTES 8388608

#define ANSWER_OK	 "HTTP/1.1 200 Connection established\r\n\r\n"
#define ANSWER_REFUSE	 "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"

/* Bytes in flight. */
struct chunk {
	TAILQ_ENTRY(chunk) link;
	apr_time_t due;
	size_t len;
	size_t sent;
	char data[];
};

TAILQ_HEAD(chunks, chunk);

struct conn;

/* One end of a connection. */
struct end {
	struct evloop_fd fd;
	struct conn *conn;
	/* The end that receives this end's bytes. */
	struct end *peer;
	enum lnk_direction direction;
	/* Bytes in flight to this end. */
	struct chunks inbound;
	size_t inbound_bytes;
	/* When the end of the stream reaches this end; 0 when not yet known. */
	apr_time_t eof_due;
	bool read_closed;
	bool eof_sent;
	bool blocked;
};

enum conn_state {
	/* Reading the CONNECT request. */
	CONN_HEAD,
	/* The request is in flight over the link. */
	CONN_REQUESTING,
	CONN_CONNECTING,
	/* The answer is in flight back. */
	CONN_ANSWERING,
	CONN_OPEN,
};

struct conn {
	TAILQ_ENTRY(conn) link;
	struct lnk *lnk;
	enum conn_state state;
	bool silent;
	bool refused;
	struct end near;
	struct end far;
	struct evloop_timer timer;
	char head[HEAD_BYTES];
	size_t head_len;
	struct net_addr target;
};

TAILQ_HEAD(conns, conn);

struct lnk_conns {
	struct conns list;
};

static void transfer(struct conn *conn);

static apr_time_t now_of(const struct conn *conn)
{
	return evloop_now(conn->lnk->loop);
}

static void close_end(struct conn *conn, struct end *end)
{
	struct chunk *chunk;

	if (end->fd.fd >= 0) {
		evloop_unwatch(conn->lnk->loop, &end->fd);
		close(end->fd.fd);
	}
	while ((chunk = TAILQ_FIRST(&end->inbound))) {
		TAILQ_REMOVE(&end->inbound, chunk, link);
		free(chunk);
	}
}

static void close_conn(struct conn *conn)
{
	evloop_timer_clear(conn->lnk->loop, &conn->timer);
	close_end(conn, &conn->near);
	close_end(conn, &conn->far);
	TAILQ_REMOVE(&conn->lnk->conns->list, conn, link);
	conn->lnk->open--;
	free(conn);
}

/* Reads a chunk. Returns its bytes, 0 when none are available, or -1. */
static ssize_t read_chunk(struct end *end, size_t room)
{
	struct conn *conn = end->conn;
	struct chunk *chunk;
	ssize_t got;

	if (room > CHUNK_BYTES)
		room = CHUNK_BYTES;
	chunk = malloc(sizeof(*chunk) + room);
	if (!chunk)
		return -1;
	got = recv(end->fd.fd, chunk->data, room, 0);
	if (got <= 0) {
		free(chunk);
		if (got == 0) {
			end->read_closed = true;
			end->peer->eof_due = now_of(conn) + conn->lnk->delay;
			return 0;
		}
		return errno == EAGAIN ? 0 : -1;
	}
	chunk->len = (size_t)got;
	chunk->sent = 0;
	chunk->due = pace_send(&conn->lnk->paces[end->direction], (uint64_t)got,
			       now_of(conn)) +
		     conn->lnk->delay;
	TAILQ_INSERT_TAIL(&end->peer->inbound, chunk, link);
	end->peer->inbound_bytes += (size_t)got;
	return got;
}

static bool may_read(const struct end *end)
{
	const struct pace *pace = &end->conn->lnk->paces[end->direction];

	return !end->read_closed &&
	       end->peer->inbound_bytes < MAX_FLIGHT_BYTES &&
	       pace_room(pace, now_of(end->conn)) > 0;
}

/* Writes what is due. Returns 0, or -1 when the end is broken. */
static int write_due(struct end *end)
{
	struct conn *conn = end->conn;
	struct chunk *chunk = TAILQ_FIRST(&end->inbound);
	ssize_t put;

	end->blocked = false;
	while (chunk) {
		struct chunk *const next = TAILQ_NEXT(chunk, link);

		if (chunk->due > now_of(conn))
			return 0;
		put = send(end->fd.fd, chunk->data + chunk->sent,
			   chunk->len - chunk->sent, MSG_NOSIGNAL);
		if (put < 0) {
			end->blocked = errno == EAGAIN;
			return end->blocked ? 0 : -1;
		}
		chunk->sent += (size_t)put;
		end->inbound_bytes -= (size_t)put;
		if (chunk->sent < chunk->len)
			continue;
		TAILQ_REMOVE(&end->inbound, chunk, link);
		free(chunk);
		chunk = next;
	}
	if (end->eof_due && end->eof_due <= now_of(conn) && !end->eof_sent) {
		shutdown(end->fd.fd, SHUT_WR);
		end->eof_sent = true;
	}
	return 0;
}

static void set_earlier(apr_time_t *next, apr_time_t at)
{
	if (!*next || at < *next)
		*next = at;
}

/* Lowers *next to when the end needs a transfer without an event. */
static void add_next_time(const struct end *end, apr_time_t *next)
{
	const struct chunk *chunk = TAILQ_FIRST(&end->inbound);
	const struct pace *pace = &end->conn->lnk->paces[end->direction];

	if (chunk && !end->blocked)
		set_earlier(next, chunk->due);
	if (!chunk && end->eof_due && !end->eof_sent)
		set_earlier(next, end->eof_due);
	if (!end->read_closed && !pace_room(pace, now_of(end->conn)))
		set_earlier(next, pace_room_at(pace));
}

static void watch_end(struct end *end)
{
	uint32_t events = 0;

	if (may_read(end))
		events |= EPOLLIN;
	if (end->blocked)
		events |= EPOLLOUT;
	if (!events)
		evloop_unwatch(end->conn->lnk->loop, &end->fd);
	else
		evloop_watch(end->conn->lnk->loop, &end->fd, events);
}

static void rearm(struct conn *conn)
{
	apr_time_t next = 0;

	watch_end(&conn->near);
	watch_end(&conn->far);
	add_next_time(&conn->near, &next);
	add_next_time(&conn->far, &next);
	if (next)
		evloop_timer_set(conn->lnk->loop, &conn->timer, next);
	else
		evloop_timer_clear(conn->lnk->loop, &conn->timer);
}

static void transfer(struct conn *conn)
{
	if (conn->silent)
		return;
	if (write_due(&conn->near) || write_due(&conn->far) ||
	    (conn->near.eof_sent && conn->far.eof_sent)) {
		close_conn(conn);
		return;
	}
	rearm(conn);
}

static void on_open_ready(struct end *end, uint32_t events)
{
	const struct pace *pace = &end->conn->lnk->paces[end->direction];

	if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) && may_read(end) &&
	    read_chunk(end, pace_room(pace, now_of(end->conn))) < 0) {
		close_conn(end->conn);
		return;
	}
	transfer(end->conn);
}

static void start_relay(struct conn *conn)
{
	const char *text = conn->refused ? ANSWER_REFUSE : ANSWER_OK;

	if (send(conn->near.fd.fd, text, strlen(text), MSG_NOSIGNAL) < 0 ||
	    conn->refused) {
		close_conn(conn);
		return;
	}
	conn->state = CONN_OPEN;
	transfer(conn);
}

static void delay_answer(struct conn *conn, bool refused)
{
	conn->state = CONN_ANSWERING;
	conn->refused = refused;
	evloop_unwatch(conn->lnk->loop, &conn->far.fd);
	evloop_timer_set(conn->lnk->loop, &conn->timer,
			 now_of(conn) + conn->lnk->delay);
}

/* Connects to the target from the client's address. */
static void connect_far(struct conn *conn)
{
	struct sockaddr_storage from;
	socklen_t len = sizeof(from);
	int fd;

	fd = socket(conn->target.ss.ss_family,
		    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	conn->far.fd.fd = fd;
	if (fd < 0 ||
	    getpeername(conn->near.fd.fd, (struct sockaddr *)&from, &len)) {
		delay_answer(conn, true);
		return;
	}
	((struct sockaddr_in *)&from)->sin_port = 0;
	if (bind(fd, (struct sockaddr *)&from, len) ||
	    (connect(fd, (struct sockaddr *)&conn->target.ss,
		     conn->target.len) &&
	     errno != EINPROGRESS)) {
		delay_answer(conn, true);
		return;
	}
	conn->state = CONN_CONNECTING;
	evloop_watch(conn->lnk->loop, &conn->far.fd, EPOLLOUT);
}

static void on_timer(struct evloop_timer *timer)
{
	struct conn *conn =
		(struct conn *)(void *)((char *)timer -
					offsetof(struct conn, timer));

	if (conn->silent)
		return;
	switch (conn->state) {
	case CONN_REQUESTING:
		connect_far(conn);
		break;
	case CONN_ANSWERING:
		start_relay(conn);
		break;
	case CONN_OPEN:
		transfer(conn);
		break;
	case CONN_HEAD:
	case CONN_CONNECTING:
		break;
	}
}

static int parse_target(struct conn *conn)
{
	char host[STR_ID_MAX + 1];
	unsigned port;

	if (sscanf(conn->head, "CONNECT %63[^: ]:%u HTTP/1.", host, &port) !=
		    2 ||
	    port > UINT16_MAX)
		return PST_ERR_PROTOCOL;
	return net_addr_make(&conn->target, str_from_c(host), (uint16_t)port);
}

/* Reads byte by byte up to the blank line, so that the rest stays unread. */
static void read_head(struct conn *conn)
{
	ssize_t got;

	for (;;) {
		if (conn->head_len == sizeof(conn->head) - 1) {
			close_conn(conn);
			return;
		}
		got = recv(conn->near.fd.fd, conn->head + conn->head_len, 1, 0);
		if (got < 0 && errno == EAGAIN)
			return;
		if (got <= 0) {
			close_conn(conn);
			return;
		}
		conn->head_len++;
		if (conn->head_len >= 4 &&
		    !memcmp(conn->head + conn->head_len - 4, "\r\n\r\n", 4))
			break;
	}
	if (parse_target(conn)) {
		close_conn(conn);
		return;
	}
	conn->state = CONN_REQUESTING;
	evloop_unwatch(conn->lnk->loop, &conn->near.fd);
	evloop_timer_set(conn->lnk->loop, &conn->timer,
			 now_of(conn) + conn->lnk->delay);
}

static void on_connected(struct conn *conn)
{
	int err = 0;
	socklen_t len = sizeof(err);

	getsockopt(conn->far.fd.fd, SOL_SOCKET, SO_ERROR, &err, &len);
	delay_answer(conn, err != 0);
}

static void on_ready(struct evloop_fd *fd, uint32_t events)
{
	struct end *end = (struct end *)(void *)fd;
	struct conn *conn = end->conn;

	switch (conn->state) {
	case CONN_HEAD:
		read_head(conn);
		break;
	case CONN_CONNECTING:
		on_connected(conn);
		break;
	case CONN_OPEN:
		on_open_ready(end, events);
		break;
	case CONN_REQUESTING:
	case CONN_ANSWERING:
		evloop_unwatch(conn->lnk->loop, fd);
		break;
	}
}

struct lnk_conns *conn_list_create(void)
{
	struct lnk_conns *conns = calloc(1, sizeof(*conns));

	if (conns)
		TAILQ_INIT(&conns->list);
	return conns;
}

static void init_end(struct end *end, struct conn *conn, struct end *peer,
		     enum lnk_direction direction)
{
	end->fd.fd = -1;
	end->fd.ready = on_ready;
	end->conn = conn;
	end->peer = peer;
	end->direction = direction;
	TAILQ_INIT(&end->inbound);
}

static void silence_conn(struct conn *conn)
{
	conn->silent = true;
	evloop_timer_clear(conn->lnk->loop, &conn->timer);
	if (conn->near.fd.fd >= 0)
		evloop_unwatch(conn->lnk->loop, &conn->near.fd);
	if (conn->far.fd.fd >= 0)
		evloop_unwatch(conn->lnk->loop, &conn->far.fd);
}

void conn_accept(struct lnk *link, int fd, enum lnk_direction direction)
{
	struct conn *conn = calloc(1, sizeof(*conn));

	if (!conn) {
		close(fd);
		return;
	}
	conn->lnk = link;
	init_end(&conn->near, conn, &conn->far, direction);
	init_end(&conn->far, conn, &conn->near,
		 direction == LNK_A_TO_B ? LNK_B_TO_A : LNK_A_TO_B);
	conn->near.fd.fd = fd;
	conn->timer.fire = on_timer;
	TAILQ_INSERT_TAIL(&link->conns->list, conn, link);
	link->open++;
	link->opened++;
	if (link->fault == LNK_FAULT_DROP)
		silence_conn(conn);
	else
		evloop_watch(link->loop, &conn->near.fd, EPOLLIN);
}

void conn_close_all(struct lnk *link)
{
	struct conn *conn = TAILQ_FIRST(&link->conns->list);

	while (conn) {
		struct conn *const next = TAILQ_NEXT(conn, link);

		close_conn(conn);
		conn = next;
	}
}

void conn_silence_all(struct lnk *link)
{
	struct conn *conn;

	TAILQ_FOREACH(conn, &link->conns->list, link)
	silence_conn(conn);
}
