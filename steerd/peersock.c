#include "steerd/peersock.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/ctr.h"
#include "platform/plt_codec.h"
#include "steerd/sock.h"

/* Most datagrams read in a row, so that callers are not delayed. */
#define MAX_READS 32

static void count_dropped(const char *cause)
{
	char labels[48];

	snprintf(labels, sizeof(labels), "cause=\"%s\"", cause);
	ctr_add(ctr_get("pst_peer_datagrams_dropped_total", labels,
			"Datagrams at steer.peer that no module received."),
		1);
}

static int compare_addrs(const void *a, const void *b)
{
	const struct peersock_addr *x = a;
	const struct peersock_addr *y = b;

	if (x->addr.sin_addr.s_addr != y->addr.sin_addr.s_addr)
		return x->addr.sin_addr.s_addr < y->addr.sin_addr.s_addr ? -1
									 : 1;
	return (int)x->addr.sin_port - (int)y->addr.sin_port;
}

/* Brings the addresses up to date with the list of VMs. */
static void refresh_addrs(struct peersock *sock)
{
	const struct vms *vms = &sock->st->vms;

	if (sock->version == vms->version)
		return;
	if (sock->cap < vms->count) {
		struct peersock_addr *grown =
			realloc(sock->addrs, vms->cap * sizeof(*grown));

		if (!grown)
			return;
		sock->addrs = grown;
		sock->cap = vms->cap;
	}
	sock->addr_count = 0;
	for (size_t i = 0; i < vms->count; i++) {
		struct peersock_addr *addr = &sock->addrs[sock->addr_count];

		addr->vm = i;
		if (vms->list[i].peer.len &&
		    !plt_read_addr(strbuf_str(&vms->list[i].peer), &addr->addr))
			sock->addr_count++;
	}
	if (sock->addr_count)
		qsort(sock->addrs, sock->addr_count, sizeof(*sock->addrs),
		      compare_addrs);
	sock->version = vms->version;
}

/* The listed VM with the address; NULL if there is none. */
static const struct peersock_addr *find_sender(struct peersock *sock,
					       const struct sockaddr_in *from)
{
	const struct peersock_addr key = {.addr = *from};

	refresh_addrs(sock);
	/* Without memory for the addresses, indexes may be outdated. */
	if (!sock->addr_count || sock->version != sock->st->vms.version)
		return NULL;
	return bsearch(&key, sock->addrs, sock->addr_count,
		       sizeof(*sock->addrs), compare_addrs);
}

static const struct peersock_kind *find_kind(const struct peersock *sock,
					     struct str bytes)
{
	uint32_t kind;

	if (bytes.len < sizeof(kind))
		return NULL;
	memcpy(&kind, bytes.ptr, sizeof(kind));
	kind = ntohl(kind);
	for (size_t i = 0; i < sock->kind_count; i++) {
		if (sock->kinds[i].kind == kind)
			return &sock->kinds[i];
	}
	return NULL;
}

static void on_datagram(struct peersock *sock, struct str bytes,
			const struct sockaddr_in *from)
{
	const struct peersock_addr *sender = find_sender(sock, from);
	const struct peersock_kind *kind = find_kind(sock, bytes);

	if (!sender && (!kind || !kind->receive_unlisted))
		count_dropped("unknown_sender");
	else if (!kind)
		count_dropped("unknown_kind");
	else if (bytes.len > PEERSOCK_MAX_BYTES)
		count_dropped("too_large");
	else if (sender)
		kind->receive(kind->ctx, sender->vm, bytes);
	else if (!kind->receive_unlisted(kind->ctx, from, bytes))
		count_dropped("unknown_sender");
}

static void on_readable(struct ev_loop *loop, struct ev_io *io, int events)
{
	struct peersock *sock = io->data;
	/* One byte more, so that a larger datagram is noticed. */
	char bytes[PEERSOCK_MAX_BYTES + 1];

	(void)loop;
	(void)events;
	for (int i = 0; i < MAX_READS; i++) {
		struct sockaddr_in from;
		const int n =
			sock_receive(sock->fd, bytes, sizeof(bytes), &from);

		if (n < 0)
			return;
		on_datagram(sock, (struct str){.ptr = bytes, .len = (size_t)n},
			    &from);
	}
}

int peersock_start(struct peersock *sock, struct st *st,
		   const struct sockaddr_in *addr)
{
	sock->st = st;
	sock->fd = sock_bind_udp(addr);
	if (sock->fd < 0)
		return sock->fd;
	ev_io_init(&sock->io, on_readable, sock->fd, EV_READ);
	sock->io.data = sock;
	ev_io_start(st->loop, &sock->io);
	return 0;
}

void peersock_add_kind(struct peersock *sock, const struct peersock_kind *kind)
{
	if (sock->kind_count < PEERSOCK_MAX_KINDS)
		sock->kinds[sock->kind_count++] = *kind;
}

bool peersock_send(struct peersock *sock, const struct sockaddr_in *to,
		   struct str bytes)
{
	return !sock_send_to(sock->fd, to, bytes);
}
