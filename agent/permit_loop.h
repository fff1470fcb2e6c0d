/*
 * The event loop of the permit agent and of the brokers: a thread that handles
 * items from a bounded queue, watches for new views of the table and VM list,
 * and ticks at an interval.
 */
#ifndef AGENT_PERMIT_LOOP_H
#define AGENT_PERMIT_LOOP_H

#include "agent/ctl.h"

/* Callbacks, all run on the loop's thread. */
struct permit_loop_hooks {
	void (*handle_item)(void *ctx, void *item, apr_time_t now);
	/* Frees what the item owns. */
	void (*free_item)(void *item);
	/* Returns a new reference to the current view, or NULL. */
	struct ctl_view *(*view)(void *ctx);
	/* Handles a new view, which is borrowed. */
	void (*view_changed)(void *ctx, struct ctl_view *view, apr_time_t now);
	void (*tick)(void *ctx, apr_time_t now);
	/* Sends the messages that the items and ticks have produced. */
	void (*flush)(void *ctx, apr_time_t now);
	/* Whether ticks are needed at cfg.tick; else the loop may idle. */
	bool (*busy)(void *ctx);
	void *ctx;
};

struct permit_loop_cfg {
	const struct clk *clk;
	/* The queue's name in the log when it is full. */
	const char *name;
	unsigned capacity;
	/* Shortest time between two ticks. */
	apr_interval_time_t tick;
	size_t item_size;
};

struct permit_loop;

/* Creates the queue without the thread. Returns 0 or PST_ERR_NOMEM. */
int permit_loop_create(struct permit_loop **out,
		       const struct permit_loop_cfg *cfg,
		       const struct permit_loop_hooks *hooks);

/* Returns 0 or PST_ERR_THREAD. */
int permit_loop_start(struct permit_loop *loop);

/*
 * Queues a copy of item. Returns 0 or PST_ERR_FULL. Thread-safe and
 * non-blocking.
 */
int permit_loop_push(struct permit_loop *loop, const void *item);

/* Ends the thread if it runs; items may still be pushed. NULL is allowed. */
void permit_loop_stop(struct permit_loop *loop);

/* To be called after stop; drops the queued items. NULL is allowed. */
void permit_loop_destroy(struct permit_loop *loop);

#endif
