/*
 * The events ahead in the model of slots, earliest first; those of one time
 * in the order in which they were posted.
 */
#ifndef FAKES_SLOT_EVENTS_H
#define FAKES_SLOT_EVENTS_H

#include <apr_time.h>

#include "policy/brk_core.h"

enum slot_event_kind {
	SLOT_ARRIVE,
	SLOT_AT_BROKER,
	SLOT_ANSWERED,
	SLOT_AT_UPSTREAM,
	SLOT_RAN,
	SLOT_AT_ENTRY,
	SLOT_RELEASED,
	SLOT_CANCELLED,
	SLOT_GIVEN_UP,
	SLOT_REPORT,
	SLOT_TICKED,
};

struct slot_event {
	apr_time_t at;
	uint64_t order;
	enum slot_event_kind kind;
	uint32_t request;
	uint64_t permit;
	enum permit_outcome outcome;
};

struct slot_events {
	struct slot_event *heap;
	size_t count;
	size_t room;
	uint64_t order;
};

/* Returns 0 or PST_ERR_NOMEM. */
int slot_events_post(struct slot_events *events, struct slot_event e);

/* There must be one. */
struct slot_event slot_events_take(struct slot_events *events);

void slot_events_done(struct slot_events *events);

#endif
