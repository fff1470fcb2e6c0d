#include "policy/manifestcheck.h"

#include <stdint.h>
#include <string.h>

#include <apr_hash.h>

/*
 * A burst must hold what a VM asks for ahead of need, 0.1 s of the rate
 * (policy/permits.c), and a whole request.
 */
#define BURST_MIN_S	   0.1
#define BURST_MIN_REQUESTS 1.0

/* Regions that are told apart; homes in others are not compared. */
#define MAX_REGIONS 64

#define ALL_REGIONS UINT64_MAX

struct check {
	const struct routing *routing;
	const struct manifestcheck_upstreams *upstreams;
	apr_pool_t *pool;
	struct findings *out;
	/* Services by name: an index plus 1. */
	apr_hash_t *services;
	/* Bits of regions by name. */
	apr_hash_t *regions;
	unsigned region_count;
	/* Bits of the regions in which a service has upstreams, by name. */
	apr_hash_t *served;
	uint64_t served_by_any;
};

#define warn(check, ...) \
	findings_add((check)->out, FINDING_WARNING, __VA_ARGS__)

static uint64_t region_bit(struct check *check, struct str name)
{
	uint64_t *bit =
		apr_hash_get(check->regions, name.ptr, (apr_ssize_t)name.len);

	if (bit)
		return *bit;
	if (check->region_count == MAX_REGIONS)
		return ALL_REGIONS;
	bit = apr_palloc(check->pool, sizeof(*bit));
	*bit = UINT64_C(1) << check->region_count++;
	apr_hash_set(check->regions, name.ptr, (apr_ssize_t)name.len, bit);
	return *bit;
}

static uint64_t home_bits(struct check *check, const struct str *homes,
			  size_t count)
{
	uint64_t bits = 0;

	for (size_t i = 0; i < count; i++)
		bits |= region_bit(check, homes[i]);
	return count ? bits : ALL_REGIONS;
}

static void index_upstreams(struct check *check)
{
	const struct manifestcheck_upstreams *ups = check->upstreams;

	for (size_t i = 0; ups && i < ups->count; i++) {
		const struct str service = ups->list[i].service;
		const uint64_t bit = region_bit(check, ups->list[i].region);
		uint64_t *bits = apr_hash_get(check->served, service.ptr,
					      (apr_ssize_t)service.len);

		if (!bits) {
			bits = apr_pcalloc(check->pool, sizeof(*bits));
			apr_hash_set(check->served, service.ptr,
				     (apr_ssize_t)service.len, bits);
		}
		*bits |= bit;
		check->served_by_any |= bit;
	}
}

static uint64_t served_bits(const struct check *check, struct str service)
{
	const uint64_t *bits = apr_hash_get(check->served, service.ptr,
					    (apr_ssize_t)service.len);

	return bits ? *bits : 0;
}

static void check_limits(struct check *check)
{
	const struct routing_limits *l = &check->routing->limits;
	const struct {
		enum finding_field field;
		int64_t value;
		const char *text;
	} limits[] = {
		{FIELD_MAX_HEADER, (int64_t)l->max_header,
		 "no request fits a head of 0 bytes"},
		{FIELD_MAX_BODY, (int64_t)l->max_body,
		 "requests with a body are refused"},
		{FIELD_HEADER_TIMEOUT, l->header_timeout,
		 "no time for a request's head"},
		{FIELD_IDLE_TIMEOUT, l->idle_timeout,
		 "connections are not kept open between requests"},
	};

	for (size_t i = 0; i < sizeof(limits) / sizeof(limits[0]); i++) {
		const struct finding_place place = {
			FINDING_LIMITS, limits[i].field, -1, -1, false};

		if (!limits[i].value)
			warn(check, place, "limit-zero", "%s", limits[i].text);
	}
}

