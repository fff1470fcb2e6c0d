/* What the parts of the fleet in fix_shr.h share; private to them. */
#ifndef TESTS_FIX_SHR_STATE_H
#define TESTS_FIX_SHR_STATE_H

#include "common/clk.h"
#include "tests/fix_shr.h"

#define LOAN	 CLK_MS(2000)
#define INTERVAL CLK_MS(250)
#define TICK	 CLK_MS(100)
#define TIMEOUT	 CLK_MS(500)
#define SILENT	 CLK_SEC(2)

/* Clocks differ by less than one part in SHR_DRIFT from each other. */
#define DRIFT_PPM  (1000000 / SHR_DRIFT_DIVISOR / 2 - 100)

#define LINK_MBPS  8
#define INTAKE	   240
#define TARGETS	   ((size_t)FS_VMS * (FS_DOMAINS + 1))
#define MESSAGES   4096
#define PER_DOMAIN (FS_VMS / FS_DOMAINS)

/* Times a limit is lowered by or raised to in the matching faults. */
#define CHANGED_FACTOR 2

/* After this an edit is in force on every VM. */
#define EDIT_BOUND CLK_SEC(5)

/* What a lowered limit may still take: an edit's way and its last loans. */
#define LOWERED_WITHIN (EDIT_BOUND + LOAN + CLK_SEC(2))

enum kind {
	MSG_BORROW,
	MSG_DRAW,
	MSG_ABOUT,
	MSG_READ,
	MSG_SWAP,
};

struct message {
	bool used;
	bool reply;
	enum kind kind;
	size_t from;
	size_t to;
	uint64_t from_process;
	uint64_t seq;
	apr_time_t at;
	enum shr_level level;
	struct shr_ask asks[FS_LIMITS];
	struct shr_grant grants[FS_LIMITS];
	size_t count;
	size_t domain;
	struct shr_record record;
	int err;
	enum shr_reply answer;
	apr_interval_time_t rest;
};

/* A duty waits for one answer at a time. */
struct call {
	bool waiting;
	uint64_t seq;
	apr_time_t sent_at;
	size_t domain;
	struct shr_ask asks[FS_LIMITS];
	size_t count;
};

/* Whom to ask; domain FS_DOMAINS: a VM of the own domain. */
struct target {
	size_t vm;
	size_t domain;
	enum shr_lender_kind kind;
};

struct process {
	bool alive;
	uint64_t number;
	apr_time_t paused_until;
};

struct vm_sim {
	apr_interval_time_t offset;
	int drift_ppm;
	struct process control;
	struct process entry;
	struct shr_node *node;
	struct shr_root roots[FS_DOMAINS];
	struct call root_calls[FS_DOMAINS];
	struct call borrow;
	/* Lenders of the round, and the next of them. */
	struct target targets[TARGETS];
	size_t target_count;
	size_t target;
	bool acting;
	/* Last answer by VM and by the domain it speaks for. */
	apr_time_t answered[FS_VMS][FS_DOMAINS + 1];
	apr_time_t round_at;
	apr_time_t tick_at;
	apr_time_t silent_until[FS_VMS];
	struct ql *ql;
	struct call draw;
	apr_time_t draw_at;
	bool wants;
	/* As the platform's list has it, and since when. */
	bool listed;
	apr_time_t list_changed;
	apr_interval_time_t list_lag;
	apr_interval_time_t edit_lag;
};

struct fs {
	FILE *log;
	apr_time_t now;
	uint64_t numbers;
	uint64_t seq;
	struct vm_sim vms[FS_VMS];
	struct message messages[MESSAGES];
	/* No message is in a slot from here on. */
	size_t message_top;
	struct shr_record store[FS_DOMAINS];
	uint64_t store_revision;
	bool store_down;
	int loss_pct;
	int double_pct;
	int slow_pct;
	bool lose_swaps;
	bool cut[FS_REGIONS];
	struct shr_map *maps[2];
	apr_time_t edited_at;
	uint64_t ids[FS_LIMITS];
	uint64_t window[FS_LIMITS][FS_WINDOW + 1];
	uint64_t sum[FS_LIMITS];
	uint64_t total[FS_LIMITS];
	uint64_t excess[FS_LIMITS];
	enum fs_fault fault;
	enum fs_when when;
	bool armed;
	bool struck;
};

/* Messages, names and views: fix_shr_net.c. Processes: fix_shr_vm.c. */
void fs_note(const struct fs *fs, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
size_t fs_domain_of(size_t vm);
size_t fs_region_of(size_t vm);
struct strbuf fs_domain_name(size_t domain);
struct strbuf fs_vm_name(size_t vm);
apr_time_t fs_local(const struct fs *fs, size_t vm);
bool fs_runs(const struct fs *fs, const struct process *p);
bool fs_sees(const struct fs *fs, size_t vm, size_t other);
size_t fs_order(const struct fs *fs, size_t vm, size_t domain, size_t *out);
void fs_call(struct fs *fs, size_t vm, struct call *c, struct message *m);
void fs_deliver(struct fs *fs, struct message *slot);
void fs_start_control(struct fs *fs, size_t vm);
void fs_start_entry(struct fs *fs, size_t vm);
struct shr_view fs_view_of(const struct fs *fs, size_t vm, size_t domain);
void fs_apply_roots(struct fs *fs, size_t vm);
void fs_end_root_call(struct fs *fs, size_t vm, size_t d,
		      const struct message *m);
void fs_end_borrow(struct fs *fs, size_t vm, const struct message *m);
void fs_step_control(struct fs *fs, size_t vm);
void fs_step_entry(struct fs *fs, size_t vm);

#endif
