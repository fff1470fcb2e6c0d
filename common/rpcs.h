/*
 * ONC RPC server over TCP, one for each process.
 *
 * One thread reads, decodes and answers; handlers run on it and must not
 * block. Programs must be registered before rpcs_start(). libtirpc keeps its
 * registrations per process, so there is only one server.
 */
#ifndef COMMON_RPCS_H
#define COMMON_RPCS_H

#include <rpc/rpc.h>

#include "common/net.h"

/* Largest message accepted, in bytes. */
#define RPCS_MAX_MESSAGE 4194304

/*
 * A procedure and its handler. args is decoded and freed by the server; res
 * starts zeroed and is freed with the result's XDR routine after the answer
 * is sent. handle() returns 0, or an error, which the caller sees as a system
 * error.
 */
struct rpcs_proc {
	rpcproc_t proc;
	/* Whether the message gets no answer. */
	bool one_way;
	xdrproc_t xargs;
	size_t args_size;
	xdrproc_t xres;
	size_t res_size;
	int (*handle)(void *ctx, const struct net_addr *peer, void *args,
		      void *res);
};

struct rpcs_program {
	rpcprog_t prog;
	rpcvers_t vers;
	const struct rpcs_proc *procs;
	size_t proc_count;
	void *ctx;
};

/* Decides whether an address may send RPCs; runs on the server's thread. */
struct rpcs_filter {
	bool (*allow)(void *ctx, struct str ip);
	void *ctx;
};

/* Borrows program. Returns 0, PST_ERR_FULL or PST_ERR_EXISTS. */
int rpcs_register(const struct rpcs_program *program);

/* Listens and starts the thread. Returns 0, PST_ERR_IO or PST_ERR_THREAD. */
int rpcs_start(struct str ip, uint16_t port, struct rpcs_filter gate);

/* Stops the thread and closes every connection. */
void rpcs_stop(void);

/* Whether net.peers of the settings lists the address. */
bool rpcs_peer_listed(const struct settings *set, struct str ip);

#endif
