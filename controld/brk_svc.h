/*
 * Runs the brokers of this VM, one for each service and failure domain for
 * which entry VMs ask it for permits. Serves RPC program 0x20505303.
 */
#ifndef CONTROLD_BRK_SVC_H
#define CONTROLD_BRK_SVC_H

#include "common/clk.h"
#include "common/settings.h"
#include "controld/curview.h"

struct brk_svc;

/*
 * Registers its RPC program (before rpcs_start()) and starts its threads.
 * Borrows set, clk and cview. Returns 0, PST_ERR_NOMEM, PST_ERR_FULL,
 * PST_ERR_EXISTS, PST_ERR_HTTP or PST_ERR_THREAD.
 */
int brk_svc_start(struct brk_svc **out, const struct settings *set,
		  const struct clk *clk, struct curview *curview);

/* Called after rpcs_stop(). NULL is allowed. */
void brk_svc_stop(struct brk_svc *svc);

#endif
