#include "controld/vote_task.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>

#include "common/err.h"
#include "agent/task.h"
#include "controld/peercall.h"

/* Rounds between two attempts at a domain that has only leaving VMs. */
#define LEAVING_RETRY_ROUNDS 4

/* Domains asked in a round while no majority is needed. */
#define IDLE_DOMAINS_PER_ROUND 6

/* Domains asked concurrently. */
#define POLL_THREADS 8

/* Domains to ask in a round, in this order. */
struct round {
	const struct tbl *tbl;
	const struct vmlist *members;
	apr_time_t started_at;
	bool until_majority;
	size_t *order;
	size_t count;
};

/* A thread of a round and its connections. */
struct poller {
	struct vote_task *task;
	struct peercall *peercall;
};

struct vote_task {
	const struct settings *set;
	const struct clk *clk;
	struct node *node;
	struct task task;
	struct poller pollers[POLL_THREADS];
	/* The round in progress, shared by the pollers. */
	const struct round *round;
	atomic_size_t next_index;
	atomic_bool majority_reached;
	/* Guards votes during a round. */
	pthread_mutex_t lock;
	/* One for each failure domain of the table. */
	struct rev_vote *votes;
	size_t count;
	uint64_t domains_hash;
	apr_time_t last_round_at;
	/* Domain and VM to start the next round with. */
	size_t next_domain;
	size_t next_vm;
};

static uint64_t hash_domains(const struct tbl *tbl)
{
	uint64_t hash = tbl->domain_count;

	for (size_t d = 0; d < tbl->domain_count; d++)
		hash = str_hash(strbuf_str(&tbl->domains[d].name), hash);
	return hash;
}

/* Drops all votes if the table's failure domains have changed. */
static bool resize_votes(struct vote_task *task, const struct tbl *tbl)
{
	const uint64_t hash = hash_domains(tbl);
	struct rev_vote *votes;

	if (task->votes && task->domains_hash == hash)
		return true;
	votes = calloc(tbl->domain_count + 1, sizeof(*votes));
	if (!votes)
		return false;
	free(task->votes);
	task->votes = votes;
	task->count = tbl->domain_count;
	task->domains_hash = hash;
	return true;
}

/* Picks a live VM of the domain, or else a leaving one, in rotation. */
static const struct vm *pick_vm(struct vote_task *task,
				const struct vmlist *members, struct str domain)
{
	const struct vm *leaving = NULL;

	for (size_t i = 0; i < members->count; i++) {
		const struct vm *vm =
			&members->vms[(task->next_vm + i) % members->count];

		if (vm->kind != VM_ENTRY ||
		    !str_eq(strbuf_str(&vm->domain), domain))
			continue;
		if (vm->state == VM_LIVE)
			return vm;
		if (!leaving)
			leaving = vm;
	}
	return leaving;
}

static void set_vote(struct vote_task *task, size_t d,
		     const struct rev_vote *vote)
{
	pthread_mutex_lock(&task->lock);
	task->votes[d] = *vote;
	pthread_mutex_unlock(&task->lock);
}

static void poll_vm(struct vote_task *task, struct peercall *peercall,
		    const struct vm *vm, size_t d)
{
	table_status status;
	apr_time_t asked_at;

	if (peercall_status(peercall, vm, &status, &asked_at))
		return;
	node_note_peer(task->node, &status);
	set_vote(task, d,
		 &(struct rev_vote){
			 .valid = status.voter,
			 .revision = status.revision,
			 .asked_at = asked_at,
		 });
	if (status.revision > node_revision(task->node))
		peercall_sync(peercall, vm);
	xdr_free((xdrproc_t)xdr_table_status, &status);
}

static void set_own_vote(struct vote_task *task, size_t d)
{
	set_vote(task, d,
		 &(struct rev_vote){
			 .valid = node_is_voter(task->node),
			 .revision = node_revision(task->node),
			 .asked_at = clk_now(task->clk),
		 });
}

/* Confirms the table by a majority. Returns whether it has answered since. */
static bool count_votes(struct vote_task *task, apr_time_t since)
{
	const uint64_t held = node_revision(task->node);
	apr_time_t at;
	bool found;

	pthread_mutex_lock(&task->lock);
	found = rev_majority(task->votes, task->count, held, &at);
	pthread_mutex_unlock(&task->lock);
	if (!found)
		return false;
	node_confirm(task->node, held, at, NODE_SOURCE_MAJORITY);
	return at >= since;
}

