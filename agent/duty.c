#include "agent/duty.h"

#include <sys/random.h>

#include "common/condvar.h"
#include "common/err.h"

/* Most doublings of a back-off. */
#define MAX_DOUBLINGS 16

/* Returns false when the thread is to end. */
static bool wait_for(struct duty *duty, apr_interval_time_t wait)
{
	const struct timespec end = condvar_deadline(wait);
	bool keep_running;
	int err = 0;

	pthread_mutex_lock(&duty->lock);
	while (!duty->stopping && !duty->run_now && !err)
		err = condvar_wait(&duty->wake, &duty->lock, &end);
	duty->run_now = false;
	keep_running = !duty->stopping;
	pthread_mutex_unlock(&duty->lock);
	return keep_running;
}

static void *loop(void *arg)
{
	struct duty *duty = arg;
	apr_interval_time_t wait;

	do
		wait = duty->run(duty->ctx);
	while (wait_for(duty, wait));
	return NULL;
}

int duty_start(struct duty *duty, apr_interval_time_t (*run)(void *ctx),
	       void *ctx)
{
	*duty = (struct duty){.run = run, .ctx = ctx};
	pthread_mutex_init(&duty->lock, NULL);
	if (condvar_init(&duty->wake))
		return PST_ERR_NOMEM;
	if (pthread_create(&duty->thread, NULL, loop, duty))
		return PST_ERR_THREAD;
	duty->started = true;
	return 0;
}

void duty_wake(struct duty *duty)
{
	pthread_mutex_lock(&duty->lock);
	duty->run_now = true;
	pthread_cond_signal(&duty->wake);
	pthread_mutex_unlock(&duty->lock);
}

void duty_stop(struct duty *duty)
{
	if (!duty->started)
		return;
	pthread_mutex_lock(&duty->lock);
	duty->stopping = true;
	pthread_cond_signal(&duty->wake);
	pthread_mutex_unlock(&duty->lock);
	pthread_join(duty->thread, NULL);
	pthread_cond_destroy(&duty->wake);
	pthread_mutex_destroy(&duty->lock);
	duty->started = false;
}

apr_interval_time_t duty_jitter(apr_interval_time_t wait)
{
	uint64_t random = 0;

	if (wait <= 0 || getrandom(&random, sizeof(random), 0) < 0)
		return wait;
	return wait / 2 + (apr_interval_time_t)(random % (uint64_t)(wait + 1));
}

apr_interval_time_t duty_backoff(apr_interval_time_t base, uint32_t failures,
				 apr_interval_time_t max)
{
	const uint32_t doublings =
		failures < MAX_DOUBLINGS ? failures : MAX_DOUBLINGS;
	const apr_interval_time_t wait = base << doublings;

	return duty_jitter(wait < max ? wait : max);
}
