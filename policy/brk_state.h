/*
 * Storage of a broker: the entry VMs, their permits, and the queued requests of
 * each rank. The rules are in brk_core and brk_give.
 */
#ifndef POLICY_BRK_STATE_H
#define POLICY_BRK_STATE_H

#include "policy/brk_core.h"
#include "policy/brk_map.h"

struct brk_permit {
	struct brk_node by_id;
	struct brk_node by_ask;
	struct brk_entry *entry;
	struct brk_up *up;
	enum rank rank;
	/* Used part of a slot, in units of BRK_SLOT. */
	uint32_t weight;
	apr_time_t granted_at;
	/* Number of the latest grant message that carried the permit. */
	uint64_t grant;
	/* Number of the latest complete list that contained the permit. */
	uint64_t last_sync;
	struct brk_permit *next;
	struct brk_permit *prev;
};

struct brk_queued {
	struct brk_node by_ask;
	struct brk_entry *entry;
	enum rank rank;
	apr_time_t asked_at;
	/* Latest time at which a grant can still meet the deadline. */
	apr_time_t latest_start;
	struct brk_queued *next;
	struct brk_queued *prev;
};

struct brk_entry {
	struct brk_node by_name;
	struct strbuf name;
	uint64_t incarnation;
	/* Key of the entry VM's requests and permits; unique in the broker. */
	uint64_t serial;
	apr_time_t heard_at;
	/* Round-trip time between the broker and the entry VM; 0 if unknown. */
	apr_interval_time_t round_trip;
	uint64_t grant_count;
	uint64_t sync_count;
	struct brk_permit *permits;
	size_t permit_count;
};

/* Requests in order of arrival. */
struct brk_queue {
	struct brk_queued *first;
	struct brk_queued *last;
};

struct brk_state {
	struct brk_map entries;
	struct brk_map permits;
	struct brk_map permits_by_ask;
	struct brk_map waiting_by_ask;
	struct brk_queue queues[RANK_COUNT];
	uint64_t last_serial;
};

/* Returns 0 or PST_ERR_NOMEM. */
int brk_state_init(struct brk_state *state);
void brk_state_done(struct brk_state *state);

struct brk_entry *brk_state_find_entry(const struct brk_state *state,
				       struct str name);
/* Returns NULL if out of memory. */
struct brk_entry *brk_state_add_entry(struct brk_state *state, struct str name);
/* The entry VM must have no permits and no queued requests. */
void brk_state_drop_entry(struct brk_state *state, struct brk_entry *entry);
/*
 * Gives the entry VM a new serial and resets its counters. It must have no
 * permits and no queued requests.
 */
void brk_state_reset_entry(struct brk_state *state, struct brk_entry *entry);

struct brk_permit *brk_state_find_permit(const struct brk_state *state,
					 const struct brk_entry *entry,
					 uint64_t id);
struct brk_permit *brk_state_find_by_ask(const struct brk_state *state,
					 const struct brk_entry *entry,
					 uint64_t ask);
/* Returns NULL if out of memory. The caller fills in the other fields. */
struct brk_permit *brk_state_add_permit(struct brk_state *state,
					struct brk_entry *entry, uint64_t id,
					uint64_t ask);
void brk_state_drop_permit(struct brk_state *state, struct brk_permit *permit);

struct brk_queued *brk_state_find_waiting(const struct brk_state *state,
					  const struct brk_entry *entry,
					  uint64_t ask);
/* Appends a request to the queue of its rank. Returns NULL if out of memory. */
struct brk_queued *brk_state_enqueue(struct brk_state *state,
				     struct brk_entry *entry, uint64_t ask,
				     enum rank rank);
void brk_state_dequeue(struct brk_state *state, struct brk_queued *wait);

/* Calls visit for each entry VM; visit may drop the entry VM. */
void brk_state_each_entry(struct brk_state *state,
			  void (*visit)(void *ctx, struct brk_entry *entry),
			  void *ctx);

#endif
