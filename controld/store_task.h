/*
 * Follows the table in the platform's store.
 *
 * Relays read and watch the table; other VMs only read it, while their relays
 * are silent. One thread reads the head at an interval, which also detects a
 * silent watch; another runs the watch and wakes the first.
 */
#ifndef CONTROLD_STORE_TASK_H
#define CONTROLD_STORE_TASK_H

#include "controld/node.h"

struct store_task;

/* Borrows set, clk and node. Returns 0, PST_ERR_NOMEM, _HTTP or _THREAD. */
int store_task_start(struct store_task **out, const struct settings *set,
		     const struct clk *clk, struct node *node);

/* NULL is allowed. Waits for a call in progress. */
void store_task_stop(struct store_task *task);

#endif
