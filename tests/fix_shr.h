/*
 * A small fleet of share holders on hand-moved clocks: every VM with its own
 * offset and rate, messages that are delayed, lost and doubled, a store with
 * outages and lost replies, and a lagging list. Drives policy/shr_* and
 * agent/quota_limits as the daemons do, and counts what is taken.
 */
#ifndef TESTS_FIX_SHR_H
#define TESTS_FIX_SHR_H

#include <stdio.h>

#include "agent/quota_limits.h"
#include "policy/shr_node.h"
#include "policy/shr_root.h"

#define FS_REGIONS 3
#define FS_DOMAINS 6
#define FS_VMS	   12

/* One step of global time. */
#define FS_STEP 5000

/* Steps in the window over which a limit holds. */
#define FS_WINDOW (BKT_WINDOW / FS_STEP)

/* Limits under test. */
#define FS_LINK	  0
#define FS_INTAKE 1
#define FS_LIMITS 2

enum fs_fault {
	FS_NO_FAULT,
	FS_PAUSE_SHORT,
	FS_PAUSE_LONG,
	/* As before, and the list drops the VM meanwhile. */
	FS_PAUSE_UNLISTED,
	FS_CONTROL_DIES,
	FS_ENTRY_DIES,
	FS_ENTRY_PAUSE,
	FS_VM_DIES,
	FS_VM_REPLACED,
	FS_STORE_DOWN,
	FS_SWAP_REPLY_LOST,
	FS_MESSAGES_LOST,
	FS_MESSAGES_DOUBLED,
	FS_LIST_STALE,
	FS_REGION_CUT,
	FS_LIMIT_LOWERED,
	FS_LIMIT_RAISED,
	FS_FAULTS,
};

/* Step of the shares' way at which a fault strikes. */
enum fs_when {
	FS_AT_START,
	FS_WHILE_CLAIMING,
	FS_WHILE_HOLDING,
	FS_WHILE_LENDING,
	FS_WHILE_BORROWING,
	FS_WHILE_HANDING_OVER,
	FS_WHENS,
};

struct fs;

/* log: lines of what happens, or NULL. */
struct fs *fs_create(unsigned seed, FILE *log);
void fs_destroy(struct fs *fs);

/* Lets a number of VMs want both limits in full, the others nothing. */
void fs_demand(struct fs *fs, size_t vms, size_t first);

/* Arms a fault: it strikes the first VM to which the step applies. */
void fs_arm(struct fs *fs, enum fs_fault fault, enum fs_when when);

/* Ends every fault, also one that has not struck, and lets all processes run
 * again. */
void fs_heal(struct fs *fs);

void fs_run(struct fs *fs, apr_interval_time_t time);

/* Global time, and whether the armed fault has struck. */
apr_time_t fs_now(const struct fs *fs);
bool fs_struck(const struct fs *fs);

/* Largest amount over the limit seen in any window; 0: never exceeded. */
uint64_t fs_excess(const struct fs *fs, size_t limit);

/* Total taken since the start. */
uint64_t fs_taken(const struct fs *fs, size_t limit);

/* The limit in force. */
uint64_t fs_limit(const struct fs *fs, size_t limit);

const char *fs_fault_name(enum fs_fault fault);
const char *fs_when_name(enum fs_when when);

#endif
