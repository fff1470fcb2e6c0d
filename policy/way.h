/*
 * Decides the next step of a feed, which follows the keys under one prefix of
 * the metadata store. Pure.
 *
 * Designed for: a store that fails calls, each of which is charged and adds to
 * its load, and a fleet whose VMs all start at once. In an outage only the
 * renewal of the VM's lease probes the store, on behalf of all feeds. At a
 * start the feeds list from any replica of the store where stale data will do,
 * and put off the watch until there is a table and the relays are known.
 */
#ifndef POLICY_WAY_H
#define POLICY_WAY_H

#include <stdbool.h>

/* What a feed knows of its keys. */
enum way_place {
	/* The list is missing or incomplete. */
	WAY_UNLISTED,
	/* Listed, but the relay has dropped changes that came after. */
	WAY_BEHIND,
	/* Complete up to a revision. */
	WAY_PLACED,
};

/* Next step of a feed. */
enum way {
	/* List the keys at the store. */
	WAY_LIST,
	/*
	 * List the keys from any replica of the store, the cheapest call. What
	 * the replica lacked comes with the watch that follows.
	 */
	WAY_LIST_LAGGING,
	/* Ask the store once for the changes since, without waiting. */
	WAY_CATCH_UP,
	/* Watch the store. */
	WAY_STORE,
	/* Watch the relay. */
	WAY_RELAY,
	/* Watch a fallback VM, since the store refuses this one. */
	WAY_DETOUR,
	/* Make no call until the store is known to answer. */
	WAY_WAIT,
};

/* What the decision depends on. */
struct way_view {
	enum way_place place;
	/*
	 * The first list may be stale by seconds. False for later lists: a
	 * list that replaces another must not be older.
	 */
	bool may_lag;
	/* There is a relay that may be watched now. */
	bool relay;
	/* There is a fallback VM, and the store fails this one. */
	bool detour;
	/* This VM keeps renewing its lease. */
	bool renewing;
	/* The store failed this VM's last call, or is being probed. */
	bool unwell;
	/* No table yet; changes of these keys are of no use without one. */
	bool idle;
	/* Start-up grace period: the relay may not be listed yet. */
	bool settling;
};

/* Whether the step watches another VM. */
bool way_by_vm(enum way way);

enum way way_next(const struct way_view *view);

#endif
