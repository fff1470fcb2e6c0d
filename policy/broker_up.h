/*
 * The upstreams of one broker: how many slots of each may be in use now, and
 * which upstream gets the next request.
 *
 * The VM list gives the number of slots. What entry VMs observe (refusals,
 * silence, service times) lowers it. Load reports only start a ramp or a drain.
 */
#ifndef POLICY_BROKER_UP_H
#define POLICY_BROKER_UP_H

#include <apr_time.h>

#include "common/str.h"
#include "policy/broker_map.h"
#include "policy/broker_types.h"
#include "policy/tbl.h"

/*
 * One slot in the units of a permit's weight. A permit of a remote entry VM
 * uses a slot for only a part of the time for which it is held, and weighs
 * less.
 */
#define BROKER_SLOT 1000u

/* What limits the usable slots of an upstream. */
enum broker_up_why {
	BROKER_UP_FULL,
	BROKER_UP_UNLISTED,
	BROKER_UP_LEAVING,
	BROKER_UP_DRAINING,
	BROKER_UP_SILENT,
	BROKER_UP_SHED,
	BROKER_UP_SLOW,
	BROKER_UP_RAMP,
};

struct broker_up_cfg {
	/*
	 * A cold upstream's usable slots rise from ramp_start_pct to all of its
	 * slots within this time.
	 */
	apr_interval_time_t ramp;
	uint32_t ramp_start_pct;
	apr_interval_time_t shed_hold;
	apr_interval_time_t silent_hold;
	apr_interval_time_t drain_hold;
	/* Ignores slow service times, for measurement. */
	bool ignore_time_ratio;
};

/* One upstream of the VM list. */
struct broker_listed_vm {
	struct strbuf name;
	struct strbuf address;
	uint16_t port;
	uint32_t slots;
	bool leaving;
};

struct broker_up {
	struct broker_node by_name;
	struct broker_listed_vm vm;
	bool listed;
	uint64_t list_number;
	/* Permits held, their total weight, and slots that may be in use. */
	uint32_t held;
	uint32_t load;
	uint32_t usable;
	enum broker_up_why why;
	/* State from the latest load report. */
	bool reported_draining;
	bool reported_cold;
	/* Start of the ramp, or 0. */
	apr_time_t ramp_from;
	apr_time_t drain_until;
	apr_time_t shed_until;
	uint32_t shed_limit;
	uint32_t consecutive_sheds;
	apr_time_t silent_until;
	uint32_t consecutive_silences;
	/* Part of load that was held at the latest silence and still is. */
	uint32_t stuck_load;
	/* Failures and silences since the last finished request. */
	uint32_t consecutive_failures;
	/* When a request last finished, or 0. */
	apr_time_t last_done_at;
	/* Smoothed ratio of the service time here to the mean of the rank. */
	double time_ratio;
	uint32_t time_ratio_samples;
	bool slow;
	/* Number of the latest grant. */
	uint64_t last_grant;
	/* Index in the heap. */
	size_t heap_index;
};

struct broker_fleet {
	struct broker_up_cfg cfg;
	/* A heap: the first upstream gets the next request. */
	struct broker_up **heap;
	size_t count;
	size_t heap_capacity;
	struct broker_map names;
	/* Totals: usable slots, permits held, and their weights. */
	uint32_t usable;
	uint32_t held;
	uint64_t load;
	/* Usable units not held. */
	uint64_t free;
	/* Usable slots of upstreams that are not slow. */
	uint32_t usable_not_slow;
	uint64_t grant_count;
	uint64_t list_number;
	bool populated;
	/* Called on each change of an upstream's usable slots; may be NULL. */
	void (*changed)(void *ctx, const struct broker_up *up);
	void *ctx;
};

/* Returns 0 or PST_ERR_NOMEM. */
int broker_fleet_init(struct broker_fleet *fleet,
		      const struct broker_up_cfg *cfg);
void broker_fleet_done(struct broker_fleet *fleet);

/*
 * Takes the upstreams from a new VM list. One that was not in an earlier list,
 * or has another address, is cold. Returns 0 or PST_ERR_NOMEM, after which
 * upstreams may be missing until the next call.
 */
int broker_fleet_set_list(struct broker_fleet *fleet,
			  const struct broker_listed_vm *vms, size_t count,
			  apr_time_t now);

/* Returns NULL if the upstream is unknown. */
struct broker_up *broker_fleet_find(const struct broker_fleet *fleet,
				    struct str name);

/* Updates the state that depends on time. */
void broker_fleet_tick(struct broker_fleet *fleet, apr_time_t now);

/* Returns an upstream with room for a permit of this rank, or NULL. */
struct broker_up *broker_fleet_pick(const struct broker_fleet *fleet,
				    enum rank rank, uint32_t weight);

/*
 * Whether any upstream accepts new work now or soon. An upstream that is
 * shedding counts as soon; a silent one counts only after its hold.
 */
bool broker_fleet_accepts_work(const struct broker_fleet *fleet);

/* Takes a slot for a permit; weight is at most BROKER_SLOT. */
void broker_up_take(struct broker_fleet *fleet, struct broker_up *up,
		    uint32_t weight, apr_time_t now);

/*
 * Ends the use of a slot. time_ratio is the service time divided by the mean of
 * the rank, or 0 if unknown.
 */
void broker_up_release(struct broker_fleet *fleet, struct broker_up *up,
		       uint32_t weight, enum permit_outcome outcome,
		       double time_ratio, apr_time_t now);

void broker_up_report(struct broker_fleet *fleet, struct broker_up *up,
		      const struct load_report *report, apr_time_t now);

const char *broker_up_why_name(enum broker_up_why why);

#endif
