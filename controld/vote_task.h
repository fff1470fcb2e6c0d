/*
 * Confirms the table by a majority of the failure domains when no relay
 * reaches the store, and learns which other domains answer.
 */
#ifndef CONTROLD_VOTE_TASK_H
#define CONTROLD_VOTE_TASK_H

#include "controld/node.h"

struct vote_task;

/* Borrows set, clk and node. Returns 0, PST_ERR_NOMEM or PST_ERR_THREAD. */
int vote_task_start(struct vote_task **out, const struct settings *set,
		    const struct clk *clk, struct node *node);

/* NULL is allowed. */
void vote_task_stop(struct vote_task *task);

#endif
