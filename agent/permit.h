/*
 * Client of the brokers: asks for permits, each of which allows the use of one
 * slot of an upstream.
 *
 * One thread talks to the brokers of every service and failure domain; the
 * answers arrive over the process's RPC server. All functions are
 * thread-safe and never block.
 */
#ifndef AGENT_PERMIT_H
#define AGENT_PERMIT_H

#include "agent/ctl.h"
#include "policy/broker_types.h"

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
	/* These are set if the permit was granted. */
	uint64_t permit_id;
	struct strbuf upstream;
	struct strbuf address;
	uint16_t port;
	/* Set if it was refused: how long to wait before the next ask. */
	apr_interval_time_t retry_after;
};

struct permit_agent;

/*
 * Registers the agent's RPC program and starts its thread; to be called before
 * rpcs_start(). on_answer runs on the agent's thread and must not block. Each
 * ask that is not cancelled is answered once, at its deadline at the latest.
 * Borrows set, clk and ctl.
 */
int permit_agent_start(struct permit_agent **out, const struct settings *set,
		       const struct clk *clk, struct ctl_agent *ctl,
		       void (*on_answer)(void *ctx,
					 const struct permit_answer *answer),
		       void *ctx);

/* To be called after rpcs_stop(). Unanswered asks get no answer. */
void permit_agent_stop(struct permit_agent *agent);

/* Returns 0 or PST_ERR_FULL. */
int permit_agent_ask(struct permit_agent *agent, const struct permit_ask *ask);

/*
 * Withdraws an ask. A permit that the broker has granted in the meantime is
 * released as unused.
 */
void permit_agent_cancel(struct permit_agent *agent, uint64_t ask_id);

/* Ends the use of a permit. */
void permit_agent_release(struct permit_agent *agent, uint64_t permit_id,
			  enum permit_outcome outcome);

/*
 * Passes on the load report that came with an answer from the upstream of a
 * held permit; it is dropped when the queue of commands is full.
 */
void permit_agent_report(struct permit_agent *agent, uint64_t permit_id,
			 const struct load_report *report);

#endif