static void check_service(struct check *check, size_t i)
{
	const struct routing_service *s = &check->routing->services[i];
	const size_t known = (size_t)(uintptr_t)apr_hash_get(
		check->services, s->name.ptr, (apr_ssize_t)s->name.len);

	if (known) {
		warn(check, finding_at(FINDING_SERVICES, i, FIELD_NAME),
		     "service-repeated",
		     "service \"%.*s\": entry %zu has this name and is used "
		     "instead",
		     STR_ARG(s->name), known - 1);
		return;
	}
	apr_hash_set(check->services, s->name.ptr, (apr_ssize_t)s->name.len,
		     (void *)(uintptr_t)(i + 1));
	if (!s->max_conns)
		warn(check, finding_at(FINDING_SERVICES, i, FIELD_MAX_CONNS),
		     "no-connections",
		     "service \"%.*s\": its upstreams accept no connection",
		     STR_ARG(s->name));
	if (s->cold_for && !(s->cold_per_s > 0))
		warn(check, finding_at(FINDING_SERVICES, i, FIELD_COLD_PER_S),
		     "cold-rate-zero",
		     "service \"%.*s\": a cold upstream gets no requests and "
		     "stays cold",
		     STR_ARG(s->name));
}

static bool has_control(struct str text)
{
	for (size_t i = 0; i < text.len; i++) {
		if ((unsigned char)text.ptr[i] < ' ' || text.ptr[i] == 0x7f)
			return true;
	}
	return false;
}

/* Whether the text can be the value of a header, without what is trimmed. */
static bool is_header_value(struct str text)
{
	return !has_control(text) && str_trim(text).len == text.len;
}

static bool has_port(struct str host)
{
	size_t i = host.len;

	while (i && host.ptr[i - 1] >= '0' && host.ptr[i - 1] <= '9')
		i--;
	return i && host.ptr[i - 1] == ':';
}

static bool has_upper_case(struct str host)
{
	for (size_t i = 0; i < host.len; i++) {
		if (host.ptr[i] >= 'A' && host.ptr[i] <= 'Z')
			return true;
	}
	return false;
}

/* Returns whether requests can match the route. */
static bool check_match(struct check *check, size_t i)
{
	const struct routing_route *r = &check->routing->routes[i];
	const struct finding_place host =
		finding_at(FINDING_ROUTES, i, FIELD_HOST);
	const struct finding_place prefix =
		finding_at(FINDING_ROUTES, i, FIELD_PREFIX);
	bool matches = true;

	if (!r->host.len) {
		warn(check, host, "host-empty",
		     "route \"%.*s\" matches only requests that name no host",
		     STR_ARG(r->name));
	} else if (has_port(r->host)) {
		warn(check, host, "host-port",
		     "route \"%.*s\" never matches: the port of a request's "
		     "host is ignored",
		     STR_ARG(r->name));
		matches = false;
	} else if (!is_header_value(r->host)) {
		warn(check, host, "host-invalid",
		     "route \"%.*s\" never matches: no request names such a "
		     "host",
		     STR_ARG(r->name));
		matches = false;
	} else if (has_upper_case(r->host)) {
		warn(check, host, "host-upper-case",
		     "route \"%.*s\" matches only requests that write the "
		     "host with the same upper-case letters",
		     STR_ARG(r->name));
	}
	if (memchr(r->prefix.ptr, '?', r->prefix.len) ||
	    memchr(r->prefix.ptr, '#', r->prefix.len) ||
	    memchr(r->prefix.ptr, ' ', r->prefix.len) ||
	    has_control(r->prefix)) {
		warn(check, prefix, "prefix-invalid",
		     "route \"%.*s\" never matches: no path of a request "
		     "begins so",
		     STR_ARG(r->name));
		matches = false;
	}
	return matches;
}

static bool same_parts(const struct routing_route *a,
		       const struct routing_route *b)
{
	if (a->part_count != b->part_count)
		return false;
	for (size_t i = 0; i < a->part_count; i++) {
		if (!str_eq(a->parts[i].service, b->parts[i].service) ||
		    a->parts[i].weight != b->parts[i].weight)
			return false;
	}
	return true;
}

