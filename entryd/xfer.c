#include "entryd/xfer.h"

#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/err.h"
#include "common/net.h"
#include "entryd/router.h"
#include "entryd/xfer_head.h"
#include "entryd/xfer_setup.h"

/* Receive window when the request is sent; taken from the limit in advance. */
#define INITIAL_WINDOW_BYTES 16384

/* Unsent bytes in the kernel above which no more are taken. */
#define MAX_UNSENT_BYTES    16384

#define STATUS_NO_CONTENT   204
#define STATUS_NOT_MODIFIED 304

static void note_progress(struct xfer *x)
{
	x->last_progress = clk_now(x->env->clk);
	x->last_byte_at = x->last_progress;
}

static bool crosses_link(const struct xfer *x)
{
	return x->target.local_region != x->target.upstream_region;
}

/* Takes up to want bytes from the limit of the link, for sending. */
static size_t take_outbound(struct xfer *x, size_t want)
{
	if (!crosses_link(x))
		return want;
	return quota_take_bytes(x->env->quota, x->target.local_region,
				x->target.upstream_region, x->req->rank, want);
}

/*
 * Takes bytes from the limit of the link, for an answer, until *held reaches
 * want. With a small share of the link this takes several calls.
 */
static bool take_inbound(struct xfer *x, size_t *held, size_t want)
{
	if (!crosses_link(x))
		return true;
	if (!x->first_taken_at)
		x->first_taken_at = clk_now(x->env->clk);
	if (*held < want)
		*held += quota_take_bytes(
			x->env->quota, x->target.upstream_region,
			x->target.local_region, x->req->rank, want - *held);
	return *held >= want;
}

/* Takes bytes for the request's head; returns false while some are missing. */
static bool take_head(struct xfer *x)
{
	if (!crosses_link(x))
		return true;
	if (!x->request_head_taken_at)
		x->request_head_taken_at = clk_now(x->env->clk);
	if (x->request_head_taken < x->request_head_bytes)
		x->request_head_taken += take_outbound(
			x, x->request_head_bytes - x->request_head_taken);
	return x->request_head_taken >= x->request_head_bytes;
}

/* Halved, because the kernel doubles the value for its bookkeeping. */
static void limit_receive_buffer(const struct xfer *x, curl_socket_t fd)
{
	const int value = (int)x->window_taken / 2;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &value, sizeof(value));
}

/* Takes more bytes for the receive window of a long answer. */
static void grow_window(struct xfer *x)
{
	const size_t most = x->env->set->entry.link_window_bytes;
	const uint64_t due = (uint64_t)x->stated_length - x->received;
	curl_socket_t fd = CURL_SOCKET_BAD;
	size_t got;

	if (!crosses_link(x) || x->window_taken + INITIAL_WINDOW_BYTES > most)
		return;
	if (x->stated_length >= 0 && due <= x->window_taken)
		return;
	got = quota_take_bytes(x->env->quota, x->target.upstream_region,
			       x->target.local_region, x->req->rank,
			       most - x->window_taken);
	x->window_taken += got;
	curl_easy_getinfo(x->easy, CURLINFO_ACTIVESOCKET, &fd);
	if (!got || fd == CURL_SOCKET_BAD)
		return;
	limit_receive_buffer(x, fd);
	/* A window that was advertised to the sender cannot be shrunk. */
	curl_easy_setopt(x->easy, CURLOPT_FORBID_REUSE, 1L);
}

static size_t on_send(char *buffer, size_t size, size_t count, void *ctx)
{
	struct xfer *x = ctx;
	struct req *req = x->req;
	size_t want = size * count;
	size_t given = 0;
	bool at_end;
	bool broken;

	pthread_mutex_lock(&req->lock);
	if (pipe_used(&req->body) < want)
		want = pipe_used(&req->body);
	if (want)
		given = take_outbound(x, want);
	if (given)
		pipe_read(&req->body, buffer, given);
	at_end = req->body.closed && !pipe_used(&req->body);
	broken = req->body.broken;
	req->body_read_paused = !given && !at_end && !broken && !want;
	if (given)
		req_resume(req);
	pthread_mutex_unlock(&req->lock);

	if (broken) {
		x->caller_aborted = true;
		return CURL_READFUNC_ABORT;
	}
	if (given) {
		note_progress(x);
		return given;
	}
	if (at_end)
		return 0;
	x->throttled = want > 0;
	x->send_paused = true;
	return CURL_READFUNC_PAUSE;
}

/* libcurl rewinds the body only before the first byte of an answer. */
static int on_seek(void *ctx, curl_off_t offset, int origin)
{
	struct xfer *x = ctx;
	int result = CURL_SEEKFUNC_FAIL;

	pthread_mutex_lock(&x->req->lock);
	if (!offset && origin == SEEK_SET && pipe_can_rewind(&x->req->body)) {
		pipe_rewind(&x->req->body);
		result = CURL_SEEKFUNC_OK;
	}
	pthread_mutex_unlock(&x->req->lock);
	return result;
}

