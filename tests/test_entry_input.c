/* Malformed, oversized and slow input from callers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/clk.h"
#include "tests/fix_entry.h"
#include "tests/fix_raw.h"
#include "tests/fix_run.h"
#include "tests/stub_agents.h"

#define GET  "GET /s/svc/ok HTTP/1.1\r\nHost: x\r\n"
#define POST "POST /s/svc/length HTTP/1.1\r\nHost: x\r\n"

/* A head that is refused, and the expected answer. */
struct refused {
	struct str head;
	int status;
	const char *reason;
	const char *run;
};

/* clang-format off */
static const struct refused heads[] = {
	{STR_LIT("\x16\x03\x01"), 400, "REQ_MALFORMED", "unknown"},
	{STR_LIT("GET\r\n\r\n"), 400, "REQ_MALFORMED", "no"},
	{STR_LIT("GET /s/svc/ok\r\nHost: x\r\n\r\n"),
	 400, "REQ_MALFORMED", "no"},
	{STR_LIT("GET /s/svc/ok HTTP/x.y\r\nHost: x\r\n\r\n"),
	 400, "REQ_MALFORMED", "no"},
	{STR_LIT("GET /a b HTTP/1.1\r\nHost: x\r\n\r\n"),
	 400, "REQ_MALFORMED", "no"},
	{STR_LIT("GET /s/svc/ok HTTP/1.1\r\n\r\n"),
	 400, "REQ_MALFORMED", "no"},
	{STR_LIT(GET "Host: y\r\n\r\n"), 400, "REQ_MALFORMED", "no"},
	{STR_LIT(GET "no colon\r\n\r\n"), 400, "REQ_MALFORMED", "no"},
	{STR_LIT(GET "a: b\r\n c\r\n\r\n"), 400, "REQ_MALFORMED", "no"},
	{STR_LIT(GET "a : b\r\n\r\n"), 400, "REQ_MALFORMED", "no"},
	{STR_LIT(GET ": b\r\n\r\n"), 400, "REQ_MALFORMED", "no"},
	{STR_LIT(GET "a: b\0c\r\n\r\n"), 400, "REQ_MALFORMED", "no"},
	{STR_LIT(GET "a: b\rc: d\r\n\r\n"), 400, "REQ_MALFORMED", "no"},
	{STR_LIT(POST "Content-Length: 5x\r\n\r\n"),
	 400, "REQ_MALFORMED", "no"},
	{STR_LIT(POST "Content-Length: -5\r\n\r\n"),
	 400, "REQ_MALFORMED", "no"},
	{STR_LIT(POST "Content-Length: 5\r\nContent-Length: 6\r\n\r\n"),
	 400, "REQ_MALFORMED", "no"},
	{STR_LIT(POST "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n"
		 "\r\n"), 400, "REQ_MALFORMED", "no"},
	{STR_LIT(POST "Transfer-Encoding: x\r\n\r\n"),
	 400, "REQ_MALFORMED", "no"},
	/* Another entry may have run the request under its key. */
	{STR_LIT(POST "Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n"),
	 400, "REQ_MALFORMED", "unknown"},
	{STR_LIT(POST "Idempotency-Key : a\r\n\r\n"),
	 400, "REQ_MALFORMED", "unknown"},
	{STR_LIT("GET /s/svc/ok HTTP/2.0\r\nHost: x\r\n\r\n"),
	 505, "REQ_VERSION", "no"},
	{STR_LIT(POST "Content-Length: 99999999999999999999\r\n\r\n"),
	 413, "REQ_TOO_LARGE", "no"},
	{STR_LIT(POST "Content-Length: 10000001\r\n\r\n"),
	 413, "REQ_TOO_LARGE", "no"},
};
/* clang-format on */

START_TEST(malformed_head_is_answered_and_never_sent)
{
	for (size_t i = 0; i < sizeof(heads) / sizeof(heads[0]); i++) {
		const struct refused *r = &heads[i];
		const int fd = fix_raw_open();

		fix_raw_send(fd, r->head);
		fix_raw_problem(fix_raw_read(fd, NULL), r->status, r->reason,
				r->run);
		close(fd);
	}
	ck_assert_uint_eq(stub_granted, 0);
}
END_TEST

