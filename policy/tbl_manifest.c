#include "policy/tbl_manifest.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/err.h"
#include "policy/jsonread.h"

#define MAX_LINK_MBPS  10000000

#define BYTES_PER_MBIT (1000 * 1000 / 8)

static void release_manifest(struct ref *ref)
{
	struct tbl_manifest *manifest =
		REF_CONTAINER(ref, struct tbl_manifest, ref);

	free(manifest->regions);
	free(manifest->domains);
	free(manifest->links);
	free(manifest->services);
	free(manifest->order);
	free(manifest);
}

static int compare_services(const void *a, const void *b, void *ctx)
{
	const struct strbuf *services = ctx;
	const uint32_t i = *(const uint32_t *)a;
	const uint32_t j = *(const uint32_t *)b;

	return str_cmp(strbuf_str(&services[i]), strbuf_str(&services[j]));
}

static int parse_regions(struct tbl_manifest *manifest, const json_t *list,
			 struct tbl_problem *problem)
{
	const size_t count = json_array_size(list);

	if (!count || count > TBL_MAX_REGIONS)
		return tbl_refuse(problem, STR_LIT(""), PST_ERR_INVALID,
				  "regions");
	manifest->regions = calloc(count, sizeof(*manifest->regions));
	if (!manifest->regions)
		return PST_ERR_NOMEM;
	for (size_t i = 0; i < count; i++) {
		struct strbuf *name = &manifest->regions[i].name;

		if (jsonread_name(json_array_get(list, i), name) ||
		    tbl_manifest_region(manifest, strbuf_str(name)) >= 0)
			return tbl_refuse(problem, STR_LIT(""), PST_ERR_INVALID,
					  "regions[%zu]", i);
		manifest->region_count = i + 1;
	}
	return 0;
}

static int parse_region_ref(const struct tbl_manifest *manifest,
			    const json_t *value, uint32_t *out)
{
	struct strbuf name;
	int found;

	if (jsonread_name(value, &name))
		return PST_ERR_INVALID;
	found = tbl_manifest_region(manifest, strbuf_str(&name));
	if (found < 0)
		return PST_ERR_INVALID;
	*out = (uint32_t)found;
	return 0;
}

static int parse_domains(struct tbl_manifest *manifest, const json_t *list,
			 struct tbl_problem *problem)
{
	const size_t count = json_array_size(list);

	if (!count || count > TBL_MAX_DOMAINS)
		return tbl_refuse(problem, STR_LIT(""), PST_ERR_INVALID,
				  "domains");
	manifest->domains = calloc(count, sizeof(*manifest->domains));
	if (!manifest->domains)
		return PST_ERR_NOMEM;
	for (size_t i = 0; i < count; i++) {
		const json_t *entry = json_array_get(list, i);
		struct tbl_domain *domain = &manifest->domains[i];

		if (jsonread_name(json_object_get(entry, "name"),
				  &domain->name) ||
		    tbl_manifest_domain(manifest, strbuf_str(&domain->name)) >=
			    0 ||
		    parse_region_ref(manifest, json_object_get(entry, "region"),
				     &domain->region))
			return tbl_refuse(problem, STR_LIT(""), PST_ERR_INVALID,
					  "domains[%zu]", i);
		manifest->domain_count = i + 1;
	}
	return 0;
}

static bool has_link(const struct tbl_manifest *manifest,
		     const struct tbl_link *link)
{
	for (size_t i = 0; i < manifest->link_count; i++) {
		if (manifest->links[i].from == link->from &&
		    manifest->links[i].to == link->to)
			return true;
	}
	return false;
}

static int parse_link(const struct tbl_manifest *manifest, const json_t *entry,
		      struct tbl_link *link)
{
	uint64_t mbps;

	if (parse_region_ref(manifest, json_object_get(entry, "from"),
			     &link->from) ||
	    parse_region_ref(manifest, json_object_get(entry, "to"),
			     &link->to) ||
	    jsonread_u64(json_object_get(entry, "mbps"), 1, MAX_LINK_MBPS,
			 &mbps))
		return PST_ERR_INVALID;
	link->bytes_per_s = mbps * BYTES_PER_MBIT;
	return link->from == link->to || has_link(manifest, link)
		       ? PST_ERR_INVALID
		       : 0;
}

static int parse_links(struct tbl_manifest *manifest, const json_t *list,
		       struct tbl_problem *problem)
{
	const size_t count = json_array_size(list);

	if (count > manifest->region_count * manifest->region_count)
		return tbl_refuse(problem, STR_LIT(""), PST_ERR_INVALID,
				  "links");
	manifest->links = calloc(count + 1, sizeof(*manifest->links));
	if (!manifest->links)
		return PST_ERR_NOMEM;
	for (size_t i = 0; i < count; i++) {
		if (parse_link(manifest, json_array_get(list, i),
			       &manifest->links[i]))
			return tbl_refuse(problem, STR_LIT(""), PST_ERR_INVALID,
					  "links[%zu]", i);
		manifest->link_count = i + 1;
	}
	return 0;
}

