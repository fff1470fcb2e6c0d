#include "policy/plc.h"

#include <math.h>
#include <string.h>

#include "policy/spl.h"

/*
 * Upstreams of a region, and of this VM's domain, that one object may run on.
 * Upstreams keep few objects: were all of them taken in turn when slots are
 * short, every run would be cold, and slots shorter still.
 */
#define REGION_COPIES 2
#define DOMAIN_COPIES 2

/* Of an upstream that is not the first of its domain for the object. */
#define COST_OTHER 0.03

/* A run time before any was seen: a quarter of a second. */
#define FIRST_WARM_US 250000.0

/* Run time of a request whose object is not warm, over that of a warm one. */
#define NOT_WARM 3.3

/*
 * Costs, as parts of a request's worth.
 *
 * An answer that comes late earns little: the cost rises from 0 at LATE_FROM
 * of the aim to COST_LATE at LATE_TO, since expected times are not exact. A
 * small cost of time itself tells two good choices apart.
 */
#define LATE_FROM 0.6
#define LATE_TO	  1.3
#define COST_LATE 0.8
#define COST_TIME 0.15

/* Slots that others then wait for: per time used over the aim, when busy. */
#define COST_SLOT 0.2

/* Of a failure that is to be expected. */
#define COST_FAIL 1.0

/* Bytes to another failure domain that cost as much as a whole request. */
#define BYTES_WORTH 80000.0

/* A request whose route states no aim: half a second. */
#define DEFAULT_AIM 500000.0

/*
 * Least and longest time that a refused caller is told to wait. The least is
 * about a run: room comes when one ends, and reports are no fresher.
 */
#define BACK_LEAST 100000
#define BACK_MOST  1000000

/* VMs that may send to one cold upstream, and the part of its rate used. */
#define COLD_VMS  2
#define COLD_PART 0.8

/* Bits of two hashes, mixed (the finaliser of MurmurHash3). */
static uint64_t mix(uint64_t a, uint64_t b)
{
	uint64_t h = a ^ (b * UINT64_C(0x9e3779b97f4a7c15));

	h = (h ^ (h >> 33)) * UINT64_C(0xff51afd7ed558ccd);
	h = (h ^ (h >> 33)) * UINT64_C(0xc4ceb9fe1a85ec53);
	return h ^ (h >> 33);
}

static bool was_tried(const struct plc_ask *ask, const struct up *up)
{
	for (size_t i = 0; i < ask->tried_count; i++) {
		if (ask->tried[i] == up)
			return true;
	}
	return false;
}

static bool is_evacuated(const struct plc_ask *ask, const struct up *up)
{
	return up->domain >= 0 && ask->evacuated && ask->evacuated[up->domain];
}

/* Whether this VM is one of the few whose turn the cold upstream is. */
static bool has_turn(const struct plc_ask *ask, const struct up *up)
{
	const uint64_t own = mix(up->hash, ask->self);
	unsigned before = 0;

	for (size_t i = 0; i < ask->vm_count; i++)
		before += mix(up->hash, ask->vms[i]) > own;
	return before < COLD_VMS;
}

static double cold_tokens(const struct plc_ask *ask, const struct up *up)
{
	const double per_s = ask->limits ? ask->limits->cold_per_s : 1;
	const double filled =
		up->cold_tokens + COLD_PART * per_s / COLD_VMS *
					  (double)(ask->now - up->cold_at) /
					  (double)APR_USEC_PER_SEC;

	return filled < 1 ? filled : 1;
}

static bool may_take(const struct plc_ask *ask, const struct up *up)
{
	if (!upl_usable(up, ask->now) || was_tried(ask, up))
		return false;
	if (is_evacuated(ask, up))
		return false;
	if (!upl_cold(up, ask->now))
		return true;
	return cold_tokens(ask, up) >= 1 && has_turn(ask, up);
}

