#include "policy/tbl_frame.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/err.h"
#include "policy/jsn.h"

/* Fastest link that a table may name, in Mbit/s. */
#define MAX_LINK_MBPS  10000000

#define BYTES_PER_MBIT (1000 * 1000 / 8)

static void release_frame(struct ref *ref)
{
	struct tbl_frame *frame = REF_CONTAINER(ref, struct tbl_frame, ref);

	free(frame->regions);
	free(frame->domains);
	free(frame->links);
	free(frame->services);
	free(frame->order);
	free(frame);
}

static int compare_services(const void *a, const void *b, void *ctx)
{
	const struct strbuf *services = ctx;
	const uint32_t i = *(const uint32_t *)a;
	const uint32_t j = *(const uint32_t *)b;

	return str_cmp(strbuf_str(&services[i]), strbuf_str(&services[j]));
}

static int parse_regions(struct tbl_frame *frame, const json_t *list,
			 struct tbl_problem *problem)
{
	const size_t count = json_array_size(list);

	if (!count || count > TBL_MAX_REGIONS)
		return tbl_refuse(problem, STR_LIT(""), PST_ERR_INVALID,
				  "regions");
	frame->regions = calloc(count, sizeof(*frame->regions));
	if (!frame->regions)
		return PST_ERR_NOMEM;
	for (size_t i = 0; i < count; i++) {
		struct strbuf *name = &frame->regions[i].name;

		if (jsn_name(json_array_get(list, i), name) ||
		    tbl_frame_region(frame, strbuf_str(name)) >= 0)
			return tbl_refuse(problem, STR_LIT(""), PST_ERR_INVALID,
					  "regions[%zu]", i);
		frame->region_count = i + 1;
	}
	return 0;
}

static int region_of(const struct tbl_frame *frame, const json_t *value,
		     uint32_t *out)
{
	struct strbuf name;
	int found;

	if (jsn_name(value, &name))
		return PST_ERR_INVALID;
	found = tbl_frame_region(frame, strbuf_str(&name));
	if (found < 0)
		return PST_ERR_INVALID;
	*out = (uint32_t)found;
	return 0;
}

static int parse_domains(struct tbl_frame *frame, const json_t *list,
			 struct tbl_problem *problem)
{
	const size_t count = json_array_size(list);

	if (!count || count > TBL_MAX_DOMAINS)
		return tbl_refuse(problem, STR_LIT(""), PST_ERR_INVALID,
				  "domains");
	frame->domains = calloc(count, sizeof(*frame->domains));
	if (!frame->domains)
		return PST_ERR_NOMEM;
	for (size_t i = 0; i < count; i++) {
		const json_t *entry = json_array_get(list, i);
		struct tbl_domain *domain = &frame->domains[i];

		if (jsn_name(json_object_get(entry, "name"), &domain->name) ||
		    tbl_frame_domain(frame, strbuf_str(&domain->name)) >= 0 ||
		    region_of(frame, json_object_get(entry, "region"),
			      &domain->region))
			return tbl_refuse(problem, STR_LIT(""), PST_ERR_INVALID,
					  "domains[%zu]", i);
		frame->domain_count = i + 1;
	}
	return 0;
}

static bool link_known(const struct tbl_frame *frame,
		       const struct tbl_link *link)
{
	for (size_t i = 0; i < frame->link_count; i++) {
		if (frame->links[i].from == link->from &&
		    frame->links[i].to == link->to)
			return true;
	}
	return false;
}

static int parse_link(const struct tbl_frame *frame, const json_t *entry,
		      struct tbl_link *link)
{
	uint64_t mbps;

	if (region_of(frame, json_object_get(entry, "from"), &link->from) ||
	    region_of(frame, json_object_get(entry, "to"), &link->to) ||
	    jsn_u64(json_object_get(entry, "mbps"), 1, MAX_LINK_MBPS, &mbps))
		return PST_ERR_INVALID;
	link->bytes_per_s = mbps * BYTES_PER_MBIT;
	return link->from == link->to || link_known(frame, link)
		       ? PST_ERR_INVALID
		       : 0;
}

static int parse_links(struct tbl_frame *frame, const json_t *list,
		       struct tbl_problem *problem)
{
	const size_t count = json_array_size(list);

