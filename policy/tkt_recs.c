#include "policy/tkt_recs.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"

/* Low bits of an attempt number: the record's place in the table. */
#define PLACE_BITS 24
#define PLACE_MASK ((UINT64_C(1) << PLACE_BITS) - 1)

struct list {
	struct tkt_rec *first;
	struct tkt_rec *last;
	uint64_t count;
};

struct tkt_recs {
	struct tkt_rec *table;
	uint32_t capacity;
	/* Places never used so far start here. */
	uint32_t fresh;
	struct tkt_rec *free;
	struct tkt_rec **buckets;
	uint64_t bucket_mask;
	uint64_t sequence;
	struct list lists[TKT_PHASE_COUNT];
};

static struct tkt_rec **bucket(struct tkt_recs *recs, uint64_t hash)
{
	return &recs->buckets[hash & recs->bucket_mask];
}

static void list_remove(struct tkt_recs *recs, struct tkt_rec *rec)
{
	struct list *list = &recs->lists[rec->phase];

	if (rec->prev)
		rec->prev->next = rec->next;
	else
		list->first = rec->next;
	if (rec->next)
		rec->next->prev = rec->prev;
	else
		list->last = rec->prev;
	list->count--;
}

static void list_append(struct tkt_recs *recs, struct tkt_rec *rec,
			enum tkt_phase phase)
{
	struct list *list = &recs->lists[phase];

	rec->phase = phase;
	rec->next = NULL;
	rec->prev = list->last;
	if (list->last)
		list->last->next = rec;
	else
		list->first = rec;
	list->last = rec;
	list->count++;
}

static struct tkt_rec *take_place(struct tkt_recs *recs)
{
	struct tkt_rec *rec = recs->free;

	if (!rec && recs->fresh < recs->capacity)
		return &recs->table[recs->fresh++];
	if (!rec && recs->lists[TKT_PHASE_ENDED].first) {
		tkt_recs_drop(recs, recs->lists[TKT_PHASE_ENDED].first);
		rec = recs->free;
	}
	if (rec)
		recs->free = rec->chain;
	return rec;
}

static int keep_key(struct tkt_rec *rec, const struct tkt_key *key)
{
	rec->key = *key;
	if (key->kind != TKT_KEY_OWN)
		return 0;
	rec->own = malloc(key->own.len);
	if (!rec->own)
		return PST_ERR_NOMEM;
	memcpy(rec->own, key->own.ptr, key->own.len);
	rec->key.own.ptr = rec->own;
	return 0;
}

int tkt_recs_create(struct tkt_recs **out, uint32_t capacity)
{
	struct tkt_recs *recs = calloc(1, sizeof(*recs));
	uint64_t buckets = 1;

	if (!recs)
		return PST_ERR_NOMEM;
	while (buckets < capacity)
		buckets *= 2;
	recs->capacity = capacity;
	recs->bucket_mask = buckets - 1;
	recs->table = calloc(capacity, sizeof(*recs->table));
	recs->buckets = calloc(buckets, sizeof(struct tkt_rec *));
	if (!recs->table || !recs->buckets) {
		tkt_recs_destroy(recs);
		return PST_ERR_NOMEM;
	}
	*out = recs;
	return 0;
}

void tkt_recs_destroy(struct tkt_recs *recs)
{
	if (!recs)
		return;
	for (uint32_t i = 0; i < recs->fresh; i++)
		free(recs->table[i].own);
	free(recs->table);
	free(recs->buckets);
	free(recs);
}

struct tkt_rec *tkt_recs_find(struct tkt_recs *recs, const struct tkt_key *key)
{
	const uint64_t hash = tkt_key_hash(key);
	struct tkt_rec *rec = *bucket(recs, hash);

	while (rec && (rec->hash != hash || !tkt_key_eq(&rec->key, key)))
		rec = rec->chain;
	return rec;
}

struct tkt_rec *tkt_recs_by_attempt(struct tkt_recs *recs, uint64_t attempt)
{
	const uint64_t place = attempt & PLACE_MASK;

	if (!attempt || place >= recs->fresh ||
	    recs->table[place].attempt != attempt)
		return NULL;
	return &recs->table[place];
}

int tkt_recs_add(struct tkt_recs *recs, const struct tkt_key *key,
		 struct tkt_rec **out)
{
	struct tkt_rec *rec = take_place(recs);
	struct tkt_rec **head;

	if (!rec)
		return PST_ERR_FULL;
	*rec = (struct tkt_rec){.hash = tkt_key_hash(key)};
	if (keep_key(rec, key)) {
		rec->chain = recs->free;
		recs->free = rec;
		return PST_ERR_NOMEM;
	}
	tkt_recs_renew(recs, rec);
	head = bucket(recs, rec->hash);
	rec->chain = *head;
	*head = rec;
	list_append(recs, rec, TKT_PHASE_PENDING);
	*out = rec;
	return 0;
}

void tkt_recs_renew(struct tkt_recs *recs, struct tkt_rec *rec)
{
	const uint64_t place = (uint64_t)(rec - recs->table);

	recs->sequence++;
	rec->attempt = recs->sequence << PLACE_BITS | place;
}

void tkt_recs_move(struct tkt_recs *recs, struct tkt_rec *rec,
		   enum tkt_phase phase)
{
	list_remove(recs, rec);
	list_append(recs, rec, phase);
}

void tkt_recs_drop(struct tkt_recs *recs, struct tkt_rec *rec)
{
	struct tkt_rec **link = bucket(recs, rec->hash);

	while (*link != rec)
		link = &(*link)->chain;
	*link = rec->chain;
	list_remove(recs, rec);
	free(rec->own);
	*rec = (struct tkt_rec){.chain = recs->free};
	recs->free = rec;
}

struct tkt_rec *tkt_recs_first(struct tkt_recs *recs, enum tkt_phase phase)
{
	return recs->lists[phase].first;
}

uint64_t tkt_recs_count(const struct tkt_recs *recs, enum tkt_phase phase)
{
	return recs->lists[phase].count;
}
