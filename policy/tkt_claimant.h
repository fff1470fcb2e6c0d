/*
 * The claimant: takes each keyed request of this process from its arrival to
 * a verdict, and remembers how it ended.
 *
 * One attempt is made for a key at a time. It claims the key from the
 * arbiter (the ticket's witness, or the store for a caller's own key). When
 * the claim stays unanswered it requests a seal instead, and from then on
 * this process never runs the key, whatever answer arrives later. The verdict
 * "not run" is given only when the arbiter has sealed the key, or when it names
 * an attempt as the key's owner whose process says that it did not run the key
 * and never will.
 *
 * Attempt numbers are never reused, so that a late answer to an earlier
 * attempt matches no record.
 */
#ifndef POLICY_TKT_CLAIMANT_H
#define POLICY_TKT_CLAIMANT_H

#include <stddef.h>

#include "policy/tkt_key.h"

enum tkt_action_kind {
	/* Send an operation to the key's arbiter. */
	TKT_ACT_ARBITRATE,
	/* Ask another process for the outcome of the key. */
	TKT_ACT_ASK,
	/* Answer the request with its verdict. */
	TKT_ACT_ANSWER,
};

/* Action for the caller to perform; valid during the call only. */
struct tkt_action {
	enum tkt_action_kind kind;
	const struct tkt_key *key;
	/* Identifies the record in the answer to the operation or question. */
	uint64_t attempt;
	union {
		enum tkt_op_kind op;
		/* Process to ask, and the attempt in question (0: any). */
		struct tkt_owner ask;
		struct tkt_answer answer;
	};
};

struct tkt_claimant_conf {
	uint64_t vm;
	uint64_t incarnation;
	/* Maximum number of keys remembered, in progress or ended. */
	uint32_t capacity;
	/* How long an ended key is remembered. */
	apr_interval_time_t retain;
	/* Longest time to wait for a verdict before it is "unknown". */
	apr_interval_time_t give_up;
	/* Interval at which an operation is sent again to a witness. */
	apr_interval_time_t resend;
	/* Interval at which an operation is sent again to the store. */
	apr_interval_time_t resend_store;
	/* Must not call back into the claimant. */
	void (*act)(void *ctx, const struct tkt_action *action);
	void *ctx;
};

struct tkt_claimant;

/* Returns 0 or PST_ERR_NOMEM. */
int tkt_claimant_create(struct tkt_claimant **out,
			const struct tkt_claimant_conf *conf);

/* NULL is allowed. */
void tkt_claimant_destroy(struct tkt_claimant *claimant);

/*
 * Takes a request. Its verdict comes as an action, during this call or later,
 * at the latest in the first tick from the deadline on. Returns 0, or
 * PST_ERR_FULL or PST_ERR_NOMEM when nothing was done.
 */
int tkt_claimant_admit(struct tkt_claimant *claimant, uint64_t request_id,
		       const struct tkt_key *key, apr_time_t deadline,
		       apr_time_t now);

/* Reports the arbiter's ruling on an operation of an attempt. */
void tkt_claimant_ruling(struct tkt_claimant *claimant, uint64_t attempt,
			 const struct tkt_ruling *ruling, apr_time_t now);

/*
 * Reports the answer of the process that was asked; no_reply when it did not
 * answer.
 */
void tkt_claimant_outcome(struct tkt_claimant *claimant, uint64_t attempt,
			  enum tkt_outcome outcome, bool no_reply,
			  apr_time_t now);

/* Reports how a request with verdict TKT_RUN ended. */
void tkt_claimant_end(struct tkt_claimant *claimant, const struct tkt_key *key,
		      enum tkt_end end, apr_time_t now);

/* Resends and seals what is due, and ends and forgets due records. */
void tkt_claimant_tick(struct tkt_claimant *claimant, apr_time_t now);

/* Requests the seals that were never confirmed once more. */
void tkt_claimant_reseal(struct tkt_claimant *claimant, apr_time_t now);

/*
 * Answers a peer's question about a key. attempt is the key's owner according
 * to the arbiter, or 0 when the arbiter could not be asked.
 */
enum tkt_outcome tkt_claimant_query(struct tkt_claimant *claimant,
				    const struct tkt_key *key,
				    uint64_t attempt);

struct tkt_claimant_stats {
	uint64_t records;
	/* Records that have no verdict yet. */
	uint64_t pending;
	/* Ended records whose claim or seal was never confirmed. */
	uint64_t unconfirmed_records;
};

/* Returns the bytes of memory that so many remembered tickets take. */
size_t tkt_claimant_bytes(size_t tickets);

struct tkt_claimant_stats
tkt_claimant_stats(const struct tkt_claimant *claimant);

#endif
