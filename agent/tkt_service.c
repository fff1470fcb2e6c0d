#include "agent/tkt_service.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include <apr_queue.h>

#include "agent/tkt_claims.h"
#include "agent/tkt_count.h"
#include "agent/tkt_handover.h"
#include "agent/tkt_hop.h"
#include "agent/tkt_keeper.h"
#include "agent/tkt_log.h"
#include "agent/tkt_peers.h"
#include "agent/tkt_serve.h"
#include "common/err.h"
#include "common/evt.h"

#define LOG_MODULE "ticket"

#define TICK	   CLK_MS(5)
/* Answers in the ring for each key that may be remembered. */
#define ANSWERS_PER_KEY 2

struct tkt_service {
	const struct settings *set;
	const struct clk *clk;
	struct tkt_env env;
	void (*on_answer)(void *ctx, const struct tkt_answer *answer);
	void *ctx;
	uint64_t vm;
	uint64_t incarnation;
	apr_pool_t *pool;
	/* Guards asker. */
	pthread_mutex_t lock;
	struct tkt_asker *asker;
	struct tkt_serve serve;
	struct tkt_keeper *keeper;
	struct tkt_peers *peers;
	struct tkt_claims *claims;
	/* To the thread that answers. */
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

static void send_claim(struct tkt_service *s, const struct tkt_action *action)
{
	const struct tkt_owner self = {
		.vm = s->vm,
		.incarnation = s->incarnation,
		.attempt = action->attempt,
	};

	tkt_claims_send(s->claims, action->key->own, &self);
}

static void send_op(struct tkt_service *s, const struct tkt_action *action)
{
	const struct tkt_id *id = &action->key->id;
	const struct tkt_call call = {
		.kind = TKT_CALL_OP,
		.attempt = action->attempt,
		.incarnation = id->witness_incarnation,
		.witness = id->witness,
		.op =
			{
				.kind = action->op,
				.block = id->block,
				.index = id->index,
				.who.attempt = action->attempt,
			},
	};

	tkt_peers_send(s->peers, id->witness, &call);
}

static void send_query(struct tkt_service *s, const struct tkt_action *action)
{
	struct tkt_call call = {
		.kind = TKT_CALL_QUERY,
		.attempt = action->attempt,
		.incarnation = action->ask.incarnation,
		.query.owner_attempt = action->ask.attempt,
	};
	const struct str *own = &action->key->own;

	if (action->key->kind == TKT_KEY_OWN)
		memcpy(call.query.key, own->ptr, own->len);
	else
		tkt_id_format(&action->key->id, call.query.key);
	tkt_peers_send(s->peers, action->ask.vm, &call);
}

/* The ring has room: tkt_service_admit() counts what may be answered. */
static void queue_answer(struct tkt_service *s, const struct tkt_answer *answer)
{
	struct tkt_answer *copy = malloc(sizeof(*copy));

	if (!copy)
		return;
	*copy = *answer;
	tkt_count_verdict(answer->verdict);
	if (apr_queue_trypush(s->answers, copy) != APR_SUCCESS)
		free(copy);
}

/* What cannot be sent is sent again by the asker, or given up. */
static void act(void *ctx, const struct tkt_action *action)
{
	struct tkt_service *s = ctx;

	tkt_log_action(action);
	switch (action->kind) {
	case TKT_ACT_ARBITRATE:
		if (action->key->kind == TKT_KEY_OWN)
			send_claim(s, action);
		else
			send_op(s, action);
		return;
	case TKT_ACT_ASK:
		send_query(s, action);
		return;
	case TKT_ACT_ANSWER:
		queue_answer(s, &action->answer);
		return;
	}
}

static struct vml *list(void *ctx)
{
	struct tkt_service *s = ctx;

	return s->env.list(s->env.ctx);
}

static void pass_ruling(void *ctx, uint64_t attempt,
			const struct tkt_ruling *ruling)
{
	struct tkt_service *s = ctx;

	pthread_mutex_lock(&s->lock);
	tkt_asker_ruling(s->asker, attempt, ruling, clk_now(s->clk));
	pthread_mutex_unlock(&s->lock);
}

static void on_ruled(void *ctx, const struct tkt_call *call,
		     const struct tkt_ruling *ruling)
{
	struct tkt_service *s = ctx;
	struct vml *vml = list(s);
	struct tkt_call next = *call;
	struct tkt_ruling last = *ruling;
	const uint64_t vm = tkt_hop_next(vml, &next, &last);

	if (vml)
		ref_put(&vml->ref);
	if (!vm || tkt_peers_send(s->peers, vm, &next))
		pass_ruling(s, call->attempt, &last);
}

static void on_told(void *ctx, uint64_t attempt, enum tkt_outcome outcome,
		    bool silent)
{
	struct tkt_service *s = ctx;

	pthread_mutex_lock(&s->lock);
	tkt_asker_outcome(s->asker, attempt, outcome, silent, clk_now(s->clk));
	pthread_mutex_unlock(&s->lock);
}

static void on_avoid(void *ctx, uint64_t vm, int err)
{
	struct tkt_service *s = ctx;

	tkt_keeper_avoid(s->keeper, vm, err);
}

static enum tkt_outcome on_query(void *ctx, struct str text, uint64_t attempt)
{
	struct tkt_service *s = ctx;
	enum tkt_outcome outcome;
	struct tkt_key key;

