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

/* Interval between two checks for slow connections. */
#define SCAN_INTERVAL CLK_MS(100)
#define MAX_EVENTS    64
#define MAX_ACCEPTS   64
#define MAX_READS     64

/*
 * Minimum age of a connection that may be evicted, without a complete head, for
 * a new one.
 */
#define MIN_EVICT_AGE CLK_MS(1000)

struct pending_conn {
	TAILQ_ENTRY(pending_conn) link;
	int fd;
	struct net_addr addr;
	/* Time of the accept, or of the answer. */
	apr_time_t since;
	/* Time of the first byte, or 0. */
	apr_time_t first_byte_at;
	/* Answered; further input is discarded. */
	bool closing;
};

TAILQ_HEAD(pending_list, pending_conn);

struct gat {
	const struct settings *set;
	const struct clk *clk;
	struct callers *callers;
	struct MHD_Daemon *daemon;
	int listener;
	int epoll;
	bool accepting;
	/* waiting and closing are ordered by since. */
	struct pending_list waiting;
	struct pending_list closing;
	struct pending_list free_slots;
	/* Array of entry.max_connections; each is on one of the lists. */
	struct pending_conn *slots;
	size_t count;
	char *head_buffer;
	atomic_bool stop;
	pthread_t thread;
};

static void epoll_set(struct gat *gat, int op, int fd, uint32_t events,
		      void *data)
{
	struct epoll_event event = {.events = events, .data.ptr = data};

	epoll_ctl(gat->epoll, op, fd, &event);
}

static void set_accepting(struct gat *gat, bool yes)
{
	if (gat->accepting == yes)
		return;
	gat->accepting = yes;
	epoll_set(gat, EPOLL_CTL_MOD, gat->listener, yes ? EPOLLIN : 0, NULL);
}

static void release_slot(struct gat *gat, struct pending_conn *n)
{
	TAILQ_REMOVE(n->closing ? &gat->closing : &gat->waiting, n, link);
	TAILQ_INSERT_TAIL(&gat->free_slots, n, link);
	gat->count--;
}

static void close_pending(struct gat *gat, struct pending_conn *n)
{
	close(n->fd);
	release_slot(gat, n);
}

/*
 * Reads what a refused caller still sends; with unread input, closing would
 * reset the connection and lose the answer. Returns false at the end of input.
 */
static bool discard_input(struct gat *gat, const struct pending_conn *n)
{
	const size_t size = gat->set->entry.max_header_bytes;
	ssize_t got = 1;

	for (int i = 0; i < MAX_READS && got > 0; i++)
		got = recv(n->fd, gat->head_buffer, size, MSG_DONTWAIT);
	if (got > 0)
		return true;
	return got < 0 && (errno == EAGAIN || errno == EINTR);
}

static void refuse(struct gat *gat, struct pending_conn *n, int err,
		   bool not_run)
{
	const struct problem problem = {
		.status = problem_input_status(err),
		.reason = err,
		.not_run = not_run,
	};

	evt_log(REQ_INPUT_REFUSED, "cause=%s run=%s", err_name(err),
		not_run ? "no" : "unknown");
	problem_send(n->fd, &problem);
	discard_input(gat, n);
	TAILQ_REMOVE(&gat->waiting, n, link);
	n->closing = true;
	n->since = clk_now(gat->clk);
	TAILQ_INSERT_TAIL(&gat->closing, n, link);
}

static void hand_to_daemon(struct gat *gat, struct pending_conn *n)
{
	epoll_set(gat, EPOLL_CTL_DEL, n->fd, 0, NULL);
	MHD_add_connection(gat->daemon, n->fd, (struct sockaddr *)&n->addr.ss,
			   n->addr.len);
	release_slot(gat, n);
}

/* Returns the result of hck_head() for the bytes so far, or PST_ERR_IO. */
static int peek(struct gat *gat, struct pending_conn *n, struct hck *hck)
{
	const size_t limit = gat->set->entry.max_header_bytes;
	const ssize_t got =
		recv(n->fd, gat->head_buffer, limit, MSG_PEEK | MSG_DONTWAIT);

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return HCK_INCOMPLETE;
	if (got <= 0)
		return PST_ERR_IO;
	if (!n->first_byte_at)
		n->first_byte_at = clk_now(gat->clk);
	return hck_head(
		hck, (struct str){.ptr = gat->head_buffer, .len = (size_t)got},
		limit);
}

static void handle_event(struct gat *gat, struct pending_conn *n,
			 uint32_t events)
{
	struct hck hck = {0};
	int err;

	if (n->closing) {
		if (!discard_input(gat, n))
			close_pending(gat, n);
		return;
	}
	err = peek(gat, n, &hck);
	if (!err)
		hand_to_daemon(gat, n);
	else if (err == PST_ERR_IO)
		close_pending(gat, n);
	else if (err != HCK_INCOMPLETE)
		refuse(gat, n, err, hck_not_run(&hck));
	else if (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))
		close_pending(gat, n);
}

static void time_out_head(struct gat *gat, struct pending_conn *n)
{
	struct hck hck = {0};

	if (!n->first_byte_at) {
		close_pending(gat, n);
		return;
	}
	peek(gat, n, &hck);
	refuse(gat, n, PST_ERR_REQ_SLOW, hck_not_run(&hck));
}

