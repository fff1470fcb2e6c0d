/* A service with upstreams, for tests of placement. */
#ifndef TESTS_FIX_PLACE_H
#define TESTS_FIX_PLACE_H

#include "policy/placement.h"
#include "policy/spillover.h"

/* State of a VM with two regions (n, s) of two domains (n1, n2, s1, s2). */
struct place {
	apr_pool_t *pool;
	struct geo geo;
	struct registry registry;
	struct routing_route route;
	struct routing_service limits;
	apr_interval_time_t region_rtt[GEO_MAX_REGIONS];
	bool evacuated[GEO_MAX_DOMAINS];
	apr_time_t now;
};

void place_init(struct place *place);
void place_done(struct place *place);

/* Adds an upstream of service "svc" with 4 slots. */
struct up *place_add(struct place *place, const char *name, const char *domain);

/* Adds or updates an entry; returns the result of registry_put(). */
int place_put(struct place *place, const struct registry_entry *entry);

/* Returns the entry that place_add() uses. */
struct registry_entry place_entry(const char *name, const char *domain);

/* Returns the input of placement_choose() for the object in domain n1. */
struct placement_request place_ask(struct place *place, uint64_t object);

#endif
