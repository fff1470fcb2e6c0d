/*
 * The callers' side: HTTP/1.1 by libmicrohttpd, behind the gate.
 *
 * A connection is suspended while its request waits, so that a request costs
 * no thread. No byte of a body is read before the request may be sent.
 */
#ifndef ENTRYD_FRONT_H
#define ENTRYD_FRONT_H

#include "entryd/route.h"
#include "entryd/ups.h"

struct frt;

/* Borrows all but out. Returns 0, PST_ERR_NOMEM, _HTTP or _THREAD. */
int frt_start(struct frt **out, const struct settings *set,
	      const struct clk *clk, struct rte *rte, struct ups *ups,
	      struct tkt_agent *ticket);

/* Answers new requests as not run and closes connections after answers. */
void frt_close(struct frt *frt);

/* Closes the listener and every connection. */
void frt_stop(struct frt *frt);

#endif
