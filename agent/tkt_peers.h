/*
 * Calls to the at-most-once service of other entry processes.
 *
 * Calls to one peer wait in its bounded line while a call is in flight, and
 * then go together: operations for one witness are sent in one message. A
 * few threads serve the peers that have calls waiting; a peer that was
 * silent gets one trial at a time, with growing gaps, so that the others
 * find a thread free.
 */
#ifndef AGENT_TKT_PEERS_H
#define AGENT_TKT_PEERS_H

#include "common/clk.h"
#include "common/settings.h"
#include "policy/tkt_key.h"
#include "policy/tkt_witness.h"
#include "policy/vml.h"

enum tkt_call_kind {
	TKT_CALL_OP,
	TKT_CALL_QUERY,
};

struct tkt_call {
	enum tkt_call_kind kind;
	/* The asker's attempt. */
	uint64_t attempt;
	/* Of the process that is called, or of the witness it stands for. */
	uint64_t incarnation;
	union {
		struct {
			struct tkt_op op;
			/* Witness that the ticket names. */
			uint64_t witness;
			/* 0: that witness; else its successors by rank. */
			uint32_t hop;
			/* The witness's own word. */
			enum tkt_grant first;
		};
		struct {
			/* 0: any. */
			uint64_t owner_attempt;
			char key[TKT_KEY_MAX + 1];
		} query;
	};
	struct tkt_call *next;
};

struct tkt_peers_conf {
	const struct settings *set;
	const struct clk *clk;
	uint64_t vm;
	uint64_t incarnation;
	/* Returns a new reference, or NULL while no list is known. */
	struct vml *(*list)(void *ctx);
	/* These run on the threads of the peers, without a lock. */
	void (*ruled)(void *ctx, const struct tkt_call *call,
		      const struct tkt_ruling *ruling);
	void (*told)(void *ctx, uint64_t attempt, enum tkt_outcome outcome,
		     bool silent);
	/* The witness did not answer, or asks not to be used for new blocks. */
	void (*avoid)(void *ctx, uint64_t vm, int err);
	void *ctx;
};

struct tkt_peers;

/* Returns 0, PST_ERR_NOMEM or PST_ERR_THREAD. */
int tkt_peers_start(struct tkt_peers **out, const struct tkt_peers_conf *conf);

/* Waits until no call is waiting or in flight, at most for the time. */
void tkt_peers_flush(struct tkt_peers *peers, apr_interval_time_t time);

/* Waits for calls in flight; waiting ones are dropped. NULL is allowed. */
void tkt_peers_stop(struct tkt_peers *peers);

/* Copies call into the VM's line. Returns 0, PST_ERR_FULL or PST_ERR_NOMEM. */
int tkt_peers_send(struct tkt_peers *peers, uint64_t vm,
		   const struct tkt_call *call);

#endif
