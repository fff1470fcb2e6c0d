/*
 * Walks every sequence of events that the request's environment can bring
 * about, up to a depth, and checks the rules of policy/pth.h after each.
 */
#include <check.h>
#include <stdio.h>
#include <string.h>

#include "policy/pth.h"
#include "tests/fix_run.h"

#define WALK_DEPTH 13

/* What the world around the request knows. */
struct world {
	struct pth pth;
	bool key_asked;
	bool key_open;
	unsigned keys_admitted;
	unsigned keys_ended;
	bool sealed;
	unsigned grants;
	unsigned releases;
	bool ask_open;
	bool try_open;
	bool head_passed;
	/* Tries that may have run. */
	unsigned may_have_run;
	unsigned answers;
	bool done;
	bool gone;
	bool deadline;
};

static unsigned long states;

static void check_refusal(const struct world *w, const struct pth_action *a)
{
	ck_assert_msg(!w->head_passed, "refusal after an answer's head");
	if (!a->refuse.not_run)
		return;
	ck_assert_msg(w->may_have_run == 0, "\"not run\" is untrue");
	ck_assert_msg(!w->try_open, "\"not run\" while a try is in progress");
	if (w->pth.keyed)
		ck_assert_msg(w->sealed, "\"not run\" without a sealed key");
}

static void apply(struct world *w, const struct pth_action *a)
{
	ck_assert_msg(!w->done, "action after the end");
	switch (a->kind) {
	case PTH_ACT_ADMIT_KEY:
		ck_assert(!w->key_asked);
		w->key_asked = true;
		w->key_open = true;
		break;
	case PTH_ACT_ASK_PERMIT:
		ck_assert(!w->ask_open);
		w->ask_open = true;
		break;
	case PTH_ACT_CANCEL_ASK:
		ck_assert(w->ask_open);
		w->ask_open = false;
		break;
	case PTH_ACT_RELEASE:
		w->releases++;
		break;
	case PTH_ACT_END_KEY:
		w->keys_ended++;
		w->sealed = a->end == PTH_END_NOT_RUN;
		if (a->end == PTH_END_NOT_RUN)
			ck_assert_uint_eq(w->may_have_run, 0);
		break;
	case PTH_ACT_SEND:
		ck_assert(!w->try_open);
		ck_assert_msg(w->grants == w->releases + 1, "no permit held");
		ck_assert_msg(!w->pth.keyed || w->keys_admitted,
			      "key not admitted");
		ck_assert_msg(w->pth.idempotent || !w->may_have_run,
			      "second run of a non-idempotent request");
		w->try_open = true;
		break;
	case PTH_ACT_ABORT:
		ck_assert(w->try_open);
		w->try_open = false;
		w->may_have_run++;
		break;
	case PTH_ACT_REFUSE:
		check_refusal(w, a);
		w->answers++;
		break;
	case PTH_ACT_BREAK:
		ck_assert_msg(w->head_passed, "break before a head");
		w->answers++;
		break;
	case PTH_ACT_DONE:
		w->done = true;
		ck_assert_uint_eq(w->grants, w->releases);
		ck_assert_uint_eq(w->keys_admitted, w->keys_ended);
		ck_assert(!w->ask_open);
		ck_assert(!w->key_open);
		ck_assert_uint_le(w->answers, 1);
		break;
	}
}

static bool result_possible(const struct world *w, enum pth_result result)
{
	if (!w->try_open)
		return false;
	if (w->head_passed)
		return result == PTH_RESULT_TRUNCATED ||
		       result == PTH_RESULT_WHOLE;
	return result != PTH_RESULT_TRUNCATED && result != PTH_RESULT_WHOLE;
}

static bool possible(const struct world *w, const struct pth_event *e)
{
	switch (e->kind) {
	case PTH_EV_START:
		return false;
	case PTH_EV_TICKET:
		return w->key_open;
	case PTH_EV_PERMIT:
		return w->ask_open;
	case PTH_EV_NO_DOMAIN:
		return w->ask_open;
	case PTH_EV_HEAD:
		return w->try_open && !w->head_passed;
	case PTH_EV_RESULT:
		return result_possible(w, e->result);
	case PTH_EV_CALLER_GONE:
		return !w->gone;
	case PTH_EV_DEADLINE:
		return !w->deadline;
	}
	return false;
}

