#include "agent/permit_state.h"

#include <stdlib.h>

#include "agent/permit_batch.h"
#include "agent/permit_key.h"
#include "common/err.h"
#include "common/evt.h"

#define LOG_MODULE "permit"

/* Time without use after which heartbeats leave a key out. */
#define KEY_IDLE CLK_SEC(60)

/* Up to this many keys, connections to all their brokers are kept open. */
#define WARM_KEYS_MAX 256

/* An ask is refused this long before its deadline, to be answered in time. */
#define DEADLINE_MARGIN	       CLK_MS(5)

#define FROM_NODE(found, type) ((type *)(void *)(found))

static void peer_silent(struct permit_state *st, struct permit_peer *peer)
{
	unsigned switched = 0;

	for (struct permit_key *key = st->first_key; key; key = key->next) {
		if (key->peer == peer)
			switched += permit_key_switch_to_local(key);
	}
	evt_log(BROKER_SILENT, "broker=%s asks=%u", peer->vm.ptr, switched);
}

static void peer_resync(struct permit_state *st, const struct permit_peer *peer)
{
	for (struct permit_key *key = st->first_key; key; key = key->next) {
		if (key->peer != peer)
			continue;
		key->full_due = true;
		if (key->permits)
			permit_key_part(key);
		permit_key_resend(st, key);
	}
}

/*
 * A new broker asks which permits are held. A VM that has not used the key
 * sends an empty complete list.
 */
static void handle_query(struct permit_state *st, struct permit_peer *peer,
			 const pmt_query *query)
{
	const struct str service = str_from_c(query->service);
	const struct str domain = str_from_c(query->domain);
	struct permit_key *key = permit_key_find(st, service, domain);
	pmt_batch *batch;
	int part;

	if (key) {
		key->full_due = true;
		if (key->peer == peer)
			permit_key_part(key);
		return;
	}
	batch = peer->silent ? NULL : permit_peer_batch(peer, &st->cfg);
	part = batch ? permit_batch_part(batch, service, domain) : -1;
	if (part >= 0)
		batch->parts.parts_val[part].full = true;
}

/* Finds or creates the peer of a broker's VM. NULL if the VM is not listed. */
static struct permit_peer *find_peer(struct permit_state *st, struct str id)
{
	struct permit_peer *peer = st->first_peer;
	const struct vm *vm;

	while (peer && !str_eq(strbuf_str(&peer->vm), id))
		peer = peer->next;
	if (peer || !st->view)
		return peer;
	vm = vmlist_find(st->view->vmlist, id);
	return vm ? permit_key_peer(st, vm) : NULL;
}

/*
 * Whether the answer grants a permit ID that is held already. If another ask
 * holds it, which happens when two brokers grant the same ID, the ask is
 * cancelled at the broker and sent again.
 */
static bool known_permit(struct permit_state *st, struct permit_key *key,
			 const pmt_answer *a)
{
	const struct permit_held *held =
		FROM_NODE(broker_map_find(&st->permits, a->permit, 0),
			  struct permit_held);
	struct permit_waiting *ask = permit_waiting_find(st, a->ask);
	pmt_part *part;

	if (!held || a->result != PERMIT_GRANTED)
		return false;
	if (held->key == key && held->ask == a->ask)
		return true;
	part = permit_key_part(key);
	if (part)
		permit_batch_cancel(part, a->ask);
	if (ask && !ask->local && ask->key == key)
		permit_waiting_send(ask);
	return true;
}

/* Releases a permit from a VM that is no longer the key's broker. */
static void return_permit(struct permit_state *st, struct permit_peer *peer,
			  const pmt_answer *a)
{
	pmt_batch *batch =
		peer->silent ? NULL : permit_peer_batch(peer, &st->cfg);
	const int part =
		batch ? permit_batch_part(batch, str_from_c(a->service),
					  str_from_c(a->domain))
		      : -1;

	if (part >= 0)
		permit_batch_release(&batch->parts.parts_val[part], a->permit,
				     PERMIT_UNUSED);
}

static void handle_answer(struct permit_state *st, struct permit_peer *peer,
			  const pmt_answer *a)
{
	struct permit_key *key = permit_key_find(st, str_from_c(a->service),
						 str_from_c(a->domain));
	struct permit_waiting *ask = permit_waiting_find(st, a->ask);
	pmt_part *part;

	if (!key || known_permit(st, key, a))
		return;
	if (key->peer != peer) {
		if (a->result == PERMIT_GRANTED)
			return_permit(st, peer, a);
		return;
	}
	if (a->result == PERMIT_GRANTED && a->grant > key->seen)
		key->seen = a->grant;
	if (ask && !ask->local && ask->key == key) {
		if (a->result == PERMIT_GRANTED) {
			permit_waiting_grant(
				st, ask, a->permit, str_from_c(a->upstream),
				str_from_c(a->address), (uint16_t)a->port);
		} else {
			permit_waiting_drop(st, ask);
			permit_waiting_refuse(st, a->ask,
					      (enum permit_result)a->result,
					      CLK_MS(a->retry_ms));
		}
		return;
	}
	part = a->result == PERMIT_GRANTED ? permit_key_part(key) : NULL;
	if (part)
		permit_batch_release(part, a->permit, PERMIT_UNUSED);
}

static void cancel_ask(struct permit_state *st, struct permit_waiting *ask)
{
	pmt_part *part = ask->local ? NULL : permit_key_part(ask->key);
	const uint64_t id = ask->node.key[0];

	if (part)
		permit_batch_cancel(part, id);
	if (ask->local && ask->key->local)
		permit_local_cancel(ask->key->local, id, st->now);
}

