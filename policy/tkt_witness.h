/*
 * The witness: decides, for each ticket of the blocks it allocated, which one
 * attempt may run it.
 *
 * Each ticket is a write-once register: the first claim owns it, and a seal
 * closes it to every attempt. The records are kept in memory only. They end
 * with the block's time to live on the witness's own clock, or with the
 * process; after that nothing is ever granted for their tickets again.
 */
#ifndef POLICY_TKT_WITNESS_H
#define POLICY_TKT_WITNESS_H

#include <stddef.h>

#include "policy/tkt_types.h"

struct tkt_witness;

struct tkt_op {
	enum tkt_op_kind kind;
	uint64_t block;
	uint32_t index;
	struct tkt_owner requester;
};

struct tkt_witness_conf {
	/* Random number, not zero, never used before. */
	uint64_t incarnation;
	apr_interval_time_t ttl;
	/* Maximum number of unexpired blocks. */
	uint32_t max_blocks;
	/* Maximum number of tickets in one block. */
	uint32_t max_count;
};

/* Returns 0 or PST_ERR_NOMEM. */
int tkt_witness_create(struct tkt_witness **out,
		       const struct tkt_witness_conf *conf);

/* NULL is allowed. */
void tkt_witness_destroy(struct tkt_witness *w);

/*
 * Allocates a block of *count tickets to home (a VM's hash), which expires
 * after the time to live. Lowers *count to the maximum. Returns 0,
 * PST_ERR_INVALID for a count of 0, or PST_ERR_TKT_NO_BLOCK.
 */
int tkt_witness_open(struct tkt_witness *w, uint64_t home, uint32_t *count,
		     apr_time_t now, uint64_t *block);

/*
 * Decides one operation that was sent to the witness with this incarnation.
 * Operations are idempotent. An operation that cannot be recorded because
 * memory is exhausted is answered with TKT_GRANT_UNAVAILABLE.
 */
struct tkt_ruling tkt_witness_apply(struct tkt_witness *w, uint64_t incarnation,
				    const struct tkt_op *op, apr_time_t now);

/* Removes the tickets from first_unused on, which were never issued. */
void tkt_witness_shrink(struct tkt_witness *w, uint64_t incarnation,
			uint64_t block, uint32_t first_unused, apr_time_t now);

/* Drops expired blocks; open, apply and shrink do so too. */
void tkt_witness_expire(struct tkt_witness *w, apr_time_t now);

/* Item of a handover to a successor: a block, or the record of a ticket. */
enum tkt_item_kind {
	TKT_ITEM_BLOCK = 1,
	TKT_ITEM_OWNED = 2,
	TKT_ITEM_SEALED = 3,
};

struct tkt_item {
	enum tkt_item_kind kind;
	uint64_t block;
	/* index and owner: set in records only. */
	uint32_t index;
	struct tkt_owner owner;
	/* home, count and ttl_left: set in blocks only. */
	uint64_t home;
	uint32_t count;
	apr_interval_time_t ttl_left;
};

/* Returns the numbers of the blocks held: first to next - 1. */
void tkt_witness_range(const struct tkt_witness *w, uint64_t *first,
		       uint64_t *next);

/*
 * Copies up to max items, starting at the cursor *block, *index, and moves the
 * cursor, which starts as zeroes. At the end *block is the next of
 * tkt_witness_range(). Returns how many items were copied.
 */
size_t tkt_witness_export(const struct tkt_witness *w, uint64_t *block,
			  uint32_t *index, struct tkt_item *items, size_t max,
			  apr_time_t now);

/*
 * Creates a witness with another one's incarnation and block numbers, to be
 * filled in by tkt_witness_import(). It allocates no blocks of its own.
 * Returns 0, PST_ERR_INVALID or PST_ERR_NOMEM.
 */
int tkt_witness_adopt(struct tkt_witness **out, uint64_t incarnation,
		      uint64_t first, uint64_t next);

/*
 * Adds an item. Returns 0, PST_ERR_INVALID for an item outside the witness's
 * blocks or its bounds, or PST_ERR_NOMEM.
 */
int tkt_witness_import(struct tkt_witness *w, const struct tkt_item *item,
		       apr_time_t now);

struct tkt_witness_stats {
	uint64_t blocks;
	/* Number of tickets with a record. */
	uint64_t records;
	uint64_t bytes;
};

struct tkt_witness_stats tkt_witness_stats(const struct tkt_witness *w);

#endif
