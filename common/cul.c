#include "common/cul.h"

#include <stdlib.h>

#include "common/err.h"

/* A socket that libcurl waits for. */
struct sock {
	struct ev_io io;
	struct cul *cul;
};

static void finish_transfers(struct cul *cul)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(cul->multi, &left))) {
		const CURLcode code = msg->data.result;
		void *private;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &private);
		cul->ended(private, code);
	}
}

static void on_sock(struct ev_loop *loop, struct ev_io *io, int events)
{
	struct sock *sock = (struct sock *)(void *)io;
	struct cul *cul = sock->cul;
	int running;
	int flags = 0;

	(void)loop;
	if (events & EV_READ)
		flags |= CURL_CSELECT_IN;
	if (events & EV_WRITE)
		flags |= CURL_CSELECT_OUT;
	curl_multi_socket_action(cul->multi, io->fd, flags, &running);
	finish_transfers(cul);
}

static void on_timer(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct cul *cul = timer->data;
	int running;

	(void)loop;
	(void)events;
	curl_multi_socket_action(cul->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	finish_transfers(cul);
}

static int watch_sock(CURL *easy, curl_socket_t fd, int what, void *ctx,
		      void *sockp)
{
	struct cul *cul = ctx;
	struct sock *sock = sockp;
	const int events = (what & CURL_POLL_IN ? EV_READ : 0) |
			   (what & CURL_POLL_OUT ? EV_WRITE : 0);

	(void)easy;
	if (sock)
		ev_io_stop(cul->loop, &sock->io);
	if (what == CURL_POLL_REMOVE) {
		free(sock);
		return 0;
	}
	if (!sock) {
		sock = calloc(1, sizeof(*sock));
		if (!sock)
			return -1;
		sock->cul = cul;
		curl_multi_assign(cul->multi, fd, sock);
	}
	ev_io_init(&sock->io, on_sock, fd, events);
	ev_io_start(cul->loop, &sock->io);
	return 0;
}

static int set_timer(CURLM *multi, long ms, void *ctx)
{
	struct cul *cul = ctx;

	(void)multi;
	ev_timer_stop(cul->loop, &cul->timer);
	if (ms >= 0) {
		ev_timer_set(&cul->timer, (double)ms / 1000, 0);
		ev_timer_start(cul->loop, &cul->timer);
	}
	return 0;
}

int cul_init(struct cul *cul, struct ev_loop *loop, cul_finished_fn *ended)
{
	cul->loop = loop;
	cul->ended = ended;
	cul->multi = curl_multi_init();
	if (!cul->multi)
		return PST_ERR_HTTP;
	ev_timer_init(&cul->timer, on_timer, 0, 0);
	cul->timer.data = cul;
	curl_multi_setopt(cul->multi, CURLMOPT_SOCKETFUNCTION, watch_sock);
	curl_multi_setopt(cul->multi, CURLMOPT_SOCKETDATA, cul);
	curl_multi_setopt(cul->multi, CURLMOPT_TIMERFUNCTION, set_timer);
	curl_multi_setopt(cul->multi, CURLMOPT_TIMERDATA, cul);
	return 0;
}

void cul_done(struct cul *cul)
{
	curl_multi_cleanup(cul->multi);
	ev_timer_stop(cul->loop, &cul->timer);
}

void cul_add(struct cul *cul, CURL *easy)
{
	curl_multi_add_handle(cul->multi, easy);
}

void cul_remove(struct cul *cul, CURL *easy)
{
	curl_multi_remove_handle(cul->multi, easy);
}
