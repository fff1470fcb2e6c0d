/* Requests sent ahead on one connection, cut and answered in many ways. */
#include <check.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clk.h"
#include "steerd/conn.h"
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
	return fix_run("conn", tc);
}
