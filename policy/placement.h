/*
 * Placement: chooses the upstream that a request is sent to. Pure functions.
 *
 * Designed for: upstreams that run a request much faster when they handled
 * its object recently, and whose slots suffice only if most runs are warm.
 * Each region keeps an object on its primary upstream by rendezvous hashing.
 * Secondary replicas are used only where waiting costs more than a run that
 * is not warm.
 */
#ifndef POLICY_PLACEMENT_H
#define POLICY_PLACEMENT_H

#include "policy/routing.h"
#include "policy/registry.h"
#include "policy/vmset.h"

/* Maximum of earlier attempts that are remembered for one request. */
#define PLACEMENT_MAX_TRIED 8

struct placement_request {
	struct registry_service *svc;
	/* Measured run times of the route. */
	const struct registry_route_stats *run;
	const struct routing_route *route;
	/* Tenant of the request; NULL: none. */
	const struct routing_tenant *tenant;
	/* Manifest entry of svc, for its limits; NULL if there is none. */
	const struct routing_service *limits;
	const struct geo *geo;
	/* Failure domain and region of this VM. */
	int domain;
	int region;
	/* Hash of the object; arbitrary for a request without one. */
	uint64_t object;
	/* Bytes of the request plus the expected bytes of the answer. */
	size_t bytes;
	const struct up *tried[PLACEMENT_MAX_TRIED];
	size_t tried_count;
	/* Evacuated domains, which get no requests, by domain index. */
	const bool *evacuated;
	/* Round-trip times in microseconds, by region index. */
	const apr_interval_time_t *region_rtt;
	/*
	 * Hashes of the names of all listed VMs, and of this VM, listed or
	 * not. They decide which VMs may send to a cold upstream.
	 */
	const uint64_t *vms;
	size_t vm_count;
	uint64_t self;
	/* Differs after a change of vms; 0: unknown. */
	uint64_t vms_version;
	/*
	 * The list of VMs that all VMs know; NULL if this VM's own list may not
	 * be current.
	 */
	const struct vmset *settled;
	/*
	 * Bound on requests to a cold upstream, as in struct pace_rules.
	 * Without it, upstreams have no pace but the fixed rate while they are
	 * cold.
	 */
	double cold_overage;
	double cold_slack;
	apr_time_t now;
};

/* Role of an upstream for an object. */
enum placement_replica {
	/* Not a replica of the object. */
	PLACEMENT_REPLICA_NONE,
	/* Highest rendezvous score in its region; assumed to be warm. */
	PLACEMENT_REPLICA_PRIMARY,
	/* Highest score in this VM's domain. */
	PLACEMENT_REPLICA_LOCAL,
	/* Next-highest score, for when the others are busy. */
	PLACEMENT_REPLICA_SECONDARY,
};

struct placement_pick {
	/* NULL if no upstream may take the request now. */
	struct up *up;
	/* Role of the upstream for the object. */
	enum placement_replica replica;
	/* Expected time to the answer, and the queueing time in it. */
	apr_interval_time_t expected;
	apr_interval_time_t wait;
	/* Expected time if the upstream were warm and idle. */
	apr_interval_time_t best_case;
	/* Time in which the upstream's queue advances by one request. */
	apr_interval_time_t queue_step;
	/*
	 * Time to the answer from which on it is a sign of trouble: that of a
	 * run that isn't warm unless the object is known to be.
	 */
	apr_interval_time_t slow_after;
	/* Estimated load of the upstream, in requests. */
	double load;
	/* Age of the upstream's load report; negative if there is none. */
	apr_interval_time_t report_age;
	/* Whether the report was shared by another VM. */
	bool report_shared;
	/* Last reported speed of the upstream, in percent; 0: unknown. */
	unsigned speed;
	/* Age of that report, and whether another VM shared it. */
	apr_interval_time_t speed_age;
	bool speed_shared;
	/* upspeed_factor() in the expected times. */
	double speed_factor;
	/* Number of candidates that were compared. */
	unsigned weighed;
};

/*
 * Chooses the upstream of least cost in the first region, in the order of
 * spillover_order(), that has one which may take the request.
 */
void placement_choose(const struct placement_request *ask,
		      struct placement_pick *out);

/*
 * Estimates, from what this VM knows, the time in microseconds until the
 * service has room. It is told to a caller that is refused now.
 */
apr_interval_time_t placement_retry_after(const struct placement_request *ask);

/* Whether upstreams are paced by their responses. */
bool placement_has_pace(const struct placement_request *ask);

/*
 * Records in the upstream's pace that a request is sent to it. Must be called
 * when a request is sent to the chosen upstream.
 */
void placement_spend_pace(const struct placement_request *ask, struct up *up);

#endif
