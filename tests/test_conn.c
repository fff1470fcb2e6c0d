/* Requests sent ahead on one connection, cut and answered in many ways. */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clk.h"
#include "common/evt.h"
#include "steerd/conn.h"
#include "tests/fix_conn.h"
#include "tests/fix_run.h"

#define MAX_REQS 256

/* A server with one connection, whose handler keeps requests until told. */
struct world {
	struct srv srv;
	int fd;
	struct srv_req *open[MAX_REQS];
	int open_count;
	int taken;
	int gone;
	/* Why the last one was gone. */
	enum srv_end end;
	int most_open;
	/* What the caller has received. */
	char got[MAX_REQS * 128];
	size_t got_len;
	bool closed;
};

static void on_request(void *ctx, struct srv_req *req)
{
	struct world *w = ctx;

	w->open[w->open_count++] = req;
	w->taken++;
	if (w->open_count > w->most_open)
		w->most_open = w->open_count;
}

static void on_gone(void *ctx, struct srv_req *req, enum srv_end end)
{
	struct world *w = ctx;

	w->end = end;
	for (int i = 0; i < w->open_count; i++) {
		if (w->open[i] == req)
			w->open[i] = w->open[--w->open_count];
	}
	w->gone++;
}

static const struct srv_ops ops = {.request = on_request, .gone = on_gone};

static void world_init(struct world *w)
{
	int fds[2];

	memset(w, 0, sizeof(*w));
	w->srv = (struct srv){
		.loop = ev_loop_new(0),
		.clk = clk_system(),
		.ops = &ops,
		.ctx = w,
		.limits = {.max_header = 4096,
			   .max_body = 65536,
			   .header_timeout = CLK_SEC(2),
			   .idle_timeout = CLK_SEC(4)},
		.max_held = 1 << 20,
		.outquota.limit = 1 << 30,
		.max_conns = 4,
	};
	TAILQ_INIT(&w->srv.conns);
	ck_assert_int_eq(
		socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, fds), 0);
	w->fd = fds[0];
	conn_new(&w->srv, fds[1]);
}

static void world_free(struct world *w)
{
	struct srv_conn *conn = TAILQ_FIRST(&w->srv.conns);

	if (conn)
		conn_free(conn, SRV_END_STOP_CUT);
	close(w->fd);
	ev_loop_destroy(w->srv.loop);
}

static void turn(struct world *w)
{
	ssize_t n;

	for (int i = 0; i < 4; i++)
		ev_run(w->srv.loop, EVRUN_NOWAIT);
	while ((n = read(w->fd, w->got + w->got_len,
			 sizeof(w->got) - w->got_len)) > 0)
		w->got_len += (size_t)n;
	w->closed = w->closed || n == 0;
}

/* Writes what the socket takes; returns the count. */
static size_t put(struct world *w, const char *text, size_t len)
{
	const ssize_t n = write(w->fd, text, len);

	return n > 0 ? (size_t)n : 0;
}

static void put_all(struct world *w, const char *text, size_t len)
{
	ck_assert_uint_eq(put(w, text, len), len);
	turn(w);
}

/* Answers one of the open requests, by its index, with its target. */
static void answer(struct world *w, int index)
{
	struct srv_req *req = w->open[index];
	const struct str target = msg_target(&req->msg);
	char body[64];

	snprintf(body, sizeof(body), "[%.*s]", STR_ARG(target));
	w->open[index] = w->open[--w->open_count];
	srv_answer(req, 200, STR_LIT("OK"), STR_LIT(""), str_from_c(body));
}

/* Answers all that comes, a random one of the open requests at a time. */
static void answer_all(struct world *w, unsigned *seed)
{
	turn(w);
	while (w->open_count) {
		answer(w, rand_r(seed) % w->open_count);
		turn(w);
	}
}

static size_t requests(char *out, size_t size, int count)
{
	size_t len = 0;

	for (int i = 0; i < count; i++)
		len += (size_t)snprintf(out + len, size - len,
					"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n",
					i);
	return len;
}

/* Each request is answered once, in the order of the requests. */
static void check_answers(const struct world *w, int count)
{
	const char *at = w->got;
	char body[32];

	for (int i = 0; i < count; i++) {
		snprintf(body, sizeof(body), "[/%d]", i);
		at = strstr(at, body);
		ck_assert_msg(at, "%d of %d: no answer", i, count);
		at += strlen(body);
	}
	ck_assert_ptr_null(strchr(at, '['));
	ck_assert_int_eq(w->taken, count);
	ck_assert_int_le(w->most_open, 16);
}

