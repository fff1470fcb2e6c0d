#include "policy/edit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/err.h"
#include "policy/jsonread.h"
#include "policy/tbl_manifest.h"

struct cell_name {
	const char *text;
	enum edit_kind kind;
	/* The text is followed by a dot and a name. */
	bool named;
};

static const struct cell_name cell_names[] = {
	{"deadline_ms", EDIT_DEADLINE, false},
	{"reserved_pct", EDIT_RESERVED, false},
	{"shift_cap_pct_per_s", EDIT_SHIFT_CAP, false},
	{"weight", EDIT_WEIGHT, true},
	{"region_limit", EDIT_REGION_LIMIT, true},
	{"link", EDIT_LINK, true},
};

static const char *member_name(enum edit_kind kind)
{
	switch (kind) {
	case EDIT_WEIGHT:
		return "weights";
	case EDIT_REGION_LIMIT:
		return "region_limits";
	case EDIT_LINK:
		return "mbps";
	case EDIT_DRAIN:
		return "drain";
	case EDIT_DEADLINE:
	case EDIT_RESERVED:
	case EDIT_SHIFT_CAP:
		break;
	}
	return cell_names[kind].text;
}

/* Splits s at its first dot; without one, *rest is empty. */
static struct str split_at_dot(struct str s, struct str *rest)
{
	const char *dot = s.len ? memchr(s.ptr, '.', s.len) : NULL;
	const size_t len = dot ? (size_t)(dot - s.ptr) : s.len;

	*rest = (struct str){.ptr = ""};
	if (dot)
		*rest = (struct str){.ptr = dot + 1, .len = s.len - len - 1};
	return (struct str){.ptr = s.ptr, .len = len};
}

static const struct cell_name *find_name(struct str word)
{
	for (size_t i = 0; i < sizeof(cell_names) / sizeof(*cell_names); i++) {
		if (str_eq(word, str_from_c(cell_names[i].text)))
			return &cell_names[i];
	}
	return NULL;
}

static int parse_link(struct str names, struct edit_cell *out)
{
	struct str to;
	const struct str from = split_at_dot(names, &to);

	if (!jsonread_name_valid(from) || !jsonread_name_valid(to))
		return PST_ERR_INVALID;
	strbuf_set(&out->name, from);
	return strbuf_set(&out->to, to);
}

int edit_cell_parse(struct str service, struct str rank, struct str cell,
		    struct edit_cell *out)
{
	struct str rest;
	const struct cell_name *name = find_name(split_at_dot(cell, &rest));

	memset(out, 0, sizeof(*out));
	if (!name || name->named != (rest.len > 0))
		return PST_ERR_INVALID;
	out->kind = name->kind;
	if (name->kind == EDIT_LINK)
		return parse_link(rest, out);
	if (!jsonread_name_valid(service) || rank_parse(rank, &out->rank))
		return PST_ERR_INVALID;
	if (name->named && !jsonread_name_valid(rest))
		return PST_ERR_INVALID;
	strbuf_set(&out->name, rest);
	return strbuf_set(&out->service, service);
}

int edit_cell_drain(struct str vm, struct edit_cell *out)
{
	memset(out, 0, sizeof(*out));
	out->kind = EDIT_DRAIN;
	if (!jsonread_name_valid(vm))
		return PST_ERR_INVALID;
	return strbuf_set(&out->name, vm);
}

void edit_cell_key(const struct edit_cell *cell, char out[EDIT_KEY_MAX])
{
	if (cell->kind == EDIT_DRAIN)
		snprintf(out, EDIT_KEY_MAX, "%s%s", EDIT_PREFIX_DRAIN,
			 cell->name.ptr);
	else if (cell->kind == EDIT_LINK)
		snprintf(out, EDIT_KEY_MAX, "%s", TBL_KEY_MANIFEST);
	else
		snprintf(out, EDIT_KEY_MAX, "%s%s", TBL_PREFIX_SERVICE,
			 cell->service.ptr);
}

static bool member_is(const json_t *object, const char *member,
		      const char *value)
{
	const char *text = json_string_value(json_object_get(object, member));

	return text && !strcmp(text, value);
}

/*
 * Returns the object that has the cell as a member (a row, a link or a drain
 * mark), borrowed from root, or NULL.
 */
