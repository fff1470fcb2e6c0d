#include "policy/relaytree.h"

/*
 * Grace period after a start, in microseconds. A fleet starts within 0.3 s,
 * and a VM is listed two inter-region calls later. Changes that wait for the
 * end of the period may then pass through relays, which takes 1.5 s of the
 * 2.5 s in which the users want a change in force.
 */
#define START_GRACE_US 700000

/* Time without a relay after one has failed, in microseconds. */
#define DIRECT_AFTER_FAILURE_US 3000000

/*
 * Time after an outage in which a relay may not have noticed its end, in
 * microseconds: the interval of lease renewals.
 */
#define RELAY_RECOVERY_US 1600000

/*
 * Pauses before the next fallback VM is tried, in microseconds. The first
 * attempts find out whether the store serves any VM; later ones are rarer.
 */
#define FALLBACK_PAUSE_US      300000
#define FALLBACK_LONG_PAUSE_US 2000000
#define FALLBACK_QUICK_TRIES   16

/*
 * Difference between two ages that counts, in microseconds: longer than a
 * request takes within a domain, by which the stated age is wrong.
 */
#define NEWER_BY_US 100000

/* Age that is stated for data that was never fresh, in microseconds: a day. */
#define AGE_OF_NONE_US (86400 * APR_USEC_PER_SEC)

/* Time after a follower's request in which a VM is a relay, in microseconds. */
#define FOLLOWED_FOR_US 3000000

void relaytree_begin_grace(struct relaytree *relaytree, apr_time_t now)
{
	relaytree->grace_until = now + START_GRACE_US;
	relaytree->direct_until = relaytree->grace_until;
	relaytree->grace_failed = false;
}

void relaytree_init(struct relaytree *relaytree, apr_time_t now)
{
	*relaytree = (struct relaytree){0};
	relaytree_begin_grace(relaytree, now);
}

/* A VM's rendezvous hash for the choice of its domain's relay. */
static uint64_t score(uint64_t hash)
{
	return str_hash(
		(struct str){.ptr = (const char *)&hash, .len = sizeof(hash)},
		0x72656c6179);
}

static bool may_relay(const struct vms_entry *vm, int domain)
{
	return vm->domain == domain && vm->peer.len;
}

/* Whether a VM comes before another among the relays of their domain. */
static bool precedes(const struct vms_entry *vm, const struct vms_entry *other)
{
	if (vm->link_mbps != other->link_mbps)
		return vm->link_mbps > other->link_mbps;
	return score(vm->hash) > score(other->hash);
}

/* The domain's relay that comes next after the given one; NULL: the first. */
static const struct vms_entry *next_relay(const struct vms *vms, int domain,
					  const struct vms_entry *after)
{
	const struct vms_entry *best = NULL;

	for (size_t i = 0; i < vms->count; i++) {
		const struct vms_entry *vm = &vms->list[i];

		if (may_relay(vm, domain) && (!after || precedes(after, vm)) &&
		    (!best || precedes(vm, best)))
			best = vm;
	}
	return best;
}

/* Number of VMs of the same domain that come before this one. */
static size_t relay_rank(const struct vms *vms, const struct vms_entry *self)
{
	size_t rank = 0;

	for (size_t i = 0; i < vms->count; i++) {
		const struct vms_entry *vm = &vms->list[i];

		rank += may_relay(vm, self->domain) && precedes(vm, self);
	}
	return rank;
}

void relaytree_vms_listed(struct relaytree *relaytree, const struct vms *vms,
			  int domain, apr_time_t now)
{
	if (now < relaytree->grace_until && !relaytree->grace_failed &&
	    next_relay(vms, domain, NULL))
		relaytree->direct_until = now;
}

const struct vms_entry *relaytree_choose(const struct relaytree *relaytree,
					 const struct vms *vms, int domain,
					 struct str self, apr_time_t now)
{
	const size_t at = vms_find(vms, self);
	const struct vms_entry *vm;
	size_t parent = 0;

