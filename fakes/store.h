/*
 * Key-value store with revisions, compare-and-swap, leases and history, as
 * far as etcd v3 is used. In memory; no I/O, no clock of its own.
 */
#ifndef FAKES_STORE_H
#define FAKES_STORE_H

#include <apr_time.h>

#include "common/clk.h"
#include "common/str.h"

struct fst;

/* A key's present value, owned by the store until its next change. */
struct fst_item {
	struct str key;
	struct str value;
	uint64_t create_revision;
	uint64_t mod_revision;
	uint64_t version;
	uint64_t lease;
};

/* One kept change. */
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
 * Copies the present keys and revision, without leases and history. Returns
 * 0 or PST_ERR_NOMEM.
 */
int fst_clone(const struct fst *store, struct fst **out);

uint64_t fst_revision(const struct fst *store);

/*
 * Finds the keys from key up to, but without, end; an empty end means the
 * one key, and "\0" every key from key on. Returns the index of the first
 * and sets *count.
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
 * Returns the next kept event at or after *cursor whose revision is at least
 * revision and whose key is in the range, and moves *cursor past it; NULL
 * when there is none yet. A cursor starts at 0. Returns PST_ERR_FAKE_COMPACTED
 * through *err when older events are gone.
 */
const struct fst_event *fst_next(const struct fst *store, uint64_t *cursor,
				 uint64_t revision, struct str key,
				 struct str end, int *err);

/* Cursor behind the newest event. */
uint64_t fst_cursor(const struct fst *store);

/* Grants a lease; id 0 lets the store choose. Returns its id, or 0. */
uint64_t fst_lease_grant(struct fst *store, uint64_t id, uint64_t ttl_s,
			 apr_time_t now);

/* Returns 0 with *ttl_s set, or PST_ERR_FAKE_LEASE. */
int fst_lease_renew(struct fst *store, uint64_t id, apr_time_t now,
		    uint64_t *ttl_s);

/* Deletes the lease's keys. Returns 0 or PST_ERR_FAKE_LEASE. */
int fst_lease_revoke(struct fst *store, uint64_t id);

/* Revokes lapsed leases. Returns the time of the next lapse, or 0. */
apr_time_t fst_lease_expire(struct fst *store, apr_time_t now);

#endif
