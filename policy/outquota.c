#include "policy/outquota.h"

/* Longest time in which a caller that reads takes no byte. */
#define STALLED_US (APR_USEC_PER_SEC / 2)

/* Part of the quota that is room enough for an answer of any size. */
#define ROOM_RATIO 0.5

/* Ratio of the hard limit to the quota. */
#define HARD_RATIO 2

bool outquota_admits(const struct outquota *quota, size_t expected)
{
	const size_t room = (size_t)((double)quota->limit * ROOM_RATIO);

	if (expected > room)
		expected = room;
	return quota->used < quota->limit &&
	       expected <= quota->limit - quota->used;
}

bool outquota_is_exhausted(const struct outquota *quota)
{
	return quota->used / HARD_RATIO > quota->limit;
}

static bool is_stalled(const struct outquota_conn *conn)
{
	return conn->stalled >= STALLED_US;
}

bool outquota_evicts(const struct outquota *quota,
		     const struct outquota_conn *conn,
		     const struct outquota_conn *other)
{
	if (!conn->bytes)
		return false;
	if (!is_stalled(conn) && !outquota_is_exhausted(quota))
		return false;
	if (!other)
		return true;
	if (is_stalled(conn) != is_stalled(other))
		return is_stalled(conn);
	return conn->bytes > other->bytes;
}
