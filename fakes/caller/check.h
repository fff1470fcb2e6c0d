/* Checks that an answer is complete and belongs to its request. */
#ifndef FAKES_CALLER_CHECK_H
#define FAKES_CALLER_CHECK_H

#include "fakes/caller/call.h"
#include "fakes/caller/work.h"

/* Values that the answer to a call must match. */
struct chk_want {
	enum wdl_kind kind;
	const char *service;
	const char *request_id;
	/* Idempotency key, or empty. */
	const char *key;
	uint64_t bytes;
	/* Digest of the request body. */
	const char *sent_digest;
};

struct chk_result {
	enum wdl_outcome outcome;
	/* No byte was sent: the outcome of earlier attempts still holds. */
	bool no_verdict;
	/* Name of the refusal, of the failure or of the mismatch. */
	char reason[64];
};

struct chk_result chk_answer(const struct cll_call *call,
			     const struct chk_want *want);

#endif