void plc_take(const struct plc_ask *ask, struct up *up)
{
	if (!upl_cold(up, ask->now))
		return;
	up->cold_tokens = cold_tokens(ask, up) - 1;
	up->cold_at = ask->now;
}

static double fading(double value, double rest, apr_time_t since,
		     apr_time_t now, double span)
{
	return rest + (value - rest) * exp(-(double)(now - since) / span);
}

static double aim_of(const struct plc_ask *ask)
{
	return ask->route->aim > 0 ? (double)ask->route->aim : DEFAULT_AIM;
}

static double warm_of(const struct plc_ask *ask)
{
	return ask->run->warm_us > 0 ? ask->run->warm_us : FIRST_WARM_US;
}

/* What a time costs, as part of the request's worth. */
static double time_cost(const struct plc_ask *ask, double time)
{
	const double aim = aim_of(ask);
	double late = (time / aim - LATE_FROM) / (LATE_TO - LATE_FROM);

	if (late < 0)
		late = 0;
	if (late > 1)
		late = 1;
	return COST_LATE * late + COST_TIME * time / aim;
}

static double run_time(const struct plc_ask *ask, const struct up *up,
		       enum plc_copy copy)
{
	double run = warm_of(ask);

	if (ask->route->sticky && copy != PLC_COPY_FIRST &&
	    !upl_remembers(up, ask->object, ask->now))
		run *= NOT_WARM;
	if (upl_cold(up, ask->now))
		run *= 2;
	return run;
}

/* Fills in the pick of an upstream; returns its cost. */
static double weigh(const struct plc_ask *ask, const struct up *up,
		    enum plc_copy copy, struct plc_pick *out)
{
	const double pace = fading(up->pace, 1, up->pace_at, ask->now, 4e6);
	const double fail = fading(up->fail, 0, up->fail_at, ask->now, 4e6);
	const double load = upl_load_now(up, ask->now);
	const double slots = up->slots ? up->slots : 1;
	const double slow = pace > 1 ? pace : 1;
	const double run = slow * run_time(ask, up, copy);
	const double turn = slow * warm_of(ask) / slots;
	const apr_interval_time_t way =
		up->region >= 0 ? ask->distance[up->region] : 0;
	double wait = 0;
	double cost;

	if (load >= slots)
		wait = (load - slots + 1) * turn;
	out->load = load;
	out->report_age = up->report_at ? ask->now - up->report_at : -1;
	out->report_shared = up->report_shared;
	out->copy = copy;
	out->wait = (apr_interval_time_t)wait;
	out->expected = (apr_interval_time_t)(run + wait) + way;
	out->least = (apr_interval_time_t)warm_of(ask) + way;
	out->turn = (apr_interval_time_t)turn;
	cost = time_cost(ask, (double)out->expected) + fail * COST_FAIL +
	       COST_SLOT * run / aim_of(ask) *
		       (load < slots ? load / slots : 1);
	if (copy != PLC_COPY_FIRST && copy != PLC_COPY_NEAR)
		cost += COST_OTHER;
	if (up->domain != ask->domain)
		cost += (double)ask->bytes / BYTES_WORTH;
	return cost;
}

/* The best scores in a region and in this VM's domain, highest first. */
struct best {
	uint64_t region[REGION_COPIES];
	uint64_t domain[DOMAIN_COPIES];
};

static void note_best(uint64_t *best, int count, uint64_t score)
{
	for (int i = 0; i < count; i++) {
		if (score > best[i]) {
			const uint64_t lower = best[i];

			best[i] = score;
			score = lower;
		}
	}
}

static void find_best(const struct plc_ask *ask, int region, struct best *best)
{
	memset(best, 0, sizeof(*best));
	for (size_t i = 0; i < ask->svc->count; i++) {
		const struct up *up = ask->svc->ups[i];
		const uint64_t score = mix(up->hash, ask->object);

		if (up->region != region || !upl_usable(up, ask->now) ||
		    is_evacuated(ask, up))
			continue;
		note_best(best->region, REGION_COPIES, score);
		if (up->domain == ask->domain)
			note_best(best->domain, DOMAIN_COPIES, score);
	}
}

