#include "policy/broker_grant.h"

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

void broker_grant_advance(struct broker *b, apr_time_t now)
{
	b->now = now;
	broker_sched_advance(&b->sched, b->fleet.usable, now);
}

static uint32_t total_waiting(const struct broker *b)
{
	uint32_t sum = 0;

	for (int r = 0; r < RANK_COUNT; r++)
		sum += b->sched.ranks[r].waiting;
	return sum;
}

void broker_grant_refuse(struct broker *b, const struct broker_entry *entry,
			 uint64_t ask, enum rank rank,
			 enum permit_result result)
{
	const struct broker_answer answer = {
		.entry = &entry->name,
		.ask = ask,
		.rank = rank,
		.result = result,
		.why = BROKER_WHY_REFUSED,
		.retry_after = broker_sched_expected_wait(&b->sched, rank),
		.upstream_count = (uint32_t)b->fleet.count,
		.free = (uint32_t)(b->fleet.free / BROKER_SLOT),
		.waiting = total_waiting(b),
	};

	b->sink.answer(b->sink.ctx, &answer);
}

void broker_grant_send(struct broker *b, struct broker_permit *permit,
		       enum broker_why why, apr_interval_time_t waited)
{
	struct broker_answer answer = {
		.entry = &permit->entry->name,
		.ask = permit->by_ask.key[0],
		.rank = permit->rank,
		.result = PERMIT_GRANTED,
		.why = why,
		.permit = permit->by_id.key[0],
		.up = permit->up,
		.waited = waited,
		.upstream_count = (uint32_t)b->fleet.count,
		.free = (uint32_t)(b->fleet.free / BROKER_SLOT),
		.waiting = total_waiting(b),
	};

	permit->grant = ++permit->entry->grant_count;
	answer.grant = permit->grant;
	b->sink.answer(b->sink.ctx, &answer);
}

apr_interval_time_t broker_grant_message_time(const struct broker_entry *entry)
{
	return ROUND_TRIPS_PER_PERMIT * entry->round_trip;
}

/*
 * Weight of a permit in units of BROKER_SLOT: the part of its time for which
 * the slot is used, with a margin for requests that arrive at the same time.
 */
static uint32_t weight_of(const struct broker *b,
			  const struct broker_entry *entry, enum rank rank)
{
	const struct broker_rank_use *use = &b->sched.ranks[rank];
	const double part = REMOTE_WEIGHT_MARGIN * use->mean /
			    (use->mean + broker_grant_message_time(entry));

	if (part >= 1 || use->samples < REMOTE_SAMPLES_MIN)
		return BROKER_SLOT;
	return part < REMOTE_WEIGHT_MIN_SLOTS
		       ? (uint32_t)(REMOTE_WEIGHT_MIN_SLOTS * BROKER_SLOT)
		       : (uint32_t)(part * BROKER_SLOT);
}

struct broker_permit *broker_grant_record(struct broker *b,
					  struct broker_entry *entry,
					  struct broker_up *up, uint64_t id,
					  uint64_t ask, enum rank rank)
{
	struct broker_permit *permit =
		broker_state_add_permit(&b->state, entry, id, ask);

	if (!permit)
		return NULL;
	permit->up = up;
	permit->rank = rank;
	permit->granted_at = b->now;
	permit->weight = weight_of(b, entry, rank);
	b->sched.ranks[rank].held += (double)permit->weight / BROKER_SLOT;
	broker_sched_granted(&b->sched, rank);
	broker_up_take(&b->fleet, up, permit->weight, b->now);
	return permit;
}

static void grant(struct broker *b, struct broker_entry *entry,
		  struct broker_up *up, uint64_t ask, enum rank rank,
		  enum broker_why why, apr_interval_time_t waited)
{
	const uint64_t id =
		(uint64_t)b->cfg.epoch << 32 | ++b->last_permit_number;
	struct broker_permit *permit =
		broker_grant_record(b, entry, up, id, ask, rank);

	if (permit)
		broker_grant_send(b, permit, why, waited);
	else
		broker_grant_refuse(b, entry, ask, rank, PERMIT_FULL);
}

