/*
 * ONC RPC client over TCP.
 *
 * A client must be used by one thread only. It connects on first use, from
 * this VM's address, and again after a failure. A call that fails closes the
 * connection, so that its late answer is never taken for another call's.
 */
#ifndef COMMON_RPCC_H
#define COMMON_RPCC_H

#include <apr_time.h>
#include <rpc/rpc.h>

#include "common/clk.h"
#include "common/net.h"

struct rpcc;

/*
 * Creates a client of program prog, version vers at peer, in peer_region.
 * Borrows set and clk. Returns 0 or PST_ERR_NOMEM.
 */
int rpcc_create(struct rpcc **out, const struct settings *set,
		const struct clk *clk, struct str peer_region,
		const struct net_addr *peer, rpcprog_t prog, rpcvers_t vers);

/* NULL is allowed. */
void rpcc_destroy(struct rpcc *c);

/*
 * Calls proc and waits for the answer at most timeout. The decoded answer is
 * owned by the caller, who frees it with xdr_free(). Returns 0,
 * PST_ERR_CONNECT, PST_ERR_TIMEOUT or PST_ERR_IO; after the last two the
 * call may have run.
 */
int rpcc_call(struct rpcc *c, rpcproc_t proc, xdrproc_t xargs, void *args,
	      xdrproc_t xres, void *res, apr_interval_time_t timeout);

/*
 * Sends a one-way message. Returns 0 once the message is in the kernel's send
 * buffer, which does not mean that it arrived, or PST_ERR_CONNECT or
 * PST_ERR_IO.
 */
int rpcc_send(struct rpcc *c, rpcproc_t proc, xdrproc_t xargs, void *args);

#endif
