/* Failure domains of an installation and their regions. Pure functions. */
#ifndef POLICY_GEO_H
#define POLICY_GEO_H

#include "common/str.h"

/* Limits of one installation; it is designed for 88 domains in 22 regions. */
#define GEO_MAX_DOMAINS 256
#define GEO_MAX_REGIONS 64

/* Index of a domain or region that is not listed. */
#define GEO_NONE (-1)

struct geo {
	struct strbuf domains[GEO_MAX_DOMAINS];
	/* Index into regions for each domain. */
	int region_of[GEO_MAX_DOMAINS];
	int domain_count;
	struct strbuf regions[GEO_MAX_REGIONS];
	int region_count;
};

/*
 * Parses "domain=region" pairs, in any order. Returns 0, or PST_ERR_INVALID
 * for a malformed pair, a duplicate domain or too many of either.
 */
int geo_parse(struct geo *out, const struct str *pairs, size_t count);

/* Returns the index of the domain or region, or GEO_NONE. */
int geo_domain(const struct geo *geo, struct str name);
int geo_region(const struct geo *geo, struct str name);

/* Returns the region of a domain; GEO_NONE for GEO_NONE. */
int geo_region_of(const struct geo *geo, int domain);

#endif
