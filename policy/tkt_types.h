/*
 * Types shared by the modules of the at-most-once protocol.
 *
 * A process is identified by the hash of its VM's id and a random incarnation.
 * An attempt is one try of one process to run one key; its number is never
 * reused.
 */
#ifndef POLICY_TKT_TYPES_H
#define POLICY_TKT_TYPES_H

#include <stdbool.h>
#include <stdint.h>

#include <apr_time.h>

/* Maximum length of a ticket or key in bytes, without the final NUL. */
#define TKT_KEY_MAX 128

enum tkt_verdict {
	/* This process, and no other ever, may send the request upstream. */
	TKT_RUN,
	/* The request was not run and never will be under this key. */
	TKT_NOT_RUN,
	/*
	 * A request with this key ran, runs or may have run. A retry must use
	 * the same key.
	 */
	TKT_UNKNOWN,
	/* The key is malformed; nothing can run under it. */
	TKT_REFUSED,
};

/* How an admitted request ended. */
enum tkt_end {
	/* A complete response arrived. */
	TKT_END_RAN,
	/* There is proof that no upstream ran the request. */
	TKT_END_NOT_RUN,
	/* Whether an upstream ran the request is not known. */
	TKT_END_UNKNOWN,
};

struct tkt_answer {
	uint64_t request_id;
	enum tkt_verdict verdict;
	/* Error number for a verdict other than TKT_RUN; see schema/errors. */
	int reason;
};

/* Process and attempt that claim a key. */
struct tkt_owner {
	uint64_t vm;
	uint64_t incarnation;
	uint64_t attempt;
};

/*
 * Operation on a key, sent to the key's arbiter: the witness of a ticket, or
 * the store for a caller's own key.
 */
enum tkt_op_kind {
	/* Allows this attempt to run the key, and no other. */
	TKT_OP_CLAIM = 1,
	/* Allows nobody to run the key; withdraws this attempt's claim. */
	TKT_OP_SEAL = 2,
};

/* Arbiter's decision on an operation. */
enum tkt_grant {
	/* The requesting attempt owns the key. */
	TKT_GRANT_YOURS = 1,
	/* Nobody ran the key, and nobody ever will. */
	TKT_GRANT_SEALED = 2,
	/* Another attempt owns the key. */
	TKT_GRANT_OTHER = 3,
	/* The records are gone: the block expired or the arbiter restarted. */
	TKT_GRANT_LOST = 4,
	/* The arbiter did not answer; the operation may have taken effect. */
	TKT_GRANT_NO_REPLY = 5,
	/* The arbiter cannot take the operation now and did not apply it. */
	TKT_GRANT_UNAVAILABLE = 6,
};

struct tkt_ruling {
	enum tkt_grant grant;
	/* Set with TKT_GRANT_OTHER. */
	struct tkt_owner owner;
	/* With TKT_GRANT_YOURS: the new owner is not the ticket's home. */
	bool handed_over;
	/* Error number, with TKT_GRANT_UNAVAILABLE. */
	int reason;
};

/* Answer of a process to the question what became of a key. */
enum tkt_outcome {
	/* The process has no record that decides the question. */
	TKT_OUTCOME_NO_RECORD = 0,
	TKT_OUTCOME_IN_PROGRESS = 1,
	TKT_OUTCOME_RAN = 2,
	/* There is proof that it did not run and never will. */
	TKT_OUTCOME_NOT_RUN = 3,
	/* It was sent upstream, and whether it ran is not known. */
	TKT_OUTCOME_UNKNOWN = 4,
};

bool tkt_owner_eq(const struct tkt_owner *a, const struct tkt_owner *b);

#endif
