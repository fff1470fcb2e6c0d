#include "fakes/platform/etcd.h"

#include <stdlib.h>
#include <string.h>

#include <apr_base64.h>

#define TXN_MAX_OPS 128

/* The gateway accepts member names in snake case and in camel case. */
static const json_t *member(const json_t *object, const char *snake,
			    const char *camel)
{
	const json_t *found = json_object_get(object, snake);

	return found ? found : json_object_get(object, camel);
}

static uint64_t to_number(const json_t *value)
{
	uint64_t number = 0;

	if (json_is_integer(value))
		return (uint64_t)json_integer_value(value);
	if (json_is_string(value))
		str_to_u64(str_from_c(json_string_value(value)), &number);
	return number;
}

static json_t *number_text(uint64_t number)
{
	return json_sprintf("%llu", (unsigned long long)number);
}

static json_t *bytes_text(struct str bytes)
{
	char *text = malloc((size_t)apr_base64_encode_len((int)bytes.len));
	json_t *out;

	if (!text)
		return NULL;
	apr_base64_encode(text, bytes.ptr, (int)bytes.len);
	out = json_string(text);
	free(text);
	return out;
}

char *etcdjson_bytes(const json_t *object, const char *name, size_t *len)
{
	const char *text = json_string_value(json_object_get(object, name));
	char *bytes;

	if (!text)
		text = "";
	bytes = malloc((size_t)apr_base64_decode_len(text) + 1);
	if (!bytes)
		abort();
	*len = (size_t)apr_base64_decode(bytes, text);
	return bytes;
}

uint64_t etcdjson_number(const json_t *object, const char *name)
{
	return to_number(json_object_get(object, name));
}

json_t *etcdjson_header(uint64_t revision)
{
	json_t *header = json_object();

	json_object_set_new(header, "cluster_id", json_string("1"));
	json_object_set_new(header, "member_id", json_string("1"));
	json_object_set_new(header, "revision", number_text(revision));
	json_object_set_new(header, "raft_term", json_string("1"));
	return header;
}

json_t *etcdjson_item(const struct memstore_item *item)
{
	json_t *out = json_object();

	json_object_set_new(out, "key", bytes_text(item->key));
	json_object_set_new(out, "create_revision",
			    number_text(item->create_revision));
	json_object_set_new(out, "mod_revision",
			    number_text(item->mod_revision));
	json_object_set_new(out, "version", number_text(item->version));
	json_object_set_new(out, "value", bytes_text(item->value));
	if (item->lease)
		json_object_set_new(out, "lease", number_text(item->lease));
	return out;
}

static json_t *answer(const struct memstore *store)
{
	json_t *out = json_object();

	json_object_set_new(out, "header",
			    etcdjson_header(memstore_revision(store)));
	return out;
}

json_t *etcdjson_range(const struct memstore *store, const json_t *request)
{
	json_t *out = answer(store);
	json_t *kvs = json_array();
	uint64_t limit = etcdjson_number(request, "limit");
	struct str key;
	struct str end;
	size_t first;
	size_t count;

	key.ptr = etcdjson_bytes(request, "key", &key.len);
	end.ptr = etcdjson_bytes(request, "range_end", &end.len);
	first = memstore_range(store, key, end, &count);
	for (size_t i = 0; i < count && (!limit || i < limit); i++)
		json_array_append_new(
			kvs, etcdjson_item(memstore_at(store, first + i)));
	free((void *)(uintptr_t)key.ptr);
	free((void *)(uintptr_t)end.ptr);
	if (count) {
		json_object_set_new(out, "kvs", kvs);
		json_object_set_new(out, "count", number_text(count));
	} else {
		json_decref(kvs);
	}
	return out;
}

static struct memstore_op put_op(const json_t *request)
{
	struct memstore_op op = {.lease = etcdjson_number(request, "lease")};

	op.key.ptr = etcdjson_bytes(request, "key", &op.key.len);
	op.value.ptr = etcdjson_bytes(request, "value", &op.value.len);
	op.end.ptr = NULL;
	return op;
}

static struct memstore_op delete_op(const json_t *request)
{
	struct memstore_op op = {.is_delete = true};

	op.key.ptr = etcdjson_bytes(request, "key", &op.key.len);
	op.end.ptr = etcdjson_bytes(request, "range_end", &op.end.len);
	op.value.ptr = NULL;
	return op;
}

static void free_op(struct memstore_op *op)
{
	free((void *)(uintptr_t)op->key.ptr);
	free((void *)(uintptr_t)op->end.ptr);
	free((void *)(uintptr_t)op->value.ptr);
}

static json_t *apply_one(struct memstore *store, struct memstore_op op)
{
	const int err = memstore_apply(store, &op, 1);

	free_op(&op);
	return err ? NULL : answer(store);
}

json_t *etcdjson_put(struct memstore *store, const json_t *request)
{
	return apply_one(store, put_op(request));
}

json_t *etcdjson_delete(struct memstore *store, const json_t *request)
{
	return apply_one(store, delete_op(request));
}

