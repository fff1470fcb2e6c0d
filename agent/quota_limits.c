#include "agent/quota_limits.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "common/err.h"

/* Hash table of limits; a power of two, twice QL_LIMITS_MAX. */
#define INDEX_SIZE ((size_t)2 * QL_LIMITS_MAX)

/* Asked for beyond the recent demand: a divisor. */
#define GROWTH_PART 6

/* Part of what was offered that is taken when the rate is what limits. */
#define BINDING_PART 0.875

/* Time over which use is measured, in seconds. */
#define MEASURED_S 1.0

/* Time without use after which what was measured is forgotten. */
#define MEASURE_KEPT (5 * APR_USEC_PER_SEC)

/* Least weight of what was measured for it to count, in seconds. */
#define KNOWN_S 0.6

/* Part of a rate that lower ranks leave to higher ones: a divisor. */
#define RESERVE_PART 64

/* Part of the pace by which each higher rank may go beyond it: a divisor. */
#define BEYOND_PART 8

/* Time for which a refused amount is kept free: longer than a retry takes. */
#define REFUSED_KEPT (BKT_WINDOW / 8)

/* Time without use after which a limit is forgotten. */
#define FORGET_AFTER (60 * APR_USEC_PER_SEC)

/* Time over which a past demand still counts. */
#define DEMAND_KEPT (2 * APR_USEC_PER_SEC)

struct ql {
	apr_time_t open_at;
	struct ql_limit *limits[QL_LIMITS_MAX];
	size_t count;
	uint32_t index[INDEX_SIZE];
};

int ql_create(struct ql **out, apr_time_t open_at)
{
	struct ql *ql = calloc(1, sizeof(*ql));

	if (!ql)
		return PST_ERR_NOMEM;
	ql->open_at = open_at;
	*out = ql;
	return 0;
}

void ql_destroy(struct ql *ql)
{
	if (!ql)
		return;
	for (size_t i = 0; i < ql->count; i++)
		free(ql->limits[i]);
	free(ql);
}

static size_t index_slot(const struct ql *ql, uint64_t id)
{
	size_t at = id >> 1;

	for (;; at++) {
		const uint32_t pos = ql->index[at % INDEX_SIZE];

		if (!pos || ql->limits[pos - 1]->id == id)
			return at % INDEX_SIZE;
	}
}

static struct ql_limit *find(const struct ql *ql, uint64_t id)
{
	const uint32_t pos = ql->index[index_slot(ql, id)];

	return pos ? ql->limits[pos - 1] : NULL;
}

struct ql_limit *ql_limit(struct ql *ql, uint64_t id, uint64_t least_burst)
{
	struct ql_limit *limit = find(ql, id);

	if (limit)
		return limit;
	if (ql->count == QL_LIMITS_MAX)
		return NULL;
	limit = calloc(1, sizeof(*limit));
	if (!limit)
		return NULL;
	limit->id = id;
	limit->least_burst = least_burst;
	ql->limits[ql->count++] = limit;
	ql->index[index_slot(ql, id)] = (uint32_t)ql->count;
	return limit;
}

/* What higher ranks were refused in the last window, and a small part. */
static uint64_t kept_for_higher(const struct ql_limit *limit, apr_time_t now,
				enum rank rank)
{
	uint64_t sum = limit->rate / RESERVE_PART * (uint64_t)rank;

	for (int i = RANK_URGENT; i < (int)rank; i++) {
		if (limit->refused_at[i] + REFUSED_KEPT > now)
			sum += limit->refused[i];
	}
	return sum;
}

/*
 * Bulk work is paced at the rate itself; higher ranks may go beyond the pace
 * to use what is kept for them. Small rates are rounded up.
 */
static uint64_t burst_of(const struct ql_limit *limit, enum rank rank)
{
	uint64_t burst = limit->rate * (BKT_BURST_SLOTS + 1) / BKT_SLOTS + 1;

	if (burst < limit->least_burst)
		burst = limit->least_burst;
	return burst + burst * (uint64_t)(RANK_BULK - rank) / BEYOND_PART;
}

static void note_refused(struct ql_limit *limit, apr_time_t now, enum rank rank,
			 uint64_t amount)
{
	limit->refused[rank] = amount;
	limit->refused_at[rank] = now;
}

uint64_t ql_take(struct ql *ql, struct ql_limit *limit, apr_time_t now,
		 enum rank rank, uint64_t want)
{
	uint64_t kept;
	uint64_t rate;
	uint64_t got;

	limit->used_at = now;
	bkt_add(&limit->wanted, now, want);
	if (now < ql->open_at || now >= limit->expires) {
		note_refused(limit, now, rank, want);
		return 0;
	}
	kept = kept_for_higher(limit, now, rank);
	rate = limit->rate > kept ? limit->rate - kept : 0;
	got = bkt_take(&limit->taken, now, rate, burst_of(limit, rank), want);
	limit->fresh += got;
	/* A repeated request replaces the one refused before. */
	note_refused(limit, now, rank, want - got);
	return got;
}

