/*
 * Upstreams by service, as the platform lists them, with the load and health
 * that this VM has observed of each. Pure functions of entries, outcomes and
 * `now`.
 *
 * A struct up is one incarnation of an upstream. A restart makes a new struct
 * up, even under the same id, since the process has lost its warm objects.
 */
#ifndef POLICY_REGISTRY_H
#define POLICY_REGISTRY_H

#include <netinet/in.h>
#include <stdbool.h>

#include <apr_hash.h>
#include <apr_time.h>

#include "common/ref.h"
#include "common/str.h"
#include "policy/fairshare.h"
#include "policy/geo.h"
#include "policy/pace.h"
#include "policy/retrycap.h"
#include "policy/rankstats.h"
#include "policy/upspeed.h"

enum up_state {
	UP_READY,
	/* Finishes its requests and takes no new ones. */
	UP_DRAINING,
	/* No longer listed. */
	UP_GONE,
};

/* An entry of the platform's list. */
struct registry_entry {
	struct str id;
	struct str service;
	struct str domain;
	struct sockaddr_in addr;
	/* Start of the incarnation, in Unix milliseconds; 0 if unknown. */
	int64_t born_ms;
	/* Rises with what the incarnation writes. */
	int64_t seq;
	uint32_t slots;
	enum up_state state;
	/* Remaining duration of the cold start. */
	apr_interval_time_t cold_for;
	uint64_t revision;
};

/* Load report of an upstream, sent with an answer. */
struct up_load_report {
	unsigned running;
	unsigned waiting;
	unsigned slots;
	/* Current run time in percent of usual; 0: unknown. */
	unsigned speed;
};

struct registry_service;

/* Number of objects remembered for one upstream; a power of two. */
#define UP_OBJECTS 64

/* An object that an upstream handled for this VM. */
struct up_object {
	/* Upper half of the object's hash. */
	uint32_t tag;
	/* Time of the last request for it, in seconds of the clock. */
	uint32_t handled_s;
};

struct up {
	struct ref ref;
	struct registry_service *svc;
	struct strbuf id;
	/* Hash of the id. */
	uint64_t hash;
	int domain;
	int region;
	struct sockaddr_in addr;
	int64_t born_ms;
	int64_t seq;
	uint32_t slots;
	enum up_state state;
	uint64_t revision;
	/* It said in an answer that it leaves; holds until it has ended. */
	bool leaving;
	/* It asked this VM for no requests until then; 0: not. */
	apr_time_t quiet_until;
	/* Removed from the list while the store failed: used until then. */
	apr_time_t hold_until;
	/* End of the cold start, during which it is slow and fragile. */
	apr_time_t cold_until;
	/* Treated as cold until then: it may be, but has not reported it. */
	apr_time_t maybe_cold_until;
	/* Its share of the requests while it is slow to start. */
	struct pace pace;
	/*
	 * VMs that come before this one at it while it is cold, and the
	 * versions of the lists for which that was counted; 0: not counted.
	 */
	size_t vms_ahead;
	uint64_t vms_version;
	apr_time_t settled_version;
	/* What was last logged of it, and when. */
	struct pace logged_pace;
	apr_time_t pace_logged_at;
	/* Attempts of this VM in flight. */
	unsigned in_flight;
	/* Load of its last report, less this VM's own requests. */
	double others_load;
	apr_time_t report_at;
	/* Whether that report was shared by another VM. */
	bool report_shared;
	/* Its speed by its own reports. */
	struct upspeed speed;
	/* Whether the last report of its speed was shared by another VM. */
	bool speed_shared;
	/* Smoothed ratio of answer time to expected answer time. */
	double latency_ratio;
	apr_time_t latency_ratio_at;
	/* Smoothed fraction of attempts that failed. */
	double failure_rate;
	apr_time_t failure_rate_at;
	/* End of the ejection after consecutive failures. */
	apr_time_t ejected_until;
	unsigned consecutive_failures;
	struct up_object objects[UP_OBJECTS];
	/* Connection pool; belongs to the owner of the connections. */
	void *pool;
};

/* Measured run times and answer sizes of one route. */
struct registry_route_stats {
	/* Run time with a warm object; 0 before the first measurement. */
	double warm_us;
	/* Smoothed size of an answer. */
	double answer_bytes;
};

/* Incarnations that are no longer listed whose words are remembered. */
#define REGISTRY_WORDS 256

/* What an incarnation of an upstream said of itself before it was dropped. */
struct registry_words {
	uint64_t hash;
	struct sockaddr_in addr;
	int64_t born_ms;
	bool leaving;
	apr_time_t quiet_until;
};

/* An incarnation whose entry was removed. */
struct registry_removed {
	uint64_t hash;
	struct sockaddr_in addr;
	int64_t born_ms;
	int64_t seq;
};

struct registry_service {
	struct strbuf name;
	struct up **ups;
	size_t count;
	size_t cap;
	/* Run times by route name. */
	apr_hash_t *runs;
	/* Slots kept busy by this VM's requests, by rank. */
	struct rankstats ranks;
	/* When its first upstream was listed. */
	apr_time_t since;
	/* Smoothed fraction of signs of trouble; see policy/pace. */
	double trouble;
	/* Use of the service by tenants of this VM's requests. */
	struct fairshare shares;
	struct retrycap budget;
	/* Fractions of this VM's requests sent to each region. */
	double split[GEO_MAX_REGIONS];
	apr_time_t split_at;
};

