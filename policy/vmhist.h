/*
 * History of the platform's VM list, so that a peer with an earlier revision
 * gets only the difference. Not thread-safe.
 *
 * A change is recorded at the revision at which this process saw it. A peer
 * gets a difference only from a revision that this process has held itself: a
 * revision in between may contain a change that was undone before this process
 * saw the next.
 */
#ifndef POLICY_VMHIST_H
#define POLICY_VMHIST_H

#include <apr_time.h>

#include "policy/vmlist.h"

/* Most removed VMs that are kept. */
#define VMHIST_MAX_GONE 1024

/* Number of latest revisions held that are kept. */
#define VMHIST_MAX_HELD 64

struct vmhist;

/*
 * Difference between the revisions previous (0: the empty list) and revision.
 * Its VMs and names are borrowed from the list.
 */
struct vmhist_delta {
	uint64_t previous;
	uint64_t revision;
	const struct vm **vms;
	size_t vm_count;
	struct str *gone;
	size_t gone_count;
};

/* Returns 0 or PST_ERR_NOMEM. */
int vmhist_create(struct vmhist **out);

/* NULL is allowed. */
void vmhist_destroy(struct vmhist *vmhist);

/* Borrows the latest list; NULL before the first. */
struct vmlist *vmhist_list(const struct vmhist *vmhist);

/*
 * Takes the caller's reference to a list and keeps the list if it is newer.
 * Returns whether it was kept: false also when out of memory.
 */
bool vmhist_take(struct vmhist *vmhist, struct vmlist *list);

/*
 * A platform that is restored from a backup goes back to earlier revisions.
 * The revisions held and exchanged here have the platform's revision in the
 * lowest VMHIST_RESTORE_SHIFT bits and the number of restores above them.
 */
#define VMHIST_RESTORE_SHIFT 48

/*
 * Time for which only older lists must be read before one is kept, in
 * microseconds.
 */
#define VMHIST_RESTORE_SETTLE APR_TIME_C(30000000)

enum vmhist_read {
	VMHIST_READ_SAME,
	VMHIST_READ_NEWER,
	/* First older list after one that was not older. */
	VMHIST_READ_OLDER,
	/* Older, and not kept yet. */
	VMHIST_READ_WAITING,
	/* Kept although it is older. */
	VMHIST_READ_RESTORED,
};

/*
 * Takes the caller's reference to a list with the platform's own revision. The
 * list is kept if it is newer, or if only older ones have been read for the
 * settling time above, at most a third of it apart. An older list
 * without entry VMs is never kept. now is monotonic.
 */
enum vmhist_read vmhist_read(struct vmhist *vmhist, struct vmlist *list,
			     apr_time_t now);

/*
 * Writes the difference to the latest list from a revision. Returns 0,
 * PST_ERR_AGAIN when nothing changed, or PST_ERR_NOMEM. The difference is valid
 * until the next vmhist_take(); vmhist_delta_free() frees it.
 */
int vmhist_since(const struct vmhist *vmhist, uint64_t revision,
		 struct vmhist_delta *out);
void vmhist_delta_free(struct vmhist_delta *delta);

/*
 * Applies a difference to the latest list. Returns 0 with one reference to the
 * new list, PST_ERR_STALE when the latest list is older than the difference's
 * previous revision or not older than its revision, or PST_ERR_NOMEM.
 */
int vmhist_patch(const struct vmhist *vmhist, const struct vmhist_delta *delta,
		 struct vmlist **out);

#endif
