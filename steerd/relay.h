/*
 * Passes the store's changes on to VMs that follow it through this one, as
 * long as this VM follows the store and knows that its own state is fresh.
 */
#ifndef STEERD_RELAY_H
#define STEERD_RELAY_H

#include "steerd/feed.h"

struct relay {
	struct st *st;
	struct feed_group *group;
	struct ev_timer timer;
	/* Watches of other VMs that wait for a change. */
	TAILQ_HEAD(, relay_watch) watches;
	/*
	 * The next to be tried while watches are answered: an answer can end
	 * connections, and with them any watch.
	 */
	struct relay_watch *next;
};

/* Operations of the server for other VMs; their ctx is the struct relay. */
extern const struct srv_ops relay_ops;

/* The caller has set st and group. */
void relay_init(struct relay *relay);

/*
 * The store was restored: the revisions that watches wait after are void. ctx
 * is the struct relay.
 */
void relay_on_restart(void *ctx);

/* A feed was updated: answers its watches. ctx is the struct relay. */
void relay_on_update(void *ctx, struct feed *feed);

#endif
