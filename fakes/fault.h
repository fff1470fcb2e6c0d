/*
 * Fault injection: a test sets a fault in a fake process, for a number of uses
 * or until it is replaced.
 */
#ifndef FAKES_FAULT_H
#define FAKES_FAULT_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/* The injected fault. */
struct faultinj {
	/* Index into the names; 0 is "none". */
	int kind;
	/* Uses left; UINT64_MAX for no limit. */
	uint64_t count;
	/* Duration, whose meaning depends on the kind. */
	uint64_t ms;
	/* Prefix of the paths or calls that it applies to; empty for all. */
	struct strbuf match;
	/* "all", "existing" (connections only) or "list" (the VM list too). */
	struct strbuf scope;
};

/*
 * Reads {"kind":NAME,"count":N,"ms":N,"match":TEXT,"scope":TEXT}; names ends
 * in NULL. Returns 0, PST_ERR_INVALID or PST_ERR_FAKE_FAULT.
 */
int faultinj_parse(struct str json, const char *const *names,
		   struct faultinj *out);

/* Returns whether a fault of kind applies to the path or call; uses it once. */
bool faultinj_take(struct faultinj *fault, int kind, struct str what);

#endif
