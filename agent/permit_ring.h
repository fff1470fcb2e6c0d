/*
 * A bounded queue of pointers for many producers and one consumer. Pushing does
 * not wait for room; popping waits at most a given time for an item.
 */
#ifndef AGENT_PERMIT_RING_H
#define AGENT_PERMIT_RING_H

#include <stdbool.h>

#include <apr_time.h>

struct permit_ring;

/* Returns 0 or PST_ERR_NOMEM. */
int permit_ring_create(struct permit_ring **out, unsigned capacity);

/* NULL is allowed. Items that are still queued are not freed. */
void permit_ring_destroy(struct permit_ring *ring);

/* Returns false when the queue is full. */
bool permit_ring_push(struct permit_ring *ring, void *item);

/* Returns NULL when no item was pushed within wait. */
void *permit_ring_pop(struct permit_ring *ring, apr_interval_time_t wait);

#endif
