/*
 * An HTTP/1.1 server on the event loop: connections, pipelined requests, and
 * answers in the order of the requests.
 *
 * A request is passed to the handler once it is complete. GET and HEAD may be
 * repeated, and are passed on at once; any other waits until the requests
 * before it are answered, since a caller whose connection closes after an
 * earlier answer sends it again.
 */
#ifndef STEERD_SRV_H
#define STEERD_SRV_H

#include <ev.h>
#include <sys/queue.h>

#include <apr_time.h>

#include "common/clk.h"
#include "policy/outquota.h"
#include "policy/routing.h"
#include "steerd/msg.h"
#include "steerd/sockwatch.h"

struct srv;
struct srv_conn;

/* Why a connection ends, or why a request on it is not answered. */
enum srv_end {
	SRV_END_CALLER_CLOSED,
	/* A read or write failed: a reset, or no acknowledgement in time. */
	SRV_END_CALLER_RESET,
	SRV_END_IDLE_TIMEOUT,
	/* Idle, and closed to make room for a new one. */
	SRV_END_NO_ROOM,
	SRV_END_NO_MEMORY,
	/* After an answer that the caller had asked to be the last. */
	SRV_END_ANSWERED,
	/* Of requests only: an answer to an earlier one was the last. */
	SRV_END_BEHIND_LAST,
	/* All was written and the output closed; then the caller closed too. */
	SRV_END_LINGER_PEER,
	/* As before, but the caller did not close in time. */
	SRV_END_LINGER_TIME,
	SRV_END_STOP_IDLE,
	/* Closed for memory: the caller did not read its answers. */
	SRV_END_NOT_READ,
	/* The server was closed. */
	SRV_END_STOP_CUT,
	SRV_ENDS,
};

/* The name of a cause in log lines and counters. */
const char *srv_end_name(enum srv_end end);

struct srv_req {
	struct srv_conn *conn;
	struct srv *srv;
	struct msg msg;
	/* When its first and its last byte were read. */
	apr_time_t first_byte_at;
	apr_time_t read_at;
	/* For the handler. */
	void *user;
	/* Names the request in log lines; set by the handler, or empty. */
	struct strbuf id;
	/* The fields below are private to the server. */
	bool dispatched;
	bool answered;
	bool close;
	struct buf answer;
	TAILQ_ENTRY(srv_req) link;
};

struct srv_ops {
	/* Handles a complete request: calls srv_answer(), now or later. */
	void (*request)(void *ctx, struct srv_req *req);
	/*
	 * A complete request will not be answered; it must not be used
	 * afterwards. Also for requests that were not passed to the handler,
	 * whose user is NULL.
	 */
	void (*gone)(void *ctx, struct srv_req *req, enum srv_end end);
	/* Answers that callers may not have got are logged. */
	bool logs_answers;
};

/* What ended since the server's stop began. */
struct srv_ends {
	unsigned conns[SRV_ENDS];
	/* Requests without an answer: passed to the handler, or only read. */
	unsigned passed_on;
	unsigned not_passed_on;
	/* Connections that ended amid a request. */
	unsigned reading;
	/* Bytes of answers that were not written or not acknowledged. */
	size_t unsent;
};

struct srv {
	struct ev_loop *loop;
	const struct clk *clk;
	const struct srv_ops *ops;
	void *ctx;
	struct routing_limits limits;
	/* Bytes of requests and answers in memory, and their limit. */
	size_t held;
	size_t max_held;
	/* Answers that wait for their callers to read. */
	struct outquota outquota;
	unsigned max_conns;
	/* Every answer closes its connection. */
	bool stopping;
	struct srv_ends ends;
	/* Lines on unsent answers in the current second. */
	apr_time_t unsent_second;
	unsigned unsent_lines;
	struct ev_io accept_io;
	/* accept_io has a socket: from srv_listen() to srv_stop_accept(). */
	bool listening;
	unsigned conn_count;
	unsigned req_count;
	TAILQ_HEAD(, srv_conn) conns;
	/* Connections with answers under way. */
	struct sockwatch watch;
};

/*
 * Listens, but leaves new connections in the kernel's backlog until
 * srv_accept(). The caller has set ops, ctx, loop, clk and limits. Returns 0
 * or PST_ERR_IO.
 */
int srv_listen(struct srv *srv, const struct sockaddr_in *addr);

/* Accepts connections from now on. Has no effect when called again. */
void srv_accept(struct srv *srv);

/* Calls srv_listen() and srv_accept(). */
int srv_start(struct srv *srv, const struct sockaddr_in *addr);

/* Accepts the connections that wait, and closes the listening socket. */
void srv_stop_accept(struct srv *srv);

/* Closes each connection after the answers to the requests that it carries. */
void srv_drain(struct srv *srv);

/* Closes all connections at once; tells the handler of open requests. */
void srv_close(struct srv *srv);

/*
 * Answers a request; req must not be used afterwards. fields are complete
 * header lines, without Content-Length.
 */
void srv_answer(struct srv_req *req, unsigned status, struct str reason,
		struct str fields, struct str body);

/*
 * Whether a request may run whose answer is expected to take so many bytes.
 * May close other connections, whose callers do not read.
 */
bool srv_admits(struct srv_req *req, size_t expected);

#endif
