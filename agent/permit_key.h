/*
 * Internals of the permit agent's state: the records of each service and
 * failure domain (key), unanswered ask and held permit. Only for
 * permit_state.c and permit_key.c.
 */
#ifndef AGENT_PERMIT_KEY_H
#define AGENT_PERMIT_KEY_H

#include "agent/permit_local.h"
#include "agent/permit_peer.h"
#include "agent/permit_state.h"
#include "policy/broker_map.h"

/* A service and failure domain. */
struct permit_key {
	struct broker_node node;
	struct permit_key *next;
	struct permit_state *st;
	struct strbuf service;
	struct strbuf domain;
	/* VM of the key's broker; NULL when there is none. */
	struct permit_peer *peer;
	/* Local permits; NULL until the first use. */
	struct permit_local *local;
	apr_time_t used_at;
	/* Highest grant number received from the current broker. */
	uint64_t seen;
	/* Whether the broker is still to be sent all permits held. */
	bool full_due;
	/* Index of the key's part in the peer's batch of part_round. */
	uint64_t part_round;
	int part;
	struct permit_held *permits;
};

/* An ask without an answer so far. */
struct permit_waiting {
	struct broker_node node;
	struct permit_key *key;
	enum rank rank;
	apr_time_t deadline;
	/* Waits for a local permit, not for the broker. */
	bool local;
	struct permit_waiting *next;
	struct permit_waiting *prev;
};

/* A permit in use. */
struct permit_held {
	struct broker_node node;
	struct permit_key *key;
	uint64_t ask;
	enum rank rank;
	apr_time_t since;
	struct strbuf upstream;
	struct permit_held *next;
	struct permit_held *prev;
};

struct permit_state {
	struct permit_state_cfg cfg;
	struct permit_io io;
	struct ctl_view *view;
	struct broker_map keys;
	struct permit_key *first_key;
	struct permit_peer *first_peer;
	struct broker_map asks;
	/* Unanswered asks in order of arrival. */
	struct permit_waiting *first_ask;
	struct permit_waiting *last_ask;
	struct broker_map permits;
	apr_time_t now;
};

/* Returns NULL when the ask has been answered. */
struct permit_waiting *permit_waiting_find(const struct permit_state *st,
					   uint64_t id);
void permit_waiting_drop(struct permit_state *st, struct permit_waiting *ask);

/* Answers with a refusal. The ask may have been dropped already. */
void permit_waiting_refuse(struct permit_state *st, uint64_t ask_id,
			   enum permit_result result,
			   apr_interval_time_t retry_after);
/* Answers the ask with a permit that is held from now on, and drops it. */
void permit_waiting_grant(struct permit_state *st, struct permit_waiting *ask,
			  uint64_t id, struct str upstream, struct str address,
			  uint16_t port);
/*
 * Asks for a local permit, from the static share or by a baseline policy.
 * Any ask that waits locally may be answered before this returns.
 */
void permit_waiting_ask_locally(struct permit_waiting *ask);
/* Adds the ask to the batch for its broker. */
void permit_waiting_send(struct permit_waiting *ask);

void permit_held_drop(struct permit_state *st, struct permit_held *permit);

/* Finds or creates a key. Returns NULL when memory is out. */
struct permit_key *permit_key_obtain(struct permit_state *st,
				     const struct strbuf *service,
				     const struct strbuf *domain);
/* Returns NULL when there is no such key. */
struct permit_key *permit_key_find(const struct permit_state *st,
				   struct str service, struct str domain);
/* Also frees the key's permits and its local share. */
void permit_key_free(struct permit_key *key);

/* Whether the key has a broker that is not silent. */
bool permit_key_reachable(const struct permit_key *key);
/*
 * Returns the key's part of the next batch to its broker, or NULL when the
 * broker can't be reached or the part can't be added.
 */
pmt_part *permit_key_part(struct permit_key *key);
/* Adds the complete list of held permits to the key's part. */
void permit_key_list_held(struct permit_key *key);
/* Chooses the key's broker by the current VM list. */
void permit_key_update_broker(struct permit_key *key);
/* Sends the key's unanswered asks again. */
void permit_key_resend(struct permit_state *st, const struct permit_key *key);

/* The key's local permits, created on first use; NULL when memory is out. */
struct permit_local *permit_key_local(struct permit_key *key);
/*
 * Asks for local permits in place of the broker's for all of the key's
 * unanswered asks. Permits held from a broker count against the local share.
 * Returns the number of asks switched.
 */
unsigned permit_key_switch_to_local(struct permit_key *key);

/* Finds or creates the peer for a broker's VM. NULL when memory is out. */
struct permit_peer *permit_key_peer(struct permit_state *st,
				    const struct vm *vm);

#endif
