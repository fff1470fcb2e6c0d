/*
 * The home of tickets: issues them from blocks that a witness allocated.
 *
 * At most two blocks are held, the one in use and the next. A ticket is
 * issued only in the first half of its block's time to live, which is counted
 * from before the block was requested. The second half is left to the caller.
 */
#ifndef POLICY_TKT_HOME_H
#define POLICY_TKT_HOME_H

#include <stddef.h>

#include "policy/tkt_key.h"

#define TKT_HOME_BLOCKS 2

struct tkt_block {
	uint64_t witness;
	uint64_t witness_incarnation;
	uint64_t number;
	uint32_t count;
	/* Index of the next ticket to issue. */
	uint32_t next;
	/* Time on this process's clock from which no ticket is issued. */
	apr_time_t issue_until;
};

struct tkt_home {
	uint64_t vm;
	uint64_t incarnation;
	/* Bounds of request_count. */
	uint32_t min_count;
	uint32_t max_count;
	/* Tickets to request in the next block; follows the demand. */
	uint32_t request_count;
	/* A block was requested and the answer has not been reported. */
	bool request_pending;
	bool draining;
	struct tkt_block blocks[TKT_HOME_BLOCKS];
	size_t block_count;
};

void tkt_home_init(struct tkt_home *home, uint64_t vm, uint64_t incarnation,
		   uint32_t min_count, uint32_t max_count);

/* Issues one ticket; returns false when there is none. */
bool tkt_home_issue(struct tkt_home *home, apr_time_t now, struct tkt_id *out);

/*
 * Returns how many tickets to request from a witness now, or 0. A result other
 * than 0 marks a request as pending: until its answer is reported with
 * tkt_home_block_opened() or tkt_home_open_failed(), the result is 0.
 */
uint32_t tkt_home_tickets_needed(struct tkt_home *home, apr_time_t now);

/* Adds a block. asked_at is the time just before the request was sent. */
void tkt_home_block_opened(struct tkt_home *home, const struct tkt_block *block,
			   apr_time_t asked_at, apr_interval_time_t ttl);
void tkt_home_open_failed(struct tkt_home *home);

/*
 * Removes every block of a witness, or of all when witness is 0. Tickets
 * already issued stay bound to their witness. Copies the blocks to out
 * (TKT_HOME_BLOCKS entries), so that their unused tickets can be returned to
 * the witness; returns how many.
 */
size_t tkt_home_release_blocks(struct tkt_home *home, uint64_t witness,
			       struct tkt_block *out);

/* Stops issuing tickets and requesting blocks for good. */
void tkt_home_drain(struct tkt_home *home);

#endif
