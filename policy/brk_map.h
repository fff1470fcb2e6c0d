/*
 * Hash table with two 64-bit keys. Its nodes are embedded in other structures,
 * which own them.
 */
#ifndef POLICY_BRK_MAP_H
#define POLICY_BRK_MAP_H

#include <stddef.h>
#include <stdint.h>

struct brk_node {
	struct brk_node *next;
	uint64_t key[2];
};

struct brk_map {
	struct brk_node **buckets;
	/* A power of two. */
	size_t bucket_count;
	size_t count;
};

/* Returns 0 or PST_ERR_NOMEM. */
int brk_map_init(struct brk_map *map);
void brk_map_done(struct brk_map *map);

/* Returns NULL when there is none. */
struct brk_node *brk_map_find(const struct brk_map *map, uint64_t a,
			      uint64_t b);

/* Sets the node's keys and adds it; the keys must not be in the table yet. */
void brk_map_add(struct brk_map *map, struct brk_node *node, uint64_t a,
		 uint64_t b);
void brk_map_remove(struct brk_map *map, struct brk_node *node);

#endif
