#include "agent/permit_state.h"

#include <stddef.h>
#include <stdlib.h>

#include "agent/permit_batch.h"
#include "agent/permit_local.h"
#include "agent/permit_peer.h"
#include "common/err.h"
#include "common/evt.h"
#include "policy/brk_map.h"

#define LOG_MODULE "permit"

/* Time without use after which a broker is sent no more complete lists. */
#define KEY_IDLE CLK_SEC(60)

/* With no more than so many, connections to all brokers are kept open. */
#define WARM_KEYS_MAX 256

/* An ask is given up this long before its deadline, to be in time. */
#define DEADLINE_MARGIN	       CLK_MS(5)

#define FROM_NODE(found, type) ((type *)(void *)(found))

/* A service and failure domain. */
struct key {
	struct brk_node node;
	struct key *next;
	struct permit_state *st;
	struct strbuf service;
	struct strbuf domain;
	/* The broker's VM; NULL when there is none. */
	struct permit_peer *peer;
	/* NULL until needed. */
	struct permit_local *local;
	apr_time_t used_at;
	/* Highest number of a grant from the present broker. */
	uint64_t seen;
	bool full_due;
	/* Place of its part in the batch of this round. */
	uint64_t part_round;
	int part;
	struct permit *permits;
};

struct ask {
	struct brk_node node;
	struct key *key;
	enum rank rank;
	apr_time_t deadline;
	bool local;
	struct ask *next;
	struct ask *prev;
};

struct permit {
	struct brk_node node;
	struct key *key;
	uint64_t ask;
	enum rank rank;
	apr_time_t since;
	struct strbuf upstream;
	struct permit *next;
	struct permit *prev;
};

struct permit_state {
	struct permit_state_cfg cfg;
	struct permit_io io;
	struct ctl_view *view;
	struct brk_map keys;
	struct key *first_key;
	struct permit_peer *first_peer;
	struct brk_map asks;
	struct ask *first_ask;
	struct brk_map permits;
	apr_time_t now;
};

static struct ask *find_ask(const struct permit_state *st, uint64_t id)
{
	return FROM_NODE(brk_map_find(&st->asks, id, 0), struct ask);
}

static void drop_ask(struct permit_state *st, struct ask *ask)
{
	brk_map_remove(&st->asks, &ask->node);
	if (ask->prev)
		ask->prev->next = ask->next;
	else
		st->first_ask = ask->next;
	if (ask->next)
		ask->next->prev = ask->prev;
	free(ask);
}

static struct permit *add_permit(struct key *key, uint64_t id,
				 const struct ask *ask, struct str upstream)
{
	struct permit_state *st = key->st;
	struct permit *permit = calloc(1, sizeof(*permit));

	if (!permit)
		return NULL;
	permit->key = key;
	permit->ask = ask->node.key[0];
	permit->rank = ask->rank;
	permit->since = st->now;
	strbuf_set(&permit->upstream, upstream);
	permit->next = key->permits;
	if (permit->next)
		permit->next->prev = permit;
	key->permits = permit;
	brk_map_add(&st->permits, &permit->node, id, 0);
	return permit;
}

static void drop_permit(struct permit_state *st, struct permit *permit)
{
	brk_map_remove(&st->permits, &permit->node);
	if (permit->prev)
		permit->prev->next = permit->next;
	else
		permit->key->permits = permit->next;
	if (permit->next)
		permit->next->prev = permit->prev;
	free(permit);
}

static void free_key(struct key *key)
{
	struct permit *permit = key->permits;

	while (permit) {
		struct permit *next = permit->next;

		free(permit);
		permit = next;
	}
	permit_local_destroy(key->local);
	free(key);
}

static bool reachable(const struct key *key)
{
	return key->peer && !key->peer->silent;
}

