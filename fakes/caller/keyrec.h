/*
 * Records every key that the caller has used with its last reported outcome,
 * and compares them at the end with the executions in the upstreams' journals.
 */
#ifndef FAKES_CALLER_KEYREC_H
#define FAKES_CALLER_KEYREC_H

#include <stddef.h>
#include <stdint.h>

#include "fakes/caller/work.h"

struct keyrec;

struct keyrec_result {
	uint64_t keys;
	/* Executed more than once. */
	uint64_t doubled;
	/* Reported as not run, but executed. */
	uint64_t contradicted;
	/* Reported as whole, but never executed. */
	uint64_t lost;
	/* Outcome unknown: found executed, or not. */
	uint64_t unknown_run;
	uint64_t unknown_not_run;
};

/* Returns 0 or PST_ERR_NOMEM. */
int keyrec_create(struct keyrec **out);

/* Records the key's latest outcome. */
void keyrec_note(struct keyrec *keys, const char *key,
		 enum workload_outcome outcome);

/*
 * Reads every *.journal file of the folder, logs each key that is executed
 * twice or contradicts its outcome, and counts. Returns 0 or PST_ERR_IO.
 */
int keyrec_check(struct keyrec *keys, const char *folder,
		 struct keyrec_result *out);

#endif
