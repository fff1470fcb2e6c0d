/*
 * A fleet of processes of the at-most-once protocol on a manual clock and a
 * seeded network that loses, repeats and reorders messages. It counts what
 * upstreams ran and checks the guarantees of the verdicts.
 */
#ifndef TESTS_FIX_TKT_H
#define TESTS_FIX_TKT_H

#include <stdio.h>

#include "common/clk.h"
#include "policy/tkt_claimant.h"
#include "policy/tkt_home.h"
#include "policy/tkt_wset.h"

#define FIX_PROCS 4
#define FIX_KEYS  24
/* Maximum number of handover messages in one run. */
#define FIX_CHUNKS 64

/* Steps of a request; the hook is called before each. */
enum fix_step {
	FIX_ADMIT,
	FIX_CLAIM,
	FIX_RULING,
	FIX_RUN,
	FIX_END,
	FIX_STEPS,
};

/* Variants of the protocol, broken to show that the checks detect it. */
enum fix_broken {
	FIX_CORRECT,
	/* A seal counts as confirmed without asking the witness. */
	FIX_NO_SEAL,
	/* The witness grants every claim of the ticket's home. */
	FIX_NO_REFUSAL,
	/* A restarted process keeps its incarnation. */
	FIX_SAME_INCARNATION,
	/* A witness that stops hands its records to two successors. */
	FIX_TWO_SUCCESSORS,
	FIX_VARIANTS,
};

struct fix_msg;

struct fix_proc {
	uint64_t vm;
	uint64_t incarnation;
	bool alive;
	apr_time_t paused_until;
	struct tkt_claimant *claimant;
	struct tkt_wset *witnesses;
	struct tkt_home home;
	struct fix_world *world;
};

struct fix_key {
	char text[TKT_KEY_MAX + 1];
	struct tkt_key key;
	unsigned runs;
	bool told_not_run;
};

struct fix_world {
	uint64_t random;
	apr_time_t now;
	enum fix_broken broken;
	/* Probability that a message is lost, in percent. */
	unsigned loss;
	/* Probability that a message is repeated, in percent. */
	unsigned repeat;
	/* Maximum delay of a message. */
	apr_interval_time_t delay;
	struct fix_proc procs[FIX_PROCS];
	/* cut[from][to]: messages are lost; the last index is the store. */
	bool cut[FIX_PROCS + 1][FIX_PROCS + 1];
	bool store_down;
	struct tkt_owner claims[FIX_KEYS];
	bool claimed[FIX_KEYS];
	struct fix_key keys[FIX_KEYS];
	size_t key_count;
	struct fix_msg *queue;
	struct tkt_chunk *chunks[FIX_CHUNKS];
	size_t chunk_count;
	/* May cause faults; NULL for none. */
	void (*hook)(struct fix_world *w, enum fix_step step, int proc);
	void (*verdict)(struct fix_world *w, const struct tkt_answer *answer);
	/* Returns how a request ends at the upstream, and whether it ran. */
	enum tkt_end (*upstream)(struct fix_world *w, bool *ran);
	/* First violated guarantee, or NULL. */
	const char *violation;
	uint64_t verdicts[TKT_REFUSED + 1];
	void *ctx;
};

void fix_tkt_init(struct fix_world *w, uint64_t seed);
void fix_tkt_done(struct fix_world *w);

uint64_t fix_tkt_random(struct fix_world *w, uint64_t below);

/* Gives proc's home a block of witness's tickets without using the network. */
void fix_tkt_open(struct fix_world *w, int proc, int witness);

/* Adds a key: a ticket of proc's home, or an own key when proc is -1. */
size_t fix_tkt_key(struct fix_world *w, int proc);

void fix_tkt_admit(struct fix_world *w, int proc, size_t key,
		   uint64_t request_id, apr_interval_time_t allowed);
void fix_tkt_crash(struct fix_world *w, int proc);
/* Hands over the records of a witness that stops; the process stays alive. */
void fix_tkt_leave(struct fix_world *w, int proc);
void fix_tkt_restart(struct fix_world *w, int proc);

/* Advances the clock to until, with deliveries and ticks. */
void fix_tkt_run(struct fix_world *w, apr_time_t until);

#endif
