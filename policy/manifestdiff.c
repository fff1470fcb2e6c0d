#include "policy/manifestdiff.h"

#include <inttypes.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <apr_hash.h>
#include <apr_strings.h>

struct diff {
	const struct routing *before;
	const struct routing *now;
	apr_pool_t *pool;
	struct findings *out;
};

#define change(diff, ...) findings_add((diff)->out, FINDING_CHANGE, __VA_ARGS__)
#define warn(diff, ...)	  findings_add((diff)->out, FINDING_WARNING, __VA_ARGS__)

/* Adds a difference that refuses or cuts off requests if cuts is set. */
#define note(diff, cuts, ...)                                                \
	findings_add((diff)->out, (cuts) ? FINDING_WARNING : FINDING_CHANGE, \
		     __VA_ARGS__)

static const char *const kinds[] = {
	[ROUTING_SAFE] = "safe",
	[ROUTING_UNSAFE] = "unsafe",
	[ROUTING_UPLOAD] = "upload",
};

static struct finding_place in_other(struct finding_place place)
{
	place.other = true;
	return place;
}

static const void *lookup(apr_hash_t *table, struct str name)
{
	return apr_hash_get(table, name.ptr, (apr_ssize_t)name.len);
}

static void put(apr_hash_t *table, struct str name, const void *entry)
{
	if (!lookup(table, name))
		apr_hash_set(table, name.ptr, (apr_ssize_t)name.len, entry);
}

static const char *yes_no(bool value)
{
	return value ? "true" : "false";
}

/* "all" or the regions, separated by commas. */
static const char *homes_text(struct diff *diff, const struct str *homes,
			      size_t count)
{
	const char *text = "all";

	for (size_t i = 0; i < count; i++)
		text = apr_psprintf(diff->pool, "%s%s%.*s", i ? text : "",
				    i ? "," : "", STR_ARG(homes[i]));
	return text;
}

static bool has_home(const struct str *homes, size_t count, struct str home)
{
	for (size_t i = 0; i < count; i++) {
		if (str_eq(homes[i], home))
			return true;
	}
	return !count;
}

/* Whether each region of the first list is in the second. */
static bool is_subset(const struct str *homes, size_t count,
		      const struct str *of, size_t of_count)
{
	for (size_t i = 0; i < count; i++) {
		if (!has_home(of, of_count, homes[i]))
			return false;
	}
	return count || !of_count;
}

static void diff_homes(struct diff *diff, struct finding_place place,
		       const char *what, struct str name,
		       const struct str *before, size_t before_count,
		       const struct str *now, size_t now_count)
{
	const bool lost = !is_subset(before, before_count, now, now_count);

	if (!lost && is_subset(now, now_count, before, before_count))
		return;
	note(diff, lost, place, lost ? "homes-removed" : "homes-added",
	     "%s \"%.*s\": home regions %s, were %s%s", what, STR_ARG(name),
	     homes_text(diff, now, now_count),
	     homes_text(diff, before, before_count),
	     lost ? "; upstreams elsewhere get no more of its requests" : "");
}

static const char *parts_text(struct diff *diff, const struct routing_route *r)
{
	const char *text = "";

	for (size_t i = 0; i < r->part_count; i++)
		text = apr_psprintf(diff->pool, "%s%s%.*s:%g", text,
				    i ? "," : "", STR_ARG(r->parts[i].service),
				    r->parts[i].weight);
	return text;
}

static void diff_parts(struct diff *diff, struct finding_place place,
		       const struct routing_route *a,
		       const struct routing_route *b)
{
	bool same = a->part_count == b->part_count;

	for (size_t i = 0; same && i < a->part_count; i++)
		same = str_eq(a->parts[i].service, b->parts[i].service) &&
		       a->parts[i].weight == b->parts[i].weight;
	if (!same)
		change(diff, place, "backends-changed",
		       "route \"%.*s\": backends %s, were %s", STR_ARG(b->name),
		       parts_text(diff, b), parts_text(diff, a));
}

/* Milliseconds, or "none" for 0. */
static const char *time_text(struct diff *diff, apr_interval_time_t t)
{
	return t ? apr_psprintf(diff->pool, "%" PRId64 " ms", (int64_t)t / 1000)
		 : "none";
}

