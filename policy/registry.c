#include "policy/registry.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <apr_strings.h>

#include "common/err.h"
#include "policy/registry_words.h"

/* Time in which a load report loses two thirds of its weight. */
#define REPORT_DECAY_US 1000000.0

/* Time constant of the decay of the latency ratio and the failure rate. */
#define HEALTH_DECAY_US 4000000.0

/* Weights of a new sample in the smoothed averages. */
#define LATENCY_GAIN	  0.25
#define FAILURE_GAIN	  0.2
#define LATENCY_RATIO_MAX 10.0

/*
 * Weights of a run time below and above the average. Short ones weigh ten
 * times as much, so that the average approaches that of a warm run.
 */
#define RUN_TIME_GAIN_DOWN 0.1
#define RUN_TIME_GAIN_UP   0.01

/* Time for which an object is assumed to be warm after a request. */
#define OBJECT_WARM_S 15

/*
 * Maximum delays until a restart of an upstream is listed, and until it
 * reports that it is cold, which it does with a heartbeat.
 */
#define RESTART_DELAY_US 800000
#define COLD_DELAY_US	 3000000

/* First ejection after a failure, and how often its duration may double. */
#define EJECTION_MIN_US	       200000
#define EJECTION_MAX_DOUBLINGS 4

/*
 * Time over which an upstream gets its full share that has started or returned
 * and has not stated that it is cold.
 */
#define RETURN_PERIOD_US 1000000

/*
 * Upstreams that are listed so soon after the first one of their service were
 * there before this VM's list was read.
 */
#define FIRST_LIST_US 5000000

/* Longest time over which the ends of quiet times are spread. */
#define QUIET_SPREAD_MAX_US 1000000

static void up_release(struct ref *ref)
{
	free(REF_CONTAINER(ref, struct up, ref));
}

void registry_init(struct registry *registry, apr_pool_t *pool,
		   const struct geo *geo)
{
	*registry = (struct registry){
		.pool = pool,
		.geo = geo,
		.by_id = apr_hash_make(pool),
		.services = apr_hash_make(pool),
	};
}

struct up *registry_find(const struct registry *registry, struct str id)
{
	return apr_hash_get(registry->by_id, id.ptr, (apr_ssize_t)id.len);
}

struct registry_service *registry_find_service(const struct registry *registry,
					       struct str name)
{
	return apr_hash_get(registry->services, name.ptr,
			    (apr_ssize_t)name.len);
}

static struct registry_service *
find_or_add_service(struct registry *registry, struct str name, apr_time_t now)
{
	struct registry_service *svc = registry_find_service(registry, name);

	if (svc)
		return svc;
	svc = apr_pcalloc(registry->pool, sizeof(*svc));
	if (!svc || strbuf_set(&svc->name, name))
		return NULL;
	svc->runs = apr_hash_make(registry->pool);
	svc->since = now;
	apr_hash_set(registry->services, svc->name.ptr, svc->name.len, svc);
	return svc;
}

static int svc_add(struct registry_service *svc, struct up *up)
{
	if (svc->count == svc->cap) {
		const size_t cap = svc->cap ? 2 * svc->cap : 16;
		struct up **ups = realloc(svc->ups, cap * sizeof(struct up *));

		if (!ups)
			return PST_ERR_NOMEM;
		svc->ups = ups;
		svc->cap = cap;
	}
	svc->ups[svc->count++] = up;
	return 0;
}

static void drop(struct registry *registry, struct up *up)
{
	struct registry_service *svc = up->svc;

	registry_words_add(registry, up);
	for (size_t i = 0; i < svc->count; i++) {
		if (svc->ups[i] == up) {
			svc->ups[i] = svc->ups[--svc->count];
			break;
		}
	}
	apr_hash_set(registry->by_id, up->id.ptr, up->id.len, NULL);
	up->state = UP_GONE;
	if (registry->dropped)
		registry->dropped(registry->ctx, up);
	ref_put(&up->ref);
}

void registry_done(struct registry *registry)
{
	for (apr_hash_index_t *i = apr_hash_first(NULL, registry->by_id); i;
	     i = apr_hash_next(i))
		drop(registry, apr_hash_this_val(i));
	for (apr_hash_index_t *i = apr_hash_first(NULL, registry->services); i;
	     i = apr_hash_next(i)) {
		struct registry_service *svc = apr_hash_this_val(i);

		free(svc->ups);
		svc->ups = NULL;
		svc->cap = 0;
	}
}

