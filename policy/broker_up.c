#include "policy/broker_up.h"

#include <stdlib.h>

#include "common/err.h"

/* Largest number of doublings of a hold. */
#define HOLD_DOUBLINGS_MAX 4

/*
 * EWMA weight of a new sample of the time ratio, the largest value counted, and
 * the number of samples before it is used.
 */
#define TIME_RATIO_WEIGHT      0.125
#define TIME_RATIO_MAX	       8.0
#define TIME_RATIO_SAMPLES_MIN 8

/*
 * An upstream becomes slow above the upper bound and normal below the lower
 * one.
 */
#define TIME_RATIO_SLOW	  3.0
#define TIME_RATIO_NORMAL 1.5

/* Slots of an upstream that is slow or on trial. */
#define TRIAL_SLOTS 1

/* Failures in a row after which an upstream is treated as silent. */
#define FAILURES_MAX 3

/*
 * A request finished within this time before a silence shows that only one
 * connection is silent. It is less than any time after which a connection is
 * taken for silent.
 */
#define ALIVE_TIME_US APR_TIME_C(500000)

/* Silences in a row after which an upstream may have been restarted. */
#define RESTART_SILENCES 2

/* Units that may still be granted. */
static uint32_t free_units(const struct broker_up *up)
{
	const uint32_t usable = up->usable * BROKER_SLOT;

	return up->load < usable ? usable - up->load : 0;
}

static uint32_t slots_of(uint32_t units)
{
	return (units + BROKER_SLOT - 1) / BROKER_SLOT;
}

static bool preferred(const struct broker_up *a, const struct broker_up *b)
{
	const bool a_free = free_units(a) >= BROKER_SLOT;
	const bool b_free = free_units(b) >= BROKER_SLOT;
	uint64_t left;
	uint64_t right;

	if (a_free != b_free)
		return a_free;
	if (a->slow != b->slow)
		return b->slow;
	left = (uint64_t)a->load * b->usable;
	right = (uint64_t)b->load * a->usable;
	if (left != right)
		return left < right;
	return a->last_grant < b->last_grant;
}

static void heap_put(struct broker_fleet *fleet, size_t at,
		     struct broker_up *up)
{
	fleet->heap[at] = up;
	up->heap_index = at;
}

static void heap_fix(struct broker_fleet *fleet, struct broker_up *up)
{
	size_t at = up->heap_index;

	while (at > 0 && preferred(up, fleet->heap[(at - 1) / 2])) {
		heap_put(fleet, at, fleet->heap[(at - 1) / 2]);
		at = (at - 1) / 2;
	}
	for (;;) {
		size_t child = 2 * at + 1;

		if (child >= fleet->count)
			break;
		if (child + 1 < fleet->count &&
		    preferred(fleet->heap[child + 1], fleet->heap[child]))
			child++;
		if (!preferred(fleet->heap[child], up))
			break;
		heap_put(fleet, at, fleet->heap[child]);
		at = child;
	}
	heap_put(fleet, at, up);
}

static void subtract_totals(struct broker_fleet *fleet,
			    const struct broker_up *up)
{
	fleet->usable -= up->usable;
	fleet->held -= up->held;
	fleet->load -= up->load;
	fleet->free -= free_units(up);
	if (!up->slow)
		fleet->usable_not_slow -= up->usable;
}

static void add_totals(struct broker_fleet *fleet, const struct broker_up *up)
{
	fleet->usable += up->usable;
	fleet->held += up->held;
	fleet->load += up->load;
	fleet->free += free_units(up);
	if (!up->slow)
		fleet->usable_not_slow += up->usable;
}

static uint32_t ramp_slots(const struct broker_fleet *fleet,
			   const struct broker_up *up, apr_time_t now)
{
	const double start = fleet->cfg.ramp_start_pct / 100.0;
	const double part = (double)(now - up->ramp_from) / fleet->cfg.ramp;
	const uint32_t slots =
		(uint32_t)(up->vm.slots * (start + (1 - start) * part));

	return slots ? slots : 1;
}

static void limit_slots(uint32_t *usable, enum broker_up_why *why, uint32_t to,
			enum broker_up_why because)
{
	if (*usable <= to)
		return;
	*usable = to;
	*why = because;
}

