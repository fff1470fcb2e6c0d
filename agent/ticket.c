#include "agent/ticket.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include <apr_queue.h>

#include "agent/tkt_call.h"
#include "agent/tkt_claims.h"
#include "agent/tkt_count.h"
#include "agent/tkt_handover.h"
#include "agent/tkt_hop.h"
#include "agent/tkt_supply.h"
#include "agent/tkt_log.h"
#include "agent/tkt_peers.h"
#include "agent/tkt_serve.h"
#include "common/err.h"
#include "common/evt.h"
#include "policy/tkt_claimant.h"

#define LOG_MODULE    "ticket"

#define TICK_INTERVAL CLK_MS(5)
/* Capacity of the answer queue for each key that may be remembered. */
#define ANSWERS_PER_KEY 2

struct tkt_agent {
	const struct settings *set;
	const struct clk *clk;
	struct tkt_env env;
	void (*on_answer)(void *ctx, const struct tkt_answer *answer);
	void *ctx;
	uint64_t vm;
	uint64_t incarnation;
	apr_pool_t *pool;
	/* Guards claimant. */
	pthread_mutex_t lock;
	struct tkt_claimant *claimant;
	struct tkt_serve serve;
	struct tkt_supply *supply;
	struct tkt_peers *peers;
	struct tkt_claims *claims;
	/* Answers for the answerer thread. */
	apr_queue_t *answers;
	atomic_bool stopping;
	pthread_t answerer;
	pthread_t ticker;
	int threads;
};

static uint64_t make_incarnation(void)
{
	static atomic_uint starts;
	uint64_t random = 0;

	while (getrandom(&random, sizeof(random), 0) != sizeof(random))
		;
	random += ++starts;
	return random ? random : 1;
}

static void send_claim(struct tkt_agent *agent, const struct tkt_action *action)
{
	const struct tkt_owner self = {
		.vm = agent->vm,
		.incarnation = agent->incarnation,
		.attempt = action->attempt,
	};

	tkt_claims_send(agent->claims, action->key->own, &self);
}

/* The queue has room: tkt_agent_admit() refuses requests before it is full. */
static void queue_answer(struct tkt_agent *agent,
			 const struct tkt_answer *answer)
{
	struct tkt_answer *copy = malloc(sizeof(*copy));

	if (!copy)
		return;
	*copy = *answer;
	tkt_count_verdict(answer->verdict);
	if (apr_queue_trypush(agent->answers, copy) != APR_SUCCESS)
		free(copy);
}

/* Failures to send are ignored: the claimant sends again or gives up. */
static void act(void *ctx, const struct tkt_action *action)
{
	struct tkt_agent *agent = ctx;

	tkt_log_action(action);
	switch (action->kind) {
	case TKT_ACT_ARBITRATE:
		if (action->key->kind == TKT_KEY_OWN)
			send_claim(agent, action);
		else
			tkt_call_send_op(agent->peers, action);
		return;
	case TKT_ACT_ASK:
		tkt_call_send_query(agent->peers, action);
		return;
	case TKT_ACT_ANSWER:
		queue_answer(agent, &action->answer);
		return;
	}
}

static struct vmlist *list(void *ctx)
{
	struct tkt_agent *agent = ctx;

	return agent->env.list(agent->env.ctx);
}

static void deliver_ruling(void *ctx, uint64_t attempt,
			   const struct tkt_ruling *ruling)
{
	struct tkt_agent *agent = ctx;

	pthread_mutex_lock(&agent->lock);
	tkt_claimant_ruling(agent->claimant, attempt, ruling,
			    clk_now(agent->clk));
	pthread_mutex_unlock(&agent->lock);
}

static void on_ruling(void *ctx, const struct tkt_call *call,
		      const struct tkt_ruling *ruling)
{
	struct tkt_agent *agent = ctx;
	struct vmlist *vmlist = list(agent);
	struct tkt_call next = *call;
	struct tkt_ruling last = *ruling;
	const uint64_t vm = tkt_hop_next(vmlist, &next, &last);

	if (vmlist)
		ref_put(&vmlist->ref);
	if (!vm || tkt_peers_send(agent->peers, vm, &next))
		deliver_ruling(agent, call->attempt, &last);
}

static void on_outcome(void *ctx, uint64_t attempt, enum tkt_outcome outcome,
		       bool no_reply)
{
	struct tkt_agent *agent = ctx;

	pthread_mutex_lock(&agent->lock);
	tkt_claimant_outcome(agent->claimant, attempt, outcome, no_reply,
			     clk_now(agent->clk));
	pthread_mutex_unlock(&agent->lock);
}

static void on_witness_failed(void *ctx, uint64_t vm, int err)
{
	struct tkt_agent *agent = ctx;

	tkt_supply_avoid(agent->supply, vm, err);
}

static enum tkt_outcome on_query(void *ctx, struct str text, uint64_t attempt)
{
	struct tkt_agent *agent = ctx;
	enum tkt_outcome outcome;
	struct tkt_key key;

