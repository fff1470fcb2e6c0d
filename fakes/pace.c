#include "fakes/pace.h"

#include <string.h>

#include "common/clk.h"

#define BACKLOG_MAX_MS 20

static void move_window(struct pace *pace, apr_time_t now)
{
	const int64_t bucket = now / CLK_MS(PACE_BUCKET_MS);

	if (bucket - pace->bucket >= PACE_WINDOW_BUCKETS) {
		memset(pace->buckets, 0, sizeof(pace->buckets));
		pace->window = 0;
		pace->bucket = bucket;
		return;
	}
	while (pace->bucket < bucket) {
		uint64_t *oldest;

		pace->bucket++;
		oldest = &pace->buckets[pace->bucket % PACE_WINDOW_BUCKETS];
		pace->window -= *oldest;
		*oldest = 0;
	}
}

static apr_interval_time_t send_time(const struct pace *pace, uint64_t bytes)
{
	if (!pace->rate)
		return 0;
	return (apr_interval_time_t)(bytes * APR_USEC_PER_SEC / pace->rate);
}

void pace_init(struct pace *pace, uint64_t rate, apr_time_t now)
{
	memset(pace, 0, sizeof(*pace));
	pace->rate = rate;
	pace->free_at = now;
	pace->bucket = now / CLK_MS(PACE_BUCKET_MS);
}

uint64_t pace_room(const struct pace *pace, apr_time_t now)
{
	const apr_interval_time_t left =
		now + CLK_MS(BACKLOG_MAX_MS) -
		(pace->free_at > now ? pace->free_at : now);

	if (!pace->rate)
		return UINT64_MAX;
	if (left <= 0)
		return 0;
	return (uint64_t)left * pace->rate / APR_USEC_PER_SEC;
}

apr_time_t pace_room_at(const struct pace *pace)
{
	return pace->free_at - CLK_MS(BACKLOG_MAX_MS) / 2;
}

apr_time_t pace_send(struct pace *pace, uint64_t bytes, apr_time_t now)
{
	move_window(pace, now);
	pace->buckets[pace->bucket % PACE_WINDOW_BUCKETS] += bytes;
	pace->window += bytes;
	pace->total += bytes;
	if (pace->window > pace->max_window)
		pace->max_window = pace->window;
	if (pace->free_at < now)
		pace->free_at = now;
	pace->free_at += send_time(pace, bytes);
	return pace->free_at;
}

void pace_reset(struct pace *pace)
{
	memset(pace->buckets, 0, sizeof(pace->buckets));
	pace->window = 0;
	pace->max_window = 0;
}