/* The key's part of the batch being collected, or NULL. */
static pmt_part *part_of(struct key *key)
{
	struct permit_peer *peer = key->peer;
	pmt_batch *batch;

	if (!reachable(key))
		return NULL;
	batch = permit_peer_batch(peer, &key->st->cfg);
	if (!batch)
		return NULL;
	if (key->part_round != peer->round) {
		key->part_round = peer->round;
		key->part = permit_batch_part(batch, strbuf_str(&key->service),
					      strbuf_str(&key->domain));
	}
	return key->part < 0 ? NULL : &batch->parts.parts_val[key->part];
}

static void refuse(struct permit_state *st, uint64_t ask_id,
		   enum permit_result result, apr_interval_time_t retry_after)
{
	const struct permit_answer answer = {
		.ask_id = ask_id,
		.result = result,
		.retry_after = retry_after,
	};

	st->io.answer(st->io.ctx, &answer);
}

/* Passes a permit on to the asker. */
static void deliver(struct permit_state *st, struct ask *ask, uint64_t id,
		    struct str upstream, struct str address, uint16_t port)
{
	struct permit_answer answer = {
		.ask_id = ask->node.key[0],
		.result = PERMIT_GRANTED,
		.permit_id = id,
		.port = port,
	};

	if (strbuf_set(&answer.upstream, upstream) ||
	    strbuf_set(&answer.address, address) ||
	    !add_permit(ask->key, id, ask, upstream)) {
		refuse(st, answer.ask_id, PERMIT_FULL, 0);
		drop_ask(st, ask);
		return;
	}
	drop_ask(st, ask);
	st->io.answer(st->io.ctx, &answer);
}

static const char *result_name(enum permit_result result)
{
	static const char *const names[] = {
		[PERMIT_GRANTED] = "granted",
		[PERMIT_LATE] = "late",
		[PERMIT_FULL] = "full",
		[PERMIT_NO_UPSTREAM] = "no_upstream",
	};

	return names[result];
}

static void local_answer(void *ctx, const struct brk_answer *answer)
{
	struct key *key = ctx;
	struct permit_state *st = key->st;
	struct ask *ask = find_ask(st, answer->ask);
	const struct brk_up *up = answer->up;

	if (!ask || !ask->local)
		return;
	if (answer->result != PERMIT_GRANTED) {
		evt_log(PERMIT_LOCAL_REFUSED,
			"service=%s domain=%s ask=%llu rank=%s result=%s",
			key->service.ptr, key->domain.ptr,
			(unsigned long long)answer->ask,
			rank_name(answer->rank), result_name(answer->result));
		drop_ask(st, ask);
		refuse(st, answer->ask, answer->result, answer->retry_after);
		return;
	}
	deliver(st, ask, answer->permit, strbuf_str(&up->vm.name),
		strbuf_str(&up->vm.address), up->vm.port);
	evt_log(PERMIT_LOCAL,
		"service=%s domain=%s ask=%llu rank=%s upstream=%s "
		"permit=%llx among=%u policy=%s",
		key->service.ptr, key->domain.ptr,
		(unsigned long long)answer->ask, rank_name(answer->rank),
		up->vm.name.ptr, (unsigned long long)answer->permit,
		answer->among, pick_name(st->cfg.policy));
}

/* Counts what a broker gave against the static share. */
static void claim_held(struct key *key)
{
	struct permit_state *st = key->st;
	struct brk_claim *claims;
	size_t count = 0;

	claims = calloc(st->permits.count + 1, sizeof(*claims));
	for (struct permit *p = key->permits; claims && p; p = p->next) {
		claims[count++] = (struct brk_claim){
			.permit = p->node.key[0],
			.ask = p->ask,
			.rank = p->rank,
			.age = st->now - p->since,
			.upstream = p->upstream,
		};
	}
	permit_local_claim(key->local, claims, count, st->now);
	free(claims);
}

static struct permit_local *local_of(struct key *key)
{
	struct permit_state *st = key->st;
	const struct permit_local_cfg cfg = {
		.policy = st->cfg.policy,
		.service = strbuf_str(&key->service),
		.domain = strbuf_str(&key->domain),
		.entry = st->cfg.entry,
		.epoch = (uint32_t)(PERMIT_LOCAL_BIT >> 32) |
			 (uint32_t)key->node.key[0] >> 1,
		.sink = {.answer = local_answer, .ctx = key},
	};

