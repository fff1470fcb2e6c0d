/*
 * The listener for callers. A connection stays here until the head of its first
 * request is complete and well-formed, and is then handed to libmicrohttpd; the
 * head is only peeked at, so its bytes stay in the socket.
 *
 * A head that is malformed, too large or too slow is answered here, because
 * libmicrohttpd answers in HTML or not at all. When entry.max_connections is
 * reached, the connection that has waited longest for its head is closed first.
 */
#ifndef ENTRYD_ACCEPTOR_H
#define ENTRYD_ACCEPTOR_H

#include "entryd/callers.h"

struct acceptor;

/*
 * Listens on entry.port and starts the thread, which also calls callers_scan().
 * Borrows every argument but out. Returns 0, PST_ERR_NOMEM, PST_ERR_HTTP or
 * PST_ERR_THREAD.
 */
int acceptor_start(struct acceptor **out, const struct settings *set,
		   const struct clk *clk, struct callers *callers,
		   struct MHD_Daemon *daemon);

/* Soon accepts no further connection; those accepted stay. */
void acceptor_close_port(struct acceptor *acceptor);

/*
 * Closes the port and the connections not yet handed over. To be called before
 * the daemon stops.
 */
void acceptor_stop(struct acceptor *acceptor);

#endif
