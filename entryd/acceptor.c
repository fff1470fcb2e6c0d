#include "entryd/acceptor.h"

#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <sys/epoll.h>
#include <sys/queue.h>
#include <unistd.h>

#include "common/err.h"
#include "common/evt.h"
#include "common/net.h"
#include "entryd/headcheck.h"
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

struct acceptor {
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
	atomic_bool port_closing;
	atomic_bool stop;
	pthread_t thread;
};

static void epoll_set(struct acceptor *acceptor, int op, int fd,
		      uint32_t events, void *data)
{
	struct epoll_event event = {.events = events, .data.ptr = data};

	epoll_ctl(acceptor->epoll, op, fd, &event);
}

static void set_accepting(struct acceptor *acceptor, bool yes)
{
	if (acceptor->accepting == yes || acceptor->listener < 0)
		return;
	acceptor->accepting = yes;
	epoll_set(acceptor, EPOLL_CTL_MOD, acceptor->listener,
		  yes ? EPOLLIN : 0, NULL);
}

static void release_slot(struct acceptor *acceptor, struct pending_conn *n)
{
	TAILQ_REMOVE(n->closing ? &acceptor->closing : &acceptor->waiting, n,
		     link);
	TAILQ_INSERT_TAIL(&acceptor->free_slots, n, link);
	acceptor->count--;
}

static void close_pending(struct acceptor *acceptor, struct pending_conn *n)
{
	close(n->fd);
	release_slot(acceptor, n);
}

/*
 * Reads what a refused caller still sends; with unread input, closing would
 * reset the connection and lose the answer. Returns false at the end of input.
 */
static bool discard_input(struct acceptor *acceptor,
			  const struct pending_conn *n)
{
	const size_t size = acceptor->set->entry.max_header_bytes;
	ssize_t got = 1;

	for (int i = 0; i < MAX_READS && got > 0; i++)
		got = recv(n->fd, acceptor->head_buffer, size, MSG_DONTWAIT);
	if (got > 0)
		return true;
	return got < 0 && (errno == EAGAIN || errno == EINTR);
}

static void refuse(struct acceptor *acceptor, struct pending_conn *n, int err,
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
	discard_input(acceptor, n);
	TAILQ_REMOVE(&acceptor->waiting, n, link);
	n->closing = true;
	n->since = clk_now(acceptor->clk);
	TAILQ_INSERT_TAIL(&acceptor->closing, n, link);
}

static void hand_to_daemon(struct acceptor *acceptor, struct pending_conn *n)
{
	epoll_set(acceptor, EPOLL_CTL_DEL, n->fd, 0, NULL);
	MHD_add_connection(acceptor->daemon, n->fd,
			   (struct sockaddr *)&n->addr.ss, n->addr.len);
	release_slot(acceptor, n);
}

/* Returns the result of headcheck_head() for the bytes so far, or PST_ERR_IO.
 */
static int peek(struct acceptor *acceptor, struct pending_conn *n,
		struct headcheck *headcheck)
{
	const size_t limit = acceptor->set->entry.max_header_bytes;
	const ssize_t got = recv(n->fd, acceptor->head_buffer, limit,
				 MSG_PEEK | MSG_DONTWAIT);

	if (got < 0 && (errno == EAGAIN || errno == EINTR))
		return HEADCHECK_INCOMPLETE;
	if (got <= 0)
		return PST_ERR_IO;
	if (!n->first_byte_at)
		n->first_byte_at = clk_now(acceptor->clk);
	return headcheck_head(
		headcheck,
		(struct str){.ptr = acceptor->head_buffer, .len = (size_t)got},
		limit);
}

static void handle_event(struct acceptor *acceptor, struct pending_conn *n,
			 uint32_t events)
{
	struct headcheck headcheck = {0};
	int err;

	if (n->closing) {
		if (!discard_input(acceptor, n))
			close_pending(acceptor, n);
		return;
	}
	err = peek(acceptor, n, &headcheck);
	if (!err)
		hand_to_daemon(acceptor, n);
	else if (err == PST_ERR_IO)
		close_pending(acceptor, n);
	else if (err != HEADCHECK_INCOMPLETE)
		refuse(acceptor, n, err, headcheck_not_run(&headcheck));
	else if (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR))
		close_pending(acceptor, n);
}