static bool same_homes(const struct routing_route *a,
		       const struct routing_route *b)
{
	if (a->home_count != b->home_count)
		return false;
	for (size_t i = 0; i < a->home_count; i++) {
		if (!str_eq(a->homes[i], b->homes[i]))
			return false;
	}
	return true;
}

/* The route that would serve the requests if this one were removed. */
static const struct routing_route *wider_route(const struct routing *routing,
					       const struct routing_route *r)
{
	struct str path = r->prefix;

	path.len--;
	while (path.len && path.ptr[path.len - 1] != '/')
		path.len--;
	return path.len ? routing_match(routing, r->host, path) : NULL;
}

static void check_shadow(struct check *check, size_t i)
{
	const struct routing_route *r = &check->routing->routes[i];
	const struct routing_route *wide = wider_route(check->routing, r);

	if (!wide || wide == r || wide->kind != r->kind ||
	    wide->timeout != r->timeout ||
	    wide->target_latency != r->target_latency ||
	    wide->rank != r->rank || wide->max_attempts != r->max_attempts ||
	    wide->sticky != r->sticky || wide->public != r->public ||
	    !same_homes(r, wide) || !same_parts(r, wide))
		return;
	warn(check, finding_at(FINDING_ROUTES, i, FIELD_PREFIX),
	     "route-shadowed",
	     "route \"%.*s\" has no effect: route \"%.*s\", with a shorter "
	     "prefix, is the same",
	     STR_ARG(r->name), STR_ARG(wide->name));
}

static void check_times(struct check *check, size_t i)
{
	const struct routing_route *r = &check->routing->routes[i];

	if (!r->timeout || r->timeout >= r->target_latency)
		return;
	warn(check, finding_at(FINDING_ROUTES, i, FIELD_TIMEOUT),
	     "timeout-below-target",
	     "route \"%.*s\": the timeout of %lld ms is below the target "
	     "latency of %lld ms",
	     STR_ARG(r->name), (long long)r->timeout / 1000,
	     (long long)r->target_latency / 1000);
}

static void check_parts(struct check *check, size_t i)
{
	const struct routing_route *r = &check->routing->routes[i];
	const uint64_t homes = home_bits(check, r->homes, r->home_count);
	struct finding_place place = finding_at(FINDING_ROUTES, i, FIELD_ENTRY);

	for (size_t p = 0; p < r->part_count; p++) {
		const struct str service = r->parts[p].service;
		const uint64_t served = served_bits(check, service);

		if (!apr_hash_get(check->services, service.ptr,
				  (apr_ssize_t)service.len))
			warn(check, place, "service-unknown",
			     "route \"%.*s\": service \"%.*s\" is not listed, "
			     "so it has no limits",
			     STR_ARG(r->name), STR_ARG(service));
		if (!check->upstreams || !(r->parts[p].weight > 0))
			continue;
		place.field = served ? FIELD_HOMES : FIELD_ENTRY;
		if (!served)
			warn(check, place, "no-upstreams",
			     "route \"%.*s\": service \"%.*s\" has no "
			     "upstreams",
			     STR_ARG(r->name), STR_ARG(service));
		else if (!(served & homes))
			warn(check, place, "homes-without-upstreams",
			     "route \"%.*s\": service \"%.*s\" has no "
			     "upstream in a home region",
			     STR_ARG(r->name), STR_ARG(service));
		place.field = FIELD_ENTRY;
	}
}

/* Run times are kept by the name of the route. */
static void check_names(struct check *check)
{
	const struct routing *routing = check->routing;
	apr_hash_t *names = apr_hash_make(check->pool);

	for (size_t i = 0; i < routing->route_count; i++) {
		const struct str name = routing->routes[i].name;
		const size_t known = (size_t)(uintptr_t)apr_hash_get(
			names, name.ptr, (apr_ssize_t)name.len);

		if (known)
			warn(check, finding_at(FINDING_ROUTES, i, FIELD_NAME),
			     "route-name-repeated",
			     "route \"%.*s\": entry %zu has this name, so "
			     "their run times are taken for one if they share "
			     "a service",
			     STR_ARG(name), known - 1);
		else
			apr_hash_set(names, name.ptr, (apr_ssize_t)name.len,
				     (void *)(uintptr_t)(i + 1));
	}
}

