#include "policy/broker_core.h"

#include <stdlib.h>

#include "common/err.h"
#include "policy/broker_grant.h"

static void report_capacity(void *ctx, const struct broker_up *up)
{
	struct broker *b = ctx;

	if (b->sink.capacity)
		b->sink.capacity(b->sink.ctx, up);
}

/* Frees the entry VM's permits and removes its requests from the queues. */
static void drop_all(struct broker *b, struct broker_entry *entry)
{
	while (entry->permits)
		broker_grant_end(b, entry->permits, PERMIT_UNUSED);
	for (int r = 0; r < RANK_COUNT; r++) {
		struct broker_queued *wait = b->state.queues[r].first;

		while (wait) {
			struct broker_queued *next = wait->next;

			if (wait->entry == entry)
				broker_grant_dequeue(b, wait);
			wait = next;
		}
	}
}

static void expire(void *ctx, struct broker_entry *entry)
{
	struct broker *b = ctx;

	if (b->now - entry->heard_at < b->cfg.permit_ttl)
		return;
	if (b->sink.expired)
		b->sink.expired(b->sink.ctx, &entry->name, entry->permit_count);
	drop_all(b, entry);
	broker_state_drop_entry(&b->state, entry);
}

static void refuse_late(struct broker *b)
{
	for (int r = 0; r < RANK_COUNT; r++) {
		struct broker_queued *wait = b->state.queues[r].first;

		while (wait && b->now > wait->latest_start) {
			struct broker_queued *next = wait->next;

			broker_grant_refuse_queued(b, wait, (enum rank)r,
						   PERMIT_LATE);
			wait = next;
		}
	}
}

static void check_learning(struct broker *b)
{
	if (!b->learn_until)
		return;
	if (b->now >= b->learn_until ||
	    (b->entries_expected && b->entries_synced >= b->entries_expected))
		b->learn_until = 0;
}

/* Whether the request's deadline passes before it can get a slot and run. */
static bool cannot_meet_deadline(const struct broker *b,
				 const struct broker_ask *ask,
				 apr_interval_time_t run_time)
{
	const bool at_once =
		!b->sched.ranks[ask->rank].waiting && b->fleet.free;

	if (ask->deadline <= b->now)
		return true;
	if (at_once || b->learn_until)
		return false;
	return b->now + broker_sched_expected_wait(&b->sched, ask->rank) +
		       run_time >
	       ask->deadline;
}

static void enqueue(struct broker *b, struct broker_entry *entry,
		    const struct broker_ask *ask)
{
	const apr_interval_time_t run_time = broker_sched_run_time(
		&b->sched, ask->rank, broker_grant_message_time(entry),
		ask->deadline - b->now);
	struct broker_queued *wait;

	if (!broker_fleet_accepts_work(&b->fleet)) {
		broker_grant_refuse(b, entry, ask->id, ask->rank,
				    PERMIT_NO_UPSTREAM);
		return;
	}
	if (cannot_meet_deadline(b, ask, run_time)) {
		broker_grant_refuse(b, entry, ask->id, ask->rank, PERMIT_LATE);
		return;
	}
	wait = NULL;
	if (b->sched.ranks[ask->rank].waiting < b->cfg.queue_max)
		wait = broker_state_enqueue(&b->state, entry, ask->id,
					    ask->rank);
	if (!wait) {
		broker_grant_refuse(b, entry, ask->id, ask->rank, PERMIT_FULL);
		return;
	}
	wait->asked_at = b->now;
	wait->latest_start = ask->deadline - run_time;
	b->sched.ranks[ask->rank].waiting++;
	b->sched.ranks[ask->rank].last_ask = b->now;
}

static void adopt(struct broker *b, struct broker_entry *entry,
		  const struct broker_claim *claim)
{
	struct broker_permit *permit =
		broker_state_find_permit(&b->state, entry, claim->permit);

	if (!permit) {
		struct broker_up *up = broker_fleet_find(
			&b->fleet, strbuf_str(&claim->upstream));

		if (!up ||
		    broker_state_find_by_ask(&b->state, entry, claim->ask))
			return;
		permit = broker_grant_record(b, entry, up, claim->permit,
					     claim->ask, claim->rank);
		if (!permit)
			return;
		permit->granted_at = b->now - claim->age;
	}
	permit->last_sync = entry->sync_count;
}

uint32_t broker_epoch(uint64_t incarnation, uint64_t nth)
{
	return (uint32_t)(incarnation + nth) & INT32_MAX;
}

int broker_create(struct broker **out, const struct broker_cfg *cfg,
		  struct broker_sink sink, apr_time_t now)
{
	struct broker *b = calloc(1, sizeof(*b));

	if (!b)
		return PST_ERR_NOMEM;
	b->cfg = *cfg;
	b->sink = sink;
	b->now = now;
	b->learn_until = cfg->learn_time ? now + cfg->learn_time : 0;
	broker_sched_init(&b->sched, now);
	if (broker_fleet_init(&b->fleet, &cfg->up) ||
	    broker_state_init(&b->state)) {
		broker_destroy(b);
		return PST_ERR_NOMEM;
	}
	b->fleet.changed = report_capacity;
	b->fleet.ctx = b;
	*out = b;
	return 0;
}

