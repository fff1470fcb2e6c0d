/*
 * The witnesses that one process stands for: its own, and those of processes
 * that stopped in a planned way and handed their records over.
 *
 * A handover is safe because the records are frozen before the first of them
 * is sent, are sent to one successor only, and are used there only once all
 * have arrived. If it fails, the tickets concerned are never granted again.
 */
#ifndef POLICY_TKT_WSET_H
#define POLICY_TKT_WSET_H

#include "policy/tkt_witness.h"

/* Records in one message of a handover. */
#define TKT_CHUNK_ITEMS 2048
/* Witnesses taken over at once. */
#define TKT_ADOPTED_MAX 16

/* Part of a handover. */
struct tkt_chunk {
	/* Witness whose records these are. */
	uint64_t vm;
	uint64_t incarnation;
	/* Blocks first to next - 1 are handed over. */
	uint64_t first;
	uint64_t next;
	/* From 0. */
	uint32_t sequence;
	bool last;
	size_t count;
	struct tkt_item items[TKT_CHUNK_ITEMS];
};

struct tkt_wset;

/* conf is that of the process's own witness, on VM vm. Returns 0 or
 * PST_ERR_NOMEM.
 */
int tkt_wset_create(struct tkt_wset **out, uint64_t vm,
		    const struct tkt_witness_conf *conf);

/* NULL is allowed. */
void tkt_wset_destroy(struct tkt_wset *set);

/* As tkt_witness_open(); PST_ERR_STOPPED once frozen. */
int tkt_wset_open(struct tkt_wset *set, uint64_t home, uint32_t *count,
		  apr_time_t now, uint64_t *block);

/*
 * As tkt_witness_apply(), for whichever witness has the incarnation.
 * TKT_GRANT_SILENT while its records are on their way to a successor.
 */
struct tkt_ruling tkt_wset_apply(struct tkt_wset *set, uint64_t incarnation,
				 const struct tkt_op *op, apr_time_t now);

void tkt_wset_shrink(struct tkt_wset *set, uint64_t incarnation, uint64_t block,
		     uint32_t first_unused, apr_time_t now);

/* Where a handover is; start with zeroes. */
struct tkt_cursor {
	/* Which witness. */
	size_t place;
	uint32_t sequence;
	uint64_t block;
	uint32_t index;
};

/*
 * Freezes every witness at the first call and fills in the next chunk.
 * Returns false when all have been handed over. A chunk that cannot be
 * delivered ends the handover of its witness: call tkt_wset_skip().
 */
bool tkt_wset_export(struct tkt_wset *set, struct tkt_cursor *cursor,
		     struct tkt_chunk *chunk, apr_time_t now);
void tkt_wset_skip(struct tkt_cursor *cursor);

/* The successor has confirmed the last chunk. */
void tkt_wset_moved(struct tkt_wset *set, uint64_t incarnation);

/*
 * Takes over a chunk. Returns 0, also for one that was taken before,
 * PST_ERR_FULL, PST_ERR_NOMEM, PST_ERR_INVALID or, once frozen,
 * PST_ERR_STOPPED.
 */
int tkt_wset_adopt(struct tkt_wset *set, const struct tkt_chunk *chunk,
		   apr_time_t now);

/* The process's own witness. */
struct tkt_witness_stats tkt_wset_stats(const struct tkt_wset *set);

#endif
