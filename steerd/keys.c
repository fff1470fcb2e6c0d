#include "steerd/keys.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"
#include "platform/plt_changes.h"

struct key {
	/* The list_seq when the key was last seen. */
	unsigned seen_in;
	uint64_t revision;
	LIST_ENTRY(key) link;
	size_t name_len;
	size_t value_len;
	/* The name and then the value. */
	char text[];
};

static struct plt_item item_of(const struct key *key)
{
	return (struct plt_item){
		.key = {.ptr = key->text, .len = key->name_len},
		.value = {.ptr = key->text + key->name_len,
			  .len = key->value_len},
		.revision = key->revision,
	};
}

static void forget(struct keys *keys, struct key *key)
{
	apr_hash_set(keys->by_name, key->text, (apr_ssize_t)key->name_len,
		     NULL);
	LIST_REMOVE(key, link);
	free(key);
	keys->count--;
}

void keys_init(struct keys *keys, apr_pool_t *pool)
{
	*keys = (struct keys){.by_name = apr_hash_make(pool)};
	LIST_INIT(&keys->list);
}

int keys_note(struct keys *keys, const struct plt_item *item)
{
	struct key *key = apr_hash_get(keys->by_name, item->key.ptr,
				       (apr_ssize_t)item->key.len);

	buf_free(&keys->encoded);
	if (key)
		forget(keys, key);
	if (item->gone)
		return 0;
	key = malloc(sizeof(*key) + item->key.len + item->value.len);
	if (!key)
		return PST_ERR_NOMEM;
	key->seen_in = keys->list_seq;
	key->revision = item->revision;
	key->name_len = item->key.len;
	key->value_len = item->value.len;
	memcpy(key->text, item->key.ptr, key->name_len);
	if (key->value_len)
		memcpy(key->text + key->name_len, item->value.ptr,
		       key->value_len);
	apr_hash_set(keys->by_name, key->text, (apr_ssize_t)key->name_len, key);
	LIST_INSERT_HEAD(&keys->list, key, link);
	keys->count++;
	return 0;
}

void keys_each(const struct keys *keys,
	       void (*fn)(void *ctx, const struct plt_item *item), void *ctx)
{
	for (const struct key *key = LIST_FIRST(&keys->list); key;
	     key = LIST_NEXT(key, link)) {
		const struct plt_item item = item_of(key);

		fn(ctx, &item);
	}
}

void keys_begin_list(struct keys *keys)
{
	keys->list_seq++;
}

void keys_end_list(struct keys *keys, uint64_t revision,
		   void (*gone)(void *ctx, const struct plt_item *item),
		   void *ctx)
{
	struct key *next;

	for (struct key *key = LIST_FIRST(&keys->list); key; key = next) {
		struct plt_item item = item_of(key);

		next = LIST_NEXT(key, link);
		if (key->seen_in == keys->list_seq)
			continue;
		item.revision = revision;
		item.gone = true;
		gone(ctx, &item);
		forget(keys, key);
		buf_free(&keys->encoded);
	}
}

int keys_encode(struct keys *keys, uint64_t revision, struct str *out)
{
	const bool valid =
		keys->encoded.len && keys->encoded_revision == revision;
	struct plt_item *items = NULL;
	size_t count = 0;
	int err = 0;

	if (!valid) {
		items = malloc((keys->count + 1) * sizeof(*items));
		if (!items)
			return PST_ERR_NOMEM;
		for (const struct key *key = LIST_FIRST(&keys->list); key;
		     key = LIST_NEXT(key, link))
			items[count++] = item_of(key);
		buf_free(&keys->encoded);
		err = plt_put_list(&keys->encoded, items, count, revision);
		keys->encoded_revision = revision;
		free(items);
	}
	*out = buf_str(&keys->encoded);
	return err;
}
