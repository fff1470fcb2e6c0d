#include "policy/reqstate.h"

static struct reqstate_action *add(struct reqstate_actions *out,
				   enum reqstate_action_kind kind)
{
	struct reqstate_action *action = &out->list[out->count++];

	*action = (struct reqstate_action){.kind = kind};
	return action;
}

static void release(struct reqstate *reqstate, enum reqstate_result result,
		    struct reqstate_actions *out)
{
	if (!reqstate->permit_held)
		return;
	reqstate->permit_held = false;
	add(out, REQSTATE_ACT_RELEASE)->result = result;
}

static void release_unused(struct reqstate *reqstate,
			   struct reqstate_actions *out)
{
	if (!reqstate->permit_held)
		return;
	reqstate->permit_held = false;
	add(out, REQSTATE_ACT_RELEASE)->unused = true;
}

static void drop_permit(struct reqstate *reqstate, struct reqstate_actions *out)
{
	if (reqstate->permit_pending)
		add(out, REQSTATE_ACT_CANCEL_ASK);
	reqstate->permit_pending = false;
	release_unused(reqstate, out);
}

static void end_key(struct reqstate *reqstate, enum reqstate_end end,
		    struct reqstate_actions *out)
{
	if (!reqstate->key_admitted)
		return;
	reqstate->key_admitted = false;
	add(out, REQSTATE_ACT_END_KEY)->end = end;
}

static void finish(struct reqstate *reqstate, struct reqstate_actions *out)
{
	reqstate->phase = REQSTATE_DONE;
	add(out, REQSTATE_ACT_DONE);
}

static void refuse(struct reqstate *reqstate, bool not_run,
		   enum reqstate_cause cause, struct reqstate_actions *out)
{
	if (!reqstate->caller_gone) {
		struct reqstate_action *action = add(out, REQSTATE_ACT_REFUSE);

		action->refuse.not_run = not_run;
		action->refuse.cause = cause;
	}
	finish(reqstate, out);
}

/*
 * Refuses the request without another attempt. With a key, the refusal waits
 * until the key is sealed.
 */
static void give_up(struct reqstate *reqstate, enum reqstate_cause cause,
		    struct reqstate_actions *out)
{
	drop_permit(reqstate, out);
	if (reqstate->key_pending) {
		reqstate->phase = REQSTATE_SEALING;
		reqstate->cause = cause;
		return;
	}
	end_key(reqstate,
		reqstate->may_have_run ? REQSTATE_END_UNKNOWN
				       : REQSTATE_END_NOT_RUN,
		out);
	refuse(reqstate, !reqstate->may_have_run, cause, out);
}

static void ask_permit(struct reqstate *reqstate, enum reqstate_cause cause,
		       struct reqstate_actions *out)
{
	if (reqstate->asks == REQSTATE_ASKS_MAX) {
		give_up(reqstate, cause, out);
		return;
	}
	reqstate->phase = REQSTATE_ADMIT;
	reqstate->asks++;
	reqstate->permit_pending = true;
	add(out, REQSTATE_ACT_ASK_PERMIT);
}

static void send_if_ready(struct reqstate *reqstate,
			  struct reqstate_actions *out)
{
	if (!reqstate->permit_held || reqstate->key_pending)
		return;
	reqstate->phase = REQSTATE_SENDING;
	reqstate->attempt_count++;
	add(out, REQSTATE_ACT_SEND);
}

static void on_start(struct reqstate *reqstate, struct reqstate_actions *out)
{
	if (reqstate->keyed) {
		reqstate->key_pending = true;
		add(out, REQSTATE_ACT_ADMIT_KEY);
	}
	ask_permit(reqstate, REQSTATE_CAUSE_NO_ROOM, out);
}

