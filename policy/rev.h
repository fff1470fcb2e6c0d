/*
 * Tracks the revision of the table that a process holds, and whether the
 * process may take new work under it.
 *
 * The revision only grows. A process takes new work only while it has a
 * confirmation, younger than the freshness timeout, that no newer change had
 * been accepted. An operator's edit is accepted only when every VM holds it or
 * that timeout has passed, so no VM serves under an older table afterwards. A
 * confirmation comes from a read of the store, from a peer that has one, or
 * from a majority of the failure domains.
 */
#ifndef POLICY_REV_H
#define POLICY_REV_H

#include <apr_time.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Age of the confirmation while there is none. */
#define REV_NEVER INT64_MAX

struct rev {
	apr_interval_time_t freshness_timeout;
	/* Largest divergence of the clocks without a suspension of the VM. */
	apr_interval_time_t pause_bound;
	/* Revision held; 0 before the first. */
	uint64_t revision;
	/* Highest revision known to exist. */
	uint64_t newest_known;
	bool confirmed;
	/* Latest time at which the held revision was known to be the newest. */
	apr_time_t confirmed_at;
	/* A confirmed peer has answered, or none exists. */
	bool may_confirm;
	/*
	 * This process counts in a majority, because its revision has been
	 * confirmed at least once.
	 */
	bool voter;
	/* Confirmations of an earlier time are ignored. */
	apr_time_t not_before;
	bool ticked;
	apr_time_t last_tick;
	apr_time_t last_wall;
};

void rev_init(struct rev *rev, apr_interval_time_t freshness_timeout,
	      apr_interval_time_t pause_bound);

/*
 * Notes that a peer that has been confirmed once has sent its revision, or that
 * no such peer exists. Until then a new process rejects all confirmations,
 * because the store may return an older table than the one in force.
 */
void rev_allow_confirm(struct rev *rev);

/* Notes that a revision exists. Returns whether it is newer than the held. */
bool rev_note_exists(struct rev *rev, uint64_t revision);

/* Sets the revision held. Returns PST_ERR_STALE for a lower one. */
int rev_set_held(struct rev *rev, uint64_t revision);

/*
 * Notes that at the time at (this process's monotonic clock) no revision above
 * newest had been accepted. A newest below the held revision comes from a
 * lagging source and confirms nothing. Returns whether the held revision is now
 * confirmed as of a later time than before.
 */
bool rev_confirm(struct rev *rev, uint64_t newest, apr_time_t at);

/* Returns the age of the latest confirmation, or REV_NEVER. */
apr_interval_time_t rev_confirmation_age(const struct rev *rev, apr_time_t now);

/*
 * Whether new work may be taken. wall is the wall clock, which shows that the
 * VM was suspended with its monotonic clock when rev_tick() has not run since.
 */
bool rev_is_fresh(const struct rev *rev, apr_time_t now, apr_time_t wall);

/*
 * Must be called regularly with the monotonic and the wall clock. When they
 * have diverged by more than the pause bound since the last call, the VM was
 * suspended: drops the confirmation and returns the divergence. Otherwise
 * returns 0. A pause that the monotonic clock counts needs no handling here,
 * since the confirmation has aged by it.
 */
apr_interval_time_t rev_tick(struct rev *rev, apr_time_t now, apr_time_t wall);

/* The answer of one failure domain. */
struct rev_vote {
	/* False without an answer, or if the answering VM is no voter. */
	bool valid;
	uint64_t revision;
	/* Time of the request, on this process's monotonic clock. */
	apr_time_t asked_at;
};

/*
 * Finds the latest time at which a majority of the failure domains held no
 * revision above held. votes has one entry for each domain of the table.
 * Returns whether there is such a time, with *at set.
 */
bool rev_majority(const struct rev_vote *votes, size_t count, uint64_t held,
		  apr_time_t *at);

/* How many domains and VMs hold an edit. */
struct rev_holders {
	size_t domains;
	/* Domains of which every live VM holds the edit. */
	size_t domains_whole;
	size_t vms;
	size_t vms_holding;
};

/* Whether all live VMs hold the edit in a majority of the domains. */
bool rev_held_by_majority(const struct rev_holders *holders);

/*
 * Whether an edit is accepted: rev_held_by_majority() is true, and every VM
 * either holds the edit or has had the freshness timeout to stop. The timeout
 * runs from the time when the majority was first seen, since_majority ago,
 * because from then on no majority can confirm an older revision.
 */
bool rev_accepted(const struct rev_holders *holders,
		  apr_interval_time_t since_majority,
		  apr_interval_time_t freshness_timeout);

#endif
