#include "agent/quota_limits.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "common/err.h"

/* Slots of the hash table of limits, which is at most half full. */
#define INDEX_SIZE ((size_t)2 * LIMITER_LIMITS_MAX)

/* A sixth of the recent demand is asked for on top of it. */
#define HEADROOM_DIVISOR 6

/* The rate is the bottleneck if this part of what it allowed was taken. */
#define BINDING_FRACTION 0.875

/* Time over which measurements decay, in seconds. */
#define MEASURED_S 1.0

/* Time without use after which measurements are reset. */
#define MEASUREMENT_KEPT (5 * APR_USEC_PER_SEC)

/* Least measured time for a measurement to count, in seconds. */
#define MIN_MEASURED_S 0.6

/* For each higher rank, a lower one leaves 1/64 of the rate unused. */
#define RESERVE_DIVISOR 64

/* Each rank's burst is larger by 1/8 of bulk's than the next lower one's. */
#define EXTRA_BURST_DIVISOR 8

/* Time for which a refused amount is reserved: longer than a retry takes. */
#define REFUSED_RESERVED (RATELIMIT_WINDOW / 8)

/* Time without use after which a limit is removed. */
#define UNUSED_LIMIT_KEPT (60 * APR_USEC_PER_SEC)

/* Time for which a peak of demand still counts. */
#define PEAK_DEMAND_KEPT (2 * APR_USEC_PER_SEC)

struct limiter {
	apr_time_t open_at;
	struct limiter_limit *limits[LIMITER_LIMITS_MAX];
	size_t count;
	uint32_t index[INDEX_SIZE];
};

int limiter_create(struct limiter **out, apr_time_t open_at)
{
	struct limiter *limiter = calloc(1, sizeof(*limiter));

	if (!limiter)
		return PST_ERR_NOMEM;
	limiter->open_at = open_at;
	*out = limiter;
	return 0;
}

void limiter_destroy(struct limiter *limiter)
{
	if (!limiter)
		return;
	for (size_t i = 0; i < limiter->count; i++)
		free(limiter->limits[i]);
	free(limiter);
}

static size_t index_slot(const struct limiter *limiter, uint64_t id)
{
	size_t at = id >> 1;

	for (;; at++) {
		const uint32_t pos = limiter->index[at % INDEX_SIZE];

		if (!pos || limiter->limits[pos - 1]->id == id)
			return at % INDEX_SIZE;
	}
}

static struct limiter_limit *find(const struct limiter *limiter, uint64_t id)
{
	const uint32_t pos = limiter->index[index_slot(limiter, id)];

	return pos ? limiter->limits[pos - 1] : NULL;
}

struct limiter_limit *limiter_limit(struct limiter *limiter, uint64_t id,
				    uint64_t min_burst)
{
	struct limiter_limit *limit = find(limiter, id);

	if (limit)
		return limit;
	if (limiter->count == LIMITER_LIMITS_MAX)
		return NULL;
	limit = calloc(1, sizeof(*limit));
	if (!limit)
		return NULL;
	limit->id = id;
	limit->min_burst = min_burst;
	limiter->limits[limiter->count++] = limit;
	limiter->index[index_slot(limiter, id)] = (uint32_t)limiter->count;
	return limit;
}

/* What higher ranks were refused lately, and a small part of the rate. */
static uint64_t reserved_for_higher(const struct limiter_limit *limit,
				    apr_time_t now, enum rank rank)
{
	uint64_t sum = limit->rate / RESERVE_DIVISOR * (uint64_t)rank;

	for (int i = RANK_URGENT; i < (int)rank; i++) {
		if (limit->refused_at[i] + REFUSED_RESERVED > now)
			sum += limit->refused[i];
	}
	return sum;
}

/*
 * Bulk work is paced at the rate itself. Higher ranks get a larger burst, so
 * that they can use what is reserved for them. Small rates are rounded up.
 */
static uint64_t burst_of(const struct limiter_limit *limit, enum rank rank)
{
	uint64_t burst =
		limit->rate * (RATELIMIT_BURST_SLOTS + 1) / RATELIMIT_SLOTS + 1;

	if (burst < limit->min_burst)
		burst = limit->min_burst;
	return burst +
	       burst * (uint64_t)(RANK_BULK - rank) / EXTRA_BURST_DIVISOR;
}

static void record_refused(struct limiter_limit *limit, apr_time_t now,
			   enum rank rank, uint64_t amount)
{
	limit->refused[rank] = amount;
	limit->refused_at[rank] = now;
}

uint64_t limiter_take(struct limiter *limiter, struct limiter_limit *limit,
		      apr_time_t now, enum rank rank, uint64_t want)
{
	uint64_t kept;
	uint64_t rate;
	uint64_t got;

	limit->used_at = now;
	ratelimit_add(&limit->wanted, now, want);
	if (now < limiter->open_at || now >= limit->expires) {
		record_refused(limit, now, rank, want);
		return 0;
	}
	kept = reserved_for_higher(limit, now, rank);
	rate = limit->rate > kept ? limit->rate - kept : 0;
	got = ratelimit_take(&limit->taken, now, rate, burst_of(limit, rank),
			     want);
	limit->taken_unmeasured += got;
	/* A retry replaces the amount refused before. */
	record_refused(limit, now, rank, want - got);
	return got;
}

