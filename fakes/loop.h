/*
 * Event loop of the fake processes: descriptors, timers and shutdown.
 *
 * One loop belongs to one thread. Callbacks may add and remove descriptors
 * and timers, their own included.
 */
#ifndef FAKES_LOOP_H
#define FAKES_LOOP_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "common/clk.h"

struct evloop;

/* Embedded in its owner, which keeps it until evloop_unwatch(). */
struct evloop_fd {
	int fd;
	/* events are those of epoll_wait(). */
	void (*ready)(struct evloop_fd *fd, uint32_t events);
	/* Set by the loop. */
	uint32_t events;
};

/* Embedded in its owner, and zeroed before first use. */
struct evloop_timer {
	void (*fire)(struct evloop_timer *timer);
	/* Set by the loop. */
	apr_time_t at;
	bool armed;
	TAILQ_ENTRY(evloop_timer) link;
};

/*
 * Borrows clk. SIGTERM and SIGINT end evloop_run(). Returns 0, PST_ERR_NOMEM or
 * PST_ERR_IO.
 */
int evloop_create(struct evloop **out, const struct clk *clk);

/* NULL is allowed. */
void evloop_destroy(struct evloop *loop);

apr_time_t evloop_now(const struct evloop *loop);

/* Adds the descriptor or changes its events. Returns 0 or PST_ERR_IO. */
int evloop_watch(struct evloop *loop, struct evloop_fd *fd, uint32_t events);
void evloop_unwatch(struct evloop *loop, struct evloop_fd *fd);

/* Arms or moves a one-shot timer. */
void evloop_timer_set(struct evloop *loop, struct evloop_timer *timer,
		      apr_time_t at);
void evloop_timer_clear(struct evloop *loop, struct evloop_timer *timer);

/* Runs until a signal or evloop_stop(). */
void evloop_run(struct evloop *loop);
void evloop_stop(struct evloop *loop);

#endif
