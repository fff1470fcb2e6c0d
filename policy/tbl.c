#include "policy/tbl.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"
#include "policy/jsonread.h"
#include "policy/tbl_manifest.h"

#define MAX_DEADLINE_MS 3600000
#define MAX_WEIGHT	1000000
#define MAX_PERCENT	100

/* The rows of one service; shared by all tables in which they are equal. */
struct service_rows {
	struct ref ref;
	struct tbl_row by_rank[RANK_COUNT];
	/* Storage of the weights and region limits of all ranks. */
	uint32_t *values;
};

/* The public struct tbl with its private data. */
struct tbl_impl {
	struct tbl pub;
	struct tbl_manifest *manifest;
	/* Indexed by service. */
	struct service_rows **service_rows;
};

static const char *const rank_names[] = {
	[RANK_URGENT] = "urgent",
	[RANK_NORMAL] = "normal",
	[RANK_BULK] = "bulk",
};

static struct tbl_impl *impl_of(const struct tbl *tbl)
{
	return REF_CONTAINER(tbl, struct tbl_impl, pub);
}

static void release_service_rows(struct ref *ref)
{
	struct service_rows *rows =
		REF_CONTAINER(ref, struct service_rows, ref);

	free(rows->values);
	free(rows);
}

static void release_table(struct ref *ref)
{
	struct tbl_impl *impl = REF_CONTAINER(ref, struct tbl_impl, pub.ref);

	for (size_t i = 0; impl->service_rows && i < impl->pub.service_count;
	     i++) {
		if (impl->service_rows[i])
			ref_put(&impl->service_rows[i]->ref);
	}
	free(impl->service_rows);
	free(impl->pub.rows);
	ref_put(&impl->manifest->ref);
	free(impl);
}

static struct service_rows *
service_rows_new(const struct tbl_manifest *manifest)
{
	const size_t width = manifest->domain_count + manifest->region_count;
	struct service_rows *rows = calloc(1, sizeof(*rows));

	if (!rows)
		return NULL;
	ref_init(&rows->ref, release_service_rows);
	rows->values = calloc(RANK_COUNT * width, sizeof(*rows->values));
	if (!rows->values) {
		free(rows);
		return NULL;
	}
	for (size_t r = 0; r < RANK_COUNT; r++) {
		struct tbl_row *row = &rows->by_rank[r];

		row->weights = rows->values + r * width;
		row->region_limits = row->weights + manifest->domain_count;
		for (size_t i = 0; i < manifest->region_count; i++)
			row->region_limits[i] = UINT32_MAX;
	}
	return rows;
}

struct row_ctx {
	const struct tbl_manifest *manifest;
	struct str service;
	struct tbl_problem *problem;
};

static int refuse_cell(const struct row_ctx *ctx, enum rank rank,
		       const char *cell, const char *detail)
{
	return tbl_refuse(ctx->problem, ctx->service, PST_ERR_INVALID,
			  "%s.%s%s", rank_names[rank], cell, detail);
}

static int parse_weights(const struct row_ctx *ctx, const json_t *weights,
			 struct tbl_row *row)
{
	uint64_t sum = 0;
	const char *name;
	json_t *value;

	json_object_foreach((json_t *)weights, name, value)
	{
		const int i =
			tbl_manifest_domain(ctx->manifest, str_from_c(name));

		if (i < 0 ||
		    jsonread_u32(value, 0, MAX_WEIGHT, &row->weights[i]))
			return refuse_cell(ctx, row->rank, "weight.", name);
		sum += row->weights[i];
	}
	return sum ? 0 : refuse_cell(ctx, row->rank, "weights", "");
}

static int parse_limits(const struct row_ctx *ctx, const json_t *limits,
			struct tbl_row *row)
{
	const char *name;
	json_t *value;

	if (limits && !json_is_object(limits))
		return refuse_cell(ctx, row->rank, "region_limits", "");
	json_object_foreach((json_t *)limits, name, value)
	{
		const int i =
			tbl_manifest_region(ctx->manifest, str_from_c(name));

		if (i < 0 ||
		    jsonread_u32(value, 0, UINT32_MAX, &row->region_limits[i]))
			return refuse_cell(ctx, row->rank, "region_limit.",
					   name);
	}
	return 0;
}

static int parse_row(const struct row_ctx *ctx, const json_t *entry,
		     struct tbl_row *row)
{
	static const char *const known[] = {"rank",
					    "deadline_ms",
					    "reserved_pct",
					    "shift_cap_pct_per_s",
					    "weights",
					    "region_limits",
					    NULL};
	const char *unknown;
	int err;

