#include "policy/brk_state.h"

#include <stddef.h>
#include <stdlib.h>

#include "common/err.h"

#define FROM_NODE(node, type, member) \
	((type *)(void *)((char *)(node)-offsetof(type, member)))

#define NAME_SEED 0

static void free_all(struct brk_map *map, size_t offset)
{
	for (size_t i = 0; map->buckets && i < map->bucket_count; i++) {
		struct brk_node *node = map->buckets[i];

		while (node) {
			struct brk_node *next = node->next;

			free((char *)node - offset);
			node = next;
		}
	}
}

int brk_state_init(struct brk_state *state)
{
	*state = (struct brk_state){0};
	if (brk_map_init(&state->entries) || brk_map_init(&state->permits) ||
	    brk_map_init(&state->permits_by_ask) ||
	    brk_map_init(&state->waiting_by_ask))
		return PST_ERR_NOMEM;
	return 0;
}

void brk_state_done(struct brk_state *state)
{
	free_all(&state->permits, offsetof(struct brk_permit, by_id));
	free_all(&state->waiting_by_ask, offsetof(struct brk_queued, by_ask));
	free_all(&state->entries, offsetof(struct brk_entry, by_name));
	brk_map_done(&state->entries);
	brk_map_done(&state->permits);
	brk_map_done(&state->permits_by_ask);
	brk_map_done(&state->waiting_by_ask);
}

struct brk_entry *brk_state_find_entry(const struct brk_state *state,
				       struct str name)
{
	struct brk_node *node = brk_map_find(
		&state->entries, str_hash(name, NAME_SEED), name.len);

	return node ? FROM_NODE(node, struct brk_entry, by_name) : NULL;
}

struct brk_entry *brk_state_add_entry(struct brk_state *state, struct str name)
{
	struct brk_entry *entry = calloc(1, sizeof(*entry));

	if (!entry || strbuf_set(&entry->name, name)) {
		free(entry);
		return NULL;
	}
	entry->serial = ++state->last_serial;
	brk_map_add(&state->entries, &entry->by_name, str_hash(name, NAME_SEED),
		    name.len);
	return entry;
}

void brk_state_drop_entry(struct brk_state *state, struct brk_entry *entry)
{
	brk_map_remove(&state->entries, &entry->by_name);
	free(entry);
}

void brk_state_reset_entry(struct brk_state *state, struct brk_entry *entry)
{
	entry->serial = ++state->last_serial;
	entry->grant_count = 0;
	entry->sync_count = 0;
}

struct brk_permit *brk_state_find_permit(const struct brk_state *state,
					 const struct brk_entry *entry,
					 uint64_t id)
{
	struct brk_node *node =
		brk_map_find(&state->permits, id, entry->serial);

	return node ? FROM_NODE(node, struct brk_permit, by_id) : NULL;
}

struct brk_permit *brk_state_find_by_ask(const struct brk_state *state,
					 const struct brk_entry *entry,
					 uint64_t ask)
{
	struct brk_node *node =
		brk_map_find(&state->permits_by_ask, ask, entry->serial);

	return node ? FROM_NODE(node, struct brk_permit, by_ask) : NULL;
}

struct brk_permit *brk_state_add_permit(struct brk_state *state,
					struct brk_entry *entry, uint64_t id,
					uint64_t ask)
{
	struct brk_permit *permit = calloc(1, sizeof(*permit));

	if (!permit)
		return NULL;
	permit->entry = entry;
	brk_map_add(&state->permits, &permit->by_id, id, entry->serial);
	brk_map_add(&state->permits_by_ask, &permit->by_ask, ask,
		    entry->serial);
	permit->next = entry->permits;
	if (permit->next)
		permit->next->prev = permit;
	entry->permits = permit;
	entry->permit_count++;
	return permit;
}

void brk_state_drop_permit(struct brk_state *state, struct brk_permit *permit)
{
	brk_map_remove(&state->permits, &permit->by_id);
	brk_map_remove(&state->permits_by_ask, &permit->by_ask);
	if (permit->prev)
		permit->prev->next = permit->next;
	else
		permit->entry->permits = permit->next;
	if (permit->next)
		permit->next->prev = permit->prev;
	permit->entry->permit_count--;
	free(permit);
}

struct brk_queued *brk_state_find_waiting(const struct brk_state *state,
					  const struct brk_entry *entry,
					  uint64_t ask)
{
	struct brk_node *node =
		brk_map_find(&state->waiting_by_ask, ask, entry->serial);

	return node ? FROM_NODE(node, struct brk_queued, by_ask) : NULL;
}

struct brk_queued *brk_state_enqueue(struct brk_state *state,
				     struct brk_entry *entry, uint64_t ask,
				     enum rank rank)
{
	struct brk_queue *queue = &state->queues[rank];
	struct brk_queued *wait = calloc(1, sizeof(*wait));

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
	brk_map_add(&state->waiting_by_ask, &wait->by_ask, ask, entry->serial);
	return wait;
}

void brk_state_dequeue(struct brk_state *state, struct brk_queued *wait)
{
	struct brk_queue *queue = &state->queues[wait->rank];

	brk_map_remove(&state->waiting_by_ask, &wait->by_ask);
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

void brk_state_each_entry(struct brk_state *state,
			  void (*visit)(void *ctx, struct brk_entry *entry),
			  void *ctx)
{
	for (size_t i = 0; i < state->entries.bucket_count; i++) {
		struct brk_node *node = state->entries.buckets[i];

		while (node) {
			struct brk_node *next = node->next;

			visit(ctx, FROM_NODE(node, struct brk_entry, by_name));
			node = next;
		}
	}
}
