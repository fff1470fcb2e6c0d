/*
 * Client of the brokers: asks for permits to use an upstream's slot.
 *
 * One thread talks to the brokers of every service and failure domain; the
 * answers arrive over the process's RPC server. All functions are
 * thread-safe and never block.
 */
#ifndef AGENT_PERMIT_H
#define AGENT_PERMIT_H

#include "agent/ctl.h"
#include "policy/brk_types.h"

struct permit_ask {
	/* Chosen by the caller, unique in the process. */
	uint64_t id;
	struct strbuf service;
	/* Failure domain of the upstreams. */
	struct strbuf domain;
	enum rank rank;
	/* On this process's clock. */
	apr_time_t deadline;
};

struct permit_answer {
	uint64_t ask_id;
	enum permit_result result;
	/* Granted only. */
	uint64_t permit_id;
	struct strbuf upstream;
	struct strbuf address;
	uint16_t port;
	/* Refused only: when to come back. */
	apr_interval_time_t retry_after;
};

struct permit_agent;

/*
 * Registers its RPC program (before rpcs_start()) and starts the thread.
 * on_answer runs on the agent's threads and must not block; each ask is
 * answered once, at its deadline at the latest, unless cancelled. Borrows
 * set, clk and ctl.
 */
int permit_agent_start(struct permit_agent **out, const struct settings *set,
		       const struct clk *clk, struct ctl_agent *ctl,
		       void (*on_answer)(void *ctx,
					 const struct permit_answer *answer),
		       void *ctx);

/* After rpcs_stop(). Asks that are still open get no answer. */
void permit_agent_stop(struct permit_agent *agent);

/* Returns 0 or PST_ERR_FULL. */
int permit_agent_ask(struct permit_agent *agent, const struct permit_ask *ask);

/* Gives up an ask; an answer that crosses it is returned as unused. */
void permit_agent_cancel(struct permit_agent *agent, uint64_t ask_id);

/* Ends the use of a permit. */
void permit_agent_release(struct permit_agent *agent, uint64_t permit_id,
			  enum permit_outcome outcome);

/*
 * Passes on what the upstream of a held permit said of itself with an
 * answer; dropped when there is no room.
 */
void permit_agent_report(struct permit_agent *agent, uint64_t permit_id,
			 const struct load_report *report);

#endif