	if (!jsonread_members_known(entry, known, &unknown))
		return refuse_cell(ctx, row->rank, unknown, "");
	if (jsonread_u32(json_object_get(entry, "deadline_ms"), 1,
			 MAX_DEADLINE_MS, &row->deadline_ms))
		return refuse_cell(ctx, row->rank, "deadline_ms", "");
	if (jsonread_u32(json_object_get(entry, "reserved_pct"), 0, MAX_PERCENT,
			 &row->reserved_pct))
		return refuse_cell(ctx, row->rank, "reserved_pct", "");
	if (jsonread_u32(json_object_get(entry, "shift_cap_pct_per_s"), 1,
			 MAX_PERCENT, &row->shift_cap_pct_per_s))
		return refuse_cell(ctx, row->rank, "shift_cap_pct_per_s", "");
	err = parse_weights(ctx, json_object_get(entry, "weights"), row);
	if (err)
		return err;
	return parse_limits(ctx, json_object_get(entry, "region_limits"), row);
}

static int entry_rank(const json_t *entry, enum rank *out)
{
	const char *name = json_string_value(json_object_get(entry, "rank"));

	return name ? rank_parse(str_from_c(name), out) : PST_ERR_INVALID;
}

static int parse_rows(const struct row_ctx *ctx, const json_t *list,
		      struct service_rows *rows)
{
	bool seen[RANK_COUNT] = {0};
	uint32_t reserved = 0;

	if (json_array_size(list) != RANK_COUNT)
		return tbl_refuse(ctx->problem, ctx->service, PST_ERR_INVALID,
				  "rows");
	for (size_t i = 0; i < RANK_COUNT; i++) {
		const json_t *entry = json_array_get(list, i);
		enum rank rank;
		int err;

		if (entry_rank(entry, &rank) || seen[rank])
			return tbl_refuse(ctx->problem, ctx->service,
					  PST_ERR_INVALID, "rows[%zu].rank", i);
		seen[rank] = true;
		rows->by_rank[rank].rank = rank;
		err = parse_row(ctx, entry, &rows->by_rank[rank]);
		if (err)
			return err;
		reserved += rows->by_rank[rank].reserved_pct;
	}
	if (reserved > MAX_PERCENT)
		return tbl_refuse(ctx->problem, ctx->service, PST_ERR_INVALID,
				  "reserved_pct (sum over ranks)");
	return 0;
}

static int parse_service(const struct row_ctx *ctx, struct str json,
			 struct service_rows **out)
{
	static const char *const known[] = {"rows", NULL};
	json_t *root = jsonread_parse(json);
	struct service_rows *rows;
	const char *unknown;
	int err;

	if (!root || !jsonread_members_known(root, known, &unknown)) {
		json_decref(root);
		return tbl_refuse(ctx->problem, ctx->service, PST_ERR_INVALID,
				  "rows");
	}
	rows = service_rows_new(ctx->manifest);
	err = rows ? parse_rows(ctx, json_object_get(root, "rows"), rows)
		   : PST_ERR_NOMEM;
	json_decref(root);
	if (!err)
		*out = rows;
	else if (rows)
		ref_put(&rows->ref);
	return err;
}

static const struct tbl_part *find_part(const struct tbl_part *parts,
					size_t count, struct str key)
{
	for (size_t i = 0; i < count; i++) {
		if (str_eq(parts[i].key, key))
			return &parts[i];
	}
	return NULL;
}

static bool service_key(struct str key, struct str *service)
{
	const struct str prefix = STR_LIT(TBL_PREFIX_SERVICE);

	if (key.len <= prefix.len)
		return false;
	if (memcmp(key.ptr, prefix.ptr, prefix.len) != 0)
		return false;
	service->ptr = key.ptr + prefix.len;
	service->len = key.len - prefix.len;
	return true;
}

/* Parses the parts of services in the manifest; ignores other parts. */
static int parse_parts(struct tbl_impl *impl, const struct tbl_part *parts,
		       size_t count, struct tbl_problem *problem)
{
	for (size_t i = 0; i < count; i++) {
		struct row_ctx ctx = {
			.manifest = impl->manifest,
			.problem = problem,
		};
		struct service_rows *rows = NULL;
		int at;
		int err;

		if (!service_key(parts[i].key, &ctx.service))
			continue;
		at = tbl_manifest_service(impl->manifest, ctx.service);
		if (at < 0)
			continue;
		err = parse_service(&ctx, parts[i].value, &rows);
		if (err)
			return err;
		for (size_t r = 0; r < RANK_COUNT; r++)
			rows->by_rank[r].service = (uint32_t)at;
		if (impl->service_rows[at])
			ref_put(&impl->service_rows[at]->ref);
		impl->service_rows[at] = rows;
	}
	return 0;
}

