/*
 * Storage of a broker: the entry VMs, their permits, and the queued requests of
 * each rank. The rules are in brk_core and broker_grant.
 */
#ifndef POLICY_BROKER_STATE_H
#define POLICY_BROKER_STATE_H

#include "policy/broker_core.h"
#include "policy/broker_map.h"

struct broker_permit {
	struct broker_node by_id;
	struct broker_node by_ask;
	struct broker_entry *entry;
	struct broker_up *up;
	enum rank rank;
	/* Used part of a slot, in units of BROKER_SLOT. */
	uint32_t weight;
	apr_time_t granted_at;
	/* Number of the latest grant message that carried the permit. */
	uint64_t grant;
	/* Number of the latest complete list that contained the permit. */
	uint64_t last_sync;
	struct broker_permit *next;
	struct broker_permit *prev;
};

struct broker_queued {
	struct broker_node by_ask;
	struct broker_entry *entry;
	enum rank rank;
	apr_time_t asked_at;
	/* Latest time at which a grant can still meet the deadline. */
	apr_time_t latest_start;
	struct broker_queued *next;
	struct broker_queued *prev;
};

struct broker_entry {
	struct broker_node by_name;
	struct strbuf name;
	uint64_t incarnation;
	/* Key of the entry VM's requests and permits; unique in the broker. */
	uint64_t serial;
	apr_time_t heard_at;
	/* Round-trip time between the broker and the entry VM; 0 if unknown. */
	apr_interval_time_t round_trip;
	uint64_t grant_count;
	uint64_t sync_count;
	struct broker_permit *permits;
	size_t permit_count;
};

/* Requests in order of arrival. */
struct broker_queue {
	struct broker_queued *first;
	struct broker_queued *last;
};

struct broker_state {
	struct broker_map entries;
	struct broker_map permits;
	struct broker_map permits_by_ask;
	struct broker_map waiting_by_ask;
	struct broker_queue queues[RANK_COUNT];
	uint64_t last_serial;
};

/* Returns 0 or PST_ERR_NOMEM. */
int broker_state_init(struct broker_state *state);
void broker_state_done(struct broker_state *state);

struct broker_entry *broker_state_find_entry(const struct broker_state *state,
					     struct str name);
/* Returns NULL if out of memory. */
struct broker_entry *broker_state_add_entry(struct broker_state *state,
					    struct str name);
/* The entry VM must have no permits and no queued requests. */
void broker_state_drop_entry(struct broker_state *state,
			     struct broker_entry *entry);
/*
 * Gives the entry VM a new serial and resets its counters. It must have no
 * permits and no queued requests.
 */
void broker_state_reset_entry(struct broker_state *state,
			      struct broker_entry *entry);

struct broker_permit *broker_state_find_permit(const struct broker_state *state,
					       const struct broker_entry *entry,
					       uint64_t id);
struct broker_permit *broker_state_find_by_ask(const struct broker_state *state,
					       const struct broker_entry *entry,
					       uint64_t ask);
/* Returns NULL if out of memory. The caller fills in the other fields. */
struct broker_permit *broker_state_add_permit(struct broker_state *state,
					      struct broker_entry *entry,
					      uint64_t id, uint64_t ask);
void broker_state_drop_permit(struct broker_state *state,
			      struct broker_permit *permit);

struct broker_queued *
broker_state_find_waiting(const struct broker_state *state,
			  const struct broker_entry *entry, uint64_t ask);
/* Appends a request to the queue of its rank. Returns NULL if out of memory. */
struct broker_queued *broker_state_enqueue(struct broker_state *state,
					   struct broker_entry *entry,
					   uint64_t ask, enum rank rank);
void broker_state_dequeue(struct broker_state *state,
			  struct broker_queued *wait);

/* Calls visit for each entry VM; visit may drop the entry VM. */
void broker_state_each_entry(struct broker_state *state,
			     void (*visit)(void *ctx,
					   struct broker_entry *entry),
			     void *ctx);

#endif
