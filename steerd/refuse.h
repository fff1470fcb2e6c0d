/* Refusals and failures that this VM answers, as problem details (RFC 9457). */
#ifndef STEERD_REFUSE_H
#define STEERD_REFUSE_H

#include <apr_time.h>

#include "steerd/srv.h"

enum refuse_cause {
	/* The request was not run and will not be. */
	REFUSE_NO_TABLE,
	REFUSE_NO_ROOM,
	REFUSE_SHED,
	REFUSE_LATE,
	/* No slot is free, and it would be late or yields to other ranks. */
	REFUSE_PAST_AIM,
	REFUSE_YIELDS,
	/* No slot is free, others are late, and its tenant has its share. */
	REFUSE_OVER_SHARE,
	REFUSE_STOPPING,
	REFUSE_UNREAD,
	REFUSE_NO_ROUTE,
	/* No key, or one that no tenant has. */
	REFUSE_UNKNOWN_KEY,
	/* Its key changed tenant, or lost it, while the request waited. */
	REFUSE_TENANT_CHANGED,
	/* No region is a home of both the route and the tenant. */
	REFUSE_NO_REGION,
	/* The tenant is over its limit, or no account of it answers. */
	REFUSE_OVER_LIMIT,
	REFUSE_NO_ALLOWANCE,
	/* The request may have been run. */
	REFUSE_UPSTREAM,
	REFUSE_TIMEOUT,
};

unsigned refuse_status(enum refuse_cause cause);
const char *refuse_name(enum refuse_cause cause);

/*
 * Answers the request, which must not be used afterwards. No Retry-After is
 * sent if retry_after is 0.
 */
void refuse_send(struct srv_req *req, enum refuse_cause cause,
		 apr_interval_time_t retry_after);

#endif
