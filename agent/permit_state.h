/*
 * State of the permit agent: an entry VM's asks, permits and brokers' VMs,
 * without threads and connections.
 *
 * Used by one thread. Messages are collected until permit_state_flush().
 */
#ifndef AGENT_PERMIT_STATE_H
#define AGENT_PERMIT_STATE_H

#include "agent/permit.h"
#include "agent/permit_out.h"
#include "policy/pick.h"
#include "schema/gen/permit.h"

struct permit_io {
	/* Takes over message->args. */
	void (*send)(void *ctx, const struct permit_message *message);
	void (*answer)(void *ctx, const struct permit_answer *answer);
	void *ctx;
};

struct permit_state_cfg {
	enum pick_policy policy;
	struct str entry;
	struct str region;
	/* Different in each start of the process. */
	uint64_t incarnation;
	/* RPC port of pst-controld on every VM. */
	uint16_t broker_port;
	apr_interval_time_t heartbeat;
	apr_interval_time_t silent_timeout;
};

struct permit_state;

/* Returns 0 or PST_ERR_NOMEM. The strings of cfg are borrowed. */
int permit_state_create(struct permit_state **out,
			const struct permit_state_cfg *cfg,
			struct permit_io io);
/* Unanswered asks are dropped without an answer. */
void permit_state_destroy(struct permit_state *st);

/* Takes a reference of its own. */
void permit_state_view(struct permit_state *st, struct ctl_view *view,
		       apr_time_t now);
void permit_state_ask(struct permit_state *st, const struct permit_ask *ask,
		      apr_time_t now);
void permit_state_cancel(struct permit_state *st, uint64_t ask_id,
			 apr_time_t now);
void permit_state_release(struct permit_state *st, uint64_t permit_id,
			  enum permit_outcome outcome, apr_time_t now);
void permit_state_report(struct permit_state *st, uint64_t permit_id,
			 const struct load_report *report, apr_time_t now);
void permit_state_answers(struct permit_state *st, const pmt_answers *answers,
			  apr_time_t now);
void permit_state_tick(struct permit_state *st, apr_time_t now);

/* Sends the collected messages. */
void permit_state_flush(struct permit_state *st, apr_time_t now);

/* Whether there is an unanswered ask or a held permit. */
bool permit_state_busy(const struct permit_state *st);

#endif
