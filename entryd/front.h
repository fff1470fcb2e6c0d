/*
 * The HTTP/1.1 server for callers: libmicrohttpd, fed with connections by
 * entryd/gate.h.
 *
 * A connection is suspended while its request waits, so that a waiting request
 * occupies no thread. The body is not read before the request may be sent.
 */
#ifndef ENTRYD_FRONT_H
#define ENTRYD_FRONT_H

#include "entryd/route.h"
#include "entryd/ups.h"

struct frt;

/*
 * Borrows every argument but out. Returns 0, PST_ERR_NOMEM, _HTTP or _THREAD.
 */
int frt_start(struct frt **out, const struct settings *set,
	      const struct clk *clk, struct rte *rte, struct ups *ups,
	      struct tkt_agent *ticket);

/*
 * Refuses new ticket requests, and makes each answer from now on ask the caller
 * to close its connection.
 */
void frt_drain(struct frt *frt);

/* Closes the listener and every connection. */
void frt_stop(struct frt *frt);

#endif