static void diff_times(struct diff *diff, size_t i,
		       const struct routing_route *a,
		       const struct routing_route *b)
{
	const bool shorter =
		b->timeout && (!a->timeout || b->timeout < a->timeout);

	if (a->timeout != b->timeout)
		note(diff, shorter,
		     finding_at(FINDING_ROUTES, i, FIELD_TIMEOUT),
		     shorter ? "timeout-lowered" : "timeout-raised",
		     "route \"%.*s\": timeout %s, was %s%s", STR_ARG(b->name),
		     time_text(diff, b->timeout), time_text(diff, a->timeout),
		     shorter ? "; requests that take longer are cut off" : "");
	if (a->target_latency != b->target_latency)
		change(diff,
		       finding_at(FINDING_ROUTES, i, FIELD_TARGET_LATENCY),
		       "target-changed",
		       "route \"%.*s\": target latency %s, was %s",
		       STR_ARG(b->name), time_text(diff, b->target_latency),
		       time_text(diff, a->target_latency));
}

static void diff_public(struct diff *diff, size_t i,
			const struct routing_route *a,
			const struct routing_route *b)
{
	const bool cuts = a->public && diff->now->has_tenants;

	if (a->public != b->public)
		note(diff, cuts, finding_at(FINDING_ROUTES, i, FIELD_PUBLIC),
		     "public-changed", "route \"%.*s\": public %s, was %s%s",
		     STR_ARG(b->name), yes_no(b->public), yes_no(a->public),
		     cuts ? "; requests without a key are refused with 401"
			  : "");
}

static void diff_route(struct diff *diff, size_t i,
		       const struct routing_route *a,
		       const struct routing_route *b)
{
	if (!str_eq(a->name, b->name))
		change(diff, finding_at(FINDING_ROUTES, i, FIELD_NAME),
		       "route-renamed", "route \"%.*s\": was named \"%.*s\"",
		       STR_ARG(b->name), STR_ARG(a->name));
	if (a->kind != b->kind)
		note(diff, a->kind != ROUTING_SAFE && b->kind == ROUTING_SAFE,
		     finding_at(FINDING_ROUTES, i, FIELD_KIND), "kind-changed",
		     "route \"%.*s\": kind %s, was %s%s", STR_ARG(b->name),
		     kinds[b->kind], kinds[a->kind],
		     b->kind == ROUTING_SAFE
			     ? "; its requests may be run more than once"
			     : "");
	diff_times(diff, i, a, b);
	if (a->rank != b->rank)
		change(diff, finding_at(FINDING_ROUTES, i, FIELD_RANK),
		       "rank-changed", "route \"%.*s\": rank %u, was %u",
		       STR_ARG(b->name), b->rank, a->rank);
	if (a->max_attempts != b->max_attempts)
		change(diff, finding_at(FINDING_ROUTES, i, FIELD_MAX_ATTEMPTS),
		       "attempts-changed",
		       "route \"%.*s\": %u attempts, were %u", STR_ARG(b->name),
		       b->max_attempts, a->max_attempts);
	if (a->sticky != b->sticky)
		change(diff, finding_at(FINDING_ROUTES, i, FIELD_STICKY),
		       "sticky-changed", "route \"%.*s\": sticky %s, was %s",
		       STR_ARG(b->name), yes_no(b->sticky), yes_no(a->sticky));
	diff_public(diff, i, a, b);
	diff_homes(diff, finding_at(FINDING_ROUTES, i, FIELD_HOMES), "route",
		   b->name, a->homes, a->home_count, b->homes, b->home_count);
	diff_parts(diff, finding_at(FINDING_ROUTES, i, FIELD_ENTRY), a, b);
}

/* Host and prefix, which the prefix's first slash tells apart. */
static struct str route_key(struct diff *diff, const struct routing_route *r)
{
	struct str key = {.len = r->host.len + r->prefix.len + 1};
	char *text = apr_palloc(diff->pool, key.len);

	memcpy(text, r->host.ptr, r->host.len);
	text[r->host.len] = '\0';
	memcpy(text + r->host.len + 1, r->prefix.ptr, r->prefix.len);
	key.ptr = text;
	return key;
}

static apr_hash_t *hash_routes(struct diff *diff, const struct routing *routing)
{
	apr_hash_t *table = apr_hash_make(diff->pool);

	for (size_t i = 0; i < routing->route_count; i++)
		put(table, route_key(diff, &routing->routes[i]),
		    &routing->routes[i]);
	return table;
}

