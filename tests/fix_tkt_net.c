#include "tests/fix_tkt_net.h"

#include <stdlib.h>

#include "agent/tkt_log.h"
#include "common/err.h"

#define MAX_HOPS 2

uint64_t fix_tkt_random(struct fix_world *w, uint64_t below)
{
	uint64_t x = w->random += UINT64_C(0x9e3779b97f4a7c15);

	x = (x ^ x >> 30) * UINT64_C(0xbf58476d1ce4e5b9);
	x = (x ^ x >> 27) * UINT64_C(0x94d049bb133111eb);
	return below ? (x ^ x >> 31) % below : x ^ x >> 31;
}

int fix_net_proc(const struct fix_world *w, uint64_t vm)
{
	for (int i = 0; i < FIX_PROCS; i++) {
		if (w->procs[i].vm == vm)
			return i;
	}
	return -1;
}

static size_t key_index(const struct fix_world *w, const struct tkt_key *key)
{
	size_t i = 0;

	while (!tkt_key_eq(&w->keys[i].key, key))
		i++;
	return i;
}

static void enqueue(struct fix_world *w, const struct fix_msg *msg)
{
	struct fix_msg **at = &w->queue;
	struct fix_msg *copy = malloc(sizeof(*copy));

	*copy = *msg;
	copy->at =
		w->now + 1 + (apr_time_t)fix_tkt_random(w, (uint64_t)w->delay);
	while (*at && (*at)->at <= copy->at)
		at = &(*at)->next;
	copy->next = *at;
	*at = copy;
}

void fix_net_post(struct fix_world *w, const struct fix_msg *msg)
{
	if (msg->to < 0 || w->cut[msg->from][msg->to])
		return;
	if (fix_tkt_random(w, 100) >= w->loss)
		enqueue(w, msg);
	if (fix_tkt_random(w, 100) < w->repeat)
		enqueue(w, msg);
}

static void record_violation(struct fix_world *w, const char *what)
{
	if (!w->violation)
		w->violation = what;
}

void fix_net_hook(struct fix_world *w, enum fix_step step, int proc)
{
	if (w->hook)
		w->hook(w, step, proc);
}

static void deliver_answer(struct fix_proc *p, size_t key,
			   const struct tkt_answer *answer)
{
	struct fix_world *w = p->world;
	const int self = (int)(p - w->procs);

	w->verdicts[answer->verdict]++;
	if (answer->verdict == TKT_NOT_RUN) {
		w->keys[key].told_not_run = true;
		if (w->keys[key].runs)
			record_violation(w, "told not run after it ran");
	}
	if (w->verdict)
		w->verdict(w, answer);
	if (answer->verdict == TKT_RUN)
		enqueue(w, &(struct fix_msg){
				   .kind = MSG_RUN,
				   .from = self,
				   .to = self,
				   .incarnation = p->incarnation,
				   .key = key,
			   });
}

void fix_net_act(void *ctx, const struct tkt_action *action)
{
	struct fix_proc *p = ctx;
	struct fix_world *w = p->world;
	const size_t key = key_index(w, action->key);
	struct fix_msg msg = {
		.from = (int)(p - w->procs),
		.to = STORE,
		.key = key,
		.attempt = action->attempt,
		.owner =
			{
				.vm = p->vm,
				.incarnation = p->incarnation,
				.attempt = action->attempt,
			},
	};

	tkt_log_action(action);
	switch (action->kind) {
	case TKT_ACT_ARBITRATE:
		msg.op = action->op;
		if (action->key->kind == TKT_KEY_TICKET) {
			msg.to = fix_net_proc(w, action->key->id.witness);
			msg.incarnation = w->procs[msg.to].incarnation;
		}
		if (w->broken == FIX_NO_SEAL && msg.op == TKT_OP_SEAL) {
			msg.kind = MSG_RULING;
			msg.to = msg.from;
			msg.incarnation = p->incarnation;
			msg.ruling.grant = TKT_GRANT_SEALED;
		}
		fix_net_post(w, &msg);
		return;
	case TKT_ACT_ASK:
		msg.kind = MSG_QUERY;
		msg.to = fix_net_proc(w, action->ask.vm);
		msg.incarnation = action->ask.incarnation;
		msg.owner.attempt = action->ask.attempt;
		fix_net_post(w, &msg);
		return;
	case TKT_ACT_ANSWER:
		deliver_answer(p, key, &action->answer);
		return;
	}
}

static struct tkt_ruling rule_in_store(struct fix_world *w,
				       const struct fix_msg *msg)
{
	if (w->store_down)
		return (struct tkt_ruling){
			.grant = TKT_GRANT_UNAVAILABLE,
			.reason = PST_ERR_TKT_STORE_DOWN,
		};
	if (!w->claimed[msg->key])
		w->claims[msg->key] = msg->owner;
	w->claimed[msg->key] = true;
	if (tkt_owner_eq(&w->claims[msg->key], &msg->owner))
		return (struct tkt_ruling){.grant = TKT_GRANT_YOURS};
	return (struct tkt_ruling){
		.grant = TKT_GRANT_OTHER,
		.owner = w->claims[msg->key],
	};
}

static struct fix_msg reply_to(const struct fix_msg *msg, enum msg_kind kind)
{
	struct fix_msg reply = *msg;

	reply.kind = kind;
	reply.from = msg->to;
	reply.to = msg->from;
	reply.incarnation = msg->owner.incarnation;
	return reply;
}

