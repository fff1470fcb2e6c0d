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
/* Bytes of one direction of a connection that are under way at most. */
#define MAX_FLIGHT_BYTES 8388608

#define ANSWER_OK	 "HTTP/1.1 200 Connection established\r\n\r\n"
#define ANSWER_REFUSE	 "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n"

/* Bytes under way. */
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
	struct flp_fd fd;
	struct conn *conn;
	/* Where this end's bytes go. */
	struct end *other;
	enum lnk_way way;
	/* Bytes on their way to this end. */
	struct chunks inbound;
	size_t inbound_bytes;
	/* When the end of the stream reaches this end; 0 is not yet. */
	apr_time_t shut_due;
	bool read_closed;
	bool shut;
	bool blocked;
};

enum conn_state {
	/* Reading the CONNECT request. */
	CONN_HEAD,
	/* The request is on its way over the link. */
	CONN_ASKED,
	CONN_CONNECTING,
	/* The answer is on its way back. */
	CONN_ANSWERING,
	CONN_OPEN,
};

struct conn {
	TAILQ_ENTRY(conn) link;
	struct lnk *via;
	enum conn_state state;
	bool silent;
	bool refused;
	struct end near;
	struct end far;
	struct flp_timer timer;
	char head[HEAD_BYTES];
	size_t head_len;
	struct net_addr target;
};

TAILQ_HEAD(conns, conn);

struct lnk_conns {
	struct conns list;
};

static void pump(struct conn *conn);

static apr_time_t now_of(const struct conn *conn)
{
	return flp_now(conn->via->loop);
}

static void drop_end(struct conn *conn, struct end *end)
{
	struct chunk *chunk;

	if (end->fd.fd >= 0) {
		flp_unwatch(conn->via->loop, &end->fd);
		close(end->fd.fd);
	}
	while ((chunk = TAILQ_FIRST(&end->inbound))) {
		TAILQ_REMOVE(&end->inbound, chunk, link);
		free(chunk);
	}
}

static void drop_conn(struct conn *conn)
{
	flp_timer_clear(conn->via->loop, &conn->timer);
	drop_end(conn, &conn->near);
	drop_end(conn, &conn->far);
	TAILQ_REMOVE(&conn->via->conns->list, conn, link);
	conn->via->open--;
	free(conn);
}

/* Returns bytes read into a chunk, 0 when there are none now, or -1. */
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
			end->other->shut_due = now_of(conn) + conn->via->delay;
			return 0;
		}
		return errno == EAGAIN ? 0 : -1;
	}
	chunk->len = (size_t)got;
	chunk->sent = 0;
	chunk->due = pac_send(&conn->via->paces[end->way], (uint64_t)got,
			      now_of(conn)) +
		     conn->via->delay;
	TAILQ_INSERT_TAIL(&end->other->inbound, chunk, link);
	end->other->inbound_bytes += (size_t)got;
	return got;
}

static bool may_read(const struct end *end)
{
	const struct pac *pace = &end->conn->via->paces[end->way];

	return !end->read_closed &&
	       end->other->inbound_bytes < MAX_FLIGHT_BYTES &&
	       pac_room(pace, now_of(end->conn)) > 0;
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
	if (end->shut_due && end->shut_due <= now_of(conn) && !end->shut) {
		shutdown(end->fd.fd, SHUT_WR);
		end->shut = true;
	}
	return 0;
}

static void sooner(apr_time_t *next, apr_time_t at)
{
	if (!*next || at < *next)
		*next = at;
}

/* When something must be done for the end without a descriptor's event. */
static void next_time(const struct end *end, apr_time_t *next)
{
	const struct chunk *chunk = TAILQ_FIRST(&end->inbound);
	const struct pac *pace = &end->conn->via->paces[end->way];

	if (chunk && !end->blocked)
		sooner(next, chunk->due);
	if (!chunk && end->shut_due && !end->shut)
		sooner(next, end->shut_due);
	if (!end->read_closed && !pac_room(pace, now_of(end->conn)))
		sooner(next, pac_when(pace));
}

static void watch_end(struct end *end)
{
	uint32_t events = 0;

	if (may_read(end))
		events |= EPOLLIN;
	if (end->blocked)
		events |= EPOLLOUT;
	if (!events)
		flp_unwatch(end->conn->via->loop, &end->fd);
	else
		flp_watch(end->conn->via->loop, &end->fd, events);
}

static void rest(struct conn *conn)
{
	apr_time_t next = 0;

	watch_end(&conn->near);
	watch_end(&conn->far);
	next_time(&conn->near, &next);
	next_time(&conn->far, &next);
	if (next)
		flp_timer_set(conn->via->loop, &conn->timer, next);
	else
		flp_timer_clear(conn->via->loop, &conn->timer);
}

static void pump(struct conn *conn)
{
	if (conn->silent)
		return;
	if (write_due(&conn->near) || write_due(&conn->far) ||
	    (conn->near.shut && conn->far.shut)) {
		drop_conn(conn);
		return;
	}
	rest(conn);
}

static void on_open_ready(struct end *end, uint32_t events)
{
	const struct pac *pace = &end->conn->via->paces[end->way];

	if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) && may_read(end) &&
	    read_chunk(end, pac_room(pace, now_of(end->conn))) < 0) {
		drop_conn(end->conn);
		return;
	}
	pump(end->conn);
}

