#include "policy/broker_map.h"

#include <stdlib.h>

#include "common/err.h"

#define FIRST_BUCKETS 16

static size_t bucket_of(size_t bucket_count, uint64_t a, uint64_t b)
{
	uint64_t h = (a ^ (b * 0x9e3779b97f4a7c15u)) * 0xff51afd7ed558ccdu;

	h ^= h >> 32;
	h *= 0xc4ceb9fe1a85ec53u;
	return (h ^ (h >> 29)) & (bucket_count - 1);
}

/* If out of memory, the table keeps its buckets and the chains grow longer. */
static void grow(struct broker_map *map)
{
	const size_t wanted = map->bucket_count * 2;
	struct broker_node **buckets =
		calloc(wanted, sizeof(struct broker_node *));

	if (!buckets)
		return;
	for (size_t i = 0; i < map->bucket_count; i++) {
		struct broker_node *node = map->buckets[i];

		while (node) {
			struct broker_node *next = node->next;
			const size_t to =
				bucket_of(wanted, node->key[0], node->key[1]);

			node->next = buckets[to];
			buckets[to] = node;
			node = next;
		}
	}
	free(map->buckets);
	map->buckets = buckets;
	map->bucket_count = wanted;
}

int broker_map_init(struct broker_map *map)
{
	*map = (struct broker_map){.bucket_count = FIRST_BUCKETS};
	map->buckets = calloc(map->bucket_count, sizeof(struct broker_node *));
	return map->buckets ? 0 : PST_ERR_NOMEM;
}

void broker_map_done(struct broker_map *map)
{
	free(map->buckets);
	map->buckets = NULL;
}

struct broker_node *broker_map_find(const struct broker_map *map, uint64_t a,
				    uint64_t b)
{
	struct broker_node *node =
		map->buckets[bucket_of(map->bucket_count, a, b)];

	while (node && (node->key[0] != a || node->key[1] != b))
		node = node->next;
	return node;
}

void broker_map_add(struct broker_map *map, struct broker_node *node,
		    uint64_t a, uint64_t b)
{
	size_t at;

	if (map->count >= map->bucket_count)
		grow(map);
	at = bucket_of(map->bucket_count, a, b);
	node->key[0] = a;
	node->key[1] = b;
	node->next = map->buckets[at];
	map->buckets[at] = node;
	map->count++;
}

void broker_map_remove(struct broker_map *map, struct broker_node *node)
{
	const size_t at =
		bucket_of(map->bucket_count, node->key[0], node->key[1]);
	struct broker_node **link = &map->buckets[at];

	while (*link != node)
		link = &(*link)->next;
	*link = node->next;
	map->count--;
}
