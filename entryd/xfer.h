/*
 * One try of a request at an upstream: its libcurl handle and callbacks.
 *
 * Belongs to the upstream thread.
 */
#ifndef ENTRYD_XFER_H
#define ENTRYD_XFER_H

#include <openssl/evp.h>

#include "entryd/hdr.h"
#include "entryd/ups.h"

/* What every try needs; borrowed. */
struct xfer_env {
	const struct settings *set;
	const struct clk *clk;
	struct quota_agent *quota;
	struct rte *rte;
};

/* Most idle connections kept. */
#define XFER_MAX_IDLE_CONNECTIONS 256

struct xfer {
	const struct xfer_env *env;
	struct req *req;
	struct ups_target target;
	CURL *easy;
	struct curl_slist *headers;
	struct curl_slist *connect_to;
	struct xfer *next;

	/* Handed to libcurl. */
	bool started;
	/* Goes through the proxy of the upstream's region. */
	bool proxied;
	/* Halted until the link's limit has room. */
	bool throttled;
	/* Halted until the caller's side has moved bytes. */
	bool send_halted;
	bool receive_halted;
	/* The caller broke off its body. */
	bool caller_broke;

	/* Moves on while the transfer is halted; last_moved does not. */
	apr_time_t last_progress;
	apr_time_t last_moved;

	unsigned status;
	bool head_complete;
	bool head_published;
	bool id_mismatch;
	bool shed;
	int64_t stated_length;
	uint64_t received;
	struct curl_slist *answer_headers;

	/* The answer's last byte, held back until the answer is known whole. */
	bool byte_held;
	unsigned char held;

	bool digest_stated;
	unsigned char digest[HDR_DIGEST_BYTES];
	EVP_MD_CTX *digest_ctx;

	/*
	 * Bytes of the link's limit for the request's head, and when the first
	 * was taken; bytes of the answer's head that came.
	 */
	size_t head_paid;
	apr_time_t head_paid_at;
	size_t head_bytes;
	size_t head_received;

	/* Bytes of the link's limit for what may be on the way here. */
	size_t prepaid;
	/* Bytes of it for what libcurl holds for us. */
	size_t credit;
	/* Before the first of these bytes was taken. */
	apr_time_t first_taken;
};

/*
 * Creates the handle. Returns 0,
 * PST_ERR_NOMEM or PST_ERR_HTTP. Takes its own reference to req.
 */
int xfer_create(struct xfer **out, const struct xfer_env *env, struct req *req,
		const struct ups_target *target, unsigned generation);

/*
 * Takes from the link's limits the request's head and what may be on the way
 * here before it is counted. Returns false while there is no room; the transfer
 * must wait.
 */
bool xfer_prepay(struct xfer *x);

/* Closes the connection unless the transfer is complete. */
void xfer_destroy(struct xfer *x);

/* Continues whatever has been halted. */
void xfer_resume(struct xfer *x);

/* What the end of the transfer means. */
enum pth_result xfer_conclude(struct xfer *x, CURLcode code);

/* Passes on the last byte of a whole answer and closes its body. */
void xfer_complete(struct xfer *x);

/* Whether no byte has moved for longer than the bound. */
bool xfer_silent(struct xfer *x, apr_time_t now);

/*
 * Whether the link's limit has let no byte pass for the whole deadline, or
 * none at all by the deadline.
 */
bool xfer_starved(const struct xfer *x, apr_time_t now);

#endif