	if (tkt_key_parse(text, &key))
		return TKT_OUTCOME_NO_RECORD;
	pthread_mutex_lock(&agent->lock);
	outcome = tkt_claimant_query(agent->claimant, &key, attempt);
	pthread_mutex_unlock(&agent->lock);
	return outcome;
}

static void on_drained(void *ctx)
{
	struct tkt_agent *agent = ctx;
	struct vmlist *vmlist = list(agent);

	if (!vmlist)
		return;
	tkt_handover(&agent->serve, agent->set, vmlist);
	ref_put(&vmlist->ref);
}

/* Returns the number of entry VMs, which share the write budget. */
static uint32_t count_entries(void *ctx)
{
	struct tkt_agent *agent = ctx;
	struct vmlist *vmlist = list(agent);
	uint32_t count = 0;

	if (!vmlist)
		return 0;
	for (size_t i = 0; i < vmlist->count; i++)
		count += vmlist->vms[i].kind == VM_ENTRY;
	ref_put(&vmlist->ref);
	return count;
}

static void *run_answers(void *arg)
{
	struct tkt_agent *agent = arg;
	void *answer;

	while (apr_queue_pop(agent->answers, &answer) == APR_SUCCESS) {
		agent->on_answer(agent->ctx, answer);
		free(answer);
	}
	return NULL;
}

static void *run_ticks(void *arg)
{
	struct tkt_agent *agent = arg;

	while (!agent->stopping) {
		pthread_mutex_lock(&agent->lock);
		tkt_claimant_tick(agent->claimant, clk_now(agent->clk));
		pthread_mutex_unlock(&agent->lock);
		apr_sleep(TICK_INTERVAL);
	}
	return NULL;
}

static int create_queues(struct tkt_agent *agent)
{
	const unsigned answers =
		(unsigned)agent->set->ticket.max_open * ANSWERS_PER_KEY;

	if (apr_pool_create(&agent->pool, NULL) ||
	    apr_queue_create(&agent->answers, answers, agent->pool))
		return PST_ERR_NOMEM;
	return 0;
}

static int create_policies(struct tkt_agent *agent)
{
	const struct set_ticket *set = &agent->set->ticket;
	const struct tkt_claimant_conf claimant = {
		.vm = agent->vm,
		.incarnation = agent->incarnation,
		.capacity = (uint32_t)set->max_open,
		.retain = CLK_MS(set->ttl_ms),
		.give_up = CLK_MS(set->give_up_ms),
		/* A call has timed out by then. */
		.resend = CLK_MS(set->call_timeout_ms),
		.resend_store = CLK_MS(agent->set->platform.call_timeout_ms),
		.act = act,
		.ctx = agent,
	};
	const struct tkt_witness_conf witness = {
		.incarnation = agent->incarnation,
		.ttl = CLK_MS(set->ttl_ms),
		.max_blocks = (uint32_t)set->max_blocks,
		.max_count = (uint32_t)set->block_tickets,
	};
	int err = tkt_claimant_create(&agent->claimant, &claimant);

	if (!err)
		err = tkt_wset_create(&agent->serve.witnesses, agent->vm,
				      &witness);
	agent->serve.clk = agent->clk;
	agent->serve.incarnation = agent->incarnation;
	agent->serve.ttl = witness.ttl;
	agent->serve.query = on_query;
	agent->serve.ctx = agent;
	return err;
}

static int start_clients(struct tkt_agent *agent)
{
	const struct tkt_supply_conf supply = {
		.set = agent->set,
		.clk = agent->clk,
		.vm = agent->vm,
		.incarnation = agent->incarnation,
		.list = list,
		.drained = on_drained,
		.ctx = agent,
	};
	const struct tkt_peers_conf peers = {
		.set = agent->set,
		.clk = agent->clk,
		.vm = agent->vm,
		.incarnation = agent->incarnation,
		.list = list,
		.on_ruling = on_ruling,
		.on_outcome = on_outcome,
		.on_witness_failed = on_witness_failed,
		.ctx = agent,
	};
	const struct tkt_claims_conf claims = {
		.clk = agent->clk,
		.writes_per_s = (uint32_t)agent->set->ticket.store_writes_per_s,
		.entry_count = count_entries,
		.claim = agent->env.claim,
		.claim_ctx = agent->env.ctx,
		.on_ruling = deliver_ruling,
		.ctx = agent,
	};
	int err = tkt_supply_start(&agent->supply, &supply);

	if (!err)
		err = tkt_peers_start(&agent->peers, &peers);
	if (!err)
		err = tkt_claims_start(&agent->claims, &claims);
	return err;
}

static int start_threads(struct tkt_agent *agent)
{
	if (pthread_create(&agent->answerer, NULL, run_answers, agent))
		return PST_ERR_THREAD;
	agent->threads++;
	if (pthread_create(&agent->ticker, NULL, run_ticks, agent))
		return PST_ERR_THREAD;
	agent->threads++;
	return 0;
}

