/*
 * The UDP socket of steer.peer, by which the VMs exchange datagrams, and the
 * addresses of the VMs that are listed. The first field of a datagram, 32 bits
 * in network byte order, tells which module receives it.
 */
#ifndef STEERD_PEERSOCK_H
#define STEERD_PEERSOCK_H

#include "steerd/st.h"

/* Modules that receive datagrams. */
#define PEERSOCK_MAX_KINDS 4

/* Largest datagram that is accepted, in bytes. */
#define PEERSOCK_MAX_BYTES 1024

struct peersock_kind {
	uint32_t kind;
	/* Receives a datagram of a listed VM, an index into st->vms. */
	void (*receive)(void *ctx, size_t vm, struct str bytes);
	/*
	 * Receives a datagram of another sender; returns whether it was taken.
	 * NULL: none is.
	 */
	bool (*receive_unlisted)(void *ctx, const struct sockaddr_in *from,
				 struct str bytes);
	void *ctx;
};

struct peersock_addr {
	struct sockaddr_in addr;
	size_t vm;
};

struct peersock {
	struct st *st;
	struct ev_io io;
	int fd;
	struct peersock_kind kinds[PEERSOCK_MAX_KINDS];
	size_t kind_count;
	/* Addresses of the VMs of this version of the list, in order. */
	struct peersock_addr *addrs;
	size_t addr_count;
	size_t cap;
	uint64_t version;
};

/* Starts to receive at the address. Returns 0 or PST_ERR_IO. */
int peersock_start(struct peersock *sock, struct st *st,
		   const struct sockaddr_in *addr);

/* Passes datagrams of a kind to a module. */
void peersock_add_kind(struct peersock *sock, const struct peersock_kind *kind);

/* Sends one datagram; returns whether it was sent. */
bool peersock_send(struct peersock *sock, const struct sockaddr_in *to,
		   struct str bytes);

#endif
