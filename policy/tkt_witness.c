#include "policy/tkt_witness.h"

#include <stdlib.h>

#include "common/err.h"

/* Bounds of blocks that are taken over from another witness. */
#define MAX_BLOCK_TICKETS 65536
#define MAX_BLOCKS	  65536
#define MAX_TTL_LEFT_US	  APR_TIME_C(86400000000)

enum slot_state {
	SLOT_FREE,
	SLOT_OWNED,
	SLOT_SEALED,
};

struct slot {
	struct tkt_owner owner;
	enum slot_state state;
};

struct block {
	uint64_t home;
	uint32_t count;
	/* Number of slots with a record. */
	uint32_t used;
	apr_time_t expires_at;
	/* Number of slots: the count when the first record was made. */
	uint32_t allocated;
	/* NULL before the first record. */
	struct slot *slots;
};

/*
 * Blocks are numbered in sequence and have the same time to live, so that the
 * unexpired ones are those from first to next - 1. They are kept in a ring.
 */
struct tkt_witness {
	struct tkt_witness_conf conf;
	struct block *ring;
	uint64_t first;
	uint64_t next;
	uint64_t records;
	uint64_t bytes;
};

static struct block *block_at(struct tkt_witness *w, uint64_t number)
{
	return &w->ring[number % w->conf.max_blocks];
}

static void drop_records(struct tkt_witness *w, struct block *block)
{
	if (!block->slots)
		return;
	free(block->slots);
	block->slots = NULL;
	w->records -= block->used;
	w->bytes -= block->allocated * sizeof(*block->slots);
	block->used = 0;
}

static struct block *find_block(struct tkt_witness *w, uint64_t incarnation,
				uint64_t number)
{
	if (incarnation != w->conf.incarnation)
		return NULL;
	if (number < w->first || number >= w->next)
		return NULL;
	return block_at(w, number);
}

static bool ensure_slots(struct tkt_witness *w, struct block *block)
{
	if (block->slots)
		return true;
	block->slots = calloc(block->count, sizeof(*block->slots));
	if (!block->slots)
		return false;
	block->allocated = block->count;
	w->bytes += block->allocated * sizeof(*block->slots);
	return true;
}

static struct tkt_ruling decide(struct tkt_witness *w, struct block *block,
				const struct tkt_op *op)
{
	struct slot *slot = &block->slots[op->index];
	const bool own = slot->state == SLOT_OWNED &&
			 tkt_owner_eq(&slot->owner, &op->requester);

	if (slot->state == SLOT_SEALED)
		return (struct tkt_ruling){.grant = TKT_GRANT_SEALED};
	if (slot->state == SLOT_OWNED && !own)
		return (struct tkt_ruling){
			.grant = TKT_GRANT_OTHER,
			.owner = slot->owner,
		};
	if (slot->state == SLOT_FREE) {
		block->used++;
		w->records++;
	}
	slot->owner = op->requester;
	if (op->kind == TKT_OP_SEAL) {
		slot->state = SLOT_SEALED;
		return (struct tkt_ruling){.grant = TKT_GRANT_SEALED};
	}
	slot->state = SLOT_OWNED;
	return (struct tkt_ruling){
		.grant = TKT_GRANT_YOURS,
		.handed_over = op->requester.vm != block->home,
	};
}

static struct tkt_item block_item(const struct block *block, uint64_t number,
				  apr_time_t now)
{
	return (struct tkt_item){
		.kind = TKT_ITEM_BLOCK,
		.block = number,
		.home = block->home,
		.count = block->count,
		.ttl_left =
			block->expires_at > now ? block->expires_at - now : 0,
	};
}

/* Advances *index to a ticket with a record; returns false at the end. */
static bool next_record(const struct block *block, uint32_t *index)
{
	if (!block->slots)
		return false;
	while (*index < block->count && block->slots[*index].state == SLOT_FREE)
		(*index)++;
	return *index < block->count;
}

static struct tkt_item record_item(const struct block *block, uint64_t number,
				   uint32_t index)
{
	const struct slot *slot = &block->slots[index];

	return (struct tkt_item){
		.kind = slot->state == SLOT_SEALED ? TKT_ITEM_SEALED
						   : TKT_ITEM_OWNED,
		.block = number,
		.index = index,
		.owner = slot->owner,
	};
}

static int import_block(struct block *block, const struct tkt_item *item,
			apr_time_t now)
{
	if (block->count || item->count > MAX_BLOCK_TICKETS ||
	    item->ttl_left < 0 || item->ttl_left > MAX_TTL_LEFT_US)
		return PST_ERR_INVALID;
	*block = (struct block){
		.home = item->home,
		.count = item->count,
		.expires_at = now + item->ttl_left,
	};
	return 0;
}

static int import_record(struct tkt_witness *w, struct block *block,
			 const struct tkt_item *item)
{
	if (item->index >= block->count)
		return PST_ERR_INVALID;
	if (!ensure_slots(w, block))
		return PST_ERR_NOMEM;
	if (block->slots[item->index].state == SLOT_FREE) {
		block->used++;
		w->records++;
	}
	block->slots[item->index] = (struct slot){
		.owner = item->owner,
		.state = item->kind == TKT_ITEM_SEALED ? SLOT_SEALED
						       : SLOT_OWNED,
	};
	return 0;
}

