#include "policy/tbl.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"
#include "policy/jsn.h"
#include "policy/tbl_frame.h"

#define MAX_DEADLINE_MS 3600000
#define MAX_WEIGHT	1000000
#define PERCENT_MAX	100

/* The rows of one service, shared by the tables in which they are equal. */
struct cells {
	struct ref ref;
	struct tbl_row rows[RANK_COUNT];
	/* Weights and limits of all three ranks. */
	uint32_t *numbers;
};

struct full {
	struct tbl pub;
	struct tbl_frame *frame;
	/* One for each service. */
	struct cells **cells;
};

static const char *const rank_names[] = {
	[RANK_URGENT] = "urgent",
	[RANK_NORMAL] = "normal",
	[RANK_BULK] = "bulk",
};

static struct full *full_of(const struct tbl *tbl)
{
	return REF_CONTAINER(tbl, struct full, pub);
}

static void release_cells(struct ref *ref)
{
	struct cells *cells = REF_CONTAINER(ref, struct cells, ref);

	free(cells->numbers);
	free(cells);
}

static void release_table(struct ref *ref)
{
	struct full *full = REF_CONTAINER(ref, struct full, pub.ref);

	for (size_t i = 0; full->cells && i < full->pub.service_count; i++) {
		if (full->cells[i])
			ref_put(&full->cells[i]->ref);
	}
	free(full->cells);
	free(full->pub.rows);
	ref_put(&full->frame->ref);
	free(full);
}

static struct cells *cells_new(const struct tbl_frame *frame)
{
	const size_t width = frame->domain_count + frame->region_count;
	struct cells *cells = calloc(1, sizeof(*cells));

	if (!cells)
		return NULL;
	ref_init(&cells->ref, release_cells);
	cells->numbers = calloc(RANK_COUNT * width, sizeof(*cells->numbers));
	if (!cells->numbers) {
		free(cells);
		return NULL;
	}
	for (size_t r = 0; r < RANK_COUNT; r++) {
		struct tbl_row *row = &cells->rows[r];

		row->weights = cells->numbers + r * width;
		row->region_limits = row->weights + frame->domain_count;
		for (size_t i = 0; i < frame->region_count; i++)
			row->region_limits[i] = UINT32_MAX;
	}
	return cells;
}

struct row_ctx {
	const struct tbl_frame *frame;
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
		const int i = tbl_frame_domain(ctx->frame, str_from_c(name));

		if (i < 0 || jsn_u32(value, 0, MAX_WEIGHT, &row->weights[i]))
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
		const int i = tbl_frame_region(ctx->frame, str_from_c(name));

		if (i < 0 ||
		    jsn_u32(value, 0, UINT32_MAX, &row->region_limits[i]))
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

	if (!jsn_members_known(entry, known, &unknown))
		return refuse_cell(ctx, row->rank, unknown, "");
	if (jsn_u32(json_object_get(entry, "deadline_ms"), 1, MAX_DEADLINE_MS,
		    &row->deadline_ms))
		return refuse_cell(ctx, row->rank, "deadline_ms", "");
	if (jsn_u32(json_object_get(entry, "reserved_pct"), 0, PERCENT_MAX,
		    &row->reserved_pct))
		return refuse_cell(ctx, row->rank, "reserved_pct", "");
	if (jsn_u32(json_object_get(entry, "shift_cap_pct_per_s"), 1,
		    PERCENT_MAX, &row->shift_cap_pct_per_s))
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
		      struct cells *cells)
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
		cells->rows[rank].rank = rank;
		err = parse_row(ctx, entry, &cells->rows[rank]);
		if (err)
			return err;
		reserved += cells->rows[rank].reserved_pct;
	}
	if (reserved > PERCENT_MAX)
		return tbl_refuse(ctx->problem, ctx->service, PST_ERR_INVALID,
				  "reserved_pct (sum over ranks)");
	return 0;
}

static int parse_service(const struct row_ctx *ctx, struct str json,
			 struct cells **out)
{
	static const char *const known[] = {"rows", NULL};
	json_t *root = jsn_parse(json);
	struct cells *cells;
	const char *unknown;
	int err;

