/*
 * The broker of one service and failure domain: gives permits for the slots
 * of its upstreams to entry VMs.
 *
 * Every entry VM says hello, and again after a restart (new incarnation);
 * its permits are free again when nothing is heard of it for the time to
 * live. A lost message is made good by asking again (an ask is idempotent)
 * and by the complete list of held permits (brk_sync()).
 */
#ifndef POLICY_BRK_CORE_H
#define POLICY_BRK_CORE_H

#include "policy/brk_line.h"
#include "policy/brk_up.h"

/*
 * The epoch of the nth broker of a process: different for each, and without
 * the highest bit, which marks permits that entry VMs give.
 */
uint32_t brk_epoch(uint64_t incarnation, uint64_t nth);

struct brk_cfg {
	struct brk_up_cfg up;
	apr_interval_time_t permit_ttl;
	/* Longest time in which held permits are learned; 0 for none. */
	apr_interval_time_t learn;
	/* Most asks waiting in one rank. */
	uint32_t line_max;
	/* Upper bits of every permit's number; unique to this broker. */
	uint32_t epoch;
};

struct brk_ask {
	/* Unique within an incarnation of the entry. */
	uint64_t id;
	enum rank rank;
	apr_time_t deadline;
};

/* A permit that an entry says it holds. */
struct brk_claim {
	uint64_t permit;
	uint64_t ask;
	enum rank rank;
	apr_interval_time_t age;
	struct strbuf upstream;
};

enum brk_why {
	/* The rank was below its reserved part. */
	BRK_WHY_RESERVE,
	/* First in the order of ranks. */
	BRK_WHY_ORDER,
	/* Given before; the ask came again. */
	BRK_WHY_AGAIN,
	BRK_WHY_REFUSED,
};

struct brk_answer {
	const struct strbuf *entry;
	uint64_t ask;
	enum rank rank;
	enum permit_result result;
	enum brk_why why;
	/* Granted only; valid during the call. */
	uint64_t permit;
	uint64_t grant;
	const struct brk_up *up;
	apr_interval_time_t waited;
	/* Refused only. */
	apr_interval_time_t retry_after;
	/* Upstreams known, free slots and waiting asks, for the log. */
	uint32_t among;
	uint32_t free;
	uint32_t waiting;
};

/* Called from within the functions below, which it must not call. */
struct brk_sink {
	void (*answer)(void *ctx, const struct brk_answer *answer);
	/* The slots of an upstream changed. */
	void (*capacity)(void *ctx, const struct brk_up *up);
	/* Permits of a silent entry are free again. */
	void (*expired)(void *ctx, const struct strbuf *entry, size_t permits);
	void *ctx;
};

struct brk;
struct brk_entry;

/* Returns 0 or PST_ERR_NOMEM. */
int brk_create(struct brk **out, const struct brk_cfg *cfg,
	       struct brk_sink sink, apr_time_t now);
void brk_destroy(struct brk *b);

void brk_set_reserves(struct brk *b, const uint32_t pct[RANK_COUNT],
		      apr_time_t now);

/* Returns 0 or PST_ERR_NOMEM. */
int brk_set_upstreams(struct brk *b, const struct brk_listed *vms, size_t count,
		      apr_time_t now);

/* How many entries are expected to report while learning. */
void brk_expect(struct brk *b, size_t entries);

/*
 * Notes that the entry lives. The result is valid until it expires; look it
 * up for each message. Returns NULL when memory is out.
 */
struct brk_entry *brk_hello(struct brk *b, struct str name,
			    uint64_t incarnation, apr_time_t now);

/*
 * Notes how long a message takes there and back. Work of a far entry VM uses
 * a slot for a part of the time for which its permit is out.
 */
void brk_far(struct brk_entry *entry, apr_interval_time_t round_trip);

/* Answered at once or later; an ask that is known is answered again. */
void brk_ask(struct brk *b, struct brk_entry *entry, const struct brk_ask *ask,
	     apr_time_t now);

/* Gives up an ask; a permit given for it is free again. */
void brk_cancel(struct brk *b, struct brk_entry *entry, uint64_t ask,
		apr_time_t now);

void brk_release(struct brk *b, struct brk_entry *entry, uint64_t permit,
		 enum permit_outcome outcome, apr_time_t now);

/*
 * Takes in the complete list of what the entry holds. Permits not in it are
 * free again unless their grant's number is above seen.
 */
void brk_sync(struct brk *b, struct brk_entry *entry,
	      const struct brk_claim *claims, size_t count, uint64_t seen,
	      apr_time_t now);

void brk_report(struct brk *b, struct str upstream,
		const struct permit_report *report, apr_time_t now);

/* Does what time brings; to be called every 20 ms or so. */
void brk_tick(struct brk *b, apr_time_t now);

bool brk_learning(const struct brk *b);

/* Sums, for metrics and tests. */
struct brk_stats {
	uint32_t usable;
	uint32_t held;
	uint32_t held_by[RANK_COUNT];
	uint32_t waiting_by[RANK_COUNT];
	size_t entries;
	size_t permits;
	size_t upstreams;
};

void brk_stats(const struct brk *b, struct brk_stats *out);
const struct brk_up *brk_upstream(const struct brk *b, struct str name);
const char *brk_why_name(enum brk_why why);

#endif