static void start_relay(struct conn *conn)
{
	const char *text = conn->refused ? ANSWER_REFUSE : ANSWER_OK;

	if (send(conn->near.fd.fd, text, strlen(text), MSG_NOSIGNAL) < 0 ||
	    conn->refused) {
		drop_conn(conn);
		return;
	}
	conn->state = CONN_OPEN;
	pump(conn);
}

static void answer_later(struct conn *conn, bool refused)
{
	conn->state = CONN_ANSWERING;
	conn->refused = refused;
	flp_unwatch(conn->via->loop, &conn->far.fd);
	flp_timer_set(conn->via->loop, &conn->timer,
		      now_of(conn) + conn->via->delay);
}

/* Connects onward from the caller's own address. */
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
		answer_later(conn, true);
		return;
	}
	((struct sockaddr_in *)&from)->sin_port = 0;
	if (bind(fd, (struct sockaddr *)&from, len) ||
	    (connect(fd, (struct sockaddr *)&conn->target.ss,
		     conn->target.len) &&
	     errno != EINPROGRESS)) {
		answer_later(conn, true);
		return;
	}
	conn->state = CONN_CONNECTING;
	flp_watch(conn->via->loop, &conn->far.fd, EPOLLOUT);
}

static void on_timer(struct flp_timer *timer)
{
	struct conn *conn =
		(struct conn *)(void *)((char *)timer -
					offsetof(struct conn, timer));

	if (conn->silent)
		return;
	switch (conn->state) {
	case CONN_ASKED:
		connect_far(conn);
		break;
	case CONN_ANSWERING:
		start_relay(conn);
		break;
	case CONN_OPEN:
		pump(conn);
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

/* Byte by byte up to the blank line, so that what follows stays unread. */
static void read_head(struct conn *conn)
{
	ssize_t got;

	for (;;) {
		if (conn->head_len == sizeof(conn->head) - 1) {
			drop_conn(conn);
			return;
		}
		got = recv(conn->near.fd.fd, conn->head + conn->head_len, 1, 0);
		if (got < 0 && errno == EAGAIN)
			return;
		if (got <= 0) {
			drop_conn(conn);
			return;
		}
		conn->head_len++;
		if (conn->head_len >= 4 &&
		    !memcmp(conn->head + conn->head_len - 4, "\r\n\r\n", 4))
			break;
	}
	if (parse_target(conn)) {
		drop_conn(conn);
		return;
	}
	conn->state = CONN_ASKED;
	flp_unwatch(conn->via->loop, &conn->near.fd);
	flp_timer_set(conn->via->loop, &conn->timer,
		      now_of(conn) + conn->via->delay);
}

static void on_connected(struct conn *conn)
{
	int err = 0;
	socklen_t len = sizeof(err);

	getsockopt(conn->far.fd.fd, SOL_SOCKET, SO_ERROR, &err, &len);
	answer_later(conn, err != 0);
}

static void on_ready(struct flp_fd *fd, uint32_t events)
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
	case CONN_ASKED:
	case CONN_ANSWERING:
		flp_unwatch(conn->via->loop, fd);
		break;
	}
}

struct lnk_conns *con_list_create(void)
{
	struct lnk_conns *conns = calloc(1, sizeof(*conns));

	if (conns)
		TAILQ_INIT(&conns->list);
	return conns;
}

static void init_end(struct end *end, struct conn *conn, struct end *other,
		     enum lnk_way way)
{
	end->fd.fd = -1;
	end->fd.ready = on_ready;
	end->conn = conn;
	end->other = other;
	end->way = way;
	TAILQ_INIT(&end->inbound);
}

static void silence(struct conn *conn)
{
	conn->silent = true;
	flp_timer_clear(conn->via->loop, &conn->timer);
	if (conn->near.fd.fd >= 0)
		flp_unwatch(conn->via->loop, &conn->near.fd);
	if (conn->far.fd.fd >= 0)
		flp_unwatch(conn->via->loop, &conn->far.fd);
}

void con_accept(struct lnk *link, int fd, enum lnk_way way)
{
	struct conn *conn = calloc(1, sizeof(*conn));

	if (!conn) {
		close(fd);
		return;
	}
	conn->via = link;
	init_end(&conn->near, conn, &conn->far, way);
	init_end(&conn->far, conn, &conn->near,
		 way == LNK_FORTH ? LNK_BACK : LNK_FORTH);
	conn->near.fd.fd = fd;
	conn->timer.fire = on_timer;
	TAILQ_INSERT_TAIL(&link->conns->list, conn, link);
	link->open++;
	link->opened++;
	if (link->fault == LNK_FAULT_DROP)
		silence(conn);
	else
		flp_watch(link->loop, &conn->near.fd, EPOLLIN);
}

void con_close_all(struct lnk *link)
{
	struct conn *conn = TAILQ_FIRST(&link->conns->list);

	while (conn) {
		struct conn *const next = TAILQ_NEXT(conn, link);

		drop_conn(conn);
		conn = next;
	}
}

void con_silence_all(struct lnk *link)
{
	struct conn *conn;

	TAILQ_FOREACH(conn, &link->conns->list, link)
	silence(conn);
}