/* Finds services that no route names, and hosts without a usable route. */
static void check_uses(struct check *check, const bool *matches)
{
	const struct routing *routing = check->routing;
	apr_hash_t *used = apr_hash_make(check->pool);
	apr_hash_t *hosts = apr_hash_make(check->pool);
	static char mark[] = "";

	for (size_t i = 0; i < routing->route_count; i++) {
		const struct routing_route *r = &routing->routes[i];

		for (size_t p = 0; p < r->part_count; p++)
			apr_hash_set(used, r->parts[p].service.ptr,
				     (apr_ssize_t)r->parts[p].service.len,
				     mark);
		if (matches[i])
			apr_hash_set(hosts, r->host.ptr,
				     (apr_ssize_t)r->host.len, mark);
	}
	for (size_t i = 0; i < routing->service_count; i++) {
		const struct str name = routing->services[i].name;

		if (!apr_hash_get(used, name.ptr, (apr_ssize_t)name.len))
			warn(check, finding_at(FINDING_SERVICES, i, FIELD_NAME),
			     "service-unused",
			     "service \"%.*s\": no route names it",
			     STR_ARG(name));
	}
	for (size_t i = 0; i < routing->route_count; i++) {
		const struct str host = routing->routes[i].host;

		if (apr_hash_get(hosts, host.ptr, (apr_ssize_t)host.len))
			continue;
		apr_hash_set(hosts, host.ptr, (apr_ssize_t)host.len, mark);
		warn(check, finding_at(FINDING_ROUTES, i, FIELD_HOST),
		     "host-without-routes",
		     "host \"%.*s\" has no route that can match",
		     STR_ARG(host));
	}
}

static void check_routes(struct check *check)
{
	const size_t count = check->routing->route_count;
	bool *matches = apr_pcalloc(check->pool, count + 1);

	for (size_t i = 0; i < count; i++) {
		matches[i] = check_match(check, i);
		if (matches[i])
			check_shadow(check, i);
		check_times(check, i);
		check_parts(check, i);
	}
	check_names(check);
	check_uses(check, matches);
}

static void check_quota(struct check *check, size_t i)
{
	const struct routing_tenant *t = &check->routing->tenants[i];
	const double needed = t->rate * BURST_MIN_S > BURST_MIN_REQUESTS
				      ? t->rate * BURST_MIN_S
				      : BURST_MIN_REQUESTS;

	if (t->rate > 0 && t->burst < needed)
		warn(check, finding_at(FINDING_TENANTS, i, FIELD_BURST),
		     "burst-below-rate",
		     "tenant \"%.*s\": a burst of %g is below the %g that a "
		     "rate of %g per second needs",
		     STR_ARG(t->name), t->burst, needed, t->rate);
	else if (!(t->rate > 0) && t->burst > 0)
		warn(check, finding_at(FINDING_TENANTS, i, FIELD_BURST),
		     "burst-without-rate",
		     "tenant \"%.*s\": a burst without a rate limits nothing",
		     STR_ARG(t->name));
}

/* Sets of home regions of the routes, each with its first route. */
struct home_sets {
	struct {
		uint64_t bits;
		size_t route;
		size_t count;
	} list[MAX_REGIONS];
	size_t count;
};

static void add_set(struct home_sets *sets, uint64_t bits, size_t route)
{
	size_t i = 0;

	while (i < sets->count && sets->list[i].bits != bits)
		i++;
	if (i == MAX_REGIONS)
		return;
	if (i == sets->count) {
		sets->list[i].bits = bits;
		sets->list[i].route = route;
		sets->list[i].count = 0;
		sets->count++;
	}
	sets->list[i].count++;
}

