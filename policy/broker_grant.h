/*
 * Internals of a broker: grants free slots to queued requests. For brk_core
 * only.
 */
#ifndef POLICY_BROKER_GRANT_H
#define POLICY_BROKER_GRANT_H

#include "policy/broker_state.h"

struct broker {
	struct broker_cfg cfg;
	struct broker_sink sink;
	struct broker_fleet fleet;
	struct broker_sched sched;
	struct broker_state state;
	uint32_t last_permit_number;
	/* End of the learning phase; 0 when it is over. */
	apr_time_t learn_until;
	size_t entries_expected;
	size_t entries_synced;
	apr_time_t now;
};

/* Advances the broker's clock and averages to now. */
void broker_grant_advance(struct broker *b, apr_time_t now);

void broker_grant_refuse(struct broker *b, const struct broker_entry *entry,
			 uint64_t ask, enum rank rank,
			 enum permit_result result);

/* Sends a permit to its entry VM under a new grant number. */
void broker_grant_send(struct broker *b, struct broker_permit *permit,
		       enum broker_why why, apr_interval_time_t waited);

/* Records a permit without sending it. Returns NULL if out of memory. */
struct broker_permit *broker_grant_record(struct broker *b,
					  struct broker_entry *entry,
					  struct broker_up *up, uint64_t id,
					  uint64_t ask, enum rank rank);

/*
 * Part of the time for which a permit of the entry VM is held that passes in
 * messages.
 */
apr_interval_time_t broker_grant_message_time(const struct broker_entry *entry);

void broker_grant_dequeue(struct broker *b, struct broker_queued *wait);

/* Removes a request from its queue and refuses it. */
void broker_grant_refuse_queued(struct broker *b, struct broker_queued *wait,
				enum rank rank, enum permit_result result);

void broker_grant_end(struct broker *b, struct broker_permit *permit,
		      enum permit_outcome outcome);

/* Grants free slots to queued requests until either runs out. */
void broker_grant_serve(struct broker *b);

#endif
