/* State of one request, shared by the modules that handle it. */
#ifndef STEERD_FLOW_STATE_H
#define STEERD_FLOW_STATE_H

#include "policy/placement.h"
#include "steerd/accounts.h"
#include "steerd/refuse.h"
#include "steerd/st.h"

/* Time after the time-out in which an answer in transit is still accepted. */
#define FLOW_LATE_GRACE_US 100000

/* Delay after which a VM without a manifest may have one. */
#define FLOW_NO_TABLE_RETRY_US (APR_USEC_PER_SEC / 2)

struct flow {
	struct st *st;
	struct srv_req *req;
	struct routing *routing;
	const struct routing_route *route;
	/* Tenant of the caller's key; NULL: none. Held by routing. */
	const struct routing_tenant *tenant;
	/* Rank of the request, by its tenant and its route. */
	unsigned rank;
	const struct routing_service *limits;
	struct registry_service *svc;
	struct registry_route_stats *run;
	struct request_meta marks;
	uint64_t object;
	/* When the request is answered with a time-out. */
	apr_time_t expires_at;
	struct ev_timer timer;
	struct upclient_call call;
	struct buf head;
	struct placement_pick pick;
	/* Use of the service by the tenant, as admission saw it. */
	struct fairshare_use use;
	struct up *tried[PLACEMENT_MAX_TRIED];
	size_t tried_count;
	/* Attempts that reached no upstream. */
	unsigned unsent;
	/* Attempts that may have reached an upstream. */
	unsigned attempts_made;
	/* Waits for a permit of the tenant; has got one. */
	struct accounts_wait permit_wait;
	bool has_permit;
	/* An attempt has begun that has not ended. */
	bool in_attempt;
	/* An upstream may have run the request. */
	bool may_have_run;
};

/* Rules of the retry budget, with this VM's part of it. */
struct retrycap_rules flow_retry_rules(const struct st *st);

/* The caller's id of the request, cut for a log line. */
struct str flow_log_id(const struct flow *flow);

/*
 * Whether the key that the request was admitted with still has this tenant in
 * the manifest in force, or keys have no meaning there; else the cause of
 * refusal: REFUSE_UNKNOWN_KEY only where that manifest would refuse the request
 * if it were sent again.
 */
bool flow_keeps_tenant(const struct flow *flow, enum refuse_cause *cause);

/* Answers with a refusal or failure of this VM's own, and frees the flow. */
void flow_refuse(struct flow *flow, enum refuse_cause cause,
		 apr_interval_time_t retry_after);

/* Forwards a complete answer unchanged, and frees the flow. */
void flow_answer(struct flow *flow, const struct msg *answer);

#endif