/* Returns false if no further connection can be accepted. */
static bool make_room(struct gat *gat)
{
	const apr_time_t now = clk_now(gat->clk);
	struct pending_conn *oldest = TAILQ_FIRST(&gat->waiting);

	if (gat->count + callers_count(gat->callers) <
	    gat->set->entry.max_connections)
		return true;
	if (TAILQ_EMPTY(&gat->closing)) {
		if (!oldest || now - oldest->since < MIN_EVICT_AGE)
			return false;
		time_out_head(gat, oldest);
	}
	if (!TAILQ_EMPTY(&gat->closing))
		close_pending(gat, TAILQ_FIRST(&gat->closing));
	return true;
}

static void add_pending(struct gat *gat, int fd, const struct net_addr *addr)
{
	struct pending_conn *n = TAILQ_FIRST(&gat->free_slots);

	TAILQ_REMOVE(&gat->free_slots, n, link);
	n->fd = fd;
	n->addr = *addr;
	n->since = clk_now(gat->clk);
	n->first_byte_at = 0;
	n->closing = false;
	TAILQ_INSERT_TAIL(&gat->waiting, n, link);
	gat->count++;
	epoll_set(gat, EPOLL_CTL_ADD, fd, EPOLLIN | EPOLLRDHUP | EPOLLET, n);
}

static void accept_new(struct gat *gat)
{
	struct net_addr addr;
	int fd;

	for (int i = 0; i < MAX_ACCEPTS; i++) {
		if (!make_room(gat)) {
			set_accepting(gat, false);
			return;
		}
		addr.len = sizeof(addr.ss);
		fd = accept4(gat->listener, (struct sockaddr *)&addr.ss,
			     &addr.len, SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd >= 0) {
			add_pending(gat, fd, &addr);
			continue;
		}
		/* Out of descriptors: retried at the next scan. */
		if (errno != EAGAIN && errno != ECONNABORTED && errno != EINTR)
			set_accepting(gat, false);
		return;
	}
}

static void scan(struct gat *gat, apr_time_t now)
{
	const struct set_entry *entry = &gat->set->entry;
	struct pending_conn *next;

	for (struct pending_conn *n = TAILQ_FIRST(&gat->closing); n; n = next) {
		next = TAILQ_NEXT(n, link);
		if (now - n->since >= CALLERS_LINGER)
			close_pending(gat, n);
	}
	for (struct pending_conn *n = TAILQ_FIRST(&gat->waiting); n; n = next) {
		next = TAILQ_NEXT(n, link);
		if (n->first_byte_at
			    ? now - n->first_byte_at >=
				      CLK_MS(entry->head_timeout_ms)
			    : now - n->since >= CLK_MS(entry->idle_timeout_ms))
			time_out_head(gat, n);
	}
	callers_scan(gat->callers);
	set_accepting(gat, true);
}

static void *serve(void *arg)
{
	struct gat *gat = arg;
	struct epoll_event events[MAX_EVENTS];
	apr_time_t next_scan = 0;

	while (!gat->stop) {
		const int count = epoll_wait(gat->epoll, events, MAX_EVENTS,
					     (int)(SCAN_INTERVAL / 1000));
		const apr_time_t now = clk_now(gat->clk);
		bool arrivals = false;

		for (int i = 0; i < count; i++) {
			if (events[i].data.ptr)
				handle_event(gat, events[i].data.ptr,
					     events[i].events);
			else
				arrivals = true;
		}
		/* Last, because it may free what an event points to. */
		if (arrivals)
			accept_new(gat);
		if (now < next_scan)
			continue;
		scan(gat, now);
		next_scan = now + SCAN_INTERVAL;
	}
	return NULL;
}

static void release(struct gat *gat)
{
	if (gat->listener >= 0)
		close(gat->listener);
	if (gat->epoll >= 0)
		close(gat->epoll);
	free(gat->head_buffer);
	free(gat->slots);
	free(gat);
}

static int allocate(struct gat *gat)
{
	const size_t count = gat->set->entry.max_connections;

	TAILQ_INIT(&gat->waiting);
	TAILQ_INIT(&gat->closing);
	TAILQ_INIT(&gat->free_slots);
	gat->head_buffer = malloc(gat->set->entry.max_header_bytes);
	gat->slots = calloc(count, sizeof(*gat->slots));
	if (!gat->head_buffer || !gat->slots)
		return PST_ERR_NOMEM;
	for (size_t i = 0; i < count; i++)
		TAILQ_INSERT_TAIL(&gat->free_slots, &gat->slots[i], link);
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
	epoll_set(gat, EPOLL_CTL_ADD, gat->listener, EPOLLIN, NULL);
	gat->accepting = true;
	return 0;
}

int gat_start(struct gat **out, const struct settings *set,
	      const struct clk *clk, struct callers *callers,
	      struct MHD_Daemon *daemon)
{
	struct gat *gat = calloc(1, sizeof(*gat));
	int err;

	if (!gat)
		return PST_ERR_NOMEM;
	gat->set = set;
	gat->clk = clk;
	gat->callers = callers;
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
		close_pending(gat, TAILQ_FIRST(&gat->waiting));
	while (!TAILQ_EMPTY(&gat->closing))
		close_pending(gat, TAILQ_FIRST(&gat->closing));
	release(gat);
}
