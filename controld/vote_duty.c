#include "controld/vote_duty.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>

#include "common/err.h"
#include "agent/duty.h"
#include "controld/xchg.h"

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
	struct vote_duty *duty;
	struct xchg *xchg;
};

struct vote_duty {
	const struct settings *set;
	const struct clk *clk;
	struct node *node;
	struct duty duty;
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
static bool resize_votes(struct vote_duty *duty, const struct tbl *tbl)
{
	const uint64_t hash = hash_domains(tbl);
	struct rev_vote *votes;

	if (duty->votes && duty->domains_hash == hash)
		return true;
	votes = calloc(tbl->domain_count + 1, sizeof(*votes));
	if (!votes)
		return false;
	free(duty->votes);
	duty->votes = votes;
	duty->count = tbl->domain_count;
	duty->domains_hash = hash;
	return true;
}

/* Picks a live VM of the domain, or else a leaving one, in rotation. */
static const struct vm *pick_vm(struct vote_duty *duty,
				const struct vmlist *members, struct str domain)
{
	const struct vm *leaving = NULL;

	for (size_t i = 0; i < members->count; i++) {
		const struct vm *vm =
			&members->vms[(duty->next_vm + i) % members->count];

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

static void set_vote(struct vote_duty *duty, size_t d,
		     const struct rev_vote *vote)
{
	pthread_mutex_lock(&duty->lock);
	duty->votes[d] = *vote;
	pthread_mutex_unlock(&duty->lock);
}

static void poll_vm(struct vote_duty *duty, struct xchg *xchg,
		    const struct vm *vm, size_t d)
{
	table_status status;
	apr_time_t asked_at;

	if (xchg_status(xchg, vm, &status, &asked_at))
		return;
	node_note_peer(duty->node, &status);
	set_vote(duty, d,
		 &(struct rev_vote){
			 .valid = status.voter,
			 .revision = status.revision,
			 .asked_at = asked_at,
		 });
	if (status.revision > node_revision(duty->node))
		xchg_sync(xchg, vm);
	xdr_free((xdrproc_t)xdr_table_status, &status);
}

static void set_own_vote(struct vote_duty *duty, size_t d)
{
	set_vote(duty, d,
		 &(struct rev_vote){
			 .valid = node_is_voter(duty->node),
			 .revision = node_revision(duty->node),
			 .asked_at = clk_now(duty->clk),
		 });
}

/* Confirms the table by a majority. Returns whether it has answered since. */
static bool count_votes(struct vote_duty *duty, apr_time_t since)
{
	const uint64_t held = node_revision(duty->node);
	apr_time_t at;
	bool found;

	pthread_mutex_lock(&duty->lock);
	found = rev_majority(duty->votes, duty->count, held, &at);
	pthread_mutex_unlock(&duty->lock);
	if (!found)
		return false;
	node_confirm(duty->node, held, at, NODE_SOURCE_MAJORITY);
	return at >= since;
}

/* Asks domains of the round until all are asked or a majority has answered. */
static void *run_poller(void *arg)
{
	struct poller *poller = arg;
	struct vote_duty *duty = poller->duty;
	const struct round *round = duty->round;

	while (!duty->majority_reached) {
		const size_t i = duty->next_index++;
		struct str domain;
		const struct vm *vm;

		if (i >= round->count)
			break;
		domain = strbuf_str(&round->tbl->domains[round->order[i]].name);
		if (str_eq(domain, duty->set->vm.failure_domain)) {
			set_own_vote(duty, round->order[i]);
			continue;
		}
		vm = pick_vm(duty, round->members, domain);
		if (!vm || (vm->state == VM_LEAVING &&
			    duty->next_vm % LEAVING_RETRY_ROUNDS))
			continue;
		poll_vm(duty, poller->xchg, vm, round->order[i]);
		if (round->until_majority &&
		    count_votes(duty, round->started_at))
			duty->majority_reached = true;
	}
	return NULL;
}

/* Asks the domains of a round; the calling thread is the first poller. */
static void poll_domains(struct vote_duty *duty, const struct round *round)
{
	pthread_t threads[POLL_THREADS];
	size_t started = 0;

	duty->round = round;
	duty->next_index = 0;
	duty->majority_reached = false;
	for (size_t i = 1; i < POLL_THREADS && i < round->count; i++) {
		if (pthread_create(&threads[started], NULL, run_poller,
				   &duty->pollers[i]))
			break;
		started++;
	}
	run_poller(&duty->pollers[0]);
	for (size_t i = 0; i < started; i++)
		pthread_join(threads[i], NULL);
}

/* Asks a few domains in turn, to learn which ones answer. */
static void poll_some_domains(struct vote_duty *duty, struct round *round)
{
	for (size_t i = 0; i < duty->count && i < IDLE_DOMAINS_PER_ROUND; i++)
		round->order[round->count++] =
			duty->next_domain++ % duty->count;
	poll_domains(duty, round);
}

/*
 * Asks until a majority has answered, beginning with the domains that answered
 * in the previous round, so that silent ones cause no delay.
 */
static void poll_until_majority(struct vote_duty *duty, struct round *round)
{
	const apr_time_t before = duty->last_round_at;

	duty->last_round_at = round->started_at;
	round->until_majority = true;
	for (int answered = 1; answered >= 0; answered--) {
		for (size_t d = 0; d < duty->count; d++) {
			if ((duty->votes[d].asked_at >= before) ==
			    (bool)answered)
				round->order[round->count++] = d;
		}
	}
	poll_domains(duty, round);
	count_votes(duty, round->started_at);
}

static bool confirmed_recently(const struct vote_duty *duty)
{
	const apr_interval_time_t timeout =
		CLK_MS(duty->set->control.freshness_timeout_ms);

	return node_age(duty->node) < timeout / 2;
}

static void run_round(struct vote_duty *duty, const struct tbl *tbl,
		      const struct vmlist *members)
{
	const bool relay = node_is_relay(duty->node);
	const bool idle = node_source(duty->node) != NODE_SOURCE_MAJORITY &&
			  confirmed_recently(duty) &&
			  (!relay || node_store_reachable(duty->node));
	struct round round = {
		.tbl = tbl,
		.members = members,
		.started_at = clk_now(duty->clk),
		.order = calloc(tbl->domain_count + 1, sizeof(size_t)),
	};

	if (round.order && resize_votes(duty, tbl)) {
		if (!idle)
			poll_until_majority(duty, &round);
		else if (relay)
			poll_some_domains(duty, &round);
	}
	free(round.order);
	duty->next_vm++;
}

static apr_interval_time_t run(void *ctx)
{
	struct vote_duty *duty = ctx;
	struct vmlist *members = node_members(duty->node);
	struct tbl *tbl = node_table(duty->node);

	if (members && tbl)
		run_round(duty, tbl, members);
	vmlist_put(members);
	tbl_put(tbl);
	return duty_jitter(CLK_MS(duty->set->table.peer_interval_ms));
}

int vote_duty_start(struct vote_duty **out, const struct settings *set,
		    const struct clk *clk, struct node *node)
{
	struct vote_duty *duty = calloc(1, sizeof(*duty));
	int err = 0;

	if (!duty)
		return PST_ERR_NOMEM;
	duty->set = set;
	duty->clk = clk;
	duty->node = node;
	pthread_mutex_init(&duty->lock, NULL);
	for (size_t i = 0; !err && i < POLL_THREADS; i++) {
		duty->pollers[i].duty = duty;
		err = xchg_create(&duty->pollers[i].xchg, set, clk, node);
	}
	if (!err)
		err = duty_start(&duty->duty, run, duty);
	if (err)
		vote_duty_stop(duty);
	else
		*out = duty;
	return err;
}

void vote_duty_stop(struct vote_duty *duty)
{
	if (!duty)
		return;
	duty_stop(&duty->duty);
	for (size_t i = 0; i < POLL_THREADS; i++)
		xchg_destroy(duty->pollers[i].xchg);
	pthread_mutex_destroy(&duty->lock);
	free(duty->votes);
	free(duty);
}
