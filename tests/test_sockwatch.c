#include <check.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "steerd/sock.h"
#include "steerd/sockwatch.h"
#include "tests/fix_run.h"

#define WINDOW_BYTES 4096
#define BYTES	     60000

/* A connection over loopback whose peer has a small receive buffer. */
struct world {
	struct ev_loop *loop;
	struct sockwatch watch;
	struct sockwatch_item item;
	int peer;
	int fd;
};

static void world_open(struct world *w)
{
	struct sockaddr_in addr = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	const int window = WINDOW_BYTES;
	socklen_t len = sizeof(addr);
	int listener;

	*w = (struct world){.loop = ev_loop_new(0)};
	listener = sock_listen(&addr);
	ck_assert_int_ge(listener, 0);
	getsockname(listener, (struct sockaddr *)&addr, &len);
	w->peer = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(w->peer, SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
	ck_assert_int_eq(connect(w->peer, (struct sockaddr *)&addr, len), 0);
	fcntl(w->peer, F_SETFL, O_NONBLOCK);
	w->fd = sock_accept(listener);
	ck_assert_int_ge(w->fd, 0);
	close(listener);
}

static void world_close(struct world *w)
{
	sockwatch_drop(&w->watch, &w->item);
	close(w->fd);
	close(w->peer);
	ev_loop_destroy(w->loop);
}

static void put(struct world *w, size_t count)
{
	static const char bytes[BYTES];

	ck_assert_int_eq(
		sock_write(w->fd, (struct str){.ptr = bytes, .len = count}),
		(int)count);
	sockwatch_written(&w->watch, w->loop, &w->item, w->fd);
}

static void on_end(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static void run_for(struct world *w, double seconds)
{
	struct ev_timer timer;

	ev_timer_init(&timer, on_end, seconds, 0);
	ev_timer_start(w->loop, &timer);
	ev_run(w->loop, 0);
	ev_timer_stop(w->loop, &timer);
}

/* Reads what there is; returns its size, or -1 after a reset. */
static ssize_t take(struct world *w)
{
	char bytes[BYTES];
	ssize_t sum = 0;
	ssize_t n;

	while ((n = read(w->peer, bytes, sizeof(bytes))) > 0)
		sum += n;
	return n < 0 && errno != EAGAIN ? -1 : sum;
}

static int user_timeout(const struct world *w)
{
	socklen_t len = sizeof(int);
	int value = -1;

	getsockopt(w->fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &value, &len);
	return value;
}

/*
 * Guards against a reset of a peer that reads nothing for longer than the user
 * time-out, and against an option that stays off when it reads on.
 */
START_TEST(a_peer_that_stops_reading_is_kept)
{
	struct world w;
	ssize_t got = 0;

	world_open(&w);
	ck_assert_int_eq(user_timeout(&w), SOCK_USER_TIMEOUT_MS);
	put(&w, BYTES);
	run_for(&w, 2.2);
	ck_assert_int_eq(sock_output(w.fd), SOCK_OUTPUT_NOT_TAKEN);
	ck_assert_int_eq(user_timeout(&w), 0);
	run_for(&w, 4.5);
	for (int i = 0; i < 400 && got < BYTES; i++) {
		const ssize_t n = take(&w);

		ck_assert_int_ge(n, 0);
		got += n;
		run_for(&w, 0.02);
	}
	ck_assert_int_eq(got, BYTES);
	run_for(&w, 2.2);
	ck_assert_int_eq(user_timeout(&w), SOCK_USER_TIMEOUT_MS);
	ck_assert(!w.item.is_watched);
	world_close(&w);
}
END_TEST

/* Guards against a timer that runs on, or an item that is in use after that. */
START_TEST(a_connection_with_nothing_under_way_is_dropped)
{
	struct world w;

	world_open(&w);
	put(&w, 100);
	put(&w, 100);
	ck_assert(w.item.is_watched);
	run_for(&w, 2.2);
	ck_assert(!w.item.is_watched);
	ck_assert(!ev_is_active(&w.watch.timer));
	ck_assert_int_eq(user_timeout(&w), SOCK_USER_TIMEOUT_MS);
	put(&w, 100);
	ck_assert(ev_is_active(&w.watch.timer));
	sockwatch_drop(&w.watch, &w.item);
	sockwatch_drop(&w.watch, &w.item);
	ck_assert(!ev_is_active(&w.watch.timer));
	world_close(&w);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("peers that stop reading");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, a_peer_that_stops_reading_is_kept);
	tcase_add_test(tc, a_connection_with_nothing_under_way_is_dropped);
	return fix_run("sockwatch", tc);
}