void ql_return(struct ql_limit *limit, apr_time_t now, apr_time_t taken_at,
	       uint64_t amount)
{
	limit->fresh -= amount < limit->fresh ? amount : limit->fresh;
	bkt_return(&limit->taken, now, taken_at, amount);
	bkt_return(&limit->wanted, now, taken_at, amount);
}

static void measure(struct ql_limit *limit, apr_time_t now)
{
	const double passed =
		limit->measured_at
			? (double)(now - limit->measured_at) / APR_USEC_PER_SEC
			: 0;
	const double kept = passed < MEASURED_S ? 1 - passed / MEASURED_S : 0;
	const double rate = now < limit->expires ? (double)limit->rate : 0;

	limit->used = limit->used * kept + (double)limit->fresh;
	limit->offered = limit->offered * kept + rate * passed;
	limit->lasted = limit->lasted * kept + passed;
	limit->fresh = 0;
	limit->measured_at = now;
}

/* A time without demand says nothing about the rate. */
static void forget_measured(struct ql_limit *limit)
{
	limit->used = 0;
	limit->offered = 0;
	limit->lasted = 0;
}

/*
 * Work that comes in bursts is refused while one lasts, though its VM leaves
 * a part of the rate unused; it gets what it takes in the long run.
 */
static bool is_binding(const struct ql_limit *limit)
{
	return !limit->rate || limit->lasted < KNOWN_S ||
	       limit->used >= BINDING_PART * limit->offered;
}

/*
 * Requests refused and repeated within a window count each time, so demand
 * beyond the rate is bounded to a doubling.
 */
static uint64_t demand_now(struct ql_limit *limit, apr_time_t now)
{
	const uint64_t taken = bkt_sum(&limit->taken, now);
	const uint64_t wanted = bkt_sum(&limit->wanted, now);
	uint64_t most = 2 * (taken > limit->rate ? taken : limit->rate);
	uint64_t largest = 0;

	measure(limit, now);
	if (limit->used_at + MEASURE_KEPT <= now)
		forget_measured(limit);
	for (int i = 0; i < RANK_COUNT; i++) {
		if (limit->refused_at[i] + BKT_WINDOW > now &&
		    limit->refused[i] > largest)
			largest = limit->refused[i];
	}
	if (!is_binding(limit))
		most = (uint64_t)ceil(limit->used / limit->lasted);
	most += largest;
	return wanted < most ? wanted : most;
}

static uint64_t want_of(struct ql_limit *limit, apr_time_t now)
{
	const uint64_t demand = demand_now(limit, now);

	if (demand >= limit->demand || limit->demand_at + DEMAND_KEPT <= now) {
		limit->demand = demand;
		limit->demand_at = now;
	}
	return limit->demand + (limit->demand + GROWTH_PART - 1) / GROWTH_PART;
}

static void forget(struct ql *ql, size_t at)
{
	free(ql->limits[at]);
	ql->limits[at] = ql->limits[--ql->count];
}

static void rebuild_index(struct ql *ql)
{
	memset(ql->index, 0, sizeof(ql->index));
	for (uint32_t i = 0; i < ql->count; i++)
		ql->index[index_slot(ql, ql->limits[i]->id)] = i + 1;
}

static void forget_unused(struct ql *ql, apr_time_t now)
{
	const size_t before = ql->count;

	for (size_t i = 0; i < ql->count;) {
		if (ql->limits[i]->used_at &&
		    ql->limits[i]->used_at + FORGET_AFTER <= now)
			forget(ql, i);
		else
			i++;
	}
	if (ql->count != before)
		rebuild_index(ql);
}

size_t ql_plan(struct ql *ql, apr_time_t now, struct shr_ask *out)
{
	size_t count = 0;

	forget_unused(ql, now);
	for (size_t i = 0; i < ql->count && count < SHR_ASKS_MAX; i++) {
		out[count].id = ql->limits[i]->id;
		out[count].want = want_of(ql->limits[i], now);
		count++;
	}
	return count;
}

void ql_apply(struct ql *ql, apr_time_t sent_at, const struct shr_ask *asks,
	      const struct shr_grant *grants, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		struct ql_limit *limit = find(ql, asks[i].id);

		if (!limit)
			continue;
		limit->rate = grants[i].amount;
		limit->expires = sent_at + grants[i].duration;
	}
}

size_t ql_valid(const struct ql *ql, apr_time_t now)
{
	size_t count = 0;

	for (size_t i = 0; i < ql->count; i++)
		count += ql->limits[i]->expires > now && ql->limits[i]->rate;
	return count;
}

size_t ql_count(const struct ql *ql)
{
	return ql->count;
}
