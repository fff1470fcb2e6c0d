#include "steerd/sock.h"

#include <errno.h>
#include <limits.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include "common/err.h"

static void set_option(int fd, int level, int option, int value)
{
	/* The socket also works without the option. */
	(void)setsockopt(fd, level, option, &value, sizeof(value));
}

void sock_set_user_timeout(int fd, int timeout_ms)
{
	set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, timeout_ms);
}

int sock_listen(const struct sockaddr_in *addr)
{
	const int fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return PST_ERR_IO;
	set_option(fd, SOL_SOCKET, SO_REUSEADDR, 1);
	if (bind(fd, (const struct sockaddr *)addr, sizeof(*addr)) ||
	    listen(fd, SOCK_BACKLOG)) {
		close(fd);
		return PST_ERR_IO;
	}
	return fd;
}

static void set_tcp_options(int fd)
{
	set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	sock_set_user_timeout(fd, SOCK_USER_TIMEOUT_MS);
}

int sock_accept(int listener)
{
	const int fd =
		accept4(listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);

	if (fd >= 0) {
		set_tcp_options(fd);
		return fd;
	}
	if (errno == EMFILE || errno == ENFILE || errno == ENOMEM ||
	    errno == ENOBUFS)
		return PST_ERR_FULL;
	return errno == EAGAIN || errno == ECONNABORTED || errno == EINTR
		       ? PST_ERR_AGAIN
		       : PST_ERR_IO;
}

int sock_connect(const struct sockaddr_in *addr)
{
	const int fd =
		socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return PST_ERR_FULL;
	set_tcp_options(fd);
	if (connect(fd, (const struct sockaddr *)addr, sizeof(*addr)) &&
	    errno != EINPROGRESS) {
		close(fd);
		return PST_ERR_CONNECT;
	}
	return fd;
}

int sock_connect_result(int fd)
{
	socklen_t len = sizeof(int);
	int err = 0;

	if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &err, &len) || err)
		return PST_ERR_CONNECT;
	return 0;
}

int sock_read(int fd, struct buf *into, size_t max)
{
	ssize_t n;

	if (max > INT_MAX)
		max = INT_MAX;
	if (buf_reserve(into, max))
		return PST_ERR_NOMEM;
	n = read(fd, into->ptr + into->len, max);
	if (n < 0)
		return errno == EAGAIN || errno == EINTR ? PST_ERR_AGAIN
							 : PST_ERR_IO;
	into->len += (size_t)n;
	return (int)n;
}

/* The count of bytes that a system call returned, or an error. */
static int count_or_error(ssize_t n)
{
	if (n >= 0)
		return (int)n;
	/* Linux reports a reset so only behind an end of the stream. */
	if (errno == EPIPE)
		return PST_ERR_CLOSED;
	return errno == EAGAIN || errno == EINTR ? PST_ERR_AGAIN : PST_ERR_IO;
}

int sock_write(int fd, struct str text)
{
	return count_or_error(send(fd, text.ptr, text.len, MSG_NOSIGNAL));
}

int sock_write_two(int fd, struct str first, struct str second)
{
	struct iovec parts[] = {
		{.iov_base = (void *)(uintptr_t)first.ptr,
		 .iov_len = first.len},
		{.iov_base = (void *)(uintptr_t)second.ptr,
		 .iov_len = second.len},
	};
	const struct msghdr head = {.msg_iov = parts, .msg_iovlen = 2};

	return count_or_error(sendmsg(fd, &head, MSG_NOSIGNAL));
}

int sock_bind_udp(const struct sockaddr_in *addr)
{
	const int fd =
		socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return PST_ERR_IO;
	if (bind(fd, (const struct sockaddr *)addr, sizeof(*addr))) {
		close(fd);
		return PST_ERR_IO;
	}
	return fd;
}

int sock_send_to(int fd, const struct sockaddr_in *to, struct str bytes)
{
	const ssize_t n = sendto(fd, bytes.ptr, bytes.len, MSG_NOSIGNAL,
				 (const struct sockaddr *)to, sizeof(*to));

	return n == (ssize_t)bytes.len ? 0 : PST_ERR_IO;
}

int sock_receive(int fd, char *out, size_t size, struct sockaddr_in *from)
{
	socklen_t len = sizeof(*from);

	return count_or_error(
		recvfrom(fd, out, size, 0, (struct sockaddr *)from, &len));
}

static size_t queue_size(int fd, unsigned long request)
{
	int count = 0;

	return ioctl(fd, request, &count) || count < 0 ? 0 : (size_t)count;
}

size_t sock_unsent(int fd)
{
	return queue_size(fd, SIOCOUTQ);
}

enum sock_output sock_output(int fd)
{
	const size_t unacked_or_unsent = sock_unsent(fd);

	if (!unacked_or_unsent)
		return SOCK_OUTPUT_NONE;
	return queue_size(fd, SIOCOUTQNSD) == unacked_or_unsent
		       ? SOCK_OUTPUT_NOT_TAKEN
		       : SOCK_OUTPUT_UNDER_WAY;
}

size_t sock_unread(int fd)
{
	return queue_size(fd, SIOCINQ);
}

bool sock_peer_closed(int fd)
{
	struct pollfd poller = {.fd = fd, .events = POLLRDHUP};

	return poll(&poller, 1, 0) > 0 &&
	       (poller.revents & (POLLRDHUP | POLLHUP | POLLERR));
}
