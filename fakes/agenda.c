#include "fakes/agenda.h"

#include <stdlib.h>

#include "common/err.h"

/* Capacity of the first allocation, in events. */
#define MIN_CAPACITY 1024

static bool before(const struct evqueue_event *a, const struct evqueue_event *b)
{
	return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static int grow_heap(struct evqueue *agenda)
{
	const size_t capacity = agenda->capacity * 2 + MIN_CAPACITY;
	struct evqueue_event *grown;

	if (agenda->count < agenda->capacity)
		return 0;
	grown = realloc(agenda->heap, capacity * sizeof(*grown));
	if (!grown)
		return PST_ERR_NOMEM;
	agenda->heap = grown;
	agenda->capacity = capacity;
	return 0;
}

int evqueue_post(struct evqueue *agenda, struct evqueue_event e)
{
	struct evqueue_event *heap;
	size_t at = agenda->count;

	if (grow_heap(agenda))
		return PST_ERR_NOMEM;
	heap = agenda->heap;
	e.order = agenda->order++;
	agenda->count++;
	while (at > 0 && before(&e, &heap[(at - 1) / 2])) {
		heap[at] = heap[(at - 1) / 2];
		at = (at - 1) / 2;
	}
	heap[at] = e;
	return 0;
}

struct evqueue_event evqueue_take(struct evqueue *agenda)
{
	struct evqueue_event *heap = agenda->heap;
	const struct evqueue_event first = heap[0];
	const struct evqueue_event last = heap[--agenda->count];
	size_t at = 0;

	for (;;) {
		size_t child = 2 * at + 1;

		if (child >= agenda->count)
			break;
		if (child + 1 < agenda->count &&
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

void evqueue_free(struct evqueue *agenda)
{
	free(agenda->heap);
}
