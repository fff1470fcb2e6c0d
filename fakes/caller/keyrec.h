/*
 * Every key that the caller has used and what it was told, compared at the
 * end with the executions that the upstreams' journals hold.
 */
#ifndef FAKES_CALLER_KEYREC_H
#define FAKES_CALLER_KEYREC_H

#include <stddef.h>
#include <stdint.h>

#include "fakes/caller/work.h"

struct krc;

struct krc_result {
	uint64_t keys;
	/* Executed more than once. */
	uint64_t doubled;
	/* Told as not run, but executed. */
	uint64_t untrue;
	/* Told as whole, but never executed. */
	uint64_t lost;
	/* Told as unknown, by what was found. */
	uint64_t unknown_run;
	uint64_t unknown_not_run;
};

/* Returns 0 or PST_ERR_NOMEM. */
int krc_create(struct krc **out);

/* Notes the key's latest outcome. */
void krc_note(struct krc *keys, const char *key, enum wdl_outcome outcome);

/*
 * Reads every *.journal file of the folder, logs each key that breaks its
 * word, and counts. Returns 0 or PST_ERR_IO.
 */
int krc_check(struct krc *keys, const char *folder, struct krc_result *out);

#endif
