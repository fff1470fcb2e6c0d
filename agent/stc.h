/*
 * Client of the platform's key-value store (etcd v3 JSON over HTTP).
 *
 * A client is used by one thread. Calls other than stc_watch() block at most
 * platform.call_timeout_ms. All calls except watches that bring a change or
 * time out are counted in the metrics, by path and result.
 */
#ifndef AGENT_STC_H
#define AGENT_STC_H

#include "common/clk.h"
#include "common/settings.h"

/* Longest key or prefix, in bytes. */
#define STC_KEY_MAX 512

/* Expected revision that matches every state of the key. */
#define STC_ANY UINT64_MAX

struct stc;

/* One key and value, owned by a struct stc_list. */
struct stc_item {
	struct str key;
	struct str value;
	uint64_t mod_revision;
};

struct stc_list {
	/* Revision of the store at the time of the read. */
	uint64_t revision;
	struct stc_item *items;
	size_t count;
};

/* Borrows set and clk. Returns 0, PST_ERR_NOMEM or PST_ERR_HTTP. */
int stc_create(struct stc **out, const struct settings *set,
	       const struct clk *clk);
void stc_destroy(struct stc *stc);

/*
 * Makes a call in progress and all later ones fail within about a second.
 * Only this and stc_interrupt() may be called by another thread.
 */
void stc_cancel(struct stc *stc);

/* Makes a call in progress fail within about a second, if there is one. */
void stc_interrupt(struct stc *stc);

/*
 * Reads all keys with the prefix; the caller frees *out with stc_list_free().
 * Returns 0, PST_ERR_UNAVAILABLE, PST_ERR_NOMEM, or PST_ERR_INVALID for a
 * prefix that is too long.
 */
int stc_read(struct stc *stc, struct str prefix, struct stc_list *out);
void stc_list_free(struct stc_list *list);

/* Like stc_read(), for one key: *out has one item or none. */
int stc_read_key(struct stc *stc, struct str key, struct stc_list *out);

/*
 * Writes value if the key's mod_revision is still expected (0: no such key),
 * attached to the lease unless that is 0. Returns 0 with *revision set,
 * PST_ERR_CONFLICT when the key has changed, PST_ERR_UNAVAILABLE when nothing
 * was written, PST_ERR_TIMEOUT when the value may have been written, or
 * PST_ERR_NOMEM.
 */
int stc_swap(struct stc *stc, struct str key, uint64_t expected,
	     struct str value, uint64_t lease, uint64_t *revision);

/* One of the keys that stc_swap_all() writes. */
struct stc_change {
	struct str key;
	uint64_t expected;
	struct str value;
};

/* Like stc_swap() for several keys in one transaction, without a lease. */
int stc_swap_all(struct stc *stc, const struct stc_change *changes,
		 size_t count, uint64_t *revision);

/* Deletes the keys from first to before end. Returns 0 or an error. */
int stc_delete(struct stc *stc, struct str first, struct str end);

/*
 * Return 0, PST_ERR_NOTFOUND when the lease has expired, PST_ERR_UNAVAILABLE
 * or PST_ERR_NOMEM.
 */
int stc_lease_grant(struct stc *stc, uint32_t ttl_s, uint64_t *lease);
int stc_lease_keepalive(struct stc *stc, uint64_t lease);
int stc_lease_revoke(struct stc *stc, uint64_t lease);

/*
 * Waits, at most for timeout, for a change after after_revision to a key with
 * the prefix. Returns 0 when there is one, PST_ERR_TIMEOUT,
 * PST_ERR_UNAVAILABLE, or PST_ERR_INVALID for a prefix that is too long.
 */
int stc_watch(struct stc *stc, struct str prefix, uint64_t after_revision,
	      apr_interval_time_t timeout);

#endif
