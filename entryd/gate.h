/*
 * The callers' port. A connection waits here until the head of its first
 * request has come whole and well-formed, and is then handed to
 * libmicrohttpd; the bytes stay in the socket until then.
 *
 * A head that is malformed, too large or too slow is answered here, because
 * libmicrohttpd answers in HTML or not at all. When entry.max_connections is
 * reached, the connection that has owed its head longest is closed first.
 */
#ifndef ENTRYD_GATE_H
#define ENTRYD_GATE_H

#include "entryd/pac.h"

struct gat;

/*
 * Listens on entry.port and starts the thread, which also calls pac_scan().
 * Borrows all but out. Returns 0, PST_ERR_NOMEM, PST_ERR_HTTP or
 * PST_ERR_THREAD.
 */
int gat_start(struct gat **out, const struct settings *set,
	      const struct clk *clk, struct pac *pac,
	      struct MHD_Daemon *daemon);

/* Closes the port and the connections that wait; before the daemon stops. */
void gat_stop(struct gat *gat);

#endif
