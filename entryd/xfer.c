#include "entryd/xfer.h"

#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/err.h"
#include "common/net.h"
#include "entryd/route.h"
#include "entryd/xfer_head.h"
#include "entryd/xfer_setup.h"

/* Bytes of an answer that may be on the way when its request is sent. */
#define WINDOW_START 16384

/* Bytes taken that may wait in the kernel before more are taken. */
#define UNSENT_BYTES	    16384

#define STATUS_NO_CONTENT   204
#define STATUS_NOT_MODIFIED 304

static void note_progress(struct xfer *x)
{
	x->last_progress = clk_now(x->env->clk);
	x->last_moved = x->last_progress;
}

static bool crosses_link(const struct xfer *x)
{
	return x->target.here != x->target.there;
}

/* Takes bytes of the link for sending; all or less. */
static size_t take_outward(struct xfer *x, size_t want)
{
	if (!crosses_link(x))
		return want;
	return quota_take_bytes(x->env->quota, x->target.here, x->target.there,
				x->req->rank, want);
}

/*
 * Takes bytes of the link for an answer until *held reaches want; a small
 * share of the link gives them over several calls.
 */
static bool take_inward(struct xfer *x, size_t *held, size_t want)
{
	if (!crosses_link(x))
		return true;
	if (!x->first_taken)
		x->first_taken = clk_now(x->env->clk);
	if (*held < want)
		*held += quota_take_bytes(x->env->quota, x->target.there,
					  x->target.here, x->req->rank,
					  want - *held);
	return *held >= want;
}

/* Takes bytes of the link for the request's head; false while there are few. */
static bool take_head(struct xfer *x)
{
	if (!crosses_link(x))
		return true;
	if (!x->head_paid_at)
		x->head_paid_at = clk_now(x->env->clk);
	if (x->head_paid < x->head_bytes)
		x->head_paid += take_outward(x, x->head_bytes - x->head_paid);
	return x->head_paid >= x->head_bytes;
}

/* The kernel doubles the value for its own bookkeeping. */
static void bound_receive(const struct xfer *x, curl_socket_t fd)
{
	const int value = (int)x->prepaid / 2;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &value, sizeof(value));
}

/* More of a long answer than was prepaid may now be on the way here. */
static void widen_window(struct xfer *x)
{
	const size_t most = x->env->set->entry.link_window_bytes;
	const uint64_t due = (uint64_t)x->stated_length - x->received;
	curl_socket_t fd = CURL_SOCKET_BAD;
	size_t got;

	if (!crosses_link(x) || x->prepaid + WINDOW_START > most)
		return;
	if (x->stated_length >= 0 && due <= x->prepaid)
		return;
	got = quota_take_bytes(x->env->quota, x->target.there, x->target.here,
			       x->req->rank, most - x->prepaid);
	x->prepaid += got;
	curl_easy_getinfo(x->easy, CURLINFO_ACTIVESOCKET, &fd);
	if (!got || fd == CURL_SOCKET_BAD)
		return;
	bound_receive(x, fd);
	/* A window once offered cannot be taken back from the sender. */
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
		given = take_outward(x, want);
	if (given)
		pipe_read(&req->body, buffer, given);
	at_end = req->body.closed && !pipe_used(&req->body);
	broken = req->body.broken;
	req->body_waits = !given && !at_end && !broken && !want;
	if (given)
		req_wake(req);
	pthread_mutex_unlock(&req->lock);

	if (broken) {
		x->caller_broke = true;
		return CURL_READFUNC_ABORT;
	}
	if (given) {
		note_progress(x);
		return given;
	}
	if (at_end)
		return 0;
	x->throttled = want > 0;
	x->send_halted = true;
	return CURL_READFUNC_PAUSE;
}

/* libcurl rewinds a body only before the first byte of an answer. */
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

/* Hands the head to the caller's side; the body may follow. */
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
		req_wake(req);
	}
	pthread_mutex_unlock(&req->lock);
	rte_head(x->env->rte, req);
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

/* Writes all but the newest byte; the caller checked the space. */
static void pass_bytes(struct xfer *x, const unsigned char *bytes, size_t len)
{
	struct pipe *pipe = &x->req->answer;

	if (x->byte_held)
		pipe_write(pipe, &x->held, 1);
	pipe_write(pipe, bytes, len - 1);
	x->held = bytes[len - 1];
	x->byte_held = true;
}

