#include "agent/permit_ring.h"

#include <pthread.h>
#include <stdlib.h>

#include <apr_general.h>
#include <apr_queue.h>

#include "common/condvar.h"
#include "common/err.h"

struct permit_ring {
	apr_pool_t *pool;
	apr_queue_t *queue;
	pthread_mutex_t lock;
	pthread_cond_t filled;
	bool waiting;
};

static void *try_pop(struct permit_ring *ring)
{
	void *item = NULL;

	return apr_queue_trypop(ring->queue, &item) ? NULL : item;
}

int permit_ring_create(struct permit_ring **out, unsigned capacity)
{
	struct permit_ring *ring = calloc(1, sizeof(*ring));

	if (!ring)
		return PST_ERR_NOMEM;
	if (apr_initialize() || apr_pool_create(&ring->pool, NULL) ||
	    apr_queue_create(&ring->queue, capacity, ring->pool) ||
	    condvar_init(&ring->filled)) {
		if (ring->pool)
			apr_pool_destroy(ring->pool);
		free(ring);
		return PST_ERR_NOMEM;
	}
	pthread_mutex_init(&ring->lock, NULL);
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
	const struct timespec end = condvar_deadline(wait);
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
		err = condvar_wait(&ring->filled, &ring->lock, &end);
	}
	ring->waiting = false;
	pthread_mutex_unlock(&ring->lock);
	return item;
}
