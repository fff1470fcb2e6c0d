/* State of the placement model, shared by its files. */
#ifndef FAKES_PLACE_STATE_H
#define FAKES_PLACE_STATE_H

#include <apr_general.h>

#include "common/clk.h"
#include "fakes/agenda.h"
#include "fakes/place_model.h"
#include "fakes/place_slow.h"
#include "fakes/warm.h"
#include "policy/placement.h"

#define DOMAINS (2 * PLACESIM_REGIONS)
#define MAX_UPS 128
#define MAX_VMS 128

/* Start of the simulated clock; 0 would mean "never" in policy/. */
#define CLOCK_START CLK_SEC(1000)

/* Kinds of requests: urgent and bulk. */
#define KINDS 2
#define BULK  1

enum event_kind {
	EV_ARRIVAL,
	EV_RETRY,
	EV_AT_UPSTREAM,
	EV_RUN_END,
	EV_ANSWER,
	EV_SHARED_REPORT,
	EV_SHARED_SPEED,
};

struct place_request {
	int vm;
	int region;
	/* Index into the routes of struct model. */
	int kind;
	/* Index into the upstreams of struct model. */
	int up;
	uint64_t object;
	/* Index of its tenant, and whether it is counted for it. */
	int tenant;
	bool counted;
	bool is_retry;
	apr_interval_time_t retry_after;
	/* In the copy for EV_SHARED_REPORT, the time of the report. */
	apr_time_t arrived_at;
	apr_time_t sent_at;
	struct placement_pick pick;
	bool shed;
	struct up_load_report report;
	struct place_request *next;
};

/* A simulated upstream with slots, a queue and warm objects. */
struct upstream {
	int domain;
	int running;
	int waiting;
	struct place_slow slow;
	struct place_request *queue_head;
	struct place_request **queue_tail;
	struct warm warm;
};

struct vm {
	struct registry registry;
	struct up *ups[MAX_UPS];
	struct placesim_sharer sharer;
	apr_interval_time_t region_rtt[GEO_MAX_REGIONS];
};

struct model {
	const struct placesim_load *load;
	enum placesim_policy policy;
	struct placesim_result *out;
	apr_pool_t *pool;
	struct geo geo;
	struct routing_route routes[KINDS];
	struct vm vms[MAX_VMS];
	int vm_region[MAX_VMS];
	int vm_count;
	struct upstream ups[MAX_UPS];
	int up_count;
	struct evqueue agenda;
	apr_time_t now;
	/* Sums of the tenants' rates, usual and during the flood. */
	double *rate_sums[2];
	uint64_t draws;
	int err;
};

/* Uniform over (0, 1). */
double placesim_draw(struct model *m);

/* The VM's run times of the request's route. */
struct registry_route_stats *placesim_run_of(const struct model *m,
					     struct vm *vm,
					     const struct place_request *r);

/*
 * The upstream that the VM sends a request to, by the policy of the model;
 * negative if it refuses the request.
 */
int placesim_choose(struct model *m, struct vm *vm, struct place_request *r);

#endif
