/*
 * The inside of the permit agent's state: what it keeps for each service and
 * failure domain (key), open ask and held permit. For permit_state only.
 */
#ifndef AGENT_PERMIT_KEY_H
#define AGENT_PERMIT_KEY_H

#include "agent/permit_local.h"
#include "agent/permit_peer.h"
#include "agent/permit_state.h"
#include "policy/brk_map.h"

/* A service and failure domain. */
struct permit_key {
	struct brk_node node;
	struct permit_key *next;
	struct permit_state *st;
	struct strbuf service;
	struct strbuf domain;
	/* The broker's VM; NULL when there is none. */
	struct permit_peer *peer;
	/* NULL until needed. */
	struct permit_local *local;
	apr_time_t used_at;
	/* Highest number of a grant from the present broker. */
	uint64_t seen;
	bool full_due;
	/* Place of its part in the batch of this round. */
	uint64_t part_round;
	int part;
	struct permit_held *permits;
};

struct permit_open {
	struct brk_node node;
	struct permit_key *key;
	enum rank rank;
	apr_time_t deadline;
	bool local;
	struct permit_open *next;
	struct permit_open *prev;
};

struct permit_held {
	struct brk_node node;
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
	struct brk_map keys;
	struct permit_key *first_key;
	struct permit_peer *first_peer;
	struct brk_map asks;
	/* In the order in which they came. */
	struct permit_open *first_ask;
	struct permit_open *last_ask;
	struct brk_map permits;
	apr_time_t now;
};

/* NULL when it has been answered. */
struct permit_open *permit_open_find(const struct permit_state *st,
				     uint64_t id);
void permit_open_drop(struct permit_state *st, struct permit_open *ask);

/* Answers an ask, which need not be known any more. */
void permit_open_refuse(struct permit_state *st, uint64_t ask_id,
			enum permit_result result,
			apr_interval_time_t retry_after);
/* Answers the ask with a permit, and drops it. */
void permit_open_grant(struct permit_state *st, struct permit_open *ask,
		       uint64_t id, struct str upstream, struct str address,
		       uint16_t port);
/* Asks the own share, or a baseline; may answer any open ask. */
void permit_open_locally(struct permit_open *ask);
/* Puts the ask into the batch for its broker. */
void permit_open_send(struct permit_open *ask);

void permit_held_drop(struct permit_state *st, struct permit_held *permit);

/* NULL when memory is out. */
struct permit_key *permit_key_for(struct permit_state *st,
				  const struct strbuf *service,
				  const struct strbuf *domain);
/* NULL when it has not been used. */
struct permit_key *permit_key_named(const struct permit_state *st,
				    struct str service, struct str domain);
/* With its permits and its own share. */
void permit_key_free(struct permit_key *key);

/* Whether it has a broker that is not silent. */
bool permit_key_reachable(const struct permit_key *key);
/* Its part of the batch being collected, or NULL. */
pmt_part *permit_key_part(struct permit_key *key);
/* Puts the complete list of what is held into its part. */
void permit_key_full(struct permit_key *key);
/* Follows its broker to where the present list puts it. */
void permit_key_move(struct permit_key *key);
/* Sends its open asks again. */
void permit_key_resend(struct permit_state *st, const struct permit_key *key);

/* Its own share, made on first use; NULL when memory is out. */
struct permit_local *permit_key_local(struct permit_key *key);
/*
 * Turns its open asks to the own share, against which what a broker gave is
 * counted. Returns how many were turned.
 */
unsigned permit_key_turn_local(struct permit_key *key);

/* The VM as a broker's; NULL when memory is out. */
struct permit_peer *permit_key_peer(struct permit_state *st,
				    const struct vm *vm);

#endif
