/*
 * Look-ups and tickets of the caller: which entry VMs to use, cached for
 * their time to live and kept when the look-up is silent, and a stock of
 * tickets of each entry VM.
 */
#ifndef FAKES_CALLER_LOOK_H
#define FAKES_CALLER_LOOK_H

#include "common/str.h"
#include "fakes/caller/call.h"

#define LUK_URL_BYTES	 128
#define LUK_ENTRIES	 3
#define LUK_TICKET_BYTES 129

struct luk;

/* Someone who waits; embed it in the owner. */
struct luk_wait {
	TAILQ_ENTRY(luk_wait) link;
	/* ok is false when there is nothing to be had. */
	void (*ready)(struct luk_wait *wait, bool ok);
};

struct luk_config {
	/* Base URLs of look-ups; without any, direct is used as the entry. */
	const char *const *urls;
	size_t url_count;
	const char *direct;
	/* Blocks of callers that are played. */
	uint32_t blocks;
};

/* Borrows all. Returns 0 or PST_ERR_NOMEM. */
int luk_create(struct luk **out, struct flp *loop, struct cll *cll,
	       const struct luk_config *config);

/*
 * Returns the number of entry VMs known for the service and block, and their
 * base URLs; with 0 the wait is queued and told later.
 */
size_t luk_entries(struct luk *luk, struct str service, uint32_t block,
		   const char *urls[LUK_ENTRIES], struct luk_wait *wait);

/* Takes a ticket of the entry VM; false: queued and told later. */
bool luk_ticket(struct luk *luk, const char *entry, char out[LUK_TICKET_BYTES],
		struct luk_wait *wait);

/* Look-ups that failed while older answers were used. */
uint64_t luk_stale_uses(const struct luk *luk);

#endif
