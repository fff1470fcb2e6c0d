/* Public functions of the simulation: set-up, faults, time and checks. */
#include "tests/fix_lending_state.h"

#include <stdlib.h>
#include <string.h>

#include "tests/fix_limits.h"

static void set_listed(struct sim *sim, size_t vm, bool listed)
{
	if (sim->vms[vm].listed == listed)
		return;
	sim->vms[vm].listed = listed;
	sim->vms[vm].list_changed = sim->now;
}

static bool in_phase(const struct sim *sim, size_t vm)
{
	const struct sim_vm *v = &sim->vms[vm];
	const struct lending_root *root = &v->roots[sim_domain_of(vm)];
	const bool holds = lending_root_valid(root, sim_local_time(sim, vm));

	switch (sim->phase) {
	case SIM_AT_START:
		return sim->now >= CLK_MS(300);
	case SIM_WHILE_CLAIMING:
		return root->state == LENDING_CLAIMING && root->awaiting_result;
	case SIM_WHILE_HOLDING:
		return holds;
	case SIM_WHILE_LENDING:
		return holds && !v->wants && sim->now > CLK_SEC(4) &&
		       lending_node_expiry_delay(v->node,
						 sim_local_time(sim, vm)) > 0;
	case SIM_WHILE_BORROWING:
		return v->wants && sim->now > CLK_SEC(4) && v->borrow.waiting &&
		       v->borrow.count > 0;
	case SIM_WHILE_HANDING_OVER:
		return root->state == LENDING_ASKING;
	case SIM_PHASE_COUNT:
		break;
	}
	return false;
}

static void edit_limits(struct sim *sim, uint32_t mbps, uint32_t intake)
{
	struct tbl *tbl;

	if (sim->maps[1])
		return;
	tbl = fix_tbl(SIM_REGIONS, SIM_DOMAINS / SIM_REGIONS, mbps, intake, 2);
	lending_map_build(&sim->maps[1], tbl);
	sim->edited_at = sim->now;
	tbl_put(tbl);
}

static void kill_vm(struct sim *sim, size_t vm)
{
	sim->vms[vm].control.alive = false;
	sim->vms[vm].entry.alive = false;
	set_listed(sim, vm, false);
}

static void inject_fault(struct sim *sim, size_t vm)
{
	struct sim_vm *v = &sim->vms[vm];

	sim_log(sim, "fault %s on vm%zu", sim_fault_name(sim->fault), vm);
	switch (sim->fault) {
	case SIM_PAUSE_SHORT:
		v->control.paused_until = sim->now + CLK_MS(1500);
		break;
	case SIM_PAUSE_LONG:
	case SIM_PAUSE_UNLISTED:
		v->control.paused_until = sim->now + CLK_SEC(20);
		set_listed(sim, vm, sim->fault == SIM_PAUSE_LONG);
		break;
	case SIM_CONTROL_DIES:
		v->control.alive = false;
		break;
	case SIM_ENTRY_DIES:
		sim_start_entry(sim, vm);
		break;
	case SIM_ENTRY_PAUSE:
		v->entry.paused_until = sim->now + CLK_SEC(5);
		break;
	case SIM_VM_DIES:
		kill_vm(sim, vm);
		break;
	case SIM_VM_REPLACED:
		sim_start_control(sim, vm);
		sim_start_entry(sim, vm);
		break;
	case SIM_STORE_DOWN:
		sim->store_down = true;
		break;
	case SIM_SWAP_REPLY_LOST:
		sim->lose_swaps = true;
		break;
	case SIM_MESSAGES_LOST:
		sim->loss_pct = 30;
		break;
	case SIM_MESSAGES_DOUBLED:
		sim->double_pct = 50;
		break;
	case SIM_LIST_STALE:
		for (size_t i = 0; i < SIM_VMS; i += 2)
			sim->vms[i].list_lag = CLK_SEC(30);
		set_listed(sim, vm, false);
		break;
	case SIM_REGION_CUT:
		sim->cut[sim_region_of(vm)] = true;
		break;
	case SIM_LIMIT_LOWERED:
		edit_limits(sim, LINK_MBPS / CHANGED_FACTOR,
			    INTAKE / CHANGED_FACTOR);
		break;
	case SIM_LIMIT_RAISED:
		edit_limits(sim, LINK_MBPS * CHANGED_FACTOR,
			    INTAKE * CHANGED_FACTOR);
		break;
	case SIM_NO_FAULT:
	case SIM_FAULT_COUNT:
		break;
	}
}

