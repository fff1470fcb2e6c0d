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

#define CLL_URL_BYTES	 512
#define CLL_KEPT_BYTES	 4096
#define CLL_HEADER_BYTES 160

struct cll;

/*
 * One call. The owner zeroes it, fills it in and keeps it until done() runs.
 */
struct cll_call {
	/* Filled in before cll_start(). */
	char url[CLL_URL_BYTES];
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
	void (*done)(struct cll_call *call);

	/* Result. */
	CURLcode code;
	long status;
	/* Whether a byte of the request may have been sent. */
	bool sent;
	char request_id[CLL_HEADER_BYTES];
	char served_by[CLL_HEADER_BYTES];
	char content_digest[CLL_HEADER_BYTES];
	char content_type[CLL_HEADER_BYTES];
	bool not_run;
	char kept[CLL_KEPT_BYTES];
	size_t kept_len;
	uint64_t received;
	char digest[DIG_TEXT_BYTES];
	apr_time_t began;
	apr_time_t ended;

	/* Private. */
	struct cll *owner;
	CURL *easy;
	uint64_t body_sent;
	struct dig *dig;
};

/* Borrows loop. Returns 0 or PST_ERR_HTTP. */
int cll_create(struct cll **out, struct evloop *loop);

/* Starts the call; done() runs later, from the loop. */
void cll_start(struct cll *cll, struct cll_call *call);

#endif
