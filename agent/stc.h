/*
 * Client of the platform's key-value store (etcd v3 JSON over HTTP).
 *
 * A client belongs to one thread; calls block at most
 * platform.call_timeout_ms. Every call is counted by kind in the metrics.
 */
#ifndef AGENT_STC_H
#define AGENT_STC_H

#include "common/clk.h"
#include "common/settings.h"

/* Longest key or prefix, in bytes. */
#define STC_KEY_MAX 512

/* As expected revision: written whatever the key holds. */
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
 * This and stc_interrupt() are all that another thread may call.
 */
void stc_cancel(struct stc *stc);

/* Makes a call in progress fail within about a second, if there is one. */
void stc_interrupt(struct stc *stc);

/*
 * Reads every key with the prefix; the caller frees with stc_list_free().
 * Returns 0 or PST_ERR_UNAVAILABLE.
 */
int stc_read(struct stc *stc, struct str prefix, struct stc_list *out);
void stc_list_free(struct stc_list *list);

/* As stc_read() for one key: no item or one. */
int stc_read_key(struct stc *stc, struct str key, struct stc_list *out);

/*
 * Writes value if the key's mod_revision is still expected (0: absent);
 * lease 0 is none. Returns 0 with *revision set, PST_ERR_CONFLICT when the
 * key has changed, PST_ERR_UNAVAILABLE when the store did not take the call,
 * or PST_ERR_TIMEOUT when it may have.
 */
int stc_swap(struct stc *stc, struct str key, uint64_t expected,
	     struct str value, uint64_t lease, uint64_t *revision);

/* One key of a swap of several. */
struct stc_change {
	struct str key;
	uint64_t expected;
	struct str value;
};

/* As stc_swap() for several keys at once: all are written, or none. */
int stc_swap_all(struct stc *stc, const struct stc_change *changes,
		 size_t count, uint64_t *revision);

/* Deletes the keys from first up to but not end. Returns 0 or an error. */
int stc_delete(struct stc *stc, struct str first, struct str end);

/* Returns 0, PST_ERR_NOTFOUND (lapsed) or PST_ERR_UNAVAILABLE. */
int stc_lease_grant(struct stc *stc, uint32_t ttl_s, uint64_t *lease);
int stc_lease_keepalive(struct stc *stc, uint64_t lease);
int stc_lease_revoke(struct stc *stc, uint64_t lease);

/*
 * Waits for a change below prefix after revision, at most timeout. Returns 0
 * (something changed), PST_ERR_TIMEOUT or PST_ERR_UNAVAILABLE.
 */
int stc_watch(struct stc *stc, struct str prefix, uint64_t after_revision,
	      apr_interval_time_t timeout);

#endif
