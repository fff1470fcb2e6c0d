#include "agent/tkt_keeper.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>

#include "agent/tkt_dial.h"
#include "agent/tkt_wire.h"
#include "common/err.h"
#include "common/evt.h"
#include "policy/tkt_pick.h"

#define LOG_MODULE "ticket.home"

#define INTERVAL   CLK_MS(10)
/* Tickets in the smallest block. */
#define MIN_COUNT 16
/* VMs avoided at once; how long, doubling while a VM keeps failing. */
#define AVOID_MAX CLK_SEC(3)
#define AVOID_MIN CLK_MS(100)
#define AVOID_VMS 32
/* Unused parts of blocks that wait to be handed back. */
#define RETURNS_MAX 16

struct avoided {
	uint64_t vm;
	apr_interval_time_t time;
	apr_time_t until;
};

struct tkt_keeper {
	struct tkt_keeper_conf conf;
	pthread_t thread;
	atomic_bool stopping;
	pthread_mutex_t lock;
	struct tkt_home home;
	struct avoided avoided[AVOID_VMS];
	size_t avoid_next;
	struct tkt_block returns[RETURNS_MAX];
	size_t return_count;
	bool draining;
	/* The thread's own. */
	bool drained;
	uint64_t witness;
	bool told_none;
};

static bool is_avoided(const struct tkt_keeper *k, uint64_t vm, apr_time_t now)
{
	for (size_t i = 0; i < AVOID_VMS; i++) {
		if (k->avoided[i].vm == vm && now < k->avoided[i].until)
			return true;
	}
	return false;
}

/* Returns whether the VM was not avoided yet. The lock is held. */
static bool avoid(struct tkt_keeper *k, uint64_t vm, apr_time_t now)
{
	struct avoided *a = NULL;

	for (size_t i = 0; i < AVOID_VMS && !a; i++) {
		if (k->avoided[i].vm == vm)
			a = &k->avoided[i];
	}
	if (a && now < a->until)
		return false;
	if (a && now < a->until + AVOID_MAX) {
		a->time = a->time * 2 < AVOID_MAX ? a->time * 2 : AVOID_MAX;
		a->until = now + a->time;
		return true;
	}
	if (!a) {
		a = &k->avoided[k->avoid_next];
		k->avoid_next = (k->avoid_next + 1) % AVOID_VMS;
	}
	*a = (struct avoided){
		.vm = vm,
		.time = AVOID_MIN,
		.until = now + AVOID_MIN,
	};
	return true;
}

/* Stops using a VM; its unused tickets go back. The lock is held. */
static void leave(struct tkt_keeper *k, uint64_t vm)
{
	struct tkt_block left[TKT_HOME_BLOCKS];
	const size_t count = tkt_home_release_blocks(&k->home, vm, left);

	for (size_t i = 0; i < count; i++) {
		if (k->return_count < RETURNS_MAX)
			k->returns[k->return_count++] = left[i];
	}
}

static bool *mark_avoided(struct tkt_keeper *k, const struct vml *vml)
{
	const apr_time_t now = clk_now(k->conf.clk);
	bool *marks = calloc(vml->count + 1, sizeof(*marks));

	if (!marks)
		return NULL;
	pthread_mutex_lock(&k->lock);
	for (size_t i = 0; i < vml->count; i++)
		marks[i] = is_avoided(
			k, tkt_vm_hash(strbuf_str(&vml->vms[i].id)), now);
	pthread_mutex_unlock(&k->lock);
	return marks;
}

static void log_choice(struct tkt_keeper *k, const struct tkt_pick *pick)
{
	const uint64_t vm =
		pick->vm ? tkt_vm_hash(strbuf_str(&pick->vm->id)) : 0;

	if (!pick->vm && !k->told_none)
		evt_log(TICKET_NO_WITNESS, "candidates=%zu", pick->candidates);
	k->told_none = !pick->vm;
	if (pick->vm && vm != k->witness)
		evt_log(TICKET_WITNESS, "witness=%s why=%s candidates=%zu",
			pick->vm->id.ptr, tkt_pick_reason_name(pick->reason),
			pick->candidates);
	k->witness = vm;
}

/* Copies the chosen VM; false when there is none. */
static bool choose(struct tkt_keeper *k, struct vm *out)
{
	const struct set_vm *own = &k->conf.set->vm;
	struct vml *vml = k->conf.list(k->conf.ctx);
	bool *marks = vml ? mark_avoided(k, vml) : NULL;
	struct tkt_pick pick = {0};
	struct vm self = {0};

	strbuf_set(&self.id, own->id);
	strbuf_set(&self.region, own->region);
	strbuf_set(&self.domain, own->failure_domain);
	if (vml)
		tkt_pick_witness(vml, &self, marks, &pick);
	log_choice(k, &pick);
	if (pick.vm)
		*out = *pick.vm;
	free(marks);
	if (vml)
		ref_put(&vml->ref);
	return pick.vm != NULL;
}

static int call_open(struct tkt_keeper *k, const struct vm *vm, uint32_t count,
		     struct tktm_open_res *res)
{
	struct tktm_open_args args = {
		.vm = k->conf.vm,
		.incarnation = k->conf.incarnation,
		.count = count,
	};
	struct rpcc *client = NULL;
	int err = tkt_dial(&client, k->conf.set, k->conf.clk, vm,
			   TKT_WITNESS_PROG);

	if (!err)
		err = rpcc_call(client, TKT_PROC_OPEN,
				(xdrproc_t)xdr_tktm_open_args, &args,
				(xdrproc_t)xdr_tktm_open_res, res,
				CLK_MS(k->conf.set->ticket.call_timeout_ms));
	rpcc_destroy(client);
	return err ? err : res->err;
}

