/* A thread that calls a function at intervals until it is stopped. */
#ifndef AGENT_DUTY_H
#define AGENT_DUTY_H

#include <pthread.h>

#include <apr_time.h>
#include <stdbool.h>

struct duty {
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
int duty_start(struct duty *duty, apr_interval_time_t (*run)(void *ctx),
	       void *ctx);

/* Calls the function as soon as possible, without the rest of the wait. */
void duty_wake(struct duty *duty);

/* Ends the thread and waits for it. It need not have been started. */
void duty_stop(struct duty *duty);

/*
 * Returns a random time between half of wait and one and a half times wait,
 * so that many processes don't act at the same moment.
 */
apr_interval_time_t duty_jitter(apr_interval_time_t wait);

/* Returns base, doubled for each failure up to max, with jitter. */
apr_interval_time_t duty_backoff(apr_interval_time_t base, uint32_t failures,
				 apr_interval_time_t max);

#endif
