#include "fakes/caller/call.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/epoll.h>

#include "common/err.h"
#include "common/str.h"

#define MAX_IDLE_HANDLES    1024
#define MAX_CONNECTIONS	    4096
#define CONNECT_TIMEOUT_MS  1000
#define UPLOAD_BUFFER_BYTES 131072

struct httpcall {
	struct evloop *loop;
	CURLM *multi;
	struct evloop_timer timer;
	CURL *idle[MAX_IDLE_HANDLES];
	size_t idle_count;
};

/* A socket that libcurl watches. */
struct sock {
	struct evloop_fd fd;
	struct httpcall *httpcall;
};

static void finish_call(struct httpcall *httpcall, CURL *easy, CURLcode code)
{
	struct httpcall_call *call;
	long sent = 0;

	curl_easy_getinfo(easy, CURLINFO_PRIVATE, &call);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &call->status);
	curl_easy_getinfo(easy, CURLINFO_REQUEST_SIZE, &sent);
	curl_multi_remove_handle(httpcall->multi, easy);
	if (httpcall->idle_count < MAX_IDLE_HANDLES)
		httpcall->idle[httpcall->idle_count++] = easy;
	else
		curl_easy_cleanup(easy);
	curl_slist_free_all(call->headers);
	call->headers = NULL;
	call->easy = NULL;
	call->code = code;
	call->sent = sent > 0;
	call->ended = evloop_now(httpcall->loop);
	dig_finish(call->dig, call->digest);
	call->dig = NULL;
	call->done(call);
}

static void collect(struct httpcall *httpcall)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(httpcall->multi, &left))) {
		if (msg->msg == CURLMSG_DONE)
			finish_call(httpcall, msg->easy_handle,
				    msg->data.result);
	}
}

static void on_socket(struct evloop_fd *fd, uint32_t events)
{
	struct sock *sock = (struct sock *)(void *)fd;
	struct httpcall *httpcall = sock->httpcall;
	int bits = 0;
	int running;

	if (events & (EPOLLIN | EPOLLHUP))
		bits |= CURL_CSELECT_IN;
	if (events & EPOLLOUT)
		bits |= CURL_CSELECT_OUT;
	if (events & EPOLLERR)
		bits |= CURL_CSELECT_ERR;
	curl_multi_socket_action(httpcall->multi, fd->fd, bits, &running);
	collect(httpcall);
}

static int watch_socket(CURL *easy, curl_socket_t fd, int what, void *ctx,
			void *slot)
{
	struct httpcall *httpcall = ctx;
	struct sock *sock = slot;
	uint32_t events = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (sock)
			evloop_unwatch(httpcall->loop, &sock->fd);
		free(sock);
		curl_multi_assign(httpcall->multi, fd, NULL);
		return 0;
	}
	if (!sock) {
		sock = calloc(1, sizeof(*sock));
		if (!sock)
			return -1;
		sock->httpcall = httpcall;
		sock->fd.fd = fd;
		sock->fd.ready = on_socket;
		curl_multi_assign(httpcall->multi, fd, sock);
	}
	if (what & CURL_POLL_IN)
		events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		events |= EPOLLOUT;
	evloop_watch(httpcall->loop, &sock->fd, events);
	return 0;
}

static int set_timer(CURLM *multi, long ms, void *ctx)
{
	struct httpcall *httpcall = ctx;

	(void)multi;
	if (ms < 0)
		evloop_timer_clear(httpcall->loop, &httpcall->timer);
	else
		evloop_timer_set(httpcall->loop, &httpcall->timer,
				 evloop_now(httpcall->loop) + CLK_MS(ms));
	return 0;
}

static void on_timer(struct evloop_timer *timer)
{
	struct httpcall *httpcall =
		(struct httpcall *)(void *)((char *)timer -
					    offsetof(struct httpcall, timer));
	int running;

	curl_multi_socket_action(httpcall->multi, CURL_SOCKET_TIMEOUT, 0,
				 &running);
	collect(httpcall);
}

static size_t on_body(char *data, size_t size, size_t count, void *ctx)
{
	struct httpcall_call *call = ctx;
	const size_t len = size * count;
	size_t room = HTTPCALL_KEPT_BYTES - 1 - call->kept_len;

	if (room > len)
		room = len;
	memcpy(call->kept + call->kept_len, data, room);
	call->kept_len += room;
	call->received += len;
	dig_add(call->dig, data, len);
	return len;
}

