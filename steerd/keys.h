/*
 * The keys below one prefix of the metadata store with their values, as a feed
 * knows them, and their encoded list for VMs that start.
 */
#ifndef STEERD_KEYS_H
#define STEERD_KEYS_H

#include <sys/queue.h>

#include <apr_hash.h>

#include "common/buf.h"
#include "platform/plt_store.h"

struct keys {
	apr_hash_t *by_name;
	LIST_HEAD(, key) list;
	size_t count;
	/* Number of the last list that was begun. */
	unsigned list_seq;
	/* The encoded list; empty when a key has changed since. */
	struct buf encoded;
	uint64_t encoded_revision;
};

/* Borrows the pool, which must outlive keys. */
void keys_init(struct keys *keys, apr_pool_t *pool);

/* Records a key that was written or deleted. Returns 0 or PST_ERR_NOMEM. */
int keys_note(struct keys *keys, const struct plt_item *item);

/* Reports each key; fn must not change keys. */
void keys_each(const struct keys *keys,
	       void (*fn)(void *ctx, const struct plt_item *item), void *ctx);

/* A list of all keys begins. */
void keys_begin_list(struct keys *keys);

/*
 * The list is complete: reports each key that it did not have as deleted at
 * the revision, and forgets the key.
 */
void keys_end_list(struct keys *keys, uint64_t revision,
		   void (*gone)(void *ctx, const struct plt_item *item),
		   void *ctx);

/*
 * Encodes the keys as an answer to plt_list_vm(); nothing is encoded again
 * before a key has changed. *out is valid until keys changes. Returns 0 or
 * PST_ERR_NOMEM.
 */
int keys_encode(struct keys *keys, uint64_t revision, struct str *out);

#endif
