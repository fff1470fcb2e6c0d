/* The network between the processes of a fix_world; only for fix_tkt*.c. */
#ifndef TESTS_FIX_TKT_NET_H
#define TESTS_FIX_TKT_NET_H

#include "tests/fix_tkt.h"

/* Number of the store among the ends of messages. */
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
	/* Of the process that it is for; a reply to an older one is lost. */
	uint64_t incarnation;
	size_t key;
	uint64_t attempt;
	enum tkt_op_kind op;
	/* 0: to the witness; else to its successors by rank. */
	int hop;
	const struct tkt_chunk *chunk;
	struct tkt_owner owner;
	struct tkt_ruling ruling;
	enum tkt_outcome outcome;
	enum tkt_end end;
	struct fix_msg *next;
};

/* The process of a VM, or -1. */
int fix_net_proc(const struct fix_world *w, uint64_t vm);

bool fix_net_paused(const struct fix_world *w, int to);

/* Tells the world's hook of a step. */
void fix_net_hook(struct fix_world *w, enum fix_step step, int proc);

/* Sends a message, which may be lost or repeated. */
void fix_net_post(struct fix_world *w, const struct fix_msg *msg);

/* Does what an asker wants; ctx is its struct fix_proc. */
void fix_net_act(void *ctx, const struct tkt_action *action);

/* Delivers what is due; what a paused process would get waits for it. */
void fix_net_deliver(struct fix_world *w);

#endif
