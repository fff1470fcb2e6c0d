/*
 * What an entry VM knows of its asks and permits, and of the brokers' VMs:
 * everything of the permit agent but its threads and connections.
 *
 * Belongs to one thread. Messages are collected until permit_state_flush().
 */
#ifndef AGENT_PERMIT_STATE_H
#define AGENT_PERMIT_STATE_H

#include "agent/permit.h"
#include "agent/permit_out.h"
#include "policy/pick.h"
#include "schema/gen/permit.h"

struct permit_io {
	/* Takes over mail->args. */
	void (*send)(void *ctx, const struct permit_mail *mail);
	void (*answer)(void *ctx, const struct permit_answer *answer);
	void *ctx;
};

struct permit_state_cfg {
	enum pick_policy policy;
	struct str entry;
	struct str region;
	/* Different in each start of the process. */
	uint64_t incarnation;
	/* Port of pst-controld's RPC on every VM. */
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

/* Sends what has been collected. */
void permit_state_flush(struct permit_state *st, apr_time_t now);

/* Whether an ask or a permit needs frequent ticks. */
bool permit_state_busy(const struct permit_state *st);

#endif
