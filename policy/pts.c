#include "policy/pts.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"

#define FIRST_CAPACITY 16

struct pts {
	/* Ordered by key. */
	struct tbl_part *parts;
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

		if (str_cmp(pts->parts[middle].key, key) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static bool holds(const struct pts *pts, size_t at, struct str key)
{
	return at < pts->count && str_eq(pts->parts[at].key, key);
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
	struct tbl_part *parts;

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
	pts->parts[at] = (struct tbl_part){.key = copy};
	pts->count++;
	return 0;
}

static int take(struct pts *pts, const struct tbl_part *part, size_t *taken)
{
	const size_t at = lower_bound(pts, part->key);
	struct str value;
	int err;

	if (holds(pts, at, part->key) &&
	    pts->parts[at].mod_revision >= part->mod_revision)
		return 0;
	err = copy_str(part->value, &value);
	if (err)
		return err;
	if (!holds(pts, at, part->key))
		err = insert(pts, at, part->key);
	if (err) {
		free((char *)value.ptr);
		return err;
	}
	free((char *)pts->parts[at].value.ptr);
	pts->parts[at].value = value;
	pts->parts[at].mod_revision = part->mod_revision;
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
		free((char *)pts->parts[i].key.ptr);
		free((char *)pts->parts[i].value.ptr);
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

const struct tbl_part *pts_find(const struct pts *pts, struct str key)
{
	const size_t at = lower_bound(pts, key);

	return holds(pts, at, key) ? &pts->parts[at] : NULL;
}

int pts_since(const struct pts *pts, uint64_t after, struct tbl_part **out,
	      size_t *count)
{
	*count = 0;
	*out = calloc(pts->count + 1, sizeof(**out));
	if (!*out)
		return PST_ERR_NOMEM;
	for (size_t i = 0; i < pts->count; i++) {
		if (pts->parts[i].mod_revision > after)
			(*out)[(*count)++] = pts->parts[i];
	}
	qsort(*out, *count, sizeof(**out), compare_revisions);
	return 0;
}

int pts_prefix(const struct pts *pts, struct str prefix, struct tbl_part **out,
	       size_t *count)
{
	*count = 0;
	*out = calloc(pts->count + 1, sizeof(**out));
	if (!*out)
		return PST_ERR_NOMEM;
	for (size_t i = lower_bound(pts, prefix); i < pts->count; i++) {
		const struct str key = pts->parts[i].key;

		if (key.len < prefix.len ||
		    memcmp(key.ptr, prefix.ptr, prefix.len) != 0)
			break;
		(*out)[(*count)++] = pts->parts[i];
	}
	return 0;
}
