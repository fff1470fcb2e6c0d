#include "policy/tkt_wset.h"

#include <stdlib.h>

#include "common/err.h"

/* A handover that has not arrived whole by then is dropped. */
#define HANDOVER_TIMEOUT_US APR_TIME_C(30000000)

enum member_phase {
	/* Some chunks have not arrived yet. */
	MEMBER_RECEIVING,
	MEMBER_SERVING,
	/* Its chunks are being sent to a successor. */
	MEMBER_FROZEN,
	MEMBER_HANDED_OVER,
};

struct member {
	uint64_t vm;
	uint64_t incarnation;
	enum member_phase phase;
	uint32_t next_sequence;
	apr_time_t started_at;
	/* NULL when the member is not in use. */
	struct tkt_witness *witness;
};

struct tkt_wset {
	/* The first is the process's own witness. */
	struct member members[1 + TKT_ADOPTED_MAX];
	bool frozen;
};

static struct member *find(struct tkt_wset *set, uint64_t incarnation)
{
	for (size_t i = 0; i <= TKT_ADOPTED_MAX; i++) {
		struct member *m = &set->members[i];

		if (m->witness && m->incarnation == incarnation)
			return m;
	}
	return NULL;
}

static void free_member(struct member *m)
{
	tkt_witness_destroy(m->witness);
	*m = (struct member){0};
}

/* Drops adopted witnesses that have expired or have not arrived in time. */
static void drop_expired(struct tkt_wset *set, apr_time_t now)
{
	for (size_t i = 1; i <= TKT_ADOPTED_MAX; i++) {
		struct member *m = &set->members[i];

		if (!m->witness)
			continue;
		if (m->phase == MEMBER_RECEIVING) {
			if (now - m->started_at > HANDOVER_TIMEOUT_US)
				free_member(m);
			continue;
		}
		tkt_witness_expire(m->witness, now);
		if (!tkt_witness_stats(m->witness).blocks)
			free_member(m);
	}
}

static struct member *find_free_member(struct tkt_wset *set)
{
	for (size_t i = 1; i <= TKT_ADOPTED_MAX; i++) {
		if (!set->members[i].witness)
			return &set->members[i];
	}
	return NULL;
}

static int start_adoption(struct tkt_wset *set, const struct tkt_chunk *chunk,
			  apr_time_t now, struct member **out)
{
	struct member *m = find_free_member(set);
	int err;

	if (!m)
		return PST_ERR_FULL;
	err = tkt_witness_adopt(&m->witness, chunk->incarnation, chunk->first,
				chunk->next);
	if (err)
		return err;
	m->vm = chunk->vm;
	m->incarnation = chunk->incarnation;
	m->phase = MEMBER_RECEIVING;
	m->started_at = now;
	*out = m;
	return 0;
}

static void freeze(struct tkt_wset *set)
{
	if (set->frozen)
		return;
	set->frozen = true;
	for (size_t i = 0; i <= TKT_ADOPTED_MAX; i++) {
		struct member *m = &set->members[i];

		if (m->witness && m->phase == MEMBER_SERVING)
			m->phase = MEMBER_FROZEN;
	}
}

int tkt_wset_create(struct tkt_wset **out, uint64_t vm,
		    const struct tkt_witness_conf *conf)
{
	struct tkt_wset *set = calloc(1, sizeof(*set));
	int err;

	if (!set)
		return PST_ERR_NOMEM;
	err = tkt_witness_create(&set->members[0].witness, conf);
	if (err) {
		free(set);
		return err;
	}
	set->members[0].vm = vm;
	set->members[0].incarnation = conf->incarnation;
	set->members[0].phase = MEMBER_SERVING;
	*out = set;
	return 0;
}

void tkt_wset_destroy(struct tkt_wset *set)
{
	if (!set)
		return;
	for (size_t i = 0; i <= TKT_ADOPTED_MAX; i++)
		tkt_witness_destroy(set->members[i].witness);
	free(set);
}

