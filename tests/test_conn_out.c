/* Connections whose callers read large answers slowly, or not at all. */
#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clk.h"
#include "steerd/conn.h"
#include "tests/fix_conn.h"
#include "tests/fix_run.h"

#define ANSWER_BYTES (16UL << 20)
#define LIMIT	     (24UL << 20)

#define GET	     "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
#define GET_CLOSE    "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"

static char body[ANSWER_BYTES];

/* Answers each request at once, or refuses it for want of room. */
static void on_request(void *ctx, struct srv_req *req)
{
	int *refused = ctx;

	if (srv_admits(req, 1000)) {
		srv_answer(req, 200, STR_LIT("OK"), STR_LIT(""),
			   (struct str){.ptr = body, .len = sizeof(body)});
		return;
	}
	(*refused)++;
	srv_answer(req, 503, STR_LIT("Service Unavailable"), STR_LIT(""),
		   STR_LIT(""));
}

static void on_gone(void *ctx, struct srv_req *req, enum srv_end end)
{
	(void)ctx;
	(void)req;
	(void)end;
}

static void server_init(struct srv *srv, int *refused)
{
	static const struct srv_ops ops = {
		.request = on_request,
		.gone = on_gone,
		.logs_answers = true,
	};

	*refused = 0;
	*srv = (struct srv){
		.loop = ev_loop_new(0),
		.clk = clk_system(),
		.ops = &ops,
		.ctx = refused,
		.limits = {.max_header = 4096,
			   .max_body = 65536,
			   .header_timeout = CLK_SEC(1),
			   .idle_timeout = CLK_SEC(1)},
		.max_held = SIZE_MAX,
		.outquota = {.limit = LIMIT},
		.max_conns = 8,
	};
	fix_conn_listen(srv);
}

static void server_free(struct srv *srv)
{
	srv_close(srv);
	ck_assert_uint_eq(srv->conn_count, 0);
	ck_assert_uint_eq(srv->req_count, 0);
	ck_assert_uint_eq(srv->held, 0);
	ck_assert_uint_eq(srv->outquota.used, 0);
	ev_loop_destroy(srv->loop);
}

static int call(struct srv *srv, const char *text)
{
	const int fd = fix_conn_call(srv, 65536);

	ck_assert_int_eq((int)write(fd, text, strlen(text)), (int)strlen(text));
	return fd;
}

static void turn(struct srv *srv, apr_interval_time_t time)
{
	const apr_time_t begun = clk_now(srv->clk);

	do {
		ev_run(srv->loop, EVRUN_NOWAIT);
		usleep(1000);
	} while (clk_now(srv->clk) - begun < time);
}

/* The first connection's request evicts the one that the stop drains next. */
START_TEST(stop_evicts_the_connection_that_it_drains_next)
{
	struct srv srv;
	int refused;
	int idle;
	int stalled;
	int other;

	server_init(&srv, &refused);
	idle = call(&srv, "");
	turn(&srv, CLK_MS(20));
	stalled = call(&srv, GET);
	turn(&srv, CLK_MS(200));
	/* The first look at what it takes; a second one is needed. */
	other = call(&srv, GET);
	turn(&srv, CLK_MS(20));
	close(other);
	turn(&srv, CLK_MS(600));
	ck_assert_int_eq(refused, 1);
	ck_assert_uint_eq(srv.conn_count, 2);
	ck_assert_uint_gt(srv.outquota.used, LIMIT);
	ck_assert_int_eq((int)write(idle, GET, strlen(GET)), (int)strlen(GET));
	usleep(1000);
	srv_drain(&srv);
	turn(&srv, CLK_MS(20));
	ck_assert_int_eq(refused, 1);
	ck_assert_uint_eq(srv.conn_count, 1);
	close(idle);
	close(stalled);
	server_free(&srv);
}
END_TEST

/* The kernel's buffer empties too slowly for a write in each idle time-out. */
START_TEST(large_answer_read_slowly_is_not_idle)
{
	static char part[8192];
	struct srv srv;
	int refused;
	size_t got = 0;
	ssize_t n = 0;
	int fd;

	server_init(&srv, &refused);
	fd = call(&srv, GET);
	/* Three idle time-outs at some 400 kB/s, then at once. */
	for (int i = 0; i < 150; i++) {
		turn(&srv, CLK_MS(20));
		n = read(fd, part, sizeof(part));
		got += n > 0 ? (size_t)n : 0;
	}
	for (int i = 0; i < 100000 && got < ANSWER_BYTES && n; i++) {
		ev_run(srv.loop, EVRUN_NOWAIT);
		n = read(fd, part, sizeof(part));
		got += n > 0 ? (size_t)n : 0;
		if (n < 0)
			usleep(100);
	}
	ck_assert_msg(got > ANSWER_BYTES, "%zu of %lu bytes", got,
		      ANSWER_BYTES);
	close(fd);
	server_free(&srv);
}
END_TEST

/* The idle time-out never passed behind an answer that closes. */
START_TEST(last_answer_that_nobody_reads_times_out)
{
	struct srv srv;
	int refused;
	int fd;

	server_init(&srv, &refused);
	fd = call(&srv, GET_CLOSE);
	turn(&srv, CLK_MS(3500));
	ck_assert_uint_eq(srv.conn_count, 0);
	close(fd);
	server_free(&srv);
}
END_TEST

/* No write for half a second, while the kernel sends, counted as not reading.
 */
START_TEST(caller_that_reads_slowly_is_not_evicted)
{
	static char part[8192];
	struct srv srv;
	int refused;
	int slow;
	int other;

	server_init(&srv, &refused);
	slow = call(&srv, GET);
	for (int i = 0; i < 75; i++) {
		turn(&srv, CLK_MS(20));
		(void)!read(slow, part, sizeof(part));
		if (i % 5 || i < 35)
			continue;
		other = call(&srv, GET);
		turn(&srv, CLK_MS(5));
		close(other);
	}
	ck_assert_uint_eq(srv.conn_count, 1);
	ck_assert_int_gt(refused, 0);
	ck_assert_uint_gt(srv.outquota.used, LIMIT);
	close(slow);
	server_free(&srv);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("conn_out");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, stop_evicts_the_connection_that_it_drains_next);
	tcase_add_test(tc, large_answer_read_slowly_is_not_idle);
	tcase_add_test(tc, last_answer_that_nobody_reads_times_out);
	tcase_add_test(tc, caller_that_reads_slowly_is_not_evicted);
	return fix_run("conn_out", tc);
}
