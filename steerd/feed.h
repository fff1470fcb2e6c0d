/*
 * Follows the keys below one prefix of the metadata store: lists them, then
 * watches for changes, and lists them again when the store no longer has the
 * history after the watch's revision. A known key that is missing from a list
 * is reported as deleted.
 */
#ifndef STEERD_FEED_H
#define STEERD_FEED_H

#include "policy/changelog.h"
#include "policy/feedstep.h"
#include "steerd/keys.h"
#include "steerd/st.h"

struct feed_ops {
	/* A key was written or deleted. */
	void (*changed)(struct st *st, const struct plt_item *item);
	/* A list is complete and may be used; may be NULL. */
	void (*listed)(struct st *st);
};

struct feed;

/* The feeds of one store. When one has lost changes, all are listed again. */
struct feed_group {
	struct feed *feeds;
	size_t count;
	/* Called after a watch of a feed was answered; may be NULL. */
	void (*on_update)(void *ctx, struct feed *feed);
	/* Called after all feeds have begun anew; may be NULL. */
	void (*on_restart)(void *ctx);
	void *ctx;
};

struct feed {
	struct st *st;
	struct feed_group *group;
	/* The call in progress, or NULL. */
	struct plt_call *call;
	struct str prefix;
	const struct feed_ops *ops;
	/* Recent changes, for the VMs that follow through this one. */
	struct changelog changes;
	enum feedstep_list_state place;
	/* All keys were listed once. */
	bool listed;
	/* How the call in progress, or else the last call, is made. */
	enum feedstep feedstep;
	/* When the last call began, and the last list. */
	apr_time_t called_at;
	apr_time_t listed_at;
	/* When the relay last heard from the store, going by its answers. */
	apr_time_t relay_fresh_at;
	/*
	 * Delay after an update, in seconds, so that consecutive changes come
	 * in one answer: the platform charges for each call.
	 */
	double update_delay_s;
	/*
	 * Its keys are the VMs, among which the other feeds find their relay:
	 * it settles before them, and searches for a VM that the store serves.
	 */
	bool lists_vms;
	/*
	 * What a replica listed isn't used before it is known whether changes
	 * came after: only then ops->listed is called.
	 */
	bool must_be_current;
	/* Known as the keys were at some time since the start. */
	bool current;
	/* Replicas are listed again until there is a table. */
	unsigned table_polls_left;
	/* Its keys are not needed before there is a table. */
	bool after_table;
	/* The detour attempt that its call belongs to. */
	unsigned detour_attempt;
	struct ev_timer timer;
	/*
	 * The revision up to which changes are known. During a list: that of
	 * its oldest page, and the last key of the page before.
	 */
	uint64_t revision;
	struct buf after;
	/* Consecutive failed calls. */
	unsigned failures;
	/* Keys that exist. */
	struct keys keys;
	/* The relay did not list them: the store is asked. */
	bool relay_list_failed;
	/* A replica listed them as before a restore: the store is asked. */
	bool replica_outdated;
	/* The store was restored, and the list after that is not whole yet. */
	bool restarted;
};

/*
 * The caller has set st, group, prefix, ops, update_delay_s, lists_vms,
 * must_be_current and after_table, and zeroed the rest.
 */
void feed_start(struct feed *feed);

/*
 * Makes all calls again after an outage: the store may never answer a watch
 * that was sent during it.
 */
void feed_resume_all(struct feed_group *group);

/* The store answers: feeds that wait for that make their next call. */
void feed_wake_waiting(struct feed_group *group);

/* Moves watches from the store to the relay, if there is one. */
void feed_prefer_relay(struct feed_group *group);

/* Lists the keys of all feeds again. */
void feed_relist_all(struct feed_group *group);

/*
 * The store was restored from an older copy: what is known of its revisions and
 * in calls is void, and all keys are listed again.
 */
void feed_restart_all(struct feed_group *group);

/* Calls fn with each key of the prefix as it was last read. */
void feed_each_key(const struct feed_group *group, struct str prefix,
		   void (*fn)(void *ctx, const struct plt_item *item),
		   void *ctx);

#endif
