/*
 * The upstreams of one broker: how many slots of each may be in use now, and
 * which one takes the next piece of work.
 *
 * Slots come from the VM list. What entry VMs see (refusals, silence, time
 * that work takes) lowers them; reports only start a ramp or a drain.
 */
#ifndef POLICY_BRK_UP_H
#define POLICY_BRK_UP_H

#include <apr_time.h>

#include "common/str.h"
#include "policy/brk_map.h"
#include "policy/brk_types.h"
#include "policy/tbl.h"

/*
 * One slot in the units in which permits are counted. A permit of an entry VM
 * far away uses a slot for a part of its time only, and counts for less.
 */
#define BRK_SLOT 1000u

/* Why an upstream has the slots that it has. */
enum brk_up_why {
	BRK_UP_FULL,
	BRK_UP_UNLISTED,
	BRK_UP_LEAVING,
	BRK_UP_DRAINING,
	BRK_UP_SILENT,
	BRK_UP_SHED,
	BRK_UP_SLOW,
	BRK_UP_RAMP,
};

struct brk_up_cfg {
	/* A cold upstream comes from ramp_start_pct to all slots in ramp. */
	apr_interval_time_t ramp;
	uint32_t ramp_start_pct;
	apr_interval_time_t shed_hold;
	apr_interval_time_t silent_hold;
	apr_interval_time_t drain_hold;
	/* Gives a slow upstream as much work as others; for measurement. */
	bool ignore_pace;
};

/* One upstream of the VM list. */
struct brk_listed {
	struct strbuf name;
	struct strbuf address;
	uint16_t port;
	uint32_t slots;
	bool leaving;
};

struct brk_up {
	struct brk_node by_name;
	struct brk_listed vm;
	bool listed;
	uint64_t list_number;
	/* Permits out, what they count for, and slots that may be in use. */
	uint32_t held;
	uint32_t load;
	uint32_t usable;
	enum brk_up_why why;
	/* The report in force. */
	bool says_draining;
	bool says_cold;
	/* 0 when it is not ramping. */
	apr_time_t ramp_from;
	apr_time_t drain_until;
	apr_time_t shed_until;
	uint32_t shed_limit;
	uint32_t sheds_in_row;
	apr_time_t silent_until;
	uint32_t silences_in_row;
	/* Load that is out since before the latest silence. */
	uint32_t stuck;
	/* Failures and silences without work done since. */
	uint32_t failures_in_row;
	/* When work was last done, or 0. */
	apr_time_t done_at;
	/* Time that work takes here against the mean of its rank. */
	double pace;
	uint32_t pace_samples;
	bool slow;
	/* Number of the latest grant. */
	uint64_t turn;
	/* Place in the heap. */
	size_t place;
};

struct brk_fleet {
	struct brk_up_cfg cfg;
	/* A heap: the first one takes the next piece of work. */
	struct brk_up **heap;
	size_t count;
	size_t room;
	struct brk_map names;
	/* Sums over all upstreams: slots, permits, and load. */
	uint32_t usable;
	uint32_t held;
	uint64_t load;
	/* Units that are usable and free. */
	uint64_t free;
	/* Slots of those not slow. */
	uint32_t prompt_usable;
	uint64_t turns;
	uint64_t list_number;
	bool populated;
	/* Told of each change of usable; may be NULL. */
	void (*changed)(void *ctx, const struct brk_up *up);
	void *ctx;
};

/* Returns 0 or PST_ERR_NOMEM. */
int brk_fleet_init(struct brk_fleet *fleet, const struct brk_up_cfg *cfg);
void brk_fleet_done(struct brk_fleet *fleet);

/*
 * Takes over the VM list's upstreams. One that was not in an earlier list,
 * or has another address, is cold. Returns 0 or PST_ERR_NOMEM, after which
 * upstreams may be missing until the next call.
 */
int brk_fleet_list(struct brk_fleet *fleet, const struct brk_listed *vms,
		   size_t count, apr_time_t now);

/* Returns NULL when it is not known. */
struct brk_up *brk_fleet_find(const struct brk_fleet *fleet, struct str name);

/* Moves what depends on time alone. */
void brk_fleet_tick(struct brk_fleet *fleet, apr_time_t now);

/* An upstream with room for a permit of the rank, or NULL. */
struct brk_up *brk_fleet_pick(const struct brk_fleet *fleet, enum rank rank,
			      uint32_t weight);

/*
 * Whether any upstream takes new work now or very soon. One that is silent
 * does not, until its hold is over.
 */
bool brk_fleet_any(const struct brk_fleet *fleet);

/* weight is what the permit counts for, at most BRK_SLOT. */
void brk_up_take(struct brk_fleet *fleet, struct brk_up *up, uint32_t weight,
		 apr_time_t now);

/*
 * Ends the use of a slot; pace is the time it took over the mean of its
 * rank, or 0 when that says nothing.
 */
void brk_up_free(struct brk_fleet *fleet, struct brk_up *up, uint32_t weight,
		 enum permit_outcome outcome, double pace, apr_time_t now);

void brk_up_report(struct brk_fleet *fleet, struct brk_up *up,
		   const struct permit_report *report, apr_time_t now);

const char *brk_up_why_name(enum brk_up_why why);

#endif
