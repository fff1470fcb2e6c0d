#include "agent/tkt_log.h"

#include <inttypes.h>
#include <string.h>

#include "common/err.h"
#include "common/evt.h"

#define LOG_MODULE "ticket"

static struct str key_text(const struct tkt_key *key,
			   char space[TKT_KEY_MAX + 1])
{
	struct str text = {.ptr = space};

	if (key->kind == TKT_KEY_OWN)
		return key->own;
	text.len = tkt_id_format(&key->id, space);
	return text;
}

static const char *verdict_name(enum tkt_verdict verdict)
{
	switch (verdict) {
	case TKT_RUN:
		return "run";
	case TKT_NOT_RUN:
		return "not_run";
	case TKT_UNKNOWN:
		return "unknown";
	case TKT_REFUSED:
		return "refused";
	}
	return "?";
}

static const char *end_name(enum tkt_end end)
{
	switch (end) {
	case TKT_END_RAN:
		return "ran";
	case TKT_END_NOT_RUN:
		return "not_run";
	case TKT_END_UNKNOWN:
		return "unknown";
	}
	return "?";
}

void tkt_log_action(const struct tkt_action *action)
{
	char space[TKT_KEY_MAX + 1];
	const struct str key = key_text(action->key, space);

	switch (action->kind) {
	case TKT_ACT_ARBITRATE:
		evt_log(TICKET_OP, "attempt=%" PRIx64 " op=%s key=%.*s",
			action->attempt,
			action->op == TKT_OP_CLAIM ? "claim" : "seal",
			STR_ARG(key));
		return;
	case TKT_ACT_ASK:
		evt_log(TICKET_ASK,
			"attempt=%" PRIx64 " owner=%" PRIx64
			" owner_attempt=%" PRIx64 " key=%.*s",
			action->attempt, action->ask.vm, action->ask.attempt,
			STR_ARG(key));
		return;
	case TKT_ACT_ANSWER:
		evt_log(TICKET_VERDICT,
			"request=%" PRIu64 " attempt=%" PRIx64
			" verdict=%s reason=%s key=%.*s",
			action->answer.request_id, action->attempt,
			verdict_name(action->answer.verdict),
			err_name(action->answer.reason), STR_ARG(key));
		return;
	}
}

void tkt_log_end(struct str key, enum tkt_end end)
{
	evt_log(TICKET_END, "end=%s key=%.*s", end_name(end), STR_ARG(key));
}

void tkt_log_handed_over(const struct tkt_op *op)
{
	evt_log(TICKET_HANDED_OVER,
		"block=%" PRIu64 " index=%" PRIu32 " vm=%" PRIx64, op->block,
		op->index, op->requester.vm);
}
