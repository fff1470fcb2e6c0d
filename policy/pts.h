/*
 * The values of the store that make up the table, each at the highest
 * revision seen. Not thread-safe.
 */
#ifndef POLICY_PTS_H
#define POLICY_PTS_H

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

/* Returns NULL when absent; valid until the next pts_take(). */
const struct tbl_part *pts_find(const struct pts *pts, struct str key);

/*
 * Lists the parts changed after a revision, oldest change first. Returns 0
 * with an array owned by the caller (free()), whose entries borrow from pts
 * until the next pts_take(), or PST_ERR_NOMEM.
 */
int pts_since(const struct pts *pts, uint64_t after, struct tbl_part **out,
	      size_t *count);

/* As pts_since(), but only the keys with the prefix. */
int pts_prefix(const struct pts *pts, struct str prefix, struct tbl_part **out,
	       size_t *count);

#endif
