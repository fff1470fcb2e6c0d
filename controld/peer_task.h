/*
 * Exchanges state with the pst-controld of other VMs. One thread asks a relay
 * of the own failure domain and a random VM each round; another pushes every
 * change down the domain's tree of VMs.
 */
#ifndef CONTROLD_PEER_TASK_H
#define CONTROLD_PEER_TASK_H

#include "controld/node.h"

struct peer_task;

/* Borrows set, clk and node. Returns 0, PST_ERR_NOMEM or PST_ERR_THREAD. */
int peer_task_start(struct peer_task **out, const struct settings *set,
		    const struct clk *clk, struct node *node);

/* NULL is allowed. */
void peer_task_stop(struct peer_task *task);

#endif
