#include "policy/accthold.h"

#include <string.h>

#include "policy/account.h"

/* Largest age of what a VM has heard while the store answers it. */
#define SERVED_AGE_US 2500000

/* Time between two questions to the same VM. */
#define ASK_INTERVAL_US 600000

/* Time for which an answer counts in an outage. */
#define ANSWER_LIFE_US 2500000

/*
 * Time for which an outage is taken to go on after it was last judged so: VMs
 * notice its end one after the other, and none takes over a share that early.
 */
#define OUTAGE_LIFE_US 2000000

/* Records in use beyond which the table counts as full. */
#define MAX_USED (ACCTHOLD_MAX_PEERS / 4 * 3)

/* Least part of the VMs asked that must have heard nothing: 3 of 4. */
#define LEAST_PARTS 3
#define ALL_PARTS   4

static apr_time_t earlier(apr_time_t a, apr_time_t b)
{
	return a < b ? a : b;
}

static apr_time_t later(apr_time_t a, apr_time_t b)
{
	return a > b ? a : b;
}

/* Time from the last lease of a VM until the others may use its shares. */
static apr_interval_time_t join_time(const struct accthold *hold)
{
	return hold->lease + ACCOUNT_LIST_SPREAD_US;
}

void accthold_init(struct accthold *hold, apr_interval_time_t lease,
		   apr_time_t now)
{
	memset(hold, 0, sizeof(*hold));
	hold->lease = lease;
	hold->listed_at = now;
	hold->renewed_at =
		now - (lease + ACCTHOLD_EXCESS_US - ACCOUNT_LIST_SPREAD_US);
}

void accthold_note_list(struct accthold *hold, apr_time_t at)
{
	hold->listed_at = later(hold->listed_at, at);
}

void accthold_note_renewal(struct accthold *hold, apr_time_t at)
{
	hold->renewed_at = later(hold->renewed_at, at);
}

void accthold_note_join(struct accthold *hold, apr_time_t now)
{
	hold->joined_at = now;
	memset(hold->peers, 0, sizeof(hold->peers));
	hold->peer_count = 0;
}

void accthold_note_empty_list(struct accthold *hold, apr_time_t now)
{
	hold->first_use_at = now + ACCTHOLD_EXCESS_US;
}

bool accthold_update(struct accthold *hold, apr_time_t now)
{
	const bool was_stopped = hold->is_stopped;
	const apr_time_t known_at = earlier(hold->renewed_at, hold->listed_at);

	hold->is_stopped = now - known_at >= hold->lease + ACCTHOLD_EXCESS_US &&
			   now >= hold->outage_until;
	if (was_stopped && !hold->is_stopped)
		accthold_note_join(hold, now);
	else if (hold->is_stopped && !was_stopped)
		hold->stopped_at = now;
	return was_stopped != hold->is_stopped;
}

bool accthold_needs_sample(const struct accthold *hold, apr_time_t now)
{
	return now - earlier(hold->renewed_at, hold->listed_at) >=
	       SERVED_AGE_US;
}

/* The VM's record, or the free one that it would get; NULL if all are used. */
static struct accthold_peer *find_peer(struct accthold *hold, uint64_t vm)
{
	for (unsigned i = 0; i < ACCTHOLD_MAX_PEERS; i++) {
		struct accthold_peer *peer =
			&hold->peers[(vm + i) % ACCTHOLD_MAX_PEERS];

		if (!peer->vm || peer->vm == vm)
			return peer;
	}
	return NULL;
}

/* The VM's record, which is added if it is missing and there is room. */
static struct accthold_peer *add_peer(struct accthold *hold, uint64_t vm)
{
	struct accthold_peer *peer = vm ? find_peer(hold, vm) : NULL;

	if (!peer || (!peer->vm && hold->peer_count >= MAX_USED))
		return NULL;
	hold->peer_count += !peer->vm;
	peer->vm = vm;
	return peer;
}

