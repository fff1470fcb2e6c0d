/*
 * One direction of a link: rate, and counts of bytes in windows of 1 s.
 *
 * No I/O and no clock of its own.
 */
#ifndef FAKES_PACE_H
#define FAKES_PACE_H

#include <stdint.h>

#include <apr_time.h>

/* Width of a counting bucket and buckets in a window of 1 s. */
#define PAC_BUCKET_MS	   10
#define PAC_WINDOW_BUCKETS 100

struct pac {
	/* Bytes a second; 0 is without limit. */
	uint64_t rate;
	/* When the bytes accepted so far will have left. */
	apr_time_t free_at;
	uint64_t total;
	uint64_t buckets[PAC_WINDOW_BUCKETS];
	/* Sum of buckets. */
	uint64_t window;
	/* Number of the newest bucket. */
	int64_t bucket;
	/* Most bytes in any window of 1 s. */
	uint64_t max_window;
};

void pac_init(struct pac *pace, uint64_t rate, apr_time_t now);

/* Bytes that may be accepted now without a backlog above 20 ms. */
uint64_t pac_room(const struct pac *pace, apr_time_t now);

/* When pac_room() will be positive; not later than now if it is. */
apr_time_t pac_when(const struct pac *pace);

/* Accepts bytes; returns when the last of them has left. */
apr_time_t pac_send(struct pac *pace, uint64_t bytes, apr_time_t now);

/* Starts the counts of windows anew. */
void pac_reset(struct pac *pace);

#endif
