/*
 * Which revision of the table a process holds, and whether it may take new
 * work under it.
 *
 * The revision only grows. New work is taken while a confirmation that no
 * newer change had been accepted is younger than the freshness timeout; an
 * operator's edit counts as accepted only when every VM holds it or the
 * timeout has passed, so that no VM can serve under an older table after
 * that. A confirmation comes from a read of the store, from a peer that has
 * one, or from a majority of the failure domains.
 */
#ifndef POLICY_REV_H
#define POLICY_REV_H

#include <apr_time.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Age of a confirmation that never came. */
#define REV_NEVER INT64_MAX

struct rev {
	apr_interval_time_t freshness_timeout;
	apr_interval_time_t pause_bound;
	/* Highest revision held; 0 before the first. */
	uint64_t revision;
	/* Highest revision heard of. */
	uint64_t heard;
	bool confirmed;
	/* The held revision was the newest at this time. */
	apr_time_t confirmed_at;
	/* A confirmed peer was heard, or there is none; see rev_introduce(). */
	bool introduced;
	/* Its revision may count in a majority: it was confirmed once. */
	bool voter;
	/* Confirmations as of an earlier time do not count. */
	apr_time_t not_before;
	bool ticked;
	apr_time_t last_tick;
	apr_time_t last_wall;
};

void rev_init(struct rev *rev, apr_interval_time_t freshness_timeout,
	      apr_interval_time_t pause_bound);

/*
 * Notes that a peer that was once confirmed has told its revision, or that
 * there is no such peer. Until then nothing confirms a new process: the store
 * may offer it an older table than the one in force.
 */
void rev_introduce(struct rev *rev);

/* Notes that a revision exists. Returns whether it must be fetched. */
bool rev_heard(struct rev *rev, uint64_t revision);

/* Notes the revision now held. A lower one is refused (PST_ERR_STALE). */
int rev_hold(struct rev *rev, uint64_t revision);

/*
 * Notes that at the time at (this process's clock) no revision above newest
 * had been accepted. A newest below the held revision confirms nothing: who
 * says so lags. Returns whether that is news: it confirms the held
 * revision later than was known.
 */
bool rev_confirm(struct rev *rev, uint64_t newest, apr_time_t at);

/* Time since the held revision was confirmed, or REV_NEVER. */
apr_interval_time_t rev_age(const struct rev *rev, apr_time_t now);

/*
 * Whether new work may be taken. wall finds a VM that was suspended with its
 * monotonic clock and has not run rev_tick() since.
 */
bool rev_fresh(const struct rev *rev, apr_time_t now, apr_time_t wall);

/*
 * Called regularly with the monotonic and the wall clock. When they have moved
 * apart by more than the pause bound, the VM was suspended: the confirmation
 * is dropped and the difference returned; otherwise returns 0. A pause that
 * the monotonic clock saw needs no more than the confirmation's age.
 */
apr_interval_time_t rev_tick(struct rev *rev, apr_time_t now, apr_time_t wall);

/* What one failure domain answered. */
struct rev_vote {
	/* Not a voter, or no answer: false. */
	bool valid;
	uint64_t revision;
	/* When it was asked, on the asker's clock. */
	apr_time_t asked_at;
};

/*
 * Finds the latest time at which a majority of the failure domains held no
 * revision above held; votes has one entry for each domain of the table.
 * Returns whether there is one, with *at set.
 */
bool rev_majority(const struct rev_vote *votes, size_t count, uint64_t held,
		  apr_time_t *at);

/* Who holds an edit. */
struct rev_holders {
	size_t domains;
	/* Domains of which every live VM holds the edit. */
	size_t domains_whole;
	size_t vms;
	size_t vms_holding;
};

/* Whether a majority of the domains holds it whole. */
bool rev_held_by_majority(const struct rev_holders *holders);

/*
 * Whether an edit is accepted: a majority of the domains holds it whole, and
 * every other VM either holds it or has had the freshness timeout to stop.
 * That time counts from when the majority was first seen (since_majority),
 * for only from then on can no older revision be confirmed by a majority.
 */
bool rev_accepted(const struct rev_holders *holders,
		  apr_interval_time_t since_majority,
		  apr_interval_time_t freshness_timeout);

#endif