int tkt_wset_open(struct tkt_wset *set, uint64_t home, uint32_t *count,
		  apr_time_t now, uint64_t *block)
{
	if (set->frozen)
		return PST_ERR_STOPPED;
	return tkt_witness_open(set->members[0].witness, home, count, now,
				block);
}

struct tkt_ruling tkt_wset_apply(struct tkt_wset *set, uint64_t incarnation,
				 const struct tkt_op *op, apr_time_t now)
{
	const struct member *m = find(set, incarnation);

	if (!m || m->phase == MEMBER_HANDED_OVER)
		return (struct tkt_ruling){.grant = TKT_GRANT_LOST};
	if (m->phase != MEMBER_SERVING)
		return (struct tkt_ruling){.grant = TKT_GRANT_NO_REPLY};
	return tkt_witness_apply(m->witness, incarnation, op, now);
}

void tkt_wset_shrink(struct tkt_wset *set, uint64_t incarnation, uint64_t block,
		     uint32_t first_unused, apr_time_t now)
{
	const struct member *m = find(set, incarnation);

	if (m && m->phase == MEMBER_SERVING)
		tkt_witness_shrink(m->witness, incarnation, block, first_unused,
				   now);
}

bool tkt_wset_export(struct tkt_wset *set, struct tkt_cursor *cursor,
		     struct tkt_chunk *chunk, apr_time_t now)
{
	freeze(set);
	while (cursor->member <= TKT_ADOPTED_MAX) {
		const struct member *m = &set->members[cursor->member];

		if (m->witness && m->phase == MEMBER_FROZEN)
			break;
		tkt_wset_skip(cursor);
	}
	if (cursor->member > TKT_ADOPTED_MAX)
		return false;
	chunk->vm = set->members[cursor->member].vm;
	chunk->incarnation = set->members[cursor->member].incarnation;
	chunk->sequence = cursor->sequence++;
	chunk->count = tkt_witness_export(set->members[cursor->member].witness,
					  &cursor->block, &cursor->index,
					  chunk->items, TKT_CHUNK_ITEMS, now);
	tkt_witness_range(set->members[cursor->member].witness, &chunk->first,
			  &chunk->next);
	chunk->last = cursor->block >= chunk->next;
	if (chunk->last)
		tkt_wset_skip(cursor);
	return true;
}

void tkt_wset_skip(struct tkt_cursor *cursor)
{
	*cursor = (struct tkt_cursor){.member = cursor->member + 1};
}

void tkt_wset_handed_over(struct tkt_wset *set, uint64_t incarnation)
{
	struct member *m = find(set, incarnation);

	if (m && m->phase == MEMBER_FROZEN)
		m->phase = MEMBER_HANDED_OVER;
}

int tkt_wset_adopt(struct tkt_wset *set, const struct tkt_chunk *chunk,
		   apr_time_t now)
{
	struct member *m;
	int err = 0;

	if (set->frozen)
		return PST_ERR_STOPPED;
	drop_expired(set, now);
	m = find(set, chunk->incarnation);
	if (!m && chunk->sequence)
		return PST_ERR_INVALID;
	if (!m)
		err = start_adoption(set, chunk, now, &m);
	if (err)
		return err;
	if (m->phase != MEMBER_RECEIVING || chunk->sequence < m->next_sequence)
		return 0;
	if (chunk->sequence > m->next_sequence)
		return PST_ERR_INVALID;
	for (size_t i = 0; i < chunk->count && !err; i++)
		err = tkt_witness_import(m->witness, &chunk->items[i], now);
	if (err) {
		free_member(m);
		return err;
	}
	m->next_sequence++;
	if (chunk->last)
		m->phase = MEMBER_SERVING;
	return 0;
}

struct tkt_witness_stats tkt_wset_stats(const struct tkt_wset *set)
{
	return tkt_witness_stats(set->members[0].witness);
}