static void note_event(struct world *w, const struct pth_event *e)
{
	switch (e->kind) {
	case PTH_EV_TICKET:
		w->key_open = false;
		w->keys_admitted += e->ticket == PTH_TICKET_RUN;
		w->sealed = e->ticket == PTH_TICKET_NOT_RUN;
		break;
	case PTH_EV_PERMIT:
		w->ask_open = false;
		w->grants += e->permit == PTH_PERMIT_GRANTED;
		break;
	case PTH_EV_NO_DOMAIN:
		w->ask_open = false;
		break;
	case PTH_EV_HEAD:
		w->head_passed = true;
		break;
	case PTH_EV_RESULT:
		w->try_open = false;
		w->may_have_run += e->result != PTH_RESULT_NOT_SENT &&
				   e->result != PTH_RESULT_SHED;
		break;
	case PTH_EV_CALLER_GONE:
		w->gone = true;
		break;
	case PTH_EV_DEADLINE:
		w->deadline = true;
		break;
	case PTH_EV_START:
		break;
	}
}

static void deliver(struct world *w, const struct pth_event *e)
{
	struct pth_actions actions;

	note_event(w, e);
	pth_step(&w->pth, e, &actions);
	ck_assert_uint_le(actions.count, PTH_MAX_ACTIONS);
	for (size_t i = 0; i < actions.count; i++)
		apply(w, &actions.list[i]);
}

static const struct pth_event all_events[] = {
	{.kind = PTH_EV_TICKET, .ticket = PTH_TICKET_RUN},
	{.kind = PTH_EV_TICKET, .ticket = PTH_TICKET_NOT_RUN},
	{.kind = PTH_EV_TICKET, .ticket = PTH_TICKET_UNKNOWN},
	{.kind = PTH_EV_PERMIT, .permit = PTH_PERMIT_GRANTED},
	{.kind = PTH_EV_PERMIT, .permit = PTH_PERMIT_ELSEWHERE},
	{.kind = PTH_EV_PERMIT, .permit = PTH_PERMIT_LATE},
	{.kind = PTH_EV_NO_DOMAIN},
	{.kind = PTH_EV_HEAD},
	{.kind = PTH_EV_RESULT, .result = PTH_RESULT_NOT_SENT},
	{.kind = PTH_EV_RESULT,
	 .result = PTH_RESULT_NOT_SENT,
	 .replayable = true},
	{.kind = PTH_EV_RESULT, .result = PTH_RESULT_SHED},
	{.kind = PTH_EV_RESULT, .result = PTH_RESULT_SHED, .replayable = true},
	{.kind = PTH_EV_RESULT, .result = PTH_RESULT_SILENT},
	{.kind = PTH_EV_RESULT,
	 .result = PTH_RESULT_SILENT,
	 .replayable = true},
	{.kind = PTH_EV_RESULT, .result = PTH_RESULT_LOST, .replayable = true},
	{.kind = PTH_EV_RESULT, .result = PTH_RESULT_BAD, .replayable = true},
	{.kind = PTH_EV_RESULT, .result = PTH_RESULT_TRUNCATED},
	{.kind = PTH_EV_RESULT, .result = PTH_RESULT_WHOLE},
	{.kind = PTH_EV_CALLER_GONE},
	{.kind = PTH_EV_DEADLINE},
};

static void walk(const struct world *from, unsigned depth)
{
	unsigned enabled = 0;

	states++;
	if (!depth || from->done)
		return;
	for (size_t i = 0; i < sizeof(all_events) / sizeof(*all_events); i++) {
		struct world next = *from;

		if (!possible(from, &all_events[i]))
			continue;
		enabled += all_events[i].kind != PTH_EV_CALLER_GONE &&
			   all_events[i].kind != PTH_EV_DEADLINE;
		deliver(&next, &all_events[i]);
		walk(&next, depth - 1);
	}
	ck_assert_msg(enabled > 0, "request waits for nothing");
}

static void walk_all(bool idempotent, bool keyed)
{
	const struct pth_event start = {.kind = PTH_EV_START};
	struct world w;

	memset(&w, 0, sizeof(w));
	states = 0;
	pth_init(&w.pth, idempotent, keyed);
	deliver(&w, &start);
	walk(&w, WALK_DEPTH);
	printf("idempotent=%d keyed=%d depth=%d states=%lu\n", idempotent,
	       keyed, WALK_DEPTH, states);
}

START_TEST(rules_hold_for_every_sequence)
{
	walk_all(false, false);
	walk_all(false, true);
	walk_all(true, false);
	walk_all(true, true);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("pth");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, rules_hold_for_every_sequence);
	return fix_run("pth", tc);
}