static json_t *find_container(const struct edit_cell *cell, json_t *root)
{
	const bool link = cell->kind == EDIT_LINK;
	size_t i;
	json_t *entry;

	if (cell->kind == EDIT_DRAIN)
		return root;
	json_array_foreach(json_object_get(root, link ? "links" : "rows"), i,
			   entry)
	{
		if (link && member_is(entry, "from", cell->name.ptr) &&
		    member_is(entry, "to", cell->to.ptr))
			return entry;
		if (!link && member_is(entry, "rank", rank_name(cell->rank)))
			return entry;
	}
	return NULL;
}

static bool is_map(const struct edit_cell *cell)
{
	return cell->kind == EDIT_WEIGHT || cell->kind == EDIT_REGION_LIMIT;
}

static json_t *find_value(const struct edit_cell *cell, json_t *root)
{
	json_t *container = find_container(cell, root);
	json_t *value = json_object_get(container, member_name(cell->kind));

	return is_map(cell) ? json_object_get(value, cell->name.ptr) : value;
}

void edit_cell_read(const struct edit_cell *cell, struct str part,
		    char out[EDIT_TEXT_MAX + 1])
{
	json_t *root = jsonread_parse(part);
	const json_t *value = find_value(cell, root);

	if (json_is_integer(value))
		snprintf(out, EDIT_TEXT_MAX + 1, "%lld",
			 (long long)json_integer_value(value));
	else if (json_is_boolean(value))
		snprintf(out, EDIT_TEXT_MAX + 1, "%d", json_is_true(value));
	else
		snprintf(out, EDIT_TEXT_MAX + 1, "-");
	json_decref(root);
}

static json_t *json_value(const struct edit_cell *cell, uint64_t value)
{
	return cell->kind == EDIT_DRAIN ? json_boolean(value)
					: json_integer((json_int_t)value);
}

static int set_value(const struct edit_cell *cell, json_t *root, uint64_t value)
{
	json_t *container = find_container(cell, root);
	const char *member = member_name(cell->kind);
	json_t *map;

	if (!container)
		return PST_ERR_NOTFOUND;
	if (value > INT64_MAX)
		return PST_ERR_INVALID;
	if (!is_map(cell))
		return json_object_set_new(container, member,
					   json_value(cell, value))
			       ? PST_ERR_NOMEM
			       : 0;
	map = json_object_get(container, member);
	if (!map && json_object_set_new(container, member, json_object()))
		return PST_ERR_NOMEM;
	map = json_object_get(container, member);
	return json_object_set_new(map, cell->name.ptr,
				   json_integer((json_int_t)value))
		       ? PST_ERR_NOMEM
		       : 0;
}

int edit_cell_write(const struct edit_cell *cell, struct str part,
		    uint64_t value, struct str *out)
{
	json_t *root = part.len || cell->kind != EDIT_DRAIN
			       ? jsonread_parse(part)
			       : json_object();
	int err = root ? set_value(cell, root, value) : PST_ERR_INVALID;

	if (!err) {
		out->ptr = json_dumps(root, JSON_COMPACT);
		err = out->ptr ? 0 : PST_ERR_NOMEM;
		out->len = out->ptr ? strlen(out->ptr) : 0;
	}
	json_decref(root);
	return err;
}

/*
 * Copies a manifest with this service alone, so that only one service's part
 * has to be parsed. Returns NULL when the manifest doesn't list the service.
 */
static char *manifest_with_service(struct str manifest, struct str service)
{
	json_t *root = jsonread_parse(manifest);
	const json_t *services = json_object_get(root, "services");
	bool listed = false;
	char *text = NULL;
	size_t i;
	json_t *name;

	json_array_foreach(services, i, name)
	{
		if (str_eq(str_from_c(json_string_value(name)), service))
			listed = true;
	}
	if (listed &&
	    !json_object_set_new(root, "services",
				 json_pack("[s%]", service.ptr, service.len)))
		text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return text;
}

int edit_check(struct str manifest, struct str service, struct str part,
	       struct tbl_problem *problem)
{
	char *one = manifest_with_service(manifest, service);
	char key[EDIT_KEY_MAX];
	struct tbl *tbl = NULL;
	int err;

	if (!one)
		return tbl_refuse(problem, service, PST_ERR_INVALID,
				  "(not in the manifest)");
	snprintf(key, sizeof(key), "%s%.*s", TBL_PREFIX_SERVICE,
		 STR_ARG(service));
	err = tbl_parse(&tbl,
			(struct tbl_part[]){
				{.key = STR_LIT(TBL_KEY_MANIFEST),
				 .value = str_from_c(one)},
				{.key = str_from_c(key), .value = part},
			},
			2, 1, problem);
	tbl_put(tbl);
	free(one);
	return err;
}

