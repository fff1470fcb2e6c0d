#include "tests/fix_raw.h"

#include <check.h>
#include <poll.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/net.h"
#include "tests/fix_entry.h"
#include "tests/fix_run.h"

#define READ_TIMEOUT_MS 5000

static _Thread_local char answer[65536];

int fix_raw_open(void)
{
	struct net_addr addr;
	int fd;

	net_addr_make(&addr, fix_ip(), FIX_ENTRY_PORT);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	ck_assert_int_ge(fd, 0);
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&addr.ss, addr.len), 0);
	return fd;
}

void fix_raw_send(int fd, struct str bytes)
{
	while (bytes.len) {
		const ssize_t n = send(fd, bytes.ptr, bytes.len, MSG_NOSIGNAL);

		/* The peer may have refused the input before its end. */
		if (n <= 0)
			return;
		bytes.ptr += n;
		bytes.len -= (size_t)n;
	}
}

const char *fix_raw_read(int fd, const char *text)
{
	struct pollfd pfd = {.fd = fd, .events = POLLIN};
	size_t used = 0;

	answer[0] = '\0';
	while (used < sizeof(answer) - 1 && poll(&pfd, 1, READ_TIMEOUT_MS)) {
		const ssize_t n =
			recv(fd, answer + used, sizeof(answer) - 1 - used, 0);

		if (n <= 0)
			break;
		used += (size_t)n;
		answer[used] = '\0';
		if (text && strstr(answer, text))
			break;
	}
	return answer;
}

void fix_raw_problem(const char *got, int status, const char *reason,
		     const char *run)
{
	char text[128];

	snprintf(text, sizeof(text), "HTTP/1.1 %d ", status);
	ck_assert_msg(!strncmp(got, text, strlen(text)), "%s: not %d: %.200s",
		      reason, status, got);
	ck_assert_msg(strstr(got, "application/problem+json") != NULL,
		      "%s: no problem: %.200s", reason, got);
	snprintf(text, sizeof(text), "\"run\":\"%s\",\"reason\":\"%s\"", run,
		 reason);
	ck_assert_msg(strstr(got, text) != NULL, "not %s in: %.400s", text,
		      got);
}