/* Stops the threads that tick the claimant and send claims to the store. */
static void stop_producers(struct tkt_agent *agent)
{
	agent->stopping = true;
	if (agent->threads > 1)
		pthread_join(agent->ticker, NULL);
	tkt_claims_stop(agent->claims);
}

/* Delivers the queued answers, then stops the answerer thread. */
static void stop_answers(struct tkt_agent *agent)
{
	while (agent->threads && apr_queue_size(agent->answers))
		apr_sleep(TICK_INTERVAL);
	if (agent->answers)
		apr_queue_term(agent->answers);
	if (agent->threads)
		pthread_join(agent->answerer, NULL);
}

int tkt_agent_start(struct tkt_agent **out, const struct settings *set,
		    const struct clk *clk, const struct tkt_env *env,
		    void (*on_answer)(void *ctx,
				      const struct tkt_answer *answer),
		    void *ctx)
{
	struct tkt_agent *agent = calloc(1, sizeof(*agent));
	int err;

	if (!agent)
		return PST_ERR_NOMEM;
	agent->set = set;
	agent->clk = clk;
	agent->env = *env;
	agent->on_answer = on_answer;
	agent->ctx = ctx;
	agent->vm = tkt_vm_hash(set->vm.id);
	agent->incarnation = make_incarnation();
	pthread_mutex_init(&agent->lock, NULL);
	pthread_mutex_init(&agent->serve.lock, NULL);
	err = create_queues(agent);
	if (!err)
		err = create_policies(agent);
	if (!err)
		err = start_clients(agent);
	if (!err)
		err = start_threads(agent);
	if (!err)
		err = tkt_serve_register(&agent->serve);
	if (err) {
		tkt_agent_stop(agent);
		return err;
	}
	evt_log(TICKET_START, "vm=%.*s incarnation=%llx", STR_ARG(set->vm.id),
		(unsigned long long)agent->incarnation);
	*out = agent;
	return 0;
}

void tkt_agent_stop(struct tkt_agent *agent)
{
	if (!agent)
		return;
	if (agent->env.cancel)
		agent->env.cancel(agent->env.ctx);
	stop_producers(agent);
	/* Lets queued seals reach their witnesses. */
	if (agent->peers && agent->serve.leaving)
		tkt_peers_flush(agent->peers,
				CLK_MS(agent->set->ticket.call_timeout_ms));
	tkt_peers_stop(agent->peers);
	tkt_supply_stop(agent->supply);
	stop_answers(agent);
	tkt_claimant_destroy(agent->claimant);
	tkt_wset_destroy(agent->serve.witnesses);
	if (agent->pool)
		apr_pool_destroy(agent->pool);
	pthread_mutex_destroy(&agent->serve.lock);
	pthread_mutex_destroy(&agent->lock);
	free(agent);
}

size_t tkt_agent_issue(struct tkt_agent *agent, size_t count,
		       char out[][TKT_KEY_MAX + 1])
{
	struct tkt_id id;
	size_t issued = 0;

	while (issued < count && tkt_supply_issue(agent->supply, &id))
		tkt_id_format(&id, out[issued++]);
	return issued;
}

static int admit(struct tkt_agent *agent, uint64_t request_id, struct str text,
		 apr_time_t deadline)
{
	struct tkt_answer refused = {
		.request_id = request_id,
		.verdict = TKT_REFUSED,
	};
	struct tkt_key key;

	if (apr_queue_size(agent->answers) >= agent->set->ticket.max_open)
		return PST_ERR_FULL;
	refused.reason = tkt_key_parse(text, &key);
	if (!refused.reason)
		return tkt_claimant_admit(agent->claimant, request_id, &key,
					  deadline, clk_now(agent->clk));
	queue_answer(agent, &refused);
	return 0;
}

int tkt_agent_admit(struct tkt_agent *agent, uint64_t request_id,
		    struct str key, apr_time_t deadline)
{
	int err;

	pthread_mutex_lock(&agent->lock);
	err = admit(agent, request_id, key, deadline);
	pthread_mutex_unlock(&agent->lock);
	return err ? PST_ERR_FULL : 0;
}

void tkt_agent_end(struct tkt_agent *agent, struct str key, enum tkt_end end)
{
	struct tkt_key parsed;

	if (tkt_key_parse(key, &parsed))
		return;
	tkt_log_end(key, end);
	pthread_mutex_lock(&agent->lock);
	tkt_claimant_end(agent->claimant, &parsed, end, clk_now(agent->clk));
	pthread_mutex_unlock(&agent->lock);
}

void tkt_agent_drain(struct tkt_agent *agent)
{
	const uint32_t unused = tkt_supply_drain(agent->supply);
	uint64_t unconfirmed;

	agent->serve.leaving = true;
	pthread_mutex_lock(&agent->lock);
	unconfirmed = tkt_claimant_stats(agent->claimant).unconfirmed_records;
	tkt_claimant_reseal(agent->claimant, clk_now(agent->clk));
	pthread_mutex_unlock(&agent->lock);
	evt_log(TICKET_DRAIN, "unused=%u doubts=%llu", unused,
		(unsigned long long)unconfirmed);
}
