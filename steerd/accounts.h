/*
 * Permits of tenants that have a rate: connects requests, the permits of this
 * VM (policy/permits), the accounts that it keeps (policy/account) and the
 * other VMs. Without such a tenant nothing is sent and no timer runs.
 */
#ifndef STEERD_ACCOUNTS_H
#define STEERD_ACCOUNTS_H

#include <apr_hash.h>

#include "policy/accthold.h"
#include "policy/acctorder.h"
#include "policy/permits.h"
#include "steerd/peersock.h"

struct acctmsg_outbox;
struct acct_tenant;

/* A request that waits for a permit. Zeroed memory: it does not wait. */
struct accounts_wait {
	/*
	 * Called when the wait ends, with PERMITS_SEND, PERMITS_REFUSE or
	 * PERMITS_UNKNOWN, but not after accounts_cancel(). retry_after is in
	 * microseconds.
	 */
	void (*ended)(struct accounts_wait *wait, enum permits_verdict verdict,
		      apr_interval_time_t retry_after);
	void *ctx;
	/* Private to the implementation, as is all below. */
	struct acct_tenant *tenant;
	apr_time_t since;
	TAILQ_ENTRY(accounts_wait) link;
};

/* Limits the log lines per second; their number is unbounded in a flood. */
struct acct_loglimit {
	apr_time_t second;
	unsigned lines;
	/* Lines left out since the last one that was written. */
	unsigned skipped;
};

/* VMs that have left the list; they may run on, and use their shares. */
#define ACCT_MAX_LEFT 256

/* Stands for the first of them where else an index into st->vms does. */
#define ACCT_LEFT_VM (-2)

struct acct_left {
	struct vms_entry vms[ACCT_MAX_LEFT];
	apr_time_t at[ACCT_MAX_LEFT];
	/* Number of all that were added; the oldest is overwritten. */
	size_t count;
};

struct accounts {
	struct st *st;
	/* NULL: no address for other VMs. */
	struct peersock *sock;
	/* Records of tenants (struct acct_tenant) by hash of the name. */
	apr_hash_t *tenants;
	/* Those with something to do before the process waits for events. */
	TAILQ_HEAD(, acct_tenant) dirty;
	struct ev_prepare prepare;
	struct ev_timer beat;
	unsigned beats;
	/* When this process ran last, as far as known. */
	apr_time_t ran_at;
	/* When the process started, or last noticed that it had not run. */
	apr_time_t outdated_at;
	/*
	 * Since then this VM was listed without a break, so that no other VM
	 * has taken over its shares.
	 */
	bool was_listed;
	bool list_known;
	/* Whether shares may be used. */
	struct accthold hold;
	/* VMs that left the list within ACCOUNT_LIST_SPREAD_US. */
	struct acct_left left;
	uint64_t list_version;
	/* This VM in the list, or ACCTORDER_NONE. */
	int self;
	uint64_t self_hash;
	/*
	 * Numbers of this VM, also of one that isn't listed, in the order of
	 * hashes: among all VMs, and among those of its region that may keep
	 * accounts.
	 */
	unsigned self_index;
	unsigned region_index;
	int regions_by_name[GEO_MAX_REGIONS];
	/* Callback of the records' timers. */
	void (*due)(struct ev_loop *loop, struct ev_timer *timer, int events);
	/* Allocated with the first message. */
	struct acctmsg_outbox *outbox;
	struct acct_loglimit refusal_lines;
	struct acct_loglimit account_lines;
};

/* Starts without a socket if sock is NULL. Returns 0 or PST_ERR_NOMEM. */
int accounts_start(struct accounts *accounts, struct st *st,
		   struct peersock *sock);

/* A manifest has come into force. */
void accounts_manifest_changed(struct accounts *accounts);

/* The list of VMs may have changed. */
void accounts_list_changed(struct accounts *accounts);

/* All VMs have been listed. */
void accounts_list_known(struct accounts *accounts);

/* The lease of this VM's entry runs at least from then on. */
void accounts_note_renewal(struct accounts *accounts, apr_time_t at);

/* A VM is about to leave the list. */
void accounts_note_left(struct accounts *accounts,
			const struct vms_entry *entry);

/* Whether the VM has left since then; the latest that left are known. */
bool accounts_has_left(const struct accounts *accounts, struct str id,
		       apr_time_t since);

/*
 * Decides on a request of a tenant with a rate. With PERMITS_REFUSE and
 * PERMITS_UNKNOWN, *retry_after is in microseconds. With PERMITS_WAIT, wait,
 * whose ended and ctx the caller has set, is in use until it ends.
 */
enum permits_verdict accounts_take(struct accounts *accounts,
				   struct accounts_wait *wait,
				   const struct routing_tenant *tenant,
				   apr_interval_time_t *retry_after);

/* A request that got a permit was not sent: another may use it. */
void accounts_put_back(struct accounts *accounts,
		       const struct routing_tenant *tenant);

/* A request that may wait has ended. */
void accounts_cancel(struct accounts_wait *wait);

/* Logs a refused request with the data of the decision. */
void accounts_log_refusal(struct accounts *accounts,
			  const struct routing_tenant *tenant, struct str req,
			  enum permits_verdict verdict,
			  apr_interval_time_t retry_after);

#endif