static void expire_asks(struct permit_state *st)
{
	struct permit_waiting *ask = st->first_ask;

	while (ask) {
		struct permit_waiting *next = ask->next;

		if (st->now + DEADLINE_MARGIN >= ask->deadline) {
			const uint64_t id = ask->node.key[0];

			/*
			 * Cancelling a local ask may grant others, which frees
			 * them: start again from the first.
			 */
			cancel_ask(st, ask);
			permit_waiting_drop(st, ask);
			permit_waiting_refuse(st, id, PERMIT_LATE, 0);
			next = st->first_ask;
		}
		ask = next;
	}
}

static bool key_in_use(const struct permit_key *key)
{
	return key->permits || key->st->keys.count <= WARM_KEYS_MAX ||
	       (key->used_at && key->st->now - key->used_at < KEY_IDLE);
}

static void heartbeat(struct permit_state *st, struct permit_peer *peer)
{
	if (peer->silent || st->now - peer->synced_at < st->cfg.heartbeat)
		return;
	peer->synced_at = st->now;
	for (struct permit_key *key = st->first_key; key; key = key->next) {
		if (key->peer != peer || !key_in_use(key))
			continue;
		key->full_due = true;
		if (permit_key_part(key))
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

/* Connects to the brokers of all keys in the table before the first ask. */
static void warm_up(struct permit_state *st)
{
	const struct tbl *tbl = st->view->tbl;

	if (tbl->service_count * tbl->domain_count > WARM_KEYS_MAX)
		return;
	for (uint32_t s = 0; s < tbl->service_count; s++) {
		for (uint32_t d = 0; d < tbl->domain_count; d++) {
			struct permit_key *key;

			if (!has_weight(tbl, s, d))
				continue;
			key = permit_key_obtain(st, &tbl->services[s],
						&tbl->domains[d].name);
			if (key && key->full_due && permit_key_part(key))
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
	if (broker_map_init(&st->keys) || broker_map_init(&st->asks) ||
	    broker_map_init(&st->permits)) {
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
		permit_waiting_drop(st, st->first_ask);
	while (st->first_key) {
		struct permit_key *key = st->first_key;

		st->first_key = key->next;
		permit_key_free(key);
	}
	while (st->first_peer) {
		struct permit_peer *peer = st->first_peer;

		st->first_peer = peer->next;
		permit_peer_destroy(peer);
	}
	if (st->view)
		ctl_view_put(st->view);
	broker_map_done(&st->keys);
	broker_map_done(&st->asks);
	broker_map_done(&st->permits);
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
	for (struct permit_key *key = st->first_key; key; key = key->next)
		permit_key_update_broker(key);
	warm_up(st);
}

void permit_state_ask(struct permit_state *st, const struct permit_ask *ask,
		      apr_time_t now)
{
	struct permit_key *key;
	struct permit_waiting *a;

	st->now = now;
	key = permit_key_obtain(st, &ask->service, &ask->domain);
	a = key ? calloc(1, sizeof(*a)) : NULL;
	if (!a) {
		permit_waiting_refuse(st, ask->id, PERMIT_FULL, 0);
		return;
	}
	a->key = key;
	a->rank = ask->rank;
	a->deadline = ask->deadline;
	a->prev = st->last_ask;
	if (a->prev)
		a->prev->next = a;
	else
		st->first_ask = a;
	st->last_ask = a;
	broker_map_add(&st->asks, &a->node, ask->id, 0);
	key->used_at = now;
	if (permit_key_reachable(key))
		permit_waiting_send(a);
	else
		permit_waiting_ask_locally(a);
}

void permit_state_cancel(struct permit_state *st, uint64_t ask_id,
			 apr_time_t now)
{
	struct permit_waiting *ask = permit_waiting_find(st, ask_id);

	st->now = now;
	if (!ask)
		return;
	cancel_ask(st, ask);
	permit_waiting_drop(st, ask);
}

void permit_state_release(struct permit_state *st, uint64_t permit_id,
			  enum permit_outcome outcome, apr_time_t now)
{
	struct permit_held *permit =
		FROM_NODE(broker_map_find(&st->permits, permit_id, 0),
			  struct permit_held);
	struct permit_key *key;
	pmt_part *part;

	st->now = now;
	if (!permit)
		return;
	key = permit->key;
	permit_held_drop(st, permit);
	part = permit_key_part(key);
	if (part)
		permit_batch_release(part, permit_id, outcome);
	if (key->local)
		permit_local_release(key->local, permit_id, outcome, now);
}

void permit_state_report(struct permit_state *st, uint64_t permit_id,
			 const struct load_report *report, apr_time_t now)
{
	struct permit_held *permit =
		FROM_NODE(broker_map_find(&st->permits, permit_id, 0),
			  struct permit_held);
	pmt_part *part;

	st->now = now;
	if (!permit)
		return;
	part = permit_key_part(permit->key);
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
	peer = find_peer(st, str_from_c(answers->broker));
	if (!peer)
		return;
	switch (permit_peer_received(peer, answers, now)) {
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
		handle_answer(st, peer, &answers->answers.answers_val[i]);
	for (u_int i = 0; i < answers->queries.queries_len; i++)
		handle_query(st, peer, &answers->queries.queries_val[i]);
}

void permit_state_tick(struct permit_state *st, apr_time_t now)
{
	st->now = now;
	expire_asks(st);
	for (struct permit_key *key = st->first_key; key; key = key->next) {
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
	for (struct permit_key *key = st->first_key; key; key = key->next) {
		if (permit_key_reachable(key) && key->full_due &&
		    key->peer->batch && key->part_round == key->peer->round)
			permit_key_list_held(key);
	}
	for (struct permit_peer *p = st->first_peer; p; p = p->next)
		permit_peer_flush(p, &st->cfg, &st->io, now);
}

bool permit_state_busy(const struct permit_state *st)
{
	return st->first_ask || st->permits.count;
}
