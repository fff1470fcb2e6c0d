/*
 * The broker of one service in one failure domain: grants permits for the slots
 * of its upstreams to entry VMs.
 *
 * Every entry VM announces itself with broker_hello(), after a restart with a
 * new incarnation. Its permits are freed when nothing is received from it for
 * the permits' time to live. Lost messages are recovered by repeating the
 * permit request, which is idempotent, and by the complete list of held permits
 * (broker_sync()).
 */
#ifndef POLICY_BROKER_CORE_H
#define POLICY_BROKER_CORE_H

#include "policy/broker_sched.h"
#include "policy/broker_up.h"

/*
 * Returns the epoch of the nth broker of a process. It differs for each broker
 * and leaves the highest bit clear, which marks permits that entry VMs issue
 * themselves.
 */
uint32_t broker_epoch(uint64_t incarnation, uint64_t nth);

struct broker_cfg {
	struct broker_up_cfg up;
	apr_interval_time_t permit_ttl;
	/*
	 * Longest time for which a new broker learns the permits that are held
	 * already; 0 for none.
	 */
	apr_interval_time_t learn_time;
	/* Largest number of queued requests per rank. */
	uint32_t queue_max;
	/* Upper 32 bits of every permit's number; unique to this broker. */
	uint32_t epoch;
};

struct broker_ask {
	/* Unique within an incarnation of the entry VM. */
	uint64_t id;
	enum rank rank;
	apr_time_t deadline;
};

/* A permit that an entry VM reports as held. */
struct broker_claim {
	uint64_t permit;
	uint64_t ask;
	enum rank rank;
	apr_interval_time_t age;
	struct strbuf upstream;
};

enum broker_why {
	/* The rank held fewer slots than its reserved part. */
	BROKER_WHY_RESERVE,
	/* The rank was the most urgent one that may take a slot. */
	BROKER_WHY_ORDER,
	/* The permit was granted before and the request was repeated. */
	BROKER_WHY_AGAIN,
	BROKER_WHY_REFUSED,
};

struct broker_answer {
	const struct strbuf *entry;
	uint64_t ask;
	enum rank rank;
	enum permit_result result;
	enum broker_why why;
	/* Set for PERMIT_GRANTED only; up is valid during the call. */
	uint64_t permit;
	uint64_t grant;
	const struct broker_up *up;
	apr_interval_time_t waited;
	/* Set for refusals only. */
	apr_interval_time_t retry_after;
	/*
	 * Numbers of known upstreams, free slots and queued requests, for the
	 * log.
	 */
	uint32_t upstream_count;
	uint32_t free;
	uint32_t waiting;
};

/* Callbacks. They must not call the functions below. */
struct broker_sink {
	void (*answer)(void *ctx, const struct broker_answer *answer);
	/* The number of usable slots of an upstream changed. */
	void (*capacity)(void *ctx, const struct broker_up *up);
	/*
	 * Nothing was received from an entry VM for the permits' time to live,
	 * so its permits were freed.
	 */
	void (*expired)(void *ctx, const struct strbuf *entry, size_t permits);
	void *ctx;
};

struct broker;
struct broker_entry;

/* Returns 0 or PST_ERR_NOMEM. */
int broker_create(struct broker **out, const struct broker_cfg *cfg,
		  struct broker_sink sink, apr_time_t now);
void broker_destroy(struct broker *b);

void broker_set_reserves(struct broker *b, const uint32_t pct[RANK_COUNT],
			 apr_time_t now);

/* Returns 0 or PST_ERR_NOMEM. */
int broker_set_upstreams(struct broker *b, const struct broker_listed_vm *vms,
			 size_t count, apr_time_t now);

/* Sets the number of entry VMs whose lists end the learning phase. */
void broker_expect_entries(struct broker *b, size_t entries);

/*
 * Records that the entry VM is alive. The result is valid until the entry VM
 * expires, so look it up for each message. Returns NULL if out of memory.
 */
struct broker_entry *broker_hello(struct broker *b, struct str name,
				  uint64_t incarnation, apr_time_t now);

/*
 * Sets the entry VM's round-trip time. A request from a remote entry VM uses
 * its slot for only a part of the time for which its permit is held.
 */
void broker_set_round_trip(struct broker_entry *entry,
			   apr_interval_time_t round_trip);

/*
 * Requests a permit. The answer callback is called at once or later. A queued
 * request is not queued again; one that holds a permit is answered again.
 */
void broker_ask(struct broker *b, struct broker_entry *entry,
		const struct broker_ask *ask, apr_time_t now);

/* Cancels a request and frees a permit granted for it. */
void broker_cancel(struct broker *b, struct broker_entry *entry, uint64_t ask,
		   apr_time_t now);

void broker_release(struct broker *b, struct broker_entry *entry,
		    uint64_t permit, enum permit_outcome outcome,
		    apr_time_t now);

/*
 * Applies the complete list of the permits that the entry VM holds. Permits
 * that are not in it are freed. Those whose grant number is above seen may
 * still be in flight to the entry VM and are freed only after the permits' time
 * to live.
 */
void broker_sync(struct broker *b, struct broker_entry *entry,
		 const struct broker_claim *claims, size_t count, uint64_t seen,
		 apr_time_t now);

void broker_report(struct broker *b, struct str upstream,
		   const struct load_report *report, apr_time_t now);

/* Handles time-outs; to be called about every 20 ms. */
void broker_tick(struct broker *b, apr_time_t now);

bool broker_learning(const struct broker *b);

/* Totals, for metrics and tests. */
struct broker_stats {
	uint32_t usable;
	uint32_t held;
	uint32_t held_by[RANK_COUNT];
	uint32_t waiting_by[RANK_COUNT];
	size_t entries;
	size_t permits;
	size_t upstreams;
};

void broker_stats(const struct broker *b, struct broker_stats *out);
const struct broker_up *broker_upstream(const struct broker *b,
					struct str name);
const char *broker_why_name(enum broker_why why);

#endif
