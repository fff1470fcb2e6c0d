#include "policy/placement.h"

#include <math.h>
#include <string.h>

#include "policy/spillover.h"

/*
 * Number of upstreams in a region, and in this VM's domain, that one object
 * may run on. Upstreams keep few objects: if requests were spread over all of
 * them when slots are short, every run would be cold and slots shorter still.
 */
#define REGION_REPLICAS 2
#define DOMAIN_REPLICAS 2

/* Time constant of the decay of an upstream's latency ratio and failure rate.
 */
#define HEALTH_DECAY_US 4e6

/* Cost of an upstream that is neither the primary nor the local replica. */
#define COST_NOT_PRIMARY 0.03

/* Run time assumed before any was measured: a quarter of a second. */
#define DEFAULT_WARM_RUN_US 250000.0

/* Ratio of the run time without a warm object to that with one. */
#define NOT_WARM_FACTOR 3.3

/*
 * Costs are fractions of the value of a request.
 *
 * A late answer has little value. The cost rises from 0 at LATE_COST_START of
 * the latency target to COST_LATE at LATE_COST_END, since expected times are
 * not exact. A small cost proportional to latency separates two good choices.
 */
#define LATE_COST_START 0.6
#define LATE_COST_END	1.3
#define COST_LATE	0.8
#define COST_LATENCY	0.15

/*
 * Cost of occupying a slot that other requests wait for, per run time over
 * latency target, at full load.
 */
#define COST_SLOT_TIME 0.2

/* Cost at a failure rate of 1. */
#define COST_FAILURE 1.0

/* Bytes to another failure domain that cost as much as a request is worth. */
#define CROSS_DOMAIN_BYTES 80000.0

/* Latency target of a route that has none: half a second. */
#define DEFAULT_TARGET_US 500000.0

/*
 * Bounds of the time that a refused caller is told to wait, but for upstreams
 * that have themselves asked for a longer time. The minimum is
 * about one run: a slot becomes free when a run ends, and load reports are no
 * fresher than that.
 */
#define RETRY_AFTER_MIN_US 100000
#define RETRY_AFTER_MAX_US 1000000
#define NO_ROOM_AHEAD	   APR_INT64_MAX

/* Ratio of a time to the expected one from which on it is a sign of trouble. */
#define SLOW_RATIO 1.5

/* Keeps the draws of paces apart from the scores of objects. */
#define PACE_SALT UINT64_C(0x70616365)

/* Combines two hashes with the finaliser of MurmurHash3. */
static uint64_t mix_hashes(uint64_t a, uint64_t b)
{
	uint64_t h = a ^ (b * UINT64_C(0x9e3779b97f4a7c15));

	h = (h ^ (h >> 33)) * UINT64_C(0xff51afd7ed558ccd);
	h = (h ^ (h >> 33)) * UINT64_C(0xc4ceb9fe1a85ec53);
	return h ^ (h >> 33);
}

static bool was_tried(const struct placement_request *ask, const struct up *up)
{
	for (size_t i = 0; i < ask->tried_count; i++) {
		if (ask->tried[i] == up)
			return true;
	}
	return false;
}

static bool is_evacuated(const struct placement_request *ask,
			 const struct up *up)
{
	return up->domain >= 0 && ask->evacuated && ask->evacuated[up->domain];
}

bool placement_has_pace(const struct placement_request *ask)
{
	return ask->cold_overage > 0;
}

/* Number of VMs of a list that come before this one at a cold upstream. */
static size_t vms_ahead(const struct placement_request *ask,
			const struct up *up, const uint64_t *vms, size_t count)
{
	const uint64_t own = mix_hashes(up->hash, ask->self);
	size_t ahead = 0;

	for (size_t i = 0; i < count; i++)
		ahead += mix_hashes(up->hash, vms[i]) > own;
	return ahead;
}

/*
 * Number of VMs that come before this one by the current or the settled list,
 * whichever has more. It is kept in up, since a cold upstream is weighed with
 * each request and there may be hundreds of VMs.
 */
static size_t most_ahead(const struct placement_request *ask, struct up *up)
{
	const struct vmset *settled = ask->settled;
	const apr_time_t settled_version = settled ? settled->of_change : 0;
	size_t by_settled = 0;

	if (ask->vms_version && up->vms_version == ask->vms_version &&
	    up->settled_version == settled_version)
		return up->vms_ahead;
	up->vms_ahead = vms_ahead(ask, up, ask->vms, ask->vm_count);
	if (settled)
		by_settled =
			vms_ahead(ask, up, settled->hashes, settled->count);
	if (by_settled > up->vms_ahead)
		up->vms_ahead = by_settled;
	up->vms_version = ask->vms_version;
	up->settled_version = settled_version;
	return up->vms_ahead;
}

