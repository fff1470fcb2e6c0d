#include "policy/head.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"
#include "policy/jsonread.h"

static json_t *json_keys(const struct str *keys, size_t count)
{
	json_t *list = json_array();

	for (size_t i = 0; i < count; i++)
		json_array_append_new(list,
				      json_stringn(keys[i].ptr, keys[i].len));
	return list;
}

/*
 * Returns an empty list after an edit of more than HEAD_MAX_KEYS keys, so that
 * readers with an older revision read all keys.
 */
static json_t *json_recent(const json_t *old, uint64_t old_revision,
			   const struct str *keys, size_t count)
{
	json_t *recent = json_array();
	size_t i;
	json_t *entry;

	if (count > HEAD_MAX_KEYS)
		return recent;
	json_array_append_new(recent,
			      json_pack("{s:I, s:o}", "after",
					(json_int_t)old_revision, "keys",
					json_keys(keys, count)));
	json_array_foreach(old, i, entry)
	{
		if (json_array_size(recent) == HEAD_MAX_RECENT)
			break;
		json_array_append(recent, entry);
	}
	return recent;
}

static bool add_key(char ***keys, size_t *count, const char *key)
{
	char **grown;

	for (size_t i = 0; i < *count; i++) {
		if (!strcmp((*keys)[i], key))
			return true;
	}
	grown = realloc(*keys, (*count + 1) * sizeof(*grown));
	if (!grown)
		return false;
	*keys = grown;
	grown[*count] = strdup(key);
	if (!grown[*count])
		return false;
	(*count)++;
	return true;
}

static int add_keys(const json_t *list, char ***keys, size_t *count)
{
	size_t i;
	json_t *value;

	if (!json_is_array(list))
		return PST_ERR_INVALID;
	json_array_foreach(list, i, value)
	{
		const char *key = json_string_value(value);

		if (!key)
			return PST_ERR_INVALID;
		if (!add_key(keys, count, key))
			return PST_ERR_NOMEM;
	}
	return 0;
}

static int collect_keys(const json_t *recent, uint64_t held, char ***keys,
			size_t *count)
{
	size_t i;
	json_t *entry;

	json_array_foreach(recent, i, entry)
	{
		uint64_t after;
		int err = jsonread_u64(json_object_get(entry, "after"), 0,
				       INT64_MAX, &after);

		if (!err)
			err = add_keys(json_object_get(entry, "keys"), keys,
				       count);
		if (err)
			return err;
		if (after <= held)
			return 0;
	}
	return PST_ERR_NOTFOUND;
}

int head_next(struct str old, uint64_t old_revision,
	      const struct head_edit *edit, const struct str *keys,
	      size_t count, struct str *out)
{
	json_t *before = old.len ? jsonread_parse(old) : NULL;
	json_t *root =
		json_pack("{s:s%, s:s%, s:s%, s:o}", "edit", edit->id.ptr,
			  edit->id.len, "who", edit->who.ptr, edit->who.len,
			  "when", edit->when.ptr, edit->when.len, "recent",
			  json_recent(json_object_get(before, "recent"),
				      old_revision, keys, count));

	json_decref(before);
	out->ptr = root ? json_dumps(root, JSON_COMPACT) : NULL;
	json_decref(root);
	if (!out->ptr)
		return PST_ERR_NOMEM;
	out->len = strlen(out->ptr);
	return 0;
}

int head_keys(struct str value, uint64_t held, char ***out, size_t *count)
{
	json_t *root = jsonread_parse(value);
	const json_t *recent = json_object_get(root, "recent");
	int err;

	*out = NULL;
	*count = 0;
	err = json_is_array(recent) ? collect_keys(recent, held, out, count)
				    : PST_ERR_INVALID;
	json_decref(root);
	if (err) {
		head_keys_free(*out, *count);
		*out = NULL;
		*count = 0;
	}
	return err;
}

void head_keys_free(char **keys, size_t count)
{
	for (size_t i = 0; i < count; i++)
		free(keys[i]);
	free(keys);
}

bool head_is_edit(struct str value, struct str id)
{
	json_t *root = jsonread_parse(value);
	const struct str edit =
		str_from_c(json_string_value(json_object_get(root, "edit")));
	const bool same = str_eq(edit, id);

	json_decref(root);
	return same;
}
