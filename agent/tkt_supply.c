#include "agent/tkt_supply.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>

#include "agent/tkt_dial.h"
#include "agent/tkt_wire.h"
#include "common/err.h"
#include "common/evt.h"
#include "policy/tkt_pick.h"

#define LOG_MODULE    "ticket.home"

#define POLL_INTERVAL CLK_MS(10)
/* Tickets in the smallest block that is requested. */
#define MIN_COUNT 16
/* How long a VM is avoided; doubles while the VM keeps failing. */
#define BACKOFF_MAX CLK_SEC(3)
#define BACKOFF_MIN CLK_MS(100)
/* Maximum number of VMs that are avoided at once. */
#define AVOIDED_MAX 32
/* Blocks whose unused tickets wait to be returned. */
#define RETURNS_MAX 16

struct avoided {
	uint64_t vm;
	apr_interval_time_t backoff;
	apr_time_t until;
};

struct tkt_supply {
	struct tkt_supply_conf conf;
	pthread_t thread;
	atomic_bool stopping;
	pthread_mutex_t lock;
	struct tkt_home home;
	struct avoided avoided[AVOIDED_MAX];
	size_t next_avoided;
	struct tkt_block returns[RETURNS_MAX];
	size_t return_count;
	bool draining;
	/* The members from here on are used by the thread only. */
	bool drained;
	uint64_t witness;
	bool logged_no_witness;
};

static bool is_avoided(const struct tkt_supply *s, uint64_t vm, apr_time_t now)
{
	for (size_t i = 0; i < AVOIDED_MAX; i++) {
		if (s->avoided[i].vm == vm && now < s->avoided[i].until)
			return true;
	}
	return false;
}

/* Returns whether the VM was not avoided before. The lock must be held. */
static bool avoid(struct tkt_supply *s, uint64_t vm, apr_time_t now)
{
	struct avoided *a = NULL;

	for (size_t i = 0; i < AVOIDED_MAX && !a; i++) {
		if (s->avoided[i].vm == vm)
			a = &s->avoided[i];
	}
	if (a && now < a->until)
		return false;
	if (a && now < a->until + BACKOFF_MAX) {
		a->backoff = a->backoff * 2 < BACKOFF_MAX ? a->backoff * 2
							  : BACKOFF_MAX;
		a->until = now + a->backoff;
		return true;
	}
	if (!a) {
		a = &s->avoided[s->next_avoided];
		s->next_avoided = (s->next_avoided + 1) % AVOIDED_MAX;
	}
	*a = (struct avoided){
		.vm = vm,
		.backoff = BACKOFF_MIN,
		.until = now + BACKOFF_MIN,
	};
	return true;
}

/*
 * Queues the unused tickets of a VM's blocks to be returned; those of all VMs
 * when vm is 0. The lock must be held.
 */
static void release_blocks(struct tkt_supply *s, uint64_t vm)
{
	struct tkt_block left[TKT_HOME_BLOCKS];
	const size_t count = tkt_home_release_blocks(&s->home, vm, left);

	for (size_t i = 0; i < count; i++) {
		if (s->return_count < RETURNS_MAX)
			s->returns[s->return_count++] = left[i];
	}
}

static bool *copy_avoided(struct tkt_supply *s, const struct vmlist *vmlist)
{
	const apr_time_t now = clk_now(s->conf.clk);
	bool *marks = calloc(vmlist->count + 1, sizeof(*marks));

	if (!marks)
		return NULL;
	pthread_mutex_lock(&s->lock);
	for (size_t i = 0; i < vmlist->count; i++)
		marks[i] = is_avoided(
			s, tkt_vm_hash(strbuf_str(&vmlist->vms[i].id)), now);
	pthread_mutex_unlock(&s->lock);
	return marks;
}

static void log_choice(struct tkt_supply *s, const struct tkt_pick *pick)
{
	const uint64_t vm =
		pick->vm ? tkt_vm_hash(strbuf_str(&pick->vm->id)) : 0;

	if (!pick->vm && !s->logged_no_witness)
		evt_log(TICKET_NO_WITNESS, "candidates=%zu", pick->candidates);
	s->logged_no_witness = !pick->vm;
	if (pick->vm && vm != s->witness)
		evt_log(TICKET_WITNESS, "witness=%s why=%s candidates=%zu",
			pick->vm->id.ptr, tkt_pick_reason_name(pick->reason),
			pick->candidates);
	s->witness = vm;
}

/* Copies the chosen VM to *out; returns false when there is none. */
static bool choose_witness(struct tkt_supply *s, struct vm *out)
{
	const struct set_vm *own_vm = &s->conf.set->vm;
	struct vmlist *vmlist = s->conf.list(s->conf.ctx);
	bool *marks = vmlist ? copy_avoided(s, vmlist) : NULL;
	struct tkt_pick pick = {0};
	struct vm self = {0};

	strbuf_set(&self.id, own_vm->id);
	strbuf_set(&self.region, own_vm->region);
	strbuf_set(&self.domain, own_vm->failure_domain);
	if (vmlist)
		tkt_pick_witness(vmlist, &self, marks, &pick);
	log_choice(s, &pick);
	if (pick.vm)
		*out = *pick.vm;
	free(marks);
	if (vmlist)
		ref_put(&vmlist->ref);
	return pick.vm != NULL;
}

static int call_open(struct tkt_supply *s, const struct vm *vm, uint32_t count,
		     struct tktm_open_res *res)
{
	struct tktm_open_args args = {
		.vm = s->conf.vm,
		.incarnation = s->conf.incarnation,
		.count = count,
	};
	struct rpcc *client = NULL;
	int err = tkt_dial(&client, s->conf.set, s->conf.clk, vm,
			   TKT_WITNESS_PROG);

