/*
 * Service for shares of limits: owns parts of limits, borrows and lends them.
 */
#ifndef CONTROLD_LENDING_SVC_H
#define CONTROLD_LENDING_SVC_H

#include "common/clk.h"
#include "common/settings.h"
#include "controld/curview.h"

struct lending_svc;

/*
 * Registers the RPC program (before rpcs_start()) and starts the threads.
 * Borrows set, clk and curview. Returns 0, PST_ERR_NOMEM, PST_ERR_THREAD,
 * PST_ERR_EXISTS, PST_ERR_FULL or PST_ERR_HTTP.
 */
int lending_svc_start(struct lending_svc **out, const struct settings *set,
		      const struct clk *clk, struct curview *curview);

/*
 * Gives up what is owned and stops the threads; called after rpcs_stop().
 * NULL is allowed.
 */
void lending_svc_stop(struct lending_svc *svc);

#endif
