/*
 * Internals of a broker: grants free slots to queued requests. For brk_core
 * only.
 */
#ifndef POLICY_BRK_GRANT_H
#define POLICY_BRK_GRANT_H

#include "policy/brk_state.h"

struct brk {
	struct brk_cfg cfg;
	struct brk_sink sink;
	struct brk_fleet fleet;
	struct brk_sched sched;
	struct brk_state state;
	uint32_t last_permit_number;
	/* End of the learning phase; 0 when it is over. */
	apr_time_t learn_until;
	size_t entries_expected;
	size_t entries_synced;
	apr_time_t now;
};

/* Advances the broker's clock and averages to now. */
void brk_grant_advance(struct brk *b, apr_time_t now);

void brk_grant_refuse(struct brk *b, const struct brk_entry *entry,
		      uint64_t ask, enum rank rank, enum permit_result result);

/* Sends a permit to its entry VM under a new grant number. */
void brk_grant_send(struct brk *b, struct brk_permit *permit, enum brk_why why,
		    apr_interval_time_t waited);

/* Records a permit without sending it. Returns NULL if out of memory. */
struct brk_permit *brk_grant_record(struct brk *b, struct brk_entry *entry,
				    struct brk_up *up, uint64_t id,
				    uint64_t ask, enum rank rank);

/*
 * Part of the time for which a permit of the entry VM is held that passes in
 * messages.
 */
apr_interval_time_t brk_grant_message_time(const struct brk_entry *entry);

void brk_grant_dequeue(struct brk *b, struct brk_queued *wait);

/* Removes a request from its queue and refuses it. */
void brk_grant_refuse_queued(struct brk *b, struct brk_queued *wait,
			     enum rank rank, enum permit_result result);

void brk_grant_end(struct brk *b, struct brk_permit *permit,
		   enum permit_outcome outcome);

/* Grants free slots to queued requests until either runs out. */
void brk_grant_serve(struct brk *b);

#endif