static void inject_armed_fault(struct sim *sim)
{
	for (size_t i = 0; sim->armed && i < SIM_VMS; i++) {
		if (!sim_is_running(sim, &sim->vms[i].control) ||
		    !in_phase(sim, i))
			continue;
		sim->armed = false;
		sim->fault_injected = true;
		inject_fault(sim, i);
	}
}

uint64_t sim_limit(const struct sim *sim, size_t limit)
{
	const uint64_t old = lending_map_limit(sim->maps[0], sim->ids[limit]);
	uint64_t new = old;

	if (sim->maps[1])
		new = lending_map_limit(sim->maps[1], sim->ids[limit]);
	if (new < old && sim->now < sim->edited_at + LOWERED_WITHIN)
		return old;
	return new;
}

static void check_limits(struct sim *sim)
{
	const size_t next =
		(size_t)(sim->now / SIM_STEP + 1) % (SIM_WINDOW + 1);

	for (size_t i = 0; i < SIM_LIMITS; i++) {
		const uint64_t limit = sim_limit(sim, i);

		if (sim->sum[i] > limit &&
		    sim->sum[i] - limit > sim->excess[i]) {
			sim->excess[i] = sim->sum[i] - limit;
			sim_log(sim, "limit %zu exceeded by %lu", i,
				(unsigned long)sim->excess[i]);
		}
		sim->sum[i] -= sim->window[i][next];
		sim->window[i][next] = 0;
	}
}

static void step(struct sim *sim)
{
	while (sim->message_top && !sim->messages[sim->message_top - 1].used)
		sim->message_top--;
	for (size_t i = 0; i < sim->message_top; i++) {
		if (sim->messages[i].used &&
		    sim->messages[i].deliver_at <= sim->now)
			sim_deliver(sim, &sim->messages[i]);
	}
	for (size_t i = 0; i < SIM_VMS; i++) {
		if (sim_is_running(sim, &sim->vms[i].control))
			sim_step_control(sim, i);
		if (sim_is_running(sim, &sim->vms[i].entry))
			sim_step_entry(sim, i);
	}
	inject_armed_fault(sim);
	check_limits(sim);
	sim->now += SIM_STEP;
}

struct sim *sim_create(unsigned seed, FILE *log)
{
	struct sim *sim = calloc(1, sizeof(*sim));
	struct tbl *tbl = fix_tbl(SIM_REGIONS, SIM_DOMAINS / SIM_REGIONS,
				  LINK_MBPS, INTAKE, 1);

	srandom(seed);
	sim->slow_pct = 5;
	sim->log = log;
	sim->now = CLK_MS(100);
	sim->ids[SIM_LINK] = lending_link_id(STR_LIT("r0"), STR_LIT("r1"));
	sim->ids[SIM_INTAKE] = lending_intake_id(STR_LIT("status"), RANK_URGENT,
						 STR_LIT("r2"));
	lending_map_build(&sim->maps[0], tbl);
	tbl_put(tbl);
	for (size_t i = 0; i < SIM_VMS; i++) {
		struct sim_vm *v = &sim->vms[i];

		v->offset = CLK_SEC(random() % 100000);
		v->drift_ppm =
			(int)(random() % (2 * DRIFT_PPM + 1)) - DRIFT_PPM;
		v->listed = true;
		v->list_lag = CLK_MS(random() % 3000);
		v->list_changed = -CLK_SEC(100);
		v->edit_lag = random() % EDIT_BOUND;
		sim_start_control(sim, i);
		sim_start_entry(sim, i);
	}
	return sim;
}

