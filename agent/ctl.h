/*
 * Client of the pst-controld on the same VM: keeps the latest table and VM
 * list. While that does not answer, another VM's pst-controld is asked.
 *
 * A thread polls pst-controld every control.sync_interval_ms and publishes
 * each change as an immutable view. The table's revision never decreases.
 */
#ifndef AGENT_CTL_H
#define AGENT_CTL_H

#include "common/clk.h"
#include "common/settings.h"
#include "policy/tbl.h"
#include "policy/vmlist.h"
#include "schema/gen/table.h"

/* A table and a VM list, with a reference to each; reference-counted. */
struct ctl_view {
	struct ref ref;
	struct tbl *tbl;
	struct vmlist *vmlist;
};

/* Takes references to tbl and vmlist. Returns one reference or NULL. */
struct ctl_view *ctl_view_make(struct tbl *tbl, struct vmlist *vmlist);

struct ctl_agent;

/* Borrows set and clk. Returns 0, PST_ERR_NOMEM or PST_ERR_THREAD. */
int ctl_agent_start(struct ctl_agent **out, const struct settings *set,
		    const struct clk *clk);
void ctl_agent_stop(struct ctl_agent *agent);

/*
 * Reports to pst-controld what this process serves to the VM's callers: at
 * once, and with every later exchange.
 */
void ctl_agent_announce(struct ctl_agent *agent, table_serves serves);

/* Returns a new reference, or NULL before the first view. */
struct ctl_view *ctl_agent_view(struct ctl_agent *agent);
void ctl_view_put(struct ctl_view *view);

/*
 * Whether new requests may be accepted: there is a table, and pst-controld has
 * confirmed it within the last control.freshness_timeout_ms.
 */
bool ctl_agent_fresh(struct ctl_agent *agent);

#endif
