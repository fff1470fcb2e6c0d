/*
 * Runs the brokers of this VM, one for each service and failure domain for
 * which entry VMs ask it for permits. Serves RPC program 0x20505303.
 */
#ifndef CONTROLD_BROKER_SVC_H
#define CONTROLD_BROKER_SVC_H

#include "common/clk.h"
#include "common/settings.h"
#include "controld/curview.h"

struct broker_svc;

/*
 * Registers its RPC program (before rpcs_start()) and starts its threads.
 * Borrows set, clk and curview. Returns 0, PST_ERR_NOMEM, PST_ERR_FULL,
 * PST_ERR_EXISTS, PST_ERR_HTTP or PST_ERR_THREAD.
 */
int broker_svc_start(struct broker_svc **out, const struct settings *set,
		     const struct clk *clk, struct curview *curview);

/* Called after rpcs_stop(). NULL is allowed. */
void broker_svc_stop(struct broker_svc *svc);

#endif
