#include <arpa/inet.h>
#include <check.h>
#include <string.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "common/clk.h"
#include "common/err.h"
#include "fakes/digest.h"
#include "fakes/fault.h"
#include "fakes/http.h"
#include "fakes/pace.h"
#include "tests/fix_run.h"

#define RATE 1000000

START_TEST(no_window_carries_more_than_the_rate)
{
	struct pace pace;
	apr_time_t now = 0;
	apr_time_t left = 0;
	uint64_t room;

	pace_init(&pace, RATE, now);
	while (now < CLK_SEC(5)) {
		room = pace_room(&pace, now);
		if (room)
			left = pace_send(&pace, room, now);
		now += 700;
	}
	/* Up to 20 ms of backlog is counted when accepted, not when sent. */
	ck_assert_uint_le(pace.max_window, RATE + RATE / 50);
	ck_assert_uint_ge(pace.max_window, RATE * 95 / 100);
	ck_assert_uint_ge(pace.total, RATE * 49 / 10);
	ck_assert_int_le(left, now + CLK_MS(20));
}
END_TEST

START_TEST(windows_slide)
{
	struct pace pace;

	pace_init(&pace, 0, 0);
	pace_send(&pace, 600, CLK_MS(900));
	pace_send(&pace, 500, CLK_MS(1100));
	ck_assert_uint_eq(pace.max_window, 1100);
	pace_send(&pace, 700, CLK_MS(2000));
	ck_assert_uint_eq(pace.max_window, 1200);
	pace_send(&pace, 10, CLK_SEC(10));
	ck_assert_uint_eq(pace.window, 10);
}
END_TEST

START_TEST(fault_injection)
{
	static const char *const names[] = {"none", "slow", NULL};
	struct faultinj fault;

	ck_assert_int_eq(
		faultinj_parse(STR_LIT("{\"kind\":\"slow\",\"count\":1,"
				       "\"ms\":30,\"match\":\"/b\"}"),
			       names, &fault),
		0);
	ck_assert(!faultinj_take(&fault, 1, STR_LIT("/a")));
	ck_assert(faultinj_take(&fault, 1, STR_LIT("/book")));
	ck_assert(!faultinj_take(&fault, 1, STR_LIT("/book")));
	ck_assert_int_eq(
		faultinj_parse(STR_LIT("{\"kind\":\"odd\"}"), names, &fault),
		PST_ERR_FAKE_FAULT);
	ck_assert_int_eq(faultinj_parse(STR_LIT("{"), names, &fault),
			 PST_ERR_INVALID);
}
END_TEST

START_TEST(test_bytes_do_not_depend_on_the_chunks)
{
	unsigned char whole[1000];
	unsigned char pieces[1000];
	char one[DIG_TEXT_BYTES];
	char two[DIG_TEXT_BYTES];
	struct dig *dig = dig_start();

	dig_fill(5, 0, whole, sizeof(whole));
	for (size_t at = 0; at < sizeof(pieces); at += 125)
		dig_fill(5, at, pieces + at, 125);
	ck_assert(!memcmp(whole, pieces, sizeof(whole)));
	dig_add(dig, whole, sizeof(whole));
	dig_finish(dig, one);
	dig_of_fill(5, sizeof(whole), two);
	ck_assert_str_eq(one, two);
}
END_TEST

/* A suspended request that a timer answers, without other traffic. */
struct suspended {
	struct evloop_timer timer;
	struct httpsrv_req *req;
};

static void answer_suspended(struct evloop_timer *timer)
{
	struct suspended *suspended = (struct suspended *)(void *)timer;

	httpsrv_answer_json(suspended->req, MHD_HTTP_OK,
			    json_pack("{s:i}", "ok", 1));
}

static struct evloop *loop;

static void on_request(void *ctx, struct httpsrv_req *req)
{
	struct suspended *suspended = ctx;

	suspended->req = req;
	suspended->timer.fire = answer_suspended;
	evloop_timer_set(loop, &suspended->timer,
			 evloop_now(loop) + CLK_MS(20));
}

static void on_end(void *ctx, struct httpsrv_req *req, bool whole)
{
	(void)ctx;
	(void)req;
	(void)whole;
	evloop_stop(loop);
}

static void on_timeout(struct evloop_timer *timer)
{
	(void)timer;
	evloop_stop(loop);
}

static void on_client(struct evloop_fd *fd, uint32_t events)
{
	(void)events;
	evloop_unwatch(loop, fd);
	evloop_stop(loop);
}

START_TEST(a_suspended_request_is_answered_without_other_traffic)
{
	static const struct httpsrv_ops ops = {.request = on_request,
					       .end = on_end};
	static const char text[] = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
	struct suspended suspended = {0};
	struct evloop_timer timeout = {.fire = on_timeout};
	struct evloop_fd client = {.ready = on_client};
	struct sockaddr_in addr = {.sin_family = AF_INET,
				   .sin_port = htons(18701)};
	struct httpsrv *server;
	char answer[512];
	ssize_t got;

	ck_assert_int_eq(evloop_create(&loop, clk_system()), 0);
	ck_assert_int_eq(
		httpsrv_start(&server, loop, fix_ip(), 18701, &ops, &suspended),
		0);
	ck_assert_int_eq(inet_pton(AF_INET, fix_ip().ptr, &addr.sin_addr), 1);
	client.fd = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(
		connect(client.fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
	ck_assert_int_eq(send(client.fd, text, sizeof(text) - 1, 0),
			 (int)sizeof(text) - 1);
	ck_assert_int_eq(evloop_watch(loop, &client, EPOLLIN), 0);
	evloop_timer_set(loop, &timeout, evloop_now(loop) + CLK_SEC(5));
	evloop_run(loop);
	got = recv(client.fd, answer, sizeof(answer), MSG_DONTWAIT);
	ck_assert_int_gt(got, 12);
	ck_assert(!memcmp(answer, "HTTP/1.1 200", 12));
	close(client.fd);
	httpsrv_stop(server);
	evloop_destroy(loop);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("fake_parts");

	tcase_set_timeout(tc, 10);
	tcase_add_test(tc, no_window_carries_more_than_the_rate);
	tcase_add_test(tc, windows_slide);
	tcase_add_test(tc, fault_injection);
	tcase_add_test(tc, test_bytes_do_not_depend_on_the_chunks);
	tcase_add_test(tc,
		       a_suspended_request_is_answered_without_other_traffic);
	return fix_run("fake_parts", tc);
}
