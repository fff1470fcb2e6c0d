/* LRU cache of the objects that a modelled upstream handled recently. */
#ifndef FAKES_WARM_H
#define FAKES_WARM_H

#include <stdbool.h>
#include <stdint.h>

#include <apr_time.h>

#define WARM_MAX_OBJECTS 256

/* Empty when zeroed. */
struct warm {
	uint64_t objects[WARM_MAX_OBJECTS];
	apr_time_t used[WARM_MAX_OBJECTS];
};

/*
 * Adds the object or marks it as used now. Returns whether it was among the
 * capacity (at most WARM_MAX_OBJECTS) objects that were used last.
 */
bool warm_touch(struct warm *warm, int capacity, uint64_t object,
		apr_time_t now);

#endif
