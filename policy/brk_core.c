#include "policy/brk_core.h"

#include <stdlib.h>

#include "common/err.h"
#include "policy/brk_hold.h"

/* Samples of a rank after which its mean tells a slow upstream. */
#define PACE_SAMPLES_MIN 8

/* Part of the entries that have to report before a new broker grants. */
#define LEARNED_PCT 75

struct brk {
	struct brk_cfg cfg;
	struct brk_sink sink;
	struct brk_fleet fleet;
	struct brk_line line;
	struct brk_hold hold;
	uint32_t permits_made;
	/* 0 once learning is over. */
	apr_time_t learn_until;
	size_t expected;
	size_t synced;
	apr_time_t now;
};

static void advance(struct brk *b, apr_time_t now)
{
	b->now = now;
	brk_line_advance(&b->line, b->fleet.usable, now);
}

static uint32_t waiting(const struct brk *b)
{
	uint32_t sum = 0;

	for (int r = 0; r < RANK_COUNT; r++)
		sum += b->line.use[r].waiting;
	return sum;
}

static void tell_changed(void *ctx, const struct brk_up *up)
{
	struct brk *b = ctx;

	if (b->sink.capacity)
		b->sink.capacity(b->sink.ctx, up);
}

static void refuse(struct brk *b, const struct brk_entry *entry, uint64_t ask,
		   enum rank rank, enum permit_result result)
{
	const struct brk_answer answer = {
		.entry = &entry->name,
		.ask = ask,
		.rank = rank,
		.result = result,
		.why = BRK_WHY_REFUSED,
		.retry_after = brk_line_wait(&b->line, rank),
		.among = (uint32_t)b->fleet.count,
		.free = b->fleet.free,
		.waiting = waiting(b),
	};

	b->sink.answer(b->sink.ctx, &answer);
}

static void tell_granted(struct brk *b, struct brk_permit *permit,
			 enum brk_why why, apr_interval_time_t waited)
{
	struct brk_answer answer = {
		.entry = &permit->entry->name,
		.ask = permit->by_ask.key[0],
		.rank = permit->rank,
		.result = PERMIT_GRANTED,
		.why = why,
		.permit = permit->by_id.key[0],
		.up = permit->up,
		.waited = waited,
		.among = (uint32_t)b->fleet.count,
		.free = b->fleet.free,
		.waiting = waiting(b),
	};

	permit->grant = ++permit->entry->grants;
	answer.grant = permit->grant;
	b->sink.answer(b->sink.ctx, &answer);
}

static struct brk_permit *take(struct brk *b, struct brk_entry *entry,
			       struct brk_up *up, uint64_t id, uint64_t ask,
			       enum rank rank)
{
	struct brk_permit *permit =
		brk_hold_add_permit(&b->hold, entry, id, ask);

	if (!permit)
		return NULL;
	permit->up = up;
	permit->rank = rank;
	permit->granted_at = b->now;
	b->line.use[rank].held++;
	brk_line_granted(&b->line, rank);
	brk_up_take(&b->fleet, up, b->now);
	return permit;
}

static void grant(struct brk *b, struct brk_entry *entry, struct brk_up *up,
		  uint64_t ask, enum rank rank, enum brk_why why,
		  apr_interval_time_t waited)
{
	const uint64_t id = (uint64_t)b->cfg.epoch << 32 | ++b->permits_made;
	struct brk_permit *permit = take(b, entry, up, id, ask, rank);

	if (permit)
		tell_granted(b, permit, why, waited);
	else
		refuse(b, entry, ask, rank, PERMIT_FULL);
}

static void drop_wait(struct brk *b, struct brk_wait *wait)
{
	b->line.use[wait->rank].waiting--;
	brk_hold_drop_wait(&b->hold, wait);
}

/* Finds the next rank and its upstream; urgent work skips a slow one. */
static struct brk_up *choose(struct brk *b, enum rank *rank, bool *reserve)
{
	int next = brk_line_next(&b->line, RANK_URGENT, b->fleet.free, reserve);
	struct brk_up *up;

	if (next == BRK_LINE_NONE)
		return NULL;
	up = brk_fleet_pick(&b->fleet, (enum rank)next);
	if (!up && next == RANK_URGENT) {
		next = brk_line_next(&b->line, RANK_NORMAL, b->fleet.free,
				     reserve);
		if (next == BRK_LINE_NONE)
			return NULL;
		up = brk_fleet_pick(&b->fleet, (enum rank)next);
	}
	*rank = (enum rank)next;
	return up;
}

/*
 * While learning, entries not heard yet may hold any slot. Once most have
 * reported, only the part of the slots of those that have may be in use.
 */
static bool may_grant(const struct brk *b)
{
	if (!b->fleet.free)
		return false;
	if (!b->learn_until)
		return true;
	if (b->synced * 100 < b->expected * LEARNED_PCT || !b->expected)
		return false;
	return (uint64_t)(b->fleet.held + 1) * b->expected <=
	       (uint64_t)b->fleet.usable * b->synced;
}

static void serve(struct brk *b)
{
	enum rank rank;
	bool reserve;

	while (may_grant(b)) {
		struct brk_up *up = choose(b, &rank, &reserve);
		struct brk_wait *wait;
		struct brk_entry *entry;
		uint64_t ask;
		apr_time_t asked_at;
		bool late;

		if (!up)
			return;
		wait = b->hold.queues[rank].first;
		entry = wait->entry;
		ask = wait->by_ask.key[0];
		asked_at = wait->asked_at;
		late = b->now > wait->latest_start;
		drop_wait(b, wait);
		if (late)
			refuse(b, entry, ask, rank, PERMIT_LATE);
		else
			grant(b, entry, up, ask, rank,
			      reserve ? BRK_WHY_RESERVE : BRK_WHY_ORDER,
			      b->now - asked_at);
	}
}

