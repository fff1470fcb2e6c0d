/*
 * Explores every sequence of possible events up to a depth and checks the rules
 * of policy/reqstate.h after each event.
 */
#include <check.h>
#include <stdio.h>
#include <string.h>

#include "policy/reqstate.h"
#include "tests/fix_run.h"

#define EXPLORE_DEPTH 13

/* State of the request's environment. */
struct env {
	struct reqstate reqstate;
	bool key_asked;
	bool key_open;
	unsigned keys_admitted;
	unsigned keys_ended;
	bool sealed;
	unsigned grants;
	unsigned releases;
	bool ask_open;
	bool attempt_open;
	bool head_passed;
	/* Attempts that may have run. */
	unsigned may_have_run;
	unsigned answers;
	bool done;
	bool caller_gone;
	bool deadline;
};

static unsigned long states;

static void check_refusal(const struct env *env,
			  const struct reqstate_action *a)
{
	ck_assert_msg(!env->head_passed, "refusal after an answer's head");
	if (!a->refuse.not_run)
		return;
	ck_assert_msg(env->may_have_run == 0, "\"not run\" is untrue");
	ck_assert_msg(!env->attempt_open,
		      "\"not run\" while a try is in progress");
	if (env->reqstate.keyed)
		ck_assert_msg(env->sealed, "\"not run\" without a sealed key");
}

static void apply_action(struct env *env, const struct reqstate_action *a)
{
	ck_assert_msg(!env->done, "action after the end");
	switch (a->kind) {
	case REQSTATE_ACT_ADMIT_KEY:
		ck_assert(!env->key_asked);
		env->key_asked = true;
		env->key_open = true;
		break;
	case REQSTATE_ACT_ASK_PERMIT:
		ck_assert(!env->ask_open);
		env->ask_open = true;
		break;
	case REQSTATE_ACT_CANCEL_ASK:
		ck_assert(env->ask_open);
		env->ask_open = false;
		break;
	case REQSTATE_ACT_RELEASE:
		env->releases++;
		break;
	case REQSTATE_ACT_END_KEY:
		env->keys_ended++;
		env->sealed = a->end == REQSTATE_END_NOT_RUN;
		if (a->end == REQSTATE_END_NOT_RUN)
			ck_assert_uint_eq(env->may_have_run, 0);
		break;
	case REQSTATE_ACT_SEND:
		ck_assert(!env->attempt_open);
		ck_assert_msg(env->grants == env->releases + 1,
			      "no permit held");
		ck_assert_msg(!env->reqstate.keyed || env->keys_admitted,
			      "key not admitted");
		ck_assert_msg(env->reqstate.idempotent || !env->may_have_run,
			      "second run of a non-idempotent request");
		env->attempt_open = true;
		break;
	case REQSTATE_ACT_ABORT_ATTEMPT:
		ck_assert(env->attempt_open);
		env->attempt_open = false;
		env->may_have_run++;
		break;
	case REQSTATE_ACT_REFUSE:
		check_refusal(env, a);
		env->answers++;
		break;
	case REQSTATE_ACT_ABORT_RESPONSE:
		ck_assert_msg(env->head_passed, "break before a head");
		env->answers++;
		break;
	case REQSTATE_ACT_DONE:
		env->done = true;
		ck_assert_uint_eq(env->grants, env->releases);
		ck_assert_uint_eq(env->keys_admitted, env->keys_ended);
		ck_assert(!env->ask_open);
		ck_assert(!env->key_open);
		ck_assert_uint_le(env->answers, 1);
		break;
	}
}

static bool result_possible(const struct env *env, enum reqstate_result result)
{
	if (!env->attempt_open)
		return false;
	if (env->head_passed)
		return result == REQSTATE_RESULT_TRUNCATED ||
		       result == REQSTATE_RESULT_WHOLE;
	return result != REQSTATE_RESULT_TRUNCATED &&
	       result != REQSTATE_RESULT_WHOLE;
}

static bool possible(const struct env *env, const struct reqstate_event *e)
{
	switch (e->kind) {
	case REQSTATE_EV_START:
		return false;
	case REQSTATE_EV_TICKET:
		return env->key_open;
	case REQSTATE_EV_PERMIT:
		return env->ask_open;
	case REQSTATE_EV_NO_DOMAIN:
		return env->ask_open;
	case REQSTATE_EV_HEAD:
		return env->attempt_open && !env->head_passed;
	case REQSTATE_EV_RESULT:
		return result_possible(env, e->result);
	case REQSTATE_EV_CALLER_GONE:
		return !env->caller_gone;
	case REQSTATE_EV_DEADLINE:
		return !env->deadline;
	}
	return false;
}

