/*
 * This VM's own entry in the metadata store, which a lease keeps: look-ups
 * return the VM to callers as long as the lease is renewed.
 */
#ifndef STEERD_SELF_H
#define STEERD_SELF_H

#include "steerd/st.h"

/*
 * Look-ups must not return a VM for more than some seconds after its end, and
 * one renewal may be lost or slow.
 */
#define SELF_LEASE_MS 5000

struct self {
	struct st *st;
	struct ev_timer timer;
	uint64_t lease;
	/* The entry was written under the lease. */
	bool written;
	/* It was, before a restore of the store, which may have it still. */
	bool rewriting;
	/* A call is in progress. */
	bool calling;
	/* A feed waits to learn whether the store answers. */
	bool checking;
	/* Consecutive failed calls. */
	unsigned failures;
	apr_time_t called_at;
	/* The store's era when the call in progress was made. */
	uint64_t called_in;
	bool leaving;
};

/* The caller has set st. */
void self_start(struct self *self);

/* This VM can serve callers now: writes the entry if there is none. */
void self_list(struct self *self);

/* Renews the lease now, which shows whether the store answers. */
void self_renew(struct self *self);

/*
 * As self_renew(), for a feed of this VM. Without effect while calls fail,
 * since they are retried with back-off.
 */
void self_check_store(struct self *self);

/*
 * The store was restored: the lease may be gone, or be another VM's. Gets a new
 * one and writes the entry again.
 */
void self_restart(struct self *self);

/* Whether the renewal of self_check_store() has not ended yet. */
bool self_is_checking(const struct self *self);

/* Whether the entry is written and this VM goes on to renew the lease. */
bool self_is_listed(const struct self *self);

/* As self_is_listed(), or this VM writes it again after a restore. */
bool self_keeps_entry(const struct self *self);

/* Ends the lease, and with it the entry: the VM gets no new callers. */
void self_leave(struct self *self);

#endif
