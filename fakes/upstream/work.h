/*
 * Requests of a simulated upstream: admission to its slots, queue, run time,
 * drain, cold start, shedding, deadlines and injected faults.
 */
#ifndef FAKES_UPSTREAM_WORK_H
#define FAKES_UPSTREAM_WORK_H

#include "fakes/digest.h"
#include "fakes/fault.h"
#include "fakes/http.h"
#include "fakes/upstream/keys.h"

enum wrk_fault {
	WRK_FAULT_NONE,
	WRK_FAULT_DIE_BEFORE,
	WRK_FAULT_DIE_DURING,
	WRK_FAULT_DIE_AFTER,
	/* The answer ends in the middle. */
	WRK_FAULT_TRUNCATE,
	/* The answer comes ms after it is ready. */
	WRK_FAULT_LATE,
	/* The answer is another request's. */
	WRK_FAULT_CROSSED,
	/* Requests are taken and never answered. */
	WRK_FAULT_SILENCE,
	/* The load report says idle. */
	WRK_FAULT_LIE,
	/* The run takes ms longer. */
	WRK_FAULT_SLOW,
	/* Refused as shed although slots are free. */
	WRK_FAULT_SHED,
	/* Answered with status 500 after it ran. */
	WRK_FAULT_ERROR,
};

struct wrk_config {
	const char *id;
	const char *service;
	uint32_t slots;
	/* Requests that may wait for a slot. */
	uint32_t queue;
	/* Mean run time. */
	uint32_t mean_ms;
	/* Time after the start during which runs take longer. */
	uint32_t cold_ms;
	uint32_t cold_factor;
	/* Whether run times vary (exponential distribution). */
	bool vary;
	uint64_t seed;
};

enum wrk_state {
	WRK_ARRIVING,
	WRK_WAITING,
	WRK_RUNNING,
	WRK_READY,
};

/* One request of an upstream. */
struct wrk_item {
	TAILQ_ENTRY(wrk_item) link;
	struct flp_timer timer;
	struct wrk *work;
	struct fht_req *req;
	enum wrk_state state;
	bool complete;
	bool has_slot;
	/* Time after which it is not started; 0 for none. */
	apr_time_t deadline;
	struct dig *digest;
	uint64_t received;
	char received_digest[DIG_TEXT_BYTES];
	uint64_t run;
};

struct wrk;

/* Borrows loop, config and keys. Returns 0 or PST_ERR_NOMEM. */
int wrk_create(struct wrk **out, struct flp *loop,
	       const struct wrk_config *config, struct key_journal *keys);

/* The HTTP server's callbacks; ctx is the struct wrk. */
const struct fht_ops *wrk_ops(void);

/* Sends an item's answer; see answer.c. */
void wrk_send(struct wrk_item *item, struct flt *fault);

const struct wrk_config *wrk_config(const struct wrk *work);
struct key_journal *wrk_keys(struct wrk *work);

/* Load report: utilization from 0 to 1, and the upstream's state. */
struct wrk_load {
	double utilization;
	bool draining;
	bool cold;
};

struct wrk_load wrk_load(struct wrk *work);
json_t *wrk_stats(struct wrk *work);

/* Returns 0, PST_ERR_INVALID or PST_ERR_FAKE_FAULT. */
int wrk_set_fault(struct wrk *work, struct str json);
void wrk_set_drain(struct wrk *work, bool on);

#endif
