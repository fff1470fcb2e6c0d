#include "fakes/slot_sample.h"

#include <stdlib.h>

#include "common/err.h"

#define INITIAL_CAPACITY 1024

static int by_value(const void *a, const void *b)
{
	const uint64_t x = *(const uint64_t *)a;
	const uint64_t y = *(const uint64_t *)b;

	return (x > y) - (x < y);
}

int slot_sample_add(struct slot_sample *sample, uint64_t us)
{
	if (sample->count == sample->capacity) {
		const size_t capacity = sample->capacity * 2 + INITIAL_CAPACITY;
		uint64_t *resized =
			realloc(sample->us, capacity * sizeof(*resized));

		if (!resized)
			return PST_ERR_NOMEM;
		sample->us = resized;
		sample->capacity = capacity;
	}
	sample->us[sample->count++] = us;
	return 0;
}

void slot_sample_sort(struct slot_sample *sample)
{
	if (sample->count)
		qsort(sample->us, sample->count, sizeof(*sample->us), by_value);
}

uint64_t slot_sample_at(const struct slot_sample *sample, double q)
{
	return sample->count
		       ? sample->us[(size_t)((double)(sample->count - 1) * q)]
		       : 0;
}

void slot_sample_done(struct slot_sample *sample)
{
	free(sample->us);
	*sample = (struct slot_sample){0};
}
