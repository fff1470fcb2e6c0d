#include "common/rpcs.h"

#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/err.h"
#include "common/evt.h"
#include "common/wire.h"

#define LOG_MODULE	"rpc.server"

#define MAX_PROGRAMS	16
#define MAX_DESCRIPTORS 8192

/* Longest wait for a message before the stop flag is checked again, in ms. */
#define POLL_MS 100

/* Bytes already counted of the connection on a descriptor. */
struct counted {
	in_port_t port;
	struct wire_seen seen;
};

static const struct rpcs_program *programs[MAX_PROGRAMS];
/* By program, and by whether the peer is on this VM. */
static struct wire wires[MAX_PROGRAMS][2];
static struct counted counted[MAX_DESCRIPTORS];
static struct strbuf own_ip;
static size_t program_count;
static struct rpcs_filter peer_filter;
static pthread_t thread;
static atomic_bool stopping;
static SVCXPRT *listener;

static const struct rpcs_proc *find_proc(const struct svc_req *req, void **ctx)
{
	for (size_t i = 0; i < program_count; i++) {
		const struct rpcs_program *p = programs[i];

		if (p->prog != req->rq_prog || p->vers != req->rq_vers)
			continue;
		*ctx = p->ctx;
		for (size_t j = 0; j < p->proc_count; j++) {
			if (p->procs[j].proc == req->rq_proc)
				return &p->procs[j];
		}
	}
	return NULL;
}

static bool peer_address(SVCXPRT *xprt, struct net_addr *peer)
{
	const struct netbuf *who = svc_getrpccaller(xprt);

	if (!who || who->len > sizeof(peer->ss))
		return false;
	memset(peer, 0, sizeof(*peer));
	memcpy(&peer->ss, who->buf, who->len);
	peer->len = who->len;
	return true;
}

static bool peer_allowed(const struct net_addr *peer)
{
	struct strbuf ip;

	net_addr_ip(peer, &ip);
	if (peer_filter.allow(peer_filter.ctx, strbuf_str(&ip)))
		return true;
	evt_log(RPC_PEER_REFUSED, "peer=%s", ip.ptr);
	return false;
}

/* An answer not yet transmitted is counted with the connection's next call. */
static void count_bytes(int fd, rpcprog_t prog, const struct net_addr *peer)
{
	const in_port_t port = net_addr_port(peer);
	struct strbuf ip;
	bool own;

	if (fd < 0 || fd >= MAX_DESCRIPTORS)
		return;
	net_addr_ip(peer, &ip);
	own = strbuf_eq(&ip, &own_ip);
	if (counted[fd].port != port)
		counted[fd] = (struct counted){.port = port};
	for (size_t i = 0; i < program_count; i++) {
		if (programs[i]->prog == prog)
			wire_count(&wires[i][own], fd, &counted[fd].seen);
	}
}

static void run_proc(const struct rpcs_proc *proc, void *ctx,
		     const struct net_addr *peer, SVCXPRT *xprt, void *args,
		     void *res)
{
	const int err = proc->handle(ctx, peer, args, res);

	if (proc->one_way)
		return;
	if (err)
		svcerr_systemerr(xprt);
	else
		svc_sendreply(xprt, proc->xres, res);
	xdr_free(proc->xres, res);
}

static void dispatch(struct svc_req *req, SVCXPRT *xprt)
{
	void *ctx = NULL;
	const struct rpcs_proc *proc;
	struct net_addr peer;
	void *args;
	void *res;

	if (!peer_address(xprt, &peer) || !peer_allowed(&peer)) {
		svcerr_weakauth(xprt);
		return;
	}
	proc = find_proc(req, &ctx);
	if (!proc) {
		svcerr_noproc(xprt);
		return;
	}
	args = calloc(1, proc->args_size + 1);
	res = calloc(1, proc->res_size + 1);
	if (!args || !res)
		svcerr_systemerr(xprt);
	else if (!svc_getargs(xprt, proc->xargs, args))
		svcerr_decode(xprt);
	else
		run_proc(proc, ctx, &peer, xprt, args, res);
	count_bytes(xprt->xp_fd, req->rq_prog, &peer);
	if (args)
		svc_freeargs(xprt, proc->xargs, args);
	free(args);
	free(res);
}

static void *serve(void *arg)
{
	static struct pollfd polled[MAX_DESCRIPTORS];

	(void)arg;
	while (!stopping) {
		const int count = svc_max_pollfd < MAX_DESCRIPTORS
					  ? svc_max_pollfd
					  : MAX_DESCRIPTORS;
		int ready;

		memcpy(polled, svc_pollfd, sizeof(*polled) * (size_t)count);
		ready = poll(polled, (nfds_t)count, POLL_MS);
		if (ready > 0)
			svc_getreq_poll(polled, ready);
	}
	svc_exit();
	return NULL;
}

int rpcs_register(const struct rpcs_program *program)
{
	if (program_count == MAX_PROGRAMS)
		return PST_ERR_FULL;
	for (size_t i = 0; i < program_count; i++) {
		if (programs[i]->prog == program->prog)
			return PST_ERR_EXISTS;
	}
	wire_init_rpc(&wires[program_count][false], (uint32_t)program->prog,
		      "server", false);
	wire_init_rpc(&wires[program_count][true], (uint32_t)program->prog,
		      "server", true);
	programs[program_count++] = program;
	return 0;
}

/* With a maximum record size, libtirpc does not block on a slow peer. */
static int open_listener(int fd)
{
	int maximum = RPCS_MAX_MESSAGE;

	listener = svc_vc_create(fd, 0, 0);
	if (!listener)
		return PST_ERR_IO;
	SVC_CONTROL(listener, SVCSET_CONNMAXREC, &maximum);
	for (size_t i = 0; i < program_count; i++) {
		if (!svc_reg(listener, programs[i]->prog, programs[i]->vers,
			     dispatch, NULL))
			return PST_ERR_IO;
	}
	return 0;
}

int rpcs_start(struct str ip, uint16_t port, struct rpcs_filter gate)
{
	const int fd = net_listen(ip, port);
	int err;

	if (fd < 0)
		return fd;
	peer_filter = gate;
	strbuf_set(&own_ip, ip);
	stopping = false;
	err = open_listener(fd);
	if (err) {
		close(fd);
		return err;
	}
	if (pthread_create(&thread, NULL, serve, NULL))
		return PST_ERR_THREAD;
	return 0;
}

void rpcs_stop(void)
{
	stopping = true;
	pthread_join(thread, NULL);
	for (size_t i = 0; i < program_count; i++)
		svc_unreg(programs[i]->prog, programs[i]->vers);
	program_count = 0;
	if (listener)
		svc_destroy(listener);
	listener = NULL;
}

static bool matches(struct str pattern, struct str ip)
{
	if (pattern.len && pattern.ptr[pattern.len - 1] == '*') {
		const size_t fixed = pattern.len - 1;

		return ip.len >= fixed && !memcmp(pattern.ptr, ip.ptr, fixed);
	}
	return str_eq(pattern, ip);
}

bool rpcs_peer_listed(const struct settings *set, struct str ip)
{
	for (size_t i = 0; i < set->net.peers_count; i++) {
		if (matches(set->net.peers[i], ip))
			return true;
	}
	return false;
}
