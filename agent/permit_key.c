#include "agent/permit_key.h"

#include <stdio.h>
#include <stdlib.h>

#include "agent/permit_batch.h"
#include "common/err.h"
#include "common/evt.h"

#define LOG_MODULE	       "permit"

#define FROM_NODE(found, type) ((type *)(void *)(found))

struct permit_waiting *permit_waiting_find(const struct permit_state *st,
					   uint64_t id)
{
	return FROM_NODE(broker_map_find(&st->asks, id, 0),
			 struct permit_waiting);
}

void permit_waiting_drop(struct permit_state *st, struct permit_waiting *ask)
{
	broker_map_remove(&st->asks, &ask->node);
	if (ask->prev)
		ask->prev->next = ask->next;
	else
		st->first_ask = ask->next;
	if (ask->next)
		ask->next->prev = ask->prev;
	else
		st->last_ask = ask->prev;
	free(ask);
}

static struct permit_held *add_permit(struct permit_key *key, uint64_t id,
				      const struct permit_waiting *ask,
				      struct str upstream)
{
	struct permit_state *st = key->st;
	struct permit_held *permit = calloc(1, sizeof(*permit));

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
	broker_map_add(&st->permits, &permit->node, id, 0);
	return permit;
}

void permit_held_drop(struct permit_state *st, struct permit_held *permit)
{
	broker_map_remove(&st->permits, &permit->node);
	if (permit->prev)
		permit->prev->next = permit->next;
	else
		permit->key->permits = permit->next;
	if (permit->next)
		permit->next->prev = permit->prev;
	free(permit);
}

void permit_key_free(struct permit_key *key)
{
	struct permit_held *permit = key->permits;

	while (permit) {
		struct permit_held *next = permit->next;

		free(permit);
		permit = next;
	}
	permit_local_destroy(key->local);
	free(key);
}

bool permit_key_reachable(const struct permit_key *key)
{
	return key->peer && !key->peer->silent;
}

pmt_part *permit_key_part(struct permit_key *key)
{
	struct permit_peer *peer = key->peer;
	pmt_batch *batch;

	if (!permit_key_reachable(key))
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

void permit_waiting_refuse(struct permit_state *st, uint64_t ask_id,
			   enum permit_result result,
			   apr_interval_time_t retry_after)
{
	const struct permit_answer answer = {
		.ask_id = ask_id,
		.result = result,
		.retry_after = retry_after,
	};

	st->io.answer(st->io.ctx, &answer);
}

void permit_waiting_grant(struct permit_state *st, struct permit_waiting *ask,
			  uint64_t id, struct str upstream, struct str address,
			  uint16_t port)
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
		permit_waiting_refuse(st, answer.ask_id, PERMIT_FULL, 0);
		permit_waiting_drop(st, ask);
		return;
	}
	permit_waiting_drop(st, ask);
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

static void local_answer(void *ctx, const struct broker_answer *answer)
{
	struct permit_key *key = ctx;
	struct permit_state *st = key->st;
	struct permit_waiting *ask = permit_waiting_find(st, answer->ask);
	const struct broker_up *up = answer->up;

	if (!ask || !ask->local)
		return;
	if (answer->result != PERMIT_GRANTED) {
		evt_log(PERMIT_LOCAL_REFUSED,
			"service=%s domain=%s ask=%llu rank=%s result=%s",
			key->service.ptr, key->domain.ptr,
			(unsigned long long)answer->ask,
			rank_name(answer->rank), result_name(answer->result));
		permit_waiting_drop(st, ask);
		permit_waiting_refuse(st, answer->ask, answer->result,
				      answer->retry_after);
		return;
	}
	permit_waiting_grant(st, ask, answer->permit, strbuf_str(&up->vm.name),
			     strbuf_str(&up->vm.address), up->vm.port);
	evt_log(PERMIT_LOCAL,
		"service=%s domain=%s ask=%llu rank=%s upstream=%s "
		"permit=%llx among=%u policy=%s",
		key->service.ptr, key->domain.ptr,
		(unsigned long long)answer->ask, rank_name(answer->rank),
		up->vm.name.ptr, (unsigned long long)answer->permit,
		answer->upstream_count, pick_name(st->cfg.policy));
}

