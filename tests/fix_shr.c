/* The fleet as tests see it: its making, faults, time and checks. */
#include "tests/fix_shr_state.h"

#include <stdlib.h>
#include <string.h>

#include "tests/fix_limits.h"

static void set_listed(struct fs *fs, size_t vm, bool listed)
{
	if (fs->vms[vm].listed == listed)
		return;
	fs->vms[vm].listed = listed;
	fs->vms[vm].list_changed = fs->now;
}

static bool applies(const struct fs *fs, size_t vm)
{
	const struct vm_sim *v = &fs->vms[vm];
	const struct shr_root *root = &v->roots[fs_domain_of(vm)];
	const bool holds = shr_root_valid(root, fs_local(fs, vm));

	switch (fs->when) {
	case FS_AT_START:
		return fs->now >= CLK_MS(300);
	case FS_WHILE_CLAIMING:
		return root->state == SHR_CLAIMING && root->busy;
	case FS_WHILE_HOLDING:
		return holds;
	case FS_WHILE_LENDING:
		return holds && !v->wants && fs->now > CLK_SEC(4) &&
		       shr_node_rest(v->node, fs_local(fs, vm)) > 0;
	case FS_WHILE_BORROWING:
		return v->wants && fs->now > CLK_SEC(4) && v->borrow.waiting &&
		       v->borrow.count > 0;
	case FS_WHILE_HANDING_OVER:
		return root->state == SHR_ASKING;
	case FS_WHENS:
		break;
	}
	return false;
}

static void edit(struct fs *fs, uint32_t mbps, uint32_t intake)
{
	struct tbl *tbl;

	if (fs->maps[1])
		return;
	tbl = fix_tbl(FS_REGIONS, FS_DOMAINS / FS_REGIONS, mbps, intake, 2);
	shr_map_build(&fs->maps[1], tbl);
	fs->edited_at = fs->now;
	tbl_put(tbl);
}

static void kill_vm(struct fs *fs, size_t vm)
{
	fs->vms[vm].control.alive = false;
	fs->vms[vm].entry.alive = false;
	set_listed(fs, vm, false);
}

static void strike(struct fs *fs, size_t vm)
{
	struct vm_sim *v = &fs->vms[vm];

	fs_note(fs, "fault %s on vm%zu", fs_fault_name(fs->fault), vm);
	switch (fs->fault) {
	case FS_PAUSE_SHORT:
		v->control.paused_until = fs->now + CLK_MS(1500);
		break;
	case FS_PAUSE_LONG:
	case FS_PAUSE_UNLISTED:
		v->control.paused_until = fs->now + CLK_SEC(20);
		set_listed(fs, vm, fs->fault == FS_PAUSE_LONG);
		break;
	case FS_CONTROL_DIES:
		v->control.alive = false;
		break;
	case FS_ENTRY_DIES:
		fs_start_entry(fs, vm);
		break;
	case FS_ENTRY_PAUSE:
		v->entry.paused_until = fs->now + CLK_SEC(5);
		break;
	case FS_VM_DIES:
		kill_vm(fs, vm);
		break;
	case FS_VM_REPLACED:
		fs_start_control(fs, vm);
		fs_start_entry(fs, vm);
		break;
	case FS_STORE_DOWN:
		fs->store_down = true;
		break;
	case FS_SWAP_REPLY_LOST:
		fs->lose_swaps = true;
		break;
	case FS_MESSAGES_LOST:
		fs->loss_pct = 30;
		break;
	case FS_MESSAGES_DOUBLED:
		fs->double_pct = 50;
		break;
	case FS_LIST_STALE:
		for (size_t i = 0; i < FS_VMS; i += 2)
			fs->vms[i].list_lag = CLK_SEC(30);
		set_listed(fs, vm, false);
		break;
	case FS_REGION_CUT:
		fs->cut[fs_region_of(vm)] = true;
		break;
	case FS_LIMIT_LOWERED:
		edit(fs, LINK_MBPS / CHANGED_FACTOR, INTAKE / CHANGED_FACTOR);
		break;
	case FS_LIMIT_RAISED:
		edit(fs, LINK_MBPS * CHANGED_FACTOR, INTAKE * CHANGED_FACTOR);
		break;
	case FS_NO_FAULT:
	case FS_FAULTS:
		break;
	}
}

static void check_fault(struct fs *fs)
{
	for (size_t i = 0; fs->armed && i < FS_VMS; i++) {
		if (!fs_runs(fs, &fs->vms[i].control) || !applies(fs, i))
			continue;
		fs->armed = false;
		fs->struck = true;
		strike(fs, i);
	}
}

uint64_t fs_limit(const struct fs *fs, size_t limit)
{
	const uint64_t old = shr_map_limit(fs->maps[0], fs->ids[limit]);
	uint64_t new = old;

	if (fs->maps[1])
		new = shr_map_limit(fs->maps[1], fs->ids[limit]);
	if (new < old && fs->now < fs->edited_at + LOWERED_WITHIN)
		return old;
	return new;
}

static void check_limits(struct fs *fs)
{
	const size_t next = (size_t)(fs->now / FS_STEP + 1) % (FS_WINDOW + 1);

	for (size_t i = 0; i < FS_LIMITS; i++) {
		const uint64_t limit = fs_limit(fs, i);

		if (fs->sum[i] > limit && fs->sum[i] - limit > fs->excess[i]) {
			fs->excess[i] = fs->sum[i] - limit;
			fs_note(fs, "limit %zu exceeded by %lu", i,
				(unsigned long)fs->excess[i]);
		}
		fs->sum[i] -= fs->window[i][next];
		fs->window[i][next] = 0;
	}
}

