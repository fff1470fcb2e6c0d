/*
 * Tracks outages of the metadata store, and decides how long entries whose
 * leases expired in one stay in use. Pure.
 *
 * Leases may expire while the store is down although their owners run. Those
 * owners write their entries again soon after the outage; an entry still
 * missing then belongs to a process that ended.
 */
#ifndef POLICY_DOWNTIME_H
#define POLICY_DOWNTIME_H

#include <stdbool.h>

#include <apr_time.h>

/* Zeroed memory stands for a store that never failed. */
struct downtime {
	/* The last call to the store failed. */
	bool store_unavailable;
	/* End of the last outage: first call that succeeded; 0: none. */
	apr_time_t ended_at;
};

/* Records the result of a call; returns whether it ended an outage. */
bool downtime_record_call(struct downtime *downtime, bool failed,
			  apr_time_t now);

/*
 * The store went on from an older copy: entries written since are missing
 * until their owners have noticed.
 */
void downtime_note_restore(struct downtime *downtime, apr_time_t now);

/* Whether an outage is going on, or ended so recently that
 * entries may still be missing. */
bool downtime_is_recent(const struct downtime *downtime, apr_time_t now);

/*
 * Returns until when an entry whose deletion is seen now stays in use, or 0
 * when it is dropped at once. leave bounds the time from the deletion of an
 * entry to the end of its use.
 */
apr_time_t downtime_hold_until(const struct downtime *downtime,
			       apr_interval_time_t leave, apr_time_t now);

#endif
