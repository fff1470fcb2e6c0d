#include "agent/permit_ring.h"

#include <pthread.h>
#include <stdlib.h>
#include <time.h>

#include <apr_general.h>
#include <apr_queue.h>

#include "common/err.h"

struct permit_ring {
	apr_pool_t *pool;
	apr_queue_t *queue;
	pthread_mutex_t lock;
	pthread_cond_t filled;
	bool waiting;
};

static struct timespec until(apr_interval_time_t wait)
{
	struct timespec at;

	clock_gettime(CLOCK_MONOTONIC, &at);
	at.tv_sec += wait / APR_USEC_PER_SEC;
	at.tv_nsec += wait % APR_USEC_PER_SEC * 1000;
	if (at.tv_nsec >= 1000000000) {
		at.tv_nsec -= 1000000000;
		at.tv_sec++;
	}
	return at;
}

static void *try_pop(struct permit_ring *ring)
{
	void *item = NULL;

	return apr_queue_trypop(ring->queue, &item) ? NULL : item;
}

static int init_condition(struct permit_ring *ring)
{
	pthread_condattr_t attr;

	if (pthread_condattr_init(&attr))
		return PST_ERR_NOMEM;
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_mutex_init(&ring->lock, NULL);
	pthread_cond_init(&ring->filled, &attr);
	pthread_condattr_destroy(&attr);
	return 0;
}

int permit_ring_create(struct permit_ring **out, unsigned capacity)
{
	struct permit_ring *ring = calloc(1, sizeof(*ring));

	if (!ring)
		return PST_ERR_NOMEM;
	if (apr_initialize() || apr_pool_create(&ring->pool, NULL) ||
	    apr_queue_create(&ring->queue, capacity, ring->pool) ||
	    init_condition(ring)) {
		if (ring->pool)
			apr_pool_destroy(ring->pool);
		free(ring);
		return PST_ERR_NOMEM;
	}
	*out = ring;
	return 0;
}

void permit_ring_destroy(struct permit_ring *ring)
{
	if (!ring)
		return;
	pthread_cond_destroy(&ring->filled);
	pthread_mutex_destroy(&ring->lock);
	apr_pool_destroy(ring->pool);
	apr_terminate();
	free(ring);
}

bool permit_ring_push(struct permit_ring *ring, void *item)
{
	if (apr_queue_trypush(ring->queue, item))
		return false;
	pthread_mutex_lock(&ring->lock);
	if (ring->waiting)
		pthread_cond_signal(&ring->filled);
	pthread_mutex_unlock(&ring->lock);
	return true;
}

void *permit_ring_pop(struct permit_ring *ring, apr_interval_time_t wait)
{
	const struct timespec at = until(wait);
	void *item = try_pop(ring);
	int err = 0;

	if (item || !wait)
		return item;
	pthread_mutex_lock(&ring->lock);
	ring->waiting = true;
	while (!err) {
		item = try_pop(ring);
		if (item)
			break;
		err = pthread_cond_timedwait(&ring->filled, &ring->lock, &at);
	}
	ring->waiting = false;
	pthread_mutex_unlock(&ring->lock);
	return item;
}
