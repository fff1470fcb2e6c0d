/*
 * The witness: decides, for each ticket of the blocks it gave out, which one
 * attempt may run it.
 *
 * Each ticket is a register that is written once: the first claim owns it,
 * and a seal closes it to everyone. The records live in memory only; they
 * end with the block's time to live on the witness's own clock, or with the
 * process, after which nothing is ever granted for them again.
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
	struct tkt_owner who;
};

struct tkt_witness_conf {
	/* Random, non-zero, never used before. */
	uint64_t incarnation;
	apr_interval_time_t ttl;
	/* Blocks held at once. */
	uint32_t max_blocks;
	/* Tickets in one block. */
	uint32_t max_count;
};

/* Returns 0 or PST_ERR_NOMEM. */
int tkt_witness_create(struct tkt_witness **out,
		       const struct tkt_witness_conf *conf);

/* NULL is allowed. */
void tkt_witness_destroy(struct tkt_witness *w);

/*
 * Gives home (a VM) a block of *count tickets, lowered to the largest allowed,
 * that lives for the time to live. Returns 0, PST_ERR_INVALID for no tickets,
 * or PST_ERR_TKT_NO_BLOCK.
 */
int tkt_witness_open(struct tkt_witness *w, uint64_t home, uint32_t *count,
		     apr_time_t now, uint64_t *block);

/*
 * Decides one operation that was meant for the witness of this incarnation.
 * Repeating an operation changes nothing. An operation that cannot be
 * recorded for want of memory is answered with TKT_GRANT_DOWN.
 */
struct tkt_ruling tkt_witness_apply(struct tkt_witness *w, uint64_t incarnation,
				    const struct tkt_op *op, apr_time_t now);

/* Takes back the tickets from first_unused on, which were never issued. */
void tkt_witness_shrink(struct tkt_witness *w, uint64_t incarnation,
			uint64_t block, uint32_t first_unused, apr_time_t now);

/* Drops expired blocks; open and apply do so too. */
void tkt_witness_expire(struct tkt_witness *w, apr_time_t now);

/* What is handed over to a successor: a block, or the record of a ticket. */
enum tkt_item_kind {
	TKT_ITEM_BLOCK = 1,
	TKT_ITEM_OWNED = 2,
	TKT_ITEM_SEALED = 3,
};

struct tkt_item {
	enum tkt_item_kind kind;
	uint64_t block;
	/* Records only. */
	uint32_t index;
	struct tkt_owner owner;
	/* Blocks only. */
	uint64_t home;
	uint32_t count;
	apr_interval_time_t ttl_left;
};

/* Numbers of the blocks held: first to next - 1. */
void tkt_witness_range(const struct tkt_witness *w, uint64_t *first,
		       uint64_t *next);

/*
 * Copies up to max items from the cursor on (start with zeroes) and moves it;
 * at the end *block is the range's next. Returns how many.
 */
size_t tkt_witness_export(const struct tkt_witness *w, uint64_t *block,
			  uint32_t *index, struct tkt_item *items, size_t max,
			  apr_time_t now);

/*
 * Creates a witness with another one's incarnation and blocks, to be filled
 * in by tkt_witness_import(). It opens no blocks. Returns 0, PST_ERR_INVALID
 * or PST_ERR_NOMEM.
 */
int tkt_witness_adopt(struct tkt_witness **out, uint64_t incarnation,
		      uint64_t first, uint64_t next);

/* Returns 0, PST_ERR_INVALID for an item that does not fit, or NOMEM. */
int tkt_witness_import(struct tkt_witness *w, const struct tkt_item *item,
		       apr_time_t now);

struct tkt_witness_stats {
	uint64_t blocks;
	/* Tickets with a record. */
	uint64_t records;
	uint64_t bytes;
};

struct tkt_witness_stats tkt_witness_stats(const struct tkt_witness *w);

#endif