/* Returns how many slots may be in use now, and what limits them. */
static uint32_t slots_now(const struct broker_fleet *fleet,
			  const struct broker_up *up, apr_time_t now,
			  enum broker_up_why *why)
{
	uint32_t usable = up->vm.slots;

	*why = BROKER_UP_FULL;
	if (!up->listed)
		limit_slots(&usable, why, 0, BROKER_UP_UNLISTED);
	if (up->vm.leaving)
		limit_slots(&usable, why, 0, BROKER_UP_LEAVING);
	if (up->reported_draining || now < up->drain_until)
		limit_slots(&usable, why, 0, BROKER_UP_DRAINING);
	if (now < up->silent_until)
		limit_slots(&usable, why, 0, BROKER_UP_SILENT);
	else if (up->consecutive_silences)
		limit_slots(&usable, why,
			    slots_of(up->stuck_load) + TRIAL_SLOTS,
			    BROKER_UP_SILENT);
	if (now < up->shed_until)
		limit_slots(&usable, why, up->shed_limit, BROKER_UP_SHED);
	if (up->slow)
		limit_slots(&usable, why, TRIAL_SLOTS, BROKER_UP_SLOW);
	if (up->ramp_from && now < up->ramp_from + fleet->cfg.ramp)
		limit_slots(&usable, why, ramp_slots(fleet, up, now),
			    BROKER_UP_RAMP);
	return usable;
}

/* Updates the usable slots; true if the heap must be reordered. */
static bool recount(struct broker_fleet *fleet, struct broker_up *up,
		    apr_time_t now)
{
	enum broker_up_why why;
	const uint32_t usable = slots_now(fleet, up, now, &why);

	if (usable == up->usable)
		return false;
	subtract_totals(fleet, up);
	up->usable = usable;
	up->why = why;
	add_totals(fleet, up);
	if (fleet->changed)
		fleet->changed(fleet->ctx, up);
	return true;
}

static void refresh(struct broker_fleet *fleet, struct broker_up *up,
		    apr_time_t now)
{
	if (recount(fleet, up, now))
		heap_fix(fleet, up);
}

static void start_ramp(struct broker_fleet *fleet, struct broker_up *up,
		       apr_time_t now)
{
	if (fleet->cfg.ramp)
		up->ramp_from = now;
}

static apr_interval_time_t backed_off(apr_interval_time_t hold,
				      uint32_t consecutive)
{
	const uint32_t doublings = consecutive > HOLD_DOUBLINGS_MAX
					   ? HOLD_DOUBLINGS_MAX
					   : consecutive;

	return hold << doublings;
}

static uint64_t name_key(const struct broker_listed_vm *vm)
{
	return str_hash(strbuf_str(&vm->name), 0);
}

static struct broker_up *add_up(struct broker_fleet *fleet,
				const struct broker_listed_vm *vm)
{
	struct broker_up *up;

	if (fleet->count == fleet->heap_capacity) {
		const size_t heap_capacity =
			fleet->heap_capacity ? fleet->heap_capacity * 2 : 16;
		struct broker_up **heap =
			realloc(fleet->heap,
				heap_capacity * sizeof(struct broker_up *));

		if (!heap)
			return NULL;
		fleet->heap = heap;
		fleet->heap_capacity = heap_capacity;
	}
	up = calloc(1, sizeof(*up));
	if (!up)
		return NULL;
	up->vm = *vm;
	up->time_ratio = 1.0;
	broker_map_add(&fleet->names, &up->by_name, name_key(vm), vm->name.len);
	heap_put(fleet, fleet->count++, up);
	return up;
}

static void drop_up(struct broker_fleet *fleet, struct broker_up *up)
{
	struct broker_up *last = fleet->heap[--fleet->count];

	subtract_totals(fleet, up);
	broker_map_remove(&fleet->names, &up->by_name);
	if (last != up) {
		heap_put(fleet, up->heap_index, last);
		heap_fix(fleet, last);
	}
	free(up);
}

