#include "fakes/warm.h"

bool warm_touch(struct warm *warm, int capacity, uint64_t object,
		apr_time_t now)
{
	int oldest = 0;

	for (int i = 0; i < capacity; i++) {
		if (warm->used[i] && warm->objects[i] == object) {
			warm->used[i] = now;
			return true;
		}
		if (warm->used[i] < warm->used[oldest])
			oldest = i;
	}
	warm->objects[oldest] = object;
	warm->used[oldest] = now;
	return false;
}
