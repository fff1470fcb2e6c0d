#include "policy/tkt_records.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"

/* The low bits of an attempt number are the record's index in the table. */
#define SLOT_BITS 24
#define SLOT_MASK ((UINT64_C(1) << SLOT_BITS) - 1)

struct list {
	struct tkt_rec *first;
	struct tkt_rec *last;
	uint64_t count;
};

struct tkt_records {
	struct tkt_rec *table;
	uint32_t capacity;
	/* The table's entries from here on were never used. */
	uint32_t first_unused;
	struct tkt_rec *free;
	struct tkt_rec **buckets;
	uint64_t bucket_mask;
	uint64_t sequence;
	struct list lists[TKT_PHASE_COUNT];
};

static struct tkt_rec **bucket(struct tkt_records *recs, uint64_t hash)
{
	return &recs->buckets[hash & recs->bucket_mask];
}

static void list_remove(struct tkt_records *recs, struct tkt_rec *rec)
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

static void list_append(struct tkt_records *recs, struct tkt_rec *rec,
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

static struct tkt_rec *alloc_record(struct tkt_records *recs)
{
	struct tkt_rec *rec = recs->free;

	if (!rec && recs->first_unused < recs->capacity)
		return &recs->table[recs->first_unused++];
	if (!rec && recs->lists[TKT_PHASE_ENDED].first) {
		tkt_records_remove(recs, recs->lists[TKT_PHASE_ENDED].first);
		rec = recs->free;
	}
	if (rec)
		recs->free = rec->chain;
	return rec;
}

static int copy_key(struct tkt_rec *rec, const struct tkt_key *key)
{
	rec->key = *key;
	if (key->kind != TKT_KEY_OWN)
		return 0;
	rec->own_key_bytes = malloc(key->own.len);
	if (!rec->own_key_bytes)
		return PST_ERR_NOMEM;
	memcpy(rec->own_key_bytes, key->own.ptr, key->own.len);
	rec->key.own.ptr = rec->own_key_bytes;
	return 0;
}

int tkt_records_create(struct tkt_records **out, uint32_t capacity)
{
	struct tkt_records *recs = calloc(1, sizeof(*recs));
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
		tkt_records_destroy(recs);
		return PST_ERR_NOMEM;
	}
	*out = recs;
	return 0;
}

void tkt_records_destroy(struct tkt_records *recs)
{
	if (!recs)
		return;
	for (uint32_t i = 0; i < recs->first_unused; i++)
		free(recs->table[i].own_key_bytes);
	free(recs->table);
	free(recs->buckets);
	free(recs);
}

struct tkt_rec *tkt_records_find(struct tkt_records *recs,
				 const struct tkt_key *key)
{
	const uint64_t hash = tkt_key_hash(key);
	struct tkt_rec *rec = *bucket(recs, hash);

	while (rec && (rec->hash != hash || !tkt_key_eq(&rec->key, key)))
		rec = rec->chain;
	return rec;
}

struct tkt_rec *tkt_records_by_attempt(struct tkt_records *recs,
				       uint64_t attempt)
{
	const uint64_t slot = attempt & SLOT_MASK;

	if (!attempt || slot >= recs->first_unused ||
	    recs->table[slot].attempt != attempt)
		return NULL;
	return &recs->table[slot];
}

int tkt_records_add(struct tkt_records *recs, const struct tkt_key *key,
		    struct tkt_rec **out)
{
	struct tkt_rec *rec = alloc_record(recs);
	struct tkt_rec **head;

	if (!rec)
		return PST_ERR_FULL;
	*rec = (struct tkt_rec){.hash = tkt_key_hash(key)};
	if (copy_key(rec, key)) {
		rec->chain = recs->free;
		recs->free = rec;
		return PST_ERR_NOMEM;
	}
	tkt_records_new_attempt(recs, rec);
	head = bucket(recs, rec->hash);
	rec->chain = *head;
	*head = rec;
	list_append(recs, rec, TKT_PHASE_PENDING);
	*out = rec;
	return 0;
}

void tkt_records_new_attempt(struct tkt_records *recs, struct tkt_rec *rec)
{
	const uint64_t slot = (uint64_t)(rec - recs->table);

	recs->sequence++;
	rec->attempt = recs->sequence << SLOT_BITS | slot;
}

void tkt_records_move(struct tkt_records *recs, struct tkt_rec *rec,
		      enum tkt_phase phase)
{
	list_remove(recs, rec);
	list_append(recs, rec, phase);
}

void tkt_records_remove(struct tkt_records *recs, struct tkt_rec *rec)
{
	struct tkt_rec **link = bucket(recs, rec->hash);

	while (*link != rec)
		link = &(*link)->chain;
	*link = rec->chain;
	list_remove(recs, rec);
	free(rec->own_key_bytes);
	*rec = (struct tkt_rec){.chain = recs->free};
	recs->free = rec;
}

struct tkt_rec *tkt_records_first(struct tkt_records *recs,
				  enum tkt_phase phase)
{
	return recs->lists[phase].first;
}

uint64_t tkt_records_count(const struct tkt_records *recs, enum tkt_phase phase)
{
	return recs->lists[phase].count;
}
