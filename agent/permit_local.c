#include "agent/permit_local.h"

#include <stdlib.h>

#include "common/err.h"

/* Health of upstreams in the static share: the broker's defaults. */
#define SHED_HOLD   CLK_MS(100)
#define SILENT_HOLD CLK_MS(500)
#define DRAIN_HOLD  CLK_SEC(10)

/* Most asks queued in one rank. */
#define QUEUE_MAX_ASKS 4096

/* A permit granted by a baseline policy, and the index of its upstream. */
struct choice {
	uint64_t permit;
	uint32_t target;
};

struct permit_local {
	enum pick_policy policy;
	struct strbuf service;
	struct strbuf domain;
	struct strbuf entry_name;
	uint64_t epoch;
	struct broker_sink sink;
	/* Grants within the static share; NULL with a baseline policy. */
	struct broker *broker;
	/* Used by the baseline policies only. */
	struct broker_up *ups;
	struct pick_target *targets;
	size_t count;
	struct choice *choices;
	size_t choice_count;
	size_t choice_room;
	uint64_t permits_made;
	uint64_t random;
};

static bool uses_share(const struct permit_local *local)
{
	return local->policy == PICK_BROKER ||
	       local->policy == PICK_STATIC_SPLIT;
}

static uint64_t next_random(struct permit_local *local)
{
	local->random ^= local->random << 13;
	local->random ^= local->random >> 7;
	local->random ^= local->random << 17;
	return local->random;
}

static struct broker_entry *own_entry(struct permit_local *local,
				      apr_time_t now)
{
	return broker_hello(local->broker, strbuf_str(&local->entry_name), 1,
			    now);
}

static bool live_entry(const struct vm *vm)
{
	return vm->kind == VM_ENTRY && vm->state == VM_LIVE;
}

/* Whether the upstreams' failure domain has a live entry VM. */
static bool domain_has_entry(const struct permit_local *local,
			     const struct vmlist *vmlist)
{
	for (size_t i = 0; i < vmlist->count; i++) {
		if (live_entry(&vmlist->vms[i]) &&
		    strbuf_eq(&vmlist->vms[i].domain, &local->domain))
			return true;
	}
	return false;
}

/*
 * Returns this VM's index among the entry VMs that share the slots, and sets
 * *holders to their number; a VM without a share gets *holders as its index.
 * With the broker policy the holders are the live entry VMs in the upstreams'
 * failure domain if there are any, because most of its requests come from them;
 * else, and with the static split, all live entry VMs are.
 */
static uint32_t holder_index(const struct permit_local *local,
			     const struct vmlist *vmlist, uint32_t *holders)
{
	const bool domain_only =
		local->policy == PICK_BROKER && domain_has_entry(local, vmlist);
	uint32_t index = 0;
	bool member = false;

	*holders = 0;
	for (size_t i = 0; i < vmlist->count; i++) {
		const struct vm *vm = &vmlist->vms[i];
		int order;

		if (!live_entry(vm) ||
		    (domain_only && !strbuf_eq(&vm->domain, &local->domain)))
			continue;
		++*holders;
		order = str_cmp(strbuf_str(&vm->id),
				strbuf_str(&local->entry_name));
		member |= order == 0;
		index += order < 0;
	}
	return member ? index : *holders;
}

/* Reduces the slots to this VM's share, which is at least one slot. */
static void limit_to_share(const struct permit_local *local,
			   const struct vmlist *vmlist,
			   struct broker_listed_vm *vms, size_t count)
{
	uint32_t holders;
	const uint32_t index = holder_index(local, vmlist, &holders);
	uint32_t first = 0;
	uint32_t sum = 0;

	for (size_t i = 0; i < count; i++) {
		const uint32_t slots = vms[i].slots;

		vms[i].slots = index < holders ? pick_slot_share(first, slots,
								 holders, index)
					       : 0;
		first += slots;
		sum += vms[i].slots;
	}
	if (count && !sum)
		vms[index % count].slots = 1;
}

static uint32_t outstanding_at(const struct permit_local *local, struct str vm,
			       uint32_t *load)
{
	for (size_t i = 0; i < local->count; i++) {
		if (!str_eq(strbuf_str(&local->ups[i].vm.name), vm))
			continue;
		*load = local->targets[i].load_permille;
		return local->targets[i].outstanding;
	}
	return 0;
}

