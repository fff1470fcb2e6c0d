#include "agent/permit.h"

#include <stdlib.h>

#include "agent/permit_loop.h"
#include "agent/permit_state.h"
#include "common/err.h"
#include "common/rpcs.h"

/* Most commands and messages that wait for the thread. */
#define RING_CAPACITY 16384

/* Time between ticks while an ask is open or a permit is held. */
#define TICK CLK_MS(5)

enum command_kind {
	COMMAND_ASK,
	COMMAND_CANCEL,
	COMMAND_RELEASE,
	COMMAND_REPORT,
	COMMAND_ANSWERS,
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
			struct load_report report;
		} report;
		pmt_answers answers;
	};
};

struct permit_agent {
	const struct clk *clk;
	struct ctl_agent *ctl;
	struct permit_loop *loop;
	struct permit_out *out;
	struct permit_state *state;
	void (*on_answer)(void *ctx, const struct permit_answer *answer);
	void *ctx;
	struct rpcs_proc proc;
	struct rpcs_program program;
};

static void send_message(void *ctx, const struct permit_message *message)
{
	struct permit_agent *agent = ctx;

	/* The broker detects a lost message by the sequence numbers. */
	(void)permit_out_send(agent->out, message);
}

static void pass_answer(void *ctx, const struct permit_answer *answer)
{
	struct permit_agent *agent = ctx;

	agent->on_answer(agent->ctx, answer);
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
	/* The thread frees the strings of a command that it has taken over. */
	if (!permit_loop_push(agent->loop, &command))
		*answers = (pmt_answers){0};
	return 0;
}

static void handle_command(void *ctx, void *item, apr_time_t now)
{
	const struct permit_agent *agent = ctx;
	const struct command *command = item;
	struct permit_state *state = agent->state;

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
	}
}

static void drop_command(void *item)
{
	struct command *command = item;

	if (command->kind == COMMAND_ANSWERS)
		xdr_free((xdrproc_t)xdr_pmt_answers, &command->answers);
}

static struct ctl_view *current_view(void *ctx)
{
	const struct permit_agent *agent = ctx;

	return ctl_agent_view(agent->ctl);
}

static void apply_view(void *ctx, struct ctl_view *view, apr_time_t now)
{
	const struct permit_agent *agent = ctx;

	permit_state_view(agent->state, view, now);
}

static void tick(void *ctx, apr_time_t now)
{
	const struct permit_agent *agent = ctx;

	permit_state_tick(agent->state, now);
}

static void flush(void *ctx, apr_time_t now)
{
	const struct permit_agent *agent = ctx;

	permit_state_flush(agent->state, now);
}

static bool busy(void *ctx)
{
	const struct permit_agent *agent = ctx;

	return permit_state_busy(agent->state);
}

static int create_loop(struct permit_agent *agent)
{
	const struct permit_loop_cfg cfg = {
		.clk = agent->clk,
		.name = "permit",
		.capacity = RING_CAPACITY,
		.tick = TICK,
		.item_size = sizeof(struct command),
	};
	const struct permit_loop_hooks hooks = {
		.handle_item = handle_command,
		.free_item = drop_command,
		.view = current_view,
		.view_changed = apply_view,
		.tick = tick,
		.flush = flush,
		.busy = busy,
		.ctx = agent,
	};

	return permit_loop_create(&agent->loop, &cfg, &hooks);
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
		.send = send_message,
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
	int err = create_loop(agent);

	if (!err)
		err = permit_out_start(&agent->out, set, agent->clk);
	if (!err)
		err = create_state(agent, set);
	if (!err)
		err = register_program(agent);
	if (!err)
		err = permit_loop_start(agent->loop);
	return err;
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
	if (!agent)
		return;
	permit_loop_stop(agent->loop);
	permit_out_stop(agent->out);
	permit_state_destroy(agent->state);
	permit_loop_destroy(agent->loop);
	free(agent);
}

int permit_agent_ask(struct permit_agent *agent, const struct permit_ask *ask)
{
	const struct command command = {.kind = COMMAND_ASK, .ask = *ask};

	return permit_loop_push(agent->loop, &command);
}

void permit_agent_cancel(struct permit_agent *agent, uint64_t ask_id)
{
	const struct command command = {
		.kind = COMMAND_CANCEL,
		.cancel = ask_id,
	};

	permit_loop_push(agent->loop, &command);
}

void permit_agent_release(struct permit_agent *agent, uint64_t permit_id,
			  enum permit_outcome outcome)
{
	const struct command command = {
		.kind = COMMAND_RELEASE,
		.release = {.permit = permit_id, .outcome = outcome},
	};

	permit_loop_push(agent->loop, &command);
}

void permit_agent_report(struct permit_agent *agent, uint64_t permit_id,
			 const struct load_report *report)
{
	const struct command command = {
		.kind = COMMAND_REPORT,
		.report = {.permit = permit_id, .report = *report},
	};

	permit_loop_push(agent->loop, &command);
}
