#include "policy/brk_grant.h"

/* Finished requests of a rank after which its mean can show a slow upstream. */
#define TIME_RATIO_SAMPLES_MIN 8

/*
 * Finished requests of a rank after which its mean sets the weight of remote
 * permits.
 */
#define REMOTE_SAMPLES_MIN 16

/* Grant and request, response and release: round trips per held permit. */
#define ROUND_TRIPS_PER_PERMIT 2

/* Factor on the part of its time for which a remote permit uses its slot. */
#define REMOTE_WEIGHT_MARGIN 2.5

/* Smallest weight of a remote permit, in slots. */
#define REMOTE_WEIGHT_MIN_SLOTS 0.05

/*
 * Percentage of the expected entry VMs that must have sent their complete lists
 * before a new broker grants permits.
 */
#define LEARN_REPORTS_MIN_PCT 75

void brk_grant_advance(struct brk *b, apr_time_t now)
{
	b->now = now;
	brk_sched_advance(&b->sched, b->fleet.usable, now);
}

static uint32_t total_waiting(const struct brk *b)
{
	uint32_t sum = 0;

	for (int r = 0; r < RANK_COUNT; r++)
		sum += b->sched.ranks[r].waiting;
	return sum;
}

void brk_grant_refuse(struct brk *b, const struct brk_entry *entry,
		      uint64_t ask, enum rank rank, enum permit_result result)
{
	const struct brk_answer answer = {
		.entry = &entry->name,
		.ask = ask,
		.rank = rank,
		.result = result,
		.why = BRK_WHY_REFUSED,
		.retry_after = brk_sched_expected_wait(&b->sched, rank),
		.upstream_count = (uint32_t)b->fleet.count,
		.free = (uint32_t)(b->fleet.free / BRK_SLOT),
		.waiting = total_waiting(b),
	};

	b->sink.answer(b->sink.ctx, &answer);
}

void brk_grant_send(struct brk *b, struct brk_permit *permit, enum brk_why why,
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
		.upstream_count = (uint32_t)b->fleet.count,
		.free = (uint32_t)(b->fleet.free / BRK_SLOT),
		.waiting = total_waiting(b),
	};

	permit->grant = ++permit->entry->grant_count;
	answer.grant = permit->grant;
	b->sink.answer(b->sink.ctx, &answer);
}

apr_interval_time_t brk_grant_message_time(const struct brk_entry *entry)
{
	return ROUND_TRIPS_PER_PERMIT * entry->round_trip;
}

/*
 * Weight of a permit in units of BRK_SLOT: the part of its time for which the
 * slot is used, with a margin for requests that arrive at the same time.
 */
static uint32_t weight_of(const struct brk *b, const struct brk_entry *entry,
			  enum rank rank)
{
	const struct brk_rank_use *use = &b->sched.ranks[rank];
	const double part = REMOTE_WEIGHT_MARGIN * use->mean /
			    (use->mean + brk_grant_message_time(entry));

	if (part >= 1 || use->samples < REMOTE_SAMPLES_MIN)
		return BRK_SLOT;
	return part < REMOTE_WEIGHT_MIN_SLOTS
		       ? (uint32_t)(REMOTE_WEIGHT_MIN_SLOTS * BRK_SLOT)
		       : (uint32_t)(part * BRK_SLOT);
}

struct brk_permit *brk_grant_record(struct brk *b, struct brk_entry *entry,
				    struct brk_up *up, uint64_t id,
				    uint64_t ask, enum rank rank)
{
	struct brk_permit *permit =
		brk_state_add_permit(&b->state, entry, id, ask);

	if (!permit)
		return NULL;
	permit->up = up;
	permit->rank = rank;
	permit->granted_at = b->now;
	permit->weight = weight_of(b, entry, rank);
	b->sched.ranks[rank].held += (double)permit->weight / BRK_SLOT;
	brk_sched_granted(&b->sched, rank);
	brk_up_take(&b->fleet, up, permit->weight, b->now);
	return permit;
}

static void grant(struct brk *b, struct brk_entry *entry, struct brk_up *up,
		  uint64_t ask, enum rank rank, enum brk_why why,
		  apr_interval_time_t waited)
{
	const uint64_t id =
		(uint64_t)b->cfg.epoch << 32 | ++b->last_permit_number;
	struct brk_permit *permit =
		brk_grant_record(b, entry, up, id, ask, rank);

	if (permit)
		brk_grant_send(b, permit, why, waited);
	else
		brk_grant_refuse(b, entry, ask, rank, PERMIT_FULL);
}