static int find_target(const struct broker_up *ups, size_t count,
		       struct str name)
{
	for (size_t i = 0; i < count; i++) {
		if (str_eq(strbuf_str(&ups[i].vm.name), name))
			return (int)i;
	}
	return -1;
}

/* Updates the choices' indices; drops choices whose upstream is gone. */
static void remap_choices(struct permit_local *local,
			  const struct broker_up *ups, size_t count)
{
	size_t kept = 0;

	for (size_t i = 0; i < local->choice_count; i++) {
		struct choice c = local->choices[i];
		const int at = find_target(
			ups, count, strbuf_str(&local->ups[c.target].vm.name));

		if (at < 0)
			continue;
		c.target = (uint32_t)at;
		local->choices[kept++] = c;
	}
	local->choice_count = kept;
}

static void set_targets(struct permit_local *local,
			const struct broker_listed_vm *vms, size_t count)
{
	struct broker_up *ups = calloc(count + 1, sizeof(*ups));
	struct pick_target *targets = calloc(count + 1, sizeof(*targets));

	if (!ups || !targets) {
		free(ups);
		free(targets);
		return;
	}
	for (size_t i = 0; i < count; i++) {
		ups[i].vm = vms[i];
		targets[i].usable = !vms[i].leaving;
		targets[i].outstanding =
			outstanding_at(local, strbuf_str(&vms[i].name),
				       &targets[i].load_permille);
	}
	remap_choices(local, ups, count);
	free(local->ups);
	free(local->targets);
	local->ups = ups;
	local->targets = targets;
	local->count = count;
}

static void choose(struct permit_local *local, const struct broker_ask *ask)
{
	const int at = pick_target(local->policy, local->targets, local->count,
				   next_random(local));
	struct broker_answer answer = {
		.entry = &local->entry_name,
		.ask = ask->id,
		.rank = ask->rank,
		.result = PERMIT_NO_UPSTREAM,
		.why = BROKER_WHY_ORDER,
		.upstream_count = (uint32_t)local->count,
	};

	if (local->choice_count == local->choice_room) {
		const size_t room = local->choice_room * 2 + 16;
		struct choice *grown =
			realloc(local->choices, room * sizeof(*grown));

		if (!grown)
			return;
		local->choices = grown;
		local->choice_room = room;
	}
	if (at >= 0) {
		answer.result = PERMIT_GRANTED;
		answer.permit = local->epoch << 32 | ++local->permits_made;
		answer.up = &local->ups[at];
		local->targets[at].outstanding++;
		local->choices[local->choice_count++] = (struct choice){
			.permit = answer.permit,
			.target = (uint32_t)at,
		};
	}
	local->sink.answer(local->sink.ctx, &answer);
}

static void end_choice(struct permit_local *local, uint64_t permit)
{
	for (size_t i = 0; i < local->choice_count; i++) {
		struct choice *c = &local->choices[i];

		if (c->permit != permit)
			continue;
		local->targets[c->target].outstanding--;
		*c = local->choices[--local->choice_count];
		return;
	}
}

int permit_local_create(struct permit_local **out,
			const struct permit_local_cfg *cfg, apr_time_t now)
{
	const struct broker_cfg broker_cfg = {
		.up = {.shed_hold = SHED_HOLD,
		       .silent_hold = SILENT_HOLD,
		       .drain_hold = DRAIN_HOLD,
		       .ramp_start_pct = 100},
		.permit_ttl = CLK_SEC(60),
		.queue_max = QUEUE_MAX_ASKS,
		.epoch = cfg->epoch,
	};
	struct permit_local *local = calloc(1, sizeof(*local));

	if (!local)
		return PST_ERR_NOMEM;
	local->policy = cfg->policy;
	strbuf_set(&local->service, cfg->service);
	strbuf_set(&local->domain, cfg->domain);
	strbuf_set(&local->entry_name, cfg->entry);
	local->epoch = cfg->epoch;
	local->sink = cfg->sink;
	local->random = str_hash(cfg->entry, (uint64_t)now) | 1;
	if (uses_share(local) &&
	    broker_create(&local->broker, &broker_cfg, cfg->sink, now)) {
		free(local);
		return PST_ERR_NOMEM;
	}
	*out = local;
	return 0;
}

