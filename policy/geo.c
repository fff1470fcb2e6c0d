#include "policy/geo.h"

#include <string.h>

#include "common/err.h"

static int find(const struct strbuf *names, int count, struct str name)
{
	for (int i = 0; i < count; i++) {
		if (str_eq(strbuf_str(&names[i]), name))
			return i;
	}
	return GEO_NONE;
}

static int add(struct geo *geo, struct str domain, struct str region)
{
	int r = find(geo->regions, geo->region_count, region);

	if (find(geo->domains, geo->domain_count, domain) != GEO_NONE)
		return PST_ERR_INVALID;
	if (geo->domain_count == GEO_MAX_DOMAINS)
		return PST_ERR_INVALID;
	if (r == GEO_NONE) {
		if (geo->region_count == GEO_MAX_REGIONS ||
		    strbuf_set(&geo->regions[geo->region_count], region))
			return PST_ERR_INVALID;
		r = geo->region_count++;
	}
	if (strbuf_set(&geo->domains[geo->domain_count], domain))
		return PST_ERR_INVALID;
	geo->region_of[geo->domain_count++] = r;
	return 0;
}

int geo_parse(struct geo *out, const struct str *pairs, size_t count)
{
	*out = (struct geo){0};
	for (size_t i = 0; i < count; i++) {
		const struct str p = pairs[i];
		const char *at = memchr(p.ptr, '=', p.len);
		struct str domain = {.ptr = p.ptr};
		struct str region;

		if (!at)
			return PST_ERR_INVALID;
		domain.len = (size_t)(at - p.ptr);
		region.ptr = at + 1;
		region.len = p.len - domain.len - 1;
		if (!domain.len || !region.len || add(out, domain, region))
			return PST_ERR_INVALID;
	}
	return 0;
}

int geo_domain(const struct geo *geo, struct str name)
{
	return find(geo->domains, geo->domain_count, name);
}

int geo_region(const struct geo *geo, struct str name)
{
	return find(geo->regions, geo->region_count, name);
}

int geo_region_of(const struct geo *geo, int domain)
{
	return domain < 0 ? GEO_NONE : geo->region_of[domain];
}