static void check_homes(struct check *check, const struct home_sets *sets,
			size_t i)
{
	const struct routing *routing = check->routing;
	const struct routing_tenant *t = &routing->tenants[i];
	const uint64_t homes = home_bits(check, t->homes, t->home_count);
	size_t refused = 0;
	size_t first = 0;

	if (check->upstreams && !(homes & check->served_by_any))
		warn(check, finding_at(FINDING_TENANTS, i, FIELD_HOMES),
		     "homes-without-upstreams",
		     "tenant \"%.*s\": no upstream is in a home region",
		     STR_ARG(t->name));
	for (size_t s = 0; s < sets->count; s++) {
		if (sets->list[s].bits & homes)
			continue;
		if (!refused || sets->list[s].route < first)
			first = sets->list[s].route;
		refused += sets->list[s].count;
	}
	if (refused)
		warn(check, finding_at(FINDING_TENANTS, i, FIELD_HOMES),
		     "homes-disjoint",
		     "tenant \"%.*s\" shares no home region with %zu of %zu "
		     "routes, the first \"%.*s\": refused with 403",
		     STR_ARG(t->name), refused, routing->route_count,
		     STR_ARG(routing->routes[first].name));
}

/* Keys stand in the order of their tenants. */
static void check_keys(struct check *check)
{
	const struct routing *routing = check->routing;
	apr_hash_t *seen = apr_hash_make(check->pool);
	size_t at = 0;

	for (size_t i = 0; i < routing->tenant_count; i++) {
		const struct str name = routing->tenants[i].name;
		struct finding_place place =
			finding_at(FINDING_TENANTS, i, FIELD_KEYS);
		const size_t first = at;

		for (; at < routing->key_count && routing->keys[at].tenant == i;
		     at++) {
			const struct str key = routing->keys[at].key;

			place.item = (long)(at - first);
			if (!is_header_value(key))
				warn(check, place, "key-invalid",
				     "tenant \"%.*s\": no request can carry "
				     "key %zu",
				     STR_ARG(name), at - first);
			if (apr_hash_get(seen, key.ptr, (apr_ssize_t)key.len))
				warn(check, place, "key-repeated",
				     "tenant \"%.*s\": key %zu is there twice",
				     STR_ARG(name), at - first);
			apr_hash_set(seen, key.ptr, (apr_ssize_t)key.len, seen);
		}
		place.item = -1;
		if (at == first)
			warn(check, place, "tenant-without-keys",
			     "tenant \"%.*s\" has no keys, so no request is "
			     "its",
			     STR_ARG(name));
	}
}

static void check_tenants(struct check *check)
{
	const struct routing *routing = check->routing;
	const struct finding_place part = {FINDING_TENANTS, FIELD_ENTRY, -1, -1,
					   false};
	struct home_sets sets = {.count = 0};
	size_t public = 0;

	for (size_t i = 0; i < routing->route_count; i++) {
		const struct routing_route *r = &routing->routes[i];

		add_set(&sets, home_bits(check, r->homes, r->home_count), i);
		public += r->public;
	}
	if (routing->has_tenants && !routing->key_count &&
	    public < routing->route_count)
		warn(check, part, "no-keys",
		     "no tenant has a key, so every request to %zu of %zu "
		     "routes is refused with 401",
		     routing->route_count - public, routing->route_count);
	for (size_t i = 0; i < routing->tenant_count; i++) {
		check_quota(check, i);
		check_homes(check, &sets, i);
	}
	check_keys(check);
}

void manifestcheck_run(const struct routing *routing,
		       const struct manifestcheck_upstreams *upstreams,
		       apr_pool_t *pool, struct findings *findings)
{
	struct check check = {
		.routing = routing,
		.upstreams = upstreams,
		.pool = pool,
		.out = findings,
		.services = apr_hash_make(pool),
		.regions = apr_hash_make(pool),
		.served = apr_hash_make(pool),
	};

	index_upstreams(&check);
	check_limits(&check);
	for (size_t i = 0; i < routing->service_count; i++)
		check_service(&check, i);
	check_routes(&check);
	check_tenants(&check);
}
