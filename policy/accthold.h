/*
 * Whether a VM may use the shares of tenants' limits that its list of VMs gives
 * it. Pure.
 *
 * Designed for: a store that serves some VMs and not others, so that the lists
 * of the former change while the latter know nothing of it, and VMs that reach
 * neither the store nor each other. A share that moves must not be in use at
 * two VMs. Two rules keep them apart without any message:
 *
 * - A VM uses its shares for ACCTHOLD_EXCESS_US longer than the lease that it
 *   renewed last, or than its list was last known to be current. The others
 *   count with them ACCOUNT_LIST_SPREAD_US after the lease has ended.
 * - A VM that joins the list uses its shares ACCOUNT_LIST_SPREAD_US after a
 *   whole lease, when a VM that does not know of it uses none any more.
 *
 * Where VMs reach each other, both are relaxed: a VM that joins waits no longer
 * than until those that may have kept the accounts before know of it, and in an
 * outage of the whole store, in which no list can change, shares stay in use.
 */
#ifndef POLICY_ACCTHOLD_H
#define POLICY_ACCTHOLD_H

#include <stdbool.h>
#include <stdint.h>

#include <apr_time.h>

/* Time beyond a lease in which the shares that depend on it are used. */
#define ACCTHOLD_EXCESS_US 1000000

/* VMs whose state is remembered. */
#define ACCTHOLD_MAX_PEERS 512

/* VMs that are asked in an outage whether the store answers them. */
#define ACCTHOLD_SAMPLE 16

/* What another VM says of itself. */
struct accthold_state {
	/* Age of its list of VMs. */
	apr_interval_time_t list_age;
	/* Age of what it last heard from the store, through any VM. */
	apr_interval_time_t store_age;
	/* It joined the list so long ago that it waits for nothing. */
	bool is_settled;
};

struct accthold_peer {
	/* Hash of its id; 0: unused. */
	uint64_t vm;
	/* 0: never. */
	apr_time_t asked_at;
	apr_time_t heard_at;
	struct accthold_state state;
};

/* A VM of a tenant's order. */
struct accthold_member {
	/* Hash of its id. */
	uint64_t vm;
	/* When it left the list; 0: it is listed. */
	apr_time_t left_at;
};

struct accthold {
	/* Time for which a lease runs. */
	apr_interval_time_t lease;
	/* Start of the last call that renewed the lease. */
	apr_time_t renewed_at;
	/* The list of VMs is known as it was then. */
	apr_time_t listed_at;
	/* When this VM joined, or may use its shares again; 0: never. */
	apr_time_t joined_at;
	/* The whole store is taken to be away until then. */
	apr_time_t outage_until;
	/* Shares are not used before that. */
	apr_time_t first_use_at;
	/* The shares are not in use, as the list may have changed. */
	bool is_stopped;
	apr_time_t stopped_at;
	/* VMs asked in an outage, and those that heard nothing either. */
	unsigned asked;
	unsigned unserved;
	struct accthold_peer peers[ACCTHOLD_MAX_PEERS];
	unsigned peer_count;
};

/*
 * A process that starts now. The lease of the one before it, which keeps the
 * VM listed, may end soon.
 */
void accthold_init(struct accthold *hold, apr_interval_time_t lease,
		   apr_time_t now);

/* The list is known as it was at that time. */
void accthold_note_list(struct accthold *hold, apr_time_t at);

/* This VM's lease runs at least from then on. */
void accthold_note_renewal(struct accthold *hold, apr_time_t at);

/* This VM joined the list, in which others may have had its shares. */
void accthold_note_join(struct accthold *hold, apr_time_t now);

/*
 * No VM is listed. One whose lease has ended may run, and use its shares for a
 * time.
 */
void accthold_note_empty_list(struct accthold *hold, apr_time_t now);

/* Decides whether shares may be used; returns whether that has changed. */
bool accthold_update(struct accthold *hold, apr_time_t now);

/* Whether other VMs are to be asked if the store answers them. */
bool accthold_needs_sample(const struct accthold *hold, apr_time_t now);

/*
 * Whether the VM is to be asked for its state now; it counts as asked then.
 * Without room for it, it is not.
 */
bool accthold_should_ask(struct accthold *hold, uint64_t vm, apr_time_t now);

/* A VM that lists this one has answered. */
void accthold_note_peer(struct accthold *hold, uint64_t vm,
			const struct accthold_state *state, apr_time_t now);

/*
 * Judges by the answers of the VMs that were asked, none twice, whether the
 * store answers nobody.
 */
void accthold_judge_outage(struct accthold *hold, const uint64_t *vms,
			   unsigned count, apr_time_t now);

/* This VM's own state, for others. */
struct accthold_state accthold_own_state(const struct accthold *hold,
					 apr_time_t now);

/* Whether the VM has joined so lately that it may wait for others. */
bool accthold_is_joining(const struct accthold *hold, apr_time_t now);

/* Whether the VM knows that this one has joined. */
bool accthold_is_known_to(const struct accthold *hold, uint64_t vm);

/*
 * When this VM may use its share of a tenant. order has the first VMs of its
 * region by the tenant's order, with those that left lately; whole if it has
 * all of them. self is skipped. Those that may have kept an account before are
 * the first ones up to as many settled VMs as there are accounts.
 */
apr_time_t accthold_usable_at(const struct accthold *hold,
			      const struct accthold_member *order,
			      unsigned count, bool whole, uint64_t self,
			      unsigned accounts, apr_time_t now);

#endif
