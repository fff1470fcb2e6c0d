#include "common/net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "common/err.h"

#define LISTEN_BACKLOG 1024

/* Seconds and probes until an idle connection to a dead peer is dropped. */
#define KEEPALIVE_IDLE_S     5
#define KEEPALIVE_INTERVAL_S 2
#define KEEPALIVE_PROBES     3

int net_addr_make(struct net_addr *out, struct str ip, uint16_t port)
{
	struct sockaddr_in *in4 = (struct sockaddr_in *)&out->ss;
	struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)&out->ss;
	struct strbuf text;

	memset(out, 0, sizeof(*out));
	if (strbuf_set(&text, ip))
		return PST_ERR_INVALID;
	if (inet_pton(AF_INET, text.ptr, &in4->sin_addr) == 1) {
		in4->sin_family = AF_INET;
		in4->sin_port = htons(port);
		out->len = sizeof(*in4);
		return 0;
	}
	if (inet_pton(AF_INET6, text.ptr, &in6->sin6_addr) == 1) {
		in6->sin6_family = AF_INET6;
		in6->sin6_port = htons(port);
		out->len = sizeof(*in6);
		return 0;
	}
	return PST_ERR_INVALID;
}

void net_addr_ip(const struct net_addr *addr, struct strbuf *out)
{
	char text[INET6_ADDRSTRLEN] = "";
	const void *bytes =
		addr->ss.ss_family == AF_INET6
			? (const void *)&(
				  (const struct sockaddr_in6 *)&addr->ss)
				  ->sin6_addr
			: (const void *)&((const struct sockaddr_in *)&addr->ss)
				  ->sin_addr;

	inet_ntop(addr->ss.ss_family, bytes, text, sizeof(text));
	strbuf_set(out, str_from_c(text));
}

uint16_t net_addr_port(const struct net_addr *addr)
{
	if (addr->ss.ss_family == AF_INET6)
		return ntohs(
			((const struct sockaddr_in6 *)&addr->ss)->sin6_port);
	return ntohs(((const struct sockaddr_in *)&addr->ss)->sin_port);
}

static int parse_hostport(struct str text, struct net_addr *out)
{
	const char *colon = memrchr(text.ptr, ':', text.len);
	struct str port;
	uint64_t number;
	int err;

	if (!colon)
		return PST_ERR_INVALID;
	port.ptr = colon + 1;
	port.len = text.len - (size_t)(port.ptr - text.ptr);
	err = str_to_u64(port, &number);
	if (err || !number || number > UINT16_MAX)
		return PST_ERR_INVALID;
	text.len = (size_t)(colon - text.ptr);
	return net_addr_make(out, text, (uint16_t)number);
}

int net_proxy_for(const struct settings *set, struct str region,
		  struct net_addr *out)
{
	for (size_t i = 0; i < set->net.proxies_count; i++) {
		const struct str item = set->net.proxies[i];
		const char *eq = memchr(item.ptr, '=', item.len);
		struct str name = {.ptr = item.ptr};
		struct str rest;

		if (!eq)
			return PST_ERR_INVALID;
		name.len = (size_t)(eq - item.ptr);
		if (!str_eq(name, region))
			continue;
		rest.ptr = eq + 1;
		rest.len = item.len - name.len - 1;
		return parse_hostport(rest, out);
	}
	return PST_ERR_NOTFOUND;
}

static void set_option(int fd, int level, int name, int value)
{
	setsockopt(fd, level, name, &value, sizeof(value));
}

static void set_socket_options(int fd, apr_interval_time_t timeout)
{
	const struct timeval tv = {
		.tv_sec = timeout / APR_USEC_PER_SEC,
		.tv_usec = timeout % APR_USEC_PER_SEC,
	};

	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof(tv));
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof(tv));
	set_option(fd, IPPROTO_TCP, TCP_NODELAY, 1);
	set_option(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, (int)(timeout / 1000));
	set_option(fd, SOL_SOCKET, SO_KEEPALIVE, 1);
	set_option(fd, IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
	set_option(fd, IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
}

int net_listen(struct str ip, uint16_t port)
{
	struct net_addr addr;
	int fd;

	if (net_addr_make(&addr, ip, port))
		return PST_ERR_INVALID;
	fd = socket(addr.ss.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return PST_ERR_IO;
	set_option(fd, SOL_SOCKET, SO_REUSEADDR, 1);
	if (bind(fd, (struct sockaddr *)&addr.ss, addr.len) ||
	    listen(fd, LISTEN_BACKLOG)) {
		close(fd);
		return PST_ERR_IO;
	}
	return fd;
}

/* Reads the response to CONNECT up to the blank line that ends its head. */
static int read_connect_answer(int fd)
{
	char head[512];
	size_t used = 0;

	while (used < sizeof(head) - 1) {
		if (recv(fd, head + used, 1, 0) != 1)
			return PST_ERR_CONNECT;
		used++;
		if (used >= 4 && !memcmp(head + used - 4, "\r\n\r\n", 4))
			break;
	}
	if (used < 12 || memcmp(head + 8, " 200", 4) != 0)
		return PST_ERR_CONNECT;
	return 0;
}

static int connect_via_proxy(int fd, const struct net_addr *peer)
{
	struct strbuf ip;
	char text[256];
	int len;

	net_addr_ip(peer, &ip);
	len = snprintf(text, sizeof(text),
		       "CONNECT %s:%u HTTP/1.1\r\nHost: %s:%u\r\n\r\n", ip.ptr,
		       net_addr_port(peer), ip.ptr, net_addr_port(peer));
	if (send(fd, text, (size_t)len, MSG_NOSIGNAL) != len)
		return PST_ERR_CONNECT;
	return read_connect_answer(fd);
}

/* SO_SNDTIMEO, set before connect(), also limits its duration. */
static int open_from(struct str local, const struct net_addr *to,
		     apr_interval_time_t timeout)
{
	struct net_addr from;
	int fd;

	if (net_addr_make(&from, local, 0))
		return PST_ERR_INVALID;
	fd = socket(to->ss.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return PST_ERR_CONNECT;
	set_socket_options(fd, timeout);
	if (from.ss.ss_family == to->ss.ss_family &&
	    bind(fd, (struct sockaddr *)&from.ss, from.len))
		goto fail;
	if (connect(fd, (const struct sockaddr *)&to->ss, to->len))
		goto fail;
	return fd;
fail:
	close(fd);
	return PST_ERR_CONNECT;
}

int net_connect(const struct settings *set, struct str region,
		const struct net_addr *peer, apr_interval_time_t timeout)
{
	const struct net_addr *to = peer;
	struct net_addr proxy;
	int err = PST_ERR_NOTFOUND;
	int fd;

	if (!str_eq(region, set->vm.region))
		err = net_proxy_for(set, region, &proxy);
	if (err == PST_ERR_INVALID)
		return err;
	if (!err)
		to = &proxy;
	fd = open_from(set->vm.address, to, timeout);
	if (fd < 0 || to == peer)
		return fd;
	err = connect_via_proxy(fd, peer);
	if (err) {
		close(fd);
		return err;
	}
	return fd;
}
