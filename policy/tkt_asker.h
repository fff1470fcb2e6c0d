/*
 * The asker: takes each keyed request of this process from its arrival to a
 * verdict, and remembers how it ended.
 *
 * One attempt is made for a key at a time. It claims the key from the
 * arbiter (the ticket's witness, or the store for a caller's own key). When
 * the claim stays unanswered it asks for a seal instead, and from then on
 * this process never runs the key, whatever arrives later. "Not run" is told
 * only when the arbiter has sealed the key, or holds a claim of an attempt
 * of which its owner says that it did not and will not run.
 *
 * Attempts are never reused, so an answer to an old one meets no record.
 */
#ifndef POLICY_TKT_ASKER_H
#define POLICY_TKT_ASKER_H

#include <stddef.h>

#include "policy/tkt_key.h"

enum tkt_action_kind {
	/* Send an operation to the key's arbiter. */
	TKT_ACT_ARBITRATE,
	/* Ask another process what it knows of the key. */
	TKT_ACT_ASK,
	/* Tell the verdict. */
	TKT_ACT_ANSWER,
};

/* What is to be done; borrowed for the time of the call. */
struct tkt_action {
	enum tkt_action_kind kind;
	const struct tkt_key *key;
	/* Names the record in the answer to the operation or question. */
	uint64_t attempt;
	union {
		enum tkt_op_kind op;
		/* Whom to ask, and about which attempt (0: any). */
		struct tkt_owner ask;
		struct tkt_answer answer;
	};
};

struct tkt_asker_conf {
	uint64_t vm;
	uint64_t incarnation;
	/* Keys remembered at once, in progress or ended. */
	uint32_t capacity;
	/* How long an ended key is remembered. */
	apr_interval_time_t retain;
	/* Longest time without an answer from an arbiter. */
	apr_interval_time_t give_up;
	/* Wait before an unanswered operation is sent again. */
	apr_interval_time_t resend;
	/* The same for the store. */
	apr_interval_time_t resend_store;
	/* Must not call back into the asker. */
	void (*act)(void *ctx, const struct tkt_action *action);
	void *ctx;
};

struct tkt_asker;

/* Returns 0 or PST_ERR_NOMEM. */
int tkt_asker_create(struct tkt_asker **out, const struct tkt_asker_conf *conf);

/* NULL is allowed. */
void tkt_asker_destroy(struct tkt_asker *asker);

/*
 * Takes a request; the verdict comes as an action, at once or later, at the
 * deadline's tick at the latest. Returns 0, or PST_ERR_FULL or PST_ERR_NOMEM
 * when nothing was done.
 */
int tkt_asker_admit(struct tkt_asker *asker, uint64_t request_id,
		    const struct tkt_key *key, apr_time_t deadline,
		    apr_time_t now);

/* The arbiter's word on the operation that was sent for an attempt. */
void tkt_asker_ruling(struct tkt_asker *asker, uint64_t attempt,
		      const struct tkt_ruling *ruling, apr_time_t now);

/* What the process that was asked knows; silent when it did not answer. */
void tkt_asker_outcome(struct tkt_asker *asker, uint64_t attempt,
		       enum tkt_outcome outcome, bool silent, apr_time_t now);

/* How a request with verdict TKT_RUN ended. */
void tkt_asker_end(struct tkt_asker *asker, const struct tkt_key *key,
		   enum tkt_end end, apr_time_t now);

/* Resends, seals, gives up and forgets what is due. */
void tkt_asker_tick(struct tkt_asker *asker, apr_time_t now);

/* Asks once more for the seals that were never confirmed. */
void tkt_asker_reseal(struct tkt_asker *asker, apr_time_t now);

/*
 * Answers a peer's question about a key. attempt is the one that the arbiter
 * named as the key's owner, or 0 when the arbiter could not be asked.
 */
enum tkt_outcome tkt_asker_query(struct tkt_asker *asker,
				 const struct tkt_key *key, uint64_t attempt);

struct tkt_asker_stats {
	uint64_t records;
	/* Without a verdict yet. */
	uint64_t pending;
	/* Seals asked for and not confirmed. */
	uint64_t doubts;
};

/* Memory for so many remembered tickets, in bytes. */
size_t tkt_asker_bytes(size_t tickets);

struct tkt_asker_stats tkt_asker_stats(const struct tkt_asker *asker);

#endif