/*
 * Sends an operation on to the next process that may have the records; returns
 * false when there is none.
 */
static bool forward_to_successor(struct fix_world *w, const struct fix_msg *msg)
{
	struct fix_msg next = *msg;

	if (msg->to == STORE || ++next.hop > MAX_HOPS)
		return false;
	next.to = (msg->to + 1) % FIX_PROCS;
	fix_net_post(w, &next);
	return true;
}

static void on_adopt(struct fix_world *w, const struct fix_msg *msg)
{
	struct fix_proc *p = &w->procs[msg->to];
	struct fix_proc *from = &w->procs[msg->from];

	if (!tkt_wset_adopt(p->witnesses, msg->chunk, w->now) && from->alive)
		tkt_wset_handed_over(from->witnesses, msg->chunk->incarnation);
}

static void on_op(struct fix_world *w, const struct fix_msg *msg)
{
	const struct tkt_id *id = &w->keys[msg->key].key.id;
	const struct tkt_op op = {
		.kind = msg->op,
		.block = id->block,
		.index = id->index,
		.requester = msg->owner,
	};
	struct fix_msg reply = reply_to(msg, MSG_RULING);

	if (msg->op == TKT_OP_CLAIM)
		fix_net_hook(w, FIX_CLAIM, msg->from);
	if (msg->to == STORE)
		reply.ruling = rule_in_store(w, msg);
	else if (w->procs[msg->to].alive)
		reply.ruling =
			tkt_wset_apply(w->procs[msg->to].witnesses,
				       id->witness_incarnation, &op, w->now);
	else
		reply.ruling.grant = TKT_GRANT_NO_REPLY;
	if (reply.ruling.grant == TKT_GRANT_NO_REPLY) {
		forward_to_successor(w, msg);
		return;
	}
	if (reply.ruling.grant == TKT_GRANT_LOST &&
	    forward_to_successor(w, msg))
		return;
	if (w->broken == FIX_NO_REFUSAL && msg->op == TKT_OP_CLAIM &&
	    msg->to != STORE && msg->owner.vm == id->home)
		reply.ruling.grant = TKT_GRANT_YOURS;
	fix_net_post(w, &reply);
}

static void on_run(struct fix_world *w, const struct fix_msg *msg)
{
	struct fix_key *key = &w->keys[msg->key];
	struct fix_msg end = *msg;
	bool ran = true;

	end.kind = MSG_END;
	end.end = w->upstream ? w->upstream(w, &ran) : TKT_END_RAN;
	key->runs += ran;
	if (key->runs > 1)
		record_violation(w, "ran twice");
	if (ran && key->told_not_run)
		record_violation(w, "ran after it was told not run");
	enqueue(w, &end);
}

static void on_query(struct fix_world *w, const struct fix_msg *msg)
{
	struct fix_proc *p = &w->procs[msg->to];
	struct fix_msg reply = reply_to(msg, MSG_OUTCOME);

	reply.outcome = TKT_OUTCOME_NO_RECORD;
	if (p->incarnation == msg->incarnation)
		reply.outcome =
			tkt_claimant_query(p->claimant, &w->keys[msg->key].key,
					   msg->owner.attempt);
	fix_net_post(w, &reply);
}

static void end_request(struct fix_world *w, const struct fix_msg *msg)
{
	const struct tkt_key *key = &w->keys[msg->key].key;

	tkt_log_end(str_from_c(w->keys[msg->key].text), msg->end);
	tkt_claimant_end(w->procs[msg->to].claimant, key, msg->end, w->now);
}

static void deliver(struct fix_world *w, const struct fix_msg *msg)
{
	struct fix_proc *p = &w->procs[msg->to];

	if (msg->kind == MSG_RULING)
		fix_net_hook(w, FIX_RULING, msg->to);
	if (msg->kind == MSG_RUN)
		fix_net_hook(w, FIX_RUN, msg->to);
	if (msg->kind == MSG_END)
		fix_net_hook(w, FIX_END, msg->to);
	if (msg->to != STORE && msg->kind != MSG_OP &&
	    (!p->alive || (msg->kind != MSG_QUERY && msg->kind != MSG_ADOPT &&
			   msg->incarnation != p->incarnation)))
		return;
	switch (msg->kind) {
	case MSG_OP:
		on_op(w, msg);
		return;
	case MSG_RULING:
		tkt_claimant_ruling(p->claimant, msg->attempt, &msg->ruling,
				    w->now);
		return;
	case MSG_QUERY:
		on_query(w, msg);
		return;
	case MSG_OUTCOME:
		tkt_claimant_outcome(p->claimant, msg->attempt, msg->outcome,
				     false, w->now);
		return;
	case MSG_RUN:
		on_run(w, msg);
		return;
	case MSG_END:
		end_request(w, msg);
		return;
	case MSG_ADOPT:
		on_adopt(w, msg);
		return;
	}
}

bool fix_net_paused(const struct fix_world *w, int to)
{
	return to != STORE && w->procs[to].paused_until > w->now;
}

void fix_net_deliver(struct fix_world *w)
{
	struct fix_msg **at = &w->queue;

	while (*at && (*at)->at <= w->now) {
		struct fix_msg *msg = *at;

		if (fix_net_paused(w, msg->to)) {
			at = &msg->next;
			continue;
		}
		*at = msg->next;
		deliver(w, msg);
		free(msg);
		at = &w->queue;
	}
}