/* Heads that libmicrohttpd accepts. */
START_TEST(malformed_head_on_an_open_connection_is_answered)
{
	const struct str list[] = {
		STR_LIT(POST "Transfer-Encoding: x\r\n\r\n"),
		STR_LIT(POST "Content-Length: 1\r\nContent-Length: "
			     "2\r\n\r\n12"),
		STR_LIT(GET "a b: c\r\n\r\n"),
		STR_LIT(GET "Host: x\r\n\r\n"),
	};

	for (size_t i = 0; i < sizeof(list) / sizeof(list[0]); i++) {
		const int fd = fix_raw_open();

		fix_raw_send(fd, STR_LIT(GET "\r\n"));
		fix_raw_read(fd, "hello");
		fix_raw_send(fd, list[i]);
		fix_raw_problem(fix_raw_read(fd, NULL), 400, "REQ_MALFORMED",
				"no");
		close(fd);
	}
	fix_entry_wait_idle();
}
END_TEST

START_TEST(oversized_head_is_answered)
{
	/* Above the limit, libmicrohttpd's and the size of a socket buffer. */
	const size_t sizes[] = {16384, 100000, 1000000};

	for (size_t i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		char *bytes = malloc(sizes[i]);
		int fd = fix_raw_open();

		memset(bytes, 'a', sizes[i]);
		fix_raw_send(fd, STR_LIT(GET "a: "));
		fix_raw_send(fd, (struct str){.ptr = bytes, .len = sizes[i]});
		fix_raw_problem(fix_raw_read(fd, NULL), 431,
				"REQ_HEAD_TOO_LARGE", "no");
		close(fd);
		free(bytes);
	}
}
END_TEST

START_TEST(slow_head_is_answered)
{
	int fd = fix_raw_open();

	fix_raw_send(fd, STR_LIT(GET));
	fix_raw_problem(fix_raw_read(fd, NULL), 408, "REQ_SLOW", "no");
	close(fd);
	fd = fix_raw_open();
	fix_raw_send(fd, STR_LIT(POST));
	fix_raw_problem(fix_raw_read(fd, NULL), 408, "REQ_SLOW", "unknown");
	close(fd);
}
END_TEST

START_TEST(slow_head_on_an_open_connection_is_answered)
{
	const int fd = fix_raw_open();

	fix_raw_send(fd, STR_LIT(GET "\r\n"));
	ck_assert_ptr_nonnull(strstr(fix_raw_read(fd, "hello"), " 200 "));
	fix_raw_send(fd, STR_LIT(GET "a: b\r\n"));
	fix_raw_problem(fix_raw_read(fd, NULL), 408, "REQ_SLOW", "unknown");
	close(fd);
}
END_TEST

START_TEST(unused_connection_is_closed_without_an_answer)
{
	int fd = fix_raw_open();

	ck_assert_str_eq(fix_raw_read(fd, NULL), "");
	close(fd);
	fd = fix_raw_open();
	fix_raw_send(fd, STR_LIT(GET "\r\n"));
	fix_raw_read(fd, "hello");
	ck_assert_str_eq(fix_raw_read(fd, NULL), "");
	close(fd);
}
END_TEST

START_TEST(stalled_body_is_answered)
{
	int fd = fix_raw_open();

	fix_raw_send(fd, STR_LIT(POST "Content-Length: 9\r\n\r\n12"));
	fix_raw_problem(fix_raw_read(fd, NULL), 408, "REQ_SLOW", "unknown");
	close(fd);
	fd = fix_raw_open();
	fix_raw_send(fd, STR_LIT(POST "Transfer-Encoding: chunked\r\n\r\n"
				      "2\r\n12\r\n"));
	fix_raw_problem(fix_raw_read(fd, NULL), 408, "REQ_SLOW", "unknown");
	close(fd);
	fix_entry_wait_idle();
}
END_TEST

/* Sends 100 bytes per second, where the minimum is 1,000. */
START_TEST(trickling_body_is_answered)
{
	const int fd = fix_raw_open();

	fix_raw_send(fd, STR_LIT(POST "Content-Length: 9999\r\n\r\n"));
	for (int i = 0; i < 20; i++) {
		fix_raw_send(fd, STR_LIT("0123456789"));
		usleep(100000);
	}
	fix_raw_problem(fix_raw_read(fd, NULL), 408, "REQ_SLOW", "unknown");
	close(fd);
	fix_entry_wait_idle();
}
END_TEST