	if (key->local || permit_local_create(&key->local, &cfg, st->now))
		return key->local;
	if (st->view)
		permit_local_view(key->local, st->view, st->now);
	return key->local;
}

static void ask_locally(struct ask *ask)
{
	struct permit_state *st = ask->key->st;
	struct permit_local *local = local_of(ask->key);
	const struct brk_ask local_ask = {
		.id = ask->node.key[0],
		.rank = ask->rank,
		.deadline = ask->deadline,
	};

	ask->local = true;
	/* Without memory the ask is answered at its deadline. */
	if (local)
		permit_local_ask(local, &local_ask, st->now);
}

static void ask_broker(struct ask *ask)
{
	struct permit_state *st = ask->key->st;
	pmt_part *part = part_of(ask->key);

	ask->local = false;
	if (part)
		permit_batch_ask(part, ask->node.key[0], ask->rank,
				 ask->deadline - st->now);
}

static struct permit_peer *peer_for(struct permit_state *st,
				    const struct vm *vm)
{
	struct permit_peer *peer = st->first_peer;

	while (peer && (!strbuf_eq(&peer->vm, &vm->id) ||
			!strbuf_eq(&peer->address, &vm->address)))
		peer = peer->next;
	if (peer)
		return peer;
	peer = permit_peer_create(vm);
	if (!peer)
		return NULL;
	peer->next = st->first_peer;
	st->first_peer = peer;
	return peer;
}

/* The VM that all entry VMs with the same list take for the broker. */
static struct permit_peer *choose_peer(struct permit_state *st,
				       const struct key *key)
{
	const struct vm *vm = NULL;
	char text[2 * STR_ID_MAX + 2];
	struct str name = {.ptr = text};

	if (!st->view || st->cfg.policy != PICK_BROKER)
		return NULL;
	name.len = (size_t)snprintf(text, sizeof(text), "%s/%s",
				    key->service.ptr, key->domain.ptr);
	if (!vml_rendezvous(st->view->vml, name, strbuf_str(&key->domain), &vm,
			    1) &&
	    !vml_rendezvous(st->view->vml, name, STR_LIT(""), &vm, 1))
		return NULL;
	return peer_for(st, vm);
}

static void resend_asks(struct permit_state *st, const struct key *key)
{
	for (struct ask *ask = st->first_ask; ask; ask = ask->next) {
		if (ask->key == key && !ask->local)
			ask_broker(ask);
	}
}

/* The key's broker may have moved with the new view. */
static void move_key(struct key *key)
{
	struct permit_state *st = key->st;
	struct permit_peer *peer = choose_peer(st, key);

	if (key->local)
		permit_local_view(key->local, st->view, st->now);
	if (peer == key->peer)
		return;
	key->peer = peer;
	key->part_round = 0;
	key->seen = 0;
	key->full_due = true;
	if (reachable(key)) {
		resend_asks(st, key);
		if (key->permits)
			part_of(key);
	}
}

static struct key *key_for(struct permit_state *st,
			   const struct strbuf *service,
			   const struct strbuf *domain)
{
	const uint64_t hash =
		str_hash(strbuf_str(service), str_hash(strbuf_str(domain), 0));
	struct key *key =
		FROM_NODE(brk_map_find(&st->keys, hash, 0), struct key);

	if (key)
		return key;
	key = calloc(1, sizeof(*key));
	if (!key)
		return NULL;
	key->st = st;
	key->service = *service;
	key->domain = *domain;
	key->full_due = true;
	key->next = st->first_key;
	st->first_key = key;
	brk_map_add(&st->keys, &key->node, hash, 0);
	key->peer = choose_peer(st, key);
	return key;
}

static struct key *key_named(const struct permit_state *st, struct str service,
			     struct str domain)
{
	return FROM_NODE(brk_map_find(&st->keys,
				      str_hash(service, str_hash(domain, 0)),
				      0),
			 struct key);
}

