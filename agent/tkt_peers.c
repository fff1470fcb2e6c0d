#include "agent/tkt_peers.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include <apr_queue.h>

#include "agent/tkt_dial.h"
#include "agent/tkt_wire.h"
#include "common/ctr.h"
#include "common/err.h"

#define WORKERS 12
/* Maximum number of peers; the one that is idle longest is evicted. */
#define PEERS_MAX 1024
#define BUCKETS	  1024
/* Maximum number of calls queued for one peer. */
#define QUEUE_MAX_CALLS 8192
/* Maximum number of operations in one message. */
#define BATCH_MAX 512

/* Back-off between calls to a peer that does not reply; doubles. */
#define BACKOFF_MIN CLK_MS(100)
#define BACKOFF_MAX CLK_MS(1000)
/* A failure that took less time blocks no thread and causes no back-off. */
#define FAST_FAILURE_MAX CLK_MS(50)

/* Polling interval of tkt_peers_flush(). */
#define FLUSH_INTERVAL CLK_MS(2)

struct peer {
	uint64_t vm;
	struct strbuf address;
	struct rpcc *witness;
	struct rpcc *home;
	struct tkt_call *head;
	struct tkt_call **tail;
	size_t queued;
	/* In the ready queue or being served by a worker. */
	bool scheduled;
	/* The latest call failed. */
	bool failing;
	apr_interval_time_t backoff;
	apr_time_t retry_at;
	apr_time_t used_at;
	struct peer *chain;
};

struct tkt_peers {
	struct tkt_peers_conf conf;
	apr_pool_t *pool;
	/* Peers that have calls queued, each once. */
	apr_queue_t *ready;
	pthread_mutex_t lock;
	struct peer *buckets[BUCKETS];
	size_t count;
	size_t scheduled_count;
	/* Counters of what was sent to peers. */
	struct ctr *messages;
	struct ctr *ops;
	pthread_t workers[WORKERS];
	size_t worker_count;
};

static void free_calls(struct tkt_call *call)
{
	while (call) {
		struct tkt_call *next = call->next;

		free(call);
		call = next;
	}
}

static void drop_connections(struct peer *peer)
{
	rpcc_destroy(peer->witness);
	rpcc_destroy(peer->home);
	peer->witness = NULL;
	peer->home = NULL;
	peer->address.len = 0;
}

static void free_peer(struct peer *peer)
{
	drop_connections(peer);
	free_calls(peer->head);
	free(peer);
}

static void evict_idle(struct tkt_peers *p)
{
	struct peer **oldest = NULL;
	struct peer *peer;

	for (size_t i = 0; i < BUCKETS; i++) {
		for (struct peer **at = &p->buckets[i]; *at;
		     at = &(*at)->chain) {
			if ((*at)->scheduled)
				continue;
			if (!oldest || (*at)->used_at < (*oldest)->used_at)
				oldest = at;
		}
	}
	if (!oldest)
		return;
	peer = *oldest;
	*oldest = peer->chain;
	p->count--;
	free_peer(peer);
}

static struct peer *get_peer(struct tkt_peers *p, uint64_t vm)
{
	struct peer *peer = p->buckets[vm % BUCKETS];

	while (peer && peer->vm != vm)
		peer = peer->chain;
	if (peer)
		return peer;
	if (p->count == PEERS_MAX)
		evict_idle(p);
	if (p->count == PEERS_MAX)
		return NULL;
	peer = calloc(1, sizeof(*peer));
	if (!peer)
		return NULL;
	peer->vm = vm;
	peer->tail = &peer->head;
	peer->backoff = BACKOFF_MIN;
	peer->chain = p->buckets[vm % BUCKETS];
	p->buckets[vm % BUCKETS] = peer;
	p->count++;
	return peer;
}

/*
 * Creates the clients, again if the VM's address in the list has changed.
 * Returns false when the VM is not in the list or a client cannot be created.
 */
static bool refresh_clients(struct tkt_peers *p, struct peer *peer)
{
	const struct settings *set = p->conf.set;
	struct vmlist *vmlist = p->conf.list(p->conf.ctx);
	const struct vm *vm = vmlist ? tkt_vm_find(vmlist, peer->vm) : NULL;
	bool found = vm != NULL;

	if (found && !strbuf_eq(&vm->address, &peer->address)) {
		drop_connections(peer);
		found = !tkt_dial(&peer->witness, set, p->conf.clk, vm,
				  TKT_WITNESS_PROG) &&
			!tkt_dial(&peer->home, set, p->conf.clk, vm,
				  TKT_HOME_PROG);
		if (found)
			peer->address = vm->address;
	}
	if (vmlist)
		ref_put(&vmlist->ref);
	return found;
}