int tkt_witness_create(struct tkt_witness **out,
		       const struct tkt_witness_conf *conf)
{
	struct tkt_witness *w = calloc(1, sizeof(*w));

	if (!w)
		return PST_ERR_NOMEM;
	w->conf = *conf;
	w->ring = calloc(conf->max_blocks, sizeof(*w->ring));
	if (!w->ring) {
		free(w);
		return PST_ERR_NOMEM;
	}
	w->first = 1;
	w->next = 1;
	w->bytes = sizeof(*w) + conf->max_blocks * sizeof(*w->ring);
	*out = w;
	return 0;
}

void tkt_witness_destroy(struct tkt_witness *w)
{
	if (!w)
		return;
	for (uint64_t n = w->first; n < w->next; n++)
		free(block_at(w, n)->slots);
	free(w->ring);
	free(w);
}

int tkt_witness_open(struct tkt_witness *w, uint64_t home, uint32_t *count,
		     apr_time_t now, uint64_t *block)
{
	tkt_witness_expire(w, now);
	if (!*count)
		return PST_ERR_INVALID;
	if (w->next - w->first == w->conf.max_blocks)
		return PST_ERR_TKT_NO_BLOCK;
	if (*count > w->conf.max_count)
		*count = w->conf.max_count;
	*block = w->next++;
	*block_at(w, *block) = (struct block){
		.home = home,
		.count = *count,
		.expires_at = now + w->conf.ttl,
	};
	return 0;
}

struct tkt_ruling tkt_witness_apply(struct tkt_witness *w, uint64_t incarnation,
				    const struct tkt_op *op, apr_time_t now)
{
	struct block *block;

	tkt_witness_expire(w, now);
	block = find_block(w, incarnation, op->block);
	if (!block || op->index >= block->count)
		return (struct tkt_ruling){.grant = TKT_GRANT_LOST};
	if (!ensure_slots(w, block))
		return (struct tkt_ruling){.grant = TKT_GRANT_UNAVAILABLE};
	return decide(w, block, op);
}

void tkt_witness_shrink(struct tkt_witness *w, uint64_t incarnation,
			uint64_t block, uint32_t first_unused, apr_time_t now)
{
	struct block *found;

	tkt_witness_expire(w, now);
	found = find_block(w, incarnation, block);
	if (!found || first_unused >= found->count)
		return;
	found->count = first_unused;
	if (!first_unused)
		drop_records(w, found);
}

void tkt_witness_expire(struct tkt_witness *w, apr_time_t now)
{
	while (w->first < w->next) {
		struct block *block = block_at(w, w->first);

		if (block->expires_at > now)
			return;
		drop_records(w, block);
		w->first++;
	}
}

void tkt_witness_range(const struct tkt_witness *w, uint64_t *first,
		       uint64_t *next)
{
	*first = w->first;
	*next = w->next;
}

/* *index is 0 for the block itself, else 1 + the index of the next ticket. */
size_t tkt_witness_export(const struct tkt_witness *w, uint64_t *block,
			  uint32_t *index, struct tkt_item *items, size_t max,
			  apr_time_t now)
{
	size_t count = 0;

	if (*block < w->first) {
		*block = w->first;
		*index = 0;
	}
	while (*block < w->next && count < max) {
		const struct block *b = &w->ring[*block % w->conf.max_blocks];
		uint32_t next = *index ? *index - 1 : 0;

		if (!*index) {
			items[count++] = block_item(b, *block, now);
			*index = 1;
		} else if (next_record(b, &next)) {
			items[count++] = record_item(b, *block, next);
			*index = next + 2;
		} else {
			(*block)++;
			*index = 0;
		}
	}
	return count;
}

int tkt_witness_adopt(struct tkt_witness **out, uint64_t incarnation,
		      uint64_t first, uint64_t next)
{
	const struct tkt_witness_conf conf = {
		.incarnation = incarnation,
		.max_blocks = next > first ? (uint32_t)(next - first) : 1,
	};
	int err;

	if (next < first || next - first > MAX_BLOCKS)
		return PST_ERR_INVALID;
	err = tkt_witness_create(out, &conf);
	if (err)
		return err;
	(*out)->first = first;
	(*out)->next = next;
	/* Keeps a block from expiring before its item is imported. */
	for (uint64_t n = first; n < next; n++)
		block_at(*out, n)->expires_at = INT64_MAX;
	return 0;
}

int tkt_witness_import(struct tkt_witness *w, const struct tkt_item *item,
		       apr_time_t now)
{
	struct block *block = find_block(w, w->conf.incarnation, item->block);

	if (!block)
		return PST_ERR_INVALID;
	switch (item->kind) {
	case TKT_ITEM_BLOCK:
		return import_block(block, item, now);
	case TKT_ITEM_OWNED:
	case TKT_ITEM_SEALED:
		return import_record(w, block, item);
	}
	return PST_ERR_INVALID;
}

struct tkt_witness_stats tkt_witness_stats(const struct tkt_witness *w)
{
	return (struct tkt_witness_stats){
		.blocks = w->next - w->first,
		.records = w->records,
		.bytes = w->bytes,
	};
}