START_TEST(any_number_in_one_write)
{
	char text[MAX_REQS * 64];
	unsigned seed = 1;

	for (int count = 1; count <= 200; count++) {
		const size_t len = requests(text, sizeof(text), count);
		struct world w;

		world_init(&w);
		put_all(&w, text, len);
		answer_all(&w, &seed);
		check_answers(&w, count);
		world_free(&w);
	}
}
END_TEST

/* The first write ends before, in and after each byte of a boundary. */
START_TEST(any_number_in_two_writes)
{
	char text[MAX_REQS * 64];
	unsigned seed = 2;

	for (int count = 2; count <= 200; count += 11) {
		const size_t len = requests(text, sizeof(text), count);
		const char *middle = strstr(text + len / 2, "GET");
		const size_t from = (size_t)(middle - text) - 6;

		for (size_t cut = from; cut <= from + 12; cut++) {
			struct world w;

			world_init(&w);
			put_all(&w, text, cut);
			if (cut % 2)
				answer_all(&w, &seed);
			put_all(&w, text + cut, len - cut);
			answer_all(&w, &seed);
			check_answers(&w, count);
			world_free(&w);
		}
	}
}
END_TEST

START_TEST(cut_at_each_byte)
{
	char text[MAX_REQS * 64];
	const size_t len = requests(text, sizeof(text), 20);
	unsigned seed = 3;

	for (size_t cut = 1; cut < len; cut++) {
		struct world w;

		world_init(&w);
		put_all(&w, text, cut);
		put_all(&w, text + cut, len - cut);
		answer_all(&w, &seed);
		check_answers(&w, 20);
		world_free(&w);
	}
}
END_TEST

/* A request that is no GET waits for those before it, and is not forgotten. */
START_TEST(unsafe_requests_among_many)
{
	static const char post[] = "POST /%d HTTP/1.1\r\nHost: h\r\n"
				   "Content-Length: 3\r\n\r\nabc";
	char text[MAX_REQS * 96];
	unsigned seed = 4;
	size_t len = 0;
	struct world w;

	world_init(&w);
	for (int i = 0; i < 100; i++)
		len += (size_t)snprintf(
			text + len, sizeof(text) - len,
			i % 7 ? "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n" : post,
			i);
	put_all(&w, text, len);
	answer_all(&w, &seed);
	check_answers(&w, 100);
	world_free(&w);
}
END_TEST

/* The caller waits by TCP: what is not read stays in the kernel's buffer. */
START_TEST(input_is_bounded)
{
	char text[MAX_REQS * 64];
	const size_t len = requests(text, sizeof(text), 200);
	size_t written = 0;
	struct world w;

	world_init(&w);
	for (int i = 0; i < 400; i++) {
		written += put(&w, text, len);
		turn(&w);
	}
	ck_assert_uint_lt(written, len * 400);
	ck_assert_uint_lt(TAILQ_FIRST(&w.srv.conns)->in.cap, 65536);
	ck_assert_int_eq(w.most_open, 16);
	world_free(&w);
}
END_TEST

/* A caller that leaves is noticed while nothing is read from it. */
START_TEST(caller_leaves_while_many_are_pending)
{
	char text[MAX_REQS * 64];
	const size_t len = requests(text, sizeof(text), 200);
	const apr_time_t begun = clk_now(clk_system());
	struct world w;

	world_init(&w);
	put_all(&w, text, len);
	put_all(&w, text, len);
	ck_assert_int_eq(w.open_count, 16);
	shutdown(w.fd, SHUT_WR);
	while (!w.gone && clk_now(clk_system()) - begun < CLK_SEC(2))
		ev_run(w.srv.loop, EVRUN_ONCE);
	ck_assert_int_eq(w.gone, 16);
	ck_assert_int_lt(clk_now(clk_system()) - begun, CLK_MS(500));
	world_free(&w);
}
END_TEST

/* A stop answers what was passed on, and runs nothing that was sent behind. */
START_TEST(stop_while_many_are_pending)
{
	char text[MAX_REQS * 64];
	const size_t len = requests(text, sizeof(text), 100);
	unsigned seed = 5;
	struct world w;

	world_init(&w);
	put_all(&w, text, len);
	srv_drain(&w.srv);
	answer_all(&w, &seed);
	turn(&w);
	check_answers(&w, 16);
	ck_assert(w.closed);
	world_free(&w);
}
END_TEST

/* A server that stops, on a TCP socket, with one connection of a caller. */
static void stop_world_init(struct world *w, unsigned max_conns)
{
	static const struct srv_ops logging = {
		.request = on_request,
		.gone = on_gone,
		.logs_answers = true,
	};

	world_init(w);
	conn_free(TAILQ_FIRST(&w->srv.conns), SRV_END_STOP_CUT);
	close(w->fd);
	w->srv.ops = &logging;
	w->srv.max_conns = max_conns;
	w->srv.limits.header_timeout = CLK_MS(100);
	w->srv.limits.idle_timeout = CLK_MS(100);
	fix_conn_listen(&w->srv);
	w->srv.stopping = true;
}