static int sort_services(struct tbl_manifest *manifest,
			 struct tbl_problem *problem)
{
	const size_t count = manifest->service_count;

	for (size_t i = 0; i < count; i++)
		manifest->order[i] = (uint32_t)i;
	qsort_r(manifest->order, count, sizeof(*manifest->order),
		compare_services, manifest->services);
	for (size_t i = 1; i < count; i++) {
		const struct strbuf *name =
			&manifest->services[manifest->order[i]];

		if (strbuf_eq(name,
			      &manifest->services[manifest->order[i - 1]]))
			return tbl_refuse(problem, strbuf_str(name),
					  PST_ERR_INVALID, "services");
	}
	return 0;
}

static int parse_services(struct tbl_manifest *manifest, const json_t *list,
			  struct tbl_problem *problem)
{
	const size_t count = json_array_size(list);

	if (!count || count > TBL_MAX_SERVICES)
		return tbl_refuse(problem, STR_LIT(""), PST_ERR_INVALID,
				  "services");
	manifest->services = calloc(count, sizeof(*manifest->services));
	manifest->order = calloc(count, sizeof(*manifest->order));
	if (!manifest->services || !manifest->order)
		return PST_ERR_NOMEM;
	for (size_t i = 0; i < count; i++) {
		if (jsonread_name(json_array_get(list, i),
				  &manifest->services[i]))
			return tbl_refuse(problem, STR_LIT(""), PST_ERR_INVALID,
					  "services[%zu]", i);
	}
	manifest->service_count = count;
	return sort_services(manifest, problem);
}

static int parse_members(struct tbl_manifest *manifest, const json_t *root,
			 struct tbl_problem *problem)
{
	static const char *const known[] = {"regions", "domains", "links",
					    "services", NULL};
	const char *unknown;
	int err;

	if (!jsonread_members_known(root, known, &unknown))
		return tbl_refuse(problem, STR_LIT(""), PST_ERR_INVALID, "%s",
				  unknown);
	err = parse_regions(manifest, json_object_get(root, "regions"),
			    problem);
	if (!err)
		err = parse_domains(manifest, json_object_get(root, "domains"),
				    problem);
	if (!err)
		err = parse_links(manifest, json_object_get(root, "links"),
				  problem);
	if (!err)
		err = parse_services(
			manifest, json_object_get(root, "services"), problem);
	return err;
}

int tbl_manifest_parse(struct tbl_manifest **out, struct str json,
		       struct tbl_problem *problem)
{
	json_t *root = jsonread_parse(json);
	struct tbl_manifest *manifest;
	int err;

	if (!root)
		return tbl_refuse(problem, STR_LIT(""), PST_ERR_INVALID,
				  "manifest");
	manifest = calloc(1, sizeof(*manifest));
	if (!manifest) {
		json_decref(root);
		return PST_ERR_NOMEM;
	}
	ref_init(&manifest->ref, release_manifest);
	err = parse_members(manifest, root, problem);
	json_decref(root);
	if (err)
		ref_put(&manifest->ref);
	else
		*out = manifest;
	return err;
}

int tbl_manifest_region(const struct tbl_manifest *manifest, struct str name)
{
	for (size_t i = 0; i < manifest->region_count; i++) {
		if (str_eq(strbuf_str(&manifest->regions[i].name), name))
			return (int)i;
	}
	return -1;
}

int tbl_manifest_domain(const struct tbl_manifest *manifest, struct str name)
{
	for (size_t i = 0; i < manifest->domain_count; i++) {
		if (str_eq(strbuf_str(&manifest->domains[i].name), name))
			return (int)i;
	}
	return -1;
}

int tbl_manifest_service(const struct tbl_manifest *manifest, struct str name)
{
	size_t low = 0;
	size_t high = manifest->service_count;

	while (low < high) {
		const size_t middle = (low + high) / 2;
		const uint32_t i = manifest->order[middle];
		const int order =
			str_cmp(strbuf_str(&manifest->services[i]), name);

		if (!order)
			return (int)i;
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return -1;
}

int tbl_refuse(struct tbl_problem *problem, struct str service, int err,
	       const char *cell, ...)
{
	va_list ap;
	int n;

	memset(problem, 0, sizeof(*problem));
	problem->err = err;
	strbuf_set(&problem->service, service);
	va_start(ap, cell);
	n = vsnprintf(problem->cell.ptr, sizeof(problem->cell.ptr), cell, ap);
	va_end(ap);
	problem->cell.len = (uint8_t)(n > STR_ID_MAX ? STR_ID_MAX : n);
	return err;
}
