/*
 * Connections to upstreams, and one attempt of a request on one of them.
 *
 * A connection carries one request at a time. It is reused only if the answer
 * was complete, belonged to that request and was followed by no further bytes,
 * and only for as long as the upstream is known to keep idle connections open.
 */
#ifndef STEERD_UPCLIENT_H
#define STEERD_UPCLIENT_H

#include <ev.h>
#include <sys/queue.h>

#include "common/clk.h"
#include "policy/marks.h"
#include "policy/memquota.h"
#include "policy/registry.h"
#include "steerd/msg.h"
#include "steerd/sockwatch.h"

struct upclient;
struct upclient_call;

/* How an attempt ended; the numbers stand in log lines. */
enum upclient_result {
	/* A complete answer, in call->answer and call->marks. */
	UPCLIENT_ANSWERED,
	/* No byte left this VM: the request was not run. */
	UPCLIENT_UNSENT,
	/* The upstream had closed a reused connection; may have run. */
	UPCLIENT_STALE,
	/* The connection broke, or the answer is invalid; may have run. */
	UPCLIENT_BROKEN,
	/* As unsent: the upstream stopped taking requests meanwhile. */
	UPCLIENT_WITHHELD,
};

/* One attempt of a request at an upstream. */
struct upclient_call {
	struct upclient *upclient;
	struct up *up;
	/* Head and body, borrowed until ended() or upclient_cancel(). */
	struct str head;
	struct str body;
	/* Id that the answer must echo; empty if there is none. */
	struct str id;
	/* A HEAD request: its answer has no body. */
	bool bodyless;
	/* Not safe to repeat: no connection that was idle for long is used. */
	bool unsafe;
	/* This VM's share of the connections that the upstream accepts. */
	unsigned max_conns;
	/* Called once, unless upclient_cancel() was called before. */
	void (*ended)(struct upclient_call *call, enum upclient_result result);
	void *ctx;
	/* Valid during ended(). */
	struct msg *answer;
	struct answer_meta marks;
	/* Private to the implementation, as is all below. */
	struct upclient_conn *conn;
	apr_time_t sent_at;
};

struct upclient {
	struct ev_loop *loop;
	const struct clk *clk;
	/* Round-trip time by region, measured when connecting. */
	apr_interval_time_t *region_rtt;
	/* Limit and count of connections to all upstreams. */
	unsigned max_total_conns;
	unsigned count;
	/* Largest head and body of an answer, in bytes. */
	size_t max_head;
	size_t max_body;
	/* For all answers that are being read; the caller sets its limit. */
	struct memquota quota;
	/* Connections with an attempt. */
	TAILQ_HEAD(, upclient_conn) active;
	/* Connections with requests under way. */
	struct sockwatch watch;
};

/* The caller has set all fields but count, active and watch. */
void upclient_init(struct upclient *upclient);

/*
 * Starts an attempt. Returns 0, PST_ERR_FULL or PST_ERR_NOMEM; on an error
 * nothing is sent and ended() is not called. ended() may be called before it
 * returns 0.
 */
int upclient_start(struct upclient *upclient, struct upclient_call *call);

/* Cancels an attempt and closes its connection. */
void upclient_cancel(struct upclient_call *call);

/* Closes the idle connections to an upstream that is no longer listed. */
void upclient_close_idle(struct up *up);

#endif
