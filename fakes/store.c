#include "fakes/store.h"

#include <stdlib.h>
#include <string.h>

#include "common/err.h"

/* Number of changes kept for watches. */
#define HISTORY_EVENTS 16384

struct lease {
	uint64_t id;
	uint64_t ttl_s;
	apr_time_t expires_at;
};

struct memstore {
	uint64_t revision;
	struct memstore_item *items;
	size_t count;
	size_t capacity;
	struct lease *leases;
	size_t lease_count;
	uint64_t next_lease;
	struct memstore_event *history;
	uint64_t event_count;
};

static struct str copy_str(struct str s)
{
	char *bytes = malloc(s.len + 1);

	if (!bytes)
		abort();
	if (s.len)
		memcpy(bytes, s.ptr, s.len);
	bytes[s.len] = '\0';
	return (struct str){.ptr = bytes, .len = s.len};
}

static void free_str(struct str s)
{
	free((void *)(uintptr_t)s.ptr);
}

static void free_item(struct memstore_item *item)
{
	free_str(item->key);
	free_str(item->value);
}

/* Index of the first key not below key. */
static size_t lower_bound(const struct memstore *store, struct str key)
{
	size_t low = 0;
	size_t high = store->count;

	while (low < high) {
		const size_t middle = low + (high - low) / 2;

		if (str_cmp(store->items[middle].key, key) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static bool is_open_end(struct str end)
{
	return end.len == 1 && end.ptr[0] == '\0';
}

static bool in_range(struct str at, struct str key, struct str end)
{
	if (!end.len)
		return str_eq(at, key);
	if (str_cmp(at, key) < 0)
		return false;
	return is_open_end(end) || str_cmp(at, end) < 0;
}

static void append_event(struct memstore *store,
			 const struct memstore_item *item, bool deleted)
{
	struct memstore_event *event =
		&store->history[store->event_count % HISTORY_EVENTS];

	if (store->event_count >= HISTORY_EVENTS)
		free_item(&event->item);
	event->deleted = deleted;
	event->item = *item;
	event->item.mod_revision = store->revision;
	event->item.key = copy_str(item->key);
	event->item.value = copy_str(deleted ? STR_LIT("") : item->value);
	store->event_count++;
}

static int insert_at(struct memstore *store, size_t index, struct str key)
{
	struct memstore_item *grown;

	if (store->count == store->capacity) {
		store->capacity = store->capacity ? 2 * store->capacity : 64;
		grown = realloc(store->items, store->capacity * sizeof(*grown));
		if (!grown)
			return PST_ERR_NOMEM;
		store->items = grown;
	}
	memmove(&store->items[index + 1], &store->items[index],
		(store->count - index) * sizeof(*store->items));
	store->count++;
	store->items[index] = (struct memstore_item){
		.key = copy_str(key),
		.value = copy_str(STR_LIT("")),
		.create_revision = store->revision,
	};
	return 0;
}

static int put(struct memstore *store, const struct memstore_op *op)
{
	const size_t index = lower_bound(store, op->key);
	struct memstore_item *item;

	if (index == store->count ||
	    !str_eq(store->items[index].key, op->key)) {
		if (insert_at(store, index, op->key))
			return PST_ERR_NOMEM;
	}
	item = &store->items[index];
	free_str(item->value);
	item->value = copy_str(op->value);
	item->mod_revision = store->revision;
	item->version++;
	item->lease = op->lease;
	append_event(store, item, false);
	return 0;
}

static void delete_at(struct memstore *store, size_t index)
{
	append_event(store, &store->items[index], true);
	free_item(&store->items[index]);
	store->count--;
	memmove(&store->items[index], &store->items[index + 1],
		(store->count - index) * sizeof(*store->items));
}

static void delete_range(struct memstore *store, struct str key, struct str end)
{
	size_t count;
	const size_t first = memstore_range(store, key, end, &count);

	while (count--)
		delete_at(store, first);
}

static struct lease *find_lease(const struct memstore *store, uint64_t id)
{
	for (size_t i = 0; i < store->lease_count; i++) {
		if (store->leases[i].id == id)
			return &store->leases[i];
	}
	return NULL;
}

int memstore_create(struct memstore **out)
{
	struct memstore *store = calloc(1, sizeof(*store));

	if (!store)
		return PST_ERR_NOMEM;
	store->history = calloc(HISTORY_EVENTS, sizeof(*store->history));
	if (!store->history) {
		free(store);
		return PST_ERR_NOMEM;
	}
	store->revision = 1;
	store->next_lease = 1000;
	*out = store;
	return 0;
}

void memstore_destroy(struct memstore *store)
{
	uint64_t kept_count;

	if (!store)
		return;
	kept_count = store->event_count < HISTORY_EVENTS ? store->event_count
							 : HISTORY_EVENTS;
	for (size_t i = 0; i < store->count; i++)
		free_item(&store->items[i]);
	for (uint64_t i = 0; i < kept_count; i++)
		free_item(&store->history[i].item);
	free(store->items);
	free(store->leases);
	free(store->history);
	free(store);
}

int memstore_clone(const struct memstore *store, struct memstore **out)
{
	struct memstore *copy;
	const int err = memstore_create(&copy);

	if (err)
		return err;
	copy->items = calloc(store->count + 1, sizeof(*copy->items));
	if (!copy->items) {
		memstore_destroy(copy);
		return PST_ERR_NOMEM;
	}
	copy->capacity = store->count + 1;
	copy->count = store->count;
	copy->revision = store->revision;
	for (size_t i = 0; i < store->count; i++) {
		copy->items[i] = store->items[i];
		copy->items[i].key = copy_str(store->items[i].key);
		copy->items[i].value = copy_str(store->items[i].value);
	}
	*out = copy;
	return 0;
}

uint64_t memstore_revision(const struct memstore *store)
{
	return store->revision;
}

size_t memstore_range(const struct memstore *store, struct str key,
		      struct str end, size_t *count)
{
	const size_t first = lower_bound(store, key);
	size_t last = first;

	while (last < store->count &&
	       in_range(store->items[last].key, key, end))
		last++;
	*count = last - first;
	return first;
}

const struct memstore_item *memstore_at(const struct memstore *store,
					size_t index)
{
	return &store->items[index];
}

const struct memstore_item *memstore_get(const struct memstore *store,
					 struct str key)
{
	size_t count;
	const size_t index = memstore_range(store, key, STR_LIT(""), &count);

	return count ? &store->items[index] : NULL;
}

int memstore_apply(struct memstore *store, const struct memstore_op *ops,
		   size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (ops[i].lease && !find_lease(store, ops[i].lease))
			return PST_ERR_FAKE_LEASE;
	}
	if (!count)
		return 0;
	store->revision++;
	for (size_t i = 0; i < count; i++) {
		if (ops[i].is_delete)
			delete_range(store, ops[i].key, ops[i].end);
		else if (put(store, &ops[i]))
			return PST_ERR_NOMEM;
	}
	return 0;
}

const struct memstore_event *memstore_next(const struct memstore *store,
					   uint64_t *cursor, uint64_t revision,
					   struct str key, struct str end,
					   int *err)
{
	const uint64_t first = store->event_count > HISTORY_EVENTS
				       ? store->event_count - HISTORY_EVENTS
				       : 0;

	*err = 0;
	if (*cursor < first) {
		const struct memstore_event *oldest =
			&store->history[first % HISTORY_EVENTS];

		if (*cursor || revision < oldest->item.mod_revision)
			*err = PST_ERR_FAKE_COMPACTED;
		*cursor = first;
	}
	while (*cursor < store->event_count) {
		const struct memstore_event *event =
			&store->history[(*cursor)++ % HISTORY_EVENTS];

		if (event->item.mod_revision >= revision &&
		    in_range(event->item.key, key, end))
			return event;
	}
	return NULL;
}

uint64_t memstore_cursor(const struct memstore *store)
{
	return store->event_count;
}

uint64_t memstore_lease_grant(struct memstore *store, uint64_t id,
			      uint64_t ttl_s, apr_time_t now)
{
	struct lease *grown;

	if (!id)
		id = ++store->next_lease;
	if (find_lease(store, id))
		return 0;
	grown = realloc(store->leases,
			(store->lease_count + 1) * sizeof(*grown));
	if (!grown)
		return 0;
	store->leases = grown;
	store->leases[store->lease_count++] = (struct lease){
		.id = id,
		.ttl_s = ttl_s,
		.expires_at = now + CLK_SEC(ttl_s),
	};
	return id;
}

int memstore_lease_renew(struct memstore *store, uint64_t id, apr_time_t now,
			 uint64_t *ttl_s)
{
	struct lease *lease = find_lease(store, id);

	if (!lease)
		return PST_ERR_FAKE_LEASE;
	lease->expires_at = now + CLK_SEC(lease->ttl_s);
	*ttl_s = lease->ttl_s;
	return 0;
}

int memstore_lease_revoke(struct memstore *store, uint64_t id)
{
	struct lease *lease = find_lease(store, id);
	bool changed = false;

	if (!lease)
		return PST_ERR_FAKE_LEASE;
	*lease = store->leases[--store->lease_count];
	for (size_t i = store->count; i-- > 0;) {
		if (store->items[i].lease != id)
			continue;
		if (!changed)
			store->revision++;
		changed = true;
		delete_at(store, i);
	}
	return 0;
}

apr_time_t memstore_lease_expire(struct memstore *store, apr_time_t now)
{
	apr_time_t next = 0;

	for (size_t i = store->lease_count; i-- > 0;) {
		const struct lease lease = store->leases[i];

		if (lease.expires_at <= now)
			memstore_lease_revoke(store, lease.id);
		else if (!next || lease.expires_at < next)
			next = lease.expires_at;
	}
	return next;
}
