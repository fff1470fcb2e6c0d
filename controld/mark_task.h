/*
 * Forwards changed marks at once: from the pst-controld that made a mark to the
 * relays of the VM's failure domain, from relays to those of other domains
 * along a tree, and down the tree of each domain. Lost messages are made up for
 * by the periodic exchanges between peers.
 */
#ifndef CONTROLD_MARK_TASK_H
#define CONTROLD_MARK_TASK_H

#include "controld/node.h"

struct mark_task;

/* Borrows set, clk and node. Returns 0, PST_ERR_NOMEM or PST_ERR_THREAD. */
int mark_task_start(struct mark_task **out, const struct settings *set,
		    const struct clk *clk, struct node *node);

/* NULL is allowed. */
void mark_task_stop(struct mark_task *task);

#endif
