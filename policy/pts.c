#include "policy/pts.h"

#include <malloc.h>
#include <stdlib.h>
#include <string.h>

#include <zlib.h>

#include "common/err.h"

#define CAPACITY_MIN 16

/* Values shorter than this are kept uncompressed, in bytes. */
#define PACK_MIN 512

/* Size of a list above which freeing it returns memory to the system. */
#define TRIM_BYTES ((size_t)4 * 1024 * 1024)

struct stored {
	/* The length of its value is the uncompressed one. */
	struct tbl_part part;
	/* Compressed size in bytes, or 0 when uncompressed. */
	size_t packed;
};

struct pts {
	/* Ordered by key. */
	struct stored *parts;
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
	const size_t grown = pts->capacity ? pts->capacity * 2 : CAPACITY_MIN;
	struct stored *parts;

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
	pts->parts[at] = (struct stored){.part.key = copy};
	pts->count++;
	return 0;
}

static int pack(const struct tbl_part *part, struct stored *out)
{
	uLongf len = compressBound(part->value.len);
	char *bytes;
	char *fitted;

	*out = (struct stored){0};
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

static int unpack(const struct stored *stored, struct str *out)
{
	const struct str value = stored->part.value;
	uLongf len = value.len;
	char *bytes;

	if (!stored->packed)
		return copy_str(value, out);
	bytes = malloc(value.len + 1);
	if (!bytes)
		return PST_ERR_NOMEM;
	if (uncompress((Bytef *)bytes, &len, (const Bytef *)value.ptr,
		       stored->packed) != Z_OK) {
		free(bytes);
		return PST_ERR_NOMEM;
	}
	bytes[len] = '\0';
	*out = (struct str){.ptr = bytes, .len = len};
	return 0;
}

static int take_one(struct pts *pts, const struct tbl_part *part, size_t *taken)
{
	const size_t at = lower_bound(pts, part->key);
	struct stored *stored;
	struct stored next;
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
	stored = &pts->parts[at];
	free((char *)stored->part.value.ptr);
	stored->part.value = next.part.value;
	stored->packed = next.packed;
	stored->part.mod_revision = part->mod_revision;
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
		const int err = take_one(pts, &parts[i], taken);

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

/*
 * Number of parts after which the values exceed max_bytes, rounded up to the
 * end of a revision.
 */
static size_t count_within(const struct tbl_part *list, size_t count,
			   size_t max_bytes)
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

/* Unpacks the values of the listed parts; frees the list on failure. */
static int unpack_all(const struct pts *pts, struct tbl_part *list,
		      size_t count)
{
	for (size_t i = 0; i < count; i++)
		list[i].value.ptr = NULL;
	for (size_t i = 0; i < count; i++) {
		const struct stored *stored =
			&pts->parts[lower_bound(pts, list[i].key)];
		const int err = unpack(stored, &list[i].value);

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
	*count = count_within(list, found, max_bytes);
	*more = *count < found;
	err = unpack_all(pts, list, *count);
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
	err = unpack_all(pts, list, *count);
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
	/* A whole table is many small blocks, which the heap would keep. */
	if (bytes > TRIM_BYTES)
		malloc_trim(0);
}
