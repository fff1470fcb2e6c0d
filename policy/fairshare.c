#include "policy/fairshare.h"

#include <math.h>

#include "policy/rankstats.h"

/*
 * Time constant of the decay of demand and admitted slot time. It holds a few
 * dozen requests of a VM and follows a flood of a few seconds.
 */
#define DECAY_US 4000000.0

/*
 * Slot time in microseconds below which a tenant is forgotten, and the time
 * after which it is for a run of 0.2 s: 12 s.
 */
#define FORGET_BELOW_US 10000.0

/*
 * Time constant of the decay of the capacity. It is longer, so that a tenant
 * that is held back doesn't lower the capacity by it.
 */
#define CAPACITY_DECAY_US 16000000.0

/*
 * Fraction of late requests from which the service is overloaded, the time for
 * which a tenant then is held below its share, and the part of its share that
 * it is held below. Without these a flood comes back each time when its
 * queues have become short.
 */
#define OVERLOAD_LATE 0.1
#define HOLD_US	      8000000
#define HELD_PART     0.6

/*
 * Part of its share that a tenant's returning callers are given places in; new
 * requests use the other part.
 */
#define RETURNING_PART 0.25

/*
 * Multiple of its share from which a tenant's demand is a flood. Others are
 * held at their share, not below it: with two tenants at one VM, holding both
 * below it left the one that did not flood 0.2 in time.
 */
#define FLOOD_FACTOR 3

/*
 * Fraction of late requests that divides the factor of a free slot by e: while
 * requests are late, load reports are too low.
 */
#define LATE_SCALE 0.025

static void forget(struct fairshare *fairshare, unsigned i)
{
	fairshare->tenants[i] = fairshare->tenants[--fairshare->count];
}

static void decay(struct fairshare *fairshare, apr_time_t now)
{
	const double factor =
		exp(-(double)(now - fairshare->updated_at) / DECAY_US);
	unsigned i = 0;

	fairshare->capacity *=
		exp(-(double)(now - fairshare->updated_at) / CAPACITY_DECAY_US);
	fairshare->updated_at = now;
	while (i < fairshare->count) {
		struct fairshare_tenant *t = &fairshare->tenants[i];

		t->demand *= factor;
		t->admitted *= factor;
		if (t->demand < FORGET_BELOW_US)
			forget(fairshare, i);
		else
			i++;
	}
}

static struct fairshare_tenant *find(struct fairshare *fairshare,
				     const struct fairshare_request *request)
{
	for (unsigned i = 0; i < fairshare->count; i++) {
		if (fairshare->tenants[i].tenant == request->tenant &&
		    fairshare->tenants[i].rank == request->rank)
			return &fairshare->tenants[i];
	}
	return NULL;
}

static struct fairshare_tenant *add(struct fairshare *fairshare,
				    const struct fairshare_request *request)
{
	unsigned least = 0;

	if (fairshare->count == FAIRSHARE_TENANTS) {
		for (unsigned i = 1; i < fairshare->count; i++) {
			if (fairshare->tenants[i].demand <
			    fairshare->tenants[least].demand)
				least = i;
		}
		forget(fairshare, least);
	}
	fairshare->tenants[fairshare->count] = (struct fairshare_tenant){
		.tenant = request->tenant,
		.rank = request->rank,
	};
	return &fairshare->tenants[fairshare->count++];
}

void fairshare_note_request(struct fairshare *fairshare,
			    const struct fairshare_request *request,
			    apr_time_t now)
{
	struct fairshare_tenant *t;

	decay(fairshare, now);
	t = find(fairshare, request);
	if (!t)
		t = add(fairshare, request);
	t->demand += request->slot_time;
}

void fairshare_note_admitted(struct fairshare *fairshare,
			     const struct fairshare_request *request,
			     apr_time_t now)
{
	struct fairshare_tenant *t;
	double admitted = 0;

	decay(fairshare, now);
	t = find(fairshare, request);
	if (t)
		t->admitted += request->slot_time;
	for (unsigned i = 0; i < fairshare->count; i++)
		admitted += fairshare->tenants[i].admitted;
	if (admitted > fairshare->capacity)
		fairshare->capacity = admitted;
}

