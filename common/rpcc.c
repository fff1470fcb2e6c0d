#include "common/rpcc.h"

#include <pthread.h>
#include <stdlib.h>
#include <unistd.h>

#include "common/err.h"
#include "common/evt.h"
#include "common/wire.h"

#define LOG_MODULE "rpc.client"

/* Back-off after a failed connect, doubling up to the maximum. */
#define BACKOFF_MIN CLK_MS(20)
#define BACKOFF_MAX CLK_MS(500)

/* Buffer sizes of one connection, in bytes. */
#define SEND_BUFFER    65536
#define RECEIVE_BUFFER 65536

/* libtirpc initialises a shared handle on first use, without a lock. */
static pthread_once_t auth_once = PTHREAD_ONCE_INIT;

static void init_auth(void)
{
	AUTH *auth = authnone_create();

	auth_destroy(auth);
}

struct rpcc {
	const struct settings *set;
	const struct clk *clk;
	struct strbuf region;
	struct net_addr peer;
	struct strbuf peer_ip;
	rpcprog_t prog;
	rpcvers_t vers;
	CLIENT *client;
	int fd;
	apr_time_t retry_at;
	apr_interval_time_t backoff;
	struct wire wire;
	struct wire_seen seen;
};

static bool_t decode_nothing(XDR *xdrs, ...)
{
	(void)xdrs;
	return TRUE;
}

static void disconnect(struct rpcc *c)
{
	if (!c->client)
		return;
	wire_count(&c->wire, c->fd, &c->seen);
	clnt_destroy(c->client);
	close(c->fd);
	c->client = NULL;
}

static int connect_failed(struct rpcc *c, int err)
{
	c->retry_at = clk_now(c->clk) + c->backoff;
	c->backoff =
		c->backoff * 2 < BACKOFF_MAX ? c->backoff * 2 : BACKOFF_MAX;
	evt_log(RPC_CONNECT_FAILED, "peer=%s:%u err=%s", c->peer_ip.ptr,
		net_addr_port(&c->peer), err_name(err));
	return PST_ERR_CONNECT;
}

static int ensure_connected(struct rpcc *c)
{
	const apr_interval_time_t timeout = CLK_MS(c->set->net.rpc_timeout_ms);
	struct netbuf where = {
		.maxlen = c->peer.len,
		.len = c->peer.len,
		.buf = &c->peer.ss,
	};
	int fd;

	if (c->client)
		return 0;
	if (clk_now(c->clk) < c->retry_at)
		return PST_ERR_CONNECT;
	fd = net_connect(c->set, strbuf_str(&c->region), &c->peer, timeout);
	if (fd < 0)
		return connect_failed(c, fd);
	c->client = clnt_vc_create(fd, &where, c->prog, c->vers, SEND_BUFFER,
				   RECEIVE_BUFFER);
	if (!c->client) {
		close(fd);
		return connect_failed(c, PST_ERR_IO);
	}
	c->fd = fd;
	c->seen = (struct wire_seen){0};
	c->backoff = BACKOFF_MIN;
	return 0;
}

int rpcc_create(struct rpcc **out, const struct settings *set,
		const struct clk *clk, struct str peer_region,
		const struct net_addr *peer, rpcprog_t prog, rpcvers_t vers)
{
	struct rpcc *c = calloc(1, sizeof(*c));

	pthread_once(&auth_once, init_auth);
	if (!c)
		return PST_ERR_NOMEM;
	c->set = set;
	c->clk = clk;
	strbuf_set(&c->region, peer_region);
	c->peer = *peer;
	net_addr_ip(peer, &c->peer_ip);
	c->prog = prog;
	c->vers = vers;
	c->backoff = BACKOFF_MIN;
	wire_init_rpc(&c->wire, (uint32_t)prog, "client",
		      str_eq(strbuf_str(&c->peer_ip), set->vm.address));
	*out = c;
	return 0;
}

void rpcc_destroy(struct rpcc *c)
{
	if (!c)
		return;
	disconnect(c);
	free(c);
}

int rpcc_call(struct rpcc *c, rpcproc_t proc, xdrproc_t xargs, void *args,
	      xdrproc_t xres, void *res, apr_interval_time_t timeout)
{
	const struct timeval tv = {
		.tv_sec = timeout / APR_USEC_PER_SEC,
		.tv_usec = timeout % APR_USEC_PER_SEC,
	};
	enum clnt_stat stat;
	int err = ensure_connected(c);

	if (err)
		return err;
	stat = clnt_call(c->client, proc, xargs, args, xres, res, tv);
	if (stat == RPC_SUCCESS) {
		wire_count(&c->wire, c->fd, &c->seen);
		return 0;
	}
	err = stat == RPC_TIMEDOUT ? PST_ERR_TIMEOUT : PST_ERR_IO;
	evt_log(RPC_CALL_FAILED, "peer=%s:%u proc=%u err=%s", c->peer_ip.ptr,
		net_addr_port(&c->peer), (unsigned)proc, err_name(err));
	xdr_free(xres, res);
	disconnect(c);
	return err;
}

int rpcc_send(struct rpcc *c, rpcproc_t proc, xdrproc_t xargs, void *args)
{
	/*
	 * The zero time-out makes libtirpc not wait for an answer; the result
	 * decoder makes it send the message at once instead of buffering it.
	 */
	const struct timeval none = {0};
	enum clnt_stat stat;
	int err = ensure_connected(c);

	if (err)
		return err;
	stat = clnt_call(c->client, proc, xargs, args, decode_nothing, NULL,
			 none);
	if (stat == RPC_SUCCESS || stat == RPC_TIMEDOUT) {
		wire_count(&c->wire, c->fd, &c->seen);
		return 0;
	}
	evt_log(RPC_CALL_FAILED, "peer=%s:%u proc=%u err=IO", c->peer_ip.ptr,
		net_addr_port(&c->peer), (unsigned)proc);
	disconnect(c);
	return PST_ERR_IO;
}
