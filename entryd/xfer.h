/*
 * One attempt of a request at an upstream: a libcurl handle and its callbacks.
 * Used only by the upstream thread.
 */
#ifndef ENTRYD_XFER_H
#define ENTRYD_XFER_H

#include <openssl/evp.h>

#include "entryd/hdr.h"
#include "entryd/forwarder.h"

/* Shared by all attempts; borrowed. */
struct xfer_env {
	const struct settings *set;
	const struct clk *clk;
	struct quota_agent *quota;
	struct router *router;
};

/* Maximum number of idle connections. */
#define XFER_MAX_IDLE_CONNECTIONS 256

struct xfer {
	const struct xfer_env *env;
	struct req *req;
	struct forwarder_target target;
	CURL *easy;
	struct curl_slist *headers;
	struct curl_slist *connect_to;
	struct xfer *next;

	/* The handle was given to libcurl. */
	bool started;
	/* Uses the proxy of the upstream's region. */
	bool proxied;
	/* Waits until the limit of the link has room. */
	bool throttled;
	/* Paused until the HTTP server has read or written bytes. */
	bool send_paused;
	bool receive_paused;
	/* The caller ended its body early. */
	bool caller_aborted;

	/* Advances also while the transfer is paused, unlike last_byte_at. */
	apr_time_t last_progress;
	apr_time_t last_byte_at;

	unsigned status;
	bool head_complete;
	bool head_published;
	bool id_mismatch;
	bool shed;
	int64_t stated_length;
	uint64_t received;
	struct curl_slist *answer_headers;

	/* Newest byte of the answer, held back until the answer is complete. */
	bool last_byte_held;
	unsigned char last_byte;

	bool digest_stated;
	unsigned char digest[HDR_DIGEST_BYTES];
	EVP_MD_CTX *digest_ctx;

	/*
	 * Bytes taken from the limit of the link for the request's head, the
	 * time before the first was taken, and the bytes needed.
	 */
	size_t request_head_taken;
	apr_time_t request_head_taken_at;
	size_t request_head_bytes;
	/* Bytes of the answer's head that have arrived. */
	size_t answer_head_received;

	/* Bytes taken from the limit for the receive window. */
	size_t window_taken;
	/* Bytes taken from it for the answer's body, not yet delivered. */
	size_t body_taken;
	/* Time before the first of these bytes was taken. */
	apr_time_t first_taken_at;
};

/*
 * Creates the handle; takes its own reference to req. Returns 0,
 * PST_ERR_NOMEM or PST_ERR_HTTP.
 */
int xfer_create(struct xfer **out, const struct xfer_env *env, struct req *req,
		const struct forwarder_target *target, unsigned generation);

/*
 * Takes bytes from the limits of the link, for the request's head and for the
 * answer's bytes that may be in flight before they are counted. Returns false
 * while there is no room; the transfer must wait.
 */
bool xfer_take_link_bytes(struct xfer *x);

/* Closes the connection unless the transfer is complete. */
void xfer_destroy(struct xfer *x);

/* Resumes the transfer if it is paused. */
void xfer_resume(struct xfer *x);

/* Returns the result of an attempt whose transfer ended with this code. */
enum reqstate_result xfer_conclude(struct xfer *x, CURLcode code);

/* Forwards the last byte of a complete answer and closes its body. */
void xfer_complete(struct xfer *x);

/* Whether no byte was sent or received for entry.silence_timeout_ms. */
bool xfer_silent(struct xfer *x, apr_time_t now);

/*
 * Whether the limit of the link has let no byte pass for as long as the
 * request's deadline allows or, before the start, none by the deadline itself.
 */
bool xfer_starved(const struct xfer *x, apr_time_t now);

#endif
