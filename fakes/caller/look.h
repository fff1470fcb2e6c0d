/*
 * Look-ups and tickets of the caller: caches the entry VMs to use for their
 * time to live, and for longer while look-ups fail, and a stock of tickets of
 * each entry VM.
 */
#ifndef FAKES_CALLER_LOOK_H
#define FAKES_CALLER_LOOK_H

#include "common/str.h"
#include "fakes/caller/call.h"

#define LUK_URL_BYTES	 128
#define LUK_ENTRIES	 3
#define LUK_TICKET_BYTES 129

struct luk;

/* A waiter for an answer or a ticket; to be embedded in its owner. */
struct luk_wait {
	TAILQ_ENTRY(luk_wait) link;
	/* Called once; ok is false when the call brought nothing to use. */
	void (*ready)(struct luk_wait *wait, bool ok);
};

struct luk_config {
	/* Base URLs of look-ups; without any, direct is used as the entry. */
	const char *const *urls;
	size_t url_count;
	const char *direct;
	/* Number of simulated address blocks of callers. */
	uint32_t blocks;
};

/* Borrows all arguments. Returns 0 or PST_ERR_NOMEM. */
int luk_create(struct luk **out, struct evloop *loop, struct cll *cll,
	       const struct luk_config *config);

/*
 * Returns the number of entry VMs known for the service and block, and their
 * base URLs; if 0, wait is queued and called when the look-up has ended.
 */
size_t luk_entries(struct luk *luk, struct str service, uint32_t block,
		   const char *urls[LUK_ENTRIES], struct luk_wait *wait);

/* Takes a ticket of the entry VM, or queues wait and returns false. */
bool luk_ticket(struct luk *luk, const char *entry, char out[LUK_TICKET_BYTES],
		struct luk_wait *wait);

/* Returns the number of failed look-ups for which an older answer was used. */
uint64_t luk_stale_uses(const struct luk *luk);

#endif
