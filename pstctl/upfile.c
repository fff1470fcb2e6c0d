#include "pstctl/upfile.h"

#include <stdio.h>
#include <stdlib.h>

#include "common/err.h"
#include "platform/plt_codec.h"

static int refuse(char *reason, const char *text, const char *id)
{
	snprintf(reason, UPFILE_REASON_MAX, "%s%s%.64s", text, *id ? ": " : "",
		 id);
	return PST_ERR_INVALID;
}

static int no_memory(char *reason)
{
	refuse(reason, err_text(PST_ERR_NOMEM), "");
	return PST_ERR_NOMEM;
}

/* Keeps a copy of the string in the document. */
static struct str keep(json_t *doc, struct str text)
{
	json_t *kept = json_object_get(doc, "kept");
	json_t *copy = json_stringn(text.ptr, text.len);

	if (!kept || json_array_append(kept, copy)) {
		json_decref(copy);
		return STR_LIT("");
	}
	json_decref(copy);
	return (struct str){.ptr = json_string_value(copy),
			    .len = json_string_length(copy)};
}

static int read_entry(json_t *doc, const char *id, const json_t *value,
		      struct manifestcheck_upstream *out, char *reason)
{
	const json_t *regions = json_object_get(doc, "regions");
	char *bytes = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
	struct registry_entry entry;
	char key[512];
	json_t *parsed;
	const json_t *region;
	int err;

	if (!bytes)
		return no_memory(reason);
	snprintf(key, sizeof(key), "%s%s", PLT_PREFIX_UPSTREAMS, id);
	err = plt_read_upstream(str_from_c(key), str_from_c(bytes), 1, &entry,
				&parsed);
	free(bytes);
	if (err) {
		json_decref(parsed);
		return refuse(reason, "not the entry of an upstream", id);
	}
	region = json_object_getn(regions, entry.domain.ptr, entry.domain.len);
	out->service = keep(doc, entry.service);
	out->region = json_is_string(region)
			      ? (struct str){json_string_value(region),
					     json_string_length(region)}
			      : keep(doc, entry.domain);
	json_decref(parsed);
	return out->service.len && out->region.len ? 0 : no_memory(reason);
}

int upfile_read(struct str text, struct upfile *out, char *reason)
{
	json_error_t error;
	json_t *doc = json_loadb(text.ptr, text.len, 0, &error);
	json_t *servers = json_object_get(doc, "servers");
	struct manifestcheck_upstream *list;
	const char *id;
	json_t *value;
	int err = 0;

	*out = (struct upfile){.doc = doc};
	if (!doc)
		return json_error_code(&error) == json_error_out_of_memory
			       ? no_memory(reason)
			       : refuse(reason, "not valid JSON", "");
	if (!json_is_object(servers))
		return refuse(reason, "it has no object servers", "");
	list = calloc(json_object_size(servers) + 1, sizeof(*list));
	out->ups.list = list;
	if (!list || json_object_set_new(doc, "kept", json_array()))
		return no_memory(reason);
	json_object_foreach(servers, id, value)
	{
		err = read_entry(doc, id, value, &list[out->ups.count], reason);
		if (err)
			break;
		out->ups.count++;
	}
	return err;
}

void upfile_free(struct upfile *upfile)
{
	free((void *)upfile->ups.list);
	json_decref(upfile->doc);
	*upfile = (struct upfile){0};
}
