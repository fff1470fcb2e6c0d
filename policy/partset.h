/*
 * The store's values that make up the table, each at the highest revision seen.
 * Long values are kept compressed. Not thread-safe.
 */
#ifndef POLICY_PARTSET_H
#define POLICY_PARTSET_H

#include <stdbool.h>

#include "policy/tbl.h"

struct partset;

/* Returns 0 or PST_ERR_NOMEM. */
int partset_create(struct partset **out);

/* NULL is allowed. */
void partset_destroy(struct partset *partset);

/*
 * Copies the parts that are newer than those held and sets *taken to their
 * number. An older value never replaces a newer one. Returns 0 or
 * PST_ERR_NOMEM.
 */
int partset_take(struct partset *partset, const struct tbl_part *parts,
		 size_t count, size_t *taken);

/* Removes all parts; partset_revision() stays the same. */
void partset_clear(struct partset *partset);

/* Highest revision of all parts ever held; 0 when there was none. */
uint64_t partset_revision(const struct partset *partset);

size_t partset_count(const struct partset *partset);

/*
 * Lists the parts that changed after a revision, oldest change first, until
 * their values exceed max_bytes. *more is whether some are left out. Parts of
 * one revision are never separated. Returns 0 with a list to free with
 * partset_free(), whose keys are borrowed from partset until the next
 * partset_take(), or PST_ERR_NOMEM.
 */
int partset_since(const struct partset *partset, uint64_t after,
		  size_t max_bytes, struct tbl_part **out, size_t *count,
		  bool *more);

/*
 * Lists all parts whose key has the prefix. Returns and ownership are as for
 * partset_since().
 */
int partset_prefix(const struct partset *partset, struct str prefix,
		   struct tbl_part **out, size_t *count);

/* Frees a list, which may have been reordered. NULL is allowed. */
void partset_free(struct tbl_part *list, size_t count);

#endif