static size_t halt_receive(struct xfer *x, bool throttled)
{
	x->throttled = throttled;
	x->receive_halted = true;
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
	x->req->answer_waits = !room && !unwanted;
	pthread_mutex_unlock(&x->req->lock);
	if (unwanted)
		return len;
	if (!room)
		return halt_receive(x, false);
	if (!take_inward(x, &x->credit, len))
		return halt_receive(x, true);
	x->credit -= crosses_link(x) ? len : 0;
	note_progress(x);
	x->received += len;
	widen_window(x);
	update_digest(x, bytes, len);
	publish_head(x);
	pthread_mutex_lock(&x->req->lock);
	pass_bytes(x, (const unsigned char *)bytes, len);
	req_wake(x->req);
	pthread_mutex_unlock(&x->req->lock);
	return len;
}

static int on_socket(void *ctx, curl_socket_t fd, curlsocktype purpose)
{
	const struct xfer *x = ctx;
	const int unsent = UNSENT_BYTES;
	int value = (int)x->env->set->entry.silence_timeout_ms;

	(void)purpose;
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &value, sizeof(value));
	if (!crosses_link(x))
		return CURL_SOCKOPT_OK;
	bound_receive(x, fd);
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
		const struct ups_target *target, unsigned generation)
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

bool xfer_prepay(struct xfer *x)
{
	return take_head(x) && take_inward(x, &x->prepaid, WINDOW_START);
}

/* Gives back what was taken of the link's limits and not used. */
static void return_unused(struct xfer *x)
{
	const size_t held = x->prepaid + x->credit;

	if (held > x->head_received)
		quota_return_taken(x->env->quota, x->target.there,
				   x->target.here, held - x->head_received,
				   x->first_taken);
	if (!x->started && x->head_paid)
		quota_return_taken(x->env->quota, x->target.here,
				   x->target.there, x->head_paid,
				   x->head_paid_at);
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
	if (!x->send_halted && !x->receive_halted)
		return;
	x->throttled = false;
	x->send_halted = false;
	x->receive_halted = false;
	curl_easy_pause(x->easy, CURLPAUSE_CONT);
}

/* Whether the proxy towards another region opened no way to the upstream. */
static bool tunnel_failed(const struct xfer *x)
{
	long opened = 0;
	long code = 0;

	curl_easy_getinfo(x->easy, CURLINFO_NUM_CONNECTS, &opened);
	curl_easy_getinfo(x->easy, CURLINFO_HTTP_CONNECTCODE, &code);
	return x->proxied && opened > 0 && code / 100 != 2;
}

/*
 * Whether a byte of the request can have left for the upstream. libcurl
 * counts what it sent to the proxy as part of the request.
 */
static bool may_have_left(const struct xfer *x)
{
	curl_off_t body = 0;
	long header = 0;

	if (tunnel_failed(x))
		return false;
	curl_easy_getinfo(x->easy, CURLINFO_REQUEST_SIZE, &header);
	curl_easy_getinfo(x->easy, CURLINFO_SIZE_UPLOAD_T, &body);
	return header > 0 || body > 0;
}

enum pth_result xfer_conclude(struct xfer *x, CURLcode code)
{
	if (x->head_complete && x->id_mismatch)
		return PTH_RESULT_BAD;
	if (x->head_complete && x->shed && code == CURLE_OK)
		return PTH_RESULT_SHED;
	if (code == CURLE_OK && x->head_complete) {
		if (digest_agrees(x))
			return PTH_RESULT_WHOLE;
		return x->head_published ? PTH_RESULT_TRUNCATED
					 : PTH_RESULT_BAD;
	}
	if (x->head_published)
		return PTH_RESULT_TRUNCATED;
	if (code == CURLE_COULDNT_CONNECT ||
	    code == CURLE_COULDNT_RESOLVE_PROXY ||
	    code == CURLE_COULDNT_RESOLVE_HOST ||
	    code == CURLE_INTERFACE_FAILED)
		return PTH_RESULT_NOT_SENT;
	if (!may_have_left(x))
		return PTH_RESULT_NOT_SENT;
	return PTH_RESULT_LOST;
}

void xfer_complete(struct xfer *x)
{
	struct req *req = x->req;

	publish_head(x);
	pthread_mutex_lock(&req->lock);
	if (x->byte_held)
		pipe_write(&req->answer, &x->held, 1);
	pipe_close(&req->answer, false);
	req_wake(req);
	pthread_mutex_unlock(&req->lock);
}

bool xfer_silent(struct xfer *x, apr_time_t now)
{
	const apr_interval_time_t bound =
		CLK_MS(x->env->set->entry.silence_timeout_ms);

	if (x->throttled || x->send_halted || x->receive_halted) {
		x->last_progress = now;
		return false;
	}
	return now - x->last_progress > bound;
}

bool xfer_starved(const struct xfer *x, apr_time_t now)
{
	const apr_interval_time_t bound = CLK_MS(x->req->deadline_ms);
	/* What was not begun by its deadline can still be told as not run. */
	const apr_time_t since = x->started ? x->last_moved : x->req->arrived;

	return x->throttled && now - since > bound;
}
