/*
 * Checks of a valid manifest: entries that no request can match, and limits
 * that contradict each other. Pure.
 *
 * Designed for: manifests of up to 10 MB, with tens of thousands of routes,
 * services or tenants, checked in under a second: look-ups are by hash, and
 * tenants are compared with routes by their sets of home regions, of which
 * there are few.
 */
#ifndef POLICY_MANIFESTCHECK_H
#define POLICY_MANIFESTCHECK_H

#include <apr_pools.h>

#include "policy/finding.h"
#include "policy/routing.h"

/* A service that has an upstream in a region. */
struct manifestcheck_upstream {
	struct str service;
	struct str region;
};

struct manifestcheck_upstreams {
	const struct manifestcheck_upstream *list;
	size_t count;
};

/*
 * Adds what it finds. With upstreams, which may be NULL, homes and services
 * without any are found as well. The pool is for working memory.
 */
void manifestcheck_run(const struct routing *routing,
		       const struct manifestcheck_upstreams *upstreams,
		       apr_pool_t *pool, struct findings *findings);

#endif