void broker_grant_dequeue(struct broker *b, struct broker_queued *wait)
{
	b->sched.ranks[wait->rank].waiting--;
	broker_state_dequeue(&b->state, wait);
}

void broker_grant_refuse_queued(struct broker *b, struct broker_queued *wait,
				enum rank rank, enum permit_result result)
{
	const struct broker_entry *entry = wait->entry;
	const uint64_t ask = wait->by_ask.key[0];

	broker_grant_dequeue(b, wait);
	broker_grant_refuse(b, entry, ask, rank, result);
}

static double slots_free(const struct broker *b)
{
	return (double)b->fleet.free / BROKER_SLOT;
}

static struct broker_up *pick(const struct broker *b, enum rank rank)
{
	const struct broker_queued *first = b->state.queues[rank].first;

	return broker_fleet_pick(&b->fleet, rank,
				 weight_of(b, first->entry, rank));
}

/*
 * Selects the rank to serve next and an upstream for it. Urgent work is not
 * given to a slow upstream; the next rank may take it.
 */
static struct broker_up *choose(struct broker *b, enum rank *rank,
				bool *reserve)
{
	int next = broker_sched_next(&b->sched, RANK_URGENT, slots_free(b),
				     reserve);
	struct broker_up *up;

	if (next == BROKER_SCHED_NONE)
		return NULL;
	up = pick(b, (enum rank)next);
	if (!up && next == RANK_URGENT) {
		next = broker_sched_next(&b->sched, RANK_NORMAL, slots_free(b),
					 reserve);
		if (next == BROKER_SCHED_NONE)
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
static bool may_grant(const struct broker *b)
{
	if (!b->fleet.free)
		return false;
	if (!b->learn_until)
		return true;
	if (b->entries_synced * 100 <
		    b->entries_expected * LEARN_REPORTS_MIN_PCT ||
	    !b->entries_expected)
		return false;
	return (b->fleet.load + BROKER_SLOT) * b->entries_expected <=
	       (uint64_t)b->fleet.usable * BROKER_SLOT * b->entries_synced;
}

/*
 * Refuses every queued request at once, as other failure domains may be able to
 * serve it.
 */
static void refuse_all(struct broker *b)
{
	for (int r = 0; r < RANK_COUNT; r++) {
		struct broker_queued *wait = b->state.queues[r].first;

		while (wait) {
			struct broker_queued *next = wait->next;

			broker_grant_refuse_queued(b, wait, (enum rank)r,
						   PERMIT_NO_UPSTREAM);
			wait = next;
		}
	}
}

void broker_grant_serve(struct broker *b)
{
	enum rank rank;
	bool reserve;

	if (!b->fleet.usable && total_waiting(b) &&
	    !broker_fleet_accepts_work(&b->fleet))
		refuse_all(b);
	while (may_grant(b)) {
		struct broker_up *up = choose(b, &rank, &reserve);
		struct broker_queued *wait;
		struct broker_entry *entry;
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
		broker_grant_dequeue(b, wait);
		if (late)
			broker_grant_refuse(b, entry, ask, rank, PERMIT_LATE);
		else
			grant(b, entry, up, ask, rank,
			      reserve ? BROKER_WHY_RESERVE : BROKER_WHY_ORDER,
			      b->now - asked_at);
	}
}

void broker_grant_end(struct broker *b, struct broker_permit *permit,
		      enum permit_outcome outcome)
{
	struct broker_rank_use *use = &b->sched.ranks[permit->rank];
	const apr_interval_time_t held =
		b->now - permit->granted_at -
		broker_grant_message_time(permit->entry);
	double time_ratio = 0;

	use->held -= (double)permit->weight / BROKER_SLOT;
	if (outcome == PERMIT_DONE) {
		if (permit->rank != RANK_BULK &&
		    use->samples >= TIME_RATIO_SAMPLES_MIN)
			time_ratio = held > 0 ? held / use->mean : 0;
		broker_sched_sample(&b->sched, permit->rank, held);
	}
	broker_up_release(&b->fleet, permit->up, permit->weight, outcome,
			  time_ratio, b->now);
	broker_state_drop_permit(&b->state, permit);
}