static int add_listed(struct broker_fleet *fleet,
		      const struct broker_listed_vm *vm, apr_time_t now)
{
	struct broker_up *up = broker_fleet_find(fleet, strbuf_str(&vm->name));
	bool cold = fleet->populated;

	if (up) {
		cold = !up->listed || !strbuf_eq(&up->vm.address, &vm->address);
	} else {
		up = add_up(fleet, vm);
		if (!up)
			return PST_ERR_NOMEM;
	}
	up->vm = *vm;
	up->listed = true;
	up->list_number = fleet->list_number;
	if (cold)
		start_ramp(fleet, up, now);
	return 0;
}

/* Restores the order of the whole heap. */
static void heap_build(struct broker_fleet *fleet)
{
	for (size_t i = fleet->count / 2; i-- > 0;)
		heap_fix(fleet, fleet->heap[i]);
}

/* Removes upstreams that are not listed and have no permits held. */
static void drop_unlisted(struct broker_fleet *fleet)
{
	size_t kept = 0;

	for (size_t i = 0; i < fleet->count; i++) {
		struct broker_up *up = fleet->heap[i];

		if (up->listed || up->held) {
			heap_put(fleet, kept++, up);
			continue;
		}
		subtract_totals(fleet, up);
		broker_map_remove(&fleet->names, &up->by_name);
		free(up);
	}
	fleet->count = kept;
	heap_build(fleet);
}

static void note_done(struct broker_fleet *fleet, struct broker_up *up,
		      double time_ratio, apr_time_t now)
{
	if (up->consecutive_silences >= RESTART_SILENCES)
		start_ramp(fleet, up, now);
	up->last_done_at = now;
	up->consecutive_silences = 0;
	up->consecutive_sheds = 0;
	up->consecutive_failures = 0;
	if (time_ratio <= 0)
		return;
	if (time_ratio > TIME_RATIO_MAX)
		time_ratio = TIME_RATIO_MAX;
	up->time_ratio += TIME_RATIO_WEIGHT * (time_ratio - up->time_ratio);
	if (up->time_ratio_samples < TIME_RATIO_SAMPLES_MIN)
		up->time_ratio_samples++;
}

/*
 * Allows one trial at a time; from the second silence in a row on, only after a
 * hold that doubles with each.
 */
static void note_silence(struct broker_fleet *fleet, struct broker_up *up,
			 apr_time_t now)
{
	const uint32_t before = up->consecutive_silences++;

	up->stuck_load = up->load;
	if (before)
		up->silent_until =
			now + backed_off(fleet->cfg.silent_hold, before - 1);
}

static void update_slow(struct broker_fleet *fleet, struct broker_up *up)
{
	bool slow = up->slow;

	if (up->time_ratio_samples < TIME_RATIO_SAMPLES_MIN ||
	    fleet->cfg.ignore_time_ratio)
		return;
	if (up->time_ratio > TIME_RATIO_SLOW)
		slow = true;
	else if (up->time_ratio < TIME_RATIO_NORMAL)
		slow = false;
	if (slow == up->slow)
		return;
	subtract_totals(fleet, up);
	up->slow = slow;
	add_totals(fleet, up);
}

int broker_fleet_init(struct broker_fleet *fleet,
		      const struct broker_up_cfg *cfg)
{
	*fleet = (struct broker_fleet){.cfg = *cfg};
	return broker_map_init(&fleet->names);
}

void broker_fleet_done(struct broker_fleet *fleet)
{
	for (size_t i = 0; i < fleet->count; i++)
		free(fleet->heap[i]);
	free(fleet->heap);
	broker_map_done(&fleet->names);
}

int broker_fleet_set_list(struct broker_fleet *fleet,
			  const struct broker_listed_vm *vms, size_t count,
			  apr_time_t now)
{
	int err = 0;

	fleet->list_number++;
	for (size_t i = 0; i < count && !err; i++)
		err = add_listed(fleet, &vms[i], now);
	for (size_t i = 0; i < fleet->count; i++) {
		struct broker_up *up = fleet->heap[i];

		up->listed = up->list_number == fleet->list_number;
	}
	fleet->populated = fleet->populated || count > 0;
	broker_fleet_tick(fleet, now);
	drop_unlisted(fleet);
	return err;
}