static size_t domains_missing(const struct tbl_manifest *from,
			      const struct tbl_manifest *in)
{
	size_t missing = 0;

	for (size_t d = 0; d < from->domain_count; d++)
		missing += tbl_manifest_domain(
				   in, strbuf_str(&from->domains[d].name)) < 0;
	return missing;
}

int edit_check_manifest(struct str old, struct str next,
			struct tbl_problem *problem)
{
	struct tbl_problem ignored;
	struct tbl_manifest *before = NULL;
	struct tbl_manifest *after = NULL;
	int err = tbl_manifest_parse(&after, next, problem);

	if (err || !after)
		return err;
	if (!old.len || tbl_manifest_parse(&before, old, &ignored) || !before) {
		ref_put(&after->ref);
		return 0;
	}
	if (domains_missing(before, after) + domains_missing(after, before) > 1)
		err = tbl_refuse(problem, STR_LIT(""), PST_ERR_INVALID,
				 "domains (more than one changed)");
	ref_put(&before->ref);
	ref_put(&after->ref);
	return err;
}

void edit_begin(struct edit *edit, const struct edit_cell *cell,
		const char *label, const char *wanted, apr_time_t give_up_at)
{
	*edit = (struct edit){
		.cell = *cell,
		.step = EDIT_STEP_READ,
		.give_up_at = give_up_at,
	};
	snprintf(edit->label, sizeof(edit->label), "%s", label);
	snprintf(edit->wanted, sizeof(edit->wanted), "%s", wanted);
}

static void finish(struct edit *edit, enum edit_step step, int err)
{
	edit->step = step;
	edit->err = err;
}

/*
 * Ends the edit when its time is up: as refused if no swap of it can still
 * take effect, otherwise as unknown.
 */
static bool end_if_timed_out(struct edit *edit, int err, apr_time_t now)
{
	if (now < edit->give_up_at)
		return false;
	finish(edit, edit->uncertain ? EDIT_STEP_UNKNOWN : EDIT_STEP_REFUSED,
	       err);
	return true;
}

void edit_on_read(struct edit *edit, int err, struct str part, apr_time_t now)
{
	char text[EDIT_TEXT_MAX + 1];

	if (err) {
		if (!end_if_timed_out(edit, err, now))
			edit->step = EDIT_STEP_READ;
		return;
	}
	edit_cell_read(&edit->cell, part, text);
	if (!edit->begun) {
		memcpy(edit->initial_value, text, sizeof(text));
		edit->begun = true;
	}
	if (strcmp(text, edit->initial_value) != 0 &&
	    strcmp(text, edit->wanted) != 0) {
		memcpy(edit->conflicting_value, text, sizeof(text));
		edit->conflict = true;
		edit->settled = true;
		if (edit->uncertain)
			edit->step = EDIT_STEP_READ_BACK;
		else
			finish(edit, EDIT_STEP_REFUSED, PST_ERR_CONFLICT);
		return;
	}
	edit->step = EDIT_STEP_SWAP;
}

void edit_on_swap(struct edit *edit, int err, uint64_t revision, apr_time_t now)
{
	switch (err) {
	case 0:
		edit->revision = revision;
		finish(edit, EDIT_STEP_DONE, 0);
		return;
	case PST_ERR_CONFLICT:
		/* A lost swap of this edit may be what changed the key. */
		edit->settled = true;
		edit->step =
			edit->uncertain ? EDIT_STEP_READ_BACK : EDIT_STEP_READ;
		return;
	case PST_ERR_UNAVAILABLE:
		if (!end_if_timed_out(edit, err, now))
			edit->step = EDIT_STEP_SWAP;
		return;
	default:
		edit->uncertain = true;
		edit->settled = false;
		edit->step = EDIT_STEP_READ_BACK;
		return;
	}
}

/*
 * While the record is absent, a delayed swap may still write it, until a key
 * that the swap compares has changed. Retrying the swap with the same revisions
 * is safe as well, since only one of the two can succeed.
 */
void edit_on_read_back(struct edit *edit, int err, bool found,
		       uint64_t revision, apr_time_t now)
{
	if (!err && found) {
		edit->revision = revision;
		finish(edit, EDIT_STEP_DONE, 0);
		return;
	}
	if (!err && edit->settled) {
		edit->uncertain = false;
		if (edit->conflict) {
			finish(edit, EDIT_STEP_REFUSED, PST_ERR_CONFLICT);
			return;
		}
	}
	if (end_if_timed_out(edit, err ? err : PST_ERR_TIMEOUT, now))
		return;
	edit->step = err ? EDIT_STEP_READ_BACK : EDIT_STEP_READ;
}