/* Puts the complete list of what is held into the key's part. */
static void add_full(struct key *key)
{
	pmt_part *part = part_of(key);

	if (!part)
		return;
	part->full = true;
	part->seen = key->seen;
	for (struct permit *p = key->permits; p; p = p->next) {
		const pmt_held held = {
			.permit = p->node.key[0],
			.ask = p->ask,
			.rank = p->rank,
			.age_us = (uint64_t)(key->st->now - p->since),
		};

		if (!permit_batch_held(part, &held, strbuf_str(&p->upstream)))
			part->full = false;
	}
	key->full_due = !part->full;
}

static void peer_silent(struct permit_state *st, struct permit_peer *peer)
{
	struct ask *ask = st->first_ask;
	unsigned moved = 0;

	for (struct key *key = st->first_key; key; key = key->next) {
		if (key->peer == peer && local_of(key))
			claim_held(key);
	}
	while (ask) {
		struct ask *next = ask->next;

		if (ask->key->peer == peer && !ask->local) {
			moved++;
			ask_locally(ask);
			/* The answer may have dropped any number of asks. */
			next = st->first_ask;
			while (next && (next->key->peer != peer || next->local))
				next = next->next;
		}
		ask = next;
	}
	evt_log(BROKER_SILENT, "broker=%s asks=%u", peer->vm.ptr, moved);
}

static void peer_resync(struct permit_state *st, const struct permit_peer *peer)
{
	for (struct key *key = st->first_key; key; key = key->next) {
		if (key->peer != peer)
			continue;
		key->full_due = true;
		if (key->permits)
			part_of(key);
		resend_asks(st, key);
	}
}

/* A new broker asks what is held; no use of its upstreams is an answer. */
static void take_query(struct permit_state *st, struct permit_peer *peer,
		       const pmt_query *query)
{
	const struct str service = str_from_c(query->service);
	const struct str domain = str_from_c(query->domain);
	struct key *key = key_named(st, service, domain);
	pmt_batch *batch;
	int part;

	if (key) {
		key->full_due = true;
		if (key->peer == peer)
			part_of(key);
		return;
	}
	batch = peer->silent ? NULL : permit_peer_batch(peer, &st->cfg);
	part = batch ? permit_batch_part(batch, service, domain) : -1;
	if (part >= 0)
		batch->parts.parts_val[part].full = true;
}

/* The broker's VM, which may be one not used before. */
static struct permit_peer *peer_named(struct permit_state *st, struct str id)
{
	struct permit_peer *peer = st->first_peer;
	const struct vm *vm;

	while (peer && !str_eq(strbuf_str(&peer->vm), id))
		peer = peer->next;
	if (peer || !st->view)
		return peer;
	vm = vml_find(st->view->vml, id);
	return vm ? peer_for(st, vm) : NULL;
}

static void take_answer(struct permit_state *st, const pmt_answer *a)
{
	struct key *key =
		key_named(st, str_from_c(a->service), str_from_c(a->domain));
	struct ask *ask = find_ask(st, a->ask);
	pmt_part *part;

	if (!key)
		return;
	if (a->result == PERMIT_GRANTED && a->grant > key->seen)
		key->seen = a->grant;
	if (brk_map_find(&st->permits, a->permit, 0))
		return;
	if (ask && !ask->local && ask->key == key) {
		if (a->result == PERMIT_GRANTED) {
			deliver(st, ask, a->permit, str_from_c(a->upstream),
				str_from_c(a->address), (uint16_t)a->port);
		} else {
			drop_ask(st, ask);
			refuse(st, a->ask, (enum permit_result)a->result,
			       CLK_MS(a->retry_ms));
		}
		return;
	}
	part = a->result == PERMIT_GRANTED ? part_of(key) : NULL;
	if (part)
		permit_batch_release(part, a->permit, PERMIT_UNUSED);
}

static void give_up(struct permit_state *st, struct ask *ask)
{
	pmt_part *part = ask->local ? NULL : part_of(ask->key);
	const uint64_t id = ask->node.key[0];

	if (part)
		permit_batch_cancel(part, id);
	if (ask->local && ask->key->local)
		permit_local_cancel(ask->key->local, id, st->now);
}