	if (tkt_key_parse(text, &key))
		return TKT_OUTCOME_UNSEEN;
	pthread_mutex_lock(&s->lock);
	outcome = tkt_asker_query(s->asker, &key, attempt);
	pthread_mutex_unlock(&s->lock);
	return outcome;
}

static void on_drained(void *ctx)
{
	struct tkt_service *s = ctx;
	struct vml *vml = list(s);

	if (!vml)
		return;
	tkt_handover(&s->serve, s->set, vml);
	ref_put(&vml->ref);
}

/* How many entry VMs share the write budget. */
static uint32_t count_entries(void *ctx)
{
	struct tkt_service *s = ctx;
	struct vml *vml = list(s);
	uint32_t count = 0;

	if (!vml)
		return 0;
	for (size_t i = 0; i < vml->count; i++)
		count += vml->vms[i].kind == VM_ENTRY;
	ref_put(&vml->ref);
	return count;
}

static void *run_answers(void *arg)
{
	struct tkt_service *s = arg;
	void *answer;

	while (apr_queue_pop(s->answers, &answer) == APR_SUCCESS) {
		s->on_answer(s->ctx, answer);
		free(answer);
	}
	return NULL;
}

static void *run_ticks(void *arg)
{
	struct tkt_service *s = arg;

	while (!s->stopping) {
		pthread_mutex_lock(&s->lock);
		tkt_asker_tick(s->asker, clk_now(s->clk));
		pthread_mutex_unlock(&s->lock);
		apr_sleep(TICK);
	}
	return NULL;
}

static int create_rings(struct tkt_service *s)
{
	const unsigned answers =
		(unsigned)s->set->ticket.max_open * ANSWERS_PER_KEY;

	if (apr_pool_create(&s->pool, NULL) ||
	    apr_queue_create(&s->answers, answers, s->pool))
		return PST_ERR_NOMEM;
	return 0;
}

static int create_roles(struct tkt_service *s)
{
	const struct set_ticket *set = &s->set->ticket;
	const struct tkt_asker_conf asker = {
		.vm = s->vm,
		.incarnation = s->incarnation,
		.capacity = (uint32_t)set->max_open,
		.retain = CLK_MS(set->ttl_ms),
		.give_up = CLK_MS(set->give_up_ms),
		/* When the call has had its time. */
		.resend = CLK_MS(set->call_timeout_ms),
		.resend_store = CLK_MS(s->set->platform.call_timeout_ms),
		.act = act,
		.ctx = s,
	};
	const struct tkt_witness_conf witness = {
		.incarnation = s->incarnation,
		.ttl = CLK_MS(set->ttl_ms),
		.max_blocks = (uint32_t)set->max_blocks,
		.max_count = (uint32_t)set->block_tickets,
	};
	int err = tkt_asker_create(&s->asker, &asker);

	if (!err)
		err = tkt_wset_create(&s->serve.witnesses, s->vm, &witness);
	s->serve.clk = s->clk;
	s->serve.incarnation = s->incarnation;
	s->serve.ttl = witness.ttl;
	s->serve.query = on_query;
	s->serve.ctx = s;
	return err;
}

static int start_clients(struct tkt_service *s)
{
	const struct tkt_keeper_conf keeper = {
		.set = s->set,
		.clk = s->clk,
		.vm = s->vm,
		.incarnation = s->incarnation,
		.list = list,
		.drained = on_drained,
		.ctx = s,
	};
	const struct tkt_peers_conf peers = {
		.set = s->set,
		.clk = s->clk,
		.vm = s->vm,
		.incarnation = s->incarnation,
		.list = list,
		.ruled = on_ruled,
		.told = on_told,
		.avoid = on_avoid,
		.ctx = s,
	};
	const struct tkt_claims_conf claims = {
		.clk = s->clk,
		.writes_per_s = (uint32_t)s->set->ticket.store_writes_per_s,
		.sharers = count_entries,
		.claim = s->env.claim,
		.claim_ctx = s->env.ctx,
		.ruled = pass_ruling,
		.ctx = s,
	};
	int err = tkt_keeper_start(&s->keeper, &keeper);

	if (!err)
		err = tkt_peers_start(&s->peers, &peers);
	if (!err)
		err = tkt_claims_start(&s->claims, &claims);
	return err;
}

static int start_threads(struct tkt_service *s)
{
	if (pthread_create(&s->answerer, NULL, run_answers, s))
		return PST_ERR_THREAD;
	s->threads++;
	if (pthread_create(&s->ticker, NULL, run_ticks, s))
		return PST_ERR_THREAD;
	s->threads++;
	return 0;
}

/* Ends the threads that feed the asker. */
static void stop_feeders(struct tkt_service *s)
{
	s->stopping = true;
	if (s->threads > 1)
		pthread_join(s->ticker, NULL);
	tkt_claims_stop(s->claims);
}

/* Lets every answer that was decided be told. */
static void stop_answers(struct tkt_service *s)
{
	while (s->threads && apr_queue_size(s->answers))
		apr_sleep(TICK);
	if (s->answers)
		apr_queue_term(s->answers);
	if (s->threads)
		pthread_join(s->answerer, NULL);
}

int tkt_service_start(struct tkt_service **out, const struct settings *set,
		      const struct clk *clk, const struct tkt_env *env,
		      void (*on_answer)(void *ctx,
					const struct tkt_answer *answer),
		      void *ctx)
{
	struct tkt_service *s = calloc(1, sizeof(*s));
	int err;

	if (!s)
		return PST_ERR_NOMEM;
	s->set = set;
	s->clk = clk;
	s->env = *env;
	s->on_answer = on_answer;
	s->ctx = ctx;
	s->vm = tkt_vm_hash(set->vm.id);
	s->incarnation = make_incarnation();
	pthread_mutex_init(&s->lock, NULL);
	pthread_mutex_init(&s->serve.lock, NULL);
	err = create_rings(s);
	if (!err)
		err = create_roles(s);
	if (!err)
		err = start_clients(s);
	if (!err)
		err = start_threads(s);
	if (!err)
		err = tkt_serve_register(&s->serve);
	if (err) {
		tkt_service_stop(s);
		return err;
	}
	evt_log(TICKET_START, "vm=%.*s incarnation=%llx", STR_ARG(set->vm.id),
		(unsigned long long)s->incarnation);
	*out = s;
	return 0;
}

void tkt_service_stop(struct tkt_service *s)
{
	if (!s)
		return;
	stop_feeders(s);
	/* Seals that others should know of. */
	if (s->peers && s->serve.leaving)
		tkt_peers_flush(s->peers,
				CLK_MS(s->set->ticket.call_timeout_ms));
	tkt_peers_stop(s->peers);
	tkt_keeper_stop(s->keeper);
	stop_answers(s);
	tkt_asker_destroy(s->asker);
	tkt_wset_destroy(s->serve.witnesses);
	if (s->pool)
		apr_pool_destroy(s->pool);
	pthread_mutex_destroy(&s->serve.lock);
	pthread_mutex_destroy(&s->lock);
	free(s);
}

size_t tkt_service_issue(struct tkt_service *s, size_t count,
			 char out[][TKT_KEY_MAX + 1])
{
	struct tkt_id id;
	size_t issued = 0;

	while (issued < count && tkt_keeper_issue(s->keeper, &id))
		tkt_id_format(&id, out[issued++]);
	return issued;
}

static int admit(struct tkt_service *s, uint64_t request_id, struct str text,
		 apr_time_t deadline)
{
	struct tkt_answer refused = {
		.request_id = request_id,
		.verdict = TKT_REFUSED,
	};
	struct tkt_key key;

	if (apr_queue_size(s->answers) >= s->set->ticket.max_open)
		return PST_ERR_FULL;
	refused.reason = tkt_key_parse(text, &key);
	if (!refused.reason)
		return tkt_asker_admit(s->asker, request_id, &key, deadline,
				       clk_now(s->clk));
	queue_answer(s, &refused);
	return 0;
}

int tkt_service_admit(struct tkt_service *s, uint64_t request_id,
		      struct str key, apr_time_t deadline)
{
	int err;

	pthread_mutex_lock(&s->lock);
	err = admit(s, request_id, key, deadline);
	pthread_mutex_unlock(&s->lock);
	return err ? PST_ERR_FULL : 0;
}

void tkt_service_end(struct tkt_service *s, struct str key, enum tkt_end end)
{
	struct tkt_key parsed;

	if (tkt_key_parse(key, &parsed))
		return;
	tkt_log_end(key, end);
	pthread_mutex_lock(&s->lock);
	tkt_asker_end(s->asker, &parsed, end, clk_now(s->clk));
	pthread_mutex_unlock(&s->lock);
}

void tkt_service_drain(struct tkt_service *s)
{
	const uint32_t unused = tkt_keeper_drain(s->keeper);
	uint64_t doubts;

	s->serve.leaving = true;
	pthread_mutex_lock(&s->lock);
	doubts = tkt_asker_stats(s->asker).doubts;
	tkt_asker_reseal(s->asker, clk_now(s->clk));
	pthread_mutex_unlock(&s->lock);
	evt_log(TICKET_DRAIN, "unused=%u doubts=%llu", unused,
		(unsigned long long)doubts);
}
