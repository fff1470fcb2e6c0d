#include "policy/jsonread.h"

#include <ctype.h>

#include "common/err.h"

static bool is_name_char(char c)
{
	return isalnum((unsigned char)c) || c == '.' || c == '-' || c == '_';
}

static bool is_allowed(const char *name, const char *const *allowed)
{
	for (; *allowed; allowed++) {
		if (str_eq(str_from_c(name), str_from_c(*allowed)))
			return true;
	}
	return false;
}

bool jsonread_name_valid(struct str s)
{
	if (!s.len || s.len > STR_ID_MAX)
		return false;
	for (size_t i = 0; i < s.len; i++) {
		if (!is_name_char(s.ptr[i]))
			return false;
	}
	return true;
}

int jsonread_name(const json_t *value, struct strbuf *out)
{
	const struct str s = {
		.ptr = json_string_value(value),
		.len = json_string_length(value),
	};

	if (!s.ptr || !jsonread_name_valid(s))
		return PST_ERR_INVALID;
	return strbuf_set(out, s);
}

int jsonread_u64(const json_t *value, uint64_t min, uint64_t max, uint64_t *out)
{
	json_int_t number;

	if (!json_is_integer(value))
		return PST_ERR_INVALID;
	number = json_integer_value(value);
	if (number < 0 || (uint64_t)number < min || (uint64_t)number > max)
		return PST_ERR_INVALID;
	*out = (uint64_t)number;
	return 0;
}

int jsonread_u32(const json_t *value, uint32_t min, uint32_t max, uint32_t *out)
{
	uint64_t number;
	const int err = jsonread_u64(value, min, max, &number);

	if (!err)
		*out = (uint32_t)number;
	return err;
}

bool jsonread_members_known(const json_t *object, const char *const *allowed,
			    const char **unknown)
{
	const char *key;
	json_t *value;

	json_object_foreach((json_t *)object, key, value)
	{
		if (!is_allowed(key, allowed)) {
			*unknown = key;
			return false;
		}
	}
	return true;
}

json_t *jsonread_parse(struct str text)
{
	json_t *root = json_loadb(text.ptr ? text.ptr : "", text.len,
				  JSON_REJECT_DUPLICATES, NULL);

	if (json_is_object(root))
		return root;
	json_decref(root);
	return NULL;
}
