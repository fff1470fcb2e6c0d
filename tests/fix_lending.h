/*
 * Simulation of a small fleet that lends limits. Each VM has a clock with its
 * own offset and rate; messages are delayed, lost and duplicated; the store
 * has outages and loses replies; the list of VMs lags. Drives policy/shr_* and
 * agent/quota_limits as the daemons do and counts what is taken of each limit.
 */
#ifndef TESTS_FIX_SHR_H
#define TESTS_FIX_SHR_H

#include <stdio.h>

#include "agent/quota_limits.h"
#include "policy/lending_node.h"
#include "policy/lending_root.h"

#define SIM_REGIONS 3
#define SIM_DOMAINS 6
#define SIM_VMS	    12

/* One step of global time, in microseconds. */
#define SIM_STEP 5000

/* Steps in the window over which a limit holds. */
#define SIM_WINDOW (RATELIMIT_WINDOW / SIM_STEP)

/* Limits under test. */
#define SIM_LINK   0
#define SIM_INTAKE 1
#define SIM_LIMITS 2

enum sim_fault {
	SIM_NO_FAULT,
	SIM_PAUSE_SHORT,
	SIM_PAUSE_LONG,
	/* The same, and the VM is not on the list during the pause. */
	SIM_PAUSE_UNLISTED,
	SIM_CONTROL_DIES,
	SIM_ENTRY_DIES,
	SIM_ENTRY_PAUSE,
	SIM_VM_DIES,
	SIM_VM_REPLACED,
	SIM_STORE_DOWN,
	SIM_SWAP_REPLY_LOST,
	SIM_MESSAGES_LOST,
	SIM_MESSAGES_DOUBLED,
	SIM_LIST_STALE,
	SIM_REGION_CUT,
	SIM_LIMIT_LOWERED,
	SIM_LIMIT_RAISED,
	SIM_FAULT_COUNT,
};

/* Phase of lending in which a fault is injected. */
enum sim_phase {
	SIM_AT_START,
	SIM_WHILE_CLAIMING,
	SIM_WHILE_HOLDING,
	SIM_WHILE_LENDING,
	SIM_WHILE_BORROWING,
	SIM_WHILE_HANDING_OVER,
	SIM_PHASE_COUNT,
};

struct sim;

/* Events are logged to log unless it is NULL. */
struct sim *sim_create(unsigned seed, FILE *log);
void sim_destroy(struct sim *sim);

/*
 * Lets a number of VMs, from first on, want both limits in full, and the other
 * VMs nothing.
 */
void sim_set_demand(struct sim *sim, size_t vms, size_t first);

/* Arms a fault, which is injected into the first VM in that phase. */
void sim_arm_fault(struct sim *sim, enum sim_fault fault, enum sim_phase phase);

/*
 * Ends every fault, also one that is armed only, and restarts or resumes all
 * processes.
 */
void sim_clear_faults(struct sim *sim);

void sim_run(struct sim *sim, apr_interval_time_t time);

/* Global time, and whether the armed fault has been injected. */
apr_time_t sim_now(const struct sim *sim);
bool sim_fault_injected(const struct sim *sim);

/* Largest excess over the limit in any window; 0 when never exceeded. */
uint64_t sim_excess(const struct sim *sim, size_t limit);

/* Total taken since the start. */
uint64_t sim_taken(const struct sim *sim, size_t limit);

/* The limit in force. */
uint64_t sim_limit(const struct sim *sim, size_t limit);

const char *sim_fault_name(enum sim_fault fault);
const char *sim_phase_name(enum sim_phase phase);

#endif