static struct pace_rules pace_rules_of(const struct placement_request *ask,
				       struct up *up)
{
	struct pace_rules rules = {
		.per_s = ask->limits ? ask->limits->cold_per_s : 1,
		.overage = ask->cold_overage,
		.slack = ask->cold_slack,
		.vms = ask->vm_count,
	};

	if (!placement_has_pace(ask)) {
		rules.ahead = vms_ahead(ask, up, ask->vms, ask->vm_count);
		return rules;
	}
	rules.ahead = most_ahead(ask, up);
	if (!ask->settled)
		return rules;
	rules.vms = ask->settled->count;
	rules.is_settled = vmset_has(ask->settled, ask->self);
	return rules;
}

/* Draw of the object at the upstream for its pace, from [0, 1). */
static double pace_draw(const struct placement_request *ask,
			const struct up *up)
{
	return (double)(mix_hashes(up->hash ^ PACE_SALT, ask->object) >> 11) *
	       0x1p-53;
}

/* paced: whether the pace of upstreams that are not cold counts. */
static bool is_candidate(const struct placement_request *ask, struct up *up,
			 bool paced)
{
	struct pace_rules rules;

	if (!up_is_usable(up, ask->now) || was_tried(ask, up))
		return false;
	if (is_evacuated(ask, up))
		return false;
	if (!up_is_cold(up, ask->now))
		return !paced || !placement_has_pace(ask) ||
		       up->pace.reason == PACE_NONE ||
		       pace_allows(&up->pace, pace_draw(ask, up), ask->vm_count,
				   up->svc->trouble, ask->now);
	rules = pace_rules_of(ask, up);
	return pace_allows_cold(&up->pace, &rules, ask->now);
}

void placement_spend_pace(const struct placement_request *ask, struct up *up)
{
	struct pace_rules rules;

	if (!up_is_cold(up, ask->now)) {
		pace_spend_min(&up->pace, pace_draw(ask, up), up->svc->trouble,
			       ask->now);
		return;
	}
	rules = pace_rules_of(ask, up);
	pace_spend_cold(&up->pace, &rules, ask->now);
}

/* Decays a value exponentially towards its resting value. */
static double decayed(double value, double resting, apr_time_t since,
		      apr_time_t now, double time_constant)
{
	return resting +
	       (value - resting) * exp(-(double)(now - since) / time_constant);
}

static double latency_target_of(const struct placement_request *ask)
{
	return ask->route->target_latency > 0
		       ? (double)ask->route->target_latency
		       : DEFAULT_TARGET_US;
}

static double warm_run_time(const struct placement_request *ask)
{
	return ask->run->warm_us > 0 ? ask->run->warm_us : DEFAULT_WARM_RUN_US;
}

/* Cost of a latency, as a fraction of the value of the request. */
static double latency_cost(const struct placement_request *ask, double time)
{
	const double target = latency_target_of(ask);
	double late = (time / target - LATE_COST_START) /
		      (LATE_COST_END - LATE_COST_START);

	if (late < 0)
		late = 0;
	if (late > 1)
		late = 1;
	return COST_LATE * late + COST_LATENCY * time / target;
}

static double estimate_run_time(const struct placement_request *ask,
				const struct up *up,
				enum placement_replica replica)
{
	double run = warm_run_time(ask);

	if (ask->route->sticky && replica != PLACEMENT_REPLICA_PRIMARY &&
	    !up_is_warm_for(up, ask->object, ask->now))
		run *= NOT_WARM_FACTOR;
	if (up_is_cold(up, ask->now))
		run *= 2;
	return run;
}

static apr_interval_time_t slow_after(const struct placement_request *ask,
				      const struct up *up, double speed_factor,
				      double wait)
{
	double run = warm_run_time(ask) * speed_factor;

	if (ask->route->sticky && !up_is_warm_for(up, ask->object, ask->now))
		run *= NOT_WARM_FACTOR;
	return (apr_interval_time_t)(SLOW_RATIO * (run + wait));
}

