#include "tests/fix_tkt.h"

#include <stdlib.h>
#include <string.h>

#include "agent/tkt_log.h"
#include "common/err.h"

#define TTL	   CLK_SEC(60)
#define STORE	   FIX_PROCS
#define BLOCKS	   64
#define SUCCESSORS 2

enum msg_kind {
	MSG_OP,
	MSG_RULING,
	MSG_QUERY,
	MSG_OUTCOME,
	MSG_RUN,
	MSG_END,
	MSG_ADOPT,
};

struct fix_msg {
	enum msg_kind kind;
	apr_time_t at;
	int from;
	int to;
	/* Of the process that it is for; a reply to an older one is lost. */
	uint64_t incarnation;
	size_t key;
	uint64_t attempt;
	enum tkt_op_kind op;
	/* 0: to the witness; else to its successors by rank. */
	int hop;
	const struct tkt_chunk *chunk;
	struct tkt_owner owner;
	struct tkt_ruling ruling;
	enum tkt_outcome outcome;
	enum tkt_end end;
	struct fix_msg *next;
};

uint64_t fix_tkt_random(struct fix_world *w, uint64_t below)
{
	uint64_t x = w->random += UINT64_C(0x9e3779b97f4a7c15);

	x = (x ^ x >> 30) * UINT64_C(0xbf58476d1ce4e5b9);
	x = (x ^ x >> 27) * UINT64_C(0x94d049bb133111eb);
	return below ? (x ^ x >> 31) % below : x ^ x >> 31;
}

static int proc_of(const struct fix_world *w, uint64_t vm)
{
	for (int i = 0; i < FIX_PROCS; i++) {
		if (w->procs[i].vm == vm)
			return i;
	}
	return -1;
}

static size_t key_of(const struct fix_world *w, const struct tkt_key *key)
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

static void post(struct fix_world *w, const struct fix_msg *msg)
{
	if (msg->to < 0 || w->cut[msg->from][msg->to])
		return;
	if (fix_tkt_random(w, 100) >= w->loss)
		enqueue(w, msg);
	if (fix_tkt_random(w, 100) < w->repeat)
		enqueue(w, msg);
}

static void violate(struct fix_world *w, const char *what)
{
	if (!w->violation)
		w->violation = what;
}

static void hook(struct fix_world *w, enum fix_step step, int proc)
{
	if (w->hook)
		w->hook(w, step, proc);
}

static void tell(struct fix_proc *p, size_t key,
		 const struct tkt_answer *answer)
{
	struct fix_world *w = p->world;
	const int self = (int)(p - w->procs);

	w->verdicts[answer->verdict]++;
	if (answer->verdict == TKT_NOT_RUN) {
		w->keys[key].told_not_run = true;
		if (w->keys[key].runs)
			violate(w, "told not run after it ran");
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

static void act(void *ctx, const struct tkt_action *action)
{
	struct fix_proc *p = ctx;
	struct fix_world *w = p->world;
	const size_t key = key_of(w, action->key);
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
			msg.to = proc_of(w, action->key->id.witness);
			msg.incarnation = w->procs[msg.to].incarnation;
		}
		if (w->broken == FIX_NO_SEAL && msg.op == TKT_OP_SEAL) {
			msg.kind = MSG_RULING;
			msg.to = msg.from;
			msg.incarnation = p->incarnation;
			msg.ruling.grant = TKT_GRANT_SEALED;
		}
		post(w, &msg);
		return;
	case TKT_ACT_ASK:
		msg.kind = MSG_QUERY;
		msg.to = proc_of(w, action->ask.vm);
		msg.incarnation = action->ask.incarnation;
		msg.owner.attempt = action->ask.attempt;
		post(w, &msg);
		return;
	case TKT_ACT_ANSWER:
		tell(p, key, &action->answer);
		return;
	}
}

