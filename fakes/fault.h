/*
 * Fault orders: a test tells a stand-in to misbehave, for a number of times
 * or until told otherwise.
 */
#ifndef FAKES_FAULT_H
#define FAKES_FAULT_H

#include <stdbool.h>
#include <stdint.h>

#include "common/str.h"

/* Orders of one kind that are in force; index 0 of the names is "none". */
struct flt {
	int kind;
	/* Times left; UINT64_MAX is without end. */
	uint64_t count;
	/* Meaning depends on the kind. */
	uint64_t ms;
	/* Path or call that it applies to; empty for all. */
	struct strbuf match;
	/* What is met: "all", "existing" connections, or the "list" too. */
	struct strbuf scope;
};

/*
 * Reads {"kind":NAME,"count":N,"ms":N,"match":TEXT,"scope":TEXT}; names ends
 * in NULL. Returns 0, PST_ERR_INVALID or PST_ERR_FAKE_FAULT.
 */
int flt_parse(struct str json, const char *const *names, struct flt *out);

/* Whether the order applies to what; counts one use if so. */
bool flt_take(struct flt *fault, int kind, struct str what);

#endif
