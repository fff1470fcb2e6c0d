/*
 * Confirms the table by a majority of the failure domains when no relay
 * reaches the store, and learns which other domains answer.
 */
#ifndef CONTROLD_VOTE_DUTY_H
#define CONTROLD_VOTE_DUTY_H

#include "controld/node.h"

struct vote_duty;

/* Borrows set, clk and node. Returns 0, PST_ERR_NOMEM or PST_ERR_THREAD. */
int vote_duty_start(struct vote_duty **out, const struct settings *set,
		    const struct clk *clk, struct node *node);

/* NULL is allowed. */
void vote_duty_stop(struct vote_duty *duty);

#endif
