#include "tests/fix_conn.h"

#include <check.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>

void fix_conn_listen(struct srv *srv)
{
	const struct sockaddr_in any = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};

	ck_assert_int_eq(srv_start(srv, &any), 0);
}

int fix_conn_call(const struct srv *srv, int receive_bytes)
{
	const int fd = socket(AF_INET, SOCK_STREAM, 0);
	struct sockaddr_in addr;
	socklen_t len = sizeof(addr);

	getsockname(srv->accept_io.fd, (struct sockaddr *)&addr, &len);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
		   sizeof(receive_bytes));
	ck_assert_int_eq(connect(fd, (struct sockaddr *)&addr, len), 0);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	return fd;
}