void broker_destroy(struct broker *b)
{
	if (!b)
		return;
	broker_state_done(&b->state);
	broker_fleet_done(&b->fleet);
	free(b);
}

void broker_set_reserves(struct broker *b, const uint32_t pct[RANK_COUNT],
			 apr_time_t now)
{
	broker_grant_advance(b, now);
	broker_sched_set_reserves(&b->sched, pct);
	broker_grant_serve(b);
}

int broker_set_upstreams(struct broker *b, const struct broker_listed_vm *vms,
			 size_t count, apr_time_t now)
{
	int err;

	broker_grant_advance(b, now);
	err = broker_fleet_set_list(&b->fleet, vms, count, now);
	broker_grant_advance(b, now);
	broker_grant_serve(b);
	return err;
}

void broker_expect_entries(struct broker *b, size_t entries)
{
	b->entries_expected = entries;
}

struct broker_entry *broker_hello(struct broker *b, struct str name,
				  uint64_t incarnation, apr_time_t now)
{
	struct broker_entry *entry = broker_state_find_entry(&b->state, name);

	broker_grant_advance(b, now);
	if (!entry) {
		entry = broker_state_add_entry(&b->state, name);
		if (!entry)
			return NULL;
		entry->incarnation = incarnation;
	}
	if (entry->incarnation != incarnation) {
		drop_all(b, entry);
		broker_state_reset_entry(&b->state, entry);
		entry->incarnation = incarnation;
	}
	entry->heard_at = now;
	return entry;
}

void broker_set_round_trip(struct broker_entry *entry,
			   apr_interval_time_t round_trip)
{
	entry->round_trip = round_trip;
}

void broker_ask(struct broker *b, struct broker_entry *entry,
		const struct broker_ask *ask, apr_time_t now)
{
	struct broker_permit *permit;

	broker_grant_advance(b, now);
	if (broker_state_find_waiting(&b->state, entry, ask->id))
		return;
	permit = broker_state_find_by_ask(&b->state, entry, ask->id);
	if (permit) {
		broker_grant_send(b, permit, BROKER_WHY_AGAIN, 0);
		return;
	}
	enqueue(b, entry, ask);
	broker_grant_serve(b);
}

void broker_cancel(struct broker *b, struct broker_entry *entry, uint64_t ask,
		   apr_time_t now)
{
	struct broker_queued *wait =
		broker_state_find_waiting(&b->state, entry, ask);
	struct broker_permit *permit =
		broker_state_find_by_ask(&b->state, entry, ask);

	broker_grant_advance(b, now);
	if (wait)
		broker_grant_dequeue(b, wait);
	if (permit)
		broker_grant_end(b, permit, PERMIT_UNUSED);
	broker_grant_serve(b);
}

void broker_release(struct broker *b, struct broker_entry *entry,
		    uint64_t permit, enum permit_outcome outcome,
		    apr_time_t now)
{
	struct broker_permit *held =
		broker_state_find_permit(&b->state, entry, permit);

	broker_grant_advance(b, now);
	if (held)
		broker_grant_end(b, held, outcome);
	broker_grant_serve(b);
}

void broker_sync(struct broker *b, struct broker_entry *entry,
		 const struct broker_claim *claims, size_t count, uint64_t seen,
		 apr_time_t now)
{
	struct broker_permit *permit;

	broker_grant_advance(b, now);
	if (entry->sync_count++ == 0)
		b->entries_synced++;
	for (size_t i = 0; i < count; i++)
		adopt(b, entry, &claims[i]);
	permit = entry->permits;
	while (permit) {
		struct broker_permit *next = permit->next;

		/*
		 * After the time to live the answer is lost rather than in
		 * flight.
		 */
		if (permit->last_sync != entry->sync_count &&
		    (permit->grant <= seen ||
		     now - permit->granted_at > b->cfg.permit_ttl))
			broker_grant_end(b, permit, PERMIT_UNUSED);
		permit = next;
	}
	check_learning(b);
	broker_grant_serve(b);
}

void broker_report(struct broker *b, struct str upstream,
		   const struct load_report *report, apr_time_t now)
{
	struct broker_up *up = broker_fleet_find(&b->fleet, upstream);

	broker_grant_advance(b, now);
	if (up)
		broker_up_report(&b->fleet, up, report, now);
	broker_grant_serve(b);
}

void broker_tick(struct broker *b, apr_time_t now)
{
	broker_grant_advance(b, now);
	broker_state_each_entry(&b->state, expire, b);
	broker_fleet_tick(&b->fleet, now);
	check_learning(b);
	refuse_late(b);
	broker_grant_serve(b);
}

bool broker_learning(const struct broker *b)
{
	return b->learn_until != 0;
}

void broker_stats(const struct broker *b, struct broker_stats *out)
{
	*out = (struct broker_stats){
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

const struct broker_up *broker_upstream(const struct broker *b, struct str name)
{
	return broker_fleet_find(&b->fleet, name);
}

const char *broker_why_name(enum broker_why why)
{
	static const char *const names[] = {
		[BROKER_WHY_RESERVE] = "reserve",
		[BROKER_WHY_ORDER] = "order",
		[BROKER_WHY_AGAIN] = "again",
		[BROKER_WHY_REFUSED] = "refused",
	};

	return names[why];
}
