/*
 * Simulated network of entry VMs and brokers with messages in memory and a
 * manual clock. Each of the VMs e1, e2 and e3 has a permit agent's state and a
 * broker host.
 */
#ifndef TESTS_FIX_PERMIT_H
#define TESTS_FIX_PERMIT_H

#include "agent/permit_local.h"
#include "agent/permit_state.h"
#include "controld/broker_host.h"

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
	/* NULL while the process does not run. */
	struct permit_state *state;
	struct broker_host *host;
	/* A paused process does nothing; messages to it wait. */
	bool state_paused;
	bool host_paused;
	struct fix_answer answers[FIX_ANSWERS];
	size_t answer_count;
};

struct fix_message {
	struct permit_message message;
	int from;
	apr_time_t at;
};

struct fix_net {
	apr_time_t now;
	struct fix_vm vms[FIX_VMS];
	struct fix_message *messages;
	size_t message_count;
	size_t message_room;
	/* Messages sent before this time are lost. */
	apr_time_t lossy_until;
	/* Most permits in use beyond an upstream's slots so far. */
	unsigned excess;
	bool leaving[FIX_UPSTREAMS];
	bool vm_leaving[FIX_VMS];
	struct ctl_view *view;
	uint64_t revision;
	/* Numbers of messages delivered, and sent on a new connection. */
	uint64_t delivered;
	uint64_t reconnects;
};

void fix_net_start(struct fix_net *net);
void fix_net_stop(struct fix_net *net);

/* Publishes a VM list according to leaving and vm_leaving. */
void fix_net_list(struct fix_net *net);

/* Runs the simulation for the given time, in steps of 1 ms. */
void fix_net_run(struct fix_net *net, apr_interval_time_t time);

void fix_net_start_state(struct fix_vm *vm);
void fix_net_start_host(struct fix_vm *vm);
void fix_net_kill_state(struct fix_vm *vm);
void fix_net_kill_host(struct fix_vm *vm);

/* The VM that runs the broker according to the current list. */
struct fix_vm *fix_net_broker(struct fix_net *net);

void fix_net_ask(struct fix_vm *vm, uint64_t id, enum rank rank,
		 apr_interval_time_t deadline);
/* Releases every permit that the VM holds. */
void fix_net_release_all(struct fix_vm *vm, enum permit_outcome outcome);

/* Returns the number of answers to the ask; sets *last to the latest one. */
size_t fix_net_answers(const struct fix_vm *vm, uint64_t id,
		       struct permit_answer *last);

#endif
