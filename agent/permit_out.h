/*
 * Sends one-way RPC messages to many VMs without blocking the caller.
 *
 * Each of a few threads sends to a part of the VMs. One more thread sends to
 * VMs that are suspected of being silent, so that the time-outs of connecting
 * to them delay no message to another VM.
 */
#ifndef AGENT_PERMIT_OUT_H
#define AGENT_PERMIT_OUT_H

#include <rpc/rpc.h>

#include "common/clk.h"
#include "common/settings.h"

struct permit_out;

/* A message. args is from malloc(), and is freed with xargs after sending. */
struct permit_message {
	struct strbuf address;
	uint16_t port;
	struct strbuf region;
	rpcprog_t prog;
	rpcvers_t vers;
	rpcproc_t proc;
	xdrproc_t xargs;
	void *args;
	/* Whether the thread for VMs suspected of being silent sends it. */
	bool suspect;
	/* Whether it is sent on a new connection. */
	bool reconnect;
};

/* Borrows set and clk. Returns 0, PST_ERR_NOMEM or PST_ERR_THREAD. */
int permit_out_start(struct permit_out **out, const struct settings *set,
		     const struct clk *clk);

/* NULL is allowed. */
void permit_out_stop(struct permit_out *out);

/*
 * Queues a message and takes over its args, also on failure; never blocks.
 * Returns 0, PST_ERR_FULL or PST_ERR_NOMEM.
 */
int permit_out_send(struct permit_out *out,
		    const struct permit_message *message);

#endif
