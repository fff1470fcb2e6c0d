/*
 * The home: issues tickets from blocks that a witness gave out.
 *
 * At most two blocks are held, the one in use and the next. A ticket is
 * issued only in the first half of its block's time to live, counted from
 * before the block was asked for, so that the caller has the other half.
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
	/* Next index to issue. */
	uint32_t next;
	/* This process's clock; no ticket is issued from then on. */
	apr_time_t issue_until;
};

struct tkt_home {
	uint64_t vm;
	uint64_t incarnation;
	/* Tickets to ask for: follows the demand between the two bounds. */
	uint32_t min_count;
	uint32_t max_count;
	uint32_t want;
	bool asked;
	bool draining;
	struct tkt_block blocks[TKT_HOME_BLOCKS];
	size_t block_count;
};

void tkt_home_init(struct tkt_home *home, uint64_t vm, uint64_t incarnation,
		   uint32_t min_count, uint32_t max_count);

/* Issues one ticket; false when there is none. */
bool tkt_home_issue(struct tkt_home *home, apr_time_t now, struct tkt_id *out);

/*
 * How many tickets to ask a witness for now, or 0. While an answer is
 * awaited it is 0; report the answer with tkt_home_opened() or
 * tkt_home_open_failed().
 */
uint32_t tkt_home_want(struct tkt_home *home, apr_time_t now);

/* asked_at is the time just before the request was sent. */
void tkt_home_opened(struct tkt_home *home, const struct tkt_block *block,
		     apr_time_t asked_at, apr_interval_time_t ttl);
void tkt_home_open_failed(struct tkt_home *home);

/*
 * Gives up every block of a witness, or of all when witness is 0: their
 * issued tickets stay bound to it, no more are issued. Copies the blocks to
 * out (TKT_HOME_BLOCKS entries) so that the rest can be handed back; returns
 * how many.
 */
size_t tkt_home_leave(struct tkt_home *home, uint64_t witness,
		      struct tkt_block *out);

/* Issues and asks for nothing from now on. */
void tkt_home_drain(struct tkt_home *home);

#endif