static void share_service_rows(struct tbl_impl *impl,
			       const struct tbl_impl *base)
{
	for (size_t i = 0; i < impl->pub.service_count; i++) {
		impl->service_rows[i] = base->service_rows[i];
		ref_get(&impl->service_rows[i]->ref);
	}
}

static int copy_rows(struct tbl_impl *impl, struct tbl_problem *problem)
{
	for (size_t i = 0; i < impl->pub.service_count; i++) {
		if (!impl->service_rows[i])
			return tbl_refuse(problem,
					  strbuf_str(&impl->pub.services[i]),
					  PST_ERR_INVALID, "rows (no value)");
		memcpy(&impl->pub.rows[i * RANK_COUNT],
		       impl->service_rows[i]->by_rank,
		       sizeof(impl->service_rows[i]->by_rank));
	}
	return 0;
}

/* Takes over the caller's reference to the manifest, also on failure. */
static struct tbl_impl *impl_new(struct tbl_manifest *manifest,
				 uint64_t revision)
{
	struct tbl_impl *impl = calloc(1, sizeof(*impl));

	if (!impl) {
		ref_put(&manifest->ref);
		return NULL;
	}
	ref_init(&impl->pub.ref, release_table);
	impl->manifest = manifest;
	impl->pub.revision = revision;
	impl->pub.regions = manifest->regions;
	impl->pub.region_count = manifest->region_count;
	impl->pub.domains = manifest->domains;
	impl->pub.domain_count = manifest->domain_count;
	impl->pub.links = manifest->links;
	impl->pub.link_count = manifest->link_count;
	impl->pub.services = manifest->services;
	impl->pub.service_count = manifest->service_count;
	impl->service_rows =
		calloc(manifest->service_count, sizeof(struct service_rows *));
	impl->pub.rows = calloc(manifest->service_count * RANK_COUNT,
				sizeof(*impl->pub.rows));
	if (impl->service_rows && impl->pub.rows)
		return impl;
	ref_put(&impl->pub.ref);
	return NULL;
}

static int get_manifest(struct tbl_manifest **out, const struct tbl *base,
			const struct tbl_part *parts, size_t count,
			struct tbl_problem *problem)
{
	const struct tbl_part *part =
		find_part(parts, count, STR_LIT(TBL_KEY_MANIFEST));

	if (part)
		return tbl_manifest_parse(out, part->value, problem);
	if (!base)
		return tbl_refuse(problem, STR_LIT(""), PST_ERR_INVALID,
				  "manifest");
	*out = impl_of(base)->manifest;
	ref_get(&(*out)->ref);
	return 0;
}

int tbl_apply(struct tbl **out, const struct tbl *base,
	      const struct tbl_part *parts, size_t count, uint64_t revision,
	      struct tbl_problem *problem)
{
	struct tbl_manifest *manifest = NULL;
	struct tbl_impl *impl;
	int err = get_manifest(&manifest, base, parts, count, problem);

	if (err || !manifest)
		return err;
	impl = impl_new(manifest, revision);
	if (!impl)
		return PST_ERR_NOMEM;
	if (base && impl->manifest == impl_of(base)->manifest)
		share_service_rows(impl, impl_of(base));
	err = parse_parts(impl, parts, count, problem);
	if (!err)
		err = copy_rows(impl, problem);
	if (err)
		ref_put(&impl->pub.ref);
	else
		*out = &impl->pub;
	return err;
}

int tbl_parse(struct tbl **out, const struct tbl_part *parts, size_t count,
	      uint64_t revision, struct tbl_problem *problem)
{
	return tbl_apply(out, NULL, parts, count, revision, problem);
}

void tbl_get(struct tbl *tbl)
{
	ref_get(&tbl->ref);
}

void tbl_put(struct tbl *tbl)
{
	if (tbl)
		ref_put(&tbl->ref);
}

int tbl_region_find(const struct tbl *tbl, struct str name)
{
	return tbl_manifest_region(impl_of(tbl)->manifest, name);
}

int tbl_domain_find(const struct tbl *tbl, struct str name)
{
	return tbl_manifest_domain(impl_of(tbl)->manifest, name);
}

int tbl_service_find(const struct tbl *tbl, struct str name)
{
	return tbl_manifest_service(impl_of(tbl)->manifest, name);
}

const struct tbl_row *tbl_row(const struct tbl *tbl, uint32_t service,
			      enum rank rank)
{
	return &tbl->rows[(size_t)service * RANK_COUNT + rank];
}

const char *rank_name(enum rank rank)
{
	return rank_names[rank];
}

int rank_parse(struct str name, enum rank *out)
{
	for (size_t i = 0; i < RANK_COUNT; i++) {
		if (str_eq(name, str_from_c(rank_names[i]))) {
			*out = (enum rank)i;
			return 0;
		}
	}
	return PST_ERR_INVALID;
}
