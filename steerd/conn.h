/*
 * One connection of a caller: reads requests, passes them to the handler, and
 * sends the answers in the order of the requests. Part of the server (srv.h).
 */
#ifndef STEERD_CONN_H
#define STEERD_CONN_H

#include "steerd/srv.h"

/* Latest answers of a connection that are known by their requests' ids. */
#define CONN_ANSWERS 8

struct conn_answer {
	struct strbuf id;
	size_t bytes;
	/* Where its last byte is among all bytes of the connection's output. */
	uint64_t end;
};

struct srv_conn {
	struct ev_io io;
	struct ev_timer timer;
	struct srv *srv;
	int fd;
	struct sockwatch_item watch;
	/* The libev events that io waits for. */
	int events;
	struct buf in;
	struct buf out;
	/* The request being read; NULL between requests. */
	struct srv_req *reading;
	/* The head of that request was checked and is valid. */
	bool head_ok;
	/* Requests that were read but whose answers are not in out yet. */
	unsigned pending;
	/* Ends with the requests that it carries. */
	bool draining;
	/* No further request is read. */
	bool read_ended;
	/* An answer told the caller that the connection closes after it. */
	bool said_close;
	/* All is written and the output ended; the caller's end is awaited. */
	bool lingering;
	/* The cause if lingering ends in order; its latest end. */
	enum srv_end linger_end;
	apr_time_t linger_until;
	/* The caller's last request asked to close the connection. */
	bool caller_closes;
	bool dead;
	/* Nested calls that still use the connection. */
	int users;
	/* When a byte was last read or written. */
	apr_time_t last_byte_at;
	/* When the caller last took a byte, or output began to wait. */
	apr_time_t taken_at;
	/*
	 * Bytes that the kernel had to send at the timer's last look; 0: there
	 * was none since the last write.
	 */
	size_t unsent;
	/* The same at the last search for a connection to evict. */
	size_t unsent_seen;
	/* Part of srv->outquota. */
	size_t out_held;
	/* Bytes written so far. */
	uint64_t written;
	/* The latest answers, a ring; answer_count counts all. */
	struct conn_answer answers[CONN_ANSWERS];
	unsigned answer_count;
	TAILQ_HEAD(, srv_req) reqs;
	TAILQ_ENTRY(srv_conn) link;
};

/* Takes ownership of a new connection; closes fd when there is no memory. */
void conn_new(struct srv *srv, int fd);

/* Closes at once, and tells the handler of open requests. */
void conn_free(struct srv_conn *conn, enum srv_end end);

/*
 * Reads no further request, but those that have arrived and the one whose bytes
 * are arriving; ends after the answers to these, or now if there are none.
 * Returns the next connection of the server, or NULL: a request that is passed
 * on can close other connections.
 */
struct srv_conn *conn_drain(struct srv_conn *conn);

/* Whether no request is being read or pending, and nothing is left to send. */
bool conn_idle(const struct srv_conn *conn);

#endif
