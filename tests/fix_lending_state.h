/* Internal state of the simulation in fix_lending.h. */
#ifndef TESTS_FIX_SHR_STATE_H
#define TESTS_FIX_SHR_STATE_H

#include "common/clk.h"
#include "tests/fix_lending.h"

#define LOAN	    CLK_MS(2000)
#define INTERVAL    CLK_MS(250)
#define TICK	    CLK_MS(100)
#define TIMEOUT	    CLK_MS(500)
#define SILENT_HOLD CLK_SEC(2)

/*
 * Two clocks' rates differ by less than one part in LENDING_DRIFT_DIVISOR, as
 * the policy assumes.
 */
#define DRIFT_PPM      (1000000 / LENDING_DRIFT_DIVISOR / 2 - 100)

#define LINK_MBPS      8
#define INTAKE	       240
#define TARGETS_MAX    ((size_t)SIM_VMS * (SIM_DOMAINS + 1))
#define MESSAGES_MAX   4096
#define VMS_PER_DOMAIN (SIM_VMS / SIM_DOMAINS)

/* Factor by which a limit is lowered or raised in the matching faults. */
#define CHANGED_FACTOR 2

/* Time after which a change of limits is in force on every VM. */
#define EDIT_BOUND CLK_SEC(5)

/*
 * Time for which the old limit may still be used after it was lowered: the
 * change reaches every VM and the last loans expire.
 */
#define LOWERED_WITHIN (EDIT_BOUND + LOAN + CLK_SEC(2))

enum message_kind {
	MSG_BORROW,
	MSG_DRAW,
	MSG_ABOUT,
	MSG_READ,
	MSG_SWAP,
};

struct message {
	bool used;
	bool reply;
	enum message_kind kind;
	size_t from;
	size_t to;
	uint64_t from_incarnation;
	uint64_t seq;
	apr_time_t deliver_at;
	enum shr_level level;
	struct lending_ask asks[SIM_LIMITS];
	struct lending_grant grants[SIM_LIMITS];
	size_t count;
	size_t domain;
	struct lending_record record;
	int err;
	enum lending_reply answer;
	apr_interval_time_t rest;
};

/* A pending request; each activity of a VM waits for one reply at a time. */
struct call {
	bool waiting;
	uint64_t seq;
	apr_time_t sent_at;
	size_t domain;
	struct lending_ask asks[SIM_LIMITS];
	size_t count;
};

/* A lender to ask; domain is SIM_DOMAINS for a VM of the own domain. */
struct target {
	size_t vm;
	size_t domain;
	enum lending_lender_kind kind;
};

struct process {
	bool alive;
	uint64_t incarnation;
	apr_time_t paused_until;
};

struct sim_vm {
	apr_interval_time_t offset;
	int drift_ppm;
	struct process control;
	struct process entry;
	struct lending_node *node;
	struct lending_root roots[SIM_DOMAINS];
	struct call root_calls[SIM_DOMAINS];
	struct call borrow;
	/* Lenders to ask in this round, and the index of the next. */
	struct target targets[TARGETS_MAX];
	size_t target_count;
	size_t next_target;
	/* No VM of its domain lends to it, so it acts as candidate. */
	bool acting;
	/* Time of the last reply by VM and by the domain it answers for. */
	apr_time_t answered_at[SIM_VMS][SIM_DOMAINS + 1];
	apr_time_t next_round_at;
	apr_time_t next_tick_at;
	apr_time_t silent_until[SIM_VMS];
	struct limiter *limiter;
	struct call draw;
	apr_time_t next_draw_at;
	bool wants;
	/* Whether the platform's list has the VM, and since when. */
	bool listed;
	apr_time_t list_changed;
	apr_interval_time_t list_lag;
	apr_interval_time_t edit_lag;
};

struct sim {
	FILE *log;
	apr_time_t now;
	uint64_t last_incarnation;
	uint64_t seq;
	struct sim_vm vms[SIM_VMS];
	struct message messages[MESSAGES_MAX];
	/* No slot from this index on has a message. */
	size_t message_top;
	struct lending_record store[SIM_DOMAINS];
	uint64_t store_revision;
	bool store_down;
	int loss_pct;
	int double_pct;
	int slow_pct;
	bool lose_swaps;
	bool cut[SIM_REGIONS];
	struct lending_map *maps[2];
	apr_time_t edited_at;
	uint64_t ids[SIM_LIMITS];
	uint64_t window[SIM_LIMITS][SIM_WINDOW + 1];
	uint64_t sum[SIM_LIMITS];
	uint64_t total[SIM_LIMITS];
	uint64_t excess[SIM_LIMITS];
	enum sim_fault fault;
	enum sim_phase phase;
	bool armed;
	bool fault_injected;
};

/* fix_lending_net.c: messages, names and views. fix_lending_vm.c: processes. */
void sim_log(const struct sim *sim, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
size_t sim_domain_of(size_t vm);
size_t sim_region_of(size_t vm);
struct strbuf sim_domain_name(size_t domain);
struct strbuf sim_vm_name(size_t vm);
apr_time_t sim_local_time(const struct sim *sim, size_t vm);
bool sim_is_running(const struct sim *sim, const struct process *p);
bool sim_sees_listed(const struct sim *sim, size_t vm, size_t other);
size_t sim_lender_order(const struct sim *sim, size_t vm, size_t domain,
			size_t *out);
void sim_call(struct sim *sim, size_t vm, struct call *c, struct message *m);
void sim_deliver(struct sim *sim, struct message *slot);
void sim_start_control(struct sim *sim, size_t vm);
void sim_start_entry(struct sim *sim, size_t vm);
struct lending_view sim_view_of(const struct sim *sim, size_t vm,
				size_t domain);
void sim_apply_roots(struct sim *sim, size_t vm);
void sim_end_root_call(struct sim *sim, size_t vm, size_t d,
		       const struct message *m);
void sim_end_borrow(struct sim *sim, size_t vm, const struct message *m);
void sim_step_control(struct sim *sim, size_t vm);
void sim_step_entry(struct sim *sim, size_t vm);

#endif
