/*
 * Bounded log of the latest changes to the keys under one prefix. A VM that
 * serves as a relay answers other VMs from it. Pure.
 */
#ifndef POLICY_CHANGELOG_H
#define POLICY_CHANGELOG_H

#include <stdbool.h>

#include "common/buf.h"
#include "common/str.h"

/* Limits of the log: changes, and bytes of their keys and values in total. */
#define CHANGELOG_CHANGES 512
#define CHANGELOG_BYTES	  1048576

struct changelog_change {
	struct str key;
	struct str value;
	uint64_t revision;
	/* The key was deleted. */
	bool gone;
	/* Storage of key and value, owned by the log. */
	char *bytes;
};

/* Zeroed memory is a valid empty log. */
struct changelog {
	struct changelog_change ring[CHANGELOG_CHANGES];
	/* Index of the oldest change in the ring. */
	size_t oldest;
	size_t count;
	/* Bytes of all keys and values. */
	size_t bytes_held;
	/* Changes up to this revision have been dropped. */
	uint64_t dropped_to;
	/* The log is complete from dropped_to up to this revision. */
	uint64_t revision;
};

/* Empties the log; changes up to the revision count as dropped. */
void changelog_reset(struct changelog *changelog, uint64_t revision);

/*
 * Appends a change; key and value are copied. Returns 0, or PST_ERR_NOMEM with
 * the log emptied up to the change.
 */
int changelog_add(struct changelog *changelog,
		  const struct changelog_change *change);

/* Records that no other change happened up to the revision. */
void changelog_advance(struct changelog *changelog, uint64_t revision);

/*
 * Calls fn for each change after the revision, oldest first. Returns the count,
 * or PST_ERR_STALE when some of them have been dropped.
 */
int changelog_since(const struct changelog *changelog, uint64_t after,
		    void (*fn)(void *ctx,
			       const struct changelog_change *change),
		    void *ctx);

#endif
