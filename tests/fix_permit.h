/*
 * Entry VMs and brokers joined by messages in memory, on a hand-moved clock.
 * Each of the VMs e1, e2 and e3 has a permit agent's state and a broker host.
 */
#ifndef TESTS_FIX_PERMIT_H
#define TESTS_FIX_PERMIT_H

#include "agent/permit_local.h"
#include "agent/permit_state.h"
#include "controld/brk_host.h"

#define FIX_VMS	      3
#define FIX_UPSTREAMS 2u
#define FIX_SLOTS     2u
#define FIX_ANSWERS   2048

struct fix_answer {
	struct permit_answer answer;
	bool released;
};

struct fix_vm {
	struct fix_net *net;
	int number;
	char id[8];
	char ip[16];
	struct settings set;
	uint64_t starts;
	/* NULL while the process is dead. */
	struct permit_state *state;
	struct brk_host *host;
	/* Paused processes do nothing; messages to them wait. */
	bool state_paused;
	bool host_paused;
	struct fix_answer answers[FIX_ANSWERS];
	size_t answer_count;
};

struct fix_mail {
	struct permit_mail mail;
	int from;
	apr_time_t at;
};

struct fix_net {
	apr_time_t now;
	struct fix_vm vms[FIX_VMS];
	struct fix_mail *mails;
	size_t mail_count;
	size_t mail_room;
	/* Messages sent before this time are lost. */
	apr_time_t lossy_until;
	/* Permits in use above an upstream's slots, at most, ever. */
	unsigned excess;
	bool leaving[FIX_UPSTREAMS];
	bool vm_leaving[FIX_VMS];
	struct ctl_view *view;
	uint64_t revision;
	/* Messages delivered, and those sent on a new connection. */
	uint64_t delivered;
	uint64_t reconnects;
};

void fix_net_start(struct fix_net *net);
void fix_net_stop(struct fix_net *net);

/* Publishes a list by leaving and vm_leaving. */
void fix_net_list(struct fix_net *net);

/* Lets time pass, 1 ms a step. */
void fix_net_run(struct fix_net *net, apr_interval_time_t time);

void fix_net_start_state(struct fix_vm *vm);
void fix_net_start_host(struct fix_vm *vm);
void fix_net_kill_state(struct fix_vm *vm);
void fix_net_kill_host(struct fix_vm *vm);

/* The VM that runs the broker by the present list. */
struct fix_vm *fix_net_broker(struct fix_net *net);

void fix_net_ask(struct fix_vm *vm, uint64_t id, enum rank rank,
		 apr_interval_time_t deadline);
/* Releases every permit that the VM has been given and still holds. */
void fix_net_release_all(struct fix_vm *vm, enum permit_outcome outcome);

/* Number of answers to the ask; *last is the latest one. */
size_t fix_net_answers(const struct fix_vm *vm, uint64_t id,
		       struct permit_answer *last);

#endif
