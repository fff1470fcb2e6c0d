#include "policy/brk_core.h"

#include <stdlib.h>

#include "common/err.h"
#include "policy/brk_grant.h"

static void report_capacity(void *ctx, const struct brk_up *up)
{
	struct brk *b = ctx;

	if (b->sink.capacity)
		b->sink.capacity(b->sink.ctx, up);
}

/* Frees the entry VM's permits and removes its requests from the queues. */
static void drop_all(struct brk *b, struct brk_entry *entry)
{
	while (entry->permits)
		brk_grant_end(b, entry->permits, PERMIT_UNUSED);
	for (int r = 0; r < RANK_COUNT; r++) {
		struct brk_queued *wait = b->state.queues[r].first;

		while (wait) {
			struct brk_queued *next = wait->next;

			if (wait->entry == entry)
				brk_grant_dequeue(b, wait);
			wait = next;
		}
	}
}

static void expire(void *ctx, struct brk_entry *entry)
{
	struct brk *b = ctx;

	if (b->now - entry->heard_at < b->cfg.permit_ttl)
		return;
	if (b->sink.expired)
		b->sink.expired(b->sink.ctx, &entry->name, entry->permit_count);
	drop_all(b, entry);
	brk_state_drop_entry(&b->state, entry);
}

static void refuse_late(struct brk *b)
{
	for (int r = 0; r < RANK_COUNT; r++) {
		struct brk_queued *wait = b->state.queues[r].first;

		while (wait && b->now > wait->latest_start) {
			struct brk_queued *next = wait->next;

			brk_grant_refuse_queued(b, wait, (enum rank)r,
						PERMIT_LATE);
			wait = next;
		}
	}
}

static void check_learning(struct brk *b)
{
	if (!b->learn_until)
		return;
	if (b->now >= b->learn_until ||
	    (b->entries_expected && b->entries_synced >= b->entries_expected))
		b->learn_until = 0;
}

/* Whether the request's deadline passes before it can get a slot and run. */
static bool cannot_meet_deadline(const struct brk *b, const struct brk_ask *ask,
				 apr_interval_time_t run_time)
{
	const bool at_once =
		!b->sched.ranks[ask->rank].waiting && b->fleet.free;

	if (ask->deadline <= b->now)
		return true;
	if (at_once || b->learn_until)
		return false;
	return b->now + brk_sched_expected_wait(&b->sched, ask->rank) +
		       run_time >
	       ask->deadline;
}

static void enqueue(struct brk *b, struct brk_entry *entry,
		    const struct brk_ask *ask)
{
	const apr_interval_time_t run_time = brk_sched_run_time(
		&b->sched, ask->rank, brk_grant_message_time(entry),
		ask->deadline - b->now);
	struct brk_queued *wait;

	if (!brk_fleet_accepts_work(&b->fleet)) {
		brk_grant_refuse(b, entry, ask->id, ask->rank,
				 PERMIT_NO_UPSTREAM);
		return;
	}
	if (cannot_meet_deadline(b, ask, run_time)) {
		brk_grant_refuse(b, entry, ask->id, ask->rank, PERMIT_LATE);
		return;
	}
	wait = NULL;
	if (b->sched.ranks[ask->rank].waiting < b->cfg.queue_max)
		wait = brk_state_enqueue(&b->state, entry, ask->id, ask->rank);
	if (!wait) {
		brk_grant_refuse(b, entry, ask->id, ask->rank, PERMIT_FULL);
		return;
	}
	wait->asked_at = b->now;
	wait->latest_start = ask->deadline - run_time;
	b->sched.ranks[ask->rank].waiting++;
	b->sched.ranks[ask->rank].last_ask = b->now;
}

static void adopt(struct brk *b, struct brk_entry *entry,
		  const struct brk_claim *claim)
{
	struct brk_permit *permit =
		brk_state_find_permit(&b->state, entry, claim->permit);

	if (!permit) {
		struct brk_up *up =
			brk_fleet_find(&b->fleet, strbuf_str(&claim->upstream));

		if (!up || brk_state_find_by_ask(&b->state, entry, claim->ask))
			return;
		permit = brk_grant_record(b, entry, up, claim->permit,
					  claim->ask, claim->rank);
		if (!permit)
			return;
		permit->granted_at = b->now - claim->age;
	}
	permit->last_sync = entry->sync_count;
}

uint32_t brk_epoch(uint64_t incarnation, uint64_t nth)
{
	return (uint32_t)(incarnation + nth) & INT32_MAX;
}

int brk_create(struct brk **out, const struct brk_cfg *cfg,
	       struct brk_sink sink, apr_time_t now)
{
	struct brk *b = calloc(1, sizeof(*b));

	if (!b)
		return PST_ERR_NOMEM;
	b->cfg = *cfg;
	b->sink = sink;
	b->now = now;
	b->learn_until = cfg->learn_time ? now + cfg->learn_time : 0;
	brk_sched_init(&b->sched, now);
	if (brk_fleet_init(&b->fleet, &cfg->up) || brk_state_init(&b->state)) {
		brk_destroy(b);
		return PST_ERR_NOMEM;
	}
	b->fleet.changed = report_capacity;
	b->fleet.ctx = b;
	*out = b;
	return 0;
}

void brk_destroy(struct brk *b)
{
	if (!b)
		return;
	brk_state_done(&b->state);
	brk_fleet_done(&b->fleet);
	free(b);
}

