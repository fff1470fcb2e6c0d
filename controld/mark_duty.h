/*
 * Passes changed marks on at once: from the pst-controld that made one to the
 * relays of the VM's failure domain, from relays to those of other domains
 * down a tree, and down each domain. What is lost on the way comes with the
 * exchanges of peer_duty.
 */
#ifndef CONTROLD_MARK_DUTY_H
#define CONTROLD_MARK_DUTY_H

#include "controld/node.h"

struct mark_duty;

/* Borrows all. Returns 0, PST_ERR_NOMEM or PST_ERR_THREAD. */
int mark_duty_start(struct mark_duty **out, const struct settings *set,
		    const struct clk *clk, struct node *node);

/* NULL is allowed. */
void mark_duty_stop(struct mark_duty *duty);

#endif