static bool has_no_body(const struct xfer *x)
{
	return x->req->head_only || x->status == STATUS_NO_CONTENT ||
	       x->status == STATUS_NOT_MODIFIED || x->stated_length == 0;
}

/* Hands the head to the HTTP server; the body follows. */
static void publish_head(struct xfer *x)
{
	struct req *req = x->req;

	if (x->head_published)
		return;
	x->head_published = true;
	pthread_mutex_lock(&req->lock);
	if (req->stage == REQ_OPEN || req->stage == REQ_WAITING) {
		req->stage = REQ_ANSWERING;
		req->status = x->status;
		req->answer_length = has_no_body(x) && !req->head_only
					     ? 0
					     : x->stated_length;
		req->answer_headers = x->answer_headers;
		x->answer_headers = NULL;
		req_resume(req);
	}
	pthread_mutex_unlock(&req->lock);
	router_answer_head(x->env->router, req);
}

static void update_digest(struct xfer *x, const void *bytes, size_t len)
{
	if (!x->digest_stated)
		return;
	EVP_DigestUpdate(x->digest_ctx, bytes, len);
}

static bool digest_agrees(struct xfer *x)
{
	unsigned char got[EVP_MAX_MD_SIZE];
	unsigned len = 0;

	if (!x->digest_stated || x->req->head_only)
		return true;
	EVP_DigestFinal_ex(x->digest_ctx, got, &len);
	return len == HDR_DIGEST_BYTES && !memcmp(got, x->digest, len);
}

/* Writes all but the newest byte. The pipe must have room for len bytes. */
static void write_answer(struct xfer *x, const unsigned char *bytes, size_t len)
{
	struct pipe *pipe = &x->req->answer;

	if (x->last_byte_held)
		pipe_write(pipe, &x->last_byte, 1);
	pipe_write(pipe, bytes, len - 1);
	x->last_byte = bytes[len - 1];
	x->last_byte_held = true;
}

static size_t pause_receive(struct xfer *x, bool throttled)
{
	x->throttled = throttled;
	x->receive_paused = true;
	return CURL_WRITEFUNC_PAUSE;
}

static size_t on_body(char *bytes, size_t size, size_t count, void *ctx)
{
	struct xfer *x = ctx;
	const size_t len = size * count;
	bool unwanted;
	bool room;

	if (x->id_mismatch || x->shed)
		return len;
	if (!len)
		return 0;
	pthread_mutex_lock(&x->req->lock);
	room = pipe_space(&x->req->answer) > len;
	unwanted = x->req->stage == REQ_BROKEN;
	x->req->answer_write_paused = !room && !unwanted;
	pthread_mutex_unlock(&x->req->lock);
	if (unwanted)
		return len;
	if (!room)
		return pause_receive(x, false);
	if (!take_inbound(x, &x->body_taken, len))
		return pause_receive(x, true);
	x->body_taken -= crosses_link(x) ? len : 0;
	note_progress(x);
	x->received += len;
	grow_window(x);
	update_digest(x, bytes, len);
	publish_head(x);
	pthread_mutex_lock(&x->req->lock);
	write_answer(x, (const unsigned char *)bytes, len);
	req_resume(x->req);
	pthread_mutex_unlock(&x->req->lock);
	return len;
}

static int on_socket(void *ctx, curl_socket_t fd, curlsocktype purpose)
{
	const struct xfer *x = ctx;
	const int unsent = MAX_UNSENT_BYTES;
	int value = (int)x->env->set->entry.silence_timeout_ms;

	(void)purpose;
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof(value));
	if (!crosses_link(x))
		return CURL_SOCKOPT_OK;
	limit_receive_buffer(x, fd);
	setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &unsent, sizeof(unsent));
	return CURL_SOCKOPT_OK;
}

