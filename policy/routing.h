/*
 * The manifest: routes, services and limits of one version. Pure functions.
 *
 * A manifest is immutable once its routes are indexed. A request keeps a
 * reference to the version that it was matched with.
 */
#ifndef POLICY_ROUTING_H
#define POLICY_ROUTING_H

#include <stdbool.h>

#include <apr_time.h>

#include "common/ref.h"
#include "common/str.h"

enum routing_kind {
	/* May be run more than once. */
	ROUTING_SAFE,
	/* Runs at most once. */
	ROUTING_UNSAFE,
	/* As ROUTING_UNSAFE, with a large body. */
	ROUTING_UPLOAD,
};

/* A service that gets a weighted share of a route's requests. */
struct routing_backend {
	struct str service;
	double weight;
};

struct routing_route {
	struct str name;
	struct str host;
	struct str prefix;
	enum routing_kind kind;
	/* Maximum time to the answer; 0 if not set. */
	apr_interval_time_t timeout;
	/* Time within which an answer has its full value; 0 if not set. */
	apr_interval_time_t target_latency;
	/* 0 is the most urgent. */
	unsigned rank;
	/* Maximum attempts of one request, at least 1. */
	unsigned max_attempts;
	/* Whether upstreams are faster for objects that they handled recently.
	 */
	bool sticky;
	struct str *homes;
	size_t home_count;
	struct routing_backend *parts;
	size_t part_count;
};

struct routing_service {
	struct str name;
	struct str health_path;
	/* Maximum connections to one upstream from all VMs together. */
	uint32_t max_conns;
	/* Requests per second that an upstream tolerates while it is cold. */
	double cold_per_s;
	/* Duration of a cold start. */
	apr_interval_time_t cold_for;
};

struct routing_limits {
	size_t max_header;
	size_t max_body;
	apr_interval_time_t header_timeout;
	apr_interval_time_t idle_timeout;
};

struct routing {
	struct ref ref;
	uint64_t version;
	struct routing_limits limits;
	struct routing_route *routes;
	size_t route_count;
	struct routing_service *services;
	size_t service_count;
	/* Document that holds the strings, and the function that frees it. */
	void *raw;
	void (*raw_free)(void *raw);
	/*
	 * Hash table by host and prefix. A slot is an index into routes plus
	 * 1, or 0 if empty; the size is a power of two.
	 */
	uint32_t *index;
	size_t index_size;
};

/* Returns an empty manifest with one reference, or NULL. */
struct routing *routing_new(void);

/*
 * Checks and indexes the routes. Returns 0, PST_ERR_INVALID for a malformed
 * or duplicate route, or PST_ERR_NOMEM.
 */
int routing_validate_and_index(struct routing *routing);

/*
 * Returns the route of the host, whose port is ignored, with the longest
 * prefix of the path; NULL if there is none.
 */
const struct routing_route *routing_match(const struct routing *routing,
					  struct str host, struct str path);

/* Returns the service of this name, or NULL. */
const struct routing_service *routing_service(const struct routing *routing,
					      struct str name);

/* Chooses a service by weight; draw is uniformly random over 64 bits. */
const struct routing_backend *
routing_choose_backend(const struct routing_route *route, uint64_t draw);

/* Whether a request of the route may run in the region. */
bool routing_allows_region(const struct routing_route *route,
			   struct str region);

#endif