struct broker_up *broker_fleet_find(const struct broker_fleet *fleet,
				    struct str name)
{
	struct broker_node *node =
		broker_map_find(&fleet->names, str_hash(name, 0), name.len);

	return (struct broker_up *)(void *)node;
}

void broker_fleet_tick(struct broker_fleet *fleet, apr_time_t now)
{
	bool changed = false;

	for (size_t i = 0; i < fleet->count; i++)
		changed = recount(fleet, fleet->heap[i], now) || changed;
	if (changed)
		heap_build(fleet);
}

struct broker_up *broker_fleet_pick(const struct broker_fleet *fleet,
				    enum rank rank, uint32_t weight)
{
	struct broker_up *first = fleet->count ? fleet->heap[0] : NULL;

	if (!first || free_units(first) < weight)
		return NULL;
	if (first->slow && rank == RANK_URGENT && fleet->usable_not_slow)
		return NULL;
	return first;
}

bool broker_fleet_accepts_work(const struct broker_fleet *fleet)
{
	if (fleet->usable)
		return true;
	for (size_t i = 0; i < fleet->count; i++) {
		if (fleet->heap[i]->why == BROKER_UP_SHED)
			return true;
	}
	return false;
}

void broker_up_take(struct broker_fleet *fleet, struct broker_up *up,
		    uint32_t weight, apr_time_t now)
{
	subtract_totals(fleet, up);
	up->held++;
	up->load += weight;
	up->last_grant = ++fleet->grant_count;
	add_totals(fleet, up);
	heap_fix(fleet, up);
	refresh(fleet, up, now);
}

void broker_up_release(struct broker_fleet *fleet, struct broker_up *up,
		       uint32_t weight, enum permit_outcome outcome,
		       double time_ratio, apr_time_t now)
{
	subtract_totals(fleet, up);
	up->held--;
	up->load -= weight;
	add_totals(fleet, up);
	up->stuck_load -= up->stuck_load < weight ? up->stuck_load : weight;
	switch (outcome) {
	case PERMIT_DONE:
		note_done(fleet, up, time_ratio, now);
		update_slow(fleet, up);
		break;
	case PERMIT_SHED:
		up->shed_limit = slots_of(up->load);
		up->shed_until = now + backed_off(fleet->cfg.shed_hold,
						  up->consecutive_sheds++);
		break;
	case PERMIT_EXPIRED:
		if (up->consecutive_silences) {
			/* A cold one may only be slower than the deadline. */
			up->silent_until = now + fleet->cfg.silent_hold;
			break;
		}
		/* fall through */
	case PERMIT_SILENT:
		if (++up->consecutive_failures >= FAILURES_MAX ||
		    !up->last_done_at || now - up->last_done_at > ALIVE_TIME_US)
			note_silence(fleet, up, now);
		break;
	case PERMIT_DRAINING:
		up->drain_until = now + fleet->cfg.drain_hold;
		break;
	case PERMIT_FAILED:
		if (++up->consecutive_failures >= FAILURES_MAX)
			note_silence(fleet, up, now);
		break;
	case PERMIT_UNUSED:
		break;
	}
	heap_fix(fleet, up);
	refresh(fleet, up, now);
	if (!up->listed && !up->held)
		drop_up(fleet, up);
}

void broker_up_report(struct broker_fleet *fleet, struct broker_up *up,
		      const struct load_report *report, apr_time_t now)
{
	if (report->cold && !up->reported_cold)
		start_ramp(fleet, up, now);
	up->reported_cold = report->cold;
	up->reported_draining = report->draining;
	refresh(fleet, up, now);
}

const char *broker_up_why_name(enum broker_up_why why)
{
	static const char *const names[] = {
		[BROKER_UP_FULL] = "full",
		[BROKER_UP_UNLISTED] = "unlisted",
		[BROKER_UP_LEAVING] = "leaving",
		[BROKER_UP_DRAINING] = "draining",
		[BROKER_UP_SILENT] = "silent",
		[BROKER_UP_SHED] = "shed",
		[BROKER_UP_SLOW] = "slow",
		[BROKER_UP_RAMP] = "ramp",
	};

	return names[why];
}