void brk_grant_dequeue(struct brk *b, struct brk_queued *wait)
{
	b->sched.ranks[wait->rank].waiting--;
	brk_state_dequeue(&b->state, wait);
}

void brk_grant_refuse_queued(struct brk *b, struct brk_queued *wait,
			     enum rank rank, enum permit_result result)
{
	const struct brk_entry *entry = wait->entry;
	const uint64_t ask = wait->by_ask.key[0];

	brk_grant_dequeue(b, wait);
	brk_grant_refuse(b, entry, ask, rank, result);
}

static double slots_free(const struct brk *b)
{
	return (double)b->fleet.free / BRK_SLOT;
}

static struct brk_up *pick(const struct brk *b, enum rank rank)
{
	const struct brk_queued *first = b->state.queues[rank].first;

	return brk_fleet_pick(&b->fleet, rank,
			      weight_of(b, first->entry, rank));
}

/*
 * Selects the rank to serve next and an upstream for it. Urgent work is not
 * given to a slow upstream; the next rank may take it.
 */
static struct brk_up *choose(struct brk *b, enum rank *rank, bool *reserve)
{
	int next =
		brk_sched_next(&b->sched, RANK_URGENT, slots_free(b), reserve);
	struct brk_up *up;

	if (next == BRK_SCHED_NONE)
		return NULL;
	up = pick(b, (enum rank)next);
	if (!up && next == RANK_URGENT) {
		next = brk_sched_next(&b->sched, RANK_NORMAL, slots_free(b),
				      reserve);
		if (next == BRK_SCHED_NONE)
			return NULL;
		up = pick(b, (enum rank)next);
	}
	*rank = (enum rank)next;
	return up;
}

/*
 * In the learning phase, entry VMs that have not sent their list yet may hold
 * any slot. When most have, the permits may use no more than their proportion
 * of all slots.
 */
static bool may_grant(const struct brk *b)
{
	if (!b->fleet.free)
		return false;
	if (!b->learn_until)
		return true;
	if (b->entries_synced * 100 <
		    b->entries_expected * LEARN_REPORTS_MIN_PCT ||
	    !b->entries_expected)
		return false;
	return (b->fleet.load + BRK_SLOT) * b->entries_expected <=
	       (uint64_t)b->fleet.usable * BRK_SLOT * b->entries_synced;
}

/*
 * Refuses every queued request at once, as other failure domains may be able to
 * serve it.
 */
static void refuse_all(struct brk *b)
{
	for (int r = 0; r < RANK_COUNT; r++) {
		struct brk_queued *wait = b->state.queues[r].first;

		while (wait) {
			struct brk_queued *next = wait->next;

			brk_grant_refuse_queued(b, wait, (enum rank)r,
						PERMIT_NO_UPSTREAM);
			wait = next;
		}
	}
}

void brk_grant_serve(struct brk *b)
{
	enum rank rank;
	bool reserve;

	if (!b->fleet.usable && total_waiting(b) &&
	    !brk_fleet_accepts_work(&b->fleet))
		refuse_all(b);
	while (may_grant(b)) {
		struct brk_up *up = choose(b, &rank, &reserve);
		struct brk_queued *wait;
		struct brk_entry *entry;
		uint64_t ask;
		apr_time_t asked_at;
		bool late;

		if (!up)
			return;
		wait = b->state.queues[rank].first;
		entry = wait->entry;
		ask = wait->by_ask.key[0];
		asked_at = wait->asked_at;
		late = b->now > wait->latest_start;
		brk_grant_dequeue(b, wait);
		if (late)
			brk_grant_refuse(b, entry, ask, rank, PERMIT_LATE);
		else
			grant(b, entry, up, ask, rank,
			      reserve ? BRK_WHY_RESERVE : BRK_WHY_ORDER,
			      b->now - asked_at);
	}
}

void brk_grant_end(struct brk *b, struct brk_permit *permit,
		   enum permit_outcome outcome)
{
	struct brk_rank_use *use = &b->sched.ranks[permit->rank];
	const apr_interval_time_t held = b->now - permit->granted_at -
					 brk_grant_message_time(permit->entry);
	double time_ratio = 0;

	use->held -= (double)permit->weight / BRK_SLOT;
	if (outcome == PERMIT_DONE) {
		if (permit->rank != RANK_BULK &&
		    use->samples >= TIME_RATIO_SAMPLES_MIN)
			time_ratio = held > 0 ? held / use->mean : 0;
		brk_sched_sample(&b->sched, permit->rank, held);
	}
	brk_up_release(&b->fleet, permit->up, permit->weight, outcome,
		       time_ratio, b->now);
	brk_state_drop_permit(&b->state, permit);
}
