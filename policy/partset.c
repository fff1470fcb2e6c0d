#include "policy/partset.h"

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

struct partset {
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
static size_t lower_bound(const struct partset *partset, struct str key)
{
	size_t low = 0;
	size_t high = partset->count;

	while (low < high) {
		const size_t middle = (low + high) / 2;

		if (str_cmp(partset->parts[middle].part.key, key) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static bool holds(const struct partset *partset, size_t at, struct str key)
{
	return at < partset->count && str_eq(partset->parts[at].part.key, key);
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

static int reserve(struct partset *partset)
{
	const size_t grown =
		partset->capacity ? partset->capacity * 2 : CAPACITY_MIN;
	struct stored *parts;

	if (partset->count < partset->capacity)
		return 0;
	parts = realloc(partset->parts, grown * sizeof(*parts));
	if (!parts)
		return PST_ERR_NOMEM;
	partset->parts = parts;
	partset->capacity = grown;
	return 0;
}

static int insert(struct partset *partset, size_t at, struct str key)
{
	struct str copy;
	int err = reserve(partset);

	if (!err)
		err = copy_str(key, &copy);
	if (err)
		return err;
	memmove(&partset->parts[at + 1], &partset->parts[at],
		(partset->count - at) * sizeof(*partset->parts));
	partset->parts[at] = (struct stored){.part.key = copy};
	partset->count++;
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

static int take_one(struct partset *partset, const struct tbl_part *part,
		    size_t *taken)
{
	const size_t at = lower_bound(partset, part->key);
	struct stored *stored;
	struct stored next;
	int err;

	if (holds(partset, at, part->key) &&
	    partset->parts[at].part.mod_revision >= part->mod_revision)
		return 0;
	err = pack(part, &next);
	if (err)
		return err;
	if (!holds(partset, at, part->key))
		err = insert(partset, at, part->key);
	if (err) {
		free((char *)next.part.value.ptr);
		return err;
	}
	stored = &partset->parts[at];
	free((char *)stored->part.value.ptr);
	stored->part.value = next.part.value;
	stored->packed = next.packed;
	stored->part.mod_revision = part->mod_revision;
	if (part->mod_revision > partset->revision)
		partset->revision = part->mod_revision;
	(*taken)++;
	return 0;
}

int partset_create(struct partset **out)
{
	*out = calloc(1, sizeof(**out));
	return *out ? 0 : PST_ERR_NOMEM;
}

void partset_destroy(struct partset *partset)
{
	if (!partset)
		return;
	partset_clear(partset);
	free(partset);
}

void partset_clear(struct partset *partset)
{
	for (size_t i = 0; i < partset->count; i++) {
		free((char *)partset->parts[i].part.key.ptr);
		free((char *)partset->parts[i].part.value.ptr);
	}
	free(partset->parts);
	partset->parts = NULL;
	partset->count = 0;
	partset->capacity = 0;
}

int partset_take(struct partset *partset, const struct tbl_part *parts,
		 size_t count, size_t *taken)
{
	*taken = 0;
	for (size_t i = 0; i < count; i++) {
		const int err = take_one(partset, &parts[i], taken);

		if (err)
			return err;
	}
	return 0;
}

uint64_t partset_revision(const struct partset *partset)
{
	return partset->revision;
}

size_t partset_count(const struct partset *partset)
{
	return partset->count;
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
static int unpack_all(const struct partset *partset, struct tbl_part *list,
		      size_t count)
{
	for (size_t i = 0; i < count; i++)
		list[i].value.ptr = NULL;
	for (size_t i = 0; i < count; i++) {
		const struct stored *stored =
			&partset->parts[lower_bound(partset, list[i].key)];
		const int err = unpack(stored, &list[i].value);

		if (err) {
			partset_free(list, count);
			return err;
		}
	}
	return 0;
}

int partset_since(const struct partset *partset, uint64_t after,
		  size_t max_bytes, struct tbl_part **out, size_t *count,
		  bool *more)
{
	struct tbl_part *list = calloc(partset->count + 1, sizeof(*list));
	size_t found = 0;
	int err;

	*out = NULL;
	*count = 0;
	if (!list)
		return PST_ERR_NOMEM;
	for (size_t i = 0; i < partset->count; i++) {
		if (partset->parts[i].part.mod_revision > after)
			list[found++] = partset->parts[i].part;
	}
	qsort(list, found, sizeof(*list), compare_revisions);
	*count = count_within(list, found, max_bytes);
	*more = *count < found;
	err = unpack_all(partset, list, *count);
	if (!err)
		*out = list;
	return err;
}

int partset_prefix(const struct partset *partset, struct str prefix,
		   struct tbl_part **out, size_t *count)
{
	struct tbl_part *list = calloc(partset->count + 1, sizeof(*list));
	int err;

	*out = NULL;
	*count = 0;
	if (!list)
		return PST_ERR_NOMEM;
	for (size_t i = lower_bound(partset, prefix); i < partset->count; i++) {
		const struct str key = partset->parts[i].part.key;

		if (key.len < prefix.len ||
		    memcmp(key.ptr, prefix.ptr, prefix.len) != 0)
			break;
		list[(*count)++] = partset->parts[i].part;
	}
	err = unpack_all(partset, list, *count);
	if (!err)
		*out = list;
	return err;
}

void partset_free(struct tbl_part *list, size_t count)
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