	if (!err)
		err = rpcc_call(client, TKT_PROC_OPEN,
				(xdrproc_t)xdr_tktm_open_args, &args,
				(xdrproc_t)xdr_tktm_open_res, res,
				CLK_MS(s->conf.set->ticket.call_timeout_ms));
	rpcc_destroy(client);
	return err ? err : res->err;
}

static void open_failed(struct tkt_supply *s, const struct vm *vm, int err)
{
	pthread_mutex_lock(&s->lock);
	tkt_home_open_failed(&s->home);
	pthread_mutex_unlock(&s->lock);
	if (vm)
		tkt_supply_avoid(s, tkt_vm_hash(strbuf_str(&vm->id)), err);
}

static void open_block(struct tkt_supply *s, uint32_t count)
{
	const apr_time_t asked_at = clk_now(s->conf.clk);
	struct tktm_open_res res = {0};
	struct tkt_block block;
	struct vm vm;
	int err;

	if (!choose_witness(s, &vm)) {
		open_failed(s, NULL, 0);
		return;
	}
	err = call_open(s, &vm, count, &res);
	if (err) {
		open_failed(s, &vm, err);
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
	pthread_mutex_lock(&s->lock);
	tkt_home_block_opened(&s->home, &block, asked_at,
			      (apr_interval_time_t)res.ttl_us);
	pthread_mutex_unlock(&s->lock);
}

/* Best effort: tickets that are not returned expire with their block. */
static void return_unused(struct tkt_supply *s, const struct tkt_block *block)
{
	struct tktm_shrink_args args = {
		.witness_incarnation = block->witness_incarnation,
		.block = block->number,
		.first_unused = block->next,
	};
	struct vmlist *vmlist = s->conf.list(s->conf.ctx);
	const struct vm *vm =
		vmlist ? tkt_vm_find(vmlist, block->witness) : NULL;
	struct rpcc *client = NULL;

	if (vm &&
	    !tkt_dial(&client, s->conf.set, s->conf.clk, vm, TKT_WITNESS_PROG))
		rpcc_send(client, TKT_PROC_SHRINK,
			  (xdrproc_t)xdr_tktm_shrink_args, &args);
	rpcc_destroy(client);
	if (vmlist)
		ref_put(&vmlist->ref);
}

static void return_all_unused(struct tkt_supply *s)
{
	struct tkt_block block;
	bool found;

	do {
		pthread_mutex_lock(&s->lock);
		found = s->return_count > 0;
		if (found)
			block = s->returns[--s->return_count];
		pthread_mutex_unlock(&s->lock);
		if (found)
			return_unused(s, &block);
	} while (found);
}

/* Reports the drain once, after the unused tickets were returned. */
static void finish_drain(struct tkt_supply *s)
{
	bool draining;

	pthread_mutex_lock(&s->lock);
	draining = s->draining;
	pthread_mutex_unlock(&s->lock);
	if (!draining || s->drained)
		return;
	s->drained = true;
	s->conf.drained(s->conf.ctx);
}

static void *run_thread(void *arg)
{
	struct tkt_supply *s = arg;
	uint32_t count;

	while (!s->stopping) {
		pthread_mutex_lock(&s->lock);
		count = tkt_home_tickets_needed(&s->home, clk_now(s->conf.clk));
		pthread_mutex_unlock(&s->lock);
		if (count)
			open_block(s, count);
		return_all_unused(s);
		finish_drain(s);
		apr_sleep(POLL_INTERVAL);
	}
	return_all_unused(s);
	finish_drain(s);
	return NULL;
}

int tkt_supply_start(struct tkt_supply **out,
		     const struct tkt_supply_conf *conf)
{
	const uint32_t max_count = (uint32_t)conf->set->ticket.block_tickets;
	struct tkt_supply *s = calloc(1, sizeof(*s));

	if (!s)
		return PST_ERR_NOMEM;
	s->conf = *conf;
	pthread_mutex_init(&s->lock, NULL);
	tkt_home_init(&s->home, conf->vm, conf->incarnation,
		      max_count < MIN_COUNT ? max_count : MIN_COUNT, max_count);
	if (pthread_create(&s->thread, NULL, run_thread, s)) {
		free(s);
		return PST_ERR_THREAD;
	}
	*out = s;
	return 0;
}

void tkt_supply_stop(struct tkt_supply *s)
{
	if (!s)
		return;
	s->stopping = true;
	pthread_join(s->thread, NULL);
	pthread_mutex_destroy(&s->lock);
	free(s);
}

bool tkt_supply_issue(struct tkt_supply *s, struct tkt_id *out)
{
	bool issued;

	pthread_mutex_lock(&s->lock);
	issued = tkt_home_issue(&s->home, clk_now(s->conf.clk), out);
	pthread_mutex_unlock(&s->lock);
	return issued;
}

void tkt_supply_avoid(struct tkt_supply *s, uint64_t vm, int err)
{
	bool newly_avoided;

	pthread_mutex_lock(&s->lock);
	newly_avoided = avoid(s, vm, clk_now(s->conf.clk));
	release_blocks(s, vm);
	pthread_mutex_unlock(&s->lock);
	if (newly_avoided)
		evt_log(TICKET_WITNESS_FAILED, "witness=%llx err=%s",
			(unsigned long long)vm, err_name(err));
}

uint32_t tkt_supply_drain(struct tkt_supply *s)
{
	uint32_t unused = 0;

	pthread_mutex_lock(&s->lock);
	for (size_t i = 0; i < s->home.block_count; i++)
		unused += s->home.blocks[i].count - s->home.blocks[i].next;
	tkt_home_drain(&s->home);
	s->draining = true;
	release_blocks(s, 0);
	pthread_mutex_unlock(&s->lock);
	return unused;
}