static enum plc_copy copy_of(const struct plc_ask *ask, const struct best *best,
			     const struct up *up)
{
	const uint64_t score = mix(up->hash, ask->object);

	if (score == best->region[0])
		return PLC_COPY_FIRST;
	if (up->domain == ask->domain && score == best->domain[0])
		return PLC_COPY_NEAR;
	if (score >= best->region[REGION_COPIES - 1] ||
	    (up->domain == ask->domain &&
	     score >= best->domain[DOMAIN_COPIES - 1]))
		return PLC_COPY_LATER;
	return PLC_COPY_NONE;
}

/* Chooses in one region; among those that are no copies only if any. */
static bool choose_in(const struct plc_ask *ask, int region, bool any,
		      struct plc_pick *out)
{
	double least = INFINITY;
	struct best best;

	find_best(ask, region, &best);
	for (size_t i = 0; i < ask->svc->count; i++) {
		struct up *up = ask->svc->ups[i];
		const enum plc_copy copy = copy_of(ask, &best, up);
		struct plc_pick pick = {.up = up};
		double cost;

		if (up->region != region || !may_take(ask, up) ||
		    (copy == PLC_COPY_NONE && !any))
			continue;
		out->weighed++;
		cost = weigh(ask, up, copy, &pick);
		if (cost < least) {
			pick.weighed = out->weighed;
			*out = pick;
			least = cost;
		}
	}
	return out->up != NULL;
}

/* As choose_in(), the object's copies before any other upstream. */
static bool choose_region(const struct plc_ask *ask, int region,
			  struct plc_pick *out)
{
	return (ask->route->sticky && choose_in(ask, region, false, out)) ||
	       choose_in(ask, region, true, out);
}

void plc_choose(const struct plc_ask *ask, struct plc_pick *out)
{
	int order[GEO_MAX_REGIONS];

	*out = (struct plc_pick){0};
	spl_order(ask->svc, ask->geo, ask->object, order);
	for (int i = 0; i < ask->geo->region_count; i++) {
		if (!rtm_allows_region(
			    ask->route,
			    strbuf_str(&ask->geo->regions[order[i]])))
			continue;
		if (choose_region(ask, order[i], out))
			return;
	}
	/* Entries of an unlisted domain come last. */
	if (!ask->route->home_count)
		choose_region(ask, GEO_NONE, out);
}

/* Time until an upstream has room, or is tried again after failures. */
static apr_interval_time_t room_after(const struct plc_ask *ask,
				      const struct up *up)
{
	const double load = upl_load_now(up, ask->now);
	const double slots = up->slots ? up->slots : 1;

	if (up->state != UPL_READY || is_evacuated(ask, up))
		return BACK_MOST;
	if (up->shut_until > ask->now)
		return up->shut_until - ask->now;
	if (load < slots)
		return 0;
	return (apr_interval_time_t)((load - slots + 1) / slots * warm_of(ask));
}

/* Whether the own region has upstreams of the service that take work. */
static bool served_at_home(const struct plc_ask *ask)
{
	for (size_t i = 0; i < ask->svc->count; i++) {
		const struct up *up = ask->svc->ups[i];

		if (up->region == ask->region && up->state == UPL_READY &&
		    !is_evacuated(ask, up))
			return true;
	}
	return false;
}

apr_interval_time_t plc_come_back(const struct plc_ask *ask)
{
	const bool home = served_at_home(ask);
	apr_interval_time_t best = BACK_MOST;

	for (size_t i = 0; i < ask->svc->count; i++) {
		const struct up *up = ask->svc->ups[i];

		if ((!home || up->region == ask->region) &&
		    room_after(ask, up) < best)
			best = room_after(ask, up);
	}
	return best > BACK_LEAST ? best : BACK_LEAST;
}
