#include "controld/drains.h"

#include <stdlib.h>

#include "common/err.h"
#include "policy/jsonread.h"

static bool is_drained(struct str value)
{
	json_t *root = jsonread_parse(value);
	const bool mark = json_is_true(json_object_get(root, "drain"));

	json_decref(root);
	return mark;
}

int drains_list(const struct partset *partset, struct liveness_drain **out,
		size_t *count)
{
	const struct str prefix = STR_LIT(DRAINS_PREFIX);
	struct tbl_part *parts;
	size_t part_count;
	int err = partset_prefix(partset, prefix, &parts, &part_count);

	*count = 0;
	if (err)
		return err;
	*out = calloc(part_count + 1, sizeof(**out));
	for (size_t i = 0; *out && i < part_count; i++) {
		const struct str key = parts[i].key;

		if (!is_drained(parts[i].value))
			continue;
		(*out)[(*count)++].id = (struct str){
			.ptr = key.ptr + prefix.len,
			.len = key.len - prefix.len,
		};
	}
	partset_free(parts, part_count);
	return *out ? 0 : PST_ERR_NOMEM;
}
