#include "agent/task.h"

#include <sys/random.h>

#include "common/condvar.h"
#include "common/err.h"

/* Most doublings of a back-off. */
#define MAX_DOUBLINGS 16

/* Returns false when the thread is to end. */
static bool wait_for(struct task *task, apr_interval_time_t wait)
{
	const struct timespec end = condvar_deadline(wait);
	bool keep_running;
	int err = 0;

	pthread_mutex_lock(&task->lock);
	while (!task->stopping && !task->run_now && !err)
		err = condvar_wait(&task->wake, &task->lock, &end);
	task->run_now = false;
	keep_running = !task->stopping;
	pthread_mutex_unlock(&task->lock);
	return keep_running;
}

static void *loop(void *arg)
{
	struct task *task = arg;
	apr_interval_time_t wait;

	do
		wait = task->run(task->ctx);
	while (wait_for(task, wait));
	return NULL;
}

int task_start(struct task *task, apr_interval_time_t (*run)(void *ctx),
	       void *ctx)
{
	*task = (struct task){.run = run, .ctx = ctx};
	pthread_mutex_init(&task->lock, NULL);
	if (condvar_init(&task->wake))
		return PST_ERR_NOMEM;
	if (pthread_create(&task->thread, NULL, loop, task))
		return PST_ERR_THREAD;
	task->started = true;
	return 0;
}

void task_wake(struct task *task)
{
	pthread_mutex_lock(&task->lock);
	task->run_now = true;
	pthread_cond_signal(&task->wake);
	pthread_mutex_unlock(&task->lock);
}

void task_stop(struct task *task)
{
	if (!task->started)
		return;
	pthread_mutex_lock(&task->lock);
	task->stopping = true;
	pthread_cond_signal(&task->wake);
	pthread_mutex_unlock(&task->lock);
	pthread_join(task->thread, NULL);
	pthread_cond_destroy(&task->wake);
	pthread_mutex_destroy(&task->lock);
	task->started = false;
}

apr_interval_time_t task_jitter(apr_interval_time_t wait)
{
	uint64_t random = 0;

	if (wait <= 0 || getrandom(&random, sizeof(random), 0) < 0)
		return wait;
	return wait / 2 + (apr_interval_time_t)(random % (uint64_t)(wait + 1));
}

apr_interval_time_t task_backoff(apr_interval_time_t base, uint32_t failures,
				 apr_interval_time_t max)
{
	const uint32_t doublings =
		failures < MAX_DOUBLINGS ? failures : MAX_DOUBLINGS;
	const apr_interval_time_t wait = base << doublings;

	return task_jitter(wait < max ? wait : max);
}
