/*
 * Marks of VMs whose pst-entryd has announced a planned stop and has not been
 * replaced by a new one.
 *
 * A mark is made by the pst-controld that the pst-entryd asks, and is passed on
 * to all others. Of two marks of a VM, the later is the one of the pst-entryd
 * with the higher number or, of the same one, the leaving mark. Not
 * thread-safe.
 */
#ifndef POLICY_LIVENESS_MARK_H
#define POLICY_LIVENESS_MARK_H

#include <apr_time.h>
#include <stdbool.h>

#include "policy/vmlist.h"

struct mbr_mark {
	struct strbuf id;
	/* Number of the pst-entryd among those that the mark was set for. */
	uint64_t process_number;
	/* Random number that identifies the pst-entryd. */
	uint64_t client;
	bool leaving;
	/* Last changed by liveness_marks_note(), not by liveness_marks_merge().
	 */
	bool made_here;
	/* Version of the set as of the mark's last change. */
	uint64_t version;
	/* On this process's clock. */
	apr_time_t changed_at;
};

struct liveness_marks {
	/* Grows with each change of a mark. */
	uint64_t version;
	struct mbr_mark *marks;
	size_t count;
	size_t capacity;
};

/* Frees the marks, not the set itself. */
void liveness_marks_free(struct liveness_marks *set);

/*
 * Notes whether the VM's pst-entryd, identified by client, is leaving. Makes no
 * mark for one that is not. Returns whether a mark was made or changed.
 */
bool liveness_marks_note(struct liveness_marks *set, struct str id,
			 uint64_t client, bool leaving, apr_time_t now);

/*
 * Takes a mark from another process if it is later than the one held. Without
 * one held, only a leaving mark is taken. Returns whether it was taken.
 */
bool liveness_marks_merge(struct liveness_marks *set,
			  const struct mbr_mark *mark, apr_time_t now);

/* Whether the VM's mark is a leaving one. */
bool liveness_marks_leaving(const struct liveness_marks *set, struct str id);

/*
 * Drops marks that are not leaving, or whose VM is not on the list, once keep
 * has passed since their last change. The caller must not merge leaving marks
 * of unlisted VMs, since processes would return them to each other for ever.
 */
void liveness_marks_expire(struct liveness_marks *set,
			   const struct vmlist *list, apr_interval_time_t keep,
			   apr_time_t now);

#endif