static bool compare_number(uint64_t actual, const char *relation,
			   uint64_t wanted)
{
	if (relation && !strcmp(relation, "GREATER"))
		return actual > wanted;
	if (relation && !strcmp(relation, "LESS"))
		return actual < wanted;
	if (relation && !strcmp(relation, "NOT_EQUAL"))
		return actual != wanted;
	return actual == wanted;
}

static bool compare_value(const struct memstore_item *item,
			  const json_t *compare)
{
	struct str wanted;
	bool same;

	wanted.ptr = etcdjson_bytes(compare, "value", &wanted.len);
	same = item && str_eq(item->value, wanted);
	free((void *)(uintptr_t)wanted.ptr);
	return same;
}

static bool holds(const struct memstore *store, const json_t *compare)
{
	const char *target =
		json_string_value(json_object_get(compare, "target"));
	const char *relation =
		json_string_value(json_object_get(compare, "result"));
	const struct memstore_item *item;
	struct str key;

	key.ptr = etcdjson_bytes(compare, "key", &key.len);
	item = memstore_get(store, key);
	free((void *)(uintptr_t)key.ptr);
	if (target && !strcmp(target, "VALUE"))
		return compare_value(item, compare);
	if (target && !strcmp(target, "CREATE"))
		return compare_number(
			item ? item->create_revision : 0, relation,
			to_number(member(compare, "create_revision",
					 "createRevision")));
	if (target && !strcmp(target, "MOD"))
		return compare_number(item ? item->mod_revision : 0, relation,
				      to_number(member(compare, "mod_revision",
						       "modRevision")));
	return compare_number(item ? item->version : 0, relation,
			      etcdjson_number(compare, "version"));
}

/* Writes come first: reads return the state at the answer's revision. */
static json_t *run_ops(struct memstore *store, const json_t *list, int *err)
{
	struct memstore_op ops[TXN_MAX_OPS];
	json_t *responses = json_array();
	size_t count = 0;
	size_t i;
	json_t *one;

	json_array_foreach(list, i, one)
	{
		const json_t *put = member(one, "request_put", "requestPut");
		const json_t *del = member(one, "request_delete_range",
					   "requestDeleteRange");

		if (count < TXN_MAX_OPS && put)
			ops[count++] = put_op(put);
		else if (count < TXN_MAX_OPS && del)
			ops[count++] = delete_op(del);
	}
	*err = memstore_apply(store, ops, count);
	json_array_foreach(list, i, one)
	{
		const json_t *range =
			member(one, "request_range", "requestRange");
		json_t *entry = json_object();

		if (range)
			json_object_set_new(entry, "response_range",
					    etcdjson_range(store, range));
		else
			json_object_set_new(entry, "response_put",
					    answer(store));
		json_array_append_new(responses, entry);
	}
	while (count > 0)
		free_op(&ops[--count]);
	return responses;
}

json_t *etcdjson_txn(struct memstore *store, const json_t *request)
{
	bool succeeded = true;
	json_t *compare;
	json_t *responses;
	json_t *out;
	size_t i;
	int err;

	if (json_array_size(json_object_get(request, "success")) >
		    TXN_MAX_OPS ||
	    json_array_size(json_object_get(request, "failure")) > TXN_MAX_OPS)
		return NULL;
	json_array_foreach(json_object_get(request, "compare"), i, compare)
		succeeded = succeeded && holds(store, compare);
	responses = run_ops(
		store,
		json_object_get(request, succeeded ? "success" : "failure"),
		&err);
	if (err) {
		json_decref(responses);
		return NULL;
	}
	out = answer(store);
	/* The gateway leaves out members that are false. */
	if (succeeded)
		json_object_set_new(out, "succeeded", json_true());
	json_object_set_new(out, "responses", responses);
	return out;
}

static json_t *lease_answer(const struct memstore *store, uint64_t id,
			    uint64_t ttl)
{
	json_t *out = answer(store);

	json_object_set_new(out, "ID", number_text(id));
	json_object_set_new(out, "TTL", number_text(ttl));
	return out;
}

json_t *etcdjson_grant(struct memstore *store, const json_t *request,
		       apr_time_t now)
{
	const uint64_t ttl = etcdjson_number(request, "TTL");
	const uint64_t id = memstore_lease_grant(
		store, etcdjson_number(request, "ID"), ttl ? ttl : 1, now);

	return id ? lease_answer(store, id, ttl) : NULL;
}

json_t *etcdjson_renew(struct memstore *store, const json_t *request,
		       apr_time_t now)
{
	const uint64_t id = etcdjson_number(request, "ID");
	uint64_t ttl = 0;
	json_t *out = json_object();

	/* An expired lease is answered with a time to live of 0. */
	memstore_lease_renew(store, id, now, &ttl);
	json_object_set_new(out, "result", lease_answer(store, id, ttl));
	return out;
}

json_t *etcdjson_revoke(struct memstore *store, const json_t *request)
{
	if (memstore_lease_revoke(store, etcdjson_number(request, "ID")))
		return NULL;
	return answer(store);
}
