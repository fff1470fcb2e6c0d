/*
 * Follows the table in the platform's store.
 *
 * Relays read and watch the table; other VMs only read it, while their relays
 * are silent. One thread reads the head at an interval, which also detects a
 * silent watch; another runs the watch and wakes the first.
 */
#ifndef CONTROLD_STORE_DUTY_H
#define CONTROLD_STORE_DUTY_H

#include "controld/node.h"

struct store_duty;

/* Borrows set, clk and node. Returns 0, PST_ERR_NOMEM, _HTTP or _THREAD. */
int store_duty_start(struct store_duty **out, const struct settings *set,
		     const struct clk *clk, struct node *node);

/* NULL is allowed. Waits for a call in progress. */
void store_duty_stop(struct store_duty *duty);

#endif
