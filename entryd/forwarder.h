/*
 * The upstream thread: forwards requests and answers with libcurl.
 *
 * An answer is forwarded as it arrives, except that its last byte is held back
 * until the whole answer has arrived and matches its digest, if stated. A
 * connection on which an answer was abandoned is closed. Non-idempotent
 * requests always use a new connection, because libcurl repeats a request by
 * itself when a reused connection closes before the first byte of an answer.
 */
#ifndef ENTRYD_FORWARDER_H
#define ENTRYD_FORWARDER_H

#include "agent/quota.h"
#include "entryd/req.h"

struct router;
struct forwarder;

/* Destination of an attempt. */
struct forwarder_target {
	struct strbuf upstream;
	struct strbuf address;
	uint16_t port;
	struct strbuf upstream_region_name;
	/* Indices of regions in the table, for the limits of the link. */
	uint32_t local_region;
	uint32_t upstream_region;
};

/*
 * Borrows every argument but out. Returns 0, PST_ERR_NOMEM, _HTTP or _THREAD.
 */
int forwarder_start(struct forwarder **out, const struct settings *set,
		    const struct clk *clk, struct quota_agent *quota,
		    struct router *router);
void forwarder_stop(struct forwarder *forwarder);

/*
 * Starts an attempt; takes its own reference to the request. The result is
 * delivered once through router_attempt_ended(), unless forwarder_cancel()
 * comes first.
 */
void forwarder_send(struct forwarder *forwarder, struct req *req,
		    const struct forwarder_target *target);

/* Cancels the attempt in progress and closes its connection. */
void forwarder_cancel(struct forwarder *forwarder, struct req *req);

/* Resumes a paused transfer, after bytes of a body were read or written. */
void forwarder_resume(struct forwarder *forwarder, struct req *req);

#endif
