/* Slow upstreams of the placement model, and its random numbers. */
#ifndef FAKES_PLACE_SLOW_H
#define FAKES_PLACE_SLOW_H

#include "fakes/place_model.h"

/* The speed of one upstream. */
struct place_slow {
	/* Current run time as a multiple of the usual one. */
	double factor;
	/* Time since the start at which the factor changes next. */
	apr_interval_time_t until;
};

/* Returns a number from (0, 1), the next one of the seed. */
double place_draw(uint64_t seed, uint64_t *draws);

/* Draws whether the upstream is slow at first. */
void place_slow_init(struct place_slow *slow, const struct placesim_load *load,
		     uint64_t *draws);

/* Returns the factor at a time since the start, which must not decrease. */
double place_slow_factor(struct place_slow *slow,
			 const struct placesim_load *load,
			 apr_interval_time_t at, uint64_t *draws);

#endif
