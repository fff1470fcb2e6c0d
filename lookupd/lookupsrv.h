/*
 * HTTP server of pst-lookupd.
 *
 * Threads of libmicrohttpd answer from a snapshot, which a separate thread
 * rebuilds when the view of pst-controld changes. Without a fresh view the
 * last snapshot stays in use.
 */
#ifndef LOOKUPD_LOOKUPSRV_H
#define LOOKUPD_LOOKUPSRV_H

#include "agent/ctl.h"

struct lookupsrv;

/*
 * Borrows set, clk and ctl. Returns 0, PST_ERR_NOMEM, PST_ERR_THREAD,
 * PST_ERR_IO when the port cannot be bound, or PST_ERR_HTTP.
 */
int lookupsrv_start(struct lookupsrv **out, const struct settings *set,
		    const struct clk *clk, struct ctl_agent *ctl);

/*
 * Stops accepting connections, waits at most timeout until every look-up in
 * progress is answered, then stops. Open connections first have half a second
 * for another look-up, whose answer closes them. NULL is allowed.
 */
void lookupsrv_stop(struct lookupsrv *lookupsrv, apr_interval_time_t timeout);

#endif