/* Slot time that the rank's tenants share, and their demand and number. */
struct pool {
	double capacity;
	double demand;
	unsigned count;
};

static struct pool pool_of(const struct fairshare *fairshare, unsigned rank)
{
	struct pool pool = {.capacity = fairshare->capacity};
	double urgent = 0;
	double own = 0;

	for (unsigned i = 0; i < fairshare->count; i++) {
		const struct fairshare_tenant *t = &fairshare->tenants[i];

		if (t->rank < rank)
			urgent += t->demand;
		if (t->rank != rank)
			continue;
		own += t->admitted;
		pool.demand += t->demand;
		pool.count++;
	}
	pool.capacity -= urgent;
	/* A rank keeps what it is given beside more urgent ones. */
	if (pool.capacity < own)
		pool.capacity = own;
	return pool;
}

/*
 * The level at which the demands of the rank's tenants, each cut to it, add up
 * to the capacity. Starts at an even share and adds what tenants below the
 * level leave, until no further tenant is below it.
 */
static double level_of(const struct fairshare *fairshare, unsigned rank)
{
	const struct pool pool = pool_of(fairshare, rank);
	unsigned below_before = 0;
	double level;

	if (pool.demand <= pool.capacity || pool.count == 0)
		return INFINITY;
	level = pool.capacity / pool.count;
	for (;;) {
		double below_sum = 0;
		unsigned below = 0;

		for (unsigned i = 0; i < fairshare->count; i++) {
			const struct fairshare_tenant *t =
				&fairshare->tenants[i];

			if (t->rank != rank || t->demand > level)
				continue;
			below_sum += t->demand;
			below++;
		}
		if (below == below_before || below == pool.count)
			return level;
		below_before = below;
		level = (pool.capacity - below_sum) / (pool.count - below);
	}
}

static bool has_several_tenants(const struct fairshare *fairshare)
{
	for (unsigned i = 1; i < fairshare->count; i++) {
		if (fairshare->tenants[i].tenant !=
		    fairshare->tenants[0].tenant)
			return true;
	}
	return false;
}

struct fairshare_use fairshare_judge(struct fairshare *fairshare,
				     const struct fairshare_request *request,
				     double late, apr_time_t now)
{
	struct fairshare_use use = {
		.level = INFINITY,
		.late = late,
		.free_factor = exp(-late / LATE_SCALE),
	};
	struct fairshare_tenant *t = find(fairshare, request);

	if (!t || !has_several_tenants(fairshare))
		return use;
	use.demand = t->demand / DECAY_US;
	use.admitted = t->admitted / DECAY_US;
	use.level = level_of(fairshare, request->rank) / DECAY_US;
	if (late > OVERLOAD_LATE)
		t->held_until = now + HOLD_US;
	if (use.demand <=
	    use.level + sqrt(use.level * request->slot_time / DECAY_US))
		return use;
	if (now < t->held_until)
		use.is_over =
			use.admitted >= (use.demand >= FLOOD_FACTOR * use.level
						 ? HELD_PART * use.level
						 : use.level);
	else if (late > RANKSTATS_MAX_LATE)
		use.is_over = use.admitted >= use.level;
	return use;
}

apr_interval_time_t
fairshare_reserve_retry(struct fairshare *fairshare,
			const struct fairshare_request *request,
			const struct fairshare_use *use, apr_time_t now)
{
	struct fairshare_tenant *t = find(fairshare, request);
	const double room = HELD_PART * use->level;
	apr_time_t at = now;

	if (!t || room <= 0)
		return FAIRSHARE_RETRY_MAX_US;
	if (use->admitted >= room)
		at += (apr_interval_time_t)(DECAY_US *
					    log(use->admitted / room)) +
		      1;
	if (at < t->promised_until)
		at = t->promised_until;
	if (at > now + FAIRSHARE_RETRY_MAX_US)
		at = now + FAIRSHARE_RETRY_MAX_US;
	t->promised_until =
		at + (apr_interval_time_t)fmin(
			     request->slot_time / (RETURNING_PART * use->level),
			     (double)FAIRSHARE_RETRY_MAX_US);
	return at - now;
}
