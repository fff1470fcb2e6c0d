/*
 * The values of the store that make up the table, each at the highest
 * revision seen. Long values are kept compressed. Not thread-safe.
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
 * Copies the parts that are newer than those held; an older value never
 * replaces a newer one. Sets *taken to their number. Returns 0 or
 * PST_ERR_NOMEM.
 */
int pts_take(struct pts *pts, const struct tbl_part *parts, size_t count,
	     size_t *taken);

/* Drops every part; the highest revision stays known. */
void pts_clear(struct pts *pts);

/* Highest revision of all parts; 0 when empty. */
uint64_t pts_revision(const struct pts *pts);

size_t pts_count(const struct pts *pts);

/*
 * Lists the parts changed after a revision, oldest change first, until their
 * values exceed max_bytes; *more tells that some are left out. Parts of one
 * revision are never separated. Returns 0 with a list for pts_free(), whose
 * keys borrow from pts until the next pts_take(), or PST_ERR_NOMEM.
 */
int pts_since(const struct pts *pts, uint64_t after, size_t max_bytes,
	      struct tbl_part **out, size_t *count, bool *more);

/* All parts whose key has the prefix; else as pts_since(). */
int pts_prefix(const struct pts *pts, struct str prefix, struct tbl_part **out,
	       size_t *count);

/* Frees a list, in whatever order it is. NULL is allowed. */
void pts_free(struct tbl_part *list, size_t count);

#endif
