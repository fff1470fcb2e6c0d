#include "entryd/gate.h"

#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/queue.h>
#include <unistd.h>

#include "common/err.h"
#include "common/evt.h"
#include "common/net.h"
#include "entryd/hck.h"
#include "entryd/problem.h"

#define LOG_MODULE "entry.gate"

/* Between two looks at who is too slow. */
#define SCAN	    CLK_MS(100)
#define EVENTS	    64
#define MAX_ACCEPTS 64
#define MAX_READS   64

/* A head that is due for less is not given up for a new connection. */
#define EVICT_AGE CLK_MS(1000)

struct newcomer {
	TAILQ_ENTRY(newcomer) link;
	int fd;
	struct net_addr addr;
	apr_time_t since;
	/* Time of the first byte, or 0. */
	apr_time_t began;
	/* Answered; what still comes is dropped. */
	bool closing;
};

TAILQ_HEAD(newcomers, newcomer);

struct gat {
	const struct settings *set;
	const struct clk *clk;
	struct pac *pac;
	struct MHD_Daemon *daemon;
	int listener;
	int epoll;
	bool accepting;
	/* In order of since. */
	struct newcomers waiting;
	struct newcomers closing;
	struct newcomers spare;
	/* entry.max_connections of them, each on one of the lists. */
	struct newcomer *slots;
	size_t count;
	char *scratch;
	atomic_bool stop;
	pthread_t thread;
};

static void watch(struct gat *gat, int op, int fd, uint32_t events, void *data)
{
	struct epoll_event event = {.events = events, .data.ptr = data};

	epoll_ctl(gat->epoll, op, fd, &event);
}

static void accept_more(struct gat *gat, bool yes)
{
	if (gat->accepting == yes)
		return;
	gat->accepting = yes;
	watch(gat, EPOLL_CTL_MOD, gat->listener, yes ? EPOLLIN : 0, NULL);
}

static void forget(struct gat *gat, struct newcomer *n)
{
	TAILQ_REMOVE(n->closing ? &gat->closing : &gat->waiting, n, link);
	TAILQ_INSERT_TAIL(&gat->spare, n, link);
	gat->count--;
}

static void drop(struct gat *gat, struct newcomer *n)
{
	close(n->fd);
	forget(gat, n);
}

/*
 * Reads what a refused caller still sends, lest its answer be reset.
 * Returns false once nothing more can come.
 */
static bool drain(struct gat *gat, const struct newcomer *n)
{
	const size_t size = gat->set->entry.max_header_bytes;
	ssize_t got = 1;

	for (int i = 0; i < MAX_READS && got > 0; i++)
		got = recv(n->fd, gat->scratch, size, MSG_DONTWAIT);
	if (got > 0)
		return true;
	return got < 0 && (errno == EAGAIN || errno == EINTR);
}

static void refuse(struct gat *gat, struct newcomer *n, int err, bool not_run)
{
	const struct problem problem = {
		.status = problem_input_status(err),
		.reason = err,
		.not_run = not_run,
	};

	evt_log(REQ_INPUT_REFUSED, "cause=%s run=%s", err_name(err),
		not_run ? "no" : "unknown");
	problem_send(n->fd, &problem);
	drain(gat, n);
	TAILQ_REMOVE(&gat->waiting, n, link);
	n->closing = true;
	n->since = clk_now(gat->clk);
	TAILQ_INSERT_TAIL(&gat->closing, n, link);
}

static void hand_over(struct gat *gat, struct newcomer *n)
{
	watch(gat, EPOLL_CTL_DEL, n->fd, 0, NULL);
	MHD_add_connection(gat->daemon, n->fd, (struct sockaddr *)&n->addr.ss,
			   n->addr.len);
	forget(gat, n);
}

/* Returns what hck_head() says of the bytes so far, or PST_ERR_IO. */
static int peek(struct gat *gat, struct newcomer *n, struct hck *hck)
{
	const size_t limit = gat->set->entry.max_header_bytes;
	const ssize_t got =
		recv(n->fd, gat->scratch, limit, MSG_PEEK | MSG_DONTWAIT);

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return HCK_PART;
	if (got <= 0)
		return PST_ERR_IO;
	if (!n->began)
		n->began = clk_now(gat->clk);
	return hck_head(hck,
			(struct str){.ptr = gat->scratch, .len = (size_t)got},
			limit);
}

static void look(struct gat *gat, struct newcomer *n, uint32_t events)
{
	struct hck hck = {0};
	int err;

	if (n->closing) {
		if (!drain(gat, n))
			drop(gat, n);
		return;
	}
	err = peek(gat, n, &hck);
	if (!err)
		hand_over(gat, n);
	else if (err == PST_ERR_IO)
		drop(gat, n);
	else if (err != HCK_PART)
		refuse(gat, n, err, hck_not_run(&hck));
	else if (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))
		drop(gat, n);
}

static void give_up_head(struct gat *gat, struct newcomer *n)
{
	struct hck hck = {0};

	if (!n->began) {
		drop(gat, n);
		return;
	}
	peek(gat, n, &hck);
	refuse(gat, n, PST_ERR_REQ_SLOW, hck_not_run(&hck));
}

/* Returns false when there is room for no other connection. */
static bool make_room(struct gat *gat)
{
	const apr_time_t now = clk_now(gat->clk);
	struct newcomer *oldest = TAILQ_FIRST(&gat->waiting);

	if (gat->count + pac_count(gat->pac) < gat->set->entry.max_connections)
		return true;
	if (TAILQ_EMPTY(&gat->closing)) {
		if (!oldest || now - oldest->since < EVICT_AGE)
			return false;
		give_up_head(gat, oldest);
	}
	if (!TAILQ_EMPTY(&gat->closing))
		drop(gat, TAILQ_FIRST(&gat->closing));
	return true;
}

