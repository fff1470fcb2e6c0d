/*
 * Forwards changed marks at once: from the pst-controld that made a mark to the
 * relays of the VM's failure domain, from relays to those of other domains
 * along a tree, and down the tree of each domain. Lost messages are made up for
 * by the periodic exchanges between peers.
 */
#ifndef CONTROLD_MARK_DUTY_H
#define CONTROLD_MARK_DUTY_H

#include "controld/node.h"

struct mark_duty;

/* Borrows set, clk and node. Returns 0, PST_ERR_NOMEM or PST_ERR_THREAD. */
int mark_duty_start(struct mark_duty **out, const struct settings *set,
		    const struct clk *clk, struct node *node);

/* NULL is allowed. */
void mark_duty_stop(struct mark_duty *duty);

#endif
