/* Judges one answer: is it whole, and is it the answer to this request. */
#ifndef FAKES_CALLER_CHECK_H
#define FAKES_CALLER_CHECK_H

#include "fakes/caller/call.h"
#include "fakes/caller/work.h"

/* What the answer to a call must agree with. */
struct chk_want {
	enum wdl_kind kind;
	const char *service;
	const char *request_id;
	/* Empty without a key. */
	const char *key;
	uint64_t bytes;
	/* Digest of the body sent. */
	const char *sent_digest;
};

struct chk_result {
	enum wdl_outcome outcome;
	/* The call says nothing about whether the work ran: no byte left. */
	bool no_verdict;
	/* Name of the refusal or failure, or what is wrong. */
	char reason[64];
};

struct chk_result chk_answer(const struct cll_call *call,
			     const struct chk_want *want);

#endif
