/* Checks that an answer is complete and belongs to its request. */
#ifndef FAKES_CALLER_CHECK_H
#define FAKES_CALLER_CHECK_H

#include "fakes/caller/call.h"
#include "fakes/caller/work.h"

/* Values that the answer to a call must match. */
struct verify_want {
	enum workload_kind kind;
	const char *service;
	const char *request_id;
	/* Idempotency key, or empty. */
	const char *key;
	uint64_t bytes;
	/* Digest of the request body. */
	const char *sent_digest;
};

struct verify_result {
	enum workload_outcome outcome;
	/* No byte was sent: the outcome of earlier attempts still holds. */
	bool no_verdict;
	/* Name of the refusal, of the failure or of the mismatch. */
	char reason[64];
};

struct verify_result verify_answer(const struct httpcall_call *call,
				   const struct verify_want *want);

#endif
