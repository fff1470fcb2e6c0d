#include "policy/routing.h"

#include <stdlib.h>

#include <openssl/crypto.h>

#include "common/err.h"

static void routing_release(struct ref *ref)
{
	struct routing *routing = REF_CONTAINER(ref, struct routing, ref);

	for (size_t i = 0; i < routing->route_count; i++) {
		free(routing->routes[i].homes);
		free(routing->routes[i].parts);
	}
	for (size_t i = 0; i < routing->tenant_count; i++)
		free(routing->tenants[i].homes);
	free(routing->routes);
	free(routing->services);
	free(routing->tenants);
	free(routing->keys);
	free(routing->index);
	free(routing->key_index);
	free(routing->tenants_by_hash);
	if (routing->raw)
		routing->raw_free(routing->raw);
	free(routing);
}

struct routing *routing_new(void)
{
	struct routing *routing = calloc(1, sizeof(*routing));

	if (routing)
		ref_init(&routing->ref, routing_release);
	return routing;
}

static size_t slot_of(const struct routing *routing, struct str host,
		      struct str prefix)
{
	return str_hash(prefix, str_hash(host, 0)) & (routing->index_size - 1);
}

static const struct routing_route *find(const struct routing *routing,
					struct str host, struct str prefix)
{
	size_t at = slot_of(routing, host, prefix);

	while (routing->index[at]) {
		const struct routing_route *r =
			&routing->routes[routing->index[at] - 1];

		if (str_eq(r->prefix, prefix) && str_eq(r->host, host))
			return r;
		at = (at + 1) & (routing->index_size - 1);
	}
	return NULL;
}

/* Why the route is malformed; NULL: it isn't. */
static const char *route_problem(const struct routing_route *route)
{
	double sum = 0;

	for (size_t i = 0; i < route->part_count; i++) {
		if (!(route->parts[i].weight >= 0))
			return "a weight is negative";
		sum += route->parts[i].weight;
	}
	if (!(sum > 0))
		return "all weights are 0";
	if (!route->max_attempts)
		return "no attempt is allowed";
	if (!route->prefix.len || route->prefix.ptr[0] != '/' ||
	    route->prefix.ptr[route->prefix.len - 1] != '/')
		return "the prefix does not begin and end with a slash";
	return NULL;
}

static int refuse(struct routing *routing, struct routing_fault fault)
{
	routing->fault = fault;
	return PST_ERR_INVALID;
}

/* Size of a hash table for so many entries, at most half full. */
static size_t table_size(size_t entries)
{
	size_t size = 16;

	while (size < 2 * entries)
		size *= 2;
	return size;
}

static int index_routes(struct routing *routing)
{
	routing->index_size = table_size(routing->route_count);
	routing->index = calloc(routing->index_size, sizeof(*routing->index));
	if (!routing->index)
		return PST_ERR_NOMEM;
	for (size_t i = 0; i < routing->route_count; i++) {
		const struct routing_route *r = &routing->routes[i];
		size_t at = slot_of(routing, r->host, r->prefix);
		const char *problem = route_problem(r);

		if (!problem && find(routing, r->host, r->prefix))
			problem = "another route has this host and prefix";
		if (problem)
			return refuse(routing, (struct routing_fault){
						       problem, false, i, -1});
		while (routing->index[at])
			at = (at + 1) & (routing->index_size - 1);
		routing->index[at] = (uint32_t)i + 1;
	}
	return 0;
}

static bool same_key(struct str a, struct str b)
{
	return a.len == b.len && !CRYPTO_memcmp(a.ptr, b.ptr, a.len);
}

static const struct routing_key *find_key(const struct routing *routing,
					  struct str key)
{
	size_t at = str_hash(key, 0) & (routing->key_index_size - 1);

	while (routing->key_index[at]) {
		const struct routing_key *k =
			&routing->keys[routing->key_index[at] - 1];

		if (same_key(k->key, key))
			return k;
		at = (at + 1) & (routing->key_index_size - 1);
	}
	return NULL;
}

static struct routing_fault key_fault(const struct routing *routing, size_t at)
{
	const uint32_t tenant = routing->keys[at].tenant;
	long key = 0;

	/* Keys stand in the order of their tenants. */
	while (at > (size_t)key &&
	       routing->keys[at - (size_t)key - 1].tenant == tenant)
		key++;
	return (struct routing_fault){routing->keys[at].key.len
					      ? "another tenant has this key"
					      : "the key is empty",
				      true, tenant, key};
}

static int index_keys(struct routing *routing)
{
	routing->key_index_size = table_size(routing->key_count);
	routing->key_index =
		calloc(routing->key_index_size, sizeof(*routing->key_index));
	if (!routing->key_index)
		return PST_ERR_NOMEM;
	for (size_t i = 0; i < routing->key_count; i++) {
		const struct routing_key *k = &routing->keys[i];
		const struct routing_key *other = find_key(routing, k->key);
		size_t at = str_hash(k->key, 0) & (routing->key_index_size - 1);

		if (!k->key.len || (other && other->tenant != k->tenant))
			return refuse(routing, key_fault(routing, i));
		while (routing->key_index[at])
			at = (at + 1) & (routing->key_index_size - 1);
		routing->key_index[at] = (uint32_t)i + 1;
	}
	return 0;
}

