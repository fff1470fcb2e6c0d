/*
 * Reads the platform's list of VMs, which relays do for their failure domain,
 * and runs the node's periodic checks. One thread for each.
 */
#ifndef CONTROLD_LIST_DUTY_H
#define CONTROLD_LIST_DUTY_H

#include "controld/node.h"

struct list_duty;

/* Borrows set and node. Returns 0, PST_ERR_NOMEM, _HTTP or _THREAD. */
int list_duty_start(struct list_duty **out, const struct settings *set,
		    struct node *node);

/* NULL is allowed. */
void list_duty_stop(struct list_duty *duty);

#endif
