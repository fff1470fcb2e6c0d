/*
 * Words that the parts of the at-most-once protocol share.
 *
 * A process is named by the hash of its VM's id and a random incarnation; an
 * attempt is one try of one process to run one key, and is never reused.
 */
#ifndef POLICY_TKT_TYPES_H
#define POLICY_TKT_TYPES_H

#include <stdbool.h>
#include <stdint.h>

#include <apr_time.h>

/* Longest text of a ticket or key, in bytes, without the final NUL. */
#define TKT_KEY_MAX 128

enum tkt_verdict {
	/* May be sent upstream, now, by this process, and by no other ever. */
	TKT_RUN,
	/* Was not run and never will be under this key. */
	TKT_NOT_RUN,
	/* Ran, runs or may have run under this key: ask again with it. */
	TKT_UNKNOWN,
	/* The key is malformed; nothing can run under it. */
	TKT_REFUSED,
};

/* How an admitted request ended. */
enum tkt_end {
	/* An answer came, whole. */
	TKT_END_RAN,
	/* Proof that no upstream ran it. */
	TKT_END_NOT_RUN,
	/* Neither. */
	TKT_END_UNKNOWN,
};

struct tkt_answer {
	uint64_t request_id;
	enum tkt_verdict verdict;
	/* Error behind a verdict other than TKT_RUN; see schema/errors. */
	int reason;
};

/* Who tries to run a key: process and attempt. */
struct tkt_owner {
	uint64_t vm;
	uint64_t incarnation;
	uint64_t attempt;
};

/* What a process asks of a key's arbiter (its witness, or the store). */
enum tkt_op_kind {
	/* Let this attempt run it, and no other. */
	TKT_OP_CLAIM = 1,
	/* Let nobody run it from now on; withdraws this attempt's claim. */
	TKT_OP_SEAL = 2,
};

/* The arbiter's word on a key. */
enum tkt_grant {
	/* Owned by the attempt that asks. */
	TKT_GRANT_YOURS = 1,
	/* Nobody ran it, and nobody ever will. */
	TKT_GRANT_SEALED = 2,
	/* Owned by another attempt. */
	TKT_GRANT_OTHER = 3,
	/* The arbiter's records are gone: block expired or process restarted.
	 */
	TKT_GRANT_LOST = 4,
	/* The arbiter did not answer; the operation may have taken effect. */
	TKT_GRANT_SILENT = 5,
	/* The arbiter cannot take the operation now, and did not. */
	TKT_GRANT_DOWN = 6,
};

struct tkt_ruling {
	enum tkt_grant grant;
	/* With TKT_GRANT_OTHER. */
	struct tkt_owner owner;
	/* With TKT_GRANT_YOURS: given to a process that is not the home. */
	bool handed_over;
	/* With TKT_GRANT_DOWN: error number. */
	int reason;
};

/* What a process knows of a key that it tried to run. */
enum tkt_outcome {
	TKT_OUTCOME_UNSEEN = 0,
	TKT_OUTCOME_IN_PROGRESS = 1,
	TKT_OUTCOME_RAN = 2,
	/* Proof that it did not run and never will. */
	TKT_OUTCOME_NOT_RUN = 3,
	/* It was sent upstream and its end is not known. */
	TKT_OUTCOME_DOUBT = 4,
};

bool tkt_owner_eq(const struct tkt_owner *a, const struct tkt_owner *b);

#endif
