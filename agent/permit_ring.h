/*
 * A bounded ring of pointers between duties: any thread pushes, one pops and
 * waits at most a given time.
 */
#ifndef AGENT_PERMIT_RING_H
#define AGENT_PERMIT_RING_H

#include <stdbool.h>

#include <apr_time.h>

struct permit_ring;

/* Returns 0 or PST_ERR_NOMEM. */
int permit_ring_create(struct permit_ring **out, unsigned capacity);

/* NULL is allowed. What is still in it is not freed. */
void permit_ring_destroy(struct permit_ring *ring);

/* Returns false when it is full. */
bool permit_ring_push(struct permit_ring *ring, void *item);

/* Returns NULL when nothing came within wait. */
void *permit_ring_pop(struct permit_ring *ring, apr_interval_time_t wait);

#endif