static void admit(struct gat *gat, int fd, const struct net_addr *addr)
{
	struct newcomer *n = TAILQ_FIRST(&gat->spare);

	TAILQ_REMOVE(&gat->spare, n, link);
	n->fd = fd;
	n->addr = *addr;
	n->since = clk_now(gat->clk);
	n->began = 0;
	n->closing = false;
	TAILQ_INSERT_TAIL(&gat->waiting, n, link);
	gat->count++;
	watch(gat, EPOLL_CTL_ADD, fd, EPOLLIN | EPOLLRDHUP | EPOLLET, n);
}

static void accept_new(struct gat *gat)
{
	struct net_addr addr;
	int fd;

	for (int i = 0; i < MAX_ACCEPTS; i++) {
		if (!make_room(gat)) {
			accept_more(gat, false);
			return;
		}
		addr.len = sizeof(addr.ss);
		fd = accept4(gat->listener, (struct sockaddr *)&addr.ss,
			     &addr.len, SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd >= 0) {
			admit(gat, fd, &addr);
			continue;
		}
		/* Out of descriptors: again at the next scan. */
		if (errno != EAGAIN && errno != ECONNABORTED && errno != EINTR)
			accept_more(gat, false);
		return;
	}
}

static void scan(struct gat *gat, apr_time_t now)
{
	const struct set_entry *entry = &gat->set->entry;
	struct newcomer *next;

	for (struct newcomer *n = TAILQ_FIRST(&gat->closing); n; n = next) {
		next = TAILQ_NEXT(n, link);
		if (now - n->since >= PAC_LINGER)
			drop(gat, n);
	}
	for (struct newcomer *n = TAILQ_FIRST(&gat->waiting); n; n = next) {
		next = TAILQ_NEXT(n, link);
		if (n->began ? now - n->began >= CLK_MS(entry->head_timeout_ms)
			     : now - n->since >= CLK_MS(entry->idle_timeout_ms))
			give_up_head(gat, n);
	}
	pac_scan(gat->pac);
	accept_more(gat, true);
}

static void *serve(void *arg)
{
	struct gat *gat = arg;
	struct epoll_event events[EVENTS];
	apr_time_t next_scan = 0;

	while (!gat->stop) {
		const int count = epoll_wait(gat->epoll, events, EVENTS,
					     (int)(SCAN / 1000));
		const apr_time_t now = clk_now(gat->clk);
		bool arrivals = false;

		for (int i = 0; i < count; i++) {
			if (events[i].data.ptr)
				look(gat, events[i].data.ptr, events[i].events);
			else
				arrivals = true;
		}
		/* Last, since it may end what an event points to. */
		if (arrivals)
			accept_new(gat);
		if (now < next_scan)
			continue;
		scan(gat, now);
		next_scan = now + SCAN;
	}
	return NULL;
}

static void release(struct gat *gat)
{
	if (gat->listener >= 0)
		close(gat->listener);
	if (gat->epoll >= 0)
		close(gat->epoll);
	free(gat->scratch);
	free(gat->slots);
	free(gat);
}

static int allocate(struct gat *gat)
{
	const size_t count = gat->set->entry.max_connections;

	TAILQ_INIT(&gat->waiting);
	TAILQ_INIT(&gat->closing);
	TAILQ_INIT(&gat->spare);
	gat->scratch = malloc(gat->set->entry.max_header_bytes);
	gat->slots = calloc(count, sizeof(*gat->slots));
	if (!gat->scratch || !gat->slots)
		return PST_ERR_NOMEM;
	for (size_t i = 0; i < count; i++)
		TAILQ_INSERT_TAIL(&gat->spare, &gat->slots[i], link);
	return 0;
}

static int listen_on(struct gat *gat)
{
	const struct settings *set = gat->set;

	gat->listener = net_listen(set->vm.address, (uint16_t)set->entry.port);
	gat->epoll = epoll_create1(EPOLL_CLOEXEC);
	if (gat->listener < 0 || gat->epoll < 0)
		return PST_ERR_HTTP;
	if (fcntl(gat->listener, F_SETFL, O_NONBLOCK))
		return PST_ERR_HTTP;
	watch(gat, EPOLL_CTL_ADD, gat->listener, EPOLLIN, NULL);
	gat->accepting = true;
	return 0;
}

int gat_start(struct gat **out, const struct settings *set,
	      const struct clk *clk, struct pac *pac, struct MHD_Daemon *daemon)
{
	struct gat *gat = calloc(1, sizeof(*gat));
	int err;

	if (!gat)
		return PST_ERR_NOMEM;
	gat->set = set;
	gat->clk = clk;
	gat->pac = pac;
	gat->daemon = daemon;
	gat->listener = -1;
	gat->epoll = -1;
	err = allocate(gat);
	if (!err)
		err = listen_on(gat);
	if (!err && pthread_create(&gat->thread, NULL, serve, gat))
		err = PST_ERR_THREAD;
	if (err) {
		release(gat);
		return err;
	}
	*out = gat;
	return 0;
}

void gat_stop(struct gat *gat)
{
	gat->stop = true;
	pthread_join(gat->thread, NULL);
	while (!TAILQ_EMPTY(&gat->waiting))
		drop(gat, TAILQ_FIRST(&gat->waiting));
	while (!TAILQ_EMPTY(&gat->closing))
		drop(gat, TAILQ_FIRST(&gat->closing));
	release(gat);
}
