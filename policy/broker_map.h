/*
 * Hash table with two 64-bit keys. Its nodes are embedded in other structures,
 * which own them.
 */
#ifndef POLICY_BROKER_MAP_H
#define POLICY_BROKER_MAP_H

#include <stddef.h>
#include <stdint.h>

struct broker_node {
	struct broker_node *next;
	uint64_t key[2];
};

struct broker_map {
	struct broker_node **buckets;
	/* A power of two. */
	size_t bucket_count;
	size_t count;
};

/* Returns 0 or PST_ERR_NOMEM. */
int broker_map_init(struct broker_map *map);
void broker_map_done(struct broker_map *map);

/* Returns NULL when there is none. */
struct broker_node *broker_map_find(const struct broker_map *map, uint64_t a,
				    uint64_t b);

/* Sets the node's keys and adds it; the keys must not be in the table yet. */
void broker_map_add(struct broker_map *map, struct broker_node *node,
		    uint64_t a, uint64_t b);
void broker_map_remove(struct broker_map *map, struct broker_node *node);

#endif