/* The state of an upstream by its entry and its own word. */
static enum up_state state_of(const struct up *up,
			      const struct registry_entry *entry)
{
	return up->leaving ? UP_DRAINING : entry->state;
}

/* Starts the pace of an upstream that has turned cold. */
static void update_cold(struct up *up, apr_interval_time_t cold_for,
			apr_time_t now)
{
	const bool was_cold = up->cold_until > now;

	up->cold_until = cold_for ? now + cold_for : 0;
	if (cold_for && !was_cold)
		pace_start(&up->pace, PACE_COLD, cold_for, now);
	/* The share rises from the end of the cold start on. */
	if (cold_for)
		up->pace.level_at = up->cold_until;
	else if (was_cold && up->pace.level_at > now)
		up->pace.level_at = now;
}

static void update(struct up *up, const struct registry_entry *entry,
		   apr_time_t now)
{
	up->state = state_of(up, entry);
	up->seq = entry->seq;
	up->slots = entry->slots;
	up->revision = entry->revision;
	up->hold_until = 0;
	update_cold(up, entry->cold_for, now);
}

static int add(struct registry *registry, const struct registry_entry *entry,
	       apr_time_t now)
{
	struct registry_service *svc =
		find_or_add_service(registry, entry->service, now);
	struct up *up;

	up = svc ? calloc(1, sizeof(*up)) : NULL;
	if (!up)
		return PST_ERR_NOMEM;
	ref_init(&up->ref, up_release);
	up->svc = svc;
	up->hash = str_hash(entry->id, 0);
	up->addr = entry->addr;
	up->born_ms = entry->born_ms;
	up->domain = geo_domain(registry->geo, entry->domain);
	up->region = geo_region_of(registry->geo, up->domain);
	up->latency_ratio = 1;
	registry_words_apply(registry, up);
	if (now - svc->since > FIRST_LIST_US)
		pace_start(&up->pace, PACE_STARTED, RETURN_PERIOD_US, now);
	update(up, entry, now);
	if (strbuf_set(&up->id, entry->id) || svc_add(svc, up)) {
		free(up);
		return PST_ERR_NOMEM;
	}
	apr_hash_set(registry->by_id, up->id.ptr, up->id.len, up);
	return REGISTRY_ADDED;
}

static bool same_incarnation(const struct up *up,
			     const struct registry_entry *entry)
{
	return up->born_ms == entry->born_ms &&
	       str_eq(strbuf_str(&up->svc->name), entry->service) &&
	       registry_same_addr(&up->addr, &entry->addr);
}

/* Whether the entry is older than what is known, by its writer's own count. */
static bool is_outdated(const struct registry *registry, const struct up *up,
			const struct registry_entry *entry)
{
	if (!up)
		return registry_words_removed(registry, entry);
	if (same_incarnation(up, entry))
		return entry->seq < up->seq;
	return entry->born_ms < up->born_ms;
}

void registry_note_restore(struct registry *registry)
{
	for (apr_hash_index_t *i = apr_hash_first(NULL, registry->by_id); i;
	     i = apr_hash_next(i)) {
		struct up *up = apr_hash_this_val(i);

		up->revision = 0;
	}
	registry->restored = true;
}

int registry_put(struct registry *registry, const struct registry_entry *entry,
		 apr_time_t now)
{
	struct up *up = registry_find(registry, entry->id);
	int change;

	if (registry->restored && is_outdated(registry, up, entry)) {
		/* It is listed, so it need not be held. */
		if (up)
			up->hold_until = 0;
		return REGISTRY_SAME;
	}
	if (!up)
		return add(registry, entry, now);
	if (entry->revision < up->revision)
		return REGISTRY_SAME;
	if (!same_incarnation(up, entry)) {
		registry_words_note_removed(registry, up);
		drop(registry, up);
		change = add(registry, entry, now);
		return change < 0 ? change : REGISTRY_RESTARTED;
	}
	change = up->state == state_of(up, entry) && up->slots == entry->slots
			 ? REGISTRY_SAME
			 : REGISTRY_CHANGED;
	update(up, entry, now);
	return change;
}

bool registry_remove(struct registry *registry, struct str id,
		     apr_time_t hold_until)
{
	struct up *up = registry_find(registry, id);

	if (!up)
		return false;
	if (!hold_until || up->state != UP_READY) {
		registry_words_note_removed(registry, up);
		drop(registry, up);
	} else if (!up->hold_until) {
		up->hold_until = hold_until;
	}
	return true;
}