struct registry {
	apr_pool_t *pool;
	const struct geo *geo;
	apr_hash_t *by_id;
	/* Every service that was ever listed; entries are never removed. */
	apr_hash_t *services;
	/* An entry may lapse and come back; the oldest is overwritten. */
	struct registry_words words[REGISTRY_WORDS];
	unsigned next_words;
	struct registry_removed removed[REGISTRY_WORDS];
	unsigned next_removed;
	/*
	 * The list is from an older copy of the store: what this VM knows to be
	 * later than an entry goes first.
	 */
	bool restored;
	/* Called when an upstream is removed, to close its connections. */
	void (*dropped)(void *ctx, struct up *up);
	void *ctx;
};

/* Result of registry_put(). */
enum registry_change {
	REGISTRY_SAME,
	REGISTRY_ADDED,
	REGISTRY_CHANGED,
	REGISTRY_RESTARTED,
};

/* Borrows geo and the pool, which must outlive registry. */
void registry_init(struct registry *registry, apr_pool_t *pool,
		   const struct geo *geo);

/* Removes every upstream; the pool is kept. */
void registry_done(struct registry *registry);

/*
 * Adds or updates an entry. Returns an enum registry_change or PST_ERR_NOMEM
 * (< 0). While restored is set, an entry is passed over that is older than what
 * is known of the upstream, or that is of one which was removed.
 */
int registry_put(struct registry *registry, const struct registry_entry *entry,
		 apr_time_t now);

/*
 * Handles an entry that is no longer listed: its upstream is used until
 * hold_until, or removed at once if that is 0 or the upstream is not ready.
 * Returns whether the entry was known.
 */
bool registry_remove(struct registry *registry, struct str id,
		     apr_time_t hold_until);

/*
 * The store was restored from an older copy, and gives revisions out again.
 * Sets restored, which the caller clears.
 */
void registry_note_restore(struct registry *registry);

/* Removes the entries whose hold_until has passed; returns their number. */
int registry_expire(struct registry *registry, apr_time_t now);

struct up *registry_find(const struct registry *registry, struct str id);

/* Returns the service, or NULL if no upstream of it was ever listed. */
struct registry_service *registry_find_service(const struct registry *registry,
					       struct str name);

/* Returns the run times of a route; NULL if out of memory. */
struct registry_route_stats *
registry_route_stats_of(struct registry *registry, struct registry_service *svc,
			struct str route);

/*
 * Records the run time of a successful answer to a request of the rank: took is
 * its time without the round trip, waited the queueing time in it.
 */
void registry_note_run(struct registry_service *svc,
		       struct registry_route_stats *run, unsigned rank,
		       apr_interval_time_t took, apr_interval_time_t waited,
		       apr_time_t now);

/*
 * Returns the load of an upstream in requests: those of this VM in flight and
 * those of others by its last load report.
 */
double up_current_load(const struct up *up, apr_time_t now);

/* Records that an attempt was sent. */
void up_note_sent(struct up *up);

/* Records a load report that came with an answer. */
void up_note_load_report(struct up *up, const struct up_load_report *load,
			 apr_time_t now);

/* Outcome of an attempt. */
enum up_outcome {
	/* The request ran and succeeded. */
	UP_OUTCOME_OK,
	/* The upstream answered with an error. */
	UP_OUTCOME_FAILED,
	/* The upstream shed the request, without running it. */
	UP_OUTCOME_SHED,
	/* The connection was refused, broken or timed out. */
	UP_OUTCOME_CONNECTION_LOST,
	/* This VM gave up for a reason unrelated to the upstream. */
	UP_OUTCOME_ABANDONED,
};

/* Records the outcome of a sent attempt, its duration and the expected one. */
void up_note_outcome(struct up *up, enum up_outcome end,
		     apr_interval_time_t took, apr_interval_time_t expected,
		     apr_time_t now);

/*
 * Records for its pace how long a successful answer took; one that took longer
 * than slow_after is a sign of trouble.
 */
void up_note_answer_time(struct up *up, apr_interval_time_t took,
			 apr_interval_time_t slow_after, apr_time_t now);

/* Records that the upstream handled the object, which is warm there now. */
void up_note_object(struct up *up, uint64_t object, apr_time_t now);

/* Whether the upstream handled the object for this VM recently. */
bool up_is_warm_for(const struct up *up, uint64_t object, apr_time_t now);

/*
 * Records that the upstream said that it leaves: from now on it counts as
 * draining, whatever its entry says, since an upstream that leaves does not
 * come back as the same incarnation. Returns whether that is news.
 */
bool up_note_leaving(struct up *up);

/*
 * Records that the upstream wants no request of this VM for so long. A shorter
 * time does not end a longer one. vm is the hash of this VM's name: the return
 * of many upstreams that end at the same time is spread over a part of it.
 */
void up_note_quiet(struct up *up, apr_interval_time_t quiet, uint64_t vm,
		   apr_time_t now);

/*
 * Takes what an upstream said that was dropped meanwhile over to the one that
 * is listed now, or may be listed later, as the same incarnation.
 */
void registry_keep_words(struct registry *registry, const struct up *up);

/* Whether the upstream, by its own word and its entry, takes requests. */
bool up_accepts(const struct up *up, apr_time_t now);

/* Treats the upstream as cold until its next update is due. */
void up_assume_cold(struct up *up, apr_time_t now);

/* Whether the upstream may get requests, regardless of its cold limit. */
bool up_is_usable(const struct up *up, apr_time_t now);

bool up_is_cold(const struct up *up, apr_time_t now);

#endif
