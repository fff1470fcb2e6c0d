#include "agent/permit.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>

#include "agent/permit_ring.h"
#include "agent/permit_state.h"
#include "common/err.h"
#include "common/evt.h"
#include "common/rpcs.h"

#define LOG_MODULE "permit"

/* Commands and messages that wait for the thread. */
#define RING_CAPACITY 16384

/* Time between ticks with and without something in progress. */
#define TICK_BUSY CLK_MS(5)
#define TICK_IDLE CLK_MS(100)

/* Time between looks for a new view. */
#define VIEW_INTERVAL CLK_MS(50)

/* Commands taken before what they cause is sent. */
#define BURST 64

enum command_kind {
	COMMAND_ASK,
	COMMAND_CANCEL,
	COMMAND_RELEASE,
	COMMAND_REPORT,
	COMMAND_ANSWERS,
	COMMAND_STOP,
};

struct command {
	enum command_kind kind;
	union {
		struct permit_ask ask;
		uint64_t cancel;
		struct {
			uint64_t permit;
			enum permit_outcome outcome;
		} release;
		struct {
			uint64_t permit;
			struct permit_report report;
		} report;
		pmt_answers answers;
	};
};

struct permit_agent {
	const struct clk *clk;
	struct ctl_agent *ctl;
	struct permit_ring *ring;
	struct permit_out *out;
	struct permit_state *state;
	void (*on_answer)(void *ctx, const struct permit_answer *answer);
	void *ctx;
	struct ctl_view *view;
	apr_time_t view_at;
	apr_time_t tick_at;
	atomic_bool stopping;
	pthread_t thread;
	bool started;
	struct rpcs_proc proc;
	struct rpcs_program program;
};

static void send_mail(void *ctx, const struct permit_mail *mail)
{
	struct permit_agent *agent = ctx;

	/* What does not get out is noticed by the count of messages. */
	(void)permit_out_send(agent->out, mail);
}

static void pass_answer(void *ctx, const struct permit_answer *answer)
{
	struct permit_agent *agent = ctx;

	agent->on_answer(agent->ctx, answer);
}

static int push(struct permit_agent *agent, const struct command *command)
{
	struct command *copy = malloc(sizeof(*copy));

	if (!copy)
		return PST_ERR_FULL;
	*copy = *command;
	if (permit_ring_push(agent->ring, copy))
		return 0;
	free(copy);
	evt_log(BROKER_RING_FULL, "ring=permit");
	return PST_ERR_FULL;
}

static int handle_answers(void *ctx, const struct net_addr *peer, void *args,
			  void *res)
{
	struct permit_agent *agent = ctx;
	pmt_answers *answers = args;
	const struct command command = {
		.kind = COMMAND_ANSWERS,
		.answers = *answers,
	};

	(void)peer;
	(void)res;
	/* The thread frees what has been taken over. */
	if (!push(agent, &command))
		*answers = (pmt_answers){0};
	return 0;
}

static void run_command(struct permit_agent *agent, struct command *command)
{
	struct permit_state *state = agent->state;
	const apr_time_t now = clk_now(agent->clk);

	switch (command->kind) {
	case COMMAND_ASK:
		permit_state_ask(state, &command->ask, now);
		break;
	case COMMAND_CANCEL:
		permit_state_cancel(state, command->cancel, now);
		break;
	case COMMAND_RELEASE:
		permit_state_release(state, command->release.permit,
				     command->release.outcome, now);
		break;
	case COMMAND_REPORT:
		permit_state_report(state, command->report.permit,
				    &command->report.report, now);
		break;
	case COMMAND_ANSWERS:
		permit_state_answers(state, &command->answers, now);
		break;
	case COMMAND_STOP:
		break;
	}
}

static void free_command(struct command *command)
{
	if (command->kind == COMMAND_ANSWERS)
		xdr_free((xdrproc_t)xdr_pmt_answers, &command->answers);
	free(command);
}

static void look_for_view(struct permit_agent *agent, apr_time_t now)
{
	struct ctl_view *view;

	if (agent->view && now - agent->view_at < VIEW_INTERVAL)
		return;
	agent->view_at = now;
	view = ctl_agent_view(agent->ctl);
	if (view && view != agent->view)
		permit_state_view(agent->state, view, now);
	/* The reference kept here keeps the address from being used again. */
	if (view && agent->view)
		ctl_view_put(agent->view);
	if (view)
		agent->view = view;
}

