#include "policy/brk_give.h"

/* Samples of a rank after which its mean tells a slow upstream. */
#define PACE_SAMPLES_MIN 8

/* Samples of a rank after which its mean tells what a far permit counts for. */
#define FAR_SAMPLES_MIN 16

/* Grant and request, answer and release: round trips while a permit is out. */
#define MESSAGES_ROUND_TRIPS 2

/* A far permit counts so many times the part of its time that it uses. */
#define FAR_MARGIN 2.5

/* The least that it counts for, in slots. */
#define FAR_LEAST 0.05

/* Part of the entries that have to report before a new broker grants. */
#define LEARNED_PCT 75

void brk_give_advance(struct brk *b, apr_time_t now)
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

void brk_give_refuse(struct brk *b, const struct brk_entry *entry, uint64_t ask,
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
		.free = (uint32_t)(b->fleet.free / BRK_SLOT),
		.waiting = waiting(b),
	};

	b->sink.answer(b->sink.ctx, &answer);
}

void brk_give_again(struct brk *b, struct brk_permit *permit, enum brk_why why,
		    apr_interval_time_t waited)
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
		.free = (uint32_t)(b->fleet.free / BRK_SLOT),
		.waiting = waiting(b),
	};

	permit->grant = ++permit->entry->grants;
	answer.grant = permit->grant;
	b->sink.answer(b->sink.ctx, &answer);
}

apr_interval_time_t brk_give_messages(const struct brk_entry *entry)
{
	return MESSAGES_ROUND_TRIPS * entry->round_trip;
}

/*
 * What a permit counts for: the part of its time for which the slot is used,
 * with room for requests that arrive at the same time.
 */
static uint32_t weight_of(const struct brk *b, const struct brk_entry *entry,
			  enum rank rank)
{
	const struct brk_use *use = &b->line.use[rank];
	const double part =
		FAR_MARGIN * use->mean / (use->mean + brk_give_messages(entry));

	if (part >= 1 || use->samples < FAR_SAMPLES_MIN)
		return BRK_SLOT;
	return part < FAR_LEAST ? (uint32_t)(FAR_LEAST * BRK_SLOT)
				: (uint32_t)(part * BRK_SLOT);
}

struct brk_permit *brk_give_take(struct brk *b, struct brk_entry *entry,
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
	permit->weight = weight_of(b, entry, rank);
	b->line.use[rank].held += (double)permit->weight / BRK_SLOT;
	brk_line_granted(&b->line, rank);
	brk_up_take(&b->fleet, up, permit->weight, b->now);
	return permit;
}

static void grant(struct brk *b, struct brk_entry *entry, struct brk_up *up,
		  uint64_t ask, enum rank rank, enum brk_why why,
		  apr_interval_time_t waited)
{
	const uint64_t id = (uint64_t)b->cfg.epoch << 32 | ++b->permits_made;
	struct brk_permit *permit = brk_give_take(b, entry, up, id, ask, rank);

	if (permit)
		brk_give_again(b, permit, why, waited);
	else
		brk_give_refuse(b, entry, ask, rank, PERMIT_FULL);
}

void brk_give_drop_wait(struct brk *b, struct brk_wait *wait)
{
	b->line.use[wait->rank].waiting--;
	brk_hold_drop_wait(&b->hold, wait);
}

void brk_give_turn_away(struct brk *b, struct brk_wait *wait, enum rank rank,
			enum permit_result result)
{
	const struct brk_entry *entry = wait->entry;
	const uint64_t ask = wait->by_ask.key[0];

	brk_give_drop_wait(b, wait);
	brk_give_refuse(b, entry, ask, rank, result);
}

static double slots_free(const struct brk *b)
{
	return (double)b->fleet.free / BRK_SLOT;
}

static struct brk_up *pick(const struct brk *b, enum rank rank)
{
	const struct brk_wait *first = b->hold.queues[rank].first;

	return brk_fleet_pick(&b->fleet, rank,
			      weight_of(b, first->entry, rank));
}

/* Finds the next rank and its upstream; urgent work skips a slow one. */
static struct brk_up *choose(struct brk *b, enum rank *rank, bool *reserve)
{
	int next = brk_line_next(&b->line, RANK_URGENT, slots_free(b), reserve);
	struct brk_up *up;

	if (next == BRK_LINE_NONE)
		return NULL;
	up = pick(b, (enum rank)next);
	if (!up && next == RANK_URGENT) {
		next = brk_line_next(&b->line, RANK_NORMAL, slots_free(b),
				     reserve);
		if (next == BRK_LINE_NONE)
			return NULL;
		up = pick(b, (enum rank)next);
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
	return (b->fleet.load + BRK_SLOT) * b->expected <=
	       (uint64_t)b->fleet.usable * BRK_SLOT * b->synced;
}

/* Asks need not wait here while other failure domains may do the work. */
static void refuse_all(struct brk *b)
{
	for (int r = 0; r < RANK_COUNT; r++) {
		struct brk_wait *wait = b->hold.queues[r].first;

		while (wait) {
			struct brk_wait *next = wait->next;

			brk_give_turn_away(b, wait, (enum rank)r,
					   PERMIT_NO_UPSTREAM);
			wait = next;
		}
	}
}

void brk_give_serve(struct brk *b)
{
	enum rank rank;
	bool reserve;

	if (!b->fleet.usable && waiting(b) && !brk_fleet_any(&b->fleet))
		refuse_all(b);
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
		brk_give_drop_wait(b, wait);
		if (late)
			brk_give_refuse(b, entry, ask, rank, PERMIT_LATE);
		else
			grant(b, entry, up, ask, rank,
			      reserve ? BRK_WHY_RESERVE : BRK_WHY_ORDER,
			      b->now - asked_at);
	}
}

void brk_give_end(struct brk *b, struct brk_permit *permit,
		  enum permit_outcome outcome)
{
	struct brk_use *use = &b->line.use[permit->rank];
	const apr_interval_time_t held =
		b->now - permit->granted_at - brk_give_messages(permit->entry);
	double pace = 0;

	use->held -= (double)permit->weight / BRK_SLOT;
	if (outcome == PERMIT_DONE) {
		if (permit->rank != RANK_BULK &&
		    use->samples >= PACE_SAMPLES_MIN)
			pace = held > 0 ? held / use->mean : 0;
		brk_line_sample(&b->line, permit->rank, held);
	}
	brk_up_free(&b->fleet, permit->up, permit->weight, outcome, pace,
		    b->now);
	brk_hold_drop_permit(&b->hold, permit);
}
