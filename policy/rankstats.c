#include "policy/rankstats.h"

#include <limits.h>
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

/* Weight of one request in the smoothed fraction of late ones. */
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

/* Largest fraction of late requests among ranks that are below end. */
static double most_late(const struct rankstats *rankstats, unsigned end)
{
	double requests = 0;
	double most = 0;

	for (unsigned i = 0; i < rankstats->count; i++)
		requests += rankstats->ranks[i].requests;
	for (unsigned i = 0; i < rankstats->count; i++) {
		if (rankstats->ranks[i].rank < end &&
		    rankstats->ranks[i].requests > ABSENT_SHARE * requests &&
		    rankstats->ranks[i].late > most)
			most = rankstats->ranks[i].late;
	}
	return most;
}

double rankstats_late(const struct rankstats *rankstats, unsigned rank)
{
	return most_late(rankstats, rank < UINT_MAX ? rank + 1 : rank);
}

bool rankstats_yields(const struct rankstats *rankstats, unsigned rank)
{
	double own = 0;

	for (unsigned i = 0; i < rankstats->count; i++) {
		if (rankstats->ranks[i].rank == rank)
			own = rankstats->ranks[i].busy_slots;
	}
	return most_late(rankstats, rank) > RANKSTATS_MAX_LATE &&
	       own >= GUARANTEED_SHARE * total_busy_slots(rankstats);
}
