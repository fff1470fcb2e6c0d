/*
 * Exchanges state with the pst-controld of other VMs. One thread asks a relay
 * of the own failure domain and a random VM each round; another pushes every
 * change down the domain's tree of VMs.
 */
#ifndef CONTROLD_PEER_DUTY_H
#define CONTROLD_PEER_DUTY_H

#include "controld/node.h"

struct peer_duty;

/* Borrows set, clk and node. Returns 0, PST_ERR_NOMEM or PST_ERR_THREAD. */
int peer_duty_start(struct peer_duty **out, const struct settings *set,
		    const struct clk *clk, struct node *node);

/* NULL is allowed. */
void peer_duty_stop(struct peer_duty *duty);

#endif
