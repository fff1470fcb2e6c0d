#include "policy/broker_state.h"

#include <stddef.h>
#include <stdlib.h>

#include "common/err.h"

#define FROM_NODE(node, type, member) \
	((type *)(void *)((char *)(node)-offsetof(type, member)))

#define NAME_SEED 0

static void free_all(struct broker_map *map, size_t offset)
{
	for (size_t i = 0; map->buckets && i < map->bucket_count; i++) {
		struct broker_node *node = map->buckets[i];

		while (node) {
			struct broker_node *next = node->next;

			free((char *)node - offset);
			node = next;
		}
	}
}

int broker_state_init(struct broker_state *state)
{
	*state = (struct broker_state){0};
	if (broker_map_init(&state->entries) ||
	    broker_map_init(&state->permits) ||
	    broker_map_init(&state->permits_by_ask) ||
	    broker_map_init(&state->waiting_by_ask))
		return PST_ERR_NOMEM;
	return 0;
}

void broker_state_done(struct broker_state *state)
{
	free_all(&state->permits, offsetof(struct broker_permit, by_id));
	free_all(&state->waiting_by_ask,
		 offsetof(struct broker_queued, by_ask));
	free_all(&state->entries, offsetof(struct broker_entry, by_name));
	broker_map_done(&state->entries);
	broker_map_done(&state->permits);
	broker_map_done(&state->permits_by_ask);
	broker_map_done(&state->waiting_by_ask);
}

struct broker_entry *broker_state_find_entry(const struct broker_state *state,
					     struct str name)
{
	struct broker_node *node = broker_map_find(
		&state->entries, str_hash(name, NAME_SEED), name.len);

	return node ? FROM_NODE(node, struct broker_entry, by_name) : NULL;
}

struct broker_entry *broker_state_add_entry(struct broker_state *state,
					    struct str name)
{
	struct broker_entry *entry = calloc(1, sizeof(*entry));

	if (!entry || strbuf_set(&entry->name, name)) {
		free(entry);
		return NULL;
	}
	entry->serial = ++state->last_serial;
	broker_map_add(&state->entries, &entry->by_name,
		       str_hash(name, NAME_SEED), name.len);
	return entry;
}

void broker_state_drop_entry(struct broker_state *state,
			     struct broker_entry *entry)
{
	broker_map_remove(&state->entries, &entry->by_name);
	free(entry);
}

void broker_state_reset_entry(struct broker_state *state,
			      struct broker_entry *entry)
{
	entry->serial = ++state->last_serial;
	entry->grant_count = 0;
	entry->sync_count = 0;
}

struct broker_permit *broker_state_find_permit(const struct broker_state *state,
					       const struct broker_entry *entry,
					       uint64_t id)
{
	struct broker_node *node =
		broker_map_find(&state->permits, id, entry->serial);

	return node ? FROM_NODE(node, struct broker_permit, by_id) : NULL;
}

struct broker_permit *broker_state_find_by_ask(const struct broker_state *state,
					       const struct broker_entry *entry,
					       uint64_t ask)
{
	struct broker_node *node =
		broker_map_find(&state->permits_by_ask, ask, entry->serial);

	return node ? FROM_NODE(node, struct broker_permit, by_ask) : NULL;
}

struct broker_permit *broker_state_add_permit(struct broker_state *state,
					      struct broker_entry *entry,
					      uint64_t id, uint64_t ask)
{
	struct broker_permit *permit = calloc(1, sizeof(*permit));

	if (!permit)
		return NULL;
	permit->entry = entry;
	broker_map_add(&state->permits, &permit->by_id, id, entry->serial);
	broker_map_add(&state->permits_by_ask, &permit->by_ask, ask,
		       entry->serial);
	permit->next = entry->permits;
	if (permit->next)
		permit->next->prev = permit;
	entry->permits = permit;
	entry->permit_count++;
	return permit;
}

void broker_state_drop_permit(struct broker_state *state,
			      struct broker_permit *permit)
{
	broker_map_remove(&state->permits, &permit->by_id);
	broker_map_remove(&state->permits_by_ask, &permit->by_ask);
	if (permit->prev)
		permit->prev->next = permit->next;
	else
		permit->entry->permits = permit->next;
	if (permit->next)
		permit->next->prev = permit->prev;
	permit->entry->permit_count--;
	free(permit);
}

struct broker_queued *
broker_state_find_waiting(const struct broker_state *state,
			  const struct broker_entry *entry, uint64_t ask)
{
	struct broker_node *node =
		broker_map_find(&state->waiting_by_ask, ask, entry->serial);

	return node ? FROM_NODE(node, struct broker_queued, by_ask) : NULL;
}

struct broker_queued *broker_state_enqueue(struct broker_state *state,
					   struct broker_entry *entry,
					   uint64_t ask, enum rank rank)
{
	struct broker_queue *queue = &state->queues[rank];
	struct broker_queued *wait = calloc(1, sizeof(*wait));

	if (!wait)
		return NULL;
	wait->entry = entry;
	wait->rank = rank;
	wait->prev = queue->last;
	if (queue->last)
		queue->last->next = wait;
	else
		queue->first = wait;
	queue->last = wait;
	broker_map_add(&state->waiting_by_ask, &wait->by_ask, ask,
		       entry->serial);
	return wait;
}

void broker_state_dequeue(struct broker_state *state,
			  struct broker_queued *wait)
{
	struct broker_queue *queue = &state->queues[wait->rank];

	broker_map_remove(&state->waiting_by_ask, &wait->by_ask);
	if (wait->prev)
		wait->prev->next = wait->next;
	else
		queue->first = wait->next;
	if (wait->next)
		wait->next->prev = wait->prev;
	else
		queue->last = wait->prev;
	free(wait);
}

void broker_state_each_entry(struct broker_state *state,
			     void (*visit)(void *ctx,
					   struct broker_entry *entry),
			     void *ctx)
{
	for (size_t i = 0; i < state->entries.bucket_count; i++) {
		struct broker_node *node = state->entries.buckets[i];

		while (node) {
			struct broker_node *next = node->next;

			visit(ctx,
			      FROM_NODE(node, struct broker_entry, by_name));
			node = next;
		}
	}
}