	if (count > frame->region_count * frame->region_count)
		return tbl_refuse(problem, STR_LIT(""), PST_ERR_INVALID,
				  "links");
	frame->links = calloc(count + 1, sizeof(*frame->links));
	if (!frame->links)
		return PST_ERR_NOMEM;
	for (size_t i = 0; i < count; i++) {
		if (parse_link(frame, json_array_get(list, i),
			       &frame->links[i]))
			return tbl_refuse(problem, STR_LIT(""), PST_ERR_INVALID,
					  "links[%zu]", i);
		frame->link_count = i + 1;
	}
	return 0;
}

static int order_services(struct tbl_frame *frame, struct tbl_problem *problem)
{
	const size_t count = frame->service_count;

	for (size_t i = 0; i < count; i++)
		frame->order[i] = (uint32_t)i;
	qsort_r(frame->order, count, sizeof(*frame->order), compare_services,
		frame->services);
	for (size_t i = 1; i < count; i++) {
		const struct strbuf *name = &frame->services[frame->order[i]];

		if (strbuf_eq(name, &frame->services[frame->order[i - 1]]))
			return tbl_refuse(problem, strbuf_str(name),
					  PST_ERR_INVALID, "services");
	}
	return 0;
}

static int parse_services(struct tbl_frame *frame, const json_t *list,
			  struct tbl_problem *problem)
{
	const size_t count = json_array_size(list);

	if (!count || count > TBL_MAX_SERVICES)
		return tbl_refuse(problem, STR_LIT(""), PST_ERR_INVALID,
				  "services");
	frame->services = calloc(count, sizeof(*frame->services));
	frame->order = calloc(count, sizeof(*frame->order));
	if (!frame->services || !frame->order)
		return PST_ERR_NOMEM;
	for (size_t i = 0; i < count; i++) {
		if (jsn_name(json_array_get(list, i), &frame->services[i]))
			return tbl_refuse(problem, STR_LIT(""), PST_ERR_INVALID,
					  "services[%zu]", i);
	}
	frame->service_count = count;
	return order_services(frame, problem);
}

static int parse_members(struct tbl_frame *frame, const json_t *root,
			 struct tbl_problem *problem)
{
	static const char *const known[] = {"regions", "domains", "links",
					    "services", NULL};
	const char *unknown;
	int err;

	if (!jsn_members_known(root, known, &unknown))
		return tbl_refuse(problem, STR_LIT(""), PST_ERR_INVALID, "%s",
				  unknown);
	err = parse_regions(frame, json_object_get(root, "regions"), problem);
	if (!err)
		err = parse_domains(frame, json_object_get(root, "domains"),
				    problem);
	if (!err)
		err = parse_links(frame, json_object_get(root, "links"),
				  problem);
	if (!err)
		err = parse_services(frame, json_object_get(root, "services"),
				     problem);
	return err;
}

int tbl_frame_parse(struct tbl_frame **out, struct str json,
		    struct tbl_problem *problem)
{
	json_t *root = jsn_parse(json);
	struct tbl_frame *frame;
	int err;

	if (!root)
		return tbl_refuse(problem, STR_LIT(""), PST_ERR_INVALID,
				  "manifest");
	frame = calloc(1, sizeof(*frame));
	if (!frame) {
		json_decref(root);
		return PST_ERR_NOMEM;
	}
	ref_init(&frame->ref, release_frame);
	err = parse_members(frame, root, problem);
	json_decref(root);
	if (err)
		ref_put(&frame->ref);
	else
		*out = frame;
	return err;
}

int tbl_frame_region(const struct tbl_frame *frame, struct str name)
{
	for (size_t i = 0; i < frame->region_count; i++) {
		if (str_eq(strbuf_str(&frame->regions[i].name), name))
			return (int)i;
	}
	return -1;
}

int tbl_frame_domain(const struct tbl_frame *frame, struct str name)
{
	for (size_t i = 0; i < frame->domain_count; i++) {
		if (str_eq(strbuf_str(&frame->domains[i].name), name))
			return (int)i;
	}
	return -1;
}

int tbl_frame_service(const struct tbl_frame *frame, struct str name)
{
	size_t low = 0;
	size_t high = frame->service_count;

	while (low < high) {
		const size_t middle = (low + high) / 2;
		const uint32_t i = frame->order[middle];
		const int order =
			str_cmp(strbuf_str(&frame->services[i]), name);

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