int registry_expire(struct registry *registry, apr_time_t now)
{
	int count = 0;

	for (apr_hash_index_t *i = apr_hash_first(NULL, registry->by_id); i;
	     i = apr_hash_next(i)) {
		struct up *up = apr_hash_this_val(i);

		if (up->hold_until && up->hold_until <= now) {
			drop(registry, up);
			count++;
		}
	}
	return count;
}

static double decay(apr_time_t since, apr_time_t now, double time_constant)
{
	return exp(-(double)(now - since) / time_constant);
}

struct registry_route_stats *
registry_route_stats_of(struct registry *registry, struct registry_service *svc,
			struct str route)
{
	struct registry_route_stats *run =
		apr_hash_get(svc->runs, route.ptr, (apr_ssize_t)route.len);
	const char *name;

	if (!run) {
		run = apr_pcalloc(registry->pool, sizeof(*run));
		name = apr_pmemdup(registry->pool, route.ptr, route.len);
		if (!run || !name)
			return NULL;
		apr_hash_set(svc->runs, name, (apr_ssize_t)route.len, run);
	}
	return run;
}

static void note_run_time(struct registry_route_stats *run, double took)
{
	const double diff = took - run->warm_us;

	if (run->warm_us <= 0)
		run->warm_us = took;
	else
		run->warm_us += diff * (diff < 0 ? RUN_TIME_GAIN_DOWN
						 : RUN_TIME_GAIN_UP);
}

void registry_note_run(struct registry_service *svc,
		       struct registry_route_stats *run, unsigned rank,
		       apr_interval_time_t took, apr_interval_time_t waited,
		       apr_time_t now)
{
	double busy = (double)(took - waited);

	if (took <= 0)
		return;
	note_run_time(run, (double)took);
	if (busy < run->warm_us)
		busy = run->warm_us < (double)took ? run->warm_us
						   : (double)took;
	rankstats_note_run(&svc->ranks, rank, busy, now);
}

double up_current_load(const struct up *up, apr_time_t now)
{
	return up->in_flight +
	       up->others_load * decay(up->report_at, now, REPORT_DECAY_US);
}

void up_note_sent(struct up *up)
{
	up->in_flight++;
}

void up_note_load_report(struct up *up, const struct up_load_report *load,
			 apr_time_t now)
{
	const double reported = (double)load->running + load->waiting;

	/* The report may or may not include the request that it came with. */
	up->others_load =
		reported > up->in_flight ? reported - up->in_flight : 0;
	up->report_at = now;
	up->report_shared = false;
	if (load->slots)
		up->slots = load->slots;
	if (load->speed) {
		upspeed_note(&up->speed, load->speed, now);
		up->speed_shared = false;
	}
}

static void note_failure(struct up *up, double failed, apr_time_t now)
{
	up->failure_rate =
		up->failure_rate *
			decay(up->failure_rate_at, now, HEALTH_DECAY_US) *
			(1 - FAILURE_GAIN) +
		failed * FAILURE_GAIN;
	up->failure_rate_at = now;
}

static void note_latency(struct up *up, apr_interval_time_t took,
			 apr_interval_time_t expected, apr_time_t now)
{
	const double old =
		1 + (up->latency_ratio - 1) *
			    decay(up->latency_ratio_at, now, HEALTH_DECAY_US);
	double ratio = (double)took / (double)(expected > 0 ? expected : 1);

	if (ratio > LATENCY_RATIO_MAX)
		ratio = LATENCY_RATIO_MAX;
	up->latency_ratio = old + LATENCY_GAIN * (ratio - old);
	up->latency_ratio_at = now;
}

static void note_sign(struct up *up, enum pace_sign sign, apr_time_t now)
{
	pace_note(&up->pace, sign, up->svc->trouble, now);
	pace_note_usual(&up->svc->trouble, sign);
}

void up_note_answer_time(struct up *up, apr_interval_time_t took,
			 apr_interval_time_t slow_after, apr_time_t now)
{
	if (took <= slow_after)
		note_sign(up, PACE_SIGN_GOOD, now);
	else
		note_sign(up,
			  up_is_cold(up, now) ? PACE_SIGN_COLD : PACE_SIGN_SLOW,
			  now);
}

/* A refusal is a sign of trouble if the upstream had room, as far as known. */
static void note_refusal(struct up *up, apr_time_t now)
{
	if (up_is_cold(up, now))
		note_sign(up, PACE_SIGN_COLD, now);
	else if (up_current_load(up, now) < up->slots)
		note_sign(up, PACE_SIGN_REFUSED, now);
}

