#include "policy/pth.h"

static struct pth_action *add(struct pth_actions *out,
			      enum pth_action_kind kind)
{
	struct pth_action *action = &out->list[out->count++];

	*action = (struct pth_action){.kind = kind};
	return action;
}

static void release(struct pth *pth, enum pth_result result,
		    struct pth_actions *out)
{
	if (!pth->permit_held)
		return;
	pth->permit_held = false;
	add(out, PTH_ACT_RELEASE)->result = result;
}

static void release_unused(struct pth *pth, struct pth_actions *out)
{
	if (!pth->permit_held)
		return;
	pth->permit_held = false;
	add(out, PTH_ACT_RELEASE)->unused = true;
}

static void drop_permit(struct pth *pth, struct pth_actions *out)
{
	if (pth->permit_pending)
		add(out, PTH_ACT_CANCEL_ASK);
	pth->permit_pending = false;
	release_unused(pth, out);
}

static void end_key(struct pth *pth, enum pth_end end, struct pth_actions *out)
{
	if (!pth->key_admitted)
		return;
	pth->key_admitted = false;
	add(out, PTH_ACT_END_KEY)->end = end;
}

static void finish(struct pth *pth, struct pth_actions *out)
{
	pth->phase = PTH_DONE;
	add(out, PTH_ACT_DONE);
}

static void refuse(struct pth *pth, bool not_run, enum pth_cause cause,
		   struct pth_actions *out)
{
	if (!pth->caller_gone) {
		struct pth_action *action = add(out, PTH_ACT_REFUSE);

		action->refuse.not_run = not_run;
		action->refuse.cause = cause;
	}
	finish(pth, out);
}

/*
 * Refuses the request without another attempt. With a key, the refusal waits
 * until the key is sealed.
 */
static void give_up(struct pth *pth, enum pth_cause cause,
		    struct pth_actions *out)
{
	drop_permit(pth, out);
	if (pth->key_pending) {
		pth->phase = PTH_SEALING;
		pth->cause = cause;
		return;
	}
	end_key(pth, pth->may_have_run ? PTH_END_UNKNOWN : PTH_END_NOT_RUN,
		out);
	refuse(pth, !pth->may_have_run, cause, out);
}

static void ask_permit(struct pth *pth, enum pth_cause cause,
		       struct pth_actions *out)
{
	if (pth->asks == PTH_ASKS_MAX) {
		give_up(pth, cause, out);
		return;
	}
	pth->phase = PTH_ADMIT;
	pth->asks++;
	pth->permit_pending = true;
	add(out, PTH_ACT_ASK_PERMIT);
}

static void send_if_ready(struct pth *pth, struct pth_actions *out)
{
	if (!pth->permit_held || pth->key_pending)
		return;
	pth->phase = PTH_SENDING;
	pth->attempt_count++;
	add(out, PTH_ACT_SEND);
}

static void on_start(struct pth *pth, struct pth_actions *out)
{
	if (pth->keyed) {
		pth->key_pending = true;
		add(out, PTH_ACT_ADMIT_KEY);
	}
	ask_permit(pth, PTH_CAUSE_NO_ROOM, out);
}

static void on_ticket(struct pth *pth, enum pth_ticket ticket,
		      struct pth_actions *out)
{
	if (!pth->key_pending)
		return;
	pth->key_pending = false;
	pth->key_admitted = ticket == PTH_TICKET_RUN;
	if (ticket != PTH_TICKET_RUN) {
		drop_permit(pth, out);
		refuse(pth, ticket == PTH_TICKET_NOT_RUN, PTH_CAUSE_KEY, out);
		return;
	}
	if (pth->phase == PTH_SEALING) {
		give_up(pth, pth->cause, out);
		return;
	}
	send_if_ready(pth, out);
}

static void on_permit(struct pth *pth, enum pth_permit permit,
		      struct pth_actions *out)
{
	if (!pth->permit_pending)
		return;
	pth->permit_pending = false;
	switch (permit) {
	case PTH_PERMIT_GRANTED:
		pth->permit_held = true;
		send_if_ready(pth, out);
		break;
	case PTH_PERMIT_ELSEWHERE:
		ask_permit(pth, PTH_CAUSE_NO_ROOM, out);
		break;
	case PTH_PERMIT_LATE:
		give_up(pth, PTH_CAUSE_LATE, out);
		break;
	}
}

static void on_no_domain(struct pth *pth, struct pth_actions *out)
{
	if (pth->phase != PTH_ADMIT)
		return;
	pth->permit_pending = false;
	give_up(pth, PTH_CAUSE_NO_ROOM, out);
}

static bool may_send_again(const struct pth *pth, bool replayable)
{
	return replayable && pth->attempt_count < PTH_ATTEMPTS_MAX &&
	       !pth->caller_gone;
}

/* The attempt provably did not run. */
static void retry_not_run(struct pth *pth, bool replayable,
			  enum pth_cause cause, struct pth_actions *out)
{
	if (may_send_again(pth, replayable))
		ask_permit(pth, cause, out);
	else
		give_up(pth, cause, out);
}

