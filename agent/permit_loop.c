#include "agent/permit_loop.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "agent/permit_ring.h"
#include "common/err.h"
#include "common/evt.h"

#define LOG_MODULE "permit.duty"

/* Longest wait for an item while the loop is not busy. */
#define IDLE_WAIT CLK_MS(100)

/* Time between looks for a new view. */
#define VIEW_POLL_INTERVAL CLK_MS(50)

/* Items taken before what they cause is sent. */
#define MAX_ITEMS_PER_FLUSH 64

struct permit_loop {
	struct permit_loop_cfg cfg;
	struct permit_loop_hooks hooks;
	struct permit_ring *ring;
	struct ctl_view *view;
	apr_time_t view_polled_at;
	apr_time_t ticked_at;
	atomic_bool stopping;
	pthread_t thread;
	bool started;
};

static void drop(struct permit_loop *loop, void *item)
{
	loop->hooks.free_item(item);
	free(item);
}

static void poll_view(struct permit_loop *loop, apr_time_t now)
{
	struct ctl_view *view;

	if (loop->view && now - loop->view_polled_at < VIEW_POLL_INTERVAL)
		return;
	loop->view_polled_at = now;
	view = loop->hooks.view(loop->hooks.ctx);
	if (!view)
		return;
	if (view != loop->view)
		loop->hooks.view_changed(loop->hooks.ctx, view, now);
	/*
	 * Views are compared by address: the reference kept here prevents the
	 * reuse of the address.
	 */
	if (loop->view)
		ctl_view_put(loop->view);
	loop->view = view;
}

static void handle_burst(struct permit_loop *loop, void *item)
{
	for (int i = 0; item; i++) {
		loop->hooks.handle_item(loop->hooks.ctx, item,
					clk_now(loop->cfg.clk));
		drop(loop, item);
		item = i + 1 < MAX_ITEMS_PER_FLUSH
			       ? permit_ring_pop(loop->ring, 0)
			       : NULL;
	}
}

static void *run(void *arg)
{
	struct permit_loop *loop = arg;
	void *ctx = loop->hooks.ctx;

	while (!loop->stopping) {
		void *item = permit_ring_pop(
			loop->ring,
			loop->hooks.busy(ctx) ? loop->cfg.tick : IDLE_WAIT);
		const apr_time_t now = clk_now(loop->cfg.clk);

		poll_view(loop, now);
		handle_burst(loop, item);
		if (now - loop->ticked_at >= loop->cfg.tick) {
			loop->ticked_at = now;
			loop->hooks.tick(ctx, now);
		}
		loop->hooks.flush(ctx, clk_now(loop->cfg.clk));
	}
	return NULL;
}

int permit_loop_create(struct permit_loop **out,
		       const struct permit_loop_cfg *cfg,
		       const struct permit_loop_hooks *hooks)
{
	struct permit_loop *loop = calloc(1, sizeof(*loop));
	int err;

	if (!loop)
		return PST_ERR_NOMEM;
	loop->cfg = *cfg;
	loop->hooks = *hooks;
	err = permit_ring_create(&loop->ring, cfg->capacity);
	if (err) {
		free(loop);
		return err;
	}
	*out = loop;
	return 0;
}

int permit_loop_start(struct permit_loop *loop)
{
	if (pthread_create(&loop->thread, NULL, run, loop))
		return PST_ERR_THREAD;
	loop->started = true;
	return 0;
}

int permit_loop_push(struct permit_loop *loop, const void *item)
{
	void *copy = malloc(loop->cfg.item_size);

	if (!copy)
		return PST_ERR_FULL;
	memcpy(copy, item, loop->cfg.item_size);
	if (permit_ring_push(loop->ring, copy))
		return 0;
	free(copy);
	evt_log(BROKER_RING_FULL, "ring=%s", loop->cfg.name);
	return PST_ERR_FULL;
}

void permit_loop_stop(struct permit_loop *loop)
{
	if (!loop)
		return;
	loop->stopping = true;
	if (loop->started)
		pthread_join(loop->thread, NULL);
	loop->started = false;
}

void permit_loop_destroy(struct permit_loop *loop)
{
	void *item;

	if (!loop)
		return;
	while ((item = permit_ring_pop(loop->ring, 0)))
		drop(loop, item);
	if (loop->view)
		ctl_view_put(loop->view);
	permit_ring_destroy(loop->ring);
	free(loop);
}
