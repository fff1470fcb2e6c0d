/*
 * Chooses the VM (the relay) through which a VM watches the metadata store.
 * Pure.
 *
 * Designed for: a store whose rate limits grow more slowly than the fleet, and
 * whose calls are charged. One VM of each failure domain watches the store,
 * and the others watch that VM. They watch the store themselves when the relay
 * is silent, refuses, or cannot guarantee that its data is fresh; where the
 * store refuses them as well, they watch any VM that gives the guarantee (the
 * fallback). A relay's work and traffic grow with its followers, so their
 * number is bounded; in a larger domain the relays form a tree, and the VMs
 * with the most bandwidth come first: in a start of the fleet every upstream is
 * news for all followers at once. The age of the
 * data is passed down with it, so the guarantee is the same at any depth.
 */
#ifndef POLICY_RELAYTREE_H
#define POLICY_RELAYTREE_H

#include "policy/vms.h"

/*
 * Time after the store's last answer in which a relay guarantees that its data
 * is fresh, in microseconds.
 */
#define RELAYTREE_FRESH_TIME_US 1200000

/* Most followers of one relay; they cost it less than 0.1 of a processor. */
#define RELAYTREE_MAX_FOLLOWERS 16

struct relaytree {
	/* The store is watched directly until then. */
	apr_time_t direct_until;
	/* End of the start-up grace period: other VMs may be starting too. */
	apr_time_t grace_until;
	/* A relay failed during the grace period. */
	bool grace_failed;
	/* Count of failed fallback VMs; identifies the present one. */
	unsigned fallback_turn;
	/* The present fallback VM is the next one after this hash. */
	uint64_t after_hash;
	/* The present fallback VM has answered with fresh data. */
	bool fallback_works;
	/* Fallback VMs that failed in this outage. */
	unsigned fallback_failures;
	/* Time of the last request of a follower; 0: none. */
	apr_time_t asked_at;
	/* Start of the last call that the store answered; 0: none. */
	apr_time_t fresh_at;
};

/* Initializes the state of a VM that starts now, with a grace period. */
void relaytree_init(struct relaytree *relaytree, apr_time_t now);

/*
 * Begins another grace period: this VM could not serve before now, others may
 * have waited for the same thing, and VMs are listed only once they can serve.
 */
void relaytree_begin_grace(struct relaytree *relaytree, apr_time_t now);

/*
 * Called when the list of VMs is known: if others of the domain run already,
 * their relay may be used at once.
 */
void relaytree_vms_listed(struct relaytree *relaytree, const struct vms *vms,
			  int domain, apr_time_t now);

/* Returns the relay to watch, or NULL for the store itself. */
const struct vms_entry *relaytree_choose(const struct relaytree *relaytree,
					 const struct vms *vms, int domain,
					 struct str self, apr_time_t now);

/*
 * Time for which a VM that has just started still waits for others to be
 * listed before it watches the store itself; 0: none.
 */
apr_interval_time_t relaytree_grace_left(const struct relaytree *relaytree,
					 apr_time_t now);

/*
 * Records that the relay failed. Returns whether it should be retried soon:
 * the store has been back since store_back_at (0: there was no outage), and
 * the relay may not have noticed yet.
 */
bool relaytree_failed(struct relaytree *relaytree, apr_time_t store_back_at,
		      apr_time_t now);

/*
 * Returns the fallback VM to watch while both the store and the relay fail
 * this VM, or NULL when there is no other. The VMs are tried in the order of
 * their hashes, since the store may serve some of them. self may be unlisted.
 */
const struct vms_entry *relaytree_fallback(const struct relaytree *relaytree,
					   const struct vms *vms,
					   struct str self);

/*
 * Records that the fallback VM failed, and moves on to the next one; the relay
 * isn't used for a while either. Returns the pause before the next attempt.
 */
apr_interval_time_t relaytree_fallback_failed(struct relaytree *relaytree,
					      const struct vms *vms,
					      struct str self, apr_time_t now);

/*
 * Records that the fallback VM asked in this turn answered with fresh data. If
 * the turn is the present one, that VM is kept, also when others join.
 */
void relaytree_fallback_succeeded(struct relaytree *relaytree,
				  const struct vms *vms, struct str self,
				  unsigned turn);

/*
 * Whether a VM refuses to be watched: the store fails it, but serves the VM
 * that asks, which needs no relay. This keeps VMs from watching each other in
 * a cycle.
 */
bool relaytree_refuses(bool store_lost_here, bool asker_served);

/* Records that the store is back: relays may be used again. */
void relaytree_store_back(struct relaytree *relaytree, apr_time_t now);

/* Whether other VMs have watched this one recently. */
bool relaytree_has_followers(const struct relaytree *relaytree, apr_time_t now);

/*
 * Age, in microseconds, of the data that a VM states to its relay, when it
 * needs the relay's word that nothing has changed as soon as there is a newer
 * one; negative when it needs no such word before a change. A VM that others
 * follow passes that word on, and would add the time that a watch waits to the
 * age of its data; a VM whose data was never fresh (fresh_at 0) has none yet.
 */
apr_interval_time_t relaytree_stated_age(const struct relaytree *relaytree,
					 apr_time_t fresh_at, apr_time_t now);

/*
 * Whether data as of fresh_at is so much newer than that as of known_at that it
 * is worth an answer.
 */
bool relaytree_is_newer(apr_time_t fresh_at, apr_time_t known_at);

/* Whether data of the store as of fresh_at (0: none) counts as fresh. */
bool relaytree_is_fresh(apr_time_t fresh_at, apr_time_t now);

/* Whether such data soon becomes stale, so that the store should be asked. */
bool relaytree_is_nearly_stale(apr_time_t fresh_at, apr_time_t now);

#endif
