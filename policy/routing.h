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

/* Longest name of a tenant, in bytes. */
#define ROUTING_TENANT_NAME_MAX 256

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
	/* Whether requests need no key. */
	bool public;
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

/* A tenant: callers that share keys, a rank and an allowance. */
struct routing_tenant {
	struct str name;
	/* Whether rank replaces that of the route. */
	bool has_rank;
	unsigned rank;
	/* Allowance in requests per second and requests; 0: no limit. */
	double rate;
	double burst;
	struct str *homes;
	size_t home_count;
	/* Hash of the name, the same at all VMs. */
	uint64_t hash;
};

/* A key and the index of its tenant. */
struct routing_key {
	struct str key;
	uint32_t tenant;
};

/* Why routing_validate_and_index() refused a manifest. */
struct routing_fault {
	/* Why; NULL: no fault was found. */
	const char *reason;
	/* Whether index counts tenants, not routes. */
	bool is_tenant;
	size_t index;
	/* Index of the tenant's key at fault; -1: the entry itself. */
	long key;
};

struct routing {
	struct ref ref;
	uint64_t version;
	struct routing_limits limits;
	struct routing_route *routes;
	size_t route_count;
	struct routing_service *services;
	size_t service_count;
	/* Requests need keys; false: keys have no meaning. */
	bool has_tenants;
	struct routing_tenant *tenants;
	size_t tenant_count;
	struct routing_key *keys;
	size_t key_count;
	/* Document that holds the strings, and the function that frees it. */
	void *raw;
	void (*raw_free)(void *raw);
	/*
	 * Hash table by host and prefix. A slot is an index into routes plus
	 * 1, or 0 if empty; the size is a power of two.
	 */
	uint32_t *index;
	size_t index_size;
	/* Hash table by key: an index into keys plus 1, or 0 if empty. */
	uint32_t *key_index;
	size_t key_index_size;
	/* Tenants in the order of their hashes. */
	struct routing_tenant **tenants_by_hash;
	struct routing_fault fault;
};

/* Returns an empty manifest with one reference, or NULL. */
struct routing *routing_new(void);

/*
 * Checks and indexes routes and keys. Returns 0, PST_ERR_INVALID for a
 * malformed or duplicate route or tenant or a key of two tenants, with the
 * first one in routing->fault, or PST_ERR_NOMEM.
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

/*
 * Returns the tenant of the key, or NULL. Keys are compared in constant time,
 * so that the time tells nothing of other tenants' keys.
 */
const struct routing_tenant *
routing_tenant_of_key(const struct routing *routing, struct str key);

/* Returns the tenant with this hash of its name, or NULL. */
const struct routing_tenant *
routing_tenant_by_hash(const struct routing *routing, uint64_t hash);

/* The rank of a request: its tenant's if that has one, else its route's. */
unsigned routing_rank(const struct routing_route *route,
		      const struct routing_tenant *tenant);

/* Whether the route or the tenant, which may be NULL, has home regions. */
bool routing_has_homes(const struct routing_route *route,
		       const struct routing_tenant *tenant);

/*
 * Whether a request of the route and tenant, which may be NULL, may run in the
 * region: the homes of both bind.
 */
bool routing_allows_region(const struct routing_route *route,
			   const struct routing_tenant *tenant,
			   struct str region);

#endif
