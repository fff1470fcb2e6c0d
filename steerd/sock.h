/* Non-blocking IPv4 sockets; connections begin with a TCP user time-out. */
#ifndef STEERD_SOCK_H
#define STEERD_SOCK_H

#include <netinet/in.h>

#include "common/buf.h"

/* Most connections that wait to be accepted. */
#define SOCK_BACKLOG 1024

/* A connection whose sent bytes stay unacknowledged for so long is closed. */
#define SOCK_USER_TIMEOUT_MS 5000

/* What has become of the bytes that were written. */
enum sock_output {
	/* All are acknowledged, or it is not known. */
	SOCK_OUTPUT_NONE,
	/* Some were sent and are not acknowledged. */
	SOCK_OUTPUT_UNDER_WAY,
	/* All that were sent are acknowledged; the peer takes no more now. */
	SOCK_OUTPUT_NOT_TAKEN,
};

/* Returns a listening descriptor, or PST_ERR_IO. */
int sock_listen(const struct sockaddr_in *addr);

/* Returns an accepted descriptor, PST_ERR_AGAIN, PST_ERR_FULL or PST_ERR_IO. */
int sock_accept(int listener);

/*
 * Starts a connection. Returns its descriptor, PST_ERR_FULL or
 * PST_ERR_CONNECT.
 */
int sock_connect(const struct sockaddr_in *addr);

/* Result of a started connection: 0 or PST_ERR_CONNECT. */
int sock_connect_result(int fd);

/*
 * Appends received bytes, at most max. Returns the count, 0 at the end
 * of the stream, PST_ERR_AGAIN, PST_ERR_IO or PST_ERR_NOMEM.
 */
int sock_read(int fd, struct buf *into, size_t max);

/*
 * Writes text, or the first part of it. Returns the count, PST_ERR_AGAIN,
 * PST_ERR_IO or, if the peer had ended its stream before it refused to read
 * more, PST_ERR_CLOSED. An error here takes the one that sock_read() would
 * report behind the bytes received: after PST_ERR_IO, an end of the stream
 * found by sock_read() is none.
 */
int sock_write(int fd, struct str text);

/* As sock_write(), for first followed by second. */
int sock_write_two(int fd, struct str first, struct str second);

/* Returns the descriptor of a UDP socket bound to addr, or PST_ERR_IO. */
int sock_bind_udp(const struct sockaddr_in *addr);

/* Sends one datagram. Returns 0, or PST_ERR_IO when it was not sent. */
int sock_send_to(int fd, const struct sockaddr_in *to, struct str bytes);

/* Reads one datagram. Returns its length, PST_ERR_AGAIN or PST_ERR_IO. */
int sock_receive(int fd, char *out, size_t size, struct sockaddr_in *from);

/* Bytes written that the peer has not acknowledged; 0 if not known. */
size_t sock_unsent(int fd);

enum sock_output sock_output(int fd);

/* Sets TCP_USER_TIMEOUT of a connection, SOCK_USER_TIMEOUT_MS at first. */
void sock_set_user_timeout(int fd, int timeout_ms);

/* Bytes received that were not read; 0 if not known. */
size_t sock_unread(int fd);

/* Whether the peer has closed its side, also behind bytes not yet read. */
bool sock_peer_closed(int fd);

#endif
