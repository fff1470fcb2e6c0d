#include "policy/routing.h"

#include <stdlib.h>

#include "common/err.h"

static void routing_release(struct ref *ref)
{
	struct routing *routing = REF_CONTAINER(ref, struct routing, ref);

	for (size_t i = 0; i < routing->route_count; i++) {
		free(routing->routes[i].homes);
		free(routing->routes[i].parts);
	}
	free(routing->routes);
	free(routing->services);
	free(routing->index);
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

static bool is_valid(const struct routing_route *route)
{
	double sum = 0;

	for (size_t i = 0; i < route->part_count; i++) {
		if (!(route->parts[i].weight >= 0))
			return false;
		sum += route->parts[i].weight;
	}
	return sum > 0 && route->max_attempts && route->prefix.len &&
	       route->prefix.ptr[0] == '/' &&
	       route->prefix.ptr[route->prefix.len - 1] == '/';
}

int routing_validate_and_index(struct routing *routing)
{
	routing->index_size = 16;
	while (routing->index_size < 2 * routing->route_count)
		routing->index_size *= 2;
	routing->index = calloc(routing->index_size, sizeof(*routing->index));
	if (!routing->index)
		return PST_ERR_NOMEM;
	for (size_t i = 0; i < routing->route_count; i++) {
		const struct routing_route *r = &routing->routes[i];
		size_t at = slot_of(routing, r->host, r->prefix);

		if (!is_valid(r) || find(routing, r->host, r->prefix))
			return PST_ERR_INVALID;
		while (routing->index[at])
			at = (at + 1) & (routing->index_size - 1);
		routing->index[at] = (uint32_t)i + 1;
	}
	return 0;
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

bool routing_allows_region(const struct routing_route *route, struct str region)
{
	if (!route->home_count)
		return true;
	for (size_t i = 0; i < route->home_count; i++) {
		if (str_eq(route->homes[i], region))
			return true;
	}
	return false;
}
