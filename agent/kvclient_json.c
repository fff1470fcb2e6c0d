#include "agent/kvclient_json.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_base64.h>

#include "common/err.h"

/* Longest decimal text of a 64-bit number, with its NUL. */
#define U64_TEXT 24

json_t *kvclient_json_bytes(struct str s)
{
	const int need = apr_base64_encode_len((int)s.len);
	char *text = malloc((size_t)need);
	json_t *out;

	if (!text)
		return NULL;
	apr_base64_encode_binary(text, (const unsigned char *)s.ptr,
				 (int)s.len);
	out = json_string(text);
	free(text);
	return out;
}

/* Returns 0 with *out owned by the caller, or PST_ERR_PROTOCOL. */
static int read_b64(const json_t *from, struct str *out)
{
	const char *text = json_string_value(from);
	char *plain;
	int len;

	if (!from) {
		*out = (struct str){.ptr = calloc(1, 1)};
		return out->ptr ? 0 : PST_ERR_NOMEM;
	}
	if (!text)
		return PST_ERR_PROTOCOL;
	plain = malloc((size_t)apr_base64_decode_len(text) + 1);
	if (!plain)
		return PST_ERR_NOMEM;
	len = apr_base64_decode_binary((unsigned char *)plain, text);
	plain[len] = '\0';
	*out = (struct str){.ptr = plain, .len = (size_t)len};
	return 0;
}

json_t *kvclient_json_u64(uint64_t value)
{
	char text[U64_TEXT];

	snprintf(text, sizeof(text), "%llu", (unsigned long long)value);
	return json_string(text);
}

/* The gateway leaves out zeros and writes 64-bit numbers as strings. */
int kvclient_json_read_u64(const json_t *from, uint64_t *out)
{
	*out = 0;
	if (!from)
		return 0;
	if (json_is_integer(from) && json_integer_value(from) >= 0) {
		*out = (uint64_t)json_integer_value(from);
		return 0;
	}
	if (!json_is_string(from))
		return PST_ERR_PROTOCOL;
	return str_to_u64(str_from_c(json_string_value(from)), out)
		       ? PST_ERR_PROTOCOL
		       : 0;
}

int kvclient_json_read_revision(const json_t *answer, uint64_t *out)
{
	const json_t *header = json_object_get(answer, "header");
	const int err = kvclient_json_read_u64(
		json_object_get(header, "revision"), out);

	return err || !*out ? PST_ERR_PROTOCOL : 0;
}

/* A range that ends at the key "\0" has no end. */
json_t *kvclient_json_range_end(struct str prefix)
{
	char end[KVCLIENT_KEY_MAX];

	if (!prefix.len)
		return kvclient_json_bytes(STR_LIT("\0"));
	memcpy(end, prefix.ptr, prefix.len);
	end[prefix.len - 1]++;
	return kvclient_json_bytes((struct str){.ptr = end, .len = prefix.len});
}

static int read_item(const json_t *kv, struct kvclient_item *item)
{
	int err = kvclient_json_read_u64(json_object_get(kv, "mod_revision"),
					 &item->mod_revision);

	if (!err)
		err = read_b64(json_object_get(kv, "key"), &item->key);
	if (!err)
		err = read_b64(json_object_get(kv, "value"), &item->value);
	return err;
}

int kvclient_json_read_list(const json_t *answer, struct kvclient_list *out)
{
	const json_t *kvs = json_object_get(answer, "kvs");
	const size_t count = json_array_size(kvs);
	int err = kvclient_json_read_revision(answer, &out->revision);

	if (err)
		return err;
	out->items = calloc(count + 1, sizeof(*out->items));
	if (!out->items)
		return PST_ERR_NOMEM;
	for (size_t i = 0; !err && i < count; i++) {
		out->count = i + 1;
		err = read_item(json_array_get(kvs, i), &out->items[i]);
	}
	return err;
}

json_t *kvclient_json_compare(const struct kvclient_change *change)
{
	return json_pack("{s:s, s:s, s:o, s:o}", "result", "EQUAL", "target",
			 "MOD", "key", kvclient_json_bytes(change->key),
			 "mod_revision", kvclient_json_u64(change->expected));
}

json_t *kvclient_json_put(const struct kvclient_change *change, uint64_t lease)
{
	json_t *put =
		json_pack("{s:o, s:o}", "key", kvclient_json_bytes(change->key),
			  "value", kvclient_json_bytes(change->value));

	if (lease)
		json_object_set_new(put, "lease", kvclient_json_u64(lease));
	return json_pack("{s:o}", "request_put", put);
}

json_t *kvclient_json_watch(struct str prefix, uint64_t after)
{
	return json_pack("{s:{s:o, s:o, s:o}}", "create_request", "key",
			 kvclient_json_bytes(prefix), "range_end",
			 kvclient_json_range_end(prefix), "start_revision",
			 kvclient_json_u64(after + 1));
}
