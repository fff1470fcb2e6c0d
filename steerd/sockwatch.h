/*
 * Watches connections with output under way for peers that have stopped
 * reading. TCP_USER_TIMEOUT ends a connection whose peer acknowledges nothing,
 * as it may have vanished, but also one whose peer acknowledges everything and
 * keeps its receive window closed. The latter is alive: the option is off until
 * it reads on. The owner bounds how long it may take.
 */
#ifndef STEERD_SOCKWATCH_H
#define STEERD_SOCKWATCH_H

#include <stdbool.h>

#include <ev.h>
#include <sys/queue.h>

/* A connection; zeroed memory is one that is not watched. */
struct sockwatch_item {
	int fd;
	bool is_watched;
	/* The peer's window is closed, and the option off. */
	bool is_closed;
	TAILQ_ENTRY(sockwatch_item) link;
};

/* Zeroed memory watches nothing. */
struct sockwatch {
	/* NULL until the first connection. */
	struct ev_loop *loop;
	struct ev_timer timer;
	TAILQ_HEAD(, sockwatch_item) items;
};

/* Bytes were written: watches the connection until all are acknowledged. */
void sockwatch_written(struct sockwatch *watch, struct ev_loop *loop,
		       struct sockwatch_item *item, int fd);

/* The connection is about to be closed. */
void sockwatch_drop(struct sockwatch *watch, struct sockwatch_item *item);

#endif
