/*
 * HTTP calls of the caller: libcurl's multi interface on the event loop.
 *
 * The digest of an answer's body is computed as the body arrives; the first
 * bytes of the body are kept.
 */
#ifndef FAKES_CALLER_CALL_H
#define FAKES_CALLER_CALL_H

#include <curl/curl.h>

#include "fakes/digest.h"
#include "fakes/loop.h"

#define HTTPCALL_URL_BYTES    512
#define HTTPCALL_KEPT_BYTES   4096
#define HTTPCALL_HEADER_BYTES 160

struct httpcall;

/*
 * One call. The owner zeroes it, fills it in and keeps it until done() runs.
 */
struct httpcall_call {
	/* Filled in before httpcall_start(). */
	char url[HTTPCALL_URL_BYTES];
	const char *method;
	/* Freed when the call ends. */
	struct curl_slist *headers;
	/* Body: the first body_len test bytes of body_seed. */
	uint64_t body_seed;
	uint64_t body_len;
	bool has_body;
	long timeout_ms;
	/* Time-out without a byte transferred, in seconds; 0 for none. */
	long idle_s;
	void (*done)(struct httpcall_call *call);

	/* Result. */
	CURLcode code;
	long status;
	/* Whether a byte of the request may have been sent. */
	bool sent;
	char request_id[HTTPCALL_HEADER_BYTES];
	char served_by[HTTPCALL_HEADER_BYTES];
	char content_digest[HTTPCALL_HEADER_BYTES];
	char content_type[HTTPCALL_HEADER_BYTES];
	bool not_run;
	char kept[HTTPCALL_KEPT_BYTES];
	size_t kept_len;
	uint64_t received;
	char digest[DIG_TEXT_BYTES];
	apr_time_t began;
	apr_time_t ended;

	/* Private. */
	struct httpcall *owner;
	CURL *easy;
	uint64_t body_sent;
	struct dig *dig;
};

/* Borrows loop. Returns 0 or PST_ERR_HTTP. */
int httpcall_create(struct httpcall **out, struct evloop *loop);

/* Starts the call; done() runs later, from the loop. */
void httpcall_start(struct httpcall *httpcall, struct httpcall_call *call);

#endif
