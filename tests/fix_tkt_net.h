/* Network between the processes of a fix_world; for fix_tkt*.c only. */
#ifndef TESTS_FIX_TKT_NET_H
#define TESTS_FIX_TKT_NET_H

#include "tests/fix_tkt.h"

/* Index of the store as the sender or receiver of a message. */
#define STORE FIX_PROCS

enum msg_kind {
	MSG_OP,
	MSG_RULING,
	MSG_QUERY,
	MSG_OUTCOME,
	MSG_RUN,
	MSG_END,
	MSG_ADOPT,
};

struct fix_msg {
	enum msg_kind kind;
	apr_time_t at;
	int from;
	int to;
	/* Incarnation of the receiver; a reply to an earlier one is dropped. */
	uint64_t incarnation;
	size_t key;
	uint64_t attempt;
	enum tkt_op_kind op;
	/* 0 for the witness, else the rank of its successor. */
	int hop;
	const struct tkt_chunk *chunk;
	struct tkt_owner owner;
	struct tkt_ruling ruling;
	enum tkt_outcome outcome;
	enum tkt_end end;
	struct fix_msg *next;
};

/* Returns the index of a VM's process, or -1. */
int fix_net_proc(const struct fix_world *w, uint64_t vm);

bool fix_net_paused(const struct fix_world *w, int to);

/* Calls the world's hook, if it has one, before a step. */
void fix_net_hook(struct fix_world *w, enum fix_step step, int proc);

/* Sends a message, which may be lost, delayed or repeated. */
void fix_net_post(struct fix_world *w, const struct fix_msg *msg);

/* Performs an action of a claimant; ctx is its struct fix_proc. */
void fix_net_act(void *ctx, const struct tkt_action *action);

/* Delivers due messages; those to a paused process wait for its resumption. */
void fix_net_deliver(struct fix_world *w);

#endif
