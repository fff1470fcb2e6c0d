/* The processes that take their table from this one, and what they hold. */
#ifndef CONTROLD_CLIENTS_H
#define CONTROLD_CLIENTS_H

#include <stddef.h>
#include <stdint.h>

#include <apr_time.h>

/* Processes remembered; the one silent for longest makes room. */
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

/* Notes that a process held this revision when it asked. */
void clients_note(struct clients *clients, uint64_t id, uint64_t held,
		  apr_time_t now);

/*
 * Lowest revision held by a process seen since the given time, and by this
 * one (own). A process not seen for the freshness timeout takes no new work.
 */
uint64_t clients_lowest(const struct clients *clients, uint64_t own,
			apr_time_t since);

#endif
