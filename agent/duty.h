/* A thread that repeats one duty at an interval until it is stopped. */
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
	bool poked;
	/* Runs the duty once; returns the wait before the next run. */
	apr_interval_time_t (*run)(void *ctx);
	void *ctx;
};

/* Returns 0 or PST_ERR_THREAD. */
int duty_start(struct duty *duty, apr_interval_time_t (*run)(void *ctx),
	       void *ctx);

/* Makes the duty run again without waiting. */
void duty_wake(struct duty *duty);

/* Waits for the thread to end; one that was not started is allowed. */
void duty_stop(struct duty *duty);

/* wait, changed at random by up to a half either way, against stampedes. */
apr_interval_time_t duty_jitter(apr_interval_time_t wait);

/* base doubled for each failure, at most max, with jitter. */
apr_interval_time_t duty_backoff(apr_interval_time_t base, uint32_t failures,
				 apr_interval_time_t max);

#endif
