/*
 * Which VMs said themselves that they leave: their pst-entryd has begun a
 * planned stop, and no new one has taken its place.
 *
 * A mark is made by the pst-controld that the pst-entryd asks, and travels to
 * all others. Of two marks of a VM the one with the higher count is the later;
 * with equal counts the one that says leaving. Not thread-safe.
 */
#ifndef POLICY_MBR_MARK_H
#define POLICY_MBR_MARK_H

#include <apr_time.h>
#include <stdbool.h>

#include "policy/vml.h"

struct mbr_mark {
	struct strbuf id;
	uint64_t count;
	/* Random, names the pst-entryd that the mark is of. */
	uint64_t client;
	bool leaving;
	/* Made by this process and not taken from another. */
	bool here;
	/* Of the set, when the mark was last changed here. */
	uint64_t version;
	/* On this process's clock. */
	apr_time_t changed_at;
};

struct mbr_marks {
	/* Grows with each change of a mark. */
	uint64_t version;
	struct mbr_mark *marks;
	size_t count;
	size_t capacity;
};

/* Frees what the set holds, not the set. */
void mbr_marks_done(struct mbr_marks *set);

/*
 * Notes what the VM's pst-entryd says of itself. A VM without a mark that
 * does not leave needs none. Returns whether a mark was made or changed.
 */
bool mbr_marks_note(struct mbr_marks *set, struct str id, uint64_t client,
		    bool leaving, apr_time_t now);

/*
 * Takes a mark from another process if it is later than the one held; one of
 * a VM that has come back is not needed where none is held. Returns whether
 * it was taken.
 */
bool mbr_marks_merge(struct mbr_marks *set, const struct mbr_mark *mark,
		     apr_time_t now);

/* Whether the VM has said that it leaves. */
bool mbr_marks_leaving(const struct mbr_marks *set, struct str id);

/*
 * Forgets, keep after their last change, marks of VMs that have come back or
 * are not on the list. Leaving marks of unlisted VMs must not be merged, or
 * processes would remind each other of them for ever.
 */
void mbr_marks_forget(struct mbr_marks *set, const struct vml *list,
		      apr_interval_time_t keep, apr_time_t now);

#endif