/* The answer arrives while the caller is still sending. */
START_TEST(oversized_body_is_always_answered)
{
	for (int i = 0; i < 300; i++) {
		const struct fix_caller c = fix_entry_call(
			"POST", "/s/svc/length", NULL, 20000000, false);

		ck_assert_int_eq(c.status, 413);
		ck_assert_ptr_nonnull(strstr(c.text, "REQ_TOO_LARGE"));
	}
}
END_TEST

/* A body delayed by the limit of a link is not reported as a slow caller. */
START_TEST(body_that_the_entry_holds_up_is_not_slow)
{
	struct fix_caller c;

	stub_remote = 1;
	stub_link_piece = 500;
	c = fix_entry_call("POST", "/s/svc/length", NULL, 200000, false);
	stub_link_piece = 5000;
	stub_remote = 0;
	ck_assert_str_eq(c.text, "200000");
	fix_entry_wait_idle();
}
END_TEST

/* Opens as many connections with slow heads as are allowed. */
START_TEST(slow_heads_do_not_block_other_callers)
{
	const size_t count = fix_entry_set.entry.max_connections;
	int fds[256];

	fix_entry_set.entry.head_timeout_ms = 60000;
	for (size_t i = 0; i < count; i++) {
		fds[i] = fix_raw_open();
		fix_raw_send(fds[i], STR_LIT(GET));
	}
	for (int i = 0; i < 5; i++) {
		const struct fix_caller c =
			fix_entry_call("GET", "/s/svc/ok", NULL, 0, false);

		ck_assert_int_eq(c.status, 200);
	}
	/* The oldest connection was evicted. */
	fix_raw_problem(fix_raw_read(fds[0], NULL), 408, "REQ_SLOW", "no");
	for (size_t i = 0; i < count; i++)
		close(fds[i]);
	fix_entry_set.entry.head_timeout_ms = 1000;
	fix_entry_wait_idle();
}
END_TEST

START_TEST(each_invalid_request_gets_its_own_status)
{
	struct fix_caller c = fix_entry_call("GET", "/nowhere", NULL, 0, false);

	ck_assert_int_eq(c.status, 404);
	c = fix_entry_call("GET", "/s/other/ok", NULL, 0, false);
	ck_assert_int_eq(c.status, 404);
	c = fix_entry_call("GET", "/s/svc/ok", "Priority: u=9", 0, false);
	ck_assert_int_eq(c.status, 400);
	ck_assert_ptr_null(strstr(c.text, "\"request_id\":\"\""));
	c = fix_entry_call("POST", "/s/svc/ok", "Idempotency-Key: a b", 0,
			   false);
	ck_assert_int_eq(c.status, 400);
	c = fix_entry_call("POST", "/s/svc/length", NULL, 20000000, false);
	ck_assert_int_eq(c.status, 413);
	c = fix_entry_call("POST", "/v1/tickets?count=2", NULL, 0, false);
	ck_assert_str_eq(c.text, "{\"tickets\":[\"t0\",\"t1\"]}");
	c = fix_entry_call("POST", "/v1/tickets?count=0", NULL, 0, false);
	ck_assert_int_eq(c.status, 400);
	fix_entry_wait_idle();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("entry_input");

	tcase_add_test(tc, malformed_head_is_answered_and_never_sent);
	tcase_add_test(tc, malformed_head_on_an_open_connection_is_answered);
	tcase_add_test(tc, oversized_head_is_answered);
	tcase_add_test(tc, slow_head_is_answered);
	tcase_add_test(tc, slow_head_on_an_open_connection_is_answered);
	tcase_add_test(tc, unused_connection_is_closed_without_an_answer);
	tcase_add_test(tc, stalled_body_is_answered);
	tcase_add_test(tc, trickling_body_is_answered);
	tcase_add_test(tc, oversized_body_is_always_answered);
	tcase_add_test(tc, body_that_the_entry_holds_up_is_not_slow);
	tcase_add_test(tc, slow_heads_do_not_block_other_callers);
	tcase_add_test(tc, each_invalid_request_gets_its_own_status);
	return fix_entry_run("entry_input", tc);
}
