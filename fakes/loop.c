#include "fakes/loop.h"

#include <signal.h>
#include <stddef.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/signalfd.h>
#include <unistd.h>

#include "common/err.h"

#define BATCH_EVENTS 128
#define MAX_WAIT_MS  1000

TAILQ_HEAD(timer_list, evloop_timer);

struct evloop {
	const struct clk *clk;
	int epoll;
	struct evloop_fd signals;
	struct timer_list timers;
	struct epoll_event batch[BATCH_EVENTS];
	int batch_count;
	bool stopped;
};

static void on_signal(struct evloop_fd *fd, uint32_t events)
{
	struct evloop *loop =
		(struct evloop *)(void *)((char *)fd -
					  offsetof(struct evloop, signals));
	struct signalfd_siginfo info;

	(void)events;
	if (read(fd->fd, &info, sizeof(info)) == sizeof(info))
		loop->stopped = true;
}

static int watch_signals(struct evloop *loop)
{
	sigset_t set;

	signal(SIGPIPE, SIG_IGN);
	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigprocmask(SIG_BLOCK, &set, NULL);
	loop->signals.fd = signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
	loop->signals.ready = on_signal;
	if (loop->signals.fd < 0)
		return PST_ERR_IO;
	return evloop_watch(loop, &loop->signals, EPOLLIN);
}

static int wait_ms(const struct evloop *loop)
{
	const struct evloop_timer *first = TAILQ_FIRST(&loop->timers);
	apr_interval_time_t left;

	if (!first)
		return MAX_WAIT_MS;
	left = first->at - evloop_now(loop);
	if (left <= 0)
		return 0;
	left = (left + 999) / 1000;
	return left > MAX_WAIT_MS ? MAX_WAIT_MS : (int)left;
}

static void fire_timers(struct evloop *loop)
{
	const apr_time_t now = evloop_now(loop);
	struct evloop_timer *timer;

	for (;;) {
		timer = TAILQ_FIRST(&loop->timers);
		if (!timer || timer->at > now)
			return;
		evloop_timer_clear(loop, timer);
		timer->fire(timer);
	}
}

static void dispatch(struct evloop *loop)
{
	for (int i = 0; i < loop->batch_count; i++) {
		struct evloop_fd *fd = loop->batch[i].data.ptr;

		if (fd)
			fd->ready(fd, loop->batch[i].events);
	}
	loop->batch_count = 0;
}

int evloop_create(struct evloop **out, const struct clk *clk)
{
	struct evloop *loop = calloc(1, sizeof(*loop));

	if (!loop)
		return PST_ERR_NOMEM;
	loop->clk = clk;
	loop->signals.fd = -1;
	TAILQ_INIT(&loop->timers);
	loop->epoll = epoll_create1(EPOLL_CLOEXEC);
	if (loop->epoll < 0 || watch_signals(loop)) {
		evloop_destroy(loop);
		return PST_ERR_IO;
	}
	*out = loop;
	return 0;
}

void evloop_destroy(struct evloop *loop)
{
	if (!loop)
		return;
	if (loop->signals.fd >= 0)
		close(loop->signals.fd);
	if (loop->epoll >= 0)
		close(loop->epoll);
	free(loop);
}

apr_time_t evloop_now(const struct evloop *loop)
{
	return clk_now(loop->clk);
}

int evloop_watch(struct evloop *loop, struct evloop_fd *fd, uint32_t events)
{
	struct epoll_event ev = {.events = events, .data.ptr = fd};

	if (fd->events == events)
		return 0;
	if (epoll_ctl(loop->epoll, fd->events ? EPOLL_CTL_MOD : EPOLL_CTL_ADD,
		      fd->fd, &ev))
		return PST_ERR_IO;
	fd->events = events;
	return 0;
}

void evloop_unwatch(struct evloop *loop, struct evloop_fd *fd)
{
	if (fd->events)
		epoll_ctl(loop->epoll, EPOLL_CTL_DEL, fd->fd, NULL);
	fd->events = 0;
	for (int i = 0; i < loop->batch_count; i++) {
		if (loop->batch[i].data.ptr == fd)
			loop->batch[i].data.ptr = NULL;
	}
}

void evloop_timer_set(struct evloop *loop, struct evloop_timer *timer,
		      apr_time_t at)
{
	struct evloop_timer *after;

	evloop_timer_clear(loop, timer);
	timer->at = at;
	timer->armed = true;
	TAILQ_FOREACH_REVERSE(after, &loop->timers, timer_list, link)
	{
		if (after->at <= at) {
			TAILQ_INSERT_AFTER(&loop->timers, after, timer, link);
			return;
		}
	}
	TAILQ_INSERT_HEAD(&loop->timers, timer, link);
}

void evloop_timer_clear(struct evloop *loop, struct evloop_timer *timer)
{
	if (!timer->armed)
		return;
	TAILQ_REMOVE(&loop->timers, timer, link);
	timer->armed = false;
}

void evloop_run(struct evloop *loop)
{
	int count;

	while (!loop->stopped) {
		count = epoll_wait(loop->epoll, loop->batch, BATCH_EVENTS,
				   wait_ms(loop));
		loop->batch_count = count > 0 ? count : 0;
		dispatch(loop);
		fire_timers(loop);
	}
}

void evloop_stop(struct evloop *loop)
{
	loop->stopped = true;
}