/* Returns a new caller's descriptor. */
static int call(struct world *w)
{
	return fix_conn_call(&w->srv, 4096);
}

#define GET(target, more) "GET " target " HTTP/1.1\r\nHost: h\r\n" more "\r\n"

/* Why the connection ended, which has to be the only one that did. */
static enum srv_end wait_end(struct world *w)
{
	const apr_time_t begun = clk_now(clk_system());
	enum srv_end found = SRV_ENDS;

	while (found == SRV_ENDS &&
	       clk_now(clk_system()) - begun < CLK_SEC(5)) {
		ev_run(w->srv.loop, EVRUN_NOWAIT);
		usleep(1000);
		for (int i = 0; i < SRV_ENDS; i++)
			found = w->srv.ends.conns[i] ? (enum srv_end)i : found;
	}
	return found;
}

static void reset(struct world *w)
{
	const struct linger none = {.l_onoff = 1};

	setsockopt(w->fd, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
	close(w->fd);
	w->fd = -1;
}

static void leave(struct world *w)
{
	close(w->fd);
	w->fd = -1;
}

static void answer_first(struct world *w)
{
	answer(w, 0);
	turn(w);
}

static void answer_and_leave(struct world *w)
{
	answer_first(w);
	leave(w);
}

static void call_again(struct world *w)
{
	close(call(w));
}

static void drain(struct world *w)
{
	srv_drain(&w->srv);
}

static void close_server(struct world *w)
{
	srv_close(&w->srv);
}

START_TEST(each_way_of_ending_has_its_cause)
{
	static const struct {
		const char *input;
		void (*act)(struct world *w);
		enum srv_end end;
		enum srv_end request_end;
		unsigned passed_on;
		unsigned not_passed_on;
	} cases[] = {
		{GET("/0", "") GET("/1", ""), leave, SRV_END_CALLER_CLOSED,
		 SRV_END_CALLER_CLOSED, 2, 0},
		{GET("/0", "") "POST", reset, SRV_END_CALLER_RESET,
		 SRV_END_CALLER_RESET, 1, 0},
		{"", NULL, SRV_END_IDLE_TIMEOUT, SRV_ENDS, 0, 0},
		{"", call_again, SRV_END_NO_ROOM, SRV_ENDS, 0, 0},
		{GET("/0", "Connection: close\r\n"), answer_first,
		 SRV_END_ANSWERED, SRV_ENDS, 0, 0},
		{GET("/0", ""), answer_first, SRV_END_LINGER_TIME, SRV_ENDS, 0,
		 0},
		{GET("/0", ""), answer_and_leave, SRV_END_LINGER_PEER, SRV_ENDS,
		 0, 0},
		{GET("/0", "Connection: close\r\n") GET("/1", ""), answer_first,
		 SRV_END_ANSWERED, SRV_END_BEHIND_LAST, 0, 1},
		{"", drain, SRV_END_STOP_IDLE, SRV_ENDS, 0, 0},
		{GET("/0", "") "POST /1 HTTP/1.1\r\nHost: h\r\n"
			       "Content-Length: 0\r\n\r\n",
		 close_server, SRV_END_STOP_CUT, SRV_END_STOP_CUT, 1, 1},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(*cases); i++) {
		struct world w;

		stop_world_init(&w, 1);
		w.end = SRV_ENDS;
		w.fd = call(&w);
		put_all(&w, cases[i].input, strlen(cases[i].input));
		if (cases[i].act)
			cases[i].act(&w);
		ck_assert_msg(wait_end(&w) == cases[i].end, "case %zu: %s", i,
			      srv_end_name(wait_end(&w)));
		ck_assert_msg(w.end == cases[i].request_end, "case %zu", i);
		ck_assert_uint_eq(w.srv.ends.passed_on, cases[i].passed_on);
		ck_assert_uint_eq(w.srv.ends.not_passed_on,
				  cases[i].not_passed_on);
		ck_assert_uint_eq(w.srv.ends.unsent, 0);
		srv_close(&w.srv);
		world_free(&w);
	}
}
END_TEST

/* Of three answers the caller has read nothing of the last two. */
START_TEST(answers_that_were_not_sent_are_named)
{
	static char body[4 << 20];
	static char lines[4096];
	char got[1024];
	struct world w;

	stop_world_init(&w, 4);
	w.srv.max_held = SIZE_MAX;
	w.fd = call(&w);
	put_all(&w, GET("/0", "") GET("/1", "") GET("/2", ""),
		strlen(GET("/0", "")) * 3);
	ck_assert_int_eq(w.open_count, 3);
	for (int i = 0; i < 3; i++) {
		char id[8];

		snprintf(id, sizeof(id), "u%d", i);
		(void)strbuf_set(&w.open[i]->id, str_from_c(id));
	}
	answer(&w, 0);
	turn(&w);
	/* Requests that open[] holds now: /2 and /1. */
	srv_answer(w.open[1], 200, STR_LIT("OK"), STR_LIT(""),
		   (struct str){.ptr = body, .len = sizeof(body)});
	w.open_count = 0;
	for (int i = 0; i < 4; i++)
		ev_run(w.srv.loop, EVRUN_NOWAIT);
	ck_assert_int_eq((int)read(w.fd, got, sizeof(got)), (int)sizeof(got));
	put(&w, "GET", 3);
	srv_close(&w.srv);
	evt_recent(STR_LIT("answer_unsent req=u"), lines, sizeof(lines));
	ck_assert_ptr_null(strstr(lines, "req=u0"));
	ck_assert_ptr_nonnull(strstr(lines, "req=u1 end=stop_cut bytes=419"));
	ck_assert_ptr_null(strstr(lines, "unwritten=0 "));
	ck_assert_ptr_nonnull(strstr(lines, "unread=3\n"));
	ck_assert_uint_gt(w.srv.ends.unsent, sizeof(body) / 2);
	ck_assert_uint_lt(w.srv.ends.unsent, sizeof(body) + 256);
	ck_assert_int_eq(w.end, SRV_END_STOP_CUT);
	world_free(&w);
}
END_TEST

static unsigned lines_of(const char *id)
{
	static char lines[1 << 17];
	unsigned count = 0;

	evt_recent(str_from_c(id), lines, sizeof(lines));
	for (const char *at = lines; (at = strstr(at, id)); at++)
		count++;
	return count;
}

/* Returns after an answer to a request of this id; the caller has read it. */
static void serve_one(struct world *w, const char *id)
{
	stop_world_init(w, 4);
	w->srv.stopping = false;
	w->fd = call(w);
	put_all(w, GET("/0", ""), strlen(GET("/0", "")));
	(void)strbuf_set(&w->open[0]->id, str_from_c(id));
	answer(w, 0);
	while (!w->got_len)
		turn(w);
}

/* Closing with unread input resets the connection behind its last answer. */
START_TEST(stop_that_resets_a_connection_names_its_last_answer)
{
	for (int unread = 0; unread < 2; unread++) {
		struct world w;

		serve_one(&w, unread ? "reset" : "clean");
		w.srv.stopping = true;
		put(&w, "GET", unread ? 3 : 0);
		srv_close(&w.srv);
		ck_assert_uint_eq(w.srv.ends.unsent, 0);
		world_free(&w);
	}
	ck_assert_uint_eq(lines_of("answer_unsent req=reset "), 1);
	ck_assert_uint_eq(lines_of("answer_unsent req=clean "), 0);
}
END_TEST

START_TEST(lines_on_unsent_answers_are_bounded)
{
	const apr_time_t begun = clk_now(clk_system());
	unsigned most;
	struct world w;

	serve_one(&w, "many");
	for (int i = 1; i < 300; i++)
		conn_new(&w.srv, dup(TAILQ_FIRST(&w.srv.conns)->fd));
	w.srv.stopping = true;
	put(&w, "GET", 3);
	for (int i = 0; i < 300; i++) {
		struct srv_conn *conn = TAILQ_FIRST(&w.srv.conns);

		conn->answers[0] = (struct conn_answer){0};
		(void)strbuf_set(&conn->answers[0].id, STR_LIT("many"));
		conn->answer_count = 1;
		conn_free(conn, SRV_END_STOP_CUT);
	}
	most = 100 *
	       (unsigned)((clk_now(clk_system()) - begun) / APR_USEC_PER_SEC +
			  2);
	ck_assert_uint_ge(lines_of("answer_unsent req=many "), 100);
	ck_assert_uint_le(lines_of("answer_unsent req=many "), most);
	srv_close(&w.srv);
	world_free(&w);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("conn");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, any_number_in_one_write);
	tcase_add_test(tc, any_number_in_two_writes);
	tcase_add_test(tc, cut_at_each_byte);
	tcase_add_test(tc, unsafe_requests_among_many);
	tcase_add_test(tc, input_is_bounded);
	tcase_add_test(tc, caller_leaves_while_many_are_pending);
	tcase_add_test(tc, stop_while_many_are_pending);
	tcase_add_test(tc, each_way_of_ending_has_its_cause);
	tcase_add_test(tc, answers_that_were_not_sent_are_named);
	tcase_add_test(tc, stop_that_resets_a_connection_names_its_last_answer);
	tcase_add_test(tc, lines_on_unsent_answers_are_bounded);
	return fix_run("conn", tc);
}
