/* State of one tenant with a rate, shared by the modules of accounts. */
#ifndef STEERD_ACCT_STATE_H
#define STEERD_ACCT_STATE_H

#include "steerd/accounts.h"
#include "steerd/acctmsg.h"

struct acct_tenant {
	struct accounts *accounts;
	/* Hash of the name; key of the record. */
	uint64_t hash;
	/* The newest limit known, and the manifest that it stands in. */
	struct account_limits limits;
	uint64_t manifest;
	/* When the limit last changed while this record was kept; 0: never. */
	apr_time_t limit_changed_at;
	/* Version of this VM's manifest when limits were last compared. */
	uint64_t own_manifest;
	struct acctorder order;
	uint64_t list_version;
	bool has_order;
	struct permits permits;
	TAILQ_HEAD(, accounts_wait) waits;
	/* NULL until this VM is asked for permits or tokens. */
	struct account *account;
	struct ev_timer timer;
	apr_time_t used_at;
	bool is_dirty;
	TAILQ_ENTRY(acct_tenant) dirty_link;
};

/* The record of the tenant with this hash, or NULL. */
struct acct_tenant *acct_find(struct accounts *accounts, uint64_t hash);

/* As acct_find(), but adds it if missing; NULL without memory. */
struct acct_tenant *acct_find_or_add(struct accounts *accounts, uint64_t hash);

/* Frees the record if nothing would be decided otherwise without it. */
void acct_free_if_unused(struct acct_tenant *tenant);

/* Brings limit and order up to date with the manifest and the list of VMs. */
void acct_refresh(struct acct_tenant *tenant);

/* Another VM knows this limit, by that version of the manifest. */
void acct_note_limit(struct acct_tenant *tenant, uint64_t manifest, double rate,
		     double burst);

/* Serves the tenant before the process waits for events. */
void acct_mark_dirty(struct acct_tenant *tenant);

/*
 * Notes that the process runs, and whether it did not for long: to be called
 * before any decision on an event.
 */
void acct_note_running(struct accounts *accounts);

/* Queues a message for the VM with this index in the list. */
void acct_send(struct accounts *accounts, int vm, const struct acctmsg *msg);

#endif
