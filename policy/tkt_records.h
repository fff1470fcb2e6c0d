/*
 * Records of keyed requests, found by key or by attempt.
 *
 * Each record is on the list of its phase, oldest first. When the table is
 * full the oldest ended record is evicted. That is safe, because its attempt
 * number is not used again.
 */
#ifndef POLICY_TKT_RECORDS_H
#define POLICY_TKT_RECORDS_H

#include <stddef.h>

#include "policy/tkt_key.h"

enum tkt_state {
	/* Waits for the arbiter's ruling on a claim. */
	TKT_ST_CLAIMING,
	/* Waits for the arbiter's ruling on a seal; never runs. */
	TKT_ST_SEALING,
	/* Waits for another process's answer about the outcome. */
	TKT_ST_ASKING,
	/* Verdict TKT_RUN was given; the end is not yet reported. */
	TKT_ST_RUNNING,
	TKT_ST_RAN,
	TKT_ST_NOT_RUN,
	/* Was sent upstream by this process; whether it ran is not known. */
	TKT_ST_OUTCOME_UNKNOWN,
	/* A claim or seal is unconfirmed; this process never runs the key. */
	TKT_ST_UNCONFIRMED,
	/* This process claimed nothing under the key. */
	TKT_ST_UNCLAIMED,
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
	/* Operations sent whose effect was not confirmed. */
	uint32_t unconfirmed_ops;
	/* Error number to answer with if the verdict becomes TKT_UNKNOWN. */
	int reason;
	/* Bytes of a caller's own key; else NULL. */
	char *own_key_bytes;
	/* Next of the hash bucket or of the free list. */
	struct tkt_rec *chain;
	/* Neighbours on the list of the phase. */
	struct tkt_rec *prev;
	struct tkt_rec *next;
};

struct tkt_records;

/* Returns 0 or PST_ERR_NOMEM. */
int tkt_records_create(struct tkt_records **out, uint32_t capacity);
void tkt_records_destroy(struct tkt_records *recs);

/* Both return NULL when there is no such record. */
struct tkt_rec *tkt_records_find(struct tkt_records *recs,
				 const struct tkt_key *key);
struct tkt_rec *tkt_records_by_attempt(struct tkt_records *recs,
				       uint64_t attempt);

/*
 * Adds a pending record with a new attempt number. Returns 0, PST_ERR_FULL
 * when the table is full and no record has ended, or PST_ERR_NOMEM.
 */
int tkt_records_add(struct tkt_records *recs, const struct tkt_key *key,
		    struct tkt_rec **out);

/* Gives a record a new attempt number. */
void tkt_records_new_attempt(struct tkt_records *recs, struct tkt_rec *rec);

/* Moves a record to the end of a phase's list. */
void tkt_records_move(struct tkt_records *recs, struct tkt_rec *rec,
		      enum tkt_phase phase);
void tkt_records_remove(struct tkt_records *recs, struct tkt_rec *rec);

/* Returns the oldest record of a phase, or NULL; next links the others. */
struct tkt_rec *tkt_records_first(struct tkt_records *recs,
				  enum tkt_phase phase);
uint64_t tkt_records_count(const struct tkt_records *recs,
			   enum tkt_phase phase);

#endif
