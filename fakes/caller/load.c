#include "fakes/caller/load.h"

#include <math.h>

/* Jobs of one stream that may be unfinished at once. */
#define MAX_OPEN 6000

struct load {
	struct job_env *env;
	const struct loadgen_config *config;
	apr_time_t stops;
	uint64_t random;
	struct evloop_timer end;
	bool closing;
};

/* Static, since the timers of the streams hold no pointer to it. */
static struct load load;

static double random_unit(void)
{
	load.random ^= load.random << 13;
	load.random ^= load.random >> 7;
	load.random ^= load.random << 17;
	return ((double)(load.random >> 11) + 1.0) / 9007199254740993.0;
}

static struct workload *work_of(struct evloop_timer *timer)
{
	return (struct workload *)(void *)((char *)timer -
					   offsetof(struct workload, next));
}

static apr_time_t stop_time(const struct workload *work)
{
	const apr_time_t to = load.env->started + CLK_MS(work->to_ms);

	return to < load.stops ? to : load.stops;
}

static uint64_t open_jobs(void)
{
	uint64_t open = 0;

	for (size_t i = 0; i < load.config->count; i++)
		open += load.config->works[i].open;
	return open;
}

static void stop_if_done(void)
{
	if (load.closing && !open_jobs())
		evloop_stop(load.env->loop);
}

static void start_one(struct workload *work)
{
	if (work->open >= MAX_OPEN)
		work->held_back++;
	else
		job_start(load.env, work);
}

static void on_arrival(struct evloop_timer *timer)
{
	struct workload *work = work_of(timer);
	apr_time_t at = timer->at;

	/* Counts from the planned time: a late loop doesn't lower the rate. */
	while (at <= evloop_now(load.env->loop) && at < stop_time(work)) {
		start_one(work);
		at += (apr_interval_time_t)(-log(random_unit()) *
					    APR_USEC_PER_SEC / work->rate);
	}
	if (at < stop_time(work))
		evloop_timer_set(load.env->loop, timer, at);
}

static void on_closed_start(struct evloop_timer *timer)
{
	struct workload *work = work_of(timer);

	for (uint32_t i = 0; i < work->closed; i++)
		start_one(work);
}

static void restart_work(struct evloop_timer *timer)
{
	start_one(work_of(timer));
}

static void on_ended(struct job_env *env, struct workload *work)
{
	if (work->closed && evloop_now(env->loop) < stop_time(work)) {
		/* Starts from the loop, as immediate failures would recurse. */
		if (work->next.armed) {
			start_one(work);
			return;
		}
		work->next.fire = restart_work;
		evloop_timer_set(env->loop, &work->next, evloop_now(env->loop));
		return;
	}
	stop_if_done();
}

static void on_end(struct evloop_timer *timer)
{
	if (load.closing) {
		evloop_stop(load.env->loop);
		return;
	}
	load.closing = true;
	evloop_timer_set(load.env->loop, timer,
			 evloop_now(load.env->loop) + load.config->drain);
	stop_if_done();
}

uint64_t loadgen_run(struct job_env *env, const struct loadgen_config *config)
{
	load.env = env;
	load.config = config;
	load.random = env->seed * 2 + 1;
	load.stops = env->started + config->duration;
	load.end.fire = on_end;
	env->ended = on_ended;
	for (size_t i = 0; i < config->count; i++) {
		struct workload *work = &config->works[i];

		work->next.fire = work->closed ? on_closed_start : on_arrival;
		evloop_timer_set(env->loop, &work->next,
				 env->started + CLK_MS(work->from_ms));
	}
	evloop_timer_set(env->loop, &load.end, load.stops);
	evloop_run(env->loop);
	return open_jobs();
}
