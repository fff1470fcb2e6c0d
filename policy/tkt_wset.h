/*
 * The set of witnesses that one process serves: its own, and those of
 * processes that stopped in a planned way and handed their records over.
 *
 * A handover is safe because the records are frozen before the first of them
 * is sent, are sent to one successor only, and are used there only after all
 * have arrived. If a handover fails, its tickets are never granted again.
 */
#ifndef POLICY_TKT_WSET_H
#define POLICY_TKT_WSET_H

#include "policy/tkt_witness.h"

/* Maximum number of items in one message of a handover. */
#define TKT_CHUNK_ITEMS 2048
/* Maximum number of witnesses taken over from other processes. */
#define TKT_ADOPTED_MAX 16

/* One message of a handover. */
struct tkt_chunk {
	/* Witness whose records are handed over. */
	uint64_t vm;
	uint64_t incarnation;
	/* The handover covers the blocks first to next - 1. */
	uint64_t first;
	uint64_t next;
	/* Number of the chunk within the handover, from 0. */
	uint32_t sequence;
	bool last;
	size_t count;
	struct tkt_item items[TKT_CHUNK_ITEMS];
};

struct tkt_wset;

/*
 * Creates a set with the process's own witness, on VM vm. Returns 0 or
 * PST_ERR_NOMEM.
 */
int tkt_wset_create(struct tkt_wset **out, uint64_t vm,
		    const struct tkt_witness_conf *conf);

/* NULL is allowed. */
void tkt_wset_destroy(struct tkt_wset *set);

/* As tkt_witness_open(), but PST_ERR_STOPPED once the set is frozen. */
int tkt_wset_open(struct tkt_wset *set, uint64_t home, uint32_t *count,
		  apr_time_t now, uint64_t *block);

/*
 * As tkt_witness_apply(), for the witness with the incarnation. The grant is
 * TKT_GRANT_NO_REPLY while its records are being handed over, at either end.
 */
struct tkt_ruling tkt_wset_apply(struct tkt_wset *set, uint64_t incarnation,
				 const struct tkt_op *op, apr_time_t now);

void tkt_wset_shrink(struct tkt_wset *set, uint64_t incarnation, uint64_t block,
		     uint32_t first_unused, apr_time_t now);

/* Progress of the handovers; start with zeroes. */
struct tkt_cursor {
	/* Index of the witness in the set. */
	size_t member;
	uint32_t sequence;
	uint64_t block;
	uint32_t index;
};

/*
 * Fills in the next chunk; the first call freezes every witness of the set.
 * Returns false when there are no more chunks. When a chunk cannot be
 * delivered, call tkt_wset_skip() to end the handover of its witness.
 */
bool tkt_wset_export(struct tkt_wset *set, struct tkt_cursor *cursor,
		     struct tkt_chunk *chunk, apr_time_t now);
void tkt_wset_skip(struct tkt_cursor *cursor);

/* Reports that the successor has confirmed the last chunk. */
void tkt_wset_handed_over(struct tkt_wset *set, uint64_t incarnation);

/*
 * Takes over a chunk. Returns 0, also for one that was taken before;
 * PST_ERR_FULL, PST_ERR_NOMEM or PST_ERR_INVALID; or PST_ERR_STOPPED once the
 * set is frozen.
 */
int tkt_wset_adopt(struct tkt_wset *set, const struct tkt_chunk *chunk,
		   apr_time_t now);

/* Returns the statistics of the process's own witness. */
struct tkt_witness_stats tkt_wset_stats(const struct tkt_wset *set);

#endif
