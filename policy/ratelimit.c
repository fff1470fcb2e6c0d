#include "policy/ratelimit.h"

#include <string.h>

#define RING_SLOTS (RATELIMIT_SLOTS + 2)

static void advance(struct ratelimit *ratelimit, apr_time_t now)
{
	const int64_t slot = now / RATELIMIT_SLOT;

	if (slot <= ratelimit->slot)
		return;
	if (slot - ratelimit->slot >= RING_SLOTS) {
		memset(ratelimit->taken, 0, sizeof(ratelimit->taken));
		ratelimit->sum = 0;
		ratelimit->slot = slot;
		return;
	}
	while (ratelimit->slot < slot) {
		uint64_t *oldest =
			&ratelimit->taken[++ratelimit->slot % RING_SLOTS];

		ratelimit->sum -= *oldest;
		*oldest = 0;
	}
}

static uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

static uint64_t sum_recent(const struct ratelimit *ratelimit)
{
	uint64_t sum = 0;

	for (int64_t i = 0; i <= RATELIMIT_BURST_SLOTS && i <= ratelimit->slot;
	     i++)
		sum += ratelimit->taken[(ratelimit->slot - i) % RING_SLOTS];
	return sum;
}

uint64_t ratelimit_take(struct ratelimit *ratelimit, apr_time_t now,
			uint64_t rate, uint64_t burst, uint64_t want)
{
	uint64_t recent;

	advance(ratelimit, now);
	if (ratelimit->sum >= rate)
		return 0;
	recent = sum_recent(ratelimit);
	if (recent >= burst)
		return 0;
	want = min_u64(want, min_u64(rate - ratelimit->sum, burst - recent));
	ratelimit->taken[ratelimit->slot % RING_SLOTS] += want;
	ratelimit->sum += want;
	return want;
}

void ratelimit_add(struct ratelimit *ratelimit, apr_time_t now, uint64_t amount)
{
	advance(ratelimit, now);
	ratelimit->taken[ratelimit->slot % RING_SLOTS] += amount;
	ratelimit->sum += amount;
}

void ratelimit_return(struct ratelimit *ratelimit, apr_time_t now,
		      apr_time_t taken_at, uint64_t amount)
{
	const int64_t slot = taken_at / RATELIMIT_SLOT;
	uint64_t *taken;

	advance(ratelimit, now);
	if (slot > ratelimit->slot || slot <= ratelimit->slot - RING_SLOTS)
		return;
	taken = &ratelimit->taken[slot % RING_SLOTS];
	amount = min_u64(amount, *taken);
	*taken -= amount;
	ratelimit->sum -= amount;
}

uint64_t ratelimit_sum(struct ratelimit *ratelimit, apr_time_t now)
{
	advance(ratelimit, now);
	return ratelimit->sum;
}
