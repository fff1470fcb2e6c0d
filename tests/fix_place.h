/* A service with upstreams, for tests of placement. */
#ifndef TESTS_FIX_PLACE_H
#define TESTS_FIX_PLACE_H

#include "policy/plc.h"
#include "policy/spl.h"

/* State of a VM with two regions (n, s) of two domains (n1, n2, s1, s2). */
struct place {
	apr_pool_t *pool;
	struct geo geo;
	struct upl upl;
	struct rtm_route route;
	struct rtm_service limits;
	apr_interval_time_t region_rtt[GEO_MAX_REGIONS];
	bool evacuated[GEO_MAX_DOMAINS];
	apr_time_t now;
};

void place_init(struct place *place);
void place_done(struct place *place);

/* Adds an upstream of service "svc" with 4 slots. */
struct up *place_add(struct place *place, const char *name, const char *domain);

/* Adds or updates an entry; returns the result of upl_put(). */
int place_put(struct place *place, const struct upl_entry *entry);

/* Returns the entry that place_add() uses. */
struct upl_entry place_entry(const char *name, const char *domain);

/* Returns the input of plc_choose() for the object in domain n1. */
struct plc_request place_ask(struct place *place, uint64_t object);

#endif
