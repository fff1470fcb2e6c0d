/*
 * Condition variables with time-outs on the monotonic clock, so that steps of
 * the time of day don't affect them.
 */
#ifndef COMMON_CONDVAR_H
#define COMMON_CONDVAR_H

#include <pthread.h>

#include <apr_time.h>

/* Initialises a condition for condvar_wait(). Returns 0 or PST_ERR_NOMEM. */
int condvar_init(pthread_cond_t *cond);

/* Returns the end, for condvar_wait(), of a wait that begins now. */
struct timespec condvar_deadline(apr_interval_time_t wait);

/*
 * Waits, with the lock held, until the condition is signalled or the end is
 * reached, as pthread_cond_timedwait() does. Returns 0 or PST_ERR_TIMEOUT.
 */
int condvar_wait(pthread_cond_t *cond, pthread_mutex_t *lock,
		 const struct timespec *end);

#endif