static void expire_asks(struct permit_state *st)
{
	struct ask *ask = st->first_ask;

	while (ask) {
		struct ask *next = ask->next;

		if (st->now + DEADLINE_MARGIN >= ask->deadline) {
			const uint64_t id = ask->node.key[0];

			/* A local cancel may serve asks other than next. */
			give_up(st, ask);
			drop_ask(st, ask);
			refuse(st, id, PERMIT_LATE, 0);
			next = st->first_ask;
		}
		ask = next;
	}
}

static bool key_in_use(const struct key *key)
{
	return key->permits || key->st->keys.count <= WARM_KEYS_MAX ||
	       (key->used_at && key->st->now - key->used_at < KEY_IDLE);
}

static void heartbeat(struct permit_state *st, struct permit_peer *peer)
{
	if (peer->silent || st->now - peer->synced_at < st->cfg.heartbeat)
		return;
	peer->synced_at = st->now;
	for (struct key *key = st->first_key; key; key = key->next) {
		if (key->peer != peer || !key_in_use(key))
			continue;
		key->full_due = true;
		if (part_of(key))
			peer->ping = true;
	}
}

static bool has_weight(const struct tbl *tbl, uint32_t service, uint32_t domain)
{
	for (int r = 0; r < RANK_COUNT; r++) {
		if (tbl_row(tbl, service, (enum rank)r)->weights[domain])
			return true;
	}
	return false;
}

/* Meets the brokers of all that the table names, before they are needed. */
static void warm_up(struct permit_state *st)
{
	const struct tbl *tbl = st->view->tbl;

	if (tbl->service_count * tbl->domain_count > WARM_KEYS_MAX)
		return;
	for (uint32_t s = 0; s < tbl->service_count; s++) {
		for (uint32_t d = 0; d < tbl->domain_count; d++) {
			struct key *key;

			if (!has_weight(tbl, s, d))
				continue;
			key = key_for(st, &tbl->services[s],
				      &tbl->domains[d].name);
			if (key && key->full_due && part_of(key))
				key->peer->ping = true;
		}
	}
}

int permit_state_create(struct permit_state **out,
			const struct permit_state_cfg *cfg, struct permit_io io)
{
	struct permit_state *st = calloc(1, sizeof(*st));

	if (!st)
		return PST_ERR_NOMEM;
	st->cfg = *cfg;
	st->io = io;
	if (brk_map_init(&st->keys) || brk_map_init(&st->asks) ||
	    brk_map_init(&st->permits)) {
		permit_state_destroy(st);
		return PST_ERR_NOMEM;
	}
	*out = st;
	return 0;
}

void permit_state_destroy(struct permit_state *st)
{
	if (!st)
		return;
	while (st->first_ask)
		drop_ask(st, st->first_ask);
	while (st->first_key) {
		struct key *key = st->first_key;

		st->first_key = key->next;
		free_key(key);
	}
	while (st->first_peer) {
		struct permit_peer *peer = st->first_peer;

		st->first_peer = peer->next;
		permit_peer_destroy(peer);
	}
	if (st->view)
		ctl_view_put(st->view);
	brk_map_done(&st->keys);
	brk_map_done(&st->asks);
	brk_map_done(&st->permits);
	free(st);
}

void permit_state_view(struct permit_state *st, struct ctl_view *view,
		       apr_time_t now)
{
	st->now = now;
	ref_get(&view->ref);
	if (st->view)
		ctl_view_put(st->view);
	st->view = view;
	for (struct key *key = st->first_key; key; key = key->next)
		move_key(key);
	warm_up(st);
}

