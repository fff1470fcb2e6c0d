#include "agent/permit_duty.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "agent/permit_ring.h"
#include "common/err.h"
#include "common/evt.h"

#define LOG_MODULE "permit.duty"

/* Longest wait without something in progress. */
#define IDLE_WAIT CLK_MS(100)

/* Time between looks for a new view. */
#define VIEW_INTERVAL CLK_MS(50)

/* Items taken before what they cause is sent. */
#define BURST 64

struct permit_duty {
	struct permit_duty_cfg cfg;
	struct permit_duty_hooks hooks;
	struct permit_ring *ring;
	struct ctl_view *view;
	apr_time_t view_at;
	apr_time_t tick_at;
	atomic_bool stopping;
	pthread_t thread;
	bool started;
};

static void drop(struct permit_duty *duty, void *item)
{
	duty->hooks.drop(item);
	free(item);
}

static void look_for_view(struct permit_duty *duty, apr_time_t now)
{
	struct ctl_view *view;

	if (duty->view && now - duty->view_at < VIEW_INTERVAL)
		return;
	duty->view_at = now;
	view = duty->hooks.view(duty->hooks.ctx);
	if (!view)
		return;
	if (view != duty->view)
		duty->hooks.view_changed(duty->hooks.ctx, view, now);
	/* The reference kept here keeps the address from being used again. */
	if (duty->view)
		ctl_view_put(duty->view);
	duty->view = view;
}

static void take_burst(struct permit_duty *duty, void *item)
{
	for (int i = 0; item; i++) {
		duty->hooks.handle_item(duty->hooks.ctx, item,
					clk_now(duty->cfg.clk));
		drop(duty, item);
		item = i + 1 < BURST ? permit_ring_pop(duty->ring, 0) : NULL;
	}
}

static void *run(void *arg)
{
	struct permit_duty *duty = arg;
	void *ctx = duty->hooks.ctx;

	while (!duty->stopping) {
		void *item = permit_ring_pop(
			duty->ring,
			duty->hooks.busy(ctx) ? duty->cfg.tick : IDLE_WAIT);
		const apr_time_t now = clk_now(duty->cfg.clk);

		look_for_view(duty, now);
		take_burst(duty, item);
		if (now - duty->tick_at >= duty->cfg.tick) {
			duty->tick_at = now;
			duty->hooks.tick(ctx, now);
		}
		duty->hooks.flush(ctx, clk_now(duty->cfg.clk));
	}
	return NULL;
}

int permit_duty_create(struct permit_duty **out,
		       const struct permit_duty_cfg *cfg,
		       const struct permit_duty_hooks *hooks)
{
	struct permit_duty *duty = calloc(1, sizeof(*duty));
	int err;

	if (!duty)
		return PST_ERR_NOMEM;
	duty->cfg = *cfg;
	duty->hooks = *hooks;
	err = permit_ring_create(&duty->ring, cfg->capacity);
	if (err) {
		free(duty);
		return err;
	}
	*out = duty;
	return 0;
}

int permit_duty_start(struct permit_duty *duty)
{
	if (pthread_create(&duty->thread, NULL, run, duty))
		return PST_ERR_THREAD;
	duty->started = true;
	return 0;
}

int permit_duty_push(struct permit_duty *duty, const void *item)
{
	void *copy = malloc(duty->cfg.item_size);

	if (!copy)
		return PST_ERR_FULL;
	memcpy(copy, item, duty->cfg.item_size);
	if (permit_ring_push(duty->ring, copy))
		return 0;
	free(copy);
	evt_log(BROKER_RING_FULL, "ring=%s", duty->cfg.name);
	return PST_ERR_FULL;
}

void permit_duty_stop(struct permit_duty *duty)
{
	if (!duty)
		return;
	duty->stopping = true;
	if (duty->started)
		pthread_join(duty->thread, NULL);
	duty->started = false;
}

void permit_duty_destroy(struct permit_duty *duty)
{
	void *item;

	if (!duty)
		return;
	while ((item = permit_ring_pop(duty->ring, 0)))
		drop(duty, item);
	if (duty->view)
		ctl_view_put(duty->view);
	permit_ring_destroy(duty->ring);
	free(duty);
}