static void step(struct fs *fs)
{
	while (fs->message_top && !fs->messages[fs->message_top - 1].used)
		fs->message_top--;
	for (size_t i = 0; i < fs->message_top; i++) {
		if (fs->messages[i].used && fs->messages[i].at <= fs->now)
			fs_deliver(fs, &fs->messages[i]);
	}
	for (size_t i = 0; i < FS_VMS; i++) {
		if (fs_runs(fs, &fs->vms[i].control))
			fs_step_control(fs, i);
		if (fs_runs(fs, &fs->vms[i].entry))
			fs_step_entry(fs, i);
	}
	check_fault(fs);
	check_limits(fs);
	fs->now += FS_STEP;
}

struct fs *fs_create(unsigned seed, FILE *log)
{
	struct fs *fs = calloc(1, sizeof(*fs));
	struct tbl *tbl = fix_tbl(FS_REGIONS, FS_DOMAINS / FS_REGIONS,
				  LINK_MBPS, INTAKE, 1);

	srandom(seed);
	fs->slow_pct = 5;
	fs->log = log;
	fs->now = CLK_MS(100);
	fs->ids[FS_LINK] = shr_link_id(STR_LIT("r0"), STR_LIT("r1"));
	fs->ids[FS_INTAKE] =
		shr_intake_id(STR_LIT("status"), RANK_URGENT, STR_LIT("r2"));
	shr_map_build(&fs->maps[0], tbl);
	tbl_put(tbl);
	for (size_t i = 0; i < FS_VMS; i++) {
		struct vm_sim *v = &fs->vms[i];

		v->offset = CLK_SEC(random() % 100000);
		v->drift_ppm =
			(int)(random() % (2 * DRIFT_PPM + 1)) - DRIFT_PPM;
		v->listed = true;
		v->list_lag = CLK_MS(random() % 3000);
		v->list_changed = -CLK_SEC(100);
		v->edit_lag = random() % EDIT_BOUND;
		fs_start_control(fs, i);
		fs_start_entry(fs, i);
	}
	return fs;
}

void fs_destroy(struct fs *fs)
{
	for (size_t i = 0; i < FS_VMS; i++) {
		shr_node_destroy(fs->vms[i].node);
		ql_destroy(fs->vms[i].ql);
	}
	shr_map_put(fs->maps[0]);
	shr_map_put(fs->maps[1]);
	free(fs);
}

void fs_demand(struct fs *fs, size_t vms, size_t first)
{
	for (size_t i = 0; i < FS_VMS; i++)
		fs->vms[i].wants = false;
	for (size_t i = 0; i < vms; i++)
		fs->vms[(first + i) % FS_VMS].wants = true;
}

void fs_arm(struct fs *fs, enum fs_fault fault, enum fs_when when)
{
	fs->fault = fault;
	fs->when = when;
	fs->armed = true;
}

void fs_heal(struct fs *fs)
{
	fs->armed = false;
	fs->store_down = false;
	fs->lose_swaps = false;
	fs->loss_pct = 0;
	fs->slow_pct = 0;
	fs->double_pct = 0;
	memset(fs->cut, 0, sizeof(fs->cut));
	fs_note(fs, "faults end");
	for (size_t i = 0; i < FS_VMS; i++) {
		struct vm_sim *v = &fs->vms[i];

		v->control.paused_until = 0;
		v->entry.paused_until = 0;
		if (v->list_lag > CLK_SEC(3))
			v->list_lag = CLK_SEC(1);
		set_listed(fs, i, true);
		if (!v->control.alive)
			fs_start_control(fs, i);
		if (!v->entry.alive)
			fs_start_entry(fs, i);
	}
}

void fs_run(struct fs *fs, apr_interval_time_t time)
{
	const apr_time_t end = fs->now + time;

	while (fs->now < end)
		step(fs);
}

apr_time_t fs_now(const struct fs *fs)
{
	return fs->now;
}

bool fs_struck(const struct fs *fs)
{
	return fs->struck;
}

uint64_t fs_excess(const struct fs *fs, size_t limit)
{
	return fs->excess[limit];
}

uint64_t fs_taken(const struct fs *fs, size_t limit)
{
	return fs->total[limit];
}

const char *fs_fault_name(enum fs_fault fault)
{
	static const char *const names[] = {
		[FS_NO_FAULT] = "none",
		[FS_PAUSE_SHORT] = "control paused 1.5 s",
		[FS_PAUSE_LONG] = "control paused 20 s",
		[FS_PAUSE_UNLISTED] = "control paused 20 s and off the list",
		[FS_CONTROL_DIES] = "control dies",
		[FS_ENTRY_DIES] = "entry restarts",
		[FS_ENTRY_PAUSE] = "entry paused 5 s",
		[FS_VM_DIES] = "VM dies",
		[FS_VM_REPLACED] = "VM replaced at once",
		[FS_STORE_DOWN] = "store down",
		[FS_SWAP_REPLY_LOST] = "replies of swaps lost",
		[FS_MESSAGES_LOST] = "30% of messages lost",
		[FS_MESSAGES_DOUBLED] = "50% of messages doubled",
		[FS_LIST_STALE] = "list stale on half of the VMs",
		[FS_REGION_CUT] = "region cut off",
		[FS_LIMIT_LOWERED] = "limit lowered",
		[FS_LIMIT_RAISED] = "limit raised",
	};

	return names[fault];
}

const char *fs_when_name(enum fs_when when)
{
	static const char *const names[] = {
		[FS_AT_START] = "at start",
		[FS_WHILE_CLAIMING] = "claiming",
		[FS_WHILE_HOLDING] = "holding",
		[FS_WHILE_LENDING] = "lending",
		[FS_WHILE_BORROWING] = "borrowing",
		[FS_WHILE_HANDING_OVER] = "handing over",
	};

	return names[when];
}
