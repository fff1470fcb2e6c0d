/*
 * The table's limits by id, and the part of each that a failure domain owns.
 *
 * A limit's id is a hash of names, so that it is the same on VMs whose tables
 * are ordered differently. The parts of all failure domains add up to the
 * limit: a link is divided among the domains of its two regions, a region's
 * intake from other regions among the domains of those regions.
 */
#ifndef POLICY_LENDING_MAP_H
#define POLICY_LENDING_MAP_H

#include "policy/tbl.h"

/* Returns the id of one direction of a link. */
uint64_t lending_link_id(struct str from, struct str to);

/* Returns the id of a region's limit on a row's requests from other regions. */
uint64_t lending_intake_id(struct str service, enum rank rank,
			   struct str region);

struct lending_map;

/* Returns 0 with one reference, or PST_ERR_NOMEM. */
int lending_map_build(struct lending_map **out, const struct tbl *tbl);
void lending_map_get(struct lending_map *map);
/* NULL is allowed. */
void lending_map_put(struct lending_map *map);

/* Whether both have the same limits, divided among the same domains. */
bool lending_map_same(const struct lending_map *a, const struct lending_map *b);

/* The limit, in bytes or requests a second; UINT64_MAX when there is none. */
uint64_t lending_map_limit(const struct lending_map *map, uint64_t id);

/* The part that a failure domain owns, or 0. */
uint64_t lending_map_part(const struct lending_map *map, uint64_t id,
			  struct str domain);

/* Number of failure domains, and the name of the one at an index. */
size_t lending_map_domain_count(const struct lending_map *map);
struct str lending_map_domain(const struct lending_map *map, size_t at);

#endif