/* Takes calls of one kind and incarnation from the head of the queue. */
static struct tkt_call *take_batch(struct peer *peer, size_t *count)
{
	struct tkt_call *batch = peer->head;
	struct tkt_call **end = &peer->head;
	const size_t max = batch && batch->kind == TKT_CALL_OP ? BATCH_MAX : 1;

	*count = 0;
	while (*end && *count < max && (*end)->kind == batch->kind &&
	       (*end)->incarnation == batch->incarnation) {
		end = &(*end)->next;
		(*count)++;
	}
	peer->head = *end;
	*end = NULL;
	if (!peer->head)
		peer->tail = &peer->head;
	peer->queued -= *count;
	return batch;
}

static void update_backoff(struct tkt_peers *p, struct peer *peer, int err,
			   apr_time_t began)
{
	const apr_time_t now = clk_now(p->conf.clk);

	peer->failing = err != 0;
	if (!err || now - began < FAST_FAILURE_MAX) {
		peer->backoff = BACKOFF_MIN;
		peer->retry_at = 0;
	} else {
		peer->retry_at = now + peer->backoff;
		peer->backoff = peer->backoff * 2 < BACKOFF_MAX
					? peer->backoff * 2
					: BACKOFF_MAX;
	}
	if (err)
		p->conf.on_witness_failed(p->conf.ctx, peer->vm, err);
}

struct rpc {
	struct rpcc *client;
	rpcproc_t proc;
	xdrproc_t xargs;
	void *args;
	xdrproc_t xres;
	void *res;
	size_t res_size;
};

/*
 * All calls are idempotent. The connection may be stale or cut while the peer
 * is healthy, so the first failure is retried once on a new connection.
 */
static int call_peer(struct tkt_peers *p, struct peer *peer,
		     const struct rpc *rpc)
{
	const apr_interval_time_t timeout =
		CLK_MS(p->conf.set->ticket.call_timeout_ms);
	const apr_time_t began = clk_now(p->conf.clk);
	int err = rpcc_call(rpc->client, rpc->proc, rpc->xargs, rpc->args,
			    rpc->xres, rpc->res, timeout);

	if (err && err != PST_ERR_CONNECT && !peer->failing) {
		memset(rpc->res, 0, rpc->res_size);
		err = rpcc_call(rpc->client, rpc->proc, rpc->xargs, rpc->args,
				rpc->xres, rpc->res, timeout);
	}
	update_backoff(p, peer, err, began);
	return err;
}

static int call_apply(struct tkt_peers *p, struct peer *peer,
		      const struct tkt_call *batch, size_t count,
		      struct tktm_apply_res *res)
{
	struct tktm_op *ops = calloc(count, sizeof(*ops));
	struct tktm_apply_args args = {
		.witness_incarnation = batch->incarnation,
		.vm = p->conf.vm,
		.incarnation = p->conf.incarnation,
		.ops.ops_len = (u_int)count,
		.ops.ops_val = ops,
	};
	int err;

	if (!ops)
		return PST_ERR_NOMEM;
	for (size_t i = 0; i < count; i++, batch = batch->next)
		tkt_wire_encode_op(&ops[i], &batch->op);
	err = call_peer(p, peer,
			&(struct rpc){
				.client = peer->witness,
				.proc = TKT_PROC_APPLY,
				.xargs = (xdrproc_t)xdr_tktm_apply_args,
				.args = &args,
				.xres = (xdrproc_t)xdr_tktm_apply_res,
				.res = res,
				.res_size = sizeof(*res),
			});
	free(ops);
	return err;
}

static void run_ops(struct tkt_peers *p, struct peer *peer,
		    const struct tkt_call *batch, size_t count, bool reachable)
{
	struct tktm_apply_res res = {0};
	int err = PST_ERR_CONNECT;

	if (reachable) {
		err = call_apply(p, peer, batch, count, &res);
		if (!err && res.rulings.rulings_len != count)
			err = PST_ERR_PROTOCOL;
	}
	for (size_t i = 0; i < count; i++, batch = batch->next) {
		struct tkt_ruling ruling = {.grant = TKT_GRANT_NO_REPLY};

		if (!err)
			ruling = tkt_wire_decode_ruling(
				&res.rulings.rulings_val[i]);
		p->conf.on_ruling(p->conf.ctx, batch, &ruling);
	}
	if (!err && res.leaving)
		p->conf.on_witness_failed(p->conf.ctx, peer->vm,
					  PST_ERR_STOPPED);
	xdr_free((xdrproc_t)xdr_tktm_apply_res, &res);
}

static void run_query(struct tkt_peers *p, struct peer *peer,
		      struct tkt_call *call, bool reachable)
{
	struct tktm_query_args args = {
		.incarnation = call->incarnation,
		.attempt = call->query.owner_attempt,
		.key = call->query.key,
	};
	struct tktm_query_res res = {0};
	int err = PST_ERR_CONNECT;

