/*
 * The HTTP/1.1 server for callers: libmicrohttpd, fed with connections by
 * entryd/acceptor.h.
 *
 * A connection is suspended while its request waits, so that a waiting request
 * occupies no thread. The body is not read before the request may be sent.
 */
#ifndef ENTRYD_FRONTEND_H
#define ENTRYD_FRONTEND_H

#include "entryd/router.h"
#include "entryd/forwarder.h"

struct frontend;

/*
 * Borrows every argument but out. Returns 0, PST_ERR_NOMEM, _HTTP or _THREAD.
 */
int frontend_start(struct frontend **out, const struct settings *set,
		   const struct clk *clk, struct router *router,
		   struct forwarder *forwarder, struct tkt_agent *ticket);

/*
 * Refuses new ticket requests, and makes each answer from now on ask the caller
 * to close its connection.
 */
void frontend_drain(struct frontend *frontend);

/* Soon accepts no further connection; those accepted are still served. */
void frontend_close_port(struct frontend *frontend);

/* Closes the listener and every connection. */
void frontend_stop(struct frontend *frontend);

#endif
