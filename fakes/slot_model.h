/*
 * An event-driven model of entry VMs, brokers and upstreams on a simulated
 * clock, which measures how slots are granted. It runs the code of policy/.
 *
 * Each entry VM sends to the failure domains of its own region, by the split of
 * policy/domsplit_goal with slots as weights. Upstreams run one request per
 * slot, queue a few more in order of arrival and shed the rest. Work that has
 * begun cannot be interrupted.
 */
#ifndef FAKES_SLOT_MODEL_H
#define FAKES_SLOT_MODEL_H

#include "policy/broker_core.h"
#include "policy/pick.h"

#define SLOT_MODEL_REGIONS   3
#define SLOT_MODEL_DOMAINS   6
#define SLOT_MODEL_ENTRIES   24
#define SLOT_MODEL_UPSTREAMS 20

/* No upstream, for the upstream numbers below. */
#define SLOT_MODEL_NONE (-1)

struct slot_model_rank {
	/* Offered load, as a part of all slots. */
	double load;
	/* Mean of the exponentially distributed time in a slot. */
	apr_interval_time_t service;
	apr_interval_time_t deadline;
	uint32_t reserved_pct;
};

struct slot_model_cfg {
	enum pick_policy policy;
	uint64_t seed;
	/* Requests are measured between warmup and end. */
	apr_time_t warmup;
	apr_time_t end;
	/* Slots of the upstreams: slots_low, and one more on every other. */
	uint32_t slots_low;
	bool slots_vary;
	/* One-way times within a failure domain and between two of a region. */
	apr_interval_time_t hop_near;
	apr_interval_time_t hop_far;
	/* One-way time between regions; used only if copied to hop_far. */
	apr_interval_time_t region_hop;
	/* Interval between load reports. */
	apr_interval_time_t report_interval;
	struct slot_model_rank rank[RANK_COUNT];
	/* An upstream that always reports no load. */
	int zero_load_upstream;
	/* An upstream that takes slow_factor times as long for the first
	 * slow_time of every slow_period. */
	int slow;
	double slow_factor;
	apr_interval_time_t slow_time;
	apr_interval_time_t slow_period;
	/* Number of entry VMs missing in the first domain of each region. */
	uint32_t entries_lost;
	/* Draws domains of the region by weight, wherever the entry VM is. */
	bool cross_domain;
	/* Every request takes the mean time of its rank. */
	bool fixed_times;
	/* Value of the field of the same name in struct broker_up_cfg. */
	bool ignore_time_ratio;
};

struct slot_model_result {
	uint64_t offered;
	/* Answered within the deadline. */
	uint64_t in_time;
	/* Refused before it ran; the caller is told at once. */
	uint64_t refused;
	/* No answer within the deadline. */
	uint64_t late;
	/*
	 * Slot time between warmup and end: of requests answered in time, and
	 * of all requests.
	 */
	double useful;
	double ran;
	/*
	 * Latency quantiles in microseconds. A request without an answer in
	 * time counts with its deadline.
	 */
	uint64_t p50;
	uint64_t p99;
	uint64_t p999;
};

struct slot_model_results {
	struct slot_model_result rank[RANK_COUNT];
	uint64_t sheds;
	/* Available slot time. */
	double capacity;
	/* Largest number of permits held at one upstream above its slots. */
	uint32_t excess;
	/* Permits that the brokers still count after all requests ended. */
	uint32_t leaked;
};

/* Fills in the defaults: the Fund's sizes at a load of 80%. */
void slot_model_fund(struct slot_model_cfg *cfg);
/* As slot_model_fund(), for the Guild. */
void slot_model_guild(struct slot_model_cfg *cfg);

/* Useful slot time of all ranks, as a part of the available slot time. */
double slot_model_useful(const struct slot_model_results *results);

/* Returns 0 or PST_ERR_NOMEM. */
int slot_model_run(const struct slot_model_cfg *cfg,
		   struct slot_model_results *out);

#endif
