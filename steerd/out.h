/*
 * Connections to upstreams, and one attempt of a request on one of them.
 *
 * A connection carries one request at a time. It is reused only if the answer
 * was complete, belonged to that request and was followed by no further bytes,
 * and only for as long as the upstream is known to keep idle connections open.
 */
#ifndef STEERD_OUT_H
#define STEERD_OUT_H

#include <ev.h>

#include "common/clk.h"
#include "policy/marks.h"
#include "policy/upl.h"
#include "steerd/msg.h"

struct out;
struct out_call;

/* How an attempt ended. */
enum out_result {
	/* A complete answer, in call->answer and call->marks. */
	OUT_ANSWERED,
	/* No byte left this VM: the request was not run. */
	OUT_UNSENT,
	/* The upstream had closed a reused connection; may have run. */
	OUT_STALE,
	/* The connection broke, or the answer is invalid; may have run. */
	OUT_BROKEN,
};

/* One attempt of a request at an upstream. */
struct out_call {
	struct out *out;
	struct up *up;
	/* Head and body, borrowed until ended() or out_cancel(). */
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
	/* Called once, unless out_cancel() was called before. */
	void (*ended)(struct out_call *call, enum out_result result);
	void *ctx;
	/* Valid during ended(). */
	struct msg *answer;
	struct answer_meta marks;
	/* Private to the implementation, as is all below. */
	struct out_conn *conn;
	apr_time_t sent_at;
};

struct out {
	struct ev_loop *loop;
	const struct clk *clk;
	/* Round-trip time by region, measured when connecting. */
	apr_interval_time_t *distance;
	/* Limit and count of connections to all upstreams. */
	unsigned max_all;
	unsigned count;
	/* Largest head and body of an answer, in bytes. */
	size_t max_head;
	size_t max_body;
};

/*
 * Starts an attempt. Returns 0, PST_ERR_FULL or PST_ERR_NOMEM; on an error
 * nothing is sent and ended() is not called. ended() may be called before it
 * returns 0.
 */
int out_start(struct out *out, struct out_call *call);

/* Cancels an attempt and closes its connection. */
void out_cancel(struct out_call *call);

/* Closes the idle connections to an upstream that is no longer listed. */
void out_drop(struct up *up);

#endif