/* A new route, which may take requests from one with a shorter prefix. */
static void diff_new_route(struct diff *diff, size_t i)
{
	const struct routing_route *r = &diff->now->routes[i];
	const struct routing_route *wide =
		routing_match(diff->before, r->host, r->prefix);
	const struct finding_place place =
		finding_at(FINDING_ROUTES, i, FIELD_ENTRY);
	const bool cuts = wide && diff->now->has_tenants && !r->public &&
			  (wide->public || !diff->before->has_tenants);

	if (wide)
		note(diff, cuts, place, "route-added",
		     "route \"%.*s\" is new; its requests matched route "
		     "\"%.*s\"%s",
		     STR_ARG(r->name), STR_ARG(wide->name),
		     cuts ? ", and are now refused with 401 without a key"
			  : "");
	else
		change(diff, place, "route-added", "route \"%.*s\" is new",
		       STR_ARG(r->name));
}

static void diff_routes(struct diff *diff)
{
	const struct routing *before = diff->before;
	const struct routing *now = diff->now;
	apr_hash_t *old = hash_routes(diff, before);
	apr_hash_t *new = hash_routes(diff, now);

	for (size_t i = 0; i < before->route_count; i++) {
		const struct routing_route *r = &before->routes[i];
		const struct finding_place place =
			in_other(finding_at(FINDING_ROUTES, i, FIELD_ENTRY));
		const struct routing_route *wide =
			routing_match(now, r->host, r->prefix);

		if (lookup(new, route_key(diff, r)))
			continue;
		if (wide)
			warn(diff, place, "route-removed",
			     "route \"%.*s\" is gone; its requests match route "
			     "\"%.*s\"",
			     STR_ARG(r->name), STR_ARG(wide->name));
		else
			warn(diff, place, "route-removed",
			     "route \"%.*s\" is gone; requests to "
			     "\"%.*s%.*s\" are refused with 404",
			     STR_ARG(r->name), STR_ARG(r->host),
			     STR_ARG(r->prefix));
	}
	for (size_t i = 0; i < now->route_count; i++) {
		const struct routing_route *r = &now->routes[i];
		const struct routing_route *a = lookup(old, route_key(diff, r));

		if (a)
			diff_route(diff, i, a, r);
		else
			diff_new_route(diff, i);
	}
}

static apr_hash_t *hash_services(struct diff *diff,
				 const struct routing *routing)
{
	apr_hash_t *table = apr_hash_make(diff->pool);

	for (size_t i = 0; i < routing->service_count; i++)
		put(table, routing->services[i].name, &routing->services[i]);
	return table;
}

static void diff_service(struct diff *diff, size_t i,
			 const struct routing_service *a,
			 const struct routing_service *b)
{
	if (a->max_conns != b->max_conns)
		change(diff, finding_at(FINDING_SERVICES, i, FIELD_MAX_CONNS),
		       "connections-changed",
		       "service \"%.*s\": %u connections, were %u",
		       STR_ARG(b->name), b->max_conns, a->max_conns);
	if (a->cold_for != b->cold_for)
		change(diff, finding_at(FINDING_SERVICES, i, FIELD_COLD_FOR),
		       "cold-time-changed",
		       "service \"%.*s\": cold start %s, was %s",
		       STR_ARG(b->name), time_text(diff, b->cold_for),
		       time_text(diff, a->cold_for));
	if (a->cold_per_s != b->cold_per_s)
		change(diff, finding_at(FINDING_SERVICES, i, FIELD_COLD_PER_S),
		       "cold-rate-changed",
		       "service \"%.*s\": %g requests per second while cold, "
		       "were %g",
		       STR_ARG(b->name), b->cold_per_s, a->cold_per_s);
	if (!str_eq(a->health_path, b->health_path))
		change(diff, finding_at(FINDING_SERVICES, i, FIELD_HEALTH_PATH),
		       "health-path-changed",
		       "service \"%.*s\": health path \"%.*s\", was \"%.*s\"",
		       STR_ARG(b->name), STR_ARG(b->health_path),
		       STR_ARG(a->health_path));
}

