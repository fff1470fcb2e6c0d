/*
 * The caller's workload: streams of requests of one kind each, and the counts
 * of their outcomes.
 */
#ifndef FAKES_CALLER_WORK_H
#define FAKES_CALLER_WORK_H

#include "common/str.h"
#include "fakes/loop.h"
#include "policy/tbl.h"

enum wdl_kind {
	/* Idempotent read. */
	WDL_GET,
	/* Write with a short body and a ticket. */
	WDL_BOOK,
	/* Write with a large body, a ticket and a digest. */
	WDL_UPLOAD,
	/* Read of a large answer with a digest. */
	WDL_BLOB,
};

enum wdl_outcome {
	WDL_WHOLE,
	WDL_NOT_RUN,
	WDL_UNKNOWN,
	/* Incomplete, damaged or not the answer to this request. */
	WDL_WRONG,
	WDL_OUTCOMES,
};

/* Latencies in microseconds. */
struct wdl_samples {
	uint32_t *us;
	size_t count;
	size_t room;
};

struct wdl {
	struct strbuf name;
	struct strbuf service;
	enum wdl_kind kind;
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
	uint64_t outcomes[WDL_OUTCOMES];
	/* Whole answers within the deadline. */
	uint64_t in_time;
	struct wdl_samples samples;
};

/*
 * Reads "name=S,service=S,kind=get|book|upload|blob,rank=R,rate=N,closed=N,
 * ms=N,bytes=N,deadline=N,tries=N,from=MS,to=MS" into out, which starts with
 * defaults. Returns 0 or PST_ERR_FAKE_WORK.
 */
int wdl_parse(const char *text, struct wdl *out);

const char *wdl_kind_name(enum wdl_kind kind);

void wdl_sample(struct wdl_samples *samples, apr_interval_time_t us);

/* Sorts the samples; returns their quantile q (0 to 1) in microseconds. */
uint32_t wdl_quantile(struct wdl_samples *samples, double q);

#endif
