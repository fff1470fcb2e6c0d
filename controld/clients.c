#include "controld/clients.h"

static struct client_entry *find_or_replace(struct clients *clients,
					    uint64_t id)
{
	struct client_entry *oldest = &clients->entries[0];

	for (size_t i = 0; i < clients->count; i++) {
		struct client_entry *entry = &clients->entries[i];

		if (entry->id == id)
			return entry;
		if (entry->seen_at < oldest->seen_at)
			oldest = entry;
	}
	if (clients->count < CLIENTS_MAX)
		return &clients->entries[clients->count++];
	return oldest;
}

void clients_note(struct clients *clients, uint64_t id, uint64_t held,
		  apr_time_t now)
{
	*find_or_replace(clients, id) = (struct client_entry){
		.id = id,
		.held = held,
		.seen_at = now,
	};
}

uint64_t clients_lowest(const struct clients *clients, uint64_t own,
			apr_time_t since)
{
	uint64_t lowest = own;

	for (size_t i = 0; i < clients->count; i++) {
		const struct client_entry *entry = &clients->entries[i];

		if (entry->seen_at >= since && entry->held < lowest)
			lowest = entry->held;
	}
	return lowest;
}
