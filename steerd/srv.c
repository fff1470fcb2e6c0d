#include "steerd/srv.h"

#include <unistd.h>

#include "common/err.h"
#include "common/evt.h"
#include "steerd/conn.h"
#include "steerd/sock.h"

#define LOG_MODULE "srv"

/* Connections accepted at a time, so that other events are handled too. */
#define ACCEPT_BATCH 16

/*
 * Makes room for a new connection: closes the oldest one that is idle, if
 * possible one that has nothing in transit, which the close could reset.
 */
static void close_idle(struct srv *srv)
{
	struct srv_conn *found = NULL;
	struct srv_conn *conn;

	TAILQ_FOREACH(conn, &srv->conns, link)
	{
		if (!conn_idle(conn))
			continue;
		if (!found)
			found = conn;
		if (!sock_unsent(conn->fd) && !sock_unread(conn->fd)) {
			found = conn;
			break;
		}
	}
	if (found)
		conn_free(found, SRV_END_NO_ROOM);
}

/* Accepts the connections that wait, at most so many. */
static void accept_waiting(struct srv *srv, unsigned most)
{
	for (unsigned i = 0; i < most; i++) {
		const int fd = sock_accept(srv->accept_io.fd);

		if (fd == PST_ERR_FULL) {
			evt_log(SRV_FULL, "connections=%u", srv->conn_count);
			close_idle(srv);
			return;
		}
		if (fd < 0)
			return;
		if (srv->conn_count >= srv->max_conns)
			close_idle(srv);
		conn_new(srv, fd);
	}
}

static void on_accept(struct ev_loop *loop, struct ev_io *io, int events)
{
	(void)loop;
	(void)events;
	accept_waiting(io->data, ACCEPT_BATCH);
}

int srv_listen(struct srv *srv, const struct sockaddr_in *addr)
{
	const int fd = sock_listen(addr);

	if (fd < 0)
		return fd;
	TAILQ_INIT(&srv->conns);
	ev_io_init(&srv->accept_io, on_accept, fd, EV_READ);
	srv->accept_io.data = srv;
	srv->listening = true;
	return 0;
}

void srv_accept(struct srv *srv)
{
	if (srv->listening)
		ev_io_start(srv->loop, &srv->accept_io);
}

int srv_start(struct srv *srv, const struct sockaddr_in *addr)
{
	const int err = srv_listen(srv, addr);

	if (!err)
		srv_accept(srv);
	return err;
}

static void close_listener(struct srv *srv)
{
	if (!srv->listening)
		return;
	srv->listening = false;
	ev_io_stop(srv->loop, &srv->accept_io);
	close(srv->accept_io.fd);
}

void srv_stop_accept(struct srv *srv)
{
	/* Closing the listener resets the connections that wait. */
	if (srv->listening)
		accept_waiting(srv, SOCK_BACKLOG);
	close_listener(srv);
}

void srv_drain(struct srv *srv)
{
	struct srv_conn *conn = TAILQ_FIRST(&srv->conns);

	srv->stopping = true;
	while (conn)
		conn = conn_drain(conn);
}

void srv_close(struct srv *srv)
{
	struct srv_conn *conn;
	struct srv_conn *next;

	close_listener(srv);
	for (conn = TAILQ_FIRST(&srv->conns); conn; conn = next) {
		next = TAILQ_NEXT(conn, link);
		conn_free(conn, SRV_END_STOP_CUT);
	}
}
