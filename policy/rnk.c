#include "policy/rnk.h"

#include <math.h>

/* Time constant of the decay of busy slots and requests. */
#define DECAY_US 4000000.0

/*
 * Share of a service's busy slots below which a less urgent rank does not
 * yield. It gets 0.15 in effect, since some of its requests are refused for
 * other reasons.
 */
#define GUARANTEED_SHARE 0.18

/* Fraction of all requests below which a rank counts as absent. */
#define ABSENT_SHARE 0.02

/*
 * Fraction of the more urgent requests that may be late before others yield,
 * and the weight of one request in that smoothed fraction.
 */
#define MAX_LATE  0.05
#define LATE_GAIN 0.05

static double decay_since(const struct rnk *rnk, apr_time_t now)
{
	return exp(-(double)(now - rnk->updated_at) / DECAY_US);
}

/* Finds or adds the entry of the rank; the last one if there is no room. */
static unsigned entry_of(struct rnk *rnk, unsigned rank)
{
	unsigned i = 0;

	while (i < rnk->count && rnk->ranks[i].rank != rank)
		i++;
	if (i == RNK_MAX)
		return RNK_MAX - 1;
	if (i == rnk->count) {
		rnk->ranks[i].rank = rank;
		rnk->count++;
	}
	return i;
}

static void decay(struct rnk *rnk, apr_time_t now)
{
	const double factor = decay_since(rnk, now);

	for (unsigned i = 0; i < rnk->count; i++) {
		rnk->ranks[i].busy_slots *= factor;
		rnk->ranks[i].requests *= factor;
	}
	rnk->updated_at = now;
}

void rnk_note_run(struct rnk *rnk, unsigned rank, double busy_us,
		  apr_time_t now)
{
	decay(rnk, now);
	rnk->ranks[entry_of(rnk, rank)].busy_slots += busy_us / DECAY_US;
}

void rnk_note_request(struct rnk *rnk, unsigned rank, bool late, apr_time_t now)
{
	const unsigned i = entry_of(rnk, rank);

	decay(rnk, now);
	rnk->ranks[i].requests++;
	rnk->ranks[i].late += LATE_GAIN * ((late ? 1 : 0) - rnk->ranks[i].late);
}

/* Busy slots of all ranks at updated_at. */
static double total_busy_slots(const struct rnk *rnk)
{
	double sum = 0;

	for (unsigned i = 0; i < rnk->count; i++)
		sum += rnk->ranks[i].busy_slots;
	return sum;
}

double rnk_busy_slots(const struct rnk *rnk, apr_time_t now)
{
	return total_busy_slots(rnk) * decay_since(rnk, now);
}

bool rnk_yields(const struct rnk *rnk, unsigned rank)
{
	bool urgent_is_late = false;
	double requests = 0;
	double own = 0;

	for (unsigned i = 0; i < rnk->count; i++)
		requests += rnk->ranks[i].requests;
	for (unsigned i = 0; i < rnk->count; i++) {
		if (rnk->ranks[i].rank == rank)
			own = rnk->ranks[i].busy_slots;
		else if (rnk->ranks[i].rank < rank &&
			 rnk->ranks[i].requests > ABSENT_SHARE * requests)
			urgent_is_late |= rnk->ranks[i].late > MAX_LATE;
	}
	return urgent_is_late &&
	       own >= GUARANTEED_SHARE * total_busy_slots(rnk);
}