static void time_out_head(struct acceptor *acceptor, struct pending_conn *n)
{
	struct headcheck headcheck = {0};

	if (!n->first_byte_at) {
		close_pending(acceptor, n);
		return;
	}
	peek(acceptor, n, &headcheck);
	refuse(acceptor, n, PST_ERR_REQ_SLOW, headcheck_not_run(&headcheck));
}

/* Returns false if no further connection can be accepted. */
static bool make_room(struct acceptor *acceptor)
{
	const apr_time_t now = clk_now(acceptor->clk);
	struct pending_conn *oldest = TAILQ_FIRST(&acceptor->waiting);

	if (acceptor->count + callers_count(acceptor->callers) <
	    acceptor->set->entry.max_connections)
		return true;
	if (TAILQ_EMPTY(&acceptor->closing)) {
		if (!oldest || now - oldest->since < MIN_EVICT_AGE)
			return false;
		time_out_head(acceptor, oldest);
	}
	if (!TAILQ_EMPTY(&acceptor->closing))
		close_pending(acceptor, TAILQ_FIRST(&acceptor->closing));
	return true;
}

static void add_pending(struct acceptor *acceptor, int fd,
			const struct net_addr *addr)
{
	struct pending_conn *n = TAILQ_FIRST(&acceptor->free_slots);

	TAILQ_REMOVE(&acceptor->free_slots, n, link);
	n->fd = fd;
	n->addr = *addr;
	n->since = clk_now(acceptor->clk);
	n->first_byte_at = 0;
	n->closing = false;
	TAILQ_INSERT_TAIL(&acceptor->waiting, n, link);
	acceptor->count++;
	epoll_set(acceptor, EPOLL_CTL_ADD, fd, EPOLLIN | EPOLLRDHUP | EPOLLET,
		  n);
}

static void accept_new(struct acceptor *acceptor)
{
	struct net_addr addr;
	int fd;

	for (int i = 0; i < MAX_ACCEPTS; i++) {
		if (!make_room(acceptor)) {
			set_accepting(acceptor, false);
			return;
		}
		addr.len = sizeof(addr.ss);
		fd = accept4(acceptor->listener, (struct sockaddr *)&addr.ss,
			     &addr.len, SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd >= 0) {
			add_pending(acceptor, fd, &addr);
			continue;
		}
		/* Out of descriptors: retried at the next scan. */
		if (errno != EAGAIN && errno != ECONNABORTED && errno != EINTR)
			set_accepting(acceptor, false);
		return;
	}
}

/* Takes the connections that have arrived, and no more. */
static void close_port(struct acceptor *acceptor)
{
	accept_new(acceptor);
	close(acceptor->listener);
	acceptor->listener = -1;
}

static void scan(struct acceptor *acceptor, apr_time_t now)
{
	const struct set_entry *entry = &acceptor->set->entry;
	struct pending_conn *next;

	for (struct pending_conn *n = TAILQ_FIRST(&acceptor->closing); n;
	     n = next) {
		next = TAILQ_NEXT(n, link);
		if (now - n->since >= CALLERS_LINGER)
			close_pending(acceptor, n);
	}
	for (struct pending_conn *n = TAILQ_FIRST(&acceptor->waiting); n;
	     n = next) {
		next = TAILQ_NEXT(n, link);
		if (n->first_byte_at
			    ? now - n->first_byte_at >=
				      CLK_MS(entry->head_timeout_ms)
			    : now - n->since >= CLK_MS(entry->idle_timeout_ms))
			time_out_head(acceptor, n);
	}
	callers_scan(acceptor->callers);
	set_accepting(acceptor, true);
}