static void *run(void *arg)
{
	struct permit_agent *agent = arg;

	while (!agent->stopping) {
		const apr_interval_time_t wait =
			permit_state_busy(agent->state) ? TICK_BUSY : TICK_IDLE;
		struct command *command = permit_ring_pop(agent->ring, wait);
		const apr_time_t now = clk_now(agent->clk);

		look_for_view(agent, now);
		for (int i = 0; command && i < BURST; i++) {
			run_command(agent, command);
			free_command(command);
			command = i + 1 < BURST
					  ? permit_ring_pop(agent->ring, 0)
					  : NULL;
		}
		if (now - agent->tick_at >= TICK_BUSY) {
			agent->tick_at = now;
			permit_state_tick(agent->state, now);
		}
		permit_state_flush(agent->state, clk_now(agent->clk));
	}
	return NULL;
}

static int create_state(struct permit_agent *agent, const struct settings *set)
{
	struct permit_state_cfg cfg = {
		.entry = set->vm.id,
		.region = set->vm.region,
		.incarnation = str_hash(set->vm.id, (uint64_t)apr_time_now()),
		.broker_port = (uint16_t)set->control.rpc_port,
		.heartbeat = CLK_MS(set->permit.heartbeat_ms),
		.silent_timeout = CLK_MS(set->permit.silent_timeout_ms),
	};
	const struct permit_io io = {
		.send = send_mail,
		.answer = pass_answer,
		.ctx = agent,
	};
	int err = pick_parse(set->entry.policy, &cfg.policy);

	if (err)
		return err;
	return permit_state_create(&agent->state, &cfg, io);
}

static int register_program(struct permit_agent *agent)
{
	agent->proc = (struct rpcs_proc){
		.proc = PMT_PROC_ANSWERS,
		.one_way = true,
		.xargs = (xdrproc_t)xdr_pmt_answers,
		.args_size = sizeof(pmt_answers),
		.handle = handle_answers,
	};
	agent->program = (struct rpcs_program){
		.prog = PMT_PROG_ENTRY,
		.vers = PMT_VERS,
		.procs = &agent->proc,
		.proc_count = 1,
		.ctx = agent,
	};
	return rpcs_register(&agent->program);
}

static int start(struct permit_agent *agent, const struct settings *set)
{
	int err = permit_ring_create(&agent->ring, RING_CAPACITY);

	if (!err)
		err = permit_out_start(&agent->out, set, agent->clk);
	if (!err)
		err = create_state(agent, set);
	if (!err)
		err = register_program(agent);
	if (err)
		return err;
	if (pthread_create(&agent->thread, NULL, run, agent))
		return PST_ERR_THREAD;
	agent->started = true;
	return 0;
}

int permit_agent_start(struct permit_agent **out, const struct settings *set,
		       const struct clk *clk, struct ctl_agent *ctl,
		       void (*on_answer)(void *ctx,
					 const struct permit_answer *answer),
		       void *ctx)
{
	struct permit_agent *agent = calloc(1, sizeof(*agent));
	int err;

	if (!agent)
		return PST_ERR_NOMEM;
	agent->clk = clk;
	agent->ctl = ctl;
	agent->on_answer = on_answer;
	agent->ctx = ctx;
	err = start(agent, set);
	if (err) {
		permit_agent_stop(agent);
		return err;
	}
	*out = agent;
	return 0;
}

void permit_agent_stop(struct permit_agent *agent)
{
	const struct command stop = {.kind = COMMAND_STOP};
	struct command *command;

	if (!agent)
		return;
	agent->stopping = true;
	if (agent->started) {
		push(agent, &stop);
		pthread_join(agent->thread, NULL);
	}
	while (agent->ring && (command = permit_ring_pop(agent->ring, 0)))
		free_command(command);
	permit_out_stop(agent->out);
	permit_state_destroy(agent->state);
	if (agent->view)
		ctl_view_put(agent->view);
	permit_ring_destroy(agent->ring);
	free(agent);
}

int permit_agent_ask(struct permit_agent *agent, const struct permit_ask *ask)
{
	const struct command command = {.kind = COMMAND_ASK, .ask = *ask};

	return push(agent, &command);
}

void permit_agent_cancel(struct permit_agent *agent, uint64_t ask_id)
{
	const struct command command = {
		.kind = COMMAND_CANCEL,
		.cancel = ask_id,
	};

	push(agent, &command);
}

void permit_agent_release(struct permit_agent *agent, uint64_t permit_id,
			  enum permit_outcome outcome)
{
	const struct command command = {
		.kind = COMMAND_RELEASE,
		.release = {.permit = permit_id, .outcome = outcome},
	};

	push(agent, &command);
}

void permit_agent_report(struct permit_agent *agent, uint64_t permit_id,
			 const struct permit_report *report)
{
	const struct command command = {
		.kind = COMMAND_REPORT,
		.report = {.permit = permit_id, .report = *report},
	};

	push(agent, &command);
}
