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

struct flp;

/* Embedded in its owner, which keeps it until flp_unwatch(). */
struct flp_fd {
	int fd;
	/* events are those of epoll_wait(). */
	void (*ready)(struct flp_fd *fd, uint32_t events);
	/* Set by the loop. */
	uint32_t events;
};

/* Embedded in its owner, and zeroed before first use. */
struct flp_timer {
	void (*fire)(struct flp_timer *timer);
	/* Set by the loop. */
	apr_time_t at;
	bool armed;
	TAILQ_ENTRY(flp_timer) link;
};

/*
 * Borrows clk. SIGTERM and SIGINT end flp_run(). Returns 0, PST_ERR_NOMEM or
 * PST_ERR_IO.
 */
int flp_create(struct flp **out, const struct clk *clk);

/* NULL is allowed. */
void flp_destroy(struct flp *loop);

apr_time_t flp_now(const struct flp *loop);

/* Adds the descriptor or changes its events. Returns 0 or PST_ERR_IO. */
int flp_watch(struct flp *loop, struct flp_fd *fd, uint32_t events);
void flp_unwatch(struct flp *loop, struct flp_fd *fd);

/* Arms or moves a one-shot timer. */
void flp_timer_set(struct flp *loop, struct flp_timer *timer, apr_time_t at);
void flp_timer_clear(struct flp *loop, struct flp_timer *timer);

/* Runs until a signal or flp_stop(). */
void flp_run(struct flp *loop);
void flp_stop(struct flp *loop);

#endif
