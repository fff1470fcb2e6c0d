#include "tests/fix_limits.h"

#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static json_t *text(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
static void name(struct strbuf *out, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static json_t *text(const char *fmt, ...)
{
	char out[64];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(out, sizeof(out), fmt, ap);
	va_end(ap);
	return json_string(out);
}

static void name(struct strbuf *out, const char *fmt, ...)
{
	char part[64];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(part, sizeof(part), fmt, ap);
	va_end(ap);
	strbuf_set(out, str_from_c(part));
}

static struct str dump(json_t *object)
{
	struct str out;

	out.ptr = json_dumps(object, 0);
	out.len = strlen(out.ptr);
	json_decref(object);
	return out;
}

static void release(struct ref *ref)
{
	struct vmlist *vmlist = REF_CONTAINER(ref, struct vmlist, ref);

	free(vmlist->vms);
	free(vmlist);
}

struct vmlist *fix_vml(size_t regions, size_t domains, size_t vms)
{
	struct vmlist *vmlist = calloc(1, sizeof(*vmlist));

	ref_init(&vmlist->ref, release);
	vmlist->revision = 1;
	vmlist->vms = calloc(regions * domains * vms, sizeof(*vmlist->vms));
	for (size_t r = 0; r < regions; r++) {
		for (size_t i = 0; i < domains * vms; i++) {
			struct vm *vm = &vmlist->vms[vmlist->count++];

			vm->kind = VM_ENTRY;
			vm->state = VM_LIVE;
			name(&vm->id, "r%zu-%zu-e%zu", r, i / vms, i % vms);
			name(&vm->region, "r%zu", r);
			name(&vm->domain, "r%zu-%zu", r, i / vms);
			name(&vm->address, "127.%zu.%zu.%zu", 10 + r % 100,
			     i / 200, 1 + i % 200);
		}
	}
	return vmlist;
}

static json_t *manifest(size_t regions, size_t domains, uint32_t mbps)
{
	json_t *names = json_array();
	json_t *list = json_array();
	json_t *links = json_array();

	for (size_t r = 0; r < regions; r++) {
		json_array_append_new(names, text("r%zu", r));
		for (size_t d = 0; d < domains; d++)
			json_array_append_new(
				list, json_pack("{s:o, s:o}", "name",
						text("r%zu-%zu", r, d),
						"region", text("r%zu", r)));
		for (size_t to = 0; to < regions; to++) {
			if (to != r)
				json_array_append_new(
					links,
					json_pack("{s:o, s:o, s:i}", "from",
						  text("r%zu", r), "to",
						  text("r%zu", to), "mbps",
						  (int)mbps));
		}
	}
	return json_pack("{s:o, s:o, s:o, s:[s]}", "regions", names, "domains",
			 list, "links", links, "services", "status");
}

static json_t *row(const char *rank, size_t regions, size_t domains,
		   uint32_t region_limit)
{
	json_t *weights = json_object();
	json_t *limits = json_object();
	char key[64];

	for (size_t r = 0; r < regions; r++) {
		for (size_t d = 0; d < domains; d++) {
			snprintf(key, sizeof(key), "r%zu-%zu", r, d);
			json_object_set_new(weights, key, json_integer(10));
		}
		snprintf(key, sizeof(key), "r%zu", r);
		if (region_limit)
			json_object_set_new(limits, key,
					    json_integer(region_limit));
	}
	return json_pack("{s:s, s:i, s:i, s:i, s:o, s:o}", "rank", rank,
			 "deadline_ms", 1000, "reserved_pct", 20,
			 "shift_cap_pct_per_s", 10, "weights", weights,
			 "region_limits", limits);
}

struct tbl *fix_tbl(size_t regions, size_t domains, uint32_t mbps,
		    uint32_t region_limit, uint64_t revision)
{
	json_t *service =
		json_pack("{s:[o, o, o]}", "rows",
			  row("urgent", regions, domains, region_limit),
			  row("normal", regions, domains, 0),
			  row("bulk", regions, domains, 0));
	struct tbl_part parts[] = {
		{
			.key = STR_LIT(TBL_KEY_MANIFEST),
			.mod_revision = revision,
			.value = dump(manifest(regions, domains, mbps)),
		},
		{
			.key = STR_LIT(TBL_PREFIX_SERVICE "status"),
			.mod_revision = revision,
			.value = dump(service),
		},
	};
	struct tbl_problem problem;
	struct tbl *tbl = NULL;

	if (tbl_parse(&tbl, parts, 2, revision, &problem))
		abort();
	free((void *)(uintptr_t)parts[0].value.ptr);
	free((void *)(uintptr_t)parts[1].value.ptr);
	return tbl;
}
