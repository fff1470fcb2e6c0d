#include "policy/bkt.h"

#include <string.h>

#define RING_SLOTS (BKT_SLOTS + 2)

static void advance(struct bkt *bkt, apr_time_t now)
{
	const int64_t slot = now / BKT_SLOT;

	if (slot <= bkt->slot)
		return;
	if (slot - bkt->slot >= RING_SLOTS) {
		memset(bkt->taken, 0, sizeof(bkt->taken));
		bkt->sum = 0;
		bkt->slot = slot;
		return;
	}
	while (bkt->slot < slot) {
		uint64_t *oldest = &bkt->taken[++bkt->slot % RING_SLOTS];

		bkt->sum -= *oldest;
		*oldest = 0;
	}
}

static uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

static uint64_t sum_recent(const struct bkt *bkt)
{
	uint64_t sum = 0;

	for (int64_t i = 0; i <= BKT_BURST_SLOTS && i <= bkt->slot; i++)
		sum += bkt->taken[(bkt->slot - i) % RING_SLOTS];
	return sum;
}

uint64_t bkt_take(struct bkt *bkt, apr_time_t now, uint64_t rate,
		  uint64_t burst, uint64_t want)
{
	uint64_t recent;

	advance(bkt, now);
	if (bkt->sum >= rate)
		return 0;
	recent = sum_recent(bkt);
	if (recent >= burst)
		return 0;
	want = min_u64(want, min_u64(rate - bkt->sum, burst - recent));
	bkt->taken[bkt->slot % RING_SLOTS] += want;
	bkt->sum += want;
	return want;
}

void bkt_add(struct bkt *bkt, apr_time_t now, uint64_t amount)
{
	advance(bkt, now);
	bkt->taken[bkt->slot % RING_SLOTS] += amount;
	bkt->sum += amount;
}

void bkt_return(struct bkt *bkt, apr_time_t now, apr_time_t taken_at,
		uint64_t amount)
{
	const int64_t slot = taken_at / BKT_SLOT;
	uint64_t *taken;

	advance(bkt, now);
	if (slot > bkt->slot || slot <= bkt->slot - RING_SLOTS)
		return;
	taken = &bkt->taken[slot % RING_SLOTS];
	amount = min_u64(amount, *taken);
	*taken -= amount;
	bkt->sum -= amount;
}

uint64_t bkt_sum(struct bkt *bkt, apr_time_t now)
{
	advance(bkt, now);
	return bkt->sum;
}