/* The attempt may have run. */
static void retry_unknown(struct pth *pth, bool replayable,
			  enum pth_cause cause, struct pth_actions *out)
{
	pth->may_have_run = true;
	if (pth->idempotent && may_send_again(pth, replayable))
		ask_permit(pth, cause, out);
	else
		give_up(pth, cause, out);
}

static void on_result(struct pth *pth, enum pth_result result, bool replayable,
		      struct pth_actions *out)
{
	if (pth->phase != PTH_SENDING && pth->phase != PTH_STREAMING)
		return;
	release(pth, result, out);
	switch (result) {
	case PTH_RESULT_NOT_SENT:
		retry_not_run(pth, replayable, PTH_CAUSE_UPSTREAM, out);
		break;
	case PTH_RESULT_SHED:
		retry_not_run(pth, replayable, PTH_CAUSE_SHED, out);
		break;
	case PTH_RESULT_SILENT:
		retry_unknown(pth, replayable, PTH_CAUSE_SILENT, out);
		break;
	case PTH_RESULT_LOST:
	case PTH_RESULT_BAD:
		retry_unknown(pth, replayable, PTH_CAUSE_UPSTREAM, out);
		break;
	case PTH_RESULT_TRUNCATED:
		end_key(pth, PTH_END_UNKNOWN, out);
		add(out, PTH_ACT_ABORT_RESPONSE);
		finish(pth, out);
		break;
	case PTH_RESULT_WHOLE:
		end_key(pth, PTH_END_RAN, out);
		finish(pth, out);
		break;
	case PTH_RESULT_EXPIRED:
		break;
	}
}

static void on_caller_gone(struct pth *pth, struct pth_actions *out)
{
	pth->caller_gone = true;
	switch (pth->phase) {
	case PTH_ADMIT:
		give_up(pth, PTH_CAUSE_CALLER_GONE, out);
		break;
	case PTH_SENDING:
	case PTH_STREAMING:
		/* A keyed request continues, so that its outcome is known. */
		if (pth->keyed)
			break;
		add(out, PTH_ACT_ABORT_ATTEMPT);
		release(pth, PTH_RESULT_LOST, out);
		finish(pth, out);
		break;
	case PTH_SEALING:
	case PTH_DONE:
		break;
	}
}

static void on_deadline(struct pth *pth, struct pth_actions *out)
{
	switch (pth->phase) {
	case PTH_ADMIT:
		give_up(pth, PTH_CAUSE_LATE, out);
		break;
	case PTH_SENDING:
		add(out, PTH_ACT_ABORT_ATTEMPT);
		release(pth, PTH_RESULT_EXPIRED, out);
		pth->may_have_run = true;
		give_up(pth, PTH_CAUSE_DEADLINE, out);
		break;
	case PTH_STREAMING:
	case PTH_SEALING:
	case PTH_DONE:
		break;
	}
}

void pth_init(struct pth *pth, bool idempotent, bool keyed)
{
	*pth = (struct pth){
		.phase = PTH_ADMIT,
		.idempotent = idempotent,
		.keyed = keyed,
	};
}

void pth_step(struct pth *pth, const struct pth_event *event,
	      struct pth_actions *out)
{
	out->count = 0;
	if (pth->phase == PTH_DONE)
		return;
	switch (event->kind) {
	case PTH_EV_START:
		on_start(pth, out);
		break;
	case PTH_EV_TICKET:
		on_ticket(pth, event->ticket, out);
		break;
	case PTH_EV_PERMIT:
		on_permit(pth, event->permit, out);
		break;
	case PTH_EV_NO_DOMAIN:
		on_no_domain(pth, out);
		break;
	case PTH_EV_HEAD:
		if (pth->phase == PTH_SENDING)
			pth->phase = PTH_STREAMING;
		break;
	case PTH_EV_RESULT:
		on_result(pth, event->result, event->replayable, out);
		break;
	case PTH_EV_CALLER_GONE:
		on_caller_gone(pth, out);
		break;
	case PTH_EV_DEADLINE:
		on_deadline(pth, out);
		break;
	}
}

const char *pth_cause_name(enum pth_cause cause)
{
	static const char *const names[] = {
		[PTH_CAUSE_NONE] = "none",
		[PTH_CAUSE_KEY] = "key",
		[PTH_CAUSE_LATE] = "late",
		[PTH_CAUSE_NO_ROOM] = "no_room",
		[PTH_CAUSE_UPSTREAM] = "upstream",
		[PTH_CAUSE_SHED] = "shed",
		[PTH_CAUSE_SILENT] = "silent",
		[PTH_CAUSE_DEADLINE] = "deadline",
		[PTH_CAUSE_CALLER_GONE] = "caller_gone",
	};

	return names[cause];
}

const char *pth_result_name(enum pth_result result)
{
	static const char *const names[] = {
		[PTH_RESULT_NOT_SENT] = "not_sent",
		[PTH_RESULT_SHED] = "shed",
		[PTH_RESULT_SILENT] = "silent",
		[PTH_RESULT_LOST] = "lost",
		[PTH_RESULT_BAD] = "bad",
		[PTH_RESULT_TRUNCATED] = "truncated",
		[PTH_RESULT_WHOLE] = "whole",
		[PTH_RESULT_EXPIRED] = "expired",
	};

	return names[result];
}
