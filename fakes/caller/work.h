/*
 * The caller's workload: streams of requests of one kind each, and the counts
 * of their outcomes.
 */
#ifndef FAKES_CALLER_WORK_H
#define FAKES_CALLER_WORK_H

#include "common/str.h"
#include "fakes/loop.h"
#include "policy/tbl.h"

enum workload_kind {
	/* Idempotent read. */
	WORKLOAD_GET,
	/* Write with a short body and a ticket. */
	WORKLOAD_BOOK,
	/* Write with a large body, a ticket and a digest. */
	WORKLOAD_UPLOAD,
	/* Read of a large answer with a digest. */
	WORKLOAD_BLOB,
};

enum workload_outcome {
	WORKLOAD_WHOLE,
	WORKLOAD_NOT_RUN,
	WORKLOAD_UNKNOWN,
	/* Incomplete, damaged or not the answer to this request. */
	WORKLOAD_WRONG,
	WORKLOAD_OUTCOMES,
};

/* Latencies in microseconds. */
struct workload_samples {
	uint32_t *us;
	size_t count;
	size_t room;
};

struct workload {
	struct strbuf name;
	struct strbuf service;
	enum workload_kind kind;
	enum rank rank;
	/* Requests per second. */
	uint32_t rate;
	/* Requests in flight of a closed loop, or 0. */
	uint32_t closed;
	/* Requested service time; UINT32_MAX for the upstream's own. */
	uint32_t ms;
	uint64_t bytes;
	uint32_t deadline_ms;
	/* Maximum number of attempts. */
	uint32_t tries;
	/* Time of the arrivals, in milliseconds after the start. */
	uint32_t from_ms;
	uint32_t to_ms;

	/* State and results. */
	struct evloop_timer next;
	uint64_t sent;
	uint64_t open;
	uint64_t attempts;
	/* Requests not sent, as too many were unfinished. */
	uint64_t held_back;
	uint64_t outcomes[WORKLOAD_OUTCOMES];
	/* Whole answers within the deadline. */
	uint64_t in_time;
	struct workload_samples samples;
};

/*
 * Reads "name=S,service=S,kind=get|book|upload|blob,rank=R,rate=N,closed=N,
 * ms=N,bytes=N,deadline=N,tries=N,from=MS,to=MS" into out, which starts with
 * defaults. Returns 0 or PST_ERR_FAKE_WORK.
 */
int workload_parse(const char *text, struct workload *out);

const char *workload_kind_name(enum workload_kind kind);

void workload_sample(struct workload_samples *samples, apr_interval_time_t us);

/* Sorts the samples; returns their quantile q (0 to 1) in microseconds. */
uint32_t workload_quantile(struct workload_samples *samples, double q);

#endif
