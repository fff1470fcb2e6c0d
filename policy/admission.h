/*
 * Admission: decides which requests may join the queue of an upstream. Pure
 * functions.
 *
 * Designed for: more requests than the slots can run in time, and floods of
 * less urgent ones. Upstreams run requests in order of arrival, so a waiting
 * request delays all that arrive after it. Queues are reserved for requests
 * that can still be answered within their latency target. A request that
 * cannot takes a slot that is free or soon will be, and one that yields to a
 * more urgent rank takes a free slot only. Where there is none, the request
 * is refused at once with a time after which to retry. While requests are
 * late, one whose tenant has its share of the service takes a free slot only.
 */
#ifndef POLICY_ADMISSION_H
#define POLICY_ADMISSION_H

#include "policy/placement.h"

enum admission_verdict {
	ADMISSION_SEND,
	/* The answer would be late, and no slot is free. */
	ADMISSION_LATE,
	/* More urgent requests are late, and too few slots are free. */
	ADMISSION_YIELD,
	/* Requests are late, the tenant has its share, few slots are free. */
	ADMISSION_OVER_SHARE,
};

struct admission_input {
	/* Time within which an answer has its full value; 0 if not set. */
	apr_interval_time_t latency_target;
	/* Time since the request arrived. */
	apr_interval_time_t waited;
	/* Expected time to the answer, and that of a warm, idle upstream. */
	apr_interval_time_t expected;
	apr_interval_time_t best_case;
	/*
	 * Requests and slots of the upstream, and the time in which its queue
	 * advances by one request.
	 */
	double load;
	double slots;
	apr_interval_time_t queue_step;
	/* Result of rankstats_yields() for the rank of the request. */
	bool must_yield;
	/* Requests are late, and the tenant of this one has its share. */
	bool is_over_share;
	/* See struct fairshare_use; counts with is_over_share only. */
	double free_factor;
};

/* Whether the answer is expected after the latency target. */
bool admission_is_late(const struct admission_input *in);

/*
 * Decides on a request. *retry_after is the time in microseconds until there
 * may be room, or 0 with ADMISSION_SEND.
 */
enum admission_verdict admission_decide(const struct admission_input *in,
					apr_interval_time_t *retry_after);

/* A request for which an upstream was chosen. */
struct admission_request {
	const struct routing_route *route;
	/* Rank of the request, which its tenant may set. */
	unsigned rank;
	/* Hash of the tenant's name, 0 for none. */
	uint64_t tenant;
	/* The chosen upstream, not NULL, and its estimates. */
	const struct placement_pick *pick;
	/* Time since the request arrived. */
	apr_interval_time_t waited;
	/* Whether this is a retry, which was counted before. */
	bool is_retry;
	/* Shares of the service; NULL: its tenants have none. */
	struct fairshare *shares;
	/*
	 * Set to the tenant's use and share unless NULL or a retry.
	 */
	struct fairshare_use *use;
};

/*
 * Counts the request in its rank and for its tenant, then decides as
 * admission_decide().
 */
enum admission_verdict
admission_request(struct rankstats *ranks,
		  const struct admission_request *request, apr_time_t now,
		  apr_interval_time_t *retry_after);

#endif
