/* A thread that calls a function at intervals until it is stopped. */
#ifndef AGENT_TASK_H
#define AGENT_TASK_H

#include <pthread.h>

#include <apr_time.h>
#include <stdbool.h>

struct task {
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t wake;
	bool started;
	bool stopping;
	bool run_now;
	/* The function; returns the wait before its next call. */
	apr_interval_time_t (*run)(void *ctx);
	void *ctx;
};

/* Returns 0, PST_ERR_NOMEM or PST_ERR_THREAD. */
int task_start(struct task *task, apr_interval_time_t (*run)(void *ctx),
	       void *ctx);

/* Calls the function as soon as possible, without the rest of the wait. */
void task_wake(struct task *task);

/* Ends the thread and waits for it. It need not have been started. */
void task_stop(struct task *task);

/*
 * Returns a random time between half of wait and one and a half times wait,
 * so that many processes don't act at the same moment.
 */
apr_interval_time_t task_jitter(apr_interval_time_t wait);

/* Returns base, doubled for each failure up to max, with jitter. */
apr_interval_time_t task_backoff(apr_interval_time_t base, uint32_t failures,
				 apr_interval_time_t max);

#endif
