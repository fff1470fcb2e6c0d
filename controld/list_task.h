/*
 * Reads the platform's list of VMs, which relays do for their failure domain,
 * and runs the node's periodic checks. One thread for each.
 */
#ifndef CONTROLD_LIST_TASK_H
#define CONTROLD_LIST_TASK_H

#include "controld/node.h"

struct list_task;

/* Borrows set and node. Returns 0, PST_ERR_NOMEM, _HTTP or _THREAD. */
int list_task_start(struct list_task **out, const struct settings *set,
		    struct node *node);

/* NULL is allowed. */
void list_task_stop(struct list_task *task);

#endif