static struct tkt_ruling rule_in_store(struct fix_world *w,
				       const struct fix_msg *msg)
{
	if (w->store_down)
		return (struct tkt_ruling){
			.grant = TKT_GRANT_DOWN,
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

/* Asks the next one that may have the records; false when there is none. */
static bool forward(struct fix_world *w, const struct fix_msg *msg)
{
	struct fix_msg next = *msg;

	if (msg->to == STORE || ++next.hop > SUCCESSORS)
		return false;
	next.to = (msg->to + 1) % FIX_PROCS;
	post(w, &next);
	return true;
}

static void on_adopt(struct fix_world *w, const struct fix_msg *msg)
{
	struct fix_proc *p = &w->procs[msg->to];
	struct fix_proc *from = &w->procs[msg->from];

	if (!tkt_wset_adopt(p->witnesses, msg->chunk, w->now) && from->alive)
		tkt_wset_moved(from->witnesses, msg->chunk->incarnation);
}

static void on_op(struct fix_world *w, const struct fix_msg *msg)
{
	const struct tkt_id *id = &w->keys[msg->key].key.id;
	const struct tkt_op op = {
		.kind = msg->op,
		.block = id->block,
		.index = id->index,
		.who = msg->owner,
	};
	struct fix_msg reply = reply_to(msg, MSG_RULING);

	if (msg->op == TKT_OP_CLAIM)
		hook(w, FIX_CLAIM, msg->from);
	if (msg->to == STORE)
		reply.ruling = rule_in_store(w, msg);
	else if (w->procs[msg->to].alive)
		reply.ruling =
			tkt_wset_apply(w->procs[msg->to].witnesses,
				       id->witness_incarnation, &op, w->now);
	else
		reply.ruling.grant = TKT_GRANT_SILENT;
	if (reply.ruling.grant == TKT_GRANT_SILENT) {
		forward(w, msg);
		return;
	}
	if (reply.ruling.grant == TKT_GRANT_LOST && forward(w, msg))
		return;
	if (w->broken == FIX_NO_REFUSAL && msg->op == TKT_OP_CLAIM &&
	    msg->to != STORE && msg->owner.vm == id->home)
		reply.ruling.grant = TKT_GRANT_YOURS;
	post(w, &reply);
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
		violate(w, "ran twice");
	if (ran && key->told_not_run)
		violate(w, "ran after it was told not run");
	enqueue(w, &end);
}

static void on_query(struct fix_world *w, const struct fix_msg *msg)
{
	struct fix_proc *p = &w->procs[msg->to];
	struct fix_msg reply = reply_to(msg, MSG_OUTCOME);

	reply.outcome = TKT_OUTCOME_UNSEEN;
	if (p->incarnation == msg->incarnation)
		reply.outcome = tkt_asker_query(
			p->asker, &w->keys[msg->key].key, msg->owner.attempt);
	post(w, &reply);
}

static void end_request(struct fix_world *w, const struct fix_msg *msg)
{
	const struct tkt_key *key = &w->keys[msg->key].key;

	tkt_log_end(str_from_c(w->keys[msg->key].text), msg->end);
	tkt_asker_end(w->procs[msg->to].asker, key, msg->end, w->now);
}

static void deliver(struct fix_world *w, const struct fix_msg *msg)
{
	struct fix_proc *p = &w->procs[msg->to];

	if (msg->kind == MSG_RULING)
		hook(w, FIX_RULING, msg->to);
	if (msg->kind == MSG_RUN)
		hook(w, FIX_RUN, msg->to);
	if (msg->kind == MSG_END)
		hook(w, FIX_END, msg->to);
	if (msg->to != STORE && msg->kind != MSG_OP &&
	    (!p->alive || (msg->kind != MSG_QUERY && msg->kind != MSG_ADOPT &&
			   msg->incarnation != p->incarnation)))
		return;
	switch (msg->kind) {
	case MSG_OP:
		on_op(w, msg);
		return;
	case MSG_RULING:
		tkt_asker_ruling(p->asker, msg->attempt, &msg->ruling, w->now);
		return;
	case MSG_QUERY:
		on_query(w, msg);
		return;
	case MSG_OUTCOME:
		tkt_asker_outcome(p->asker, msg->attempt, msg->outcome, false,
				  w->now);
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

static bool is_paused(const struct fix_world *w, int to)
{
	return to != STORE && w->procs[to].paused_until > w->now;
}

/* A message to a paused process waits for it. */
static void deliver_due(struct fix_world *w)
{
	struct fix_msg **at = &w->queue;

	while (*at && (*at)->at <= w->now) {
		struct fix_msg *msg = *at;

		if (is_paused(w, msg->to)) {
			at = &msg->next;
			continue;
		}
		*at = msg->next;
		deliver(w, msg);
		free(msg);
		at = &w->queue;
	}
}

static void start(struct fix_world *w, int proc, uint64_t incarnation)
{
	struct fix_proc *p = &w->procs[proc];
	const struct tkt_asker_conf asker = {
		.vm = p->vm,
		.incarnation = incarnation,
		.capacity = FIX_KEYS,
		.retain = TTL,
		.give_up = CLK_MS(400),
		.resend = CLK_MS(60),
		.resend_store = CLK_MS(90),
		.act = act,
		.ctx = p,
	};
	const struct tkt_witness_conf witness = {
		.incarnation = incarnation,
		.ttl = TTL,
		.max_blocks = BLOCKS,
		.max_count = FIX_KEYS,
	};

	p->world = w;
	p->alive = true;
	p->paused_until = 0;
	p->incarnation = incarnation;
	tkt_asker_create(&p->asker, &asker);
	tkt_wset_create(&p->witnesses, p->vm, &witness);
	tkt_home_init(&p->home, p->vm, incarnation, FIX_KEYS, FIX_KEYS);
}

void fix_tkt_init(struct fix_world *w, uint64_t seed)
{
	*w = (struct fix_world){
		.random = seed,
		.now = CLK_SEC(1),
		.delay = CLK_MS(2),
	};
	for (int i = 0; i < FIX_PROCS; i++) {
		w->procs[i].vm = (uint64_t)i + 1;
		start(w, i, fix_tkt_random(w, 0));
	}
}

void fix_tkt_done(struct fix_world *w)
{
	for (int i = 0; i < FIX_PROCS; i++)
		fix_tkt_crash(w, i);
	while (w->queue) {
		struct fix_msg *next = w->queue->next;

		free(w->queue);
		w->queue = next;
	}
	for (size_t i = 0; i < w->chunk_count; i++)
		free(w->chunks[i]);
}

void fix_tkt_open(struct fix_world *w, int proc, int witness)
{
	struct tkt_home *home = &w->procs[proc].home;
	const struct fix_proc *p = &w->procs[witness];
	struct tkt_block block = {
		.witness = p->vm,
		.witness_incarnation = p->incarnation,
		.count = FIX_KEYS,
	};

	if (!w->procs[proc].alive || !p->alive)
		return;
	if (!tkt_wset_open(p->witnesses, w->procs[proc].vm, &block.count,
			   w->now, &block.number))
		tkt_home_opened(home, &block, w->now, TTL);
}

size_t fix_tkt_key(struct fix_world *w, int proc)
{
	struct fix_key *key = &w->keys[w->key_count];
	struct tkt_id id;

	if (proc >= 0 && tkt_home_issue(&w->procs[proc].home, w->now, &id))
		tkt_id_format(&id, key->text);
	else
		snprintf(key->text, sizeof(key->text), "own-%zu", w->key_count);
	tkt_key_parse(str_from_c(key->text), &key->key);
	return w->key_count++;
}

void fix_tkt_admit(struct fix_world *w, int proc, size_t key,
		   uint64_t request_id, apr_interval_time_t allowed)
{
	hook(w, FIX_ADMIT, proc);
	if (!w->procs[proc].alive || is_paused(w, proc))
		return;
	tkt_asker_admit(w->procs[proc].asker, request_id, &w->keys[key].key,
			w->now + allowed, w->now);
}

void fix_tkt_crash(struct fix_world *w, int proc)
{
	struct fix_proc *p = &w->procs[proc];

	if (!p->alive)
		return;
	p->alive = false;
	tkt_asker_destroy(p->asker);
	tkt_wset_destroy(p->witnesses);
}

void fix_tkt_leave(struct fix_world *w, int proc)
{
	struct tkt_cursor cursor = {0};
	struct tkt_chunk *chunk;
	const int copies = w->broken == FIX_TWO_SUCCESSORS ? 2 : 1;

	while (w->procs[proc].alive && w->chunk_count < FIX_CHUNKS) {
		chunk = malloc(sizeof(*chunk));
		w->chunks[w->chunk_count++] = chunk;
		if (!tkt_wset_export(w->procs[proc].witnesses, &cursor, chunk,
				     w->now))
			return;
		for (int i = 1; i <= copies; i++)
			post(w, &(struct fix_msg){
					.kind = MSG_ADOPT,
					.from = proc,
					.to = (proc_of(w, chunk->vm) + i) %
					      FIX_PROCS,
					.chunk = chunk,
				});
	}
}

void fix_tkt_restart(struct fix_world *w, int proc)
{
	const uint64_t fresh = fix_tkt_random(w, 0);
	const uint64_t old = w->procs[proc].incarnation;

	fix_tkt_crash(w, proc);
	start(w, proc, w->broken == FIX_SAME_INCARNATION ? old : fresh);
}

void fix_tkt_run(struct fix_world *w, apr_time_t until)
{
	while (w->now < until) {
		w->now += CLK_MS(1);
		deliver_due(w);
		for (int i = 0; i < FIX_PROCS; i++) {
			if (w->procs[i].alive && !is_paused(w, i))
				tkt_asker_tick(w->procs[i].asker, w->now);
		}
	}
}
