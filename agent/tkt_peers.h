/*
 * Calls to the at-most-once service of other entry processes.
 *
 * Calls to a peer wait in its bounded queue while one is in flight, and are
 * then batched: operations for one witness are sent in one message. A few
 * threads serve the peers that have calls queued. A peer that did not reply is
 * called again one call at a time, with exponential back-off, so that threads
 * remain free for the other peers.
 */
#ifndef AGENT_TKT_PEERS_H
#define AGENT_TKT_PEERS_H

#include "common/clk.h"
#include "common/settings.h"
#include "policy/tkt_key.h"
#include "policy/tkt_witness.h"
#include "policy/vmlist.h"

enum tkt_call_kind {
	TKT_CALL_OP,
	TKT_CALL_QUERY,
};

struct tkt_call {
	enum tkt_call_kind kind;
	/* Attempt of the claimant. */
	uint64_t attempt;
	/* Incarnation of the called process, or of the witness it serves. */
	uint64_t incarnation;
	union {
		struct {
			struct tkt_op op;
			/* Witness that the ticket names. */
			uint64_t witness;
			/* 0 for that witness, else the rank of its successor.
			 */
			uint32_t hop;
			/* Grant of the witness itself. */
			enum tkt_grant witness_grant;
		};
		struct {
			/* Attempt in question; 0: any. */
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
	struct vmlist *(*list)(void *ctx);
	/* The three callbacks run on the worker threads, without a lock. */
	void (*on_ruling)(void *ctx, const struct tkt_call *call,
			  const struct tkt_ruling *ruling);
	void (*on_outcome)(void *ctx, uint64_t attempt,
			   enum tkt_outcome outcome, bool no_reply);
	/* The witness did not answer, or asks not to be used for new blocks. */
	void (*on_witness_failed)(void *ctx, uint64_t vm, int err);
	void *ctx;
};

struct tkt_peers;

/* Returns 0, PST_ERR_NOMEM or PST_ERR_THREAD. */
int tkt_peers_start(struct tkt_peers **out, const struct tkt_peers_conf *conf);

/* Waits until no call is queued or in flight, at most for the time. */
void tkt_peers_flush(struct tkt_peers *peers, apr_interval_time_t time);

/* Waits for calls in flight and drops queued ones. NULL is allowed. */
void tkt_peers_stop(struct tkt_peers *peers);

/* Copies call to the VM's queue. Returns 0, PST_ERR_FULL or PST_ERR_NOMEM. */
int tkt_peers_send(struct tkt_peers *peers, uint64_t vm,
		   const struct tkt_call *call);

#endif