void sim_destroy(struct sim *sim)
{
	for (size_t i = 0; i < SIM_VMS; i++) {
		lending_node_destroy(sim->vms[i].node);
		limiter_destroy(sim->vms[i].limiter);
	}
	lending_map_put(sim->maps[0]);
	lending_map_put(sim->maps[1]);
	free(sim);
}

void sim_set_demand(struct sim *sim, size_t vms, size_t first)
{
	for (size_t i = 0; i < SIM_VMS; i++)
		sim->vms[i].wants = false;
	for (size_t i = 0; i < vms; i++)
		sim->vms[(first + i) % SIM_VMS].wants = true;
}

void sim_arm_fault(struct sim *sim, enum sim_fault fault, enum sim_phase phase)
{
	sim->fault = fault;
	sim->phase = phase;
	sim->armed = true;
}

void sim_clear_faults(struct sim *sim)
{
	sim->armed = false;
	sim->store_down = false;
	sim->lose_swaps = false;
	sim->loss_pct = 0;
	sim->slow_pct = 0;
	sim->double_pct = 0;
	memset(sim->cut, 0, sizeof(sim->cut));
	sim_log(sim, "faults end");
	for (size_t i = 0; i < SIM_VMS; i++) {
		struct sim_vm *v = &sim->vms[i];

		v->control.paused_until = 0;
		v->entry.paused_until = 0;
		if (v->list_lag > CLK_SEC(3))
			v->list_lag = CLK_SEC(1);
		set_listed(sim, i, true);
		if (!v->control.alive)
			sim_start_control(sim, i);
		if (!v->entry.alive)
			sim_start_entry(sim, i);
	}
}

void sim_run(struct sim *sim, apr_interval_time_t time)
{
	const apr_time_t end = sim->now + time;

	while (sim->now < end)
		step(sim);
}

apr_time_t sim_now(const struct sim *sim)
{
	return sim->now;
}

bool sim_fault_injected(const struct sim *sim)
{
	return sim->fault_injected;
}

uint64_t sim_excess(const struct sim *sim, size_t limit)
{
	return sim->excess[limit];
}

uint64_t sim_taken(const struct sim *sim, size_t limit)
{
	return sim->total[limit];
}

const char *sim_fault_name(enum sim_fault fault)
{
	static const char *const names[] = {
		[SIM_NO_FAULT] = "none",
		[SIM_PAUSE_SHORT] = "control paused 1.5 s",
		[SIM_PAUSE_LONG] = "control paused 20 s",
		[SIM_PAUSE_UNLISTED] = "control paused 20 s and off the list",
		[SIM_CONTROL_DIES] = "control dies",
		[SIM_ENTRY_DIES] = "entry restarts",
		[SIM_ENTRY_PAUSE] = "entry paused 5 s",
		[SIM_VM_DIES] = "VM dies",
		[SIM_VM_REPLACED] = "VM replaced at once",
		[SIM_STORE_DOWN] = "store down",
		[SIM_SWAP_REPLY_LOST] = "replies of swaps lost",
		[SIM_MESSAGES_LOST] = "30% of messages lost",
		[SIM_MESSAGES_DOUBLED] = "50% of messages doubled",
		[SIM_LIST_STALE] = "list stale on half of the VMs",
		[SIM_REGION_CUT] = "region cut off",
		[SIM_LIMIT_LOWERED] = "limit lowered",
		[SIM_LIMIT_RAISED] = "limit raised",
	};

	return names[fault];
}

const char *sim_phase_name(enum sim_phase phase)
{
	static const char *const names[] = {
		[SIM_AT_START] = "at start",
		[SIM_WHILE_CLAIMING] = "claiming",
		[SIM_WHILE_HOLDING] = "holding",
		[SIM_WHILE_LENDING] = "lending",
		[SIM_WHILE_BORROWING] = "borrowing",
		[SIM_WHILE_HANDING_OVER] = "handing over",
	};

	return names[phase];
}