/* Fills in the pick for an upstream and returns its cost. */
static double estimate_cost(const struct placement_request *ask,
			    const struct up *up, enum placement_replica replica,
			    struct placement_pick *out)
{
	const double latency_ratio =
		decayed(up->latency_ratio, 1, up->latency_ratio_at, ask->now,
			HEALTH_DECAY_US);
	const double failure_rate =
		decayed(up->failure_rate, 0, up->failure_rate_at, ask->now,
			HEALTH_DECAY_US);
	const double load = up_current_load(up, ask->now);
	const double slots = up->slots ? up->slots : 1;
	const double speed_factor = upspeed_factor(&up->speed, ask->now);
	const double slowdown =
		speed_factor * (latency_ratio > 1 ? latency_ratio : 1);
	const double run = slowdown * estimate_run_time(ask, up, replica);
	const double queue_step = slowdown * warm_run_time(ask) / slots;
	const apr_interval_time_t round_trip =
		up->region >= 0 ? ask->region_rtt[up->region] : 0;
	double wait = 0;
	double cost;

	if (load >= slots)
		wait = (load - slots + 1) * queue_step;
	out->load = load;
	out->report_age = up->report_at ? ask->now - up->report_at : -1;
	out->report_shared = up->report_shared;
	out->speed = up->speed.percent;
	out->speed_age = up->speed.percent ? ask->now - up->speed.at : 0;
	out->speed_shared = up->speed_shared;
	out->speed_factor = speed_factor;
	out->replica = replica;
	out->wait = (apr_interval_time_t)wait;
	out->expected = (apr_interval_time_t)(run + wait) + round_trip;
	out->best_case = (apr_interval_time_t)warm_run_time(ask) + round_trip;
	out->queue_step = (apr_interval_time_t)queue_step;
	out->slow_after = slow_after(ask, up, speed_factor, wait) + round_trip;
	cost = latency_cost(ask, (double)out->expected) +
	       failure_rate * COST_FAILURE +
	       COST_SLOT_TIME * run / latency_target_of(ask) *
		       (load < slots ? load / slots : 1);
	if (replica != PLACEMENT_REPLICA_PRIMARY &&
	    replica != PLACEMENT_REPLICA_LOCAL)
		cost += COST_NOT_PRIMARY;
	if (up->domain != ask->domain)
		cost += (double)ask->bytes / CROSS_DOMAIN_BYTES;
	return cost;
}

/* Highest scores in a region and in this VM's domain, in descending order. */
struct top_scores {
	uint64_t region[REGION_REPLICAS];
	uint64_t domain[DOMAIN_REPLICAS];
};

static void insert_score(uint64_t *top, int count, uint64_t score)
{
	for (int i = 0; i < count; i++) {
		if (score > top[i]) {
			const uint64_t lower = top[i];

			top[i] = score;
			score = lower;
		}
	}
}

static void find_top_scores(const struct placement_request *ask, int region,
			    struct top_scores *top)
{
	memset(top, 0, sizeof(*top));
	for (size_t i = 0; i < ask->svc->count; i++) {
		const struct up *up = ask->svc->ups[i];
		const uint64_t score = mix_hashes(up->hash, ask->object);

		if (up->region != region || !up_is_usable(up, ask->now) ||
		    is_evacuated(ask, up))
			continue;
		insert_score(top->region, REGION_REPLICAS, score);
		if (up->domain == ask->domain)
			insert_score(top->domain, DOMAIN_REPLICAS, score);
	}
}

static enum placement_replica replica_of(const struct placement_request *ask,
					 const struct top_scores *top,
					 const struct up *up)
{
	const uint64_t score = mix_hashes(up->hash, ask->object);

	if (score == top->region[0])
		return PLACEMENT_REPLICA_PRIMARY;
	if (up->domain == ask->domain && score == top->domain[0])
		return PLACEMENT_REPLICA_LOCAL;
	if (score >= top->region[REGION_REPLICAS - 1] ||
	    (up->domain == ask->domain &&
	     score >= top->domain[DOMAIN_REPLICAS - 1]))
		return PLACEMENT_REPLICA_SECONDARY;
	return PLACEMENT_REPLICA_NONE;
}

