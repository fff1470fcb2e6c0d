/*
 * One caller's request while it is in the entry.
 *
 * Shared by reference count between the threads that serve callers, decide
 * and talk to upstreams. Fields are grouped by who may touch them.
 */
#ifndef ENTRYD_REQ_H
#define ENTRYD_REQ_H

#include <pthread.h>
#include <stdatomic.h>

#include <curl/curl.h>
#include <microhttpd.h>

#include "agent/permit.h"
#include "agent/ticket.h"
#include "entryd/pipe.h"
#include "policy/pth.h"

/* Most failure domains that one request tells apart. */
#define REQ_MAX_DOMAINS 256

/* How far the caller's side may go on. */
enum req_stage {
	/* The path is not decided; no body byte is read. */
	REQ_WAITING,
	/* The body flows. */
	REQ_OPEN,
	/* An answer's head is known. */
	REQ_ANSWERING,
	REQ_REFUSED,
	/* The connection is to be closed. */
	REQ_BROKEN,
};

struct req {
	struct ref ref;

	/* Set before the request is shared, then constant. */
	uint64_t number;
	struct strbuf id;
	struct strbuf service;
	enum rank rank;
	char *method;
	/* Path and query for the upstream. */
	char *target;
	/* Headers to pass on; owned. */
	struct curl_slist *headers;
	char key[TKT_KEY_MAX + 1];
	bool keyed;
	bool idempotent;
	bool head_only;
	/* Bytes, or -1 when the body is chunked. */
	int64_t body_length;
	uint32_t deadline_ms;
	apr_time_t arrived;

	/* Under lock: the caller's connection and both bodies. */
	pthread_mutex_t lock;
	struct MHD_Connection *conn;
	int caller_fd;
	bool parked;
	enum req_stage stage;
	struct pipe body;
	struct pipe answer;
	/* The upstream thread halted for want of bytes, or of room. */
	bool body_waits;
	bool answer_waits;
	unsigned status;
	/* Headers of the answer; owned. */
	struct curl_slist *answer_headers;
	/* Bytes of the answer's body, or -1 when not stated. */
	int64_t answer_length;
	bool not_run;
	int reason;

	/* The caller's threads only. */
	bool body_started;

	/* The deciding thread only. */
	struct pth pth;
	/* Error behind the verdict on the key, or 0. */
	int key_reason;
	apr_time_t deadline;
	apr_time_t asked_at;
	uint64_t permit_id;
	struct strbuf upstream;
	struct strbuf upstream_address;
	uint16_t upstream_port;
	struct strbuf domain;
	bool tried[REQ_MAX_DOMAINS];
	bool listed;
	bool gone_noted;
	struct req *next;
	struct req *prev;

	/* The upstream thread; the deciding thread once a try has ended. */
	bool reported;
	struct load_report report;

	/* The upstream thread only. */
	void *transfer;
	/* Set while a wake-up of the upstream thread is under way. */
	atomic_bool kicked;
};

/* Allocates a request with one reference; buffer is bytes per direction. */
int req_create(struct req **out, size_t buffer);
void req_get(struct req *req);
void req_put(struct req *req);

/*
 * Suspends the caller's connection; with the lock held, on a thread that
 * serves callers.
 */
void req_park(struct req *req);

/* Resumes the caller's connection if it is suspended; with the lock held. */
void req_wake(struct req *req);

#endif