bool accthold_should_ask(struct accthold *hold, uint64_t vm, apr_time_t now)
{
	struct accthold_peer *peer;

	/* VMs that left stay in the table; the others are asked again soon. */
	if (hold->peer_count >= MAX_USED) {
		memset(hold->peers, 0, sizeof(hold->peers));
		hold->peer_count = 0;
	}
	peer = add_peer(hold, vm);
	if (!peer || now - peer->asked_at < ASK_INTERVAL_US)
		return false;
	peer->asked_at = now;
	return true;
}

void accthold_note_peer(struct accthold *hold, uint64_t vm,
			const struct accthold_state *state, apr_time_t now)
{
	struct accthold_peer *peer = vm ? find_peer(hold, vm) : NULL;

	if (!peer || !peer->vm)
		return;
	peer->heard_at = now;
	peer->state = *state;
}

/* For find_peer(), which writes nothing. */
static struct accthold *without_const(const struct accthold *hold)
{
	return (struct accthold *)(uintptr_t)hold;
}

/* What a VM answered since then, or NULL. */
static const struct accthold_peer *heard(const struct accthold *hold,
					 uint64_t vm, apr_time_t since)
{
	const struct accthold_peer *peer = find_peer(without_const(hold), vm);

	return peer && peer->vm && peer->heard_at && peer->heard_at >= since
		       ? peer
		       : NULL;
}

void accthold_judge_outage(struct accthold *hold, const uint64_t *vms,
			   unsigned count, apr_time_t now)
{
	bool any_served = false;

	hold->asked = count;
	hold->unserved = 0;
	for (unsigned i = 0; i < count; i++) {
		const struct accthold_peer *peer =
			heard(hold, vms[i], now - ANSWER_LIFE_US);

		if (peer && peer->state.store_age < SERVED_AGE_US)
			any_served = true;
		else if (peer)
			hold->unserved++;
	}
	if (count && !any_served &&
	    hold->unserved * ALL_PARTS >= count * LEAST_PARTS)
		hold->outage_until = now + OUTAGE_LIFE_US;
}

struct accthold_state accthold_own_state(const struct accthold *hold,
					 apr_time_t now)
{
	return (struct accthold_state){
		.list_age = now - hold->listed_at,
		.store_age = now - later(hold->renewed_at, hold->listed_at),
		.is_settled =
			!hold->is_stopped && !accthold_is_joining(hold, now),
	};
}

bool accthold_is_joining(const struct accthold *hold, apr_time_t now)
{
	return hold->joined_at && now < hold->joined_at + join_time(hold);
}

/* The VM's record if it knows that this one has joined, or NULL. */
static const struct accthold_peer *knowing(const struct accthold *hold,
					   uint64_t vm)
{
	const struct accthold_peer *peer = heard(hold, vm, hold->joined_at);

	return peer && peer->state.list_age < SERVED_AGE_US ? peer : NULL;
}

bool accthold_is_known_to(const struct accthold *hold, uint64_t vm)
{
	return knowing(hold, vm) != NULL;
}

apr_time_t accthold_usable_at(const struct accthold *hold,
			      const struct accthold_member *order,
			      unsigned count, bool whole, uint64_t self,
			      unsigned accounts, apr_time_t now)
{
	const apr_time_t latest =
		later(hold->joined_at + join_time(hold), hold->first_use_at);
	apr_time_t at = later(hold->joined_at + ACCOUNT_LIST_SPREAD_US,
			      hold->first_use_at);
	unsigned settled = 0;

	if (!accthold_is_joining(hold, now))
		return hold->first_use_at;
	for (unsigned i = 0; i < count && settled < accounts; i++) {
		const struct accthold_peer *peer;

		if (order[i].vm == self)
			continue;
		if (order[i].left_at) {
			at = later(at, order[i].left_at + ACCTHOLD_EXCESS_US);
			continue;
		}
		peer = knowing(hold, order[i].vm);
		if (!peer)
			return latest;
		at = later(at, peer->heard_at);
		settled += peer->state.is_settled;
	}
	return settled < accounts && !whole ? latest : earlier(at, latest);
}
