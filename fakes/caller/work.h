/*
 * What the caller sends: works, each a stream of like requests, and what has
 * become of them.
 */
#ifndef FAKES_CALLER_WORK_H
#define FAKES_CALLER_WORK_H

#include "common/str.h"
#include "fakes/loop.h"
#include "policy/tbl.h"

enum wdl_kind {
	/* Idempotent question. */
	WDL_GET,
	/* Booking with a ticket. */
	WDL_BOOK,
	/* Body of many bytes, with a ticket and a digest. */
	WDL_UPLOAD,
	/* Answer of many bytes with a digest. */
	WDL_BLOB,
};

enum wdl_outcome {
	WDL_WHOLE,
	WDL_NOT_RUN,
	WDL_UNKNOWN,
	/* Not whole, or not the answer to this request. */
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
	/* Requests a second, or in a closed loop the number at once. */
	uint32_t rate;
	uint32_t closed;
	/* Asked running time in milliseconds; UINT32_MAX: the upstream's own.
	 */
	uint32_t ms;
	uint64_t bytes;
	uint32_t deadline_ms;
	/* Attempts at most. */
	uint32_t tries;
	/* When it is sent, in milliseconds after the start. */
	uint32_t from_ms;
	uint32_t to_ms;

	/* State and results. */
	struct flp_timer next;
	uint64_t sent;
	uint64_t open;
	uint64_t attempts;
	/* Not sent since the caller had too many open. */
	uint64_t held_back;
	uint64_t outcomes[WDL_OUTCOMES];
	/* Whole within the deadline. */
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

/* Sorts; returns the value below which the part q lies, in microseconds. */
uint32_t wdl_quantile(struct wdl_samples *samples, double q);

#endif
