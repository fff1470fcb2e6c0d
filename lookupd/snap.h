/*
 * The current look-up snapshot, which a thread of its own rebuilds when the
 * view changes and which other threads read without a lock.
 */
#ifndef LOOKUPD_SNAP_H
#define LOOKUPD_SNAP_H

#include "agent/ctl.h"
#include "policy/entrymap.h"

struct snap;

/* Borrows set and ctl. Returns 0, PST_ERR_NOMEM or PST_ERR_THREAD. */
int snap_start(struct snap **out, const struct settings *set,
	       struct ctl_agent *ctl);

/* No other thread may still use a snapshot. NULL is allowed. */
void snap_stop(struct snap *snap);

/*
 * Returns the newest snapshot, valid until the same thread's next call, or
 * NULL before the first view. Each thread keeps a reference of its own and
 * takes the lock only after a change.
 */
const struct entrymap *snap_current(struct snap *snap);

#endif
