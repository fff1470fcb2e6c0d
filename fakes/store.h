/*
 * In-memory key-value store with the revisions, transactions, leases and
 * history of etcd v3 that are used here. No I/O and no clock of its own.
 */
#ifndef FAKES_STORE_H
#define FAKES_STORE_H

#include <apr_time.h>

#include "common/clk.h"
#include "common/str.h"

struct memstore;

/* A key's current value, owned by the store until its next change. */
struct memstore_item {
	struct str key;
	struct str value;
	uint64_t create_revision;
	uint64_t mod_revision;
	uint64_t version;
	uint64_t lease;
};

/* A change in the history. */
struct memstore_event {
	bool deleted;
	struct memstore_item item;
};

struct memstore_op {
	bool is_delete;
	struct str key;
	/* Deletes only: as in memstore_range(). */
	struct str end;
	struct str value;
	uint64_t lease;
};

/* Returns 0 or PST_ERR_NOMEM. */
int memstore_create(struct memstore **out);
/* NULL is allowed. */
void memstore_destroy(struct memstore *store);

/*
 * Copies the current keys and revision, without leases and history. Returns
 * 0 or PST_ERR_NOMEM.
 */
int memstore_clone(const struct memstore *store, struct memstore **out);

uint64_t memstore_revision(const struct memstore *store);

/*
 * Finds the keys from key up to end, exclusive; an empty end means only key,
 * and "\0" every key from key on. Returns the index of the first and sets
 * *count.
 */
size_t memstore_range(const struct memstore *store, struct str key,
		      struct str end, size_t *count);
const struct memstore_item *memstore_at(const struct memstore *store,
					size_t index);

/* Returns NULL when the key is absent. */
const struct memstore_item *memstore_get(const struct memstore *store,
					 struct str key);

/*
 * Applies all changes at one new revision. Returns 0, PST_ERR_NOMEM, or
 * PST_ERR_FAKE_LEASE, after which nothing has changed.
 */
int memstore_apply(struct memstore *store, const struct memstore_op *ops,
		   size_t count);

/*
 * Returns the next event at or after *cursor whose revision is at least
 * revision and whose key is in the range, and moves *cursor past it; NULL
 * when there is none yet. A cursor starts at 0. *err is set to 0, or to
 * PST_ERR_FAKE_COMPACTED when needed events are no longer in the history.
 */
const struct memstore_event *memstore_next(const struct memstore *store,
					   uint64_t *cursor, uint64_t revision,
					   struct str key, struct str end,
					   int *err);

/* Returns the cursor past the newest event. */
uint64_t memstore_cursor(const struct memstore *store);

/*
 * Grants a lease; for id 0 the store chooses one. Returns its id, or 0 when
 * the id is in use or memory is out.
 */
uint64_t memstore_lease_grant(struct memstore *store, uint64_t id,
			      uint64_t ttl_s, apr_time_t now);

/* Returns 0 with *ttl_s set, or PST_ERR_FAKE_LEASE. */
int memstore_lease_renew(struct memstore *store, uint64_t id, apr_time_t now,
			 uint64_t *ttl_s);

/* Deletes the lease's keys. Returns 0 or PST_ERR_FAKE_LEASE. */
int memstore_lease_revoke(struct memstore *store, uint64_t id);

/* Revokes expired leases. Returns when the next one expires; 0: never. */
apr_time_t memstore_lease_expire(struct memstore *store, apr_time_t now);

#endif
