/*
 * Compares every decision of one broker session byte by byte with
 * tests/golden/broker_session.txt. To rewrite that file:
 *
 *	PST_GOLDEN_WRITE=1 build/tests/test_broker_golden
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clk.h"
#include "policy/broker_core.h"
#include "tests/fix_run.h"

#define GOLDEN	    "tests/golden/broker_session.txt"
#define SESSION_MAX 65536
#define GRANTS_MAX  256

/* Kinds of step; the meaning of a and b depends on the kind. */
enum step_kind {
	/*
	 * Sends permit requests of the rank, a in number, with ids from b on.
	 */
	STEP_ASK,
	/* Ends the oldest permits, a in number, with the outcome. */
	STEP_END,
	STEP_TICK,
	/* Lists one upstream for each letter of who. */
	STEP_LIST,
	/* Sends a load report of upstream who, draining if a is not 0. */
	STEP_REPORT,
};

struct step {
	unsigned at_ms;
	enum step_kind kind;
	const char *who;
	unsigned a;
	unsigned b;
	enum rank rank;
	enum permit_outcome outcome;
};

static const struct step steps[] = {
	{0, STEP_LIST, "abc", 0, 0, RANK_URGENT, PERMIT_DONE},
	{1, STEP_ASK, "e1", 2, 100, RANK_URGENT, PERMIT_DONE},
	{2, STEP_ASK, "e2", 3, 200, RANK_NORMAL, PERMIT_DONE},
	{3, STEP_ASK, "e1", 8, 300, RANK_BULK, PERMIT_DONE},
	{4, STEP_ASK, "e2", 2, 110, RANK_URGENT, PERMIT_DONE},
	{20, STEP_END, "", 3, 0, RANK_URGENT, PERMIT_DONE},
	{25, STEP_ASK, "e1", 30, 400, RANK_URGENT, PERMIT_DONE},
	{26, STEP_ASK, "e2", 4, 500, RANK_NORMAL, PERMIT_DONE},
	{40, STEP_END, "", 6, 0, RANK_URGENT, PERMIT_DONE},
	{60, STEP_END, "", 9, 0, RANK_URGENT, PERMIT_DONE},
	{70, STEP_END, "", 1, 0, RANK_URGENT, PERMIT_SHED},
	{72, STEP_END, "", 1, 0, RANK_URGENT, PERMIT_SILENT},
	{80, STEP_REPORT, "b", 1, 0, RANK_URGENT, PERMIT_DONE},
	{90, STEP_END, "", 7, 0, RANK_URGENT, PERMIT_DONE},
	{100, STEP_LIST, "abcd", 0, 0, RANK_URGENT, PERMIT_DONE},
	{110, STEP_ASK, "e3", 40, 600, RANK_BULK, PERMIT_DONE},
	{300, STEP_TICK, "", 0, 0, RANK_URGENT, PERMIT_DONE},
	{320, STEP_END, "", 8, 0, RANK_URGENT, PERMIT_DONE},
	{340, STEP_END, "", 8, 0, RANK_URGENT, PERMIT_DONE},
	{600, STEP_TICK, "", 0, 0, RANK_URGENT, PERMIT_DONE},
	{700, STEP_END, "", 20, 0, RANK_URGENT, PERMIT_DONE},
	{2000, STEP_ASK, "e2", 3, 700, RANK_URGENT, PERMIT_DONE},
	{3900, STEP_TICK, "", 0, 0, RANK_URGENT, PERMIT_DONE},
	{6000, STEP_TICK, "", 0, 0, RANK_URGENT, PERMIT_DONE},
};

struct grant {
	struct strbuf entry;
	uint64_t permit;
};

static char session[SESSION_MAX];
static size_t session_len;
static struct grant grants[GRANTS_MAX];
static size_t grant_count;
static struct broker *broker;
static apr_time_t now;

#define RECORD(...)                                                         \
	(session_len +=                                                     \
	 (size_t)snprintf(session + session_len, SESSION_MAX - session_len, \
			  __VA_ARGS__))

