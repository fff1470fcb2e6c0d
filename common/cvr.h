/*
 * Condition variables with time-outs on the monotonic clock, so that steps of
 * the time of day don't affect them.
 */
#ifndef COMMON_CVR_H
#define COMMON_CVR_H

#include <pthread.h>

#include <apr_time.h>

/* Initialises a condition for cvr_wait(). Returns 0 or PST_ERR_NOMEM. */
int cvr_init(pthread_cond_t *cond);

/* Returns the end, for cvr_wait(), of a wait that begins now. */
struct timespec cvr_deadline(apr_interval_time_t wait);

/*
 * Waits, with the lock held, until the condition is signalled or the end is
 * reached, as pthread_cond_timedwait() does. Returns 0 or PST_ERR_TIMEOUT.
 */
int cvr_wait(pthread_cond_t *cond, pthread_mutex_t *lock,
	     const struct timespec *end);

#endif