static void end_permit(struct brk *b, struct brk_permit *permit,
		       enum permit_outcome outcome)
{
	struct brk_use *use = &b->line.use[permit->rank];
	const apr_interval_time_t held = b->now - permit->granted_at;
	double pace = 0;

	use->held--;
	if (outcome == PERMIT_DONE) {
		if (permit->rank != RANK_BULK &&
		    use->samples >= PACE_SAMPLES_MIN)
			pace = held / use->mean;
		brk_line_sample(&b->line, permit->rank, held);
	}
	brk_up_free(&b->fleet, permit->up, outcome, pace, b->now);
	brk_hold_drop_permit(&b->hold, permit);
}

/* Frees all that the entry holds and takes its asks out of the lines. */
static void forget(struct brk *b, struct brk_entry *entry)
{
	while (entry->permits)
		end_permit(b, entry->permits, PERMIT_UNUSED);
	for (int r = 0; r < RANK_COUNT; r++) {
		struct brk_wait *wait = b->hold.queues[r].first;

		while (wait) {
			struct brk_wait *next = wait->next;

			if (wait->entry == entry)
				drop_wait(b, wait);
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
			struct brk_entry *entry = wait->entry;
			const uint64_t ask = wait->by_ask.key[0];

			drop_wait(b, wait);
			refuse(b, entry, ask, (enum rank)r, PERMIT_LATE);
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
		brk_line_need(&b->line, ask->rank, ask->deadline - b->now);
	struct brk_wait *wait;

	if (!brk_fleet_any(&b->fleet)) {
		refuse(b, entry, ask->id, ask->rank, PERMIT_NO_UPSTREAM);
		return;
	}
	if (hopeless(b, ask, need)) {
		refuse(b, entry, ask->id, ask->rank, PERMIT_LATE);
		return;
	}
	wait = NULL;
	if (b->line.use[ask->rank].waiting < b->cfg.line_max)
		wait = brk_hold_add_wait(&b->hold, entry, ask->id, ask->rank);
	if (!wait) {
		refuse(b, entry, ask->id, ask->rank, PERMIT_FULL);
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
		permit = take(b, entry, up, claim->permit, claim->ask,
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
	brk_fleet_init(&b->fleet, &cfg->up);
	b->fleet.changed = tell_changed;
	b->fleet.ctx = b;
	brk_line_init(&b->line, now);
	if (brk_hold_init(&b->hold)) {
		brk_destroy(b);
		return PST_ERR_NOMEM;
	}
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
	advance(b, now);
	brk_line_reserve(&b->line, pct);
	serve(b);
}

int brk_set_upstreams(struct brk *b, const struct brk_listed *vms, size_t count,
		      apr_time_t now)
{
	int err;

	advance(b, now);
	err = brk_fleet_list(&b->fleet, vms, count, now);
	advance(b, now);
	serve(b);
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

	advance(b, now);
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

void brk_ask(struct brk *b, struct brk_entry *entry, const struct brk_ask *ask,
	     apr_time_t now)
{
	struct brk_permit *permit;

	advance(b, now);
	if (brk_hold_wait(&b->hold, entry, ask->id))
		return;
	permit = brk_hold_granted(&b->hold, entry, ask->id);
	if (permit) {
		tell_granted(b, permit, BRK_WHY_AGAIN, 0);
		return;
	}
	enqueue(b, entry, ask);
	serve(b);
}

void brk_cancel(struct brk *b, struct brk_entry *entry, uint64_t ask,
		apr_time_t now)
{
	struct brk_wait *wait = brk_hold_wait(&b->hold, entry, ask);
	struct brk_permit *permit = brk_hold_granted(&b->hold, entry, ask);

	advance(b, now);
	if (wait)
		drop_wait(b, wait);
	if (permit)
		end_permit(b, permit, PERMIT_UNUSED);
	serve(b);
}

void brk_release(struct brk *b, struct brk_entry *entry, uint64_t permit,
		 enum permit_outcome outcome, apr_time_t now)
{
	struct brk_permit *held = brk_hold_permit(&b->hold, entry, permit);

	advance(b, now);
	if (held)
		end_permit(b, held, outcome);
	serve(b);
}

void brk_sync(struct brk *b, struct brk_entry *entry,
	      const struct brk_claim *claims, size_t count, uint64_t seen,
	      apr_time_t now)
{
	struct brk_permit *permit;

	advance(b, now);
	if (entry->syncs++ == 0)
		b->synced++;
	for (size_t i = 0; i < count; i++)
		adopt(b, entry, &claims[i]);
	permit = entry->permits;
	while (permit) {
		struct brk_permit *next = permit->next;

		if (permit->sync != entry->syncs && permit->grant <= seen)
			end_permit(b, permit, PERMIT_UNUSED);
		permit = next;
	}
	end_learning(b);
	serve(b);
}

void brk_report(struct brk *b, struct str upstream,
		const struct permit_report *report, apr_time_t now)
{
	struct brk_up *up = brk_fleet_find(&b->fleet, upstream);

	advance(b, now);
	if (up)
		brk_up_report(&b->fleet, up, report, now);
	serve(b);
}

void brk_tick(struct brk *b, apr_time_t now)
{
	advance(b, now);
	brk_hold_each_entry(&b->hold, expire, b);
	brk_fleet_tick(&b->fleet, now);
	end_learning(b);
	drop_late(b);
	serve(b);
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
		out->held_by[r] = b->line.use[r].held;
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
