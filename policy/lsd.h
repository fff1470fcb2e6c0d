/*
 * Changes of the platform's VM list, so that a peer that holds an earlier
 * revision gets only what differs. Not thread-safe.
 *
 * A change is known by the revision at which this process saw it. A peer gets
 * a difference only from a revision that this process has held itself: of one
 * in between it may hold a change that was undone before it was seen here.
 */
#ifndef POLICY_LSD_H
#define POLICY_LSD_H

#include "policy/vml.h"

/* VMs that are gone and remembered. */
#define LSD_MAX_GONE 1024

/* Revisions of its own that a process remembers. */
#define LSD_MAX_HELD 64

struct lsd;

/* What leads from previous (0: from nothing) to revision. Borrows. */
struct lsd_delta {
	uint64_t previous;
	uint64_t revision;
	const struct vm **vms;
	size_t vm_count;
	struct str *gone;
	size_t gone_count;
};

/* Returns 0 or PST_ERR_NOMEM. */
int lsd_create(struct lsd **out);

/* NULL is allowed. */
void lsd_destroy(struct lsd *lsd);

/* The list held, borrowed; NULL before the first. */
struct vml *lsd_list(const struct lsd *lsd);

/*
 * Takes over the reference to a list if it is newer. Returns whether it is;
 * out of memory counts as not.
 */
bool lsd_take(struct lsd *lsd, struct vml *list);

/*
 * Finds what changed after a revision. Returns 0, PST_ERR_AGAIN when nothing
 * did, or PST_ERR_NOMEM. Freed with lsd_delta_free(), valid until the next
 * lsd_take().
 */
int lsd_since(const struct lsd *lsd, uint64_t revision, struct lsd_delta *out);
void lsd_delta_free(struct lsd_delta *delta);

/*
 * Makes the list that a delta leads to. Returns 0 with one reference,
 * PST_ERR_STALE when the list held is older than the delta's previous
 * revision or not older than its revision, or PST_ERR_NOMEM.
 */
int lsd_patch(const struct lsd *lsd, const struct lsd_delta *delta,
	      struct vml **out);

#endif
