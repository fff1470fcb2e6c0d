/*
 * The upstream thread: carries requests and answers over libcurl.
 *
 * An answer is passed on as it comes, but its last byte only once the whole
 * answer has arrived and its digest, if stated, agrees. A connection on
 * which an answer was given up is closed. Non-idempotent requests always
 * get a new connection, because libcurl repeats a request by itself when a
 * reused connection closes without a byte.
 */
#ifndef ENTRYD_UPS_H
#define ENTRYD_UPS_H

#include "agent/quota.h"
#include "entryd/req.h"

struct rte;
struct ups;

/* Where a try goes. */
struct ups_target {
	struct strbuf upstream;
	struct strbuf address;
	uint16_t port;
	struct strbuf region;
	/* Regions by index in the table, for the links' limits. */
	uint32_t here;
	uint32_t there;
};

/* Borrows all but out. Returns 0, PST_ERR_NOMEM, _HTTP or _THREAD. */
int ups_start(struct ups **out, const struct settings *set,
	      const struct clk *clk, struct quota_agent *quota,
	      struct rte *rte);
void ups_stop(struct ups *ups);

/*
 * Starts a try; takes its own reference to the request. The result comes
 * through rte_result(), once, unless ups_abort() came first.
 */
void ups_send(struct ups *ups, struct req *req,
	      const struct ups_target *target);

/* Gives up the try in progress and closes its connection. */
void ups_abort(struct ups *ups, struct req *req);

/* Tells that a body has moved, so that a halted transfer may go on. */
void ups_kick(struct ups *ups, struct req *req);

#endif