void limiter_return(struct limiter_limit *limit, apr_time_t now,
		    apr_time_t taken_at, uint64_t amount)
{
	limit->taken_unmeasured -= amount < limit->taken_unmeasured
					   ? amount
					   : limit->taken_unmeasured;
	ratelimit_return(&limit->taken, now, taken_at, amount);
	ratelimit_return(&limit->wanted, now, taken_at, amount);
}

static void measure(struct limiter_limit *limit, apr_time_t now)
{
	const double passed =
		limit->measured_at
			? (double)(now - limit->measured_at) / APR_USEC_PER_SEC
			: 0;
	const double kept = passed < MEASURED_S ? 1 - passed / MEASURED_S : 0;
	const double rate = now < limit->expires ? (double)limit->rate : 0;

	limit->recent_taken =
		limit->recent_taken * kept + (double)limit->taken_unmeasured;
	limit->recent_allowed = limit->recent_allowed * kept + rate * passed;
	limit->recent_s = limit->recent_s * kept + passed;
	limit->taken_unmeasured = 0;
	limit->measured_at = now;
}

/* Time without demand doesn't show whether the rate is the bottleneck. */
static void reset_measurement(struct limiter_limit *limit)
{
	limit->recent_taken = 0;
	limit->recent_allowed = 0;
	limit->recent_s = 0;
}

/*
 * Returns whether the rate, rather than demand, bounds what is taken. Work in
 * bursts is refused during a burst though part of the rate is unused between
 * bursts; it is to be granted what it takes on average.
 */
static bool is_binding(const struct limiter_limit *limit)
{
	return !limit->rate || limit->recent_s < MIN_MEASURED_S ||
	       limit->recent_taken >= BINDING_FRACTION * limit->recent_allowed;
}

/*
 * A refused request that is retried within a window counts each time, so the
 * demand is bounded to twice the rate, plus the largest refused amount.
 */
static uint64_t current_demand(struct limiter_limit *limit, apr_time_t now)
{
	const uint64_t taken = ratelimit_sum(&limit->taken, now);
	const uint64_t wanted = ratelimit_sum(&limit->wanted, now);
	uint64_t most = 2 * (taken > limit->rate ? taken : limit->rate);
	uint64_t largest = 0;

	measure(limit, now);
	if (limit->used_at + MEASUREMENT_KEPT <= now)
		reset_measurement(limit);
	for (int i = 0; i < RANK_COUNT; i++) {
		if (limit->refused_at[i] + RATELIMIT_WINDOW > now &&
		    limit->refused[i] > largest)
			largest = limit->refused[i];
	}
	if (!is_binding(limit))
		most = (uint64_t)ceil(limit->recent_taken / limit->recent_s);
	most += largest;
	return wanted < most ? wanted : most;
}

static uint64_t amount_to_ask(struct limiter_limit *limit, apr_time_t now)
{
	const uint64_t demand = current_demand(limit, now);

	if (demand >= limit->demand ||
	    limit->demand_at + PEAK_DEMAND_KEPT <= now) {
		limit->demand = demand;
		limit->demand_at = now;
	}
	return limit->demand +
	       (limit->demand + HEADROOM_DIVISOR - 1) / HEADROOM_DIVISOR;
}

static void remove_limit(struct limiter *limiter, size_t at)
{
	free(limiter->limits[at]);
	limiter->limits[at] = limiter->limits[--limiter->count];
}

static void rebuild_index(struct limiter *limiter)
{
	memset(limiter->index, 0, sizeof(limiter->index));
	for (uint32_t i = 0; i < limiter->count; i++)
		limiter->index[index_slot(limiter, limiter->limits[i]->id)] =
			i + 1;
}

static void remove_unused(struct limiter *limiter, apr_time_t now)
{
	const size_t before = limiter->count;

	for (size_t i = 0; i < limiter->count;) {
		if (limiter->limits[i]->used_at &&
		    limiter->limits[i]->used_at + UNUSED_LIMIT_KEPT <= now)
			remove_limit(limiter, i);
		else
			i++;
	}
	if (limiter->count != before)
		rebuild_index(limiter);
}

size_t limiter_plan(struct limiter *limiter, apr_time_t now,
		    struct lending_ask *out)
{
	size_t count = 0;

	remove_unused(limiter, now);
	for (size_t i = 0; i < limiter->count && count < LENDING_ASKS_MAX;
	     i++) {
		out[count].id = limiter->limits[i]->id;
		out[count].want = amount_to_ask(limiter->limits[i], now);
		count++;
	}
	return count;
}

void limiter_apply(struct limiter *limiter, apr_time_t sent_at,
		   const struct lending_ask *asks,
		   const struct lending_grant *grants, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		struct limiter_limit *limit = find(limiter, asks[i].id);

		if (!limit)
			continue;
		limit->rate = grants[i].amount;
		limit->expires = sent_at + grants[i].duration;
	}
}

size_t limiter_valid(const struct limiter *limiter, apr_time_t now)
{
	size_t count = 0;

	for (size_t i = 0; i < limiter->count; i++)
		count += limiter->limits[i]->expires > now &&
			 limiter->limits[i]->rate;
	return count;
}

size_t limiter_count(const struct limiter *limiter)
{
	return limiter->count;
}