/* The name goes into a header: visible ASCII only. */
static bool is_valid_name(struct str name)
{
	for (size_t i = 0; i < name.len; i++) {
		if (name.ptr[i] <= ' ' || name.ptr[i] > '~')
			return false;
	}
	return name.len && name.len <= ROUTING_TENANT_NAME_MAX;
}

static int compare_hashes(const void *a, const void *b)
{
	const struct routing_tenant *const *x = a;
	const struct routing_tenant *const *y = b;

	return ((*x)->hash > (*y)->hash) - ((*x)->hash < (*y)->hash);
}

/* Checks that the names differ, by hashes that differ. */
static int index_tenants(struct routing *routing)
{
	const size_t count = routing->tenant_count;
	struct routing_tenant **by_hash =
		calloc(count + 1, sizeof(struct routing_tenant *));
	int err = 0;

	if (!by_hash)
		return PST_ERR_NOMEM;
	for (size_t i = 0; i < count; i++) {
		struct routing_tenant *tenant = &routing->tenants[i];

		if (!err && !is_valid_name(tenant->name))
			err = refuse(routing,
				     (struct routing_fault){
					     "the name is empty, too long or "
					     "not visible ASCII",
					     true, i, -1});
		tenant->hash = str_hash(tenant->name, 0);
		by_hash[i] = tenant;
	}
	qsort(by_hash, count, sizeof(struct routing_tenant *), compare_hashes);
	for (size_t i = 1; i < count; i++) {
		if (!err && by_hash[i]->hash == by_hash[i - 1]->hash)
			err = refuse(
				routing,
				(struct routing_fault){
					"another tenant has this name", true,
					(size_t)(by_hash[i] - routing->tenants),
					-1});
	}
	routing->tenants_by_hash = by_hash;
	return err;
}

int routing_validate_and_index(struct routing *routing)
{
	int err = index_routes(routing);

	if (!err)
		err = index_keys(routing);
	return err ? err : index_tenants(routing);
}

static struct str without_port(struct str host)
{
	for (size_t i = host.len; i > 0; i--) {
		if (host.ptr[i - 1] == ':')
			return (struct str){.ptr = host.ptr, .len = i - 1};
		if (host.ptr[i - 1] < '0' || host.ptr[i - 1] > '9')
			break;
	}
	return host;
}

const struct routing_route *routing_match(const struct routing *routing,
					  struct str host, struct str path)
{
	host = without_port(host);
	for (size_t i = 0; i < path.len; i++) {
		if (path.ptr[i] == '?' || path.ptr[i] == '#')
			path.len = i;
	}
	while (path.len) {
		const struct routing_route *r;

		if (path.ptr[path.len - 1] == '/') {
			r = find(routing, host, path);
			if (r)
				return r;
		}
		path.len--;
	}
	return NULL;
}

const struct routing_service *routing_service(const struct routing *routing,
					      struct str name)
{
	for (size_t i = 0; i < routing->service_count; i++) {
		if (str_eq(routing->services[i].name, name))
			return &routing->services[i];
	}
	return NULL;
}

const struct routing_backend *
routing_choose_backend(const struct routing_route *route, uint64_t draw)
{
	double sum = 0;
	double at;

	for (size_t i = 0; i < route->part_count; i++)
		sum += route->parts[i].weight;
	at = (double)(draw >> 11) * 0x1p-53 * sum;
	for (size_t i = 0; i + 1 < route->part_count; i++) {
		at -= route->parts[i].weight;
		if (at < 0)
			return &route->parts[i];
	}
	return &route->parts[route->part_count - 1];
}

const struct routing_tenant *
routing_tenant_of_key(const struct routing *routing, struct str key)
{
	const struct routing_key *k = find_key(routing, key);

	return k ? &routing->tenants[k->tenant] : NULL;
}

const struct routing_tenant *
routing_tenant_by_hash(const struct routing *routing, uint64_t hash)
{
	const struct routing_tenant wanted = {.hash = hash};
	const struct routing_tenant *const key = &wanted;
	struct routing_tenant **found =
		bsearch(&key, routing->tenants_by_hash, routing->tenant_count,
			sizeof(struct routing_tenant *), compare_hashes);

	return found ? *found : NULL;
}

unsigned routing_rank(const struct routing_route *route,
		      const struct routing_tenant *tenant)
{
	return tenant && tenant->has_rank ? tenant->rank : route->rank;
}

bool routing_has_homes(const struct routing_route *route,
		       const struct routing_tenant *tenant)
{
	return route->home_count || (tenant && tenant->home_count);
}

static bool is_listed(const struct str *homes, size_t count, struct str region)
{
	for (size_t i = 0; i < count; i++) {
		if (str_eq(homes[i], region))
			return true;
	}
	return !count;
}

bool routing_allows_region(const struct routing_route *route,
			   const struct routing_tenant *tenant,
			   struct str region)
{
	return is_listed(route->homes, route->home_count, region) &&
	       (!tenant ||
		is_listed(tenant->homes, tenant->home_count, region));
}
