/*
 * One caller's request while it is in progress in the entry.
 *
 * Shared by reference count between the threads of the HTTP server, the routing
 * thread and the upstream thread. Fields are grouped by who may access them.
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
#include "policy/reqstate.h"

/* Maximum number of failure domains that a request can exclude. */
#define REQ_MAX_DOMAINS 256

/* What the HTTP server may do with the caller's connection. */
enum req_stage {
	/* No attempt was sent; the body is not read. */
	REQ_WAITING,
	/* The body is read and forwarded. */
	REQ_OPEN,
	/* The head of an answer has arrived. */
	REQ_ANSWERING,
	REQ_REFUSED,
	/* The connection is to be closed. */
	REQ_BROKEN,
};

struct req {
	struct ref ref;

	/* Constant once the request is shared. */
	uint64_t number;
	struct strbuf id;
	struct strbuf service;
	enum rank rank;
	char *method;
	/* Path and query for the upstream. */
	char *target;
	/* Headers to forward; owned. */
	struct curl_slist *headers;
	char key[TKT_KEY_MAX + 1];
	bool keyed;
	bool idempotent;
	bool head_only;
	/* Bytes, or -1 when the body is chunked. */
	int64_t body_length;
	uint32_t deadline_ms;
	apr_time_t arrived;

	/* Protected by lock: the caller's connection and both bodies. */
	pthread_mutex_t lock;
	struct MHD_Connection *conn;
	int caller_fd;
	bool suspended;
	enum req_stage stage;
	struct pipe body;
	struct pipe answer;
	/* The upstream thread paused, for lack of bytes or of space. */
	bool body_read_paused;
	bool answer_write_paused;
	unsigned status;
	/* Headers of the answer; owned. */
	struct curl_slist *answer_headers;
	/* Bytes of the answer's body, or -1 when not stated. */
	int64_t answer_length;
	bool not_run;
	int reason;

	/* Threads of the HTTP server only. */
	bool body_started;

	/* The routing thread only. */
	struct reqstate reqstate;
	/* Error that explains the verdict on the key, or 0. */
	int key_error;
	apr_time_t deadline;
	apr_time_t permit_asked_at;
	uint64_t permit_id;
	struct strbuf upstream;
	struct strbuf upstream_address;
	uint16_t upstream_port;
	struct strbuf domain;
	bool excluded_domains[REQ_MAX_DOMAINS];
	bool active;
	bool caller_gone;
	struct req *next;
	struct req *prev;

	/* The upstream thread; the routing thread once an attempt has ended. */
	bool load_reported;
	struct load_report load_report;

	/* The upstream thread only. */
	void *transfer;
	/* A resume command is queued for the upstream thread. */
	atomic_bool resume_queued;
};

/*
 * Allocates a request with one reference; buffer is the capacity for each body,
 * in bytes. Returns 0 or PST_ERR_NOMEM.
 */
int req_create(struct req **out, size_t buffer);
void req_get(struct req *req);
void req_put(struct req *req);

/*
 * Suspends the caller's connection. Called with the lock held, on a thread of
 * the HTTP server.
 */
void req_suspend(struct req *req);

/* Resumes the caller's connection if suspended. Called with the lock held. */
void req_resume(struct req *req);

#endif