static void *serve(void *arg)
{
	struct acceptor *acceptor = arg;
	struct epoll_event events[MAX_EVENTS];
	apr_time_t next_scan = 0;

	while (!acceptor->stop) {
		const int count =
			epoll_wait(acceptor->epoll, events, MAX_EVENTS,
				   (int)(SCAN_INTERVAL / 1000));
		const apr_time_t now = clk_now(acceptor->clk);
		bool arrivals = false;

		for (int i = 0; i < count; i++) {
			if (events[i].data.ptr)
				handle_event(acceptor, events[i].data.ptr,
					     events[i].events);
			else
				arrivals = true;
		}
		/* Last, because it may free what an event points to. */
		if (arrivals && acceptor->listener >= 0)
			accept_new(acceptor);
		if (acceptor->port_closing && acceptor->listener >= 0)
			close_port(acceptor);
		if (now < next_scan)
			continue;
		scan(acceptor, now);
		next_scan = now + SCAN_INTERVAL;
	}
	return NULL;
}

static void release(struct acceptor *acceptor)
{
	if (acceptor->listener >= 0)
		close(acceptor->listener);
	if (acceptor->epoll >= 0)
		close(acceptor->epoll);
	free(acceptor->head_buffer);
	free(acceptor->slots);
	free(acceptor);
}

static int allocate(struct acceptor *acceptor)
{
	const size_t count = acceptor->set->entry.max_connections;

	TAILQ_INIT(&acceptor->waiting);
	TAILQ_INIT(&acceptor->closing);
	TAILQ_INIT(&acceptor->free_slots);
	acceptor->head_buffer = malloc(acceptor->set->entry.max_header_bytes);
	acceptor->slots = calloc(count, sizeof(*acceptor->slots));
	if (!acceptor->head_buffer || !acceptor->slots)
		return PST_ERR_NOMEM;
	for (size_t i = 0; i < count; i++)
		TAILQ_INSERT_TAIL(&acceptor->free_slots, &acceptor->slots[i],
				  link);
	return 0;
}

static int listen_on(struct acceptor *acceptor)
{
	const struct settings *set = acceptor->set;

	acceptor->listener =
		net_listen(set->vm.address, (uint16_t)set->entry.port);
	acceptor->epoll = epoll_create1(EPOLL_CLOEXEC);
	if (acceptor->listener < 0 || acceptor->epoll < 0)
		return PST_ERR_HTTP;
	if (fcntl(acceptor->listener, F_SETFL, O_NONBLOCK))
		return PST_ERR_HTTP;
	epoll_set(acceptor, EPOLL_CTL_ADD, acceptor->listener, EPOLLIN, NULL);
	acceptor->accepting = true;
	return 0;
}

int acceptor_start(struct acceptor **out, const struct settings *set,
		   const struct clk *clk, struct callers *callers,
		   struct MHD_Daemon *daemon)
{
	struct acceptor *acceptor = calloc(1, sizeof(*acceptor));
	int err;

	if (!acceptor)
		return PST_ERR_NOMEM;
	acceptor->set = set;
	acceptor->clk = clk;
	acceptor->callers = callers;
	acceptor->daemon = daemon;
	acceptor->listener = -1;
	acceptor->epoll = -1;
	err = allocate(acceptor);
	if (!err)
		err = listen_on(acceptor);
	if (!err && pthread_create(&acceptor->thread, NULL, serve, acceptor))
		err = PST_ERR_THREAD;
	if (err) {
		release(acceptor);
		return err;
	}
	*out = acceptor;
	return 0;
}

void acceptor_close_port(struct acceptor *acceptor)
{
	acceptor->port_closing = true;
}

void acceptor_stop(struct acceptor *acceptor)
{
	acceptor->stop = true;
	pthread_join(acceptor->thread, NULL);
	while (!TAILQ_EMPTY(&acceptor->waiting))
		close_pending(acceptor, TAILQ_FIRST(&acceptor->waiting));
	while (!TAILQ_EMPTY(&acceptor->closing))
		close_pending(acceptor, TAILQ_FIRST(&acceptor->closing));
	release(acceptor);
}
