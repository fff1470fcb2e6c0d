/* A planned stop of the entry, with callers that send requests ahead. */
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/net.h"
#include "tests/fix_entry.h"
#include "tests/fix_raw.h"
#include "tests/fix_run.h"
#include "tests/fix_upstream.h"

#define BIG STR_LIT("GET /s/svc/big HTTP/1.1\r\nHost: h\r\n\r\n")

static int open_slow_reader(void)
{
	const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	const int size = 8192;
	struct net_addr addr;

	net_addr_make(&addr, fix_ip(), FIX_ENTRY_PORT);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&addr.ss, addr.len), 0);
	return fd;
}

static void *stop_entry(void *arg)
{
	fix_entry_wait_idle();
	fix_entry_stop();
	return arg;
}

/* Reads slowly until the connection ends; returns the bytes behind the head. */
static size_t read_body(int fd, struct str later)
{
	char *text = malloc(FIX_BIG_BYTES + 8192);
	size_t used = 0;
	const char *body;
	size_t len;
	ssize_t n;

	while ((n = recv(fd, text + used, FIX_BIG_BYTES + 8192 - used, 0)) >
	       0) {
		used += (size_t)n;
		usleep(200);
		/* What the entry still holds then is in its kernel alone. */
		if (later.len && used > FIX_BIG_BYTES - 200000) {
			usleep(50000);
			fix_raw_send(fd, later);
			later.len = 0;
		}
	}
	body = memmem(text, used, "\r\n\r\n", 4);
	len = body ? used - (size_t)(body + 4 - text) : 0;
	free(text);
	return len;
}

START_TEST(answer_is_whole_when_a_request_was_sent_ahead)
{
	const int fd = open_slow_reader();

	fix_raw_send(fd, BIG);
	fix_raw_send(fd, BIG);
	ck_assert_uint_eq(read_body(fd, STR_LIT("")), FIX_BIG_BYTES);
	close(fd);
	fix_entry_wait_idle();
}
END_TEST

START_TEST(answer_is_whole_when_a_request_comes_behind_it)
{
	const int fd = open_slow_reader();

	fix_raw_send(fd, BIG);
	ck_assert_uint_eq(read_body(fd, BIG), FIX_BIG_BYTES);
	close(fd);
	fix_entry_wait_idle();
}
END_TEST

/* Runs last. */
START_TEST(stop_waits_for_an_answer_that_the_kernel_sends)
{
	const int fd = open_slow_reader();
	pthread_t thread;

	fix_raw_send(fd, BIG);
	usleep(50000);
	ck_assert_int_eq(pthread_create(&thread, NULL, stop_entry, NULL), 0);
	ck_assert_uint_eq(read_body(fd, BIG), FIX_BIG_BYTES);
	pthread_join(thread, NULL);
	close(fd);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("entry_stop");

	tcase_add_unchecked_fixture(tc, fix_entry_drain, NULL);
	tcase_add_test(tc, answer_is_whole_when_a_request_was_sent_ahead);
	tcase_add_test(tc, answer_is_whole_when_a_request_comes_behind_it);
	tcase_add_test(tc, stop_waits_for_an_answer_that_the_kernel_sends);
	return fix_entry_run("entry_stop", tc);
}
