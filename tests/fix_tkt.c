#include "tests/fix_tkt.h"

#include <stdio.h>
#include <stdlib.h>

#include "common/err.h"
#include "tests/fix_tkt_net.h"

#define TTL    CLK_SEC(60)
#define BLOCKS 64

static void start(struct fix_world *w, int proc, uint64_t incarnation)
{
	struct fix_proc *p = &w->procs[proc];
	const struct tkt_claimant_conf claimant = {
		.vm = p->vm,
		.incarnation = incarnation,
		.capacity = FIX_KEYS,
		.retain = TTL,
		.give_up = CLK_MS(400),
		.resend = CLK_MS(60),
		.resend_store = CLK_MS(90),
		.act = fix_net_act,
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
	tkt_claimant_create(&p->claimant, &claimant);
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
		tkt_home_block_opened(home, &block, w->now, TTL);
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
	fix_net_hook(w, FIX_ADMIT, proc);
	if (!w->procs[proc].alive || fix_net_paused(w, proc))
		return;
	tkt_claimant_admit(w->procs[proc].claimant, request_id,
			   &w->keys[key].key, w->now + allowed, w->now);
}

void fix_tkt_crash(struct fix_world *w, int proc)
{
	struct fix_proc *p = &w->procs[proc];

	if (!p->alive)
		return;
	p->alive = false;
	tkt_claimant_destroy(p->claimant);
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
			fix_net_post(
				w,
				&(struct fix_msg){
					.kind = MSG_ADOPT,
					.from = proc,
					.to = (fix_net_proc(w, chunk->vm) + i) %
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
		fix_net_deliver(w);
		for (int i = 0; i < FIX_PROCS; i++) {
			if (w->procs[i].alive && !fix_net_paused(w, i))
				tkt_claimant_tick(w->procs[i].claimant, w->now);
		}
	}
}