static void on_ticket(struct reqstate *reqstate, enum reqstate_ticket ticket,
		      struct reqstate_actions *out)
{
	if (!reqstate->key_pending)
		return;
	reqstate->key_pending = false;
	reqstate->key_admitted = ticket == REQSTATE_TICKET_RUN;
	if (ticket != REQSTATE_TICKET_RUN) {
		drop_permit(reqstate, out);
		refuse(reqstate, ticket == REQSTATE_TICKET_NOT_RUN,
		       REQSTATE_CAUSE_KEY, out);
		return;
	}
	if (reqstate->phase == REQSTATE_SEALING) {
		give_up(reqstate, reqstate->cause, out);
		return;
	}
	send_if_ready(reqstate, out);
}

static void on_permit(struct reqstate *reqstate, enum reqstate_permit permit,
		      struct reqstate_actions *out)
{
	if (!reqstate->permit_pending)
		return;
	reqstate->permit_pending = false;
	switch (permit) {
	case REQSTATE_PERMIT_GRANTED:
		reqstate->permit_held = true;
		send_if_ready(reqstate, out);
		break;
	case REQSTATE_PERMIT_ELSEWHERE:
		ask_permit(reqstate, REQSTATE_CAUSE_NO_ROOM, out);
		break;
	case REQSTATE_PERMIT_LATE:
		give_up(reqstate, REQSTATE_CAUSE_LATE, out);
		break;
	}
}

static void on_no_domain(struct reqstate *reqstate,
			 struct reqstate_actions *out)
{
	if (reqstate->phase != REQSTATE_ADMIT)
		return;
	reqstate->permit_pending = false;
	give_up(reqstate, REQSTATE_CAUSE_NO_ROOM, out);
}

static bool may_send_again(const struct reqstate *reqstate, bool replayable)
{
	return replayable && reqstate->attempt_count < REQSTATE_ATTEMPTS_MAX &&
	       !reqstate->caller_gone;
}

/* The attempt provably did not run. */
static void retry_not_run(struct reqstate *reqstate, bool replayable,
			  enum reqstate_cause cause,
			  struct reqstate_actions *out)
{
	if (may_send_again(reqstate, replayable))
		ask_permit(reqstate, cause, out);
	else
		give_up(reqstate, cause, out);
}

/* The attempt may have run. */
static void retry_unknown(struct reqstate *reqstate, bool replayable,
			  enum reqstate_cause cause,
			  struct reqstate_actions *out)
{
	reqstate->may_have_run = true;
	if (reqstate->idempotent && may_send_again(reqstate, replayable))
		ask_permit(reqstate, cause, out);
	else
		give_up(reqstate, cause, out);
}

static void on_result(struct reqstate *reqstate, enum reqstate_result result,
		      bool replayable, struct reqstate_actions *out)
{
	if (reqstate->phase != REQSTATE_SENDING &&
	    reqstate->phase != REQSTATE_STREAMING)
		return;
	release(reqstate, result, out);
	switch (result) {
	case REQSTATE_RESULT_NOT_SENT:
		retry_not_run(reqstate, replayable, REQSTATE_CAUSE_UPSTREAM,
			      out);
		break;
	case REQSTATE_RESULT_SHED:
		retry_not_run(reqstate, replayable, REQSTATE_CAUSE_SHED, out);
		break;
	case REQSTATE_RESULT_SILENT:
		retry_unknown(reqstate, replayable, REQSTATE_CAUSE_SILENT, out);
		break;
	case REQSTATE_RESULT_LOST:
	case REQSTATE_RESULT_BAD:
		retry_unknown(reqstate, replayable, REQSTATE_CAUSE_UPSTREAM,
			      out);
		break;
	case REQSTATE_RESULT_TRUNCATED:
		end_key(reqstate, REQSTATE_END_UNKNOWN, out);
		add(out, REQSTATE_ACT_ABORT_RESPONSE);
		finish(reqstate, out);
		break;
	case REQSTATE_RESULT_WHOLE:
		end_key(reqstate, REQSTATE_END_RAN, out);
		finish(reqstate, out);
		break;
	case REQSTATE_RESULT_EXPIRED:
		break;
	}
}