/* Counts the permits held from a broker against the static share. */
static void claim_held(struct permit_key *key)
{
	struct permit_state *st = key->st;
	struct broker_claim *claims;
	size_t count = 0;

	claims = calloc(st->permits.count + 1, sizeof(*claims));
	for (struct permit_held *p = key->permits; claims && p; p = p->next) {
		claims[count++] = (struct broker_claim){
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

struct permit_local *permit_key_local(struct permit_key *key)
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

void permit_waiting_ask_locally(struct permit_waiting *ask)
{
	struct permit_state *st = ask->key->st;
	struct permit_local *local = permit_key_local(ask->key);
	const struct broker_ask local_ask = {
		.id = ask->node.key[0],
		.rank = ask->rank,
		.deadline = ask->deadline,
	};

	ask->local = true;
	/* When memory is out, the ask is refused at its deadline. */
	if (local)
		permit_local_ask(local, &local_ask, st->now);
}

/* The first ask, from ask on, that waits for the key's broker. */
static struct permit_waiting *next_at_broker(const struct permit_key *key,
					     struct permit_waiting *ask)
{
	while (ask && (ask->key != key || ask->local))
		ask = ask->next;
	return ask;
}

unsigned permit_key_switch_to_local(struct permit_key *key)
{
	struct permit_waiting *ask = next_at_broker(key, key->st->first_ask);
	unsigned switched = 0;

	if (permit_key_local(key))
		claim_held(key);
	while (ask) {
		/*
		 * The call below may answer and free asks that were switched,
		 * but not next, which still waits for the broker.
		 */
		struct permit_waiting *next = next_at_broker(key, ask->next);

		switched++;
		permit_waiting_ask_locally(ask);
		ask = next;
	}
	return switched;
}

void permit_waiting_send(struct permit_waiting *ask)
{
	struct permit_state *st = ask->key->st;
	pmt_part *part = permit_key_part(ask->key);

	ask->local = false;
	if (part)
		permit_batch_ask(part, ask->node.key[0], ask->rank,
				 ask->deadline - st->now);
}

struct permit_peer *permit_key_peer(struct permit_state *st,
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

/*
 * Chooses the broker's VM by rendezvous hashing, so that all entry VMs with
 * the same list choose the same one. VMs in the upstreams' failure domain are
 * preferred to others.
 */
static struct permit_peer *choose_peer(struct permit_state *st,
				       const struct permit_key *key)
{
	const struct vm *vm = NULL;
	char text[2 * STR_ID_MAX + 2];
	struct str name = {.ptr = text};

	if (!st->view || st->cfg.policy != PICK_BROKER)
		return NULL;
	name.len = (size_t)snprintf(text, sizeof(text), "%s/%s",
				    key->service.ptr, key->domain.ptr);
	if (!vmlist_rendezvous(st->view->vmlist, name, strbuf_str(&key->domain),
			       &vm, 1) &&
	    !vmlist_rendezvous(st->view->vmlist, name, STR_LIT(""), &vm, 1))
		return NULL;
	return permit_key_peer(st, vm);
}

void permit_key_resend(struct permit_state *st, const struct permit_key *key)
{
	for (struct permit_waiting *ask = st->first_ask; ask; ask = ask->next) {
		if (ask->key == key && !ask->local)
			permit_waiting_send(ask);
	}
}

void permit_key_update_broker(struct permit_key *key)
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
	if (permit_key_reachable(key)) {
		permit_key_resend(st, key);
		if (key->permits)
			permit_key_part(key);
	} else {
		permit_key_switch_to_local(key);
	}
}

struct permit_key *permit_key_obtain(struct permit_state *st,
				     const struct strbuf *service,
				     const struct strbuf *domain)
{
	const uint64_t hash =
		str_hash(strbuf_str(service), str_hash(strbuf_str(domain), 0));
	struct permit_key *key = FROM_NODE(broker_map_find(&st->keys, hash, 0),
					   struct permit_key);

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
	broker_map_add(&st->keys, &key->node, hash, 0);
	key->peer = choose_peer(st, key);
	return key;
}

struct permit_key *permit_key_find(const struct permit_state *st,
				   struct str service, struct str domain)
{
	return FROM_NODE(broker_map_find(&st->keys,
					 str_hash(service, str_hash(domain, 0)),
					 0),
			 struct permit_key);
}

void permit_key_list_held(struct permit_key *key)
{
	pmt_part *part = permit_key_part(key);

	if (!part)
		return;
	part->full = true;
	part->seen = key->seen;
	for (struct permit_held *p = key->permits; p; p = p->next) {
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
