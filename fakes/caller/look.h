/*
 * Look-ups and tickets of the caller: caches the entry VMs to use for their
 * time to live, and for longer while look-ups fail, and a stock of tickets of
 * each entry VM.
 */
#ifndef FAKES_CALLER_LOOK_H
#define FAKES_CALLER_LOOK_H

#include "common/str.h"
#include "fakes/caller/call.h"

#define DISCOVERY_URL_BYTES    128
#define DISCOVERY_ENTRIES      3
#define DISCOVERY_TICKET_BYTES 129

struct discovery;

/* A waiter for an answer or a ticket; to be embedded in its owner. */
struct discovery_wait {
	TAILQ_ENTRY(discovery_wait) link;
	/* Called once; ok is false when the call brought nothing to use. */
	void (*ready)(struct discovery_wait *wait, bool ok);
};

struct discovery_config {
	/* Base URLs of look-ups; without any, direct is used as the entry. */
	const char *const *urls;
	size_t url_count;
	const char *direct;
	/* Number of simulated address blocks of callers. */
	uint32_t blocks;
};

/* Borrows all arguments. Returns 0 or PST_ERR_NOMEM. */
int discovery_create(struct discovery **out, struct evloop *loop,
		     struct httpcall *httpcall,
		     const struct discovery_config *config);

/*
 * Returns the number of entry VMs known for the service and block, and their
 * base URLs; if 0, wait is queued and called when the look-up has ended.
 */
size_t discovery_entries(struct discovery *discovery, struct str service,
			 uint32_t block, const char *urls[DISCOVERY_ENTRIES],
			 struct discovery_wait *wait);

/* Takes a ticket of the entry VM, or queues wait and returns false. */
bool discovery_ticket(struct discovery *discovery, const char *entry,
		      char out[DISCOVERY_TICKET_BYTES],
		      struct discovery_wait *wait);

/* Returns the number of failed look-ups for which an older answer was used. */
uint64_t discovery_stale_uses(const struct discovery *discovery);

#endif
