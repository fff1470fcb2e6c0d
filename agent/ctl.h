/*
 * Client of the VM's own pst-controld: keeps the newest table and VM list.
 *
 * One thread exchanges with pst-controld every control.sync_interval_ms and
 * publishes an immutable view. The revision never goes back.
 */
#ifndef AGENT_CTL_H
#define AGENT_CTL_H

#include "common/clk.h"
#include "common/settings.h"
#include "policy/tbl.h"
#include "policy/vml.h"
#include "schema/gen/table.h"

/* Shared by reference count; holds a reference to tbl and to vml. */
struct ctl_view {
	struct ref ref;
	struct tbl *tbl;
	struct vml *vml;
};

/* Takes a reference to each. Returns one reference, or NULL. */
struct ctl_view *ctl_view_make(struct tbl *tbl, struct vml *vml);

struct ctl_agent;

/* Borrows set and clk. Returns 0, PST_ERR_NOMEM or PST_ERR_THREAD. */
int ctl_agent_start(struct ctl_agent **out, const struct settings *set,
		    const struct clk *clk);
void ctl_agent_stop(struct ctl_agent *agent);

/*
 * Says what this process does for callers of the VM, from the next exchange
 * on, which follows at once.
 */
void ctl_agent_announce(struct ctl_agent *agent, table_serves serves);

/* Returns a new reference, or NULL before the first view. */
struct ctl_view *ctl_agent_view(struct ctl_agent *agent);
void ctl_view_put(struct ctl_view *view);

/*
 * Whether new work may be taken: a table is known, and pst-controld has
 * confirmed it within control.freshness_timeout_ms.
 */
bool ctl_agent_fresh(struct ctl_agent *agent);

#endif