/* Chooses in one region, among its replicas or, if any is set, among all. */
static bool choose_among(const struct placement_request *ask, int region,
			 bool any, bool paced, struct placement_pick *out)
{
	double least_cost = INFINITY;
	struct top_scores top;

	find_top_scores(ask, region, &top);
	for (size_t i = 0; i < ask->svc->count; i++) {
		struct up *up = ask->svc->ups[i];
		const enum placement_replica replica =
			replica_of(ask, &top, up);
		struct placement_pick pick = {.up = up};
		double cost;

		if (up->region != region ||
		    (replica == PLACEMENT_REPLICA_NONE && !any) ||
		    !is_candidate(ask, up, paced))
			continue;
		out->weighed++;
		cost = estimate_cost(ask, up, replica, &pick);
		if (cost < least_cost) {
			pick.weighed = out->weighed;
			*out = pick;
			least_cost = cost;
		}
	}
	return out->up != NULL;
}

/* Prefers replicas of the object to any other upstream of the region. */
static bool choose_region(const struct placement_request *ask, int region,
			  bool paced, struct placement_pick *out)
{
	return (ask->route->sticky &&
		choose_among(ask, region, false, paced, out)) ||
	       choose_among(ask, region, true, paced, out);
}

static bool choose(const struct placement_request *ask, const int *order,
		   bool paced, struct placement_pick *out)
{
	for (int i = 0; i < ask->geo->region_count; i++) {
		if (!routing_allows_region(
			    ask->route, ask->tenant,
			    strbuf_str(&ask->geo->regions[order[i]])))
			continue;
		if (choose_region(ask, order[i], paced, out))
			return true;
	}
	/* Upstreams of an unlisted domain come last. */
	return !routing_has_homes(ask->route, ask->tenant) &&
	       choose_region(ask, GEO_NONE, paced, out);
}

void placement_choose(const struct placement_request *ask,
		      struct placement_pick *out)
{
	int order[GEO_MAX_REGIONS];

	*out = (struct placement_pick){0};
	spillover_order(ask->svc, ask->geo, ask->object, order);
	/* An upstream that is slow to start is better than none. */
	if (!choose(ask, order, true, out) && placement_has_pace(ask))
		choose(ask, order, false, out);
}

/* Whether placement_choose() looks at the upstream's region at all. */
static bool is_in_allowed_region(const struct placement_request *ask,
				 const struct up *up)
{
	if (up->region < 0)
		return !routing_has_homes(ask->route, ask->tenant);
	return routing_allows_region(
		ask->route, ask->tenant,
		strbuf_str(&ask->geo->regions[up->region]));
}

/*
 * Time until an upstream has room, the time ends for which it wants no request,
 * or its ejection after failures ends; NO_ROOM_AHEAD if none of these is known.
 */
static apr_interval_time_t time_until_room(const struct placement_request *ask,
					   const struct up *up)
{
	const double load = up_current_load(up, ask->now);
	const double slots = up->slots ? up->slots : 1;
	apr_interval_time_t room = 0;

	if (up->state != UP_READY || is_evacuated(ask, up) ||
	    !is_in_allowed_region(ask, up))
		return NO_ROOM_AHEAD;
	if (up->quiet_until > ask->now)
		return up->quiet_until - ask->now;
	if (up->ejected_until > ask->now)
		room = up->ejected_until - ask->now;
	else if (load >= slots)
		room = (apr_interval_time_t)((load - slots + 1) / slots *
					     warm_run_time(ask));
	return room < RETRY_AFTER_MAX_US ? room : RETRY_AFTER_MAX_US;
}

/* Whether this VM's region has upstreams of the service that take requests. */
static bool has_local_upstreams(const struct placement_request *ask)
{
	for (size_t i = 0; i < ask->svc->count; i++) {
		const struct up *up = ask->svc->ups[i];

		if (up->region == ask->region && up_accepts(up, ask->now) &&
		    !is_evacuated(ask, up) && is_in_allowed_region(ask, up))
			return true;
	}
	return false;
}

apr_interval_time_t placement_retry_after(const struct placement_request *ask)
{
	const bool local_only = has_local_upstreams(ask);
	apr_interval_time_t shortest = NO_ROOM_AHEAD;

	for (size_t i = 0; i < ask->svc->count; i++) {
		const struct up *up = ask->svc->ups[i];

		if ((!local_only || up->region == ask->region) &&
		    time_until_room(ask, up) < shortest)
			shortest = time_until_room(ask, up);
	}
	if (shortest == NO_ROOM_AHEAD)
		return RETRY_AFTER_MAX_US;
	return shortest > RETRY_AFTER_MIN_US ? shortest : RETRY_AFTER_MIN_US;
}
