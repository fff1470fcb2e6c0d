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

#include <apr_time.h>

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
 * A platform that was restored from a backup numbers its lists anew. The
 * revisions held and exchanged are the platform's with the number of such
 * returns above its lowest LSD_BACK_SHIFT bits.
 */
#define LSD_BACK_SHIFT 48

/* Time for which only older lists must be read before one is taken. */
#define LSD_BACK_SETTLE APR_TIME_C(30000000)

enum lsd_read {
	LSD_READ_SAME,
	LSD_READ_NEWER,
	/* The first older one since a list that was not. */
	LSD_READ_OLDER,
	/* Not taken yet. */
	LSD_READ_WAITING,
	/* Taken although it is older. */
	LSD_READ_BACK,
};

/*
 * Takes over the reference to a list read from the platform, whose revision
 * is the platform's, if it is newer or only older ones have been read for
 * LSD_BACK_SETTLE, at most LSD_BACK_SETTLE / 3 apart; an older one without any
 * entry VM is never taken. now is monotonic.
 */
enum lsd_read lsd_read(struct lsd *lsd, struct vml *list, apr_time_t now);

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