	if (!root || !jsn_members_known(root, known, &unknown)) {
		json_decref(root);
		return tbl_refuse(ctx->problem, ctx->service, PST_ERR_INVALID,
				  "rows");
	}
	cells = cells_new(ctx->frame);
	err = cells ? parse_rows(ctx, json_object_get(root, "rows"), cells)
		    : PST_ERR_NOMEM;
	json_decref(root);
	if (!err)
		*out = cells;
	else if (cells)
		ref_put(&cells->ref);
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

/* Parses the parts that are services of the manifest; ignores others. */
static int parse_parts(struct full *full, const struct tbl_part *parts,
		       size_t count, struct tbl_problem *problem)
{
	for (size_t i = 0; i < count; i++) {
		struct row_ctx ctx = {
			.frame = full->frame,
			.problem = problem,
		};
		struct cells *cells = NULL;
		int at;
		int err;

		if (!service_key(parts[i].key, &ctx.service))
			continue;
		at = tbl_frame_service(full->frame, ctx.service);
		if (at < 0)
			continue;
		err = parse_service(&ctx, parts[i].value, &cells);
		if (err)
			return err;
		for (size_t r = 0; r < RANK_COUNT; r++)
			cells->rows[r].service = (uint32_t)at;
		if (full->cells[at])
			ref_put(&full->cells[at]->ref);
		full->cells[at] = cells;
	}
	return 0;
}

static void take_cells(struct full *full, const struct full *base)
{
	for (size_t i = 0; i < full->pub.service_count; i++) {
		full->cells[i] = base->cells[i];
		ref_get(&full->cells[i]->ref);
	}
}

static int copy_rows(struct full *full, struct tbl_problem *problem)
{
	for (size_t i = 0; i < full->pub.service_count; i++) {
		if (!full->cells[i])
			return tbl_refuse(problem,
					  strbuf_str(&full->pub.services[i]),
					  PST_ERR_INVALID, "rows (no value)");
		memcpy(&full->pub.rows[i * RANK_COUNT], full->cells[i]->rows,
		       sizeof(full->cells[i]->rows));
	}
	return 0;
}

/* Takes over the reference to frame. */
static struct full *full_new(struct tbl_frame *frame, uint64_t revision)
{
	struct full *full = calloc(1, sizeof(*full));

	if (!full) {
		ref_put(&frame->ref);
		return NULL;
	}
	ref_init(&full->pub.ref, release_table);
	full->frame = frame;
	full->pub.revision = revision;
	full->pub.regions = frame->regions;
	full->pub.region_count = frame->region_count;
	full->pub.domains = frame->domains;
	full->pub.domain_count = frame->domain_count;
	full->pub.links = frame->links;
	full->pub.link_count = frame->link_count;
	full->pub.services = frame->services;
	full->pub.service_count = frame->service_count;
	full->cells = calloc(frame->service_count, sizeof(struct cells *));
	full->pub.rows = calloc(frame->service_count * RANK_COUNT,
				sizeof(*full->pub.rows));
	if (full->cells && full->pub.rows)
		return full;
	ref_put(&full->pub.ref);
	return NULL;
}

static int frame_for(struct tbl_frame **out, const struct tbl *base,
		     const struct tbl_part *parts, size_t count,
		     struct tbl_problem *problem)
{
	const struct tbl_part *manifest =
		find_part(parts, count, STR_LIT(TBL_KEY_MANIFEST));

	if (manifest)
		return tbl_frame_parse(out, manifest->value, problem);
	if (!base)
		return tbl_refuse(problem, STR_LIT(""), PST_ERR_INVALID,
				  "manifest");
	*out = full_of(base)->frame;
	ref_get(&(*out)->ref);
	return 0;
}

int tbl_apply(struct tbl **out, const struct tbl *base,
	      const struct tbl_part *parts, size_t count, uint64_t revision,
	      struct tbl_problem *problem)
{
	struct tbl_frame *frame = NULL;
	struct full *full;
	int err = frame_for(&frame, base, parts, count, problem);

	if (err || !frame)
		return err;
	full = full_new(frame, revision);
	if (!full)
		return PST_ERR_NOMEM;
	if (base && full->frame == full_of(base)->frame)
		take_cells(full, full_of(base));
	err = parse_parts(full, parts, count, problem);
	if (!err)
		err = copy_rows(full, problem);
	if (err)
		ref_put(&full->pub.ref);
	else
		*out = &full->pub;
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
	return tbl_frame_region(full_of(tbl)->frame, name);
}

int tbl_domain_find(const struct tbl *tbl, struct str name)
{
	return tbl_frame_domain(full_of(tbl)->frame, name);
}

int tbl_service_find(const struct tbl *tbl, struct str name)
{
	return tbl_frame_service(full_of(tbl)->frame, name);
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
