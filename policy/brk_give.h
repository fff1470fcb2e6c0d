/*
 * The inside of a broker: gives free slots to the asks that wait. For
 * brk_core only.
 */
#ifndef POLICY_BRK_GIVE_H
#define POLICY_BRK_GIVE_H

#include "policy/brk_hold.h"

struct brk {
	struct brk_cfg cfg;
	struct brk_sink sink;
	struct brk_fleet fleet;
	struct brk_line line;
	struct brk_hold hold;
	uint32_t permits_made;
	/* 0 once learning is over. */
	apr_time_t learn_until;
	size_t expected;
	size_t synced;
	apr_time_t now;
};

/* Moves the averages and the time of the broker to now. */
void brk_give_advance(struct brk *b, apr_time_t now);

void brk_give_refuse(struct brk *b, const struct brk_entry *entry, uint64_t ask,
		     enum rank rank, enum permit_result result);

/* Tells the entry of a permit, with a new number of the grant. */
void brk_give_again(struct brk *b, struct brk_permit *permit, enum brk_why why,
		    apr_interval_time_t waited);

/* Counts a permit, without telling; NULL when memory is out. */
struct brk_permit *brk_give_take(struct brk *b, struct brk_entry *entry,
				 struct brk_up *up, uint64_t id, uint64_t ask,
				 enum rank rank);

/* Time that messages take while a permit of the entry is out. */
apr_interval_time_t brk_give_messages(const struct brk_entry *entry);

void brk_give_drop_wait(struct brk *b, struct brk_wait *wait);

/* Drops a waiting ask and refuses it. */
void brk_give_turn_away(struct brk *b, struct brk_wait *wait, enum rank rank,
			enum permit_result result);

void brk_give_end(struct brk *b, struct brk_permit *permit,
		  enum permit_outcome outcome);

/* Gives free slots to asks until one or the other runs out. */
void brk_give_serve(struct brk *b);

#endif
