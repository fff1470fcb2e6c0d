/*
 * Client of the platform's key-value store (etcd v3 JSON over HTTP).
 *
 * A client is used by one thread. Calls other than kvclient_watch() block at
 * most platform.call_timeout_ms. All calls except watches that bring a change
 * or time out are counted in the metrics, by path and result.
 */
#ifndef AGENT_KVCLIENT_H
#define AGENT_KVCLIENT_H

#include "common/clk.h"
#include "common/settings.h"

/* Longest key or prefix, in bytes. */
#define KVCLIENT_KEY_MAX 512

/* Expected revision that matches every state of the key. */
#define KVCLIENT_ANY UINT64_MAX

struct kvclient;

/* One key and value, owned by a struct kvclient_list. */
struct kvclient_item {
	struct str key;
	struct str value;
	uint64_t mod_revision;
};

struct kvclient_list {
	/* Revision of the store at the time of the read. */
	uint64_t revision;
	struct kvclient_item *items;
	size_t count;
};

/* Borrows set and clk. Returns 0, PST_ERR_NOMEM or PST_ERR_HTTP. */
int kvclient_create(struct kvclient **out, const struct settings *set,
		    const struct clk *clk);
void kvclient_destroy(struct kvclient *kvclient);

/*
 * Makes a call in progress and all later ones fail within about a second.
 * Only this and kvclient_interrupt() may be called by another thread.
 */
void kvclient_cancel(struct kvclient *kvclient);

/* Makes a call in progress fail within about a second, if there is one. */
void kvclient_interrupt(struct kvclient *kvclient);

/*
 * Reads all keys with the prefix; the caller frees *out with
 * kvclient_list_free(). Returns 0, PST_ERR_UNAVAILABLE, PST_ERR_NOMEM, or
 * PST_ERR_INVALID for a prefix that is too long.
 */
int kvclient_read(struct kvclient *kvclient, struct str prefix,
		  struct kvclient_list *out);
void kvclient_list_free(struct kvclient_list *list);

/* Like kvclient_read(), for one key: *out has one item or none. */
int kvclient_read_key(struct kvclient *kvclient, struct str key,
		      struct kvclient_list *out);

/*
 * Writes value if the key's mod_revision is still expected (0: no such key),
 * attached to the lease unless that is 0. Returns 0 with *revision set,
 * PST_ERR_CONFLICT when the key has changed, PST_ERR_UNAVAILABLE when nothing
 * was written, PST_ERR_TIMEOUT when the value may have been written, or
 * PST_ERR_NOMEM.
 */
int kvclient_swap(struct kvclient *kvclient, struct str key, uint64_t expected,
		  struct str value, uint64_t lease, uint64_t *revision);

/* One of the keys that kvclient_swap_all() writes. */
struct kvclient_change {
	struct str key;
	uint64_t expected;
	struct str value;
};

/* Like kvclient_swap() for several keys in one transaction, without a lease. */
int kvclient_swap_all(struct kvclient *kvclient,
		      const struct kvclient_change *changes, size_t count,
		      uint64_t *revision);

/* Deletes the keys from first to before end. Returns 0 or an error. */
int kvclient_delete(struct kvclient *kvclient, struct str first,
		    struct str end);

/*
 * Return 0, PST_ERR_NOTFOUND when the lease has expired, PST_ERR_UNAVAILABLE
 * or PST_ERR_NOMEM.
 */
int kvclient_lease_grant(struct kvclient *kvclient, uint32_t ttl_s,
			 uint64_t *lease);
int kvclient_lease_keepalive(struct kvclient *kvclient, uint64_t lease);
int kvclient_lease_revoke(struct kvclient *kvclient, uint64_t lease);

/*
 * Waits, at most for timeout, for a change after after_revision to a key with
 * the prefix. Returns 0 when there is one, PST_ERR_TIMEOUT,
 * PST_ERR_UNAVAILABLE, or PST_ERR_INVALID for a prefix that is too long.
 */
int kvclient_watch(struct kvclient *kvclient, struct str prefix,
		   uint64_t after_revision, apr_interval_time_t timeout);

#endif