/* Asks domains of the round until all are asked or a majority has answered. */
static void *run_poller(void *arg)
{
	struct poller *poller = arg;
	struct vote_task *task = poller->task;
	const struct round *round = task->round;

	while (!task->majority_reached) {
		const size_t i = task->next_index++;
		struct str domain;
		const struct vm *vm;

		if (i >= round->count)
			break;
		domain = strbuf_str(&round->tbl->domains[round->order[i]].name);
		if (str_eq(domain, task->set->vm.failure_domain)) {
			set_own_vote(task, round->order[i]);
			continue;
		}
		vm = pick_vm(task, round->members, domain);
		if (!vm || (vm->state == VM_LEAVING &&
			    task->next_vm % LEAVING_RETRY_ROUNDS))
			continue;
		poll_vm(task, poller->peercall, vm, round->order[i]);
		if (round->until_majority &&
		    count_votes(task, round->started_at))
			task->majority_reached = true;
	}
	return NULL;
}

/* Asks the domains of a round; the calling thread is the first poller. */
static void poll_domains(struct vote_task *task, const struct round *round)
{
	pthread_t threads[POLL_THREADS];
	size_t started = 0;

	task->round = round;
	task->next_index = 0;
	task->majority_reached = false;
	for (size_t i = 1; i < POLL_THREADS && i < round->count; i++) {
		if (pthread_create(&threads[started], NULL, run_poller,
				   &task->pollers[i]))
			break;
		started++;
	}
	run_poller(&task->pollers[0]);
	for (size_t i = 0; i < started; i++)
		pthread_join(threads[i], NULL);
}

/* Asks a few domains in turn, to learn which ones answer. */
static void poll_some_domains(struct vote_task *task, struct round *round)
{
	for (size_t i = 0; i < task->count && i < IDLE_DOMAINS_PER_ROUND; i++)
		round->order[round->count++] =
			task->next_domain++ % task->count;
	poll_domains(task, round);
}

/*
 * Asks until a majority has answered, beginning with the domains that answered
 * in the previous round, so that silent ones cause no delay.
 */
static void poll_until_majority(struct vote_task *task, struct round *round)
{
	const apr_time_t before = task->last_round_at;

	task->last_round_at = round->started_at;
	round->until_majority = true;
	for (int answered = 1; answered >= 0; answered--) {
		for (size_t d = 0; d < task->count; d++) {
			if ((task->votes[d].asked_at >= before) ==
			    (bool)answered)
				round->order[round->count++] = d;
		}
	}
	poll_domains(task, round);
	count_votes(task, round->started_at);
}

static bool confirmed_recently(const struct vote_task *task)
{
	const apr_interval_time_t timeout =
		CLK_MS(task->set->control.freshness_timeout_ms);

	return node_age(task->node) < timeout / 2;
}

static void run_round(struct vote_task *task, const struct tbl *tbl,
		      const struct vmlist *members)
{
	const bool relay = node_is_relay(task->node);
	const bool idle = node_source(task->node) != NODE_SOURCE_MAJORITY &&
			  confirmed_recently(task) &&
			  (!relay || node_store_reachable(task->node));
	struct round round = {
		.tbl = tbl,
		.members = members,
		.started_at = clk_now(task->clk),
		.order = calloc(tbl->domain_count + 1, sizeof(size_t)),
	};

	if (round.order && resize_votes(task, tbl)) {
		if (!idle)
			poll_until_majority(task, &round);
		else if (relay)
			poll_some_domains(task, &round);
	}
	free(round.order);
	task->next_vm++;
}

static apr_interval_time_t run(void *ctx)
{
	struct vote_task *task = ctx;
	struct vmlist *members = node_members(task->node);
	struct tbl *tbl = node_table(task->node);

	if (members && tbl)
		run_round(task, tbl, members);
	vmlist_put(members);
	tbl_put(tbl);
	return task_jitter(CLK_MS(task->set->table.peer_interval_ms));
}

int vote_task_start(struct vote_task **out, const struct settings *set,
		    const struct clk *clk, struct node *node)
{
	struct vote_task *task = calloc(1, sizeof(*task));
	int err = 0;

	if (!task)
		return PST_ERR_NOMEM;
	task->set = set;
	task->clk = clk;
	task->node = node;
	pthread_mutex_init(&task->lock, NULL);
	for (size_t i = 0; !err && i < POLL_THREADS; i++) {
		task->pollers[i].task = task;
		err = peercall_create(&task->pollers[i].peercall, set, clk,
				      node);
	}
	if (!err)
		err = task_start(&task->task, run, task);
	if (err)
		vote_task_stop(task);
	else
		*out = task;
	return err;
}

void vote_task_stop(struct vote_task *task)
{
	if (!task)
		return;
	task_stop(&task->task);
	for (size_t i = 0; i < POLL_THREADS; i++)
		peercall_destroy(task->pollers[i].peercall);
	pthread_mutex_destroy(&task->lock);
	free(task->votes);
	free(task);
}