	if (now < relaytree->direct_until)
		return NULL;
	if (at < vms->count) {
		const size_t rank = relay_rank(vms, &vms->list[at]);

		if (!rank)
			return NULL;
		parent = (rank - 1) / RELAYTREE_MAX_FOLLOWERS;
	}
	vm = next_relay(vms, domain, NULL);
	while (vm && parent--)
		vm = next_relay(vms, domain, vm);
	return vm;
}

apr_interval_time_t relaytree_grace_left(const struct relaytree *relaytree,
					 apr_time_t now)
{
	const bool in_grace =
		now < relaytree->grace_until && now < relaytree->direct_until;

	return in_grace ? relaytree->direct_until - now : 0;
}

bool relaytree_failed(struct relaytree *relaytree, apr_time_t store_back_at,
		      apr_time_t now)
{
	if (store_back_at && now - store_back_at < RELAY_RECOVERY_US)
		return true;
	relaytree->grace_failed = now < relaytree->grace_until;
	relaytree->direct_until = relaytree->grace_failed
					  ? relaytree->grace_until
					  : now + DIRECT_AFTER_FAILURE_US;
	return false;
}

const struct vms_entry *relaytree_fallback(const struct relaytree *relaytree,
					   const struct vms *vms,
					   struct str self)
{
	const uint64_t own = vms_hash(self);
	const uint64_t after_hash =
		relaytree->fallback_turn || relaytree->fallback_works
			? relaytree->after_hash
			: own;
	const struct vms_entry *next = NULL;

	for (size_t i = 0; i < vms->count; i++) {
		const struct vms_entry *vm = &vms->list[i];

		if (vm->peer.len && vm->hash != own &&
		    (!next ||
		     vm->hash - after_hash - 1 < next->hash - after_hash - 1))
			next = vm;
	}
	return next;
}

apr_interval_time_t relaytree_fallback_failed(struct relaytree *relaytree,
					      const struct vms *vms,
					      struct str self, apr_time_t now)
{
	const struct vms_entry *vm = relaytree_fallback(relaytree, vms, self);

	relaytree->direct_until = now + DIRECT_AFTER_FAILURE_US;
	relaytree->after_hash = vm ? vm->hash : vms_hash(self);
	relaytree->fallback_turn++;
	relaytree->fallback_works = false;
	return ++relaytree->fallback_failures < FALLBACK_QUICK_TRIES
		       ? FALLBACK_PAUSE_US
		       : FALLBACK_LONG_PAUSE_US;
}

void relaytree_store_back(struct relaytree *relaytree, apr_time_t now)
{
	relaytree->fallback_works = false;
	relaytree->fallback_failures = 0;
	if (relaytree->direct_until > now)
		relaytree->direct_until = now;
}

void relaytree_fallback_succeeded(struct relaytree *relaytree,
				  const struct vms *vms, struct str self,
				  unsigned turn)
{
	const struct vms_entry *vm = relaytree_fallback(relaytree, vms, self);

	if (!vm || turn != relaytree->fallback_turn)
		return;
	relaytree->after_hash = vm->hash - 1;
	relaytree->fallback_works = true;
}

bool relaytree_refuses(bool store_lost_here, bool asker_served)
{
	return store_lost_here && asker_served;
}

bool relaytree_has_followers(const struct relaytree *relaytree, apr_time_t now)
{
	return relaytree->asked_at &&
	       now - relaytree->asked_at < FOLLOWED_FOR_US;
}

apr_interval_time_t relaytree_stated_age(const struct relaytree *relaytree,
					 apr_time_t fresh_at, apr_time_t now)
{
	if (!fresh_at)
		return AGE_OF_NONE_US;
	if (!relaytree_has_followers(relaytree, now))
		return -1;
	return now > fresh_at ? now - fresh_at : 0;
}

bool relaytree_is_newer(apr_time_t fresh_at, apr_time_t known_at)
{
	return fresh_at - known_at > NEWER_BY_US;
}

bool relaytree_is_fresh(apr_time_t fresh_at, apr_time_t now)
{
	return fresh_at && now - fresh_at < RELAYTREE_FRESH_TIME_US;
}

bool relaytree_is_nearly_stale(apr_time_t fresh_at, apr_time_t now)
{
	return !relaytree_is_fresh(fresh_at, now + RELAYTREE_FRESH_TIME_US / 2);
}
