#include "fakes/slot_events.h"

#include <stdlib.h>

#include "common/err.h"

/* Events for which room is made at first. */
#define ROOM_MIN 1024

static bool before(const struct slot_event *a, const struct slot_event *b)
{
	return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static int make_room(struct slot_events *events)
{
	const size_t room = events->room * 2 + ROOM_MIN;
	struct slot_event *grown;

	if (events->count < events->room)
		return 0;
	grown = realloc(events->heap, room * sizeof(*grown));
	if (!grown)
		return PST_ERR_NOMEM;
	events->heap = grown;
	events->room = room;
	return 0;
}

int slot_events_post(struct slot_events *events, struct slot_event e)
{
	struct slot_event *heap;
	size_t at = events->count;

	if (make_room(events))
		return PST_ERR_NOMEM;
	heap = events->heap;
	e.order = events->order++;
	events->count++;
	while (at > 0 && before(&e, &heap[(at - 1) / 2])) {
		heap[at] = heap[(at - 1) / 2];
		at = (at - 1) / 2;
	}
	heap[at] = e;
	return 0;
}

struct slot_event slot_events_take(struct slot_events *events)
{
	struct slot_event *heap = events->heap;
	const struct slot_event first = heap[0];
	const struct slot_event last = heap[--events->count];
	size_t at = 0;

	for (;;) {
		size_t child = 2 * at + 1;

		if (child >= events->count)
			break;
		if (child + 1 < events->count &&
		    before(&heap[child + 1], &heap[child]))
			child++;
		if (!before(&heap[child], &last))
			break;
		heap[at] = heap[child];
		at = child;
	}
	heap[at] = last;
	return first;
}

void slot_events_done(struct slot_events *events)
{
	free(events->heap);
}