static void on_caller_gone(struct reqstate *reqstate,
			   struct reqstate_actions *out)
{
	reqstate->caller_gone = true;
	switch (reqstate->phase) {
	case REQSTATE_ADMIT:
		give_up(reqstate, REQSTATE_CAUSE_CALLER_GONE, out);
		break;
	case REQSTATE_SENDING:
	case REQSTATE_STREAMING:
		/* A keyed request continues, so that its outcome is known. */
		if (reqstate->keyed)
			break;
		add(out, REQSTATE_ACT_ABORT_ATTEMPT);
		release(reqstate, REQSTATE_RESULT_LOST, out);
		finish(reqstate, out);
		break;
	case REQSTATE_SEALING:
	case REQSTATE_DONE:
		break;
	}
}

static void on_deadline(struct reqstate *reqstate, struct reqstate_actions *out)
{
	switch (reqstate->phase) {
	case REQSTATE_ADMIT:
		give_up(reqstate, REQSTATE_CAUSE_LATE, out);
		break;
	case REQSTATE_SENDING:
		add(out, REQSTATE_ACT_ABORT_ATTEMPT);
		release(reqstate, REQSTATE_RESULT_EXPIRED, out);
		reqstate->may_have_run = true;
		give_up(reqstate, REQSTATE_CAUSE_DEADLINE, out);
		break;
	case REQSTATE_STREAMING:
	case REQSTATE_SEALING:
	case REQSTATE_DONE:
		break;
	}
}

void reqstate_init(struct reqstate *reqstate, bool idempotent, bool keyed)
{
	*reqstate = (struct reqstate){
		.phase = REQSTATE_ADMIT,
		.idempotent = idempotent,
		.keyed = keyed,
	};
}

void reqstate_step(struct reqstate *reqstate,
		   const struct reqstate_event *event,
		   struct reqstate_actions *out)
{
	out->count = 0;
	if (reqstate->phase == REQSTATE_DONE)
		return;
	switch (event->kind) {
	case REQSTATE_EV_START:
		on_start(reqstate, out);
		break;
	case REQSTATE_EV_TICKET:
		on_ticket(reqstate, event->ticket, out);
		break;
	case REQSTATE_EV_PERMIT:
		on_permit(reqstate, event->permit, out);
		break;
	case REQSTATE_EV_NO_DOMAIN:
		on_no_domain(reqstate, out);
		break;
	case REQSTATE_EV_HEAD:
		if (reqstate->phase == REQSTATE_SENDING)
			reqstate->phase = REQSTATE_STREAMING;
		break;
	case REQSTATE_EV_RESULT:
		on_result(reqstate, event->result, event->replayable, out);
		break;
	case REQSTATE_EV_CALLER_GONE:
		on_caller_gone(reqstate, out);
		break;
	case REQSTATE_EV_DEADLINE:
		on_deadline(reqstate, out);
		break;
	}
}

const char *reqstate_cause_name(enum reqstate_cause cause)
{
	static const char *const names[] = {
		[REQSTATE_CAUSE_NONE] = "none",
		[REQSTATE_CAUSE_KEY] = "key",
		[REQSTATE_CAUSE_LATE] = "late",
		[REQSTATE_CAUSE_NO_ROOM] = "no_room",
		[REQSTATE_CAUSE_UPSTREAM] = "upstream",
		[REQSTATE_CAUSE_SHED] = "shed",
		[REQSTATE_CAUSE_SILENT] = "silent",
		[REQSTATE_CAUSE_DEADLINE] = "deadline",
		[REQSTATE_CAUSE_CALLER_GONE] = "caller_gone",
	};

	return names[cause];
}

const char *reqstate_result_name(enum reqstate_result result)
{
	static const char *const names[] = {
		[REQSTATE_RESULT_NOT_SENT] = "not_sent",
		[REQSTATE_RESULT_SHED] = "shed",
		[REQSTATE_RESULT_SILENT] = "silent",
		[REQSTATE_RESULT_LOST] = "lost",
		[REQSTATE_RESULT_BAD] = "bad",
		[REQSTATE_RESULT_TRUNCATED] = "truncated",
		[REQSTATE_RESULT_WHOLE] = "whole",
		[REQSTATE_RESULT_EXPIRED] = "expired",
	};

	return names[result];
}
