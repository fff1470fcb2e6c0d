#include "policy/pts.h"

#include <malloc.h>
#include <stdlib.h>
#include <string.h>

#include <zlib.h>

#include "common/err.h"

#define FIRST_CAPACITY 16

/* Values shorter than this are kept as they are, in bytes. */
#define PACK_MIN 512

/* Lists of more bytes than this are given back to the system when freed. */
#define TRIM_BYTES ((size_t)4 * 1024 * 1024)

struct kept {
	/* The value's length is that of its text. */
	struct tbl_part part;
	/* Bytes kept, or 0 when they are the text itself. */
	size_t packed;
};

struct pts {
	/* Ordered by key. */
	struct kept *parts;
	size_t count;
	size_t capacity;
	uint64_t revision;
};

static int compare_revisions(const void *a, const void *b)
{
	const struct tbl_part *x = a;
	const struct tbl_part *y = b;

	return (x->mod_revision > y->mod_revision) -
	       (x->mod_revision < y->mod_revision);
}

/* Index of the first part whose key is not below key. */
static size_t lower_bound(const struct pts *pts, struct str key)
{
	size_t low = 0;
	size_t high = pts->count;

	while (low < high) {
		const size_t middle = (low + high) / 2;

		if (str_cmp(pts->parts[middle].part.key, key) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static bool holds(const struct pts *pts, size_t at, struct str key)
{
	return at < pts->count && str_eq(pts->parts[at].part.key, key);
}

static int copy_str(struct str from, struct str *out)
{
	char *bytes = malloc(from.len + 1);

	if (!bytes)
		return PST_ERR_NOMEM;
	if (from.len)
		memcpy(bytes, from.ptr, from.len);
	bytes[from.len] = '\0';
	*out = (struct str){.ptr = bytes, .len = from.len};
	return 0;
}

static int reserve(struct pts *pts)
{
	const size_t grown = pts->capacity ? pts->capacity * 2 : FIRST_CAPACITY;
	struct kept *parts;

	if (pts->count < pts->capacity)
		return 0;
	parts = realloc(pts->parts, grown * sizeof(*parts));
	if (!parts)
		return PST_ERR_NOMEM;
	pts->parts = parts;
	pts->capacity = grown;
	return 0;
}

static int insert(struct pts *pts, size_t at, struct str key)
{
	struct str copy;
	int err = reserve(pts);

	if (!err)
		err = copy_str(key, &copy);
	if (err)
		return err;
	memmove(&pts->parts[at + 1], &pts->parts[at],
		(pts->count - at) * sizeof(*pts->parts));
	pts->parts[at] = (struct kept){.part.key = copy};
	pts->count++;
	return 0;
}

static int pack(const struct tbl_part *part, struct kept *out)
{
	uLongf len = compressBound(part->value.len);
	char *bytes;
	char *fitted;

	*out = (struct kept){0};
	if (part->value.len < PACK_MIN)
		return copy_str(part->value, &out->part.value);
	bytes = malloc(len);
	if (!bytes)
		return PST_ERR_NOMEM;
	if (compress2((Bytef *)bytes, &len, (const Bytef *)part->value.ptr,
		      part->value.len, Z_BEST_SPEED) != Z_OK) {
		free(bytes);
		return PST_ERR_NOMEM;
	}
	fitted = realloc(bytes, len);
	out->part.value.ptr = fitted ? fitted : bytes;
	out->part.value.len = part->value.len;
	out->packed = len;
	return 0;
}

static int unpack(const struct kept *kept, struct str *out)
{
	const struct str value = kept->part.value;
	uLongf len = value.len;
	char *bytes;

	if (!kept->packed)
		return copy_str(value, out);
	bytes = malloc(value.len + 1);
	if (!bytes)
		return PST_ERR_NOMEM;
	if (uncompress((Bytef *)bytes, &len, (const Bytef *)value.ptr,
		       kept->packed) != Z_OK) {
		free(bytes);
		return PST_ERR_NOMEM;
	}
	bytes[len] = '\0';
	*out = (struct str){.ptr = bytes, .len = len};
	return 0;
}

static int take(struct pts *pts, const struct tbl_part *part, size_t *taken)
{
	const size_t at = lower_bound(pts, part->key);
	struct kept *kept;
	struct kept next;
	int err;

	if (holds(pts, at, part->key) &&
	    pts->parts[at].part.mod_revision >= part->mod_revision)
		return 0;
	err = pack(part, &next);
	if (err)
		return err;
	if (!holds(pts, at, part->key))
		err = insert(pts, at, part->key);
	if (err) {
		free((char *)next.part.value.ptr);
		return err;
	}
	kept = &pts->parts[at];
	free((char *)kept->part.value.ptr);
	kept->part.value = next.part.value;
	kept->packed = next.packed;
	kept->part.mod_revision = part->mod_revision;
	if (part->mod_revision > pts->revision)
		pts->revision = part->mod_revision;
	(*taken)++;
	return 0;
}

int pts_create(struct pts **out)
{
	*out = calloc(1, sizeof(**out));
	return *out ? 0 : PST_ERR_NOMEM;
}

void pts_destroy(struct pts *pts)
{
	if (!pts)
		return;
	pts_clear(pts);
	free(pts);
}

void pts_clear(struct pts *pts)
{
	for (size_t i = 0; i < pts->count; i++) {
		free((char *)pts->parts[i].part.key.ptr);
		free((char *)pts->parts[i].part.value.ptr);
	}
	free(pts->parts);
	pts->parts = NULL;
	pts->count = 0;
	pts->capacity = 0;
}

int pts_take(struct pts *pts, const struct tbl_part *parts, size_t count,
	     size_t *taken)
{
	*taken = 0;
	for (size_t i = 0; i < count; i++) {
		const int err = take(pts, &parts[i], taken);

		if (err)
			return err;
	}
	return 0;
}

uint64_t pts_revision(const struct pts *pts)
{
	return pts->revision;
}

size_t pts_count(const struct pts *pts)
{
	return pts->count;
}

/* Ends a list where its values exceed max_bytes, between two revisions. */
static size_t cut(const struct tbl_part *list, size_t count, size_t max_bytes)
{
	size_t bytes = 0;

	for (size_t i = 0; i < count; i++) {
		if (i && bytes > max_bytes &&
		    list[i].mod_revision != list[i - 1].mod_revision)
			return i;
		bytes += list[i].value.len;
	}
	return count;
}

/* Gives the listed parts their values; frees the list when it fails. */
static int load(const struct pts *pts, struct tbl_part *list, size_t count)
{
	for (size_t i = 0; i < count; i++)
		list[i].value.ptr = NULL;
	for (size_t i = 0; i < count; i++) {
		const struct kept *kept =
			&pts->parts[lower_bound(pts, list[i].key)];
		const int err = unpack(kept, &list[i].value);

		if (err) {
			pts_free(list, count);
			return err;
		}
	}
	return 0;
}

int pts_since(const struct pts *pts, uint64_t after, size_t max_bytes,
	      struct tbl_part **out, size_t *count, bool *more)
{
	struct tbl_part *list = calloc(pts->count + 1, sizeof(*list));
	size_t found = 0;
	int err;

	*out = NULL;
	*count = 0;
	if (!list)
		return PST_ERR_NOMEM;
	for (size_t i = 0; i < pts->count; i++) {
		if (pts->parts[i].part.mod_revision > after)
			list[found++] = pts->parts[i].part;
	}
	qsort(list, found, sizeof(*list), compare_revisions);
	*count = cut(list, found, max_bytes);
	*more = *count < found;
	err = load(pts, list, *count);
	if (!err)
		*out = list;
	return err;
}

int pts_prefix(const struct pts *pts, struct str prefix, struct tbl_part **out,
	       size_t *count)
{
	struct tbl_part *list = calloc(pts->count + 1, sizeof(*list));
	int err;

	*out = NULL;
	*count = 0;
	if (!list)
		return PST_ERR_NOMEM;
	for (size_t i = lower_bound(pts, prefix); i < pts->count; i++) {
		const struct str key = pts->parts[i].part.key;

		if (key.len < prefix.len ||
		    memcmp(key.ptr, prefix.ptr, prefix.len) != 0)
			break;
		list[(*count)++] = pts->parts[i].part;
	}
	err = load(pts, list, *count);
	if (!err)
		*out = list;
	return err;
}

void pts_free(struct tbl_part *list, size_t count)
{
	size_t bytes = 0;

	for (size_t i = 0; list && i < count; i++) {
		bytes += list[i].value.len;
		free((char *)list[i].value.ptr);
	}
	free(list);
	/* A whole table in pieces; the heap would stay that large. */
	if (bytes > TRIM_BYTES)
		malloc_trim(0);
}
