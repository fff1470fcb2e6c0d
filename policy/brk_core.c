#include "policy/brk_core.h"

#include <stdlib.h>

#include "common/err.h"
#include "policy/brk_give.h"

static void tell_changed(void *ctx, const struct brk_up *up)
{
	struct brk *b = ctx;

	if (b->sink.capacity)
		b->sink.capacity(b->sink.ctx, up);
}

/* Frees all that the entry holds and takes its asks out of the lines. */
static void forget(struct brk *b, struct brk_entry *entry)
{
	while (entry->permits)
		brk_give_end(b, entry->permits, PERMIT_UNUSED);
	for (int r = 0; r < RANK_COUNT; r++) {
		struct brk_wait *wait = b->hold.queues[r].first;

		while (wait) {
			struct brk_wait *next = wait->next;

			if (wait->entry == entry)
				brk_give_drop_wait(b, wait);
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
	forget(b, entry);
	brk_hold_drop_entry(&b->hold, entry);
}

static void drop_late(struct brk *b)
{
	for (int r = 0; r < RANK_COUNT; r++) {
		struct brk_wait *wait = b->hold.queues[r].first;

		while (wait && b->now > wait->latest_start) {
			struct brk_wait *next = wait->next;

			brk_give_turn_away(b, wait, (enum rank)r, PERMIT_LATE);
			wait = next;
		}
	}
}

static void end_learning(struct brk *b)
{
	if (!b->learn_until)
		return;
	if (b->now >= b->learn_until ||
	    (b->expected && b->synced >= b->expected))
		b->learn_until = 0;
}

/* Whether the ask would have to wait too long for its deadline. */
static bool hopeless(const struct brk *b, const struct brk_ask *ask,
		     apr_interval_time_t need)
{
	const bool at_once = !b->line.use[ask->rank].waiting && b->fleet.free;

	if (ask->deadline <= b->now)
		return true;
	if (at_once || b->learn_until)
		return false;
	return b->now + brk_line_wait(&b->line, ask->rank) + need >
	       ask->deadline;
}

static void enqueue(struct brk *b, struct brk_entry *entry,
		    const struct brk_ask *ask)
{
	const apr_interval_time_t need =
		brk_line_need(&b->line, ask->rank, brk_give_messages(entry),
			      ask->deadline - b->now);
	struct brk_wait *wait;

	if (!brk_fleet_any(&b->fleet)) {
		brk_give_refuse(b, entry, ask->id, ask->rank,
				PERMIT_NO_UPSTREAM);
		return;
	}
	if (hopeless(b, ask, need)) {
		brk_give_refuse(b, entry, ask->id, ask->rank, PERMIT_LATE);
		return;
	}
	wait = NULL;
	if (b->line.use[ask->rank].waiting < b->cfg.line_max)
		wait = brk_hold_add_wait(&b->hold, entry, ask->id, ask->rank);
	if (!wait) {
		brk_give_refuse(b, entry, ask->id, ask->rank, PERMIT_FULL);
		return;
	}
	wait->asked_at = b->now;
	wait->latest_start = ask->deadline - need;
	b->line.use[ask->rank].waiting++;
	b->line.use[ask->rank].last_ask = b->now;
}

static void adopt(struct brk *b, struct brk_entry *entry,
		  const struct brk_claim *claim)
{
	struct brk_permit *permit =
		brk_hold_permit(&b->hold, entry, claim->permit);

	if (!permit) {
		struct brk_up *up =
			brk_fleet_find(&b->fleet, strbuf_str(&claim->upstream));

		if (!up || brk_hold_granted(&b->hold, entry, claim->ask))
			return;
		permit = brk_give_take(b, entry, up, claim->permit, claim->ask,
				       claim->rank);
		if (!permit)
			return;
		permit->granted_at = b->now - claim->age;
	}
	permit->sync = entry->syncs;
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
	b->learn_until = cfg->learn ? now + cfg->learn : 0;
	brk_line_init(&b->line, now);
	if (brk_fleet_init(&b->fleet, &cfg->up) || brk_hold_init(&b->hold)) {
		brk_destroy(b);
		return PST_ERR_NOMEM;
	}
	b->fleet.changed = tell_changed;
	b->fleet.ctx = b;
	*out = b;
	return 0;
}

void brk_destroy(struct brk *b)
{
	if (!b)
		return;
	brk_hold_done(&b->hold);
	brk_fleet_done(&b->fleet);
	free(b);
}

void brk_set_reserves(struct brk *b, const uint32_t pct[RANK_COUNT],
		      apr_time_t now)
{
	brk_give_advance(b, now);
	brk_line_reserve(&b->line, pct);
	brk_give_serve(b);
}

int brk_set_upstreams(struct brk *b, const struct brk_listed *vms, size_t count,
		      apr_time_t now)
{
	int err;

	brk_give_advance(b, now);
	err = brk_fleet_list(&b->fleet, vms, count, now);
	brk_give_advance(b, now);
	brk_give_serve(b);
	return err;
}

void brk_expect(struct brk *b, size_t entries)
{
	b->expected = entries;
}

struct brk_entry *brk_hello(struct brk *b, struct str name,
			    uint64_t incarnation, apr_time_t now)
{
	struct brk_entry *entry = brk_hold_entry(&b->hold, name);

	brk_give_advance(b, now);
	if (!entry) {
		entry = brk_hold_add_entry(&b->hold, name);
		if (!entry)
			return NULL;
		entry->incarnation = incarnation;
	}
	if (entry->incarnation != incarnation) {
		forget(b, entry);
		brk_hold_renumber(&b->hold, entry);
		entry->incarnation = incarnation;
	}
	entry->heard_at = now;
	return entry;
}

void brk_far(struct brk_entry *entry, apr_interval_time_t round_trip)
{
	entry->round_trip = round_trip;
}

void brk_ask(struct brk *b, struct brk_entry *entry, const struct brk_ask *ask,
	     apr_time_t now)
{
	struct brk_permit *permit;

	brk_give_advance(b, now);
	if (brk_hold_wait(&b->hold, entry, ask->id))
		return;
	permit = brk_hold_granted(&b->hold, entry, ask->id);
	if (permit) {
		brk_give_again(b, permit, BRK_WHY_AGAIN, 0);
		return;
	}
	enqueue(b, entry, ask);
	brk_give_serve(b);
}

void brk_cancel(struct brk *b, struct brk_entry *entry, uint64_t ask,
		apr_time_t now)
{
	struct brk_wait *wait = brk_hold_wait(&b->hold, entry, ask);
	struct brk_permit *permit = brk_hold_granted(&b->hold, entry, ask);

	brk_give_advance(b, now);
	if (wait)
		brk_give_drop_wait(b, wait);
	if (permit)
		brk_give_end(b, permit, PERMIT_UNUSED);
	brk_give_serve(b);
}

void brk_release(struct brk *b, struct brk_entry *entry, uint64_t permit,
		 enum permit_outcome outcome, apr_time_t now)
{
	struct brk_permit *held = brk_hold_permit(&b->hold, entry, permit);

	brk_give_advance(b, now);
	if (held)
		brk_give_end(b, held, outcome);
	brk_give_serve(b);
}

void brk_sync(struct brk *b, struct brk_entry *entry,
	      const struct brk_claim *claims, size_t count, uint64_t seen,
	      apr_time_t now)
{
	struct brk_permit *permit;

	brk_give_advance(b, now);
	if (entry->syncs++ == 0)
		b->synced++;
	for (size_t i = 0; i < count; i++)
		adopt(b, entry, &claims[i]);
	permit = entry->permits;
	while (permit) {
		struct brk_permit *next = permit->next;

		/* After that time its answer is lost, not under way. */
		if (permit->sync != entry->syncs &&
		    (permit->grant <= seen ||
		     now - permit->granted_at > b->cfg.permit_ttl))
			brk_give_end(b, permit, PERMIT_UNUSED);
		permit = next;
	}
	end_learning(b);
	brk_give_serve(b);
}

void brk_report(struct brk *b, struct str upstream,
		const struct permit_report *report, apr_time_t now)
{
	struct brk_up *up = brk_fleet_find(&b->fleet, upstream);

	brk_give_advance(b, now);
	if (up)
		brk_up_report(&b->fleet, up, report, now);
	brk_give_serve(b);
}

void brk_tick(struct brk *b, apr_time_t now)
{
	brk_give_advance(b, now);
	brk_hold_each_entry(&b->hold, expire, b);
	brk_fleet_tick(&b->fleet, now);
	end_learning(b);
	drop_late(b);
	brk_give_serve(b);
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
		.entries = b->hold.entries.count,
		.permits = b->hold.permits.count,
		.upstreams = b->fleet.count,
	};
	for (int r = 0; r < RANK_COUNT; r++) {
		out->held_by[r] = (uint32_t)(b->line.use[r].held + 0.5);
		out->waiting_by[r] = b->line.use[r].waiting;
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
