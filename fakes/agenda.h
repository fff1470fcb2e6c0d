/*
 * Event queue of a simulation, earliest first. Events of the same time are
 * taken in the order in which they were posted.
 */
#ifndef FAKES_AGENDA_H
#define FAKES_AGENDA_H

#include <stddef.h>
#include <stdint.h>

#include <apr_time.h>

#include "policy/broker_core.h"

struct place_request;

/* Payload of an event of the slot model. */
struct evqueue_slot {
	uint32_t request;
	enum permit_outcome outcome;
	uint64_t permit;
};

struct evqueue_event {
	apr_time_t at;
	/* Set by evqueue_post(). */
	uint64_t order;
	/* Kind of event, defined by the model. */
	int kind;
	/* Payload; each model uses its own member. */
	union {
		struct evqueue_slot slot;
		struct place_request *place;
	};
};

/* Empty when zeroed. */
struct evqueue {
	struct evqueue_event *heap;
	size_t count;
	size_t capacity;
	uint64_t order;
};

/* Adds an event. Returns 0 or PST_ERR_NOMEM. */
int evqueue_post(struct evqueue *agenda, struct evqueue_event event);

/* Removes and returns the earliest event. The queue must not be empty. */
struct evqueue_event evqueue_take(struct evqueue *agenda);

void evqueue_free(struct evqueue *agenda);

#endif