static void set_callbacks(struct xfer *x)
{
	curl_easy_setopt(x->easy, CURLOPT_PRIVATE, x);
	curl_easy_setopt(x->easy, CURLOPT_READFUNCTION, on_send);
	curl_easy_setopt(x->easy, CURLOPT_READDATA, x);
	curl_easy_setopt(x->easy, CURLOPT_SEEKFUNCTION, on_seek);
	curl_easy_setopt(x->easy, CURLOPT_SEEKDATA, x);
	curl_easy_setopt(x->easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(x->easy, CURLOPT_WRITEDATA, x);
	curl_easy_setopt(x->easy, CURLOPT_HEADERFUNCTION, xfer_on_header);
	curl_easy_setopt(x->easy, CURLOPT_HEADERDATA, x);
	curl_easy_setopt(x->easy, CURLOPT_SOCKOPTFUNCTION, on_socket);
	curl_easy_setopt(x->easy, CURLOPT_SOCKOPTDATA, x);
}

int xfer_create(struct xfer **out, const struct xfer_env *env, struct req *req,
		const struct forwarder_target *target, unsigned generation)
{
	struct xfer *x = calloc(1, sizeof(*x));

	if (!x)
		return PST_ERR_NOMEM;
	x->env = env;
	x->req = req;
	x->target = *target;
	x->stated_length = -1;
	req_get(req);
	note_progress(x);
	x->easy = curl_easy_init();
	if (!x->easy || xfer_set_up(x, generation)) {
		xfer_destroy(x);
		return PST_ERR_HTTP;
	}
	set_callbacks(x);
	*out = x;
	return 0;
}

bool xfer_take_link_bytes(struct xfer *x)
{
	return take_head(x) &&
	       take_inbound(x, &x->window_taken, INITIAL_WINDOW_BYTES);
}

/* Returns unused bytes to the limits of the link. */
static void return_unused(struct xfer *x)
{
	const size_t held = x->window_taken + x->body_taken;

	if (held > x->answer_head_received)
		quota_return_taken(x->env->quota, x->target.upstream_region,
				   x->target.local_region,
				   held - x->answer_head_received,
				   x->first_taken_at);
	if (!x->started && x->request_head_taken)
		quota_return_taken(x->env->quota, x->target.local_region,
				   x->target.upstream_region,
				   x->request_head_taken,
				   x->request_head_taken_at);
}

void xfer_destroy(struct xfer *x)
{
	return_unused(x);
	if (x->easy)
		curl_easy_cleanup(x->easy);
	curl_slist_free_all(x->headers);
	curl_slist_free_all(x->connect_to);
	curl_slist_free_all(x->answer_headers);
	EVP_MD_CTX_free(x->digest_ctx);
	req_put(x->req);
	free(x);
}

void xfer_resume(struct xfer *x)
{
	if (!x->send_paused && !x->receive_paused)
		return;
	x->throttled = false;
	x->send_paused = false;
	x->receive_paused = false;
	curl_easy_pause(x->easy, CURLPAUSE_CONT);
}

/* Whether the proxy did not open a tunnel to the upstream. */
static bool tunnel_failed(const struct xfer *x)
{
	long opened = 0;
	long code = 0;

	curl_easy_getinfo(x->easy, CURLINFO_NUM_CONNECTS, &opened);
	curl_easy_getinfo(x->easy, CURLINFO_HTTP_CONNECTCODE, &code);
	return x->proxied && opened > 0 && code / 100 != 2;
}

/*
 * Whether a byte of the request may have been sent to the upstream. libcurl
 * counts what it sent to the proxy as part of the request.
 */
static bool may_have_been_sent(const struct xfer *x)
{
	curl_off_t body = 0;
	long header = 0;

	if (tunnel_failed(x))
		return false;
	curl_easy_getinfo(x->easy, CURLINFO_REQUEST_SIZE, &header);
	curl_easy_getinfo(x->easy, CURLINFO_SIZE_UPLOAD_T, &body);
	return header > 0 || body > 0;
}

enum reqstate_result xfer_conclude(struct xfer *x, CURLcode code)
{
	if (x->head_complete && x->id_mismatch)
		return REQSTATE_RESULT_BAD;
	if (x->head_complete && x->shed && code == CURLE_OK)
		return REQSTATE_RESULT_SHED;
	if (code == CURLE_OK && x->head_complete) {
		if (digest_agrees(x))
			return REQSTATE_RESULT_WHOLE;
		return x->head_published ? REQSTATE_RESULT_TRUNCATED
					 : REQSTATE_RESULT_BAD;
	}
	if (x->head_published)
		return REQSTATE_RESULT_TRUNCATED;
	if (code == CURLE_COULDNT_CONNECT ||
	    code == CURLE_COULDNT_RESOLVE_PROXY ||
	    code == CURLE_COULDNT_RESOLVE_HOST ||
	    code == CURLE_INTERFACE_FAILED)
		return REQSTATE_RESULT_NOT_SENT;
	if (!may_have_been_sent(x))
		return REQSTATE_RESULT_NOT_SENT;
	return REQSTATE_RESULT_LOST;
}

void xfer_complete(struct xfer *x)
{
	struct req *req = x->req;

	publish_head(x);
	pthread_mutex_lock(&req->lock);
	if (x->last_byte_held)
		pipe_write(&req->answer, &x->last_byte, 1);
	pipe_close(&req->answer, false);
	req_resume(req);
	pthread_mutex_unlock(&req->lock);
}

bool xfer_silent(struct xfer *x, apr_time_t now)
{
	const apr_interval_time_t bound =
		CLK_MS(x->env->set->entry.silence_timeout_ms);

	if (x->throttled || x->send_paused || x->receive_paused) {
		x->last_progress = now;
		return false;
	}
	return now - x->last_progress > bound;
}

bool xfer_starved(const struct xfer *x, apr_time_t now)
{
	const apr_interval_time_t bound = CLK_MS(x->req->deadline_ms);
	/* A transfer not started by the deadline can be reported as not run. */
	const apr_time_t since = x->started ? x->last_byte_at : x->req->arrived;

	return x->throttled && now - since > bound;
}