void brk_set_reserves(struct brk *b, const uint32_t pct[RANK_COUNT],
		      apr_time_t now)
{
	brk_grant_advance(b, now);
	brk_sched_set_reserves(&b->sched, pct);
	brk_grant_serve(b);
}

int brk_set_upstreams(struct brk *b, const struct brk_listed_vm *vms,
		      size_t count, apr_time_t now)
{
	int err;

	brk_grant_advance(b, now);
	err = brk_fleet_set_list(&b->fleet, vms, count, now);
	brk_grant_advance(b, now);
	brk_grant_serve(b);
	return err;
}

void brk_expect_entries(struct brk *b, size_t entries)
{
	b->entries_expected = entries;
}

struct brk_entry *brk_hello(struct brk *b, struct str name,
			    uint64_t incarnation, apr_time_t now)
{
	struct brk_entry *entry = brk_state_find_entry(&b->state, name);

	brk_grant_advance(b, now);
	if (!entry) {
		entry = brk_state_add_entry(&b->state, name);
		if (!entry)
			return NULL;
		entry->incarnation = incarnation;
	}
	if (entry->incarnation != incarnation) {
		drop_all(b, entry);
		brk_state_reset_entry(&b->state, entry);
		entry->incarnation = incarnation;
	}
	entry->heard_at = now;
	return entry;
}

void brk_set_round_trip(struct brk_entry *entry, apr_interval_time_t round_trip)
{
	entry->round_trip = round_trip;
}

void brk_ask(struct brk *b, struct brk_entry *entry, const struct brk_ask *ask,
	     apr_time_t now)
{
	struct brk_permit *permit;

	brk_grant_advance(b, now);
	if (brk_state_find_waiting(&b->state, entry, ask->id))
		return;
	permit = brk_state_find_by_ask(&b->state, entry, ask->id);
	if (permit) {
		brk_grant_send(b, permit, BRK_WHY_AGAIN, 0);
		return;
	}
	enqueue(b, entry, ask);
	brk_grant_serve(b);
}

void brk_cancel(struct brk *b, struct brk_entry *entry, uint64_t ask,
		apr_time_t now)
{
	struct brk_queued *wait = brk_state_find_waiting(&b->state, entry, ask);
	struct brk_permit *permit =
		brk_state_find_by_ask(&b->state, entry, ask);

	brk_grant_advance(b, now);
	if (wait)
		brk_grant_dequeue(b, wait);
	if (permit)
		brk_grant_end(b, permit, PERMIT_UNUSED);
	brk_grant_serve(b);
}

void brk_release(struct brk *b, struct brk_entry *entry, uint64_t permit,
		 enum permit_outcome outcome, apr_time_t now)
{
	struct brk_permit *held =
		brk_state_find_permit(&b->state, entry, permit);

	brk_grant_advance(b, now);
	if (held)
		brk_grant_end(b, held, outcome);
	brk_grant_serve(b);
}

void brk_sync(struct brk *b, struct brk_entry *entry,
	      const struct brk_claim *claims, size_t count, uint64_t seen,
	      apr_time_t now)
{
	struct brk_permit *permit;

	brk_grant_advance(b, now);
	if (entry->sync_count++ == 0)
		b->entries_synced++;
	for (size_t i = 0; i < count; i++)
		adopt(b, entry, &claims[i]);
	permit = entry->permits;
	while (permit) {
		struct brk_permit *next = permit->next;

		/*
		 * After the time to live the answer is lost rather than in
		 * flight.
		 */
		if (permit->last_sync != entry->sync_count &&
		    (permit->grant <= seen ||
		     now - permit->granted_at > b->cfg.permit_ttl))
			brk_grant_end(b, permit, PERMIT_UNUSED);
		permit = next;
	}
	check_learning(b);
	brk_grant_serve(b);
}

void brk_report(struct brk *b, struct str upstream,
		const struct load_report *report, apr_time_t now)
{
	struct brk_up *up = brk_fleet_find(&b->fleet, upstream);

	brk_grant_advance(b, now);
	if (up)
		brk_up_report(&b->fleet, up, report, now);
	brk_grant_serve(b);
}

void brk_tick(struct brk *b, apr_time_t now)
{
	brk_grant_advance(b, now);
	brk_state_each_entry(&b->state, expire, b);
	brk_fleet_tick(&b->fleet, now);
	check_learning(b);
	refuse_late(b);
	brk_grant_serve(b);
}

bool brk_learning(const struct brk *b)
{
	return b->learn_until != 0;
}

void brk_stats(const struct brk *b, struct brk_stats *out)
{
	*out = (struct brk_stats){
		.usable = b->fleet.usable,
		.held = b->fleet.held,
		.entries = b->state.entries.count,
		.permits = b->state.permits.count,
		.upstreams = b->fleet.count,
	};
	for (int r = 0; r < RANK_COUNT; r++) {
		out->held_by[r] = (uint32_t)(b->sched.ranks[r].held + 0.5);
		out->waiting_by[r] = b->sched.ranks[r].waiting;
	}
}

const struct brk_up *brk_upstream(const struct brk *b, struct str name)
{
	return brk_fleet_find(&b->fleet, name);
}

const char *brk_why_name(enum brk_why why)
{
	static const char *const names[] = {
		[BRK_WHY_RESERVE] = "reserve",
		[BRK_WHY_ORDER] = "order",
		[BRK_WHY_AGAIN] = "again",
		[BRK_WHY_REFUSED] = "refused",
	};

	return names[why];
}
