/*
 * A discrete-event simulation of placement: callers in several regions, entry
 * VMs that decide on stale load reports, and upstreams that are fast for
 * objects which they handled recently. It calls the code of policy/ with a
 * simulated clock.
 */
#ifndef FAKES_PLACE_MODEL_H
#define FAKES_PLACE_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include <apr_time.h>

#include "fakes/place_tenant.h"

enum placesim_policy {
	/* Placement and admission as in policy/. */
	PLACESIM_OWN,
	/* The same placement without admission: a baseline, too. */
	PLACESIM_NO_ADMISSION,
	/*
	 * Baselines: a random upstream, the one with the least reported load,
	 * the less loaded of two random ones, and the first by rendezvous
	 * hashing of the object over all regions.
	 */
	PLACESIM_RANDOM,
	PLACESIM_LEAST_LOAD,
	PLACESIM_TWO_CHOICES,
	PLACESIM_HASH,
};

#define PLACESIM_POLICIES 6
#define PLACESIM_REGIONS  3

/* Number of time windows of a run, and the duration of one. */
#define PLACESIM_WINDOWS   64
#define PLACESIM_WINDOW_US (2 * APR_USEC_PER_SEC)

struct placesim_load {
	/* Upstreams and VMs in each of the two domains of a region. */
	int upstreams[PLACESIM_REGIONS];
	int vms[PLACESIM_REGIONS];
	/* Slots of an upstream, and the maximum length of its queue. */
	int slots;
	int queue;
	/* Mean delay of reports shared between VMs of a domain; 0 for none. */
	apr_interval_time_t share_delay;
	/* Whether upstreams send no load reports. */
	bool no_load_reports;
	/* Number of objects requested, and of those one upstream keeps warm. */
	int objects;
	int warm_capacity;
	/* Requests per second in each region. */
	double rate;
	/* Rate, objects and target of bulk requests to the same upstreams. */
	double bulk_rate;
	int bulk_objects;
	apr_interval_time_t bulk_latency_target;
	/* Factor of the rate of urgent requests during a burst. */
	double burst;
	apr_interval_time_t burst_at;
	apr_interval_time_t burst_for;
	/* Share of upstreams that are slower by slow_factor from slow_at on. */
	double slow_share;
	double slow_factor;
	apr_interval_time_t slow_at;
	/*
	 * Mean duration of a slow period, after which another upstream is slow
	 * instead; 0: the same ones stay slow.
	 */
	apr_interval_time_t slow_for;
	/* Whether upstreams report their speed. */
	bool report_speed;
	/* Run time without a warm object, and the factor with one. */
	apr_interval_time_t run_time;
	double warm_factor;
	/* Round-trip time between regions. */
	apr_interval_time_t region_rtt;
	/* Time within which urgent requests count as in time. */
	apr_interval_time_t latency_target;
	/* Tenants of urgent requests. */
	struct placesim_tenants tenants;
	/* Time from the start during which requests arrive. */
	apr_interval_time_t duration;
	uint64_t seed;
};

/* Counts of urgent requests, except for the fields bulk_*. */
struct placesim_result {
	unsigned requests;
	unsigned in_time;
	unsigned late;
	unsigned refused;
	unsigned bulk_requests;
	unsigned bulk_in_time;
	unsigned bulk_refused;
	/* Runs with a warm object. */
	unsigned warm;
	/* in_time and requests by region. */
	unsigned region_in_time[PLACESIM_REGIONS];
	unsigned region_requests[PLACESIM_REGIONS];
	/* in_time and requests by window of the arrival. */
	unsigned window_in_time[PLACESIM_WINDOWS];
	unsigned window_requests[PLACESIM_WINDOWS];
	apr_interval_time_t p50;
	apr_interval_time_t p99;
	/* Sorted answer times; owned, freed by placesim_free(). */
	apr_interval_time_t *times;
	unsigned count;
	/* By tenant; owned, freed by placesim_free(). NULL without tenants. */
	struct placesim_tenant_count *tenants;
};

/* A calm load on an installation of the users' current size. */
struct placesim_load placesim_current_load(uint64_t seed);

/*
 * The same on an installation five times as large, where a VM rarely sends to
 * any one upstream.
 */
struct placesim_load placesim_grown_load(uint64_t seed);

/*
 * A load with upstreams that are slow for a short time: 15 of 100 run 2.5
 * times slower, each for about 600 ms.
 */
struct placesim_load placesim_uneven_load(uint64_t seed);

const char *placesim_policy_name(enum placesim_policy policy);

/*
 * Simulates a load. Returns 0 or PST_ERR_NOMEM; the result must be freed with
 * placesim_free().
 */
int placesim_run(const struct placesim_load *load, enum placesim_policy policy,
		 struct placesim_result *out);
void placesim_free(struct placesim_result *result);

/* Count a request that arrived at a time since the start, or its outcome. */
void placesim_count_request(struct placesim_result *result, bool bulk,
			    int region, apr_interval_time_t at);
void placesim_count_refusal(struct placesim_result *result, bool bulk);
void placesim_count_bulk_answer(struct placesim_result *result,
				const struct placesim_load *load,
				apr_interval_time_t took);
void placesim_count_answer(struct placesim_result *result,
			   const struct placesim_load *load, int region,
			   apr_interval_time_t at, apr_interval_time_t took);

/* Return the fraction of urgent or bulk requests answered in time. */
double placesim_in_time_share(const struct placesim_result *result);
double placesim_bulk_in_time_share(const struct placesim_result *result);
/* Returns placesim_in_time_share() of the worst region. */
double placesim_worst_region(const struct placesim_result *result);
/* Returns the mean of placesim_in_time_share() in the two worst windows. */
double placesim_worst_windows(const struct placesim_result *result);

#endif
