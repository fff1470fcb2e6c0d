/*
 * Requests of a simulated upstream: admission to its slots, queue, run time,
 * drain, cold start, shedding, deadlines and injected faults.
 */
#ifndef FAKES_UPSTREAM_UPSIM_H
#define FAKES_UPSTREAM_UPSIM_H

#include "fakes/digest.h"
#include "fakes/fault.h"
#include "fakes/http.h"
#include "fakes/upstream/keys.h"

enum upsim_fault {
	UPSIM_FAULT_NONE,
	UPSIM_FAULT_DIE_BEFORE,
	UPSIM_FAULT_DIE_DURING,
	UPSIM_FAULT_DIE_AFTER,
	/* The answer ends in the middle. */
	UPSIM_FAULT_TRUNCATE,
	/* The answer comes ms after it is ready. */
	UPSIM_FAULT_LATE,
	/* The answer is another request's. */
	UPSIM_FAULT_CROSSED,
	/* Requests are taken and never answered. */
	UPSIM_FAULT_SILENCE,
	/* The load report says idle. */
	UPSIM_FAULT_LIE,
	/* The run takes ms longer. */
	UPSIM_FAULT_SLOW,
	/* Refused as shed although slots are free. */
	UPSIM_FAULT_SHED,
	/* Answered with status 500 after it ran. */
	UPSIM_FAULT_ERROR,
};

struct upsim_config {
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

enum upsim_state {
	UPSIM_ARRIVING,
	UPSIM_WAITING,
	UPSIM_RUNNING,
	UPSIM_READY,
};

/* One request of an upstream. */
struct upsim_item {
	TAILQ_ENTRY(upsim_item) link;
	struct evloop_timer timer;
	struct upsim *work;
	struct httpsrv_req *req;
	enum upsim_state state;
	bool complete;
	bool has_slot;
	/* Time after which it is not started; 0 for none. */
	apr_time_t deadline;
	struct dig *digest;
	uint64_t received;
	char received_digest[DIG_TEXT_BYTES];
	uint64_t run;
};

struct upsim;

/* Borrows loop, config and keys. Returns 0 or PST_ERR_NOMEM. */
int upsim_create(struct upsim **out, struct evloop *loop,
		 const struct upsim_config *config, struct key_journal *keys);

/* The HTTP server's callbacks; ctx is the struct upsim. */
const struct httpsrv_ops *upsim_ops(void);

/* Sends an item's answer; see answer.c. */
void upsim_send(struct upsim_item *item, struct faultinj *fault);

const struct upsim_config *upsim_config(const struct upsim *work);
struct key_journal *upsim_keys(struct upsim *work);

/* Load report: utilization from 0 to 1, and the upstream's state. */
struct upsim_load {
	double utilization;
	bool draining;
	bool cold;
};

struct upsim_load upsim_load(struct upsim *work);
json_t *upsim_stats(struct upsim *work);

/* Returns 0, PST_ERR_INVALID or PST_ERR_FAKE_FAULT. */
int upsim_set_fault(struct upsim *work, struct str json);
void upsim_set_drain(struct upsim *work, bool on);

#endif