static bool take_header(struct str line, const char *name, char *out)
{
	const size_t len = strlen(name);
	size_t start = len + 1;
	size_t end = line.len;

	if (line.len <= len || line.ptr[len] != ':' ||
	    strncasecmp(line.ptr, name, len) != 0)
		return false;
	while (start < end && line.ptr[start] == ' ')
		start++;
	while (end > start &&
	       (line.ptr[end - 1] == '\r' || line.ptr[end - 1] == '\n'))
		end--;
	snprintf(out, HTTPCALL_HEADER_BYTES, "%.*s", (int)(end - start),
		 line.ptr + start);
	return true;
}

static size_t on_header(char *data, size_t size, size_t count, void *ctx)
{
	struct httpcall_call *call = ctx;
	const struct str line = {.ptr = data, .len = size * count};
	char ignored[HTTPCALL_HEADER_BYTES];

	take_header(line, "X-Request-Id", call->request_id);
	take_header(line, "X-Served-By", call->served_by);
	take_header(line, "Content-Digest", call->content_digest);
	take_header(line, "Content-Type", call->content_type);
	if (take_header(line, "X-Not-Run", ignored))
		call->not_run = true;
	return line.len;
}

static size_t read_body(char *buf, size_t size, size_t count, void *ctx)
{
	struct httpcall_call *call = ctx;
	size_t len = size * count;

	if (len > call->body_len - call->body_sent)
		len = (size_t)(call->body_len - call->body_sent);
	dig_fill(call->body_seed, call->body_sent, buf, len);
	call->body_sent += len;
	return len;
}

static CURL *take_handle(struct httpcall *httpcall)
{
	CURL *easy;

	if (!httpcall->idle_count)
		return curl_easy_init();
	easy = httpcall->idle[--httpcall->idle_count];
	curl_easy_reset(easy);
	return easy;
}

static void set_body(CURL *easy, struct httpcall_call *call)
{
	if (!call->has_body)
		return;
	curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
	curl_easy_setopt(easy, CURLOPT_UPLOAD_BUFFERSIZE,
			 (long)UPLOAD_BUFFER_BYTES);
	curl_easy_setopt(easy, CURLOPT_READFUNCTION, read_body);
	curl_easy_setopt(easy, CURLOPT_READDATA, call);
	curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE,
			 (curl_off_t)call->body_len);
}

int httpcall_create(struct httpcall **out, struct evloop *loop)
{
	struct httpcall *httpcall = calloc(1, sizeof(*httpcall));

	if (!httpcall)
		return PST_ERR_NOMEM;
	curl_global_init(CURL_GLOBAL_DEFAULT);
	httpcall->loop = loop;
	httpcall->timer.fire = on_timer;
	httpcall->multi = curl_multi_init();
	curl_multi_setopt(httpcall->multi, CURLMOPT_SOCKETFUNCTION,
			  watch_socket);
	curl_multi_setopt(httpcall->multi, CURLMOPT_SOCKETDATA, httpcall);
	curl_multi_setopt(httpcall->multi, CURLMOPT_TIMERFUNCTION, set_timer);
	curl_multi_setopt(httpcall->multi, CURLMOPT_TIMERDATA, httpcall);
	curl_multi_setopt(httpcall->multi, CURLMOPT_MAXCONNECTS,
			  (long)MAX_CONNECTIONS);
	*out = httpcall;
	return 0;
}

void httpcall_start(struct httpcall *httpcall, struct httpcall_call *call)
{
	CURL *easy = take_handle(httpcall);

	call->owner = httpcall;
	call->easy = easy;
	call->dig = dig_start();
	call->began = evloop_now(httpcall->loop);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(easy, CURLOPT_URL, call->url);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)CONNECT_TIMEOUT_MS);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, call->timeout_ms);
	if (call->idle_s) {
		curl_easy_setopt(easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
		curl_easy_setopt(easy, CURLOPT_LOW_SPEED_TIME, call->idle_s);
	}
	set_body(easy, call);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call->method);
	call->headers = curl_slist_append(call->headers, "Expect:");
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
	curl_multi_add_handle(httpcall->multi, easy);
}
