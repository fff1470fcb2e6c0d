/* Connections that the server ends while something is in transit. */
#include <check.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/clk.h"
#include "steerd/conn.h"
#include "steerd/sock.h"
#include "tests/fix_conn.h"
#include "tests/fix_run.h"

static const char request[] = "GET /0 HTTP/1.1\r\nHost: h\r\n\r\n";

/* A server whose handler answers at once, and one caller. */
struct world {
	struct srv srv;
	int fd;
	int taken;
	size_t body_len;
	size_t got;
	bool closed;
};

static void on_request(void *ctx, struct srv_req *req)
{
	static const char body[30000];
	struct world *w = ctx;

	w->taken++;
	srv_answer(req, 200, STR_LIT("OK"), STR_LIT(""),
		   (struct str){.ptr = body, .len = w->body_len});
}

static void on_gone(void *ctx, struct srv_req *req, enum srv_end end)
{
	(void)ctx;
	(void)req;
	(void)end;
}

static const struct srv_ops ops = {.request = on_request, .gone = on_gone};

/* Returns a new caller's descriptor. */
static int call(struct world *w)
{
	return fix_conn_call(&w->srv, 4096);
}

static void turn(struct world *w)
{
	for (int i = 0; i < 4; i++)
		ev_run(w->srv.loop, EVRUN_NOWAIT);
}

static void world_init(struct world *w, size_t body_len)
{
	*w = (struct world){
		.body_len = body_len,
		.srv = {.loop = ev_loop_new(0),
			.clk = clk_system(),
			.ops = &ops,
			.ctx = w,
			.limits = {.max_header = 4096,
				   .max_body = 65536,
				   .header_timeout = CLK_SEC(6),
				   .idle_timeout = CLK_SEC(6)},
			.max_held = 1 << 20,
			.outquota.limit = 1 << 20,
			.max_conns = 2},
	};
	fix_conn_listen(&w->srv);
	w->fd = call(w);
	turn(w);
}

static void world_free(struct world *w)
{
	srv_close(&w->srv);
	close(w->fd);
	ev_loop_destroy(w->srv.loop);
}

static void put(struct world *w, size_t len)
{
	ck_assert_int_eq(write(w->fd, request, len), (ssize_t)len);
}

/* Reads until the end of the stream, a reset, or more than the limit. */
static void read_all(struct world *w, size_t limit)
{
	const apr_time_t begun = clk_now(clk_system());
	char chunk[4096];

	while (!w->closed && w->got <= limit &&
	       clk_now(clk_system()) - begun < CLK_SEC(5)) {
		ssize_t n;

		turn(w);
		while ((n = read(w->fd, chunk, sizeof(chunk))) > 0)
			w->got += (size_t)n;
		w->closed = n == 0;
		usleep(1000);
	}
}

START_TEST(stop_leaves_a_crossing_request_unread)
{
	const apr_time_t begun = clk_now(clk_system());
	struct world w;

	world_init(&w, 10);
	srv_drain(&w.srv);
	put(&w, strlen(request));
	read_all(&w, 0);
	ck_assert(w.closed);
	ck_assert_uint_eq(sock_unread(TAILQ_FIRST(&w.srv.conns)->fd),
			  strlen(request));
	shutdown(w.fd, SHUT_WR);
	while (w.srv.conn_count && clk_now(clk_system()) - begun < CLK_SEC(2))
		ev_run(w.srv.loop, EVRUN_ONCE);
	ck_assert_int_lt(clk_now(clk_system()) - begun, CLK_MS(500));
	ck_assert_int_eq(w.taken, 0);
	world_free(&w);
}
END_TEST

START_TEST(stop_serves_what_has_arrived)
{
	struct world w;

	world_init(&w, 10);
	put(&w, strlen(request));
	w.srv.stopping = true;
	srv_drain(&w.srv);
	read_all(&w, SIZE_MAX - 1);
	ck_assert(w.closed);
	ck_assert_int_eq(w.taken, 1);
	ck_assert_uint_gt(w.got, 10);
	world_free(&w);
}
END_TEST

/* Making room closed a connection whose answer was still on its way. */
START_TEST(room_is_made_of_connections_with_nothing_to_lose)
{
	struct world w;
	int idle;
	int newest;

	world_init(&w, 30000);
	put(&w, strlen(request));
	turn(&w);
	ck_assert(conn_idle(TAILQ_FIRST(&w.srv.conns)));
	idle = call(&w);
	turn(&w);
	newest = call(&w);
	turn(&w);
	ck_assert_uint_eq(w.srv.conn_count, 2);
	put(&w, 1);
	read_all(&w, 30000);
	ck_assert_uint_gt(w.got, 30000);
	close(idle);
	close(newest);
	world_free(&w);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("conn_close");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, stop_leaves_a_crossing_request_unread);
	tcase_add_test(tc, stop_serves_what_has_arrived);
	tcase_add_test(tc, room_is_made_of_connections_with_nothing_to_lose);
	return fix_run("conn_close", tc);
}
