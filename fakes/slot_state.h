/* State of the slot model, private to its files. */
#ifndef FAKES_SLOT_STATE_H
#define FAKES_SLOT_STATE_H

#include "fakes/agenda.h"
#include "fakes/slot_draw.h"
#include "fakes/slot_model.h"
#include "fakes/slot_sample.h"

/* Requests per slot that an upstream queues before it sheds. */
#define SLOT_QUEUE_PER_SLOT 2
#define SLOT_QUEUE_MAX	    64

/* Time after the end by which all requests in flight have ended. */
#define SLOT_SETTLE_TIME CLK_SEC(120)

enum slot_event_kind {
	SLOT_ARRIVE,
	SLOT_AT_BROKER,
	SLOT_ANSWERED,
	SLOT_AT_UPSTREAM,
	SLOT_RAN,
	SLOT_AT_ENTRY,
	SLOT_RELEASED,
	SLOT_CANCELLED,
	SLOT_GIVEN_UP,
	SLOT_REPORT,
	SLOT_TICKED,
};

enum slot_stage {
	SLOT_WAITING,
	SLOT_GRANTED,
	SLOT_QUEUED,
	SLOT_RUNNING,
	SLOT_ENDED,
};

struct slot_request {
	enum rank rank;
	uint16_t entry;
	uint16_t domain;
	int16_t upstream;
	uint8_t attempts;
	uint8_t stage;
	bool answered;
	bool measured;
	bool shed;
	apr_time_t arrived;
	/* Time in a slot at normal speed, and in the slot that it got. */
	apr_interval_time_t service;
	apr_interval_time_t took;
	uint64_t permit;
};

struct slot_upstream {
	uint16_t domain;
	uint32_t slots;
	uint32_t running;
	uint32_t queue[SLOT_QUEUE_MAX];
	uint32_t queued;
	uint32_t reported;
	struct strbuf name;
};

struct slot_state;

/* A domain's broker, or an entry VM's static share of a domain's slots. */
struct slot_granter {
	struct slot_state *m;
	struct broker *broker;
	uint16_t entry;
	bool local;
};

struct slot_state {
	struct slot_model_cfg cfg;
	struct slot_model_results *out;
	apr_time_t now;
	struct slot_draw draw;
	struct evqueue agenda;
	struct slot_request *requests;
	size_t request_count;
	size_t request_capacity;
	struct slot_upstream ups[SLOT_MODEL_UPSTREAMS];
	uint32_t slots;
	struct strbuf entries[SLOT_MODEL_ENTRIES];
	struct slot_granter brokers[SLOT_MODEL_DOMAINS];
	struct slot_granter locals[SLOT_MODEL_ENTRIES][SLOT_MODEL_DOMAINS];
	uint32_t outstanding[SLOT_MODEL_ENTRIES][SLOT_MODEL_UPSTREAMS];
	struct slot_sample samples[RANK_COUNT];
	bool failed;
	/*
	 * Answer callback of all brokers and static shares; its ctx is the
	 * struct slot_granter.
	 */
	void (*answer)(void *ctx, const struct broker_answer *answer);
};

/*
 * Creates the upstreams, entry VMs, brokers and static shares. The caller must
 * have set cfg and answer. Returns 0 or an error.
 */
int slot_make(struct slot_state *m);

#endif
