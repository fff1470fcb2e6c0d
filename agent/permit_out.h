/*
 * Sends one-way RPC messages to many VMs without holding up the sender.
 *
 * A few threads send, each for a part of the VMs; one more sends to VMs that
 * are suspected of being silent, so that connecting to them delays no other.
 */
#ifndef AGENT_PERMIT_OUT_H
#define AGENT_PERMIT_OUT_H

#include <rpc/rpc.h>

#include "common/clk.h"
#include "common/settings.h"

struct permit_out;

/* A message; args is from malloc() and freed with xargs after sending. */
struct permit_mail {
	struct strbuf address;
	uint16_t port;
	struct strbuf region;
	rpcprog_t prog;
	rpcvers_t vers;
	rpcproc_t proc;
	xdrproc_t xargs;
	void *args;
	/* Sent by the thread for suspects. */
	bool suspect;
	/* On a new connection. */
	bool reconnect;
};

/* Borrows set and clk. Returns 0, PST_ERR_NOMEM or PST_ERR_THREAD. */
int permit_out_start(struct permit_out **out, const struct settings *set,
		     const struct clk *clk);

/* NULL is allowed. */
void permit_out_stop(struct permit_out *out);

/*
 * Takes over mail->args in any case; never blocks. Returns 0, PST_ERR_FULL
 * or PST_ERR_NOMEM.
 */
int permit_out_send(struct permit_out *out, const struct permit_mail *mail);

#endif
