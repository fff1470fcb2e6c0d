#include "tests/fix_cut.h"

#include <check.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/net.h"

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct fix_cut now;

/* Reads one request; returns false if the connection ended instead. */
static bool read_request(int fd)
{
	char text[8192];
	size_t used = 0;

	while (used < sizeof(text) - 1) {
		const ssize_t n =
			recv(fd, text + used, sizeof(text) - 1 - used, 0);
		const char *end;
		const char *length;
		size_t body = 0;

		if (n <= 0)
			return false;
		used += (size_t)n;
		text[used] = '\0';
		end = strstr(text, "\r\n\r\n");
		length = strcasestr(text, "\r\nContent-Length:");
		if (end && length && length < end)
			body = strtoul(strchr(length, ':') + 1, NULL, 10);
		if (end && used >= (size_t)(end + 4 - text) + body)
			return true;
	}
	return false;
}

/* Whether the answer ends before its connection does. */
static bool has_length(struct str answer)
{
	return memmem(answer.ptr, answer.len, "Content-Length", 14) ||
	       memmem(answer.ptr, answer.len, "chunked", 7);
}

static void *serve(void *arg)
{
	const int fd = (int)(intptr_t)arg;
	const struct linger reset = {.l_onoff = 1};

	while (read_request(fd)) {
		struct fix_cut cut;
		bool whole;

		pthread_mutex_lock(&lock);
		cut = now;
		whole = now.whole > 0;
		now.whole -= whole;
		pthread_mutex_unlock(&lock);
		send(fd, cut.answer.ptr, whole ? cut.answer.len : cut.bytes,
		     MSG_NOSIGNAL);
		if (whole && has_length(cut.answer))
			continue;
		if (cut.reset && !whole)
			setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset,
				   sizeof(reset));
		break;
	}
	close(fd);
	return NULL;
}

static void *accept_all(void *arg)
{
	const int listener = (int)(intptr_t)arg;
	pthread_t thread;
	int fd;

	while ((fd = accept(listener, NULL, NULL)) >= 0) {
		ck_assert_int_eq(pthread_create(&thread, NULL, serve,
						(void *)(intptr_t)fd),
				 0);
		pthread_detach(thread);
	}
	return NULL;
}

void fix_cut_start(struct str ip, uint16_t port)
{
	const int one = 1;
	const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	struct net_addr addr;
	pthread_t thread;

	net_addr_make(&addr, ip, port);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&addr.ss, addr.len), 0);
	ck_assert_int_eq(listen(fd, 64), 0);
	ck_assert_int_eq(
		pthread_create(&thread, NULL, accept_all, (void *)(intptr_t)fd),
		0);
	pthread_detach(thread);
}

void fix_cut_set(const struct fix_cut *cut)
{
	pthread_mutex_lock(&lock);
	now = *cut;
	pthread_mutex_unlock(&lock);
}

void fix_cut_each(struct str answer, void (*check)(const struct fix_cut *cut))
{
	struct fix_cut cut = {.answer = answer};

	for (cut.whole = 0; cut.whole < 2; cut.whole++) {
		for (cut.bytes = 0; cut.bytes <= answer.len; cut.bytes++) {
			cut.reset = false;
			fix_cut_set(&cut);
			check(&cut);
			cut.reset = true;
			fix_cut_set(&cut);
			if (cut.bytes < answer.len)
				check(&cut);
		}
	}
}
