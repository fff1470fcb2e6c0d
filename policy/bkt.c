#include "policy/bkt.h"

#include <string.h>

#define SLOT (BKT_WINDOW / BKT_SLOTS)
#define RING (BKT_SLOTS + 2)

/* Largest part of the rate that one slot may give: a divisor. */
#define SLOT_BURST 32

static void advance(struct bkt *bkt, apr_time_t now)
{
	const int64_t slot = now / SLOT;

	if (slot <= bkt->slot)
		return;
	if (slot - bkt->slot >= RING) {
		memset(bkt->taken, 0, sizeof(bkt->taken));
		bkt->sum = 0;
		bkt->slot = slot;
		return;
	}
	while (bkt->slot < slot) {
		uint64_t *oldest = &bkt->taken[++bkt->slot % RING];

		bkt->sum -= *oldest;
		*oldest = 0;
	}
}

static uint64_t min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

uint64_t bkt_take(struct bkt *bkt, apr_time_t now, uint64_t rate,
		  uint64_t least_burst, uint64_t want)
{
	uint64_t *slot;
	uint64_t burst = rate / SLOT_BURST;

	advance(bkt, now);
	if (bkt->sum >= rate)
		return 0;
	if (burst < least_burst)
		burst = least_burst;
	slot = &bkt->taken[bkt->slot % RING];
	if (*slot >= burst)
		return 0;
	want = min_u64(want, min_u64(rate - bkt->sum, burst - *slot));
	*slot += want;
	bkt->sum += want;
	return want;
}

void bkt_add(struct bkt *bkt, apr_time_t now, uint64_t amount)
{
	advance(bkt, now);
	bkt->taken[bkt->slot % RING] += amount;
	bkt->sum += amount;
}

void bkt_return(struct bkt *bkt, apr_time_t now, apr_time_t taken_at,
		uint64_t amount)
{
	const int64_t slot = taken_at / SLOT;
	uint64_t *taken;

	advance(bkt, now);
	if (slot > bkt->slot || slot <= bkt->slot - RING)
		return;
	taken = &bkt->taken[slot % RING];
	amount = min_u64(amount, *taken);
	*taken -= amount;
	bkt->sum -= amount;
}

uint64_t bkt_sum(struct bkt *bkt, apr_time_t now)
{
	advance(bkt, now);
	return bkt->sum;
}