static void update_env(struct env *env, const struct reqstate_event *e)
{
	switch (e->kind) {
	case REQSTATE_EV_TICKET:
		env->key_open = false;
		env->keys_admitted += e->ticket == REQSTATE_TICKET_RUN;
		env->sealed = e->ticket == REQSTATE_TICKET_NOT_RUN;
		break;
	case REQSTATE_EV_PERMIT:
		env->ask_open = false;
		env->grants += e->permit == REQSTATE_PERMIT_GRANTED;
		break;
	case REQSTATE_EV_NO_DOMAIN:
		env->ask_open = false;
		break;
	case REQSTATE_EV_HEAD:
		env->head_passed = true;
		break;
	case REQSTATE_EV_RESULT:
		env->attempt_open = false;
		env->may_have_run += e->result != REQSTATE_RESULT_NOT_SENT &&
				     e->result != REQSTATE_RESULT_SHED;
		break;
	case REQSTATE_EV_CALLER_GONE:
		env->caller_gone = true;
		break;
	case REQSTATE_EV_DEADLINE:
		env->deadline = true;
		break;
	case REQSTATE_EV_START:
		break;
	}
}

static void deliver(struct env *env, const struct reqstate_event *e)
{
	struct reqstate_actions actions;

	update_env(env, e);
	reqstate_step(&env->reqstate, e, &actions);
	ck_assert_uint_le(actions.count, REQSTATE_MAX_ACTIONS);
	for (size_t i = 0; i < actions.count; i++)
		apply_action(env, &actions.list[i]);
}

static const struct reqstate_event all_events[] = {
	{.kind = REQSTATE_EV_TICKET, .ticket = REQSTATE_TICKET_RUN},
	{.kind = REQSTATE_EV_TICKET, .ticket = REQSTATE_TICKET_NOT_RUN},
	{.kind = REQSTATE_EV_TICKET, .ticket = REQSTATE_TICKET_UNKNOWN},
	{.kind = REQSTATE_EV_PERMIT, .permit = REQSTATE_PERMIT_GRANTED},
	{.kind = REQSTATE_EV_PERMIT, .permit = REQSTATE_PERMIT_ELSEWHERE},
	{.kind = REQSTATE_EV_PERMIT, .permit = REQSTATE_PERMIT_LATE},
	{.kind = REQSTATE_EV_NO_DOMAIN},
	{.kind = REQSTATE_EV_HEAD},
	{.kind = REQSTATE_EV_RESULT, .result = REQSTATE_RESULT_NOT_SENT},
	{.kind = REQSTATE_EV_RESULT,
	 .result = REQSTATE_RESULT_NOT_SENT,
	 .replayable = true},
	{.kind = REQSTATE_EV_RESULT, .result = REQSTATE_RESULT_SHED},
	{.kind = REQSTATE_EV_RESULT,
	 .result = REQSTATE_RESULT_SHED,
	 .replayable = true},
	{.kind = REQSTATE_EV_RESULT, .result = REQSTATE_RESULT_SILENT},
	{.kind = REQSTATE_EV_RESULT,
	 .result = REQSTATE_RESULT_SILENT,
	 .replayable = true},
	{.kind = REQSTATE_EV_RESULT,
	 .result = REQSTATE_RESULT_LOST,
	 .replayable = true},
	{.kind = REQSTATE_EV_RESULT,
	 .result = REQSTATE_RESULT_BAD,
	 .replayable = true},
	{.kind = REQSTATE_EV_RESULT, .result = REQSTATE_RESULT_TRUNCATED},
	{.kind = REQSTATE_EV_RESULT, .result = REQSTATE_RESULT_WHOLE},
	{.kind = REQSTATE_EV_CALLER_GONE},
	{.kind = REQSTATE_EV_DEADLINE},
};

static void explore(const struct env *from, unsigned depth)
{
	unsigned enabled = 0;

	states++;
	if (!depth || from->done)
		return;
	for (size_t i = 0; i < sizeof(all_events) / sizeof(*all_events); i++) {
		struct env next = *from;

		if (!possible(from, &all_events[i]))
			continue;
		enabled += all_events[i].kind != REQSTATE_EV_CALLER_GONE &&
			   all_events[i].kind != REQSTATE_EV_DEADLINE;
		deliver(&next, &all_events[i]);
		explore(&next, depth - 1);
	}
	ck_assert_msg(enabled > 0, "request waits for nothing");
}

static void explore_all(bool idempotent, bool keyed)
{
	const struct reqstate_event start = {.kind = REQSTATE_EV_START};
	struct env env;

	memset(&env, 0, sizeof(env));
	states = 0;
	reqstate_init(&env.reqstate, idempotent, keyed);
	deliver(&env, &start);
	explore(&env, EXPLORE_DEPTH);
	printf("idempotent=%d keyed=%d depth=%d states=%lu\n", idempotent,
	       keyed, EXPLORE_DEPTH, states);
}

START_TEST(rules_hold_for_every_sequence)
{
	explore_all(false, false);
	explore_all(false, true);
	explore_all(true, false);
	explore_all(true, true);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("pth");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, rules_hold_for_every_sequence);
	return fix_run("pth", tc);
}
