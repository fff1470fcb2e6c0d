#include "common/curlloop.h"

#include <stdlib.h>

#include "common/err.h"

/* A socket that libcurl waits for. */
struct sock {
	struct ev_io io;
	struct curlloop *curlloop;
};

static void finish_transfers(struct curlloop *curlloop)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(curlloop->multi, &left))) {
		const CURLcode code = msg->data.result;
		void *private;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &private);
		curlloop->ended(private, code);
	}
}

static void on_sock(struct ev_loop *loop, struct ev_io *io, int events)
{
	struct sock *sock = (struct sock *)(void *)io;
	struct curlloop *curlloop = sock->curlloop;
	int running;
	int flags = 0;

	(void)loop;
	if (events & EV_READ)
		flags |= CURL_CSELECT_IN;
	if (events & EV_WRITE)
		flags |= CURL_CSELECT_OUT;
	curl_multi_socket_action(curlloop->multi, io->fd, flags, &running);
	finish_transfers(curlloop);
}

static void on_timer(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct curlloop *curlloop = timer->data;
	int running;

	(void)loop;
	(void)events;
	curl_multi_socket_action(curlloop->multi, CURL_SOCKET_TIMEOUT, 0,
				 &running);
	finish_transfers(curlloop);
}

static int watch_sock(CURL *easy, curl_socket_t fd, int what, void *ctx,
		      void *sockp)
{
	struct curlloop *curlloop = ctx;
	struct sock *sock = sockp;
	const int events = (what & CURL_POLL_IN ? EV_READ : 0) |
			   (what & CURL_POLL_OUT ? EV_WRITE : 0);

	(void)easy;
	if (sock)
		ev_io_stop(curlloop->loop, &sock->io);
	if (what == CURL_POLL_REMOVE) {
		free(sock);
		return 0;
	}
	if (!sock) {
		sock = calloc(1, sizeof(*sock));
		if (!sock)
			return -1;
		sock->curlloop = curlloop;
		curl_multi_assign(curlloop->multi, fd, sock);
	}
	ev_io_init(&sock->io, on_sock, fd, events);
	ev_io_start(curlloop->loop, &sock->io);
	return 0;
}

static int set_timer(CURLM *multi, long ms, void *ctx)
{
	struct curlloop *curlloop = ctx;

	(void)multi;
	ev_timer_stop(curlloop->loop, &curlloop->timer);
	if (ms >= 0) {
		ev_timer_set(&curlloop->timer, (double)ms / 1000, 0);
		ev_timer_start(curlloop->loop, &curlloop->timer);
	}
	return 0;
}

int curlloop_init(struct curlloop *curlloop, struct ev_loop *loop,
		  curlloop_finished_fn *ended)
{
	curlloop->loop = loop;
	curlloop->ended = ended;
	curlloop->multi = curl_multi_init();
	if (!curlloop->multi)
		return PST_ERR_HTTP;
	ev_timer_init(&curlloop->timer, on_timer, 0, 0);
	curlloop->timer.data = curlloop;
	curl_multi_setopt(curlloop->multi, CURLMOPT_SOCKETFUNCTION, watch_sock);
	curl_multi_setopt(curlloop->multi, CURLMOPT_SOCKETDATA, curlloop);
	curl_multi_setopt(curlloop->multi, CURLMOPT_TIMERFUNCTION, set_timer);
	curl_multi_setopt(curlloop->multi, CURLMOPT_TIMERDATA, curlloop);
	return 0;
}

void curlloop_done(struct curlloop *curlloop)
{
	curl_multi_cleanup(curlloop->multi);
	ev_timer_stop(curlloop->loop, &curlloop->timer);
}

void curlloop_add(struct curlloop *curlloop, CURL *easy)
{
	curl_multi_add_handle(curlloop->multi, easy);
}

void curlloop_remove(struct curlloop *curlloop, CURL *easy)
{
	curl_multi_remove_handle(curlloop->multi, easy);
}