static void open_failed(struct tkt_keeper *k, const struct vm *vm, int err)
{
	pthread_mutex_lock(&k->lock);
	tkt_home_open_failed(&k->home);
	pthread_mutex_unlock(&k->lock);
	if (vm)
		tkt_keeper_avoid(k, tkt_vm_hash(strbuf_str(&vm->id)), err);
}

static void open_block(struct tkt_keeper *k, uint32_t count)
{
	const apr_time_t asked_at = clk_now(k->conf.clk);
	struct tktm_open_res res = {0};
	struct tkt_block block;
	struct vm vm;
	int err;

	if (!choose(k, &vm)) {
		open_failed(k, NULL, 0);
		return;
	}
	err = call_open(k, &vm, count, &res);
	if (err) {
		open_failed(k, &vm, err);
		return;
	}
	block = (struct tkt_block){
		.witness = tkt_vm_hash(strbuf_str(&vm.id)),
		.witness_incarnation = res.witness_incarnation,
		.number = res.block,
		.count = res.count,
	};
	evt_log(TICKET_BLOCK, "witness=%s block=%llu count=%u", vm.id.ptr,
		(unsigned long long)res.block, res.count);
	pthread_mutex_lock(&k->lock);
	tkt_home_block_opened(&k->home, &block, asked_at,
			      (apr_interval_time_t)res.ttl_us);
	pthread_mutex_unlock(&k->lock);
}

/* Best effort: what is not handed back lapses with its block. */
static void hand_back(struct tkt_keeper *k, const struct tkt_block *block)
{
	struct tktm_shrink_args args = {
		.witness_incarnation = block->witness_incarnation,
		.block = block->number,
		.first_unused = block->next,
	};
	struct vml *vml = k->conf.list(k->conf.ctx);
	const struct vm *vm = vml ? tkt_vm_find(vml, block->witness) : NULL;
	struct rpcc *client = NULL;

	if (vm &&
	    !tkt_dial(&client, k->conf.set, k->conf.clk, vm, TKT_WITNESS_PROG))
		rpcc_send(client, TKT_PROC_SHRINK,
			  (xdrproc_t)xdr_tktm_shrink_args, &args);
	rpcc_destroy(client);
	if (vml)
		ref_put(&vml->ref);
}

static void hand_back_all(struct tkt_keeper *k)
{
	struct tkt_block block;
	bool found;

	do {
		pthread_mutex_lock(&k->lock);
		found = k->return_count > 0;
		if (found)
			block = k->returns[--k->return_count];
		pthread_mutex_unlock(&k->lock);
		if (found)
			hand_back(k, &block);
	} while (found);
}

/* Once, after the unused tickets went back. */
static void finish_drain(struct tkt_keeper *k)
{
	bool draining;

	pthread_mutex_lock(&k->lock);
	draining = k->draining;
	pthread_mutex_unlock(&k->lock);
	if (!draining || k->drained)
		return;
	k->drained = true;
	k->conf.drained(k->conf.ctx);
}

static void *keep(void *arg)
{
	struct tkt_keeper *k = arg;
	uint32_t count;

	while (!k->stopping) {
		pthread_mutex_lock(&k->lock);
		count = tkt_home_tickets_needed(&k->home, clk_now(k->conf.clk));
		pthread_mutex_unlock(&k->lock);
		if (count)
			open_block(k, count);
		hand_back_all(k);
		finish_drain(k);
		apr_sleep(INTERVAL);
	}
	hand_back_all(k);
	finish_drain(k);
	return NULL;
}

int tkt_keeper_start(struct tkt_keeper **out,
		     const struct tkt_keeper_conf *conf)
{
	const uint32_t most = (uint32_t)conf->set->ticket.block_tickets;
	struct tkt_keeper *k = calloc(1, sizeof(*k));

	if (!k)
		return PST_ERR_NOMEM;
	k->conf = *conf;
	pthread_mutex_init(&k->lock, NULL);
	tkt_home_init(&k->home, conf->vm, conf->incarnation,
		      most < MIN_COUNT ? most : MIN_COUNT, most);
	if (pthread_create(&k->thread, NULL, keep, k)) {
		free(k);
		return PST_ERR_THREAD;
	}
	*out = k;
	return 0;
}

void tkt_keeper_stop(struct tkt_keeper *k)
{
	if (!k)
		return;
	k->stopping = true;
	pthread_join(k->thread, NULL);
	pthread_mutex_destroy(&k->lock);
	free(k);
}

bool tkt_keeper_issue(struct tkt_keeper *k, struct tkt_id *out)
{
	bool issued;

	pthread_mutex_lock(&k->lock);
	issued = tkt_home_issue(&k->home, clk_now(k->conf.clk), out);
	pthread_mutex_unlock(&k->lock);
	return issued;
}

void tkt_keeper_avoid(struct tkt_keeper *k, uint64_t vm, int err)
{
	bool fresh;

	pthread_mutex_lock(&k->lock);
	fresh = avoid(k, vm, clk_now(k->conf.clk));
	leave(k, vm);
	pthread_mutex_unlock(&k->lock);
	if (fresh)
		evt_log(TICKET_WITNESS_FAILED, "witness=%llx err=%s",
			(unsigned long long)vm, err_name(err));
}

uint32_t tkt_keeper_drain(struct tkt_keeper *k)
{
	uint32_t unused = 0;

	pthread_mutex_lock(&k->lock);
	for (size_t i = 0; i < k->home.block_count; i++)
		unused += k->home.blocks[i].count - k->home.blocks[i].next;
	tkt_home_drain(&k->home);
	k->draining = true;
	leave(k, 0);
	pthread_mutex_unlock(&k->lock);
	return unused;
}
