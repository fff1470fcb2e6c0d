/* Processes that get their table from this one, and the revisions they hold. */
#ifndef CONTROLD_CLIENTS_H
#define CONTROLD_CLIENTS_H

#include <stddef.h>
#include <stdint.h>

#include <apr_time.h>

/* Processes remembered; the one silent for longest is replaced. */
#define CLIENTS_MAX 64

struct client_entry {
	uint64_t id;
	uint64_t held;
	apr_time_t seen_at;
};

struct clients {
	struct client_entry entries[CLIENTS_MAX];
	size_t count;
};

/* Notes the revision that a process held when it asked. */
void clients_note(struct clients *clients, uint64_t id, uint64_t held,
		  apr_time_t now);

/*
 * Returns the lowest of own, the revision held here, and those held by the
 * processes seen since the given time. A process not seen for the
 * freshness time-out takes no new work and need not be counted.
 */
uint64_t clients_lowest(const struct clients *clients, uint64_t own,
			apr_time_t since);

#endif
