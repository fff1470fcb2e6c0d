/*
 * What a broker remembers: the entry VMs, their permits, and the asks that
 * wait in the lines of the ranks. Only storage; the rules are in brk_core.
 */
#ifndef POLICY_BRK_HOLD_H
#define POLICY_BRK_HOLD_H

#include "policy/brk_core.h"
#include "policy/brk_map.h"

struct brk_permit {
	struct brk_node by_id;
	struct brk_node by_ask;
	struct brk_entry *entry;
	struct brk_up *up;
	enum rank rank;
	/* What it counts for, in units of BRK_SLOT. */
	uint32_t weight;
	apr_time_t granted_at;
	/* Number of the latest answer that carried it. */
	uint64_t grant;
	/* Number of the latest complete list that had it. */
	uint64_t sync;
	struct brk_permit *next;
	struct brk_permit *prev;
};

struct brk_wait {
	struct brk_node by_ask;
	struct brk_entry *entry;
	enum rank rank;
	apr_time_t asked_at;
	/* Too late to begin after this. */
	apr_time_t latest_start;
	struct brk_wait *next;
	struct brk_wait *prev;
};

struct brk_entry {
	struct brk_node by_name;
	struct strbuf name;
	uint64_t incarnation;
	/* Key of its asks and permits; unique in the broker. */
	uint64_t serial;
	apr_time_t heard_at;
	/* There and back between the broker and it; 0 when not known. */
	apr_interval_time_t round_trip;
	uint64_t grants;
	uint64_t syncs;
	struct brk_permit *permits;
	size_t permit_count;
};

/* Asks in the order in which they came. */
struct brk_queue {
	struct brk_wait *first;
	struct brk_wait *last;
};

struct brk_hold {
	struct brk_map entries;
	struct brk_map permits;
	struct brk_map granted;
	struct brk_map waits;
	struct brk_queue queues[RANK_COUNT];
	uint64_t serials;
};

/* Returns 0 or PST_ERR_NOMEM. */
int brk_hold_init(struct brk_hold *hold);
void brk_hold_done(struct brk_hold *hold);

struct brk_entry *brk_hold_entry(const struct brk_hold *hold, struct str name);
/* NULL when memory is out. */
struct brk_entry *brk_hold_add_entry(struct brk_hold *hold, struct str name);
/* It must have no permits and no asks. */
void brk_hold_drop_entry(struct brk_hold *hold, struct brk_entry *entry);
/* Gives the entry a new key; the same condition. */
void brk_hold_renumber(struct brk_hold *hold, struct brk_entry *entry);

struct brk_permit *brk_hold_permit(const struct brk_hold *hold,
				   const struct brk_entry *entry, uint64_t id);
struct brk_permit *brk_hold_granted(const struct brk_hold *hold,
				    const struct brk_entry *entry,
				    uint64_t ask);
/* NULL when memory is out; the caller fills in the rest. */
struct brk_permit *brk_hold_add_permit(struct brk_hold *hold,
				       struct brk_entry *entry, uint64_t id,
				       uint64_t ask);
void brk_hold_drop_permit(struct brk_hold *hold, struct brk_permit *permit);

struct brk_wait *brk_hold_wait(const struct brk_hold *hold,
			       const struct brk_entry *entry, uint64_t ask);
/* NULL when memory is out; goes to the end of the rank's line. */
struct brk_wait *brk_hold_add_wait(struct brk_hold *hold,
				   struct brk_entry *entry, uint64_t ask,
				   enum rank rank);
void brk_hold_drop_wait(struct brk_hold *hold, struct brk_wait *wait);

/* Calls visit, which may drop the entry, for each. */
void brk_hold_each_entry(struct brk_hold *hold,
			 void (*visit)(void *ctx, struct brk_entry *entry),
			 void *ctx);

#endif
