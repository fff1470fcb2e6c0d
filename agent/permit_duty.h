/*
 * A thread that takes items from a bounded ring, follows the table and VM
 * list, and ticks: the frame of the permit agent and of the brokers.
 */
#ifndef AGENT_PERMIT_DUTY_H
#define AGENT_PERMIT_DUTY_H

#include "agent/ctl.h"

/* All run on the thread. */
struct permit_duty_hooks {
	void (*handle_item)(void *ctx, void *item, apr_time_t now);
	/* Frees what the item owns. */
	void (*drop)(void *item);
	/* A new reference to the present view, or NULL. */
	struct ctl_view *(*view)(void *ctx);
	/* There is a new view; borrowed. */
	void (*view_changed)(void *ctx, struct ctl_view *view, apr_time_t now);
	void (*tick)(void *ctx, apr_time_t now);
	/* Sends what the items and ticks have caused. */
	void (*flush)(void *ctx, apr_time_t now);
	/* Whether ticks are needed at the interval. */
	bool (*busy)(void *ctx);
	void *ctx;
};

struct permit_duty_cfg {
	const struct clk *clk;
	/* For the log when the ring is full. */
	const char *name;
	unsigned capacity;
	apr_interval_time_t tick;
	size_t item_size;
};

struct permit_duty;

/* Makes the ring. Returns 0 or PST_ERR_NOMEM. */
int permit_duty_create(struct permit_duty **out,
		       const struct permit_duty_cfg *cfg,
		       const struct permit_duty_hooks *hooks);

/* Returns 0 or PST_ERR_THREAD. */
int permit_duty_start(struct permit_duty *duty);

/* Copies the item. Returns 0 or PST_ERR_FULL. Thread-safe, never blocks. */
int permit_duty_push(struct permit_duty *duty, const void *item);

/* Ends the thread, if any; items may still be pushed. NULL is allowed. */
void permit_duty_stop(struct permit_duty *duty);

/* After permit_duty_stop(); drops what waits. NULL is allowed. */
void permit_duty_destroy(struct permit_duty *duty);

#endif
