#include "fakes/place_slow.h"

#include <math.h>

#include "common/str.h"

double place_draw(uint64_t seed, uint64_t *draws)
{
	const uint64_t n = (*draws)++;

	return ((double)(str_hash((struct str){.ptr = (const char *)&n,
					       .len = sizeof(n)},
				  seed) >>
			 11) +
		0.5) *
	       0x1p-53;
}

void place_slow_init(struct place_slow *slow, const struct placesim_load *load,
		     uint64_t *draws)
{
	slow->factor = place_draw(load->seed, draws) < load->slow_share
			       ? load->slow_factor
			       : 1;
}

double place_slow_factor(struct place_slow *slow,
			 const struct placesim_load *load,
			 apr_interval_time_t at, uint64_t *draws)
{
	if (at < load->slow_at)
		return 1;
	while (load->slow_for && slow->until <= at) {
		const double mean = (double)load->slow_for;
		const double draw = place_draw(load->seed, draws);

		/* Slow periods are of similar length, the times between not. */
		if (slow->factor > 1) {
			slow->until +=
				(apr_interval_time_t)(-log(draw) * mean *
						      (1 / load->slow_share -
						       1));
			slow->factor = 1;
		} else {
			slow->until +=
				(apr_interval_time_t)((0.8 + 0.4 * draw) *
						      mean);
			slow->factor = load->slow_factor;
		}
	}
	return slow->factor;
}
