/*
 * The manifest: routes, services and limits of one version. Pure functions.
 *
 * A manifest is immutable once its routes are indexed. A request keeps a
 * reference to the version that it was matched with.
 */
#ifndef POLICY_RTM_H
#define POLICY_RTM_H

#include <stdbool.h>

#include <apr_time.h>

#include "common/ref.h"
#include "common/str.h"

enum rtm_kind {
	/* May be run more than once. */
	RTM_SAFE,
	/* Runs at most once. */
	RTM_UNSAFE,
	/* As RTM_UNSAFE, with a large body. */
	RTM_UPLOAD,
};

/* A service that gets a weighted share of a route's requests. */
struct rtm_backend {
	struct str service;
	double weight;
};

struct rtm_route {
	struct str name;
	struct str host;
	struct str prefix;
	enum rtm_kind kind;
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
	struct rtm_backend *parts;
	size_t part_count;
};

struct rtm_service {
	struct str name;
	struct str health_path;
	/* Maximum connections to one upstream from all VMs together. */
	uint32_t max_conns;
	/* Requests per second that an upstream tolerates while it is cold. */
	double cold_per_s;
	/* Duration of a cold start. */
	apr_interval_time_t cold_for;
};

struct rtm_limits {
	size_t max_header;
	size_t max_body;
	apr_interval_time_t header_timeout;
	apr_interval_time_t idle_timeout;
};

struct rtm {
	struct ref ref;
	uint64_t version;
	struct rtm_limits limits;
	struct rtm_route *routes;
	size_t route_count;
	struct rtm_service *services;
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
struct rtm *rtm_new(void);

/*
 * Checks and indexes the routes. Returns 0, PST_ERR_INVALID for a malformed
 * or duplicate route, or PST_ERR_NOMEM.
 */
int rtm_validate_and_index(struct rtm *rtm);

/*
 * Returns the route of the host, whose port is ignored, with the longest
 * prefix of the path; NULL if there is none.
 */
const struct rtm_route *rtm_match(const struct rtm *rtm, struct str host,
				  struct str path);

/* Returns the service of this name, or NULL. */
const struct rtm_service *rtm_service(const struct rtm *rtm, struct str name);

/* Chooses a service by weight; draw is uniformly random over 64 bits. */
const struct rtm_backend *rtm_choose_backend(const struct rtm_route *route,
					     uint64_t draw);

/* Whether a request of the route may run in the region. */
bool rtm_allows_region(const struct rtm_route *route, struct str region);

#endif
