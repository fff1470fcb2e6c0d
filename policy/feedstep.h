/*
 * Decides the next step of a feed, which follows the keys under one prefix of
 * the metadata store. Pure.
 *
 * Designed for: a store that fails calls, each of which is charged and adds to
 * its load, and a fleet whose VMs all start at once. In an outage only the
 * renewal of the VM's lease probes the store, on behalf of all feeds. At a
 * start the feeds list from any replica of the store, which costs a tenth of
 * another call, and put off the watch until there is a table and the relays are
 * known. Until then they list again: a watch would be answered by each change
 * of the many in a start. Where VMs run already, or start with this one after a
 * failure, one VM of each domain lists the store and the others list from it:
 * together they would ask for more bytes than the store can send in a second.
 * What must not be stale is not used before the relay or the store has said
 * that nothing came after. After a restore of the store all VMs list again at
 * the same time, and most of them from their relay.
 */
#ifndef POLICY_FEEDSTEP_H
#define POLICY_FEEDSTEP_H

#include <stdbool.h>

#include <apr_time.h>

/* What a feed knows of its keys. */
enum feedstep_list_state {
	/* The list is missing or incomplete. */
	FEEDSTEP_UNLISTED,
	/*
	 * Listed from a replica, and not to be used before it is known whether
	 * changes came after.
	 */
	FEEDSTEP_UNCONFIRMED,
	/* Listed, but the relay has dropped changes that came after. */
	FEEDSTEP_CHANGES_MISSING,
	/* Complete up to a revision. */
	FEEDSTEP_LISTED,
};

/* Next step of a feed. */
enum feedstep {
	/* List the keys at the store. */
	FEEDSTEP_LIST,
	/*
	 * List the keys from any replica of the store, the cheapest call. What
	 * the replica lacked comes with the watch that follows.
	 */
	FEEDSTEP_LIST_REPLICA,
	/* The same after a pause. */
	FEEDSTEP_POLL_REPLICA,
	/*
	 * List the keys from the relay, which costs no call to the store: at a
	 * start, after a restore of the store, or when the relay has dropped
	 * changes.
	 */
	FEEDSTEP_LIST_RELAY,
	/* Ask the store once for the changes since, without waiting. */
	FEEDSTEP_CATCH_UP,
	/* Watch the store. */
	FEEDSTEP_WATCH_STORE,
	/* Watch the relay. */
	FEEDSTEP_WATCH_RELAY,
	/* Watch a fallback VM, since the store refuses this one. */
	FEEDSTEP_WATCH_FALLBACK,
	/* Make no call until the store is known to answer. */
	FEEDSTEP_WAIT,
};

/* What the decision depends on. */
struct feedstep_input {
	enum feedstep_list_state list_state;
	/*
	 * The first list may be stale by seconds. False for later lists: a
	 * list that replaces another must not be older.
	 */
	bool stale_list_allowed;
	/* The store was restored: the relay lists what is newer by its era. */
	bool store_restored;
	/* What is waited for may be in a list by now: it is listed again. */
	bool may_poll;
	/* The list of VMs is on its way, which shows whether there is one. */
	bool awaits_relay;
	/* There is a relay that may be watched, or listed from, now. */
	bool has_relay;
	/* There is a fallback VM, and the store fails this one. */
	bool has_fallback;
	/* This VM keeps renewing its lease. */
	bool renewing_lease;
	/* The store failed this VM's last call, or is being probed. */
	bool store_failing;
	/* No table yet; changes of these keys are of no use without one. */
	bool awaits_table;
	/* Start-up grace period: the relay may not be listed yet. */
	bool in_start_grace;
};

/* Whether the step asks another VM, not the store. */
bool feedstep_asks_vm(enum feedstep feedstep);

/* Name of a step that lists keys, for a log line; "-" for others. */
const char *feedstep_name(enum feedstep feedstep);

enum feedstep feedstep_next(const struct feedstep_input *view);

/*
 * Time in microseconds for which a watch of the store waits for a change. The
 * store may lose an answer without closing the connection, which shows only
 * when the watch is overdue. Changes must be known within leave once the store
 * has been without trouble for a while, so the wait is bounded by both. Longer
 * waits cost fewer calls.
 */
apr_interval_time_t feedstep_watch_time(apr_interval_time_t leave);

/* A call of a feed that has failed. Times in microseconds. */
struct feedstep_failure {
	apr_time_t called_at;
	apr_time_t now;
	/* Time for which the call was to wait for a change. */
	apr_interval_time_t wait;
	/* When the newest call began that the store has answered. */
	apr_time_t answered_since;
};

/*
 * Whether only the answer was lost: the call is overdue, and the store has
 * answered a later one. Such a loss is no outage.
 */
bool feedstep_answer_lost(const struct feedstep_failure *failure);

#endif
