#include "policy/rankstats.h"

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

static double decay_since(const struct rankstats *rankstats, apr_time_t now)
{
	return exp(-(double)(now - rankstats->updated_at) / DECAY_US);
}

/* Finds or adds the entry of the rank; the last one if there is no room. */
static unsigned entry_of(struct rankstats *rankstats, unsigned rank)
{
	unsigned i = 0;

	while (i < rankstats->count && rankstats->ranks[i].rank != rank)
		i++;
	if (i == RANKSTATS_MAX)
		return RANKSTATS_MAX - 1;
	if (i == rankstats->count) {
		rankstats->ranks[i].rank = rank;
		rankstats->count++;
	}
	return i;
}

static void decay(struct rankstats *rankstats, apr_time_t now)
{
	const double factor = decay_since(rankstats, now);

	for (unsigned i = 0; i < rankstats->count; i++) {
		rankstats->ranks[i].busy_slots *= factor;
		rankstats->ranks[i].requests *= factor;
	}
	rankstats->updated_at = now;
}

void rankstats_note_run(struct rankstats *rankstats, unsigned rank,
			double busy_us, apr_time_t now)
{
	decay(rankstats, now);
	rankstats->ranks[entry_of(rankstats, rank)].busy_slots +=
		busy_us / DECAY_US;
}

void rankstats_note_request(struct rankstats *rankstats, unsigned rank,
			    bool late, apr_time_t now)
{
	const unsigned i = entry_of(rankstats, rank);

	decay(rankstats, now);
	rankstats->ranks[i].requests++;
	rankstats->ranks[i].late +=
		LATE_GAIN * ((late ? 1 : 0) - rankstats->ranks[i].late);
}

/* Busy slots of all ranks at updated_at. */
static double total_busy_slots(const struct rankstats *rankstats)
{
	double sum = 0;

	for (unsigned i = 0; i < rankstats->count; i++)
		sum += rankstats->ranks[i].busy_slots;
	return sum;
}

double rankstats_busy_slots(const struct rankstats *rankstats, apr_time_t now)
{
	return total_busy_slots(rankstats) * decay_since(rankstats, now);
}

bool rankstats_yields(const struct rankstats *rankstats, unsigned rank)
{
	bool urgent_is_late = false;
	double requests = 0;
	double own = 0;

	for (unsigned i = 0; i < rankstats->count; i++)
		requests += rankstats->ranks[i].requests;
	for (unsigned i = 0; i < rankstats->count; i++) {
		if (rankstats->ranks[i].rank == rank)
			own = rankstats->ranks[i].busy_slots;
		else if (rankstats->ranks[i].rank < rank &&
			 rankstats->ranks[i].requests > ABSENT_SHARE * requests)
			urgent_is_late |= rankstats->ranks[i].late > MAX_LATE;
	}
	return urgent_is_late &&
	       own >= GUARANTEED_SHARE * total_busy_slots(rankstats);
}