void permit_state_ask(struct permit_state *st, const struct permit_ask *ask,
		      apr_time_t now)
{
	struct key *key;
	struct ask *a;

	st->now = now;
	key = key_for(st, &ask->service, &ask->domain);
	a = key ? calloc(1, sizeof(*a)) : NULL;
	if (!a) {
		refuse(st, ask->id, PERMIT_FULL, 0);
		return;
	}
	a->key = key;
	a->rank = ask->rank;
	a->deadline = ask->deadline;
	a->next = st->first_ask;
	if (a->next)
		a->next->prev = a;
	st->first_ask = a;
	brk_map_add(&st->asks, &a->node, ask->id, 0);
	key->used_at = now;
	if (reachable(key))
		ask_broker(a);
	else
		ask_locally(a);
}

void permit_state_cancel(struct permit_state *st, uint64_t ask_id,
			 apr_time_t now)
{
	struct ask *ask = find_ask(st, ask_id);

	st->now = now;
	if (!ask)
		return;
	give_up(st, ask);
	drop_ask(st, ask);
}

void permit_state_release(struct permit_state *st, uint64_t permit_id,
			  enum permit_outcome outcome, apr_time_t now)
{
	struct permit *permit = FROM_NODE(
		brk_map_find(&st->permits, permit_id, 0), struct permit);
	struct key *key;
	pmt_part *part;

	st->now = now;
	if (!permit)
		return;
	key = permit->key;
	drop_permit(st, permit);
	part = part_of(key);
	if (part)
		permit_batch_release(part, permit_id, outcome);
	if (key->local)
		permit_local_release(key->local, permit_id, outcome, now);
}

void permit_state_report(struct permit_state *st, uint64_t permit_id,
			 const struct permit_report *report, apr_time_t now)
{
	struct permit *permit = FROM_NODE(
		brk_map_find(&st->permits, permit_id, 0), struct permit);
	pmt_part *part;

	st->now = now;
	if (!permit)
		return;
	part = part_of(permit->key);
	if (part)
		permit_batch_report(part, strbuf_str(&permit->upstream),
				    report);
	if (permit->key->local)
		permit_local_report(permit->key->local,
				    strbuf_str(&permit->upstream), report, now);
}

void permit_state_answers(struct permit_state *st, const pmt_answers *answers,
			  apr_time_t now)
{
	struct permit_peer *peer;

	st->now = now;
	if (answers->entry_incarnation &&
	    answers->entry_incarnation != st->cfg.incarnation)
		return;
	peer = peer_named(st, str_from_c(answers->broker));
	if (!peer)
		return;
	switch (permit_peer_heard(peer, answers)) {
	case PERMIT_PEER_BACK:
		evt_log(BROKER_BACK, "broker=%s silent_ms=%lld", peer->vm.ptr,
			(long long)(now - peer->silent_since) / 1000);
		peer_resync(st, peer);
		break;
	case PERMIT_PEER_RESYNC:
		peer_resync(st, peer);
		break;
	case PERMIT_PEER_SILENT:
	case PERMIT_PEER_SAME:
		break;
	}
	for (u_int i = 0; i < answers->answers.answers_len; i++)
		take_answer(st, &answers->answers.answers_val[i]);
	for (u_int i = 0; i < answers->queries.queries_len; i++)
		take_query(st, peer, &answers->queries.queries_val[i]);
}

void permit_state_tick(struct permit_state *st, apr_time_t now)
{
	st->now = now;
	expire_asks(st);
	for (struct key *key = st->first_key; key; key = key->next) {
		if (key->local)
			permit_local_tick(key->local, now);
	}
	for (struct permit_peer *p = st->first_peer; p; p = p->next) {
		if (permit_peer_tick(p, &st->cfg, now) == PERMIT_PEER_SILENT)
			peer_silent(st, p);
		heartbeat(st, p);
	}
}

void permit_state_flush(struct permit_state *st, apr_time_t now)
{
	st->now = now;
	for (struct key *key = st->first_key; key; key = key->next) {
		if (reachable(key) && key->full_due && key->peer->batch &&
		    key->part_round == key->peer->round)
			add_full(key);
	}
	for (struct permit_peer *p = st->first_peer; p; p = p->next)
		permit_peer_flush(p, &st->cfg, &st->io, now);
}

bool permit_state_busy(const struct permit_state *st)
{
	return st->first_ask || st->permits.count;
}
