/*
 * Rate limit of one direction of a link, and byte counts in sliding windows
 * of 1 s.
 *
 * No I/O and no clock of its own.
 */
#ifndef FAKES_PACE_H
#define FAKES_PACE_H

#include <stdint.h>

#include <apr_time.h>

/* Width of a counting bucket and buckets in a window of 1 s. */
#define PACE_BUCKET_MS	    10
#define PACE_WINDOW_BUCKETS 100

struct pace {
	/* Bytes a second; 0 for no limit. */
	uint64_t rate;
	/* When the bytes accepted so far will have been sent. */
	apr_time_t free_at;
	uint64_t total;
	uint64_t buckets[PACE_WINDOW_BUCKETS];
	/* Sum of buckets. */
	uint64_t window;
	/* Number of the newest bucket, counted from time 0. */
	int64_t bucket;
	/* Most bytes in any window of 1 s. */
	uint64_t max_window;
};

void pace_init(struct pace *pace, uint64_t rate, apr_time_t now);

/* Bytes that may be accepted now without a backlog above 20 ms. */
uint64_t pace_room(const struct pace *pace, apr_time_t now);

/* When pace_room() will be positive; not later than now if it is. */
apr_time_t pace_room_at(const struct pace *pace);

/* Accepts bytes; returns when the last of them will have been sent. */
apr_time_t pace_send(struct pace *pace, uint64_t bytes, apr_time_t now);

/* Resets the counts of the windows, but not the total. */
void pace_reset(struct pace *pace);

#endif
