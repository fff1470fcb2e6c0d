/*
 * In-memory key-value store with the revisions, transactions, leases and
 * history of etcd v3 that are used here. No I/O and no clock of its own.
 */
#ifndef FAKES_STORE_H
#define FAKES_STORE_H

#include <apr_time.h>

#include "common/clk.h"
#include "common/str.h"

struct fst;

/* A key's current value, owned by the store until its next change. */
struct fst_item {
	struct str key;
	struct str value;
	uint64_t create_revision;
	uint64_t mod_revision;
	uint64_t version;
	uint64_t lease;
};

/* A change in the history. */
struct fst_event {
	bool deleted;
	struct fst_item item;
};

struct fst_op {
	bool is_delete;
	struct str key;
	/* Deletes only: as in fst_range(). */
	struct str end;
	struct str value;
	uint64_t lease;
};

/* Returns 0 or PST_ERR_NOMEM. */
int fst_create(struct fst **out);
/* NULL is allowed. */
void fst_destroy(struct fst *store);

/*
 * Copies the current keys and revision, without leases and history. Returns
 * 0 or PST_ERR_NOMEM.
 */
int fst_clone(const struct fst *store, struct fst **out);

uint64_t fst_revision(const struct fst *store);

/*
 * Finds the keys from key up to end, exclusive; an empty end means only key,
 * and "\0" every key from key on. Returns the index of the first and sets
 * *count.
 */
size_t fst_range(const struct fst *store, struct str key, struct str end,
		 size_t *count);
const struct fst_item *fst_at(const struct fst *store, size_t index);

/* Returns NULL when the key is absent. */
const struct fst_item *fst_get(const struct fst *store, struct str key);

/*
 * Applies all changes at one new revision. Returns 0, PST_ERR_NOMEM, or
 * PST_ERR_FAKE_LEASE, after which nothing has changed.
 */
int fst_apply(struct fst *store, const struct fst_op *ops, size_t count);

/*
 * Returns the next event at or after *cursor whose revision is at least
 * revision and whose key is in the range, and moves *cursor past it; NULL
 * when there is none yet. A cursor starts at 0. *err is set to 0, or to
 * PST_ERR_FAKE_COMPACTED when needed events are no longer in the history.
 */
const struct fst_event *fst_next(const struct fst *store, uint64_t *cursor,
				 uint64_t revision, struct str key,
				 struct str end, int *err);

/* Returns the cursor past the newest event. */
uint64_t fst_cursor(const struct fst *store);

/*
 * Grants a lease; for id 0 the store chooses one. Returns its id, or 0 when
 * the id is in use or memory is out.
 */
uint64_t fst_lease_grant(struct fst *store, uint64_t id, uint64_t ttl_s,
			 apr_time_t now);

/* Returns 0 with *ttl_s set, or PST_ERR_FAKE_LEASE. */
int fst_lease_renew(struct fst *store, uint64_t id, apr_time_t now,
		    uint64_t *ttl_s);

/* Deletes the lease's keys. Returns 0 or PST_ERR_FAKE_LEASE. */
int fst_lease_revoke(struct fst *store, uint64_t id);

/* Revokes expired leases. Returns when the next one expires; 0: never. */
apr_time_t fst_lease_expire(struct fst *store, apr_time_t now);

#endif
