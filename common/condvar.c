#include "common/condvar.h"

#include <time.h>

#include "common/err.h"

#define NSEC_PER_SEC  1000000000L
#define NSEC_PER_USEC 1000

int condvar_init(pthread_cond_t *cond)
{
	pthread_condattr_t attr;
	int stat;

	if (pthread_condattr_init(&attr))
		return PST_ERR_NOMEM;
	stat = pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	if (!stat)
		stat = pthread_cond_init(cond, &attr);
	pthread_condattr_destroy(&attr);
	return stat ? PST_ERR_NOMEM : 0;
}

struct timespec condvar_deadline(apr_interval_time_t wait)
{
	struct timespec end;

	clock_gettime(CLOCK_MONOTONIC, &end);
	end.tv_sec += wait / APR_USEC_PER_SEC;
	end.tv_nsec += wait % APR_USEC_PER_SEC * NSEC_PER_USEC;
	if (end.tv_nsec >= NSEC_PER_SEC) {
		end.tv_nsec -= NSEC_PER_SEC;
		end.tv_sec++;
	}
	return end;
}

int condvar_wait(pthread_cond_t *cond, pthread_mutex_t *lock,
		 const struct timespec *end)
{
	return pthread_cond_timedwait(cond, lock, end) ? PST_ERR_TIMEOUT : 0;
}
