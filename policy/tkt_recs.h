/*
 * The asker's records, found by key or by attempt.
 *
 * Each record is on the list of its phase, oldest first. When the table is
 * full the ended record that is oldest makes room; to forget it is safe,
 * because its attempt number is not used again.
 */
#ifndef POLICY_TKT_RECS_H
#define POLICY_TKT_RECS_H

#include <stddef.h>

#include "policy/tkt_key.h"

enum tkt_state {
	/* Waits for the arbiter's word on a claim. */
	TKT_ST_CLAIMING,
	/* Waits for the arbiter's word on a seal; never runs. */
	TKT_ST_SEALING,
	/* Waits for another process's word on the outcome. */
	TKT_ST_ASKING,
	/* Verdict TKT_RUN told, end not yet reported. */
	TKT_ST_RUNNING,
	TKT_ST_RAN,
	TKT_ST_NOT_RUN,
	/* Ran here with an end that is not known. */
	TKT_ST_SENT,
	/* A claim or seal is unconfirmed; this process never runs the key. */
	TKT_ST_DOUBT,
	/* Nothing was claimed here. */
	TKT_ST_FOREIGN,
};

enum tkt_phase {
	TKT_PHASE_PENDING,
	TKT_PHASE_RUNNING,
	TKT_PHASE_ENDED,
	TKT_PHASE_COUNT,
};

struct tkt_rec {
	struct tkt_key key;
	uint64_t hash;
	uint64_t attempt;
	uint64_t request_id;
	apr_time_t deadline;
	apr_time_t seal_at;
	apr_time_t resend_at;
	apr_time_t give_up_at;
	apr_time_t forget_at;
	enum tkt_state state;
	enum tkt_phase phase;
	/* Operations sent that may take effect unseen. */
	uint32_t open;
	/* Why the verdict is TKT_UNKNOWN, so far as is known. */
	int reason;
	/* Holds the bytes of an own key. */
	char *own;
	struct tkt_rec *chain;
	struct tkt_rec *prev;
	struct tkt_rec *next;
};

struct tkt_recs;

/* Returns 0 or PST_ERR_NOMEM. */
int tkt_recs_create(struct tkt_recs **out, uint32_t capacity);
void tkt_recs_destroy(struct tkt_recs *recs);

/* Both return NULL when there is none. */
struct tkt_rec *tkt_recs_find(struct tkt_recs *recs, const struct tkt_key *key);
struct tkt_rec *tkt_recs_by_attempt(struct tkt_recs *recs, uint64_t attempt);

/*
 * Adds a pending record with a new attempt, otherwise zeroed. Returns 0,
 * PST_ERR_FULL when no record has ended, or PST_ERR_NOMEM.
 */
int tkt_recs_add(struct tkt_recs *recs, const struct tkt_key *key,
		 struct tkt_rec **out);

/* Gives a record the next attempt number. */
void tkt_recs_renew(struct tkt_recs *recs, struct tkt_rec *rec);

/* Puts a record at the end of a phase's list. */
void tkt_recs_move(struct tkt_recs *recs, struct tkt_rec *rec,
		   enum tkt_phase phase);
void tkt_recs_drop(struct tkt_recs *recs, struct tkt_rec *rec);

/* The oldest of a phase, or NULL; its next member leads to the others. */
struct tkt_rec *tkt_recs_first(struct tkt_recs *recs, enum tkt_phase phase);
uint64_t tkt_recs_count(const struct tkt_recs *recs, enum tkt_phase phase);

#endif