static void on_answer(void *ctx, const struct broker_answer *a)
{
	static const char *const results[] = {"granted", "late", "full",
					      "no_upstream"};

	(void)ctx;
	RECORD("%lld %s ask=%llu rank=%d result=%s why=%s",
	       (long long)now / 1000, a->entry->ptr, (unsigned long long)a->ask,
	       (int)a->rank, results[a->result], broker_why_name(a->why));
	if (a->result != PERMIT_GRANTED) {
		RECORD(" retry_us=%lld waiting=%u\n", (long long)a->retry_after,
		       a->waiting);
		return;
	}
	RECORD(" upstream=%s permit=%llx grant=%llu among=%u free=%u "
	       "waiting=%u "
	       "waited_us=%lld\n",
	       a->up->vm.name.ptr, (unsigned long long)a->permit,
	       (unsigned long long)a->grant, a->upstream_count, a->free,
	       a->waiting, (long long)a->waited);
	ck_assert_uint_lt(grant_count, GRANTS_MAX);
	grants[grant_count++] = (struct grant){*a->entry, a->permit};
}

static void on_capacity(void *ctx, const struct broker_up *up)
{
	(void)ctx;
	RECORD("%lld upstream=%s slots=%u usable=%u why=%s\n",
	       (long long)now / 1000, up->vm.name.ptr, up->vm.slots, up->usable,
	       broker_up_why_name(up->why));
}

static void on_expired(void *ctx, const struct strbuf *entry, size_t permits)
{
	(void)ctx;
	RECORD("%lld expired=%s permits=%zu\n", (long long)now / 1000,
	       entry->ptr, permits);
}

static void ask(const struct step *s)
{
	for (unsigned i = 0; i < s->a; i++) {
		const struct broker_ask a = {
			.id = s->b + i,
			.rank = s->rank,
			.deadline = now + CLK_MS(1000),
		};

		broker_ask(broker,
			   broker_hello(broker, str_from_c(s->who), 1, now), &a,
			   now);
	}
}

static void end_oldest(const struct step *s)
{
	for (unsigned i = 0; i < s->a && grant_count; i++) {
		const struct grant g = grants[0];
		struct broker_entry *entry;

		grant_count--;
		memmove(grants, grants + 1, grant_count * sizeof(*grants));
		entry = broker_hello(broker, strbuf_str(&g.entry), 1, now);
		broker_release(broker, entry, g.permit, s->outcome, now);
	}
}

static void publish(const char *names)
{
	struct broker_listed_vm vms[8] = {0};
	size_t count = 0;

	for (; *names; names++) {
		struct broker_listed_vm *vm = &vms[count++];

		strbuf_set(&vm->name, (struct str){names, 1});
		vm->slots = 3;
	}
	broker_set_upstreams(broker, vms, count, now);
}

static void run_step(const struct step *s)
{
	const struct load_report report = {.draining = s->a != 0};

	switch (s->kind) {
	case STEP_ASK:
		ask(s);
		break;
	case STEP_END:
		end_oldest(s);
		break;
	case STEP_TICK:
		broker_tick(broker, now);
		break;
	case STEP_LIST:
		publish(s->who);
		break;
	case STEP_REPORT:
		broker_report(broker, str_from_c(s->who), &report, now);
		break;
	}
}

static void run_session(void)
{
	const struct broker_cfg cfg = {
		.up = {.ramp = CLK_SEC(2),
		       .ramp_start_pct = 25,
		       .shed_hold = CLK_MS(100),
		       .silent_hold = CLK_MS(500),
		       .drain_hold = CLK_SEC(10)},
		.permit_ttl = CLK_MS(3500),
		.queue_max = 20,
		.epoch = 0xb0,
	};
	const struct broker_sink sink = {on_answer, on_capacity, on_expired,
					 NULL};
	const uint32_t pct[RANK_COUNT] = {50, 30, 20};

	ck_assert_int_eq(broker_create(&broker, &cfg, sink, 0), 0);
	broker_set_reserves(broker, pct, 0);
	for (size_t i = 0; i < sizeof(steps) / sizeof(*steps); i++) {
		now = CLK_MS(steps[i].at_ms);
		run_step(&steps[i]);
	}
	broker_destroy(broker);
	ck_assert_uint_lt(session_len, SESSION_MAX);
}

START_TEST(session_is_as_recorded)
{
	static char golden[SESSION_MAX];
	FILE *f;
	size_t len;

	run_session();
	if (getenv("PST_GOLDEN_WRITE")) {
		f = fopen(GOLDEN, "w");
		ck_assert_ptr_nonnull(f);
		fwrite(session, 1, session_len, f);
		fclose(f);
	}
	f = fopen(GOLDEN, "r");
	ck_assert_ptr_nonnull(f);
	len = fread(golden, 1, sizeof(golden), f);
	fclose(f);
	ck_assert_uint_eq(len, session_len);
	ck_assert_mem_eq(golden, session, len);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("brk_golden");

	tcase_add_test(tc, session_is_as_recorded);
	return fix_run("brk_golden", tc);
}