	if (reachable) {
		err = call_peer(p, peer,
				&(struct rpc){
					.client = peer->home,
					.proc = TKT_PROC_QUERY,
					.xargs = (xdrproc_t)xdr_tktm_query_args,
					.args = &args,
					.xres = (xdrproc_t)xdr_tktm_query_res,
					.res = &res,
					.res_size = sizeof(res),
				});
	}
	p->conf.on_outcome(p->conf.ctx, call->attempt,
			   tkt_wire_decode_outcome(res.outcome), err != 0);
}

/* Serves one batch of a peer; returns whether calls are left. */
static bool serve_peer(struct tkt_peers *p, struct peer *peer)
{
	const apr_time_t now = clk_now(p->conf.clk);
	struct tkt_call *batch;
	size_t count;
	bool reachable;
	bool more;

	pthread_mutex_lock(&p->lock);
	batch = take_batch(peer, &count);
	peer->used_at = now;
	pthread_mutex_unlock(&p->lock);
	reachable = now >= peer->retry_at && refresh_clients(p, peer);
	ctr_add(p->messages, reachable);
	if (reachable && batch->kind == TKT_CALL_OP)
		ctr_add(p->ops, count);
	if (batch->kind == TKT_CALL_OP)
		run_ops(p, peer, batch, count, reachable);
	else
		run_query(p, peer, batch, reachable);
	pthread_mutex_lock(&p->lock);
	more = peer->head != NULL;
	peer->scheduled = more;
	p->scheduled_count -= !more;
	pthread_mutex_unlock(&p->lock);
	free_calls(batch);
	return more;
}

static void *run_worker(void *arg)
{
	struct tkt_peers *p = arg;
	void *peer;

	while (apr_queue_pop(p->ready, &peer) == APR_SUCCESS) {
		if (serve_peer(p, peer))
			apr_queue_trypush(p->ready, peer);
	}
	return NULL;
}

int tkt_peers_start(struct tkt_peers **out, const struct tkt_peers_conf *conf)
{
	struct tkt_peers *p = calloc(1, sizeof(*p));

	if (!p)
		return PST_ERR_NOMEM;
	p->conf = *conf;
	p->messages = ctr_get("pst_ticket_messages_total", "",
			      "Calls to witnesses and homes.");
	p->ops = ctr_get("pst_ticket_operations_total", "",
			 "Claims and seals carried by these calls.");
	pthread_mutex_init(&p->lock, NULL);
	if (apr_pool_create(&p->pool, NULL) ||
	    apr_queue_create(&p->ready, PEERS_MAX, p->pool)) {
		tkt_peers_stop(p);
		return PST_ERR_NOMEM;
	}
	for (size_t i = 0; i < WORKERS; i++) {
		if (pthread_create(&p->workers[i], NULL, run_worker, p)) {
			tkt_peers_stop(p);
			return PST_ERR_THREAD;
		}
		p->worker_count++;
	}
	*out = p;
	return 0;
}

void tkt_peers_flush(struct tkt_peers *p, apr_interval_time_t time)
{
	const apr_time_t until = clk_now(p->conf.clk) + time;
	bool busy = true;

	while (busy && clk_now(p->conf.clk) < until) {
		pthread_mutex_lock(&p->lock);
		busy = p->scheduled_count > 0;
		pthread_mutex_unlock(&p->lock);
		if (busy)
			apr_sleep(FLUSH_INTERVAL);
	}
}

void tkt_peers_stop(struct tkt_peers *p)
{
	if (!p)
		return;
	if (p->ready)
		apr_queue_term(p->ready);
	for (size_t i = 0; i < p->worker_count; i++)
		pthread_join(p->workers[i], NULL);
	for (size_t i = 0; i < BUCKETS; i++) {
		while (p->buckets[i]) {
			struct peer *peer = p->buckets[i];

			p->buckets[i] = peer->chain;
			free_peer(peer);
		}
	}
	if (p->pool)
		apr_pool_destroy(p->pool);
	pthread_mutex_destroy(&p->lock);
	free(p);
}

int tkt_peers_send(struct tkt_peers *p, uint64_t vm,
		   const struct tkt_call *call)
{
	struct tkt_call *copy = malloc(sizeof(*copy));
	struct peer *peer;
	bool schedule;

	if (!copy)
		return PST_ERR_NOMEM;
	*copy = *call;
	copy->next = NULL;
	pthread_mutex_lock(&p->lock);
	peer = get_peer(p, vm);
	if (!peer || peer->queued == QUEUE_MAX_CALLS) {
		pthread_mutex_unlock(&p->lock);
		free(copy);
		return PST_ERR_FULL;
	}
	*peer->tail = copy;
	peer->tail = &copy->next;
	peer->queued++;
	schedule = !peer->scheduled;
	p->scheduled_count += schedule;
	peer->scheduled = true;
	pthread_mutex_unlock(&p->lock);
	if (schedule)
		apr_queue_trypush(p->ready, peer);
	return 0;
}
