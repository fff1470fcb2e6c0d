/* Measured times and their quantiles. */
#ifndef FAKES_SLOT_SAMPLE_H
#define FAKES_SLOT_SAMPLE_H

#include <stddef.h>
#include <stdint.h>

/* An empty sample is all zeros. */
struct slot_sample {
	uint64_t *us;
	size_t count;
	size_t capacity;
};

/* Returns 0 or PST_ERR_NOMEM. */
int slot_sample_add(struct slot_sample *sample, uint64_t us);

/* Sorts the times, for slot_sample_at(). */
void slot_sample_sort(struct slot_sample *sample);

/* Returns the quantile q (0 to 1) in microseconds, or 0 if empty. */
uint64_t slot_sample_at(const struct slot_sample *sample, double q);

void slot_sample_done(struct slot_sample *sample);

#endif
