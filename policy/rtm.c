#include "policy/rtm.h"

#include <stdlib.h>

#include "common/err.h"

static void rtm_release(struct ref *ref)
{
	struct rtm *rtm = REF_CONTAINER(ref, struct rtm, ref);

	for (size_t i = 0; i < rtm->route_count; i++) {
		free(rtm->routes[i].homes);
		free(rtm->routes[i].parts);
	}
	free(rtm->routes);
	free(rtm->services);
	free(rtm->index);
	if (rtm->raw)
		rtm->raw_free(rtm->raw);
	free(rtm);
}

struct rtm *rtm_new(void)
{
	struct rtm *rtm = calloc(1, sizeof(*rtm));

	if (rtm)
		ref_init(&rtm->ref, rtm_release);
	return rtm;
}

static size_t slot_of(const struct rtm *rtm, struct str host, struct str prefix)
{
	return str_hash(prefix, str_hash(host, 0)) & (rtm->index_size - 1);
}

static const struct rtm_route *find(const struct rtm *rtm, struct str host,
				    struct str prefix)
{
	size_t at = slot_of(rtm, host, prefix);

	while (rtm->index[at]) {
		const struct rtm_route *r = &rtm->routes[rtm->index[at] - 1];

		if (str_eq(r->prefix, prefix) && str_eq(r->host, host))
			return r;
		at = (at + 1) & (rtm->index_size - 1);
	}
	return NULL;
}

static bool is_valid(const struct rtm_route *route)
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

int rtm_validate_and_index(struct rtm *rtm)
{
	rtm->index_size = 16;
	while (rtm->index_size < 2 * rtm->route_count)
		rtm->index_size *= 2;
	rtm->index = calloc(rtm->index_size, sizeof(*rtm->index));
	if (!rtm->index)
		return PST_ERR_NOMEM;
	for (size_t i = 0; i < rtm->route_count; i++) {
		const struct rtm_route *r = &rtm->routes[i];
		size_t at = slot_of(rtm, r->host, r->prefix);

		if (!is_valid(r) || find(rtm, r->host, r->prefix))
			return PST_ERR_INVALID;
		while (rtm->index[at])
			at = (at + 1) & (rtm->index_size - 1);
		rtm->index[at] = (uint32_t)i + 1;
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

const struct rtm_route *rtm_match(const struct rtm *rtm, struct str host,
				  struct str path)
{
	host = without_port(host);
	for (size_t i = 0; i < path.len; i++) {
		if (path.ptr[i] == '?' || path.ptr[i] == '#')
			path.len = i;
	}
	while (path.len) {
		const struct rtm_route *r;

		if (path.ptr[path.len - 1] == '/') {
			r = find(rtm, host, path);
			if (r)
				return r;
		}
		path.len--;
	}
	return NULL;
}

const struct rtm_service *rtm_service(const struct rtm *rtm, struct str name)
{
	for (size_t i = 0; i < rtm->service_count; i++) {
		if (str_eq(rtm->services[i].name, name))
			return &rtm->services[i];
	}
	return NULL;
}

const struct rtm_backend *rtm_choose_backend(const struct rtm_route *route,
					     uint64_t draw)
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

bool rtm_allows_region(const struct rtm_route *route, struct str region)
{
	if (!route->home_count)
		return true;
	for (size_t i = 0; i < route->home_count; i++) {
		if (str_eq(route->homes[i], region))
			return true;
	}
	return false;
}