static void diff_services(struct diff *diff)
{
	apr_hash_t *old = hash_services(diff, diff->before);
	apr_hash_t *new = hash_services(diff, diff->now);

	for (size_t i = 0; i < diff->before->service_count; i++) {
		const struct routing_service *s = &diff->before->services[i];

		if (!lookup(new, s->name))
			change(diff,
			       in_other(finding_at(FINDING_SERVICES, i,
						   FIELD_ENTRY)),
			       "service-removed", "service \"%.*s\" is gone",
			       STR_ARG(s->name));
	}
	for (size_t i = 0; i < diff->now->service_count; i++) {
		const struct routing_service *s = &diff->now->services[i];
		const struct routing_service *a = lookup(old, s->name);

		if (a)
			diff_service(diff, i, a, s);
		else
			change(diff,
			       finding_at(FINDING_SERVICES, i, FIELD_ENTRY),
			       "service-added", "service \"%.*s\" is new",
			       STR_ARG(s->name));
	}
}

static apr_hash_t *hash_tenants(struct diff *diff,
				const struct routing *routing)
{
	apr_hash_t *table = apr_hash_make(diff->pool);

	for (size_t i = 0; i < routing->tenant_count; i++)
		put(table, routing->tenants[i].name, &routing->tenants[i]);
	return table;
}

static const char *rank_text(struct diff *diff, const struct routing_tenant *t)
{
	return t->has_rank ? apr_psprintf(diff->pool, "%u", t->rank)
			   : "that of the route";
}

static void diff_tenant(struct diff *diff, size_t i,
			const struct routing_tenant *a,
			const struct routing_tenant *b)
{
	const bool less = b->rate > 0 && (!(a->rate > 0) || b->rate < a->rate);
	const bool shorter = b->burst < a->burst;
	/* Without a rate, a burst limits nothing. */
	const bool refuses = shorter && b->rate > 0 && a->rate > 0;

	if (a->rate != b->rate)
		note(diff, less, finding_at(FINDING_TENANTS, i, FIELD_RATE),
		     less ? "rate-lowered" : "rate-raised",
		     "tenant \"%.*s\": %g requests per second, were %g (0: no "
		     "limit)%s",
		     STR_ARG(b->name), b->rate, a->rate,
		     less ? "; more are refused with 429" : "");
	if (a->burst != b->burst)
		note(diff, refuses, finding_at(FINDING_TENANTS, i, FIELD_BURST),
		     shorter ? "burst-lowered" : "burst-raised",
		     "tenant \"%.*s\": a burst of %g, was %g%s",
		     STR_ARG(b->name), b->burst, a->burst,
		     refuses ? "; more are refused with 429" : "");
	if (a->has_rank != b->has_rank || a->rank != b->rank)
		change(diff, finding_at(FINDING_TENANTS, i, FIELD_RANK),
		       "rank-changed", "tenant \"%.*s\": rank %s, was %s",
		       STR_ARG(b->name), rank_text(diff, b),
		       rank_text(diff, a));
	diff_homes(diff, finding_at(FINDING_TENANTS, i, FIELD_HOMES), "tenant",
		   b->name, a->homes, a->home_count, b->homes, b->home_count);
}

static void diff_tenants(struct diff *diff)
{
	apr_hash_t *old = hash_tenants(diff, diff->before);
	apr_hash_t *new = hash_tenants(diff, diff->now);

	for (size_t i = 0; i < diff->before->tenant_count; i++) {
		const struct routing_tenant *t = &diff->before->tenants[i];

		if (diff->now->has_tenants && !lookup(new, t->name))
			warn(diff,
			     in_other(finding_at(FINDING_TENANTS, i,
						 FIELD_ENTRY)),
			     "tenant-removed", "tenant \"%.*s\" is gone",
			     STR_ARG(t->name));
	}
	for (size_t i = 0; i < diff->now->tenant_count; i++) {
		const struct routing_tenant *t = &diff->now->tenants[i];
		const struct routing_tenant *a = lookup(old, t->name);

		if (a)
			diff_tenant(diff, i, a, t);
		else
			change(diff,
			       finding_at(FINDING_TENANTS, i, FIELD_ENTRY),
			       "tenant-added", "tenant \"%.*s\" is new",
			       STR_ARG(t->name));
	}
}

/* Finds keys of one manifest that are not, or another tenant's, in the other.
 */