void permit_local_destroy(struct permit_local *local)
{
	if (!local)
		return;
	broker_destroy(local->broker);
	free(local->ups);
	free(local->targets);
	free(local->choices);
	free(local);
}

void permit_local_view(struct permit_local *local, const struct ctl_view *view,
		       apr_time_t now)
{
	struct broker_listed_vm *vms = NULL;
	const size_t count =
		permit_list_upstreams(view->vmlist, strbuf_str(&local->service),
				      strbuf_str(&local->domain), &vms);
	uint32_t pct[RANK_COUNT];

	if (uses_share(local)) {
		limit_to_share(local, view->vmlist, vms, count);
		permit_reserved_pct(view->tbl, strbuf_str(&local->service),
				    pct);
		broker_set_reserves(local->broker, pct, now);
		broker_set_upstreams(local->broker, vms, count, now);
	} else {
		set_targets(local, vms, count);
	}
	free(vms);
}

void permit_local_ask(struct permit_local *local, const struct broker_ask *ask,
		      apr_time_t now)
{
	struct broker_entry *entry;

	if (!uses_share(local)) {
		choose(local, ask);
		return;
	}
	entry = own_entry(local, now);
	if (entry)
		broker_ask(local->broker, entry, ask, now);
}

void permit_local_cancel(struct permit_local *local, uint64_t ask,
			 apr_time_t now)
{
	struct broker_entry *entry =
		uses_share(local) ? own_entry(local, now) : NULL;

	if (entry)
		broker_cancel(local->broker, entry, ask, now);
}

void permit_local_release(struct permit_local *local, uint64_t permit,
			  enum permit_outcome outcome, apr_time_t now)
{
	struct broker_entry *entry;

	if (!uses_share(local)) {
		end_choice(local, permit);
		return;
	}
	entry = own_entry(local, now);
	if (entry)
		broker_release(local->broker, entry, permit, outcome, now);
}

void permit_local_claim(struct permit_local *local,
			const struct broker_claim *claims, size_t count,
			apr_time_t now)
{
	struct broker_entry *entry =
		uses_share(local) ? own_entry(local, now) : NULL;

	if (entry)
		broker_sync(local->broker, entry, claims, count, 0, now);
}

void permit_local_report(struct permit_local *local, struct str upstream,
			 const struct load_report *report, apr_time_t now)
{
	const int at = find_target(local->ups, local->count, upstream);

	if (uses_share(local))
		broker_report(local->broker, upstream, report, now);
	else if (at >= 0)
		local->targets[at].load_permille = report->load_permille;
}

void permit_local_tick(struct permit_local *local, apr_time_t now)
{
	if (uses_share(local) && own_entry(local, now))
		broker_tick(local->broker, now);
}

size_t permit_list_upstreams(const struct vmlist *vmlist, struct str service,
			     struct str domain, struct broker_listed_vm **out)
{
	struct broker_listed_vm *vms = calloc(vmlist->count + 1, sizeof(*vms));
	size_t count = 0;

	*out = vms;
	for (size_t i = 0; vms && i < vmlist->count; i++) {
		const struct vm *vm = &vmlist->vms[i];

		if (vm->kind != VM_UPSTREAM ||
		    !str_eq(strbuf_str(&vm->service), service) ||
		    !str_eq(strbuf_str(&vm->domain), domain))
			continue;
		vms[count++] = (struct broker_listed_vm){
			.name = vm->id,
			.address = vm->address,
			.port = vm->port,
			.slots = vm->slots,
			.leaving = vm->state == VM_LEAVING,
		};
	}
	return count;
}

void permit_reserved_pct(const struct tbl *tbl, struct str service,
			 uint32_t pct[RANK_COUNT])
{
	const int at = tbl_service_find(tbl, service);

	for (int r = 0; r < RANK_COUNT; r++)
		pct[r] = at < 0 ? 0
				: tbl_row(tbl, (uint32_t)at, (enum rank)r)
					  ->reserved_pct;
}
