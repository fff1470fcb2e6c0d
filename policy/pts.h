/*
 * The store's values that make up the table, each at the highest revision seen.
 * Long values are kept compressed. Not thread-safe.
 */
#ifndef POLICY_PTS_H
#define POLICY_PTS_H

#include <stdbool.h>

#include "policy/tbl.h"

struct pts;

/* Returns 0 or PST_ERR_NOMEM. */
int pts_create(struct pts **out);

/* NULL is allowed. */
void pts_destroy(struct pts *pts);

/*
 * Copies the parts that are newer than those held and sets *taken to their
 * number. An older value never replaces a newer one. Returns 0 or
 * PST_ERR_NOMEM.
 */
int pts_take(struct pts *pts, const struct tbl_part *parts, size_t count,
	     size_t *taken);

/* Removes all parts; pts_revision() stays the same. */
void pts_clear(struct pts *pts);

/* Highest revision of all parts ever held; 0 when there was none. */
uint64_t pts_revision(const struct pts *pts);

size_t pts_count(const struct pts *pts);

/*
 * Lists the parts that changed after a revision, oldest change first, until
 * their values exceed max_bytes. *more is whether some are left out. Parts of
 * one revision are never separated. Returns 0 with a list to free with
 * pts_free(), whose keys are borrowed from pts until the next pts_take(), or
 * PST_ERR_NOMEM.
 */
int pts_since(const struct pts *pts, uint64_t after, size_t max_bytes,
	      struct tbl_part **out, size_t *count, bool *more);

/*
 * Lists all parts whose key has the prefix. Returns and ownership are as for
 * pts_since().
 */
int pts_prefix(const struct pts *pts, struct str prefix, struct tbl_part **out,
	       size_t *count);

/* Frees a list, which may have been reordered. NULL is allowed. */
void pts_free(struct tbl_part *list, size_t count);

#endif