static void eject(struct up *up, apr_time_t now)
{
	const unsigned doublings =
		up->consecutive_failures < EJECTION_MAX_DOUBLINGS
			? up->consecutive_failures
			: EJECTION_MAX_DOUBLINGS;

	up->consecutive_failures++;
	up->ejected_until =
		now + ((apr_interval_time_t)EJECTION_MIN_US << doublings);
	up->maybe_cold_until = up->ejected_until + RESTART_DELAY_US;
	note_sign(up, PACE_SIGN_FAILED, now);
	pace_start(&up->pace, PACE_RECOVERED, RETURN_PERIOD_US, now);
	if (up->pace.level_at < up->maybe_cold_until)
		up->pace.level_at = up->maybe_cold_until;
}

void up_note_outcome(struct up *up, enum up_outcome end,
		     apr_interval_time_t took, apr_interval_time_t expected,
		     apr_time_t now)
{
	if (up->in_flight)
		up->in_flight--;
	switch (end) {
	case UP_OUTCOME_OK:
		/* It may have restarted; the update of its entry will show. */
		if (up->consecutive_failures)
			up->maybe_cold_until = now + RESTART_DELAY_US;
		up->consecutive_failures = 0;
		note_failure(up, 0, now);
		note_latency(up, took, expected, now);
		break;
	case UP_OUTCOME_FAILED:
		up->consecutive_failures = 0;
		note_failure(up, 1, now);
		note_sign(up, PACE_SIGN_FAILED, now);
		break;
	case UP_OUTCOME_SHED:
		up->consecutive_failures = 0;
		/* Asking for quiet is no fault. */
		if (up->quiet_until > now)
			break;
		note_failure(up, 0.5, now);
		note_refusal(up, now);
		if (up->others_load + up->in_flight < 2 * up->slots)
			up->others_load = 2.0 * up->slots - up->in_flight;
		up->report_at = now;
		break;
	case UP_OUTCOME_CONNECTION_LOST:
		note_failure(up, 1, now);
		eject(up, now);
		break;
	case UP_OUTCOME_ABANDONED:
		break;
	}
}

void up_note_object(struct up *up, uint64_t object, apr_time_t now)
{
	struct up_object *o = &up->objects[object % UP_OBJECTS];

	o->tag = (uint32_t)(object >> 32);
	o->handled_s = (uint32_t)(now / APR_USEC_PER_SEC);
}

bool up_is_warm_for(const struct up *up, uint64_t object, apr_time_t now)
{
	const struct up_object *o = &up->objects[object % UP_OBJECTS];

	return o->handled_s && o->tag == (uint32_t)(object >> 32) &&
	       (uint32_t)(now / APR_USEC_PER_SEC) - o->handled_s <
		       OBJECT_WARM_S;
}

void up_assume_cold(struct up *up, apr_time_t now)
{
	up->maybe_cold_until = now + COLD_DELAY_US;
	pace_start(&up->pace, PACE_RECOVERED, COLD_DELAY_US, now);
	up->pace.level_at = up->maybe_cold_until;
}

void registry_keep_words(struct registry *registry, const struct up *up)
{
	struct up *listed = registry_find(registry, strbuf_str(&up->id));

	if (up->state != UP_GONE)
		return;
	registry_words_add(registry, up);
	if (!listed)
		return;
	registry_words_apply(registry, listed);
	if (listed->leaving && listed->state == UP_READY)
		listed->state = UP_DRAINING;
}

bool up_note_leaving(struct up *up)
{
	const bool is_news = !up->leaving;

	up->leaving = true;
	if (up->state == UP_READY)
		up->state = UP_DRAINING;
	return is_news;
}

void up_note_quiet(struct up *up, apr_interval_time_t quiet, uint64_t vm,
		   apr_time_t now)
{
	const double spread = quiet < QUIET_SPREAD_MAX_US ? (double)quiet
							  : QUIET_SPREAD_MAX_US;
	const uint64_t draw = (up->hash ^ vm) * UINT64_C(0x9e3779b97f4a7c15);
	const apr_time_t until =
		now + quiet +
		(apr_interval_time_t)(spread * (double)(draw >> 40) /
				      (double)(1 << 24));

	if (until > up->quiet_until)
		up->quiet_until = until;
}

bool up_accepts(const struct up *up, apr_time_t now)
{
	return up->state == UP_READY && up->quiet_until <= now;
}

bool up_is_usable(const struct up *up, apr_time_t now)
{
	return up_accepts(up, now) && up->ejected_until <= now &&
	       (!up->hold_until || now < up->hold_until);
}

bool up_is_cold(const struct up *up, apr_time_t now)
{
	return up->maybe_cold_until > now || up->cold_until > now;
}