static void diff_keys(struct diff *diff, const struct routing *from,
		      const struct routing *to, bool removed)
{
	long item = 0;

	for (size_t i = 0; i < from->key_count; i++) {
		const struct routing_key *k = &from->keys[i];
		const struct str name = from->tenants[k->tenant].name;
		const struct routing_tenant *other =
			routing_tenant_of_key(to, k->key);
		struct finding_place place =
			finding_at(FINDING_TENANTS, k->tenant, FIELD_KEYS);

		item = i && from->keys[i - 1].tenant == k->tenant ? item + 1
								  : 0;
		place.item = item;
		place.other = removed;
		if (other && (!removed || str_eq(other->name, name)))
			continue;
		if (!removed)
			change(diff, place, "key-added",
			       "tenant \"%.*s\": key %ld is new", STR_ARG(name),
			       item);
		else if (other)
			warn(diff, place, "key-moved",
			     "tenant \"%.*s\": key %ld is now one of tenant "
			     "\"%.*s\"",
			     STR_ARG(name), item, STR_ARG(other->name));
		else
			warn(diff, place, "key-removed",
			     "tenant \"%.*s\": key %ld is gone; requests with "
			     "it are refused with 401",
			     STR_ARG(name), item);
	}
}

/* Whether there are tenants decides whether requests need a key. */
static void diff_use_of_tenants(struct diff *diff)
{
	const struct finding_place place = {FINDING_TENANTS, FIELD_ENTRY, -1,
					    -1, false};
	const struct routing *now = diff->now;
	size_t closed = 0;

	for (size_t i = 0; i < now->route_count; i++)
		closed += !now->routes[i].public;
	if (now->has_tenants && !diff->before->has_tenants)
		note(diff, closed > 0, place, "tenants-added",
		     "requests need a key now: without one, those to %zu of "
		     "%zu routes are refused with 401",
		     closed, now->route_count);
	else if (!now->has_tenants && diff->before->has_tenants)
		warn(diff, place, "tenants-removed",
		     "requests need no key any more, and upstreams are told "
		     "what callers name as their tenant");
}

static void diff_limits(struct diff *diff)
{
	const struct routing_limits *a = &diff->before->limits;
	const struct routing_limits *b = &diff->now->limits;
	const struct {
		enum finding_field field;
		int64_t before;
		int64_t now;
		const char *what;
		const char *effect;
	} limits[] = {
		{FIELD_MAX_HEADER, (int64_t)a->max_header,
		 (int64_t)b->max_header, "bytes of a head", "larger ones"},
		{FIELD_MAX_BODY, (int64_t)a->max_body, (int64_t)b->max_body,
		 "bytes of a body", "larger ones"},
		{FIELD_HEADER_TIMEOUT, a->header_timeout / 1000,
		 b->header_timeout / 1000, "ms for a head", "slower ones"},
		{FIELD_IDLE_TIMEOUT, a->idle_timeout / 1000,
		 b->idle_timeout / 1000, "ms of an idle connection",
		 "longer ones"},
	};

	for (size_t i = 0; i < sizeof(limits) / sizeof(limits[0]); i++) {
		const bool less = limits[i].now < limits[i].before;
		const struct finding_place place = {
			FINDING_LIMITS, limits[i].field, -1, -1, false};

		if (limits[i].now == limits[i].before)
			continue;
		note(diff, less, place, less ? "limit-lowered" : "limit-raised",
		     "%" PRId64 " %s, were %" PRId64 "%s%s%s", limits[i].now,
		     limits[i].what, limits[i].before, less ? "; " : "",
		     less ? limits[i].effect : "",
		     less ? " are refused or cut off" : "");
	}
}

static void diff_version(struct diff *diff)
{
	const struct finding_place place = {FINDING_VERSION, FIELD_ENTRY, -1,
					    -1, false};

	if (diff->now->version <= diff->before->version)
		warn(diff, place, "version-not-newer",
		     "version %08" PRIx64 " is not newer than %08" PRIx64
		     ": VMs keep the other",
		     diff->now->version, diff->before->version);
}

void manifestdiff_run(const struct routing *before, const struct routing *now,
		      apr_pool_t *pool, struct findings *findings)
{
	struct diff diff = {before, now, pool, findings};

	diff_version(&diff);
	diff_limits(&diff);
	diff_services(&diff);
	diff_routes(&diff);
	diff_use_of_tenants(&diff);
	diff_tenants(&diff);
	if (now->has_tenants) {
		diff_keys(&diff, before, now, true);
		diff_keys(&diff, now, before, false);
	}
}
