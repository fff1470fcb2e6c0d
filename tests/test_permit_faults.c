#include <check.h>
#include <stdio.h>

#include "common/clk.h"
#include "tests/fix_permit.h"
#include "tests/fix_run.h"

/* ID of the ask during which the fault occurs. */
#define ASK	 500
#define DEADLINE CLK_SEC(5)

/* Pairs of faults are tested with the seeds 1 to PAIRS. */
#define PAIRS 200

/* Longer than every expiry, hold time, ping interval and reconciliation. */
#define SETTLE CLK_SEC(12)

/* Stage of the ask at which the fault occurs. */
enum step {
	STEP_ASKING,
	STEP_WAITING,
	STEP_ANSWERING,
	STEP_HELD,
	STEP_RELEASING,
	STEP_COUNT,
};

enum fault {
	FAULT_LOSS,
	FAULT_BROKER_RESTART,
	FAULT_BROKER_DEAD,
	FAULT_BROKER_PAUSED,
	FAULT_BROKER_MOVED,
	FAULT_ENTRY_RESTART,
	FAULT_ENTRY_PAUSED,
	FAULT_UPSTREAM_LEAVING,
	FAULT_COUNT,
};

static const char *const steps[] = {"asking", "waiting", "answering", "held",
				    "releasing"};
static const char *const faults[] = {
	"loss",		"broker_restart", "broker_dead",  "broker_paused",
	"broker_moved", "entry_restart",  "entry_paused", "upstream_leaving",
};

enum expected {
	/* One answer, which grants a permit. */
	GRANTED,
	/* One answer by the deadline, a permit or a refusal. */
	ANSWERED,
	/* No answer: the asking process has ended. */
	NONE,
};

struct cell {
	enum expected expected;
	/* Allowed number of permits in use beyond an upstream's slots. */
	unsigned excess;
};

/*
 * Excess permits come about when a restarted or moved broker has not yet been
 * told of the permits held, and when entry VMs use their local shares because
 * they take a broker for dead: one permit for each entry VM.
 */
static const struct cell matrix[FAULT_COUNT][STEP_COUNT] = {
	[FAULT_LOSS] = {{GRANTED, 0},
			{GRANTED, 0},
			{GRANTED, 0},
			{GRANTED, 0},
			{GRANTED, 0}},
	[FAULT_BROKER_RESTART] = {{GRANTED, 0},
				  {GRANTED, 0},
				  {GRANTED, 0},
				  {GRANTED, 0},
				  {GRANTED, 0}},
	[FAULT_BROKER_DEAD] = {{GRANTED, 1},
			       {GRANTED, 1},
			       {GRANTED, 1},
			       {GRANTED, 0},
			       {GRANTED, 0}},
	[FAULT_BROKER_PAUSED] = {{GRANTED, 1},
				 {GRANTED, 1},
				 {GRANTED, 1},
				 {GRANTED, 0},
				 {GRANTED, 0}},
	[FAULT_BROKER_MOVED] = {{GRANTED, 0},
				{GRANTED, 0},
				{GRANTED, 0},
				{GRANTED, 0},
				{GRANTED, 0}},
	[FAULT_ENTRY_RESTART] =
		{{NONE, 0}, {NONE, 0}, {NONE, 0}, {NONE, 0}, {NONE, 0}},
	/* The VM pauses before it has sent the ask, until the deadline. */
	[FAULT_ENTRY_PAUSED] = {{ANSWERED, 0},
				{GRANTED, 0},
				{GRANTED, 0},
				{GRANTED, 0},
				{GRANTED, 0}},
	[FAULT_UPSTREAM_LEAVING] = {{GRANTED, 0},
				    {ANSWERED, 0},
				    {GRANTED, 0},
				    {GRANTED, 0},
				    {GRANTED, 0}},
};

/* The VM with index other (0 or 1) among those without the broker. */
static struct fix_vm *asker_of(struct fix_net *net, int other)
{
	for (int i = 0; i < FIX_VMS; i++) {
		if (&net->vms[i] != fix_net_broker(net) && other-- == 0)
			return &net->vms[i];
	}
	return NULL;
}

static void fill_slots(struct fix_vm *vm)
{
	const unsigned all = FIX_UPSTREAMS * FIX_SLOTS;

	for (unsigned i = 0; i < all; i++)
		fix_net_ask(vm, i + 1, RANK_NORMAL, DEADLINE);
	fix_net_run(vm->net, CLK_MS(10));
	ck_assert_uint_eq(vm->answer_count, all);
}

/* Advances the ask to the step; a message takes 1 ms. */
static void bring_to_step(struct fix_vm *asker, struct fix_vm *other,
			  enum step step)
{
	struct fix_net *net = asker->net;

	if (step == STEP_WAITING)
		fill_slots(other);
	fix_net_ask(asker, ASK, RANK_NORMAL, DEADLINE);
	if (step == STEP_ASKING)
		return;
	fix_net_run(net, CLK_MS(step == STEP_ANSWERING ? 2 : 10));
	if (step == STEP_RELEASING)
		fix_net_release_all(asker, PERMIT_DONE);
}

static void inject(struct fix_vm *asker, enum fault fault)
{
	struct fix_net *net = asker->net;
	struct fix_vm *broker = fix_net_broker(net);

	switch (fault) {
	case FAULT_LOSS:
		net->lossy_until = net->now + CLK_MS(50);
		break;
	case FAULT_BROKER_RESTART:
		fix_net_kill_host(broker);
		fix_net_start_host(broker);
		break;
	case FAULT_BROKER_DEAD:
		fix_net_kill_host(broker);
		break;
	case FAULT_BROKER_PAUSED:
		broker->host_paused = true;
		break;
	case FAULT_BROKER_MOVED:
		net->vm_leaving[broker->number] = true;
		fix_net_list(net);
		break;
	case FAULT_ENTRY_RESTART:
		fix_net_kill_state(asker);
		fix_net_start_state(asker);
		break;
	case FAULT_ENTRY_PAUSED:
		asker->state_paused = true;
		break;
	case FAULT_UPSTREAM_LEAVING:
		net->leaving[0] = true;
		fix_net_list(net);
		break;
	case FAULT_COUNT:
		break;
	}
}

static void undo_faults(struct fix_vm *asker, struct fix_vm *broker)
{
	asker->state_paused = false;
	broker->host_paused = false;
	if (!broker->host)
		fix_net_start_host(broker);
}

static void check_clean(struct fix_net *net, const char *name)
{
	for (int i = 0; i < FIX_VMS; i++) {
		const struct fix_vm *vm = &net->vms[i];

		ck_assert_msg(broker_host_permit_count(vm->host) == 0,
			      "%s: %zu permits leaked at %s", name,
			      broker_host_permit_count(vm->host), vm->id);
	}
}

/* Checks that the brokers grant permits as before the fault. */
static void check_recovered(struct fix_vm *asker, const char *name)
{
	struct permit_answer last = {0};

	fix_net_ask(asker, ASK + 1, RANK_NORMAL, DEADLINE);
	fix_net_run(asker->net, CLK_MS(20));
	ck_assert_msg(fix_net_answers(asker, ASK + 1, &last) == 1 &&
			      last.result == PERMIT_GRANTED &&
			      !(last.permit_id & PERMIT_LOCAL_BIT),
		      "%s: no permit from the broker afterwards", name);
	fix_net_release_all(asker, PERMIT_DONE);
	fix_net_run(asker->net, CLK_MS(20));
	check_clean(asker->net, name);
}

static void check_cell(enum fault fault, enum step step)
{
	const struct cell *cell = &matrix[fault][step];
	struct permit_answer last = {0};
	struct fix_net net;
	struct fix_vm *asker;
	struct fix_vm *other;
	struct fix_vm *broker;
	size_t count;
	char name[64];

	snprintf(name, sizeof(name), "%s at %s", faults[fault], steps[step]);
	fix_net_start(&net);
	broker = fix_net_broker(&net);
	asker = asker_of(&net, 0);
	other = asker_of(&net, 1);
	fix_net_ask(asker, 1, RANK_NORMAL, DEADLINE);
	fix_net_run(&net, CLK_SEC(1));
	fix_net_release_all(asker, PERMIT_DONE);
	fix_net_run(&net, CLK_MS(20));
	bring_to_step(asker, other, step);
	inject(asker, fault);
	fix_net_run(&net, CLK_SEC(1));
	fix_net_release_all(other, PERMIT_DONE);
	fix_net_run(&net, CLK_SEC(4));
	undo_faults(asker, broker);
	fix_net_run(&net, CLK_SEC(1));
	count = fix_net_answers(asker, ASK, &last);
	ck_assert_msg(count == (cell->expected != NONE || step >= STEP_HELD ||
				count == 1),
		      "%s: %zu answers", name, count);
	if (cell->expected == GRANTED)
		ck_assert_msg(last.result == PERMIT_GRANTED, "%s: result %d",
			      name, last.result);
	ck_assert_msg(net.excess <= cell->excess, "%s: %u above the slots",
		      name, net.excess);
	fix_net_release_all(asker, PERMIT_DONE);
	fix_net_run(&net, SETTLE);
	check_clean(&net, name);
	check_recovered(asker, name);
	fix_net_stop(&net);
}

START_TEST(every_fault_at_every_step)
{
	check_cell((enum fault)(_i / STEP_COUNT), (enum step)(_i % STEP_COUNT));
}
END_TEST

static uint64_t next_random(uint64_t *random)
{
	*random ^= *random << 13;
	*random ^= *random >> 7;
	*random ^= *random << 17;
	return *random;
}

/* Two faults at random times, after which the system has to recover. */
static void check_pair(uint64_t seed)
{
	uint64_t random = seed * 0x9e3779b97f4a7c15u;
	struct fix_net net;
	struct fix_vm *asker;
	struct fix_vm *broker;
	char name[64];
	enum fault first = (enum fault)(next_random(&random) % FAULT_COUNT);
	enum fault second = (enum fault)(next_random(&random) % FAULT_COUNT);

	snprintf(name, sizeof(name), "seed %llu: %s, %s",
		 (unsigned long long)seed, faults[first], faults[second]);
	fix_net_start(&net);
	broker = fix_net_broker(&net);
	asker = asker_of(&net, 0);
	bring_to_step(asker, asker_of(&net, 1),
		      (enum step)(next_random(&random) % STEP_COUNT));
	inject(asker, first);
	fix_net_run(&net,
		    (apr_interval_time_t)(next_random(&random) % CLK_SEC(2)));
	/* Faults of the broker need one that runs. */
	if (broker->host && fix_net_broker(&net)->host)
		inject(asker, second);
	fix_net_run(&net, CLK_SEC(6));
	undo_faults(asker, broker);
	for (int i = 0; i < FIX_VMS; i++) {
		if (!net.vms[i].host)
			fix_net_start_host(&net.vms[i]);
		net.vms[i].host_paused = false;
	}
	/* Delivers the messages that waited for a paused process. */
	fix_net_run(&net, CLK_SEC(1));
	for (int i = 0; i < FIX_VMS; i++)
		fix_net_release_all(&net.vms[i], PERMIT_DONE);
	ck_assert_msg(fix_net_answers(asker, ASK, NULL) <= 1,
		      "%s: answered twice", name);
	ck_assert_msg(net.excess <= FIX_SLOTS, "%s: %u above the slots", name,
		      net.excess);
	fix_net_run(&net, SETTLE);
	check_clean(&net, name);
	check_recovered(asker, name);
	fix_net_stop(&net);
}

START_TEST(pairs_of_faults)
{
	check_pair((uint64_t)_i);
}
END_TEST

/*
 * With steady traffic there is always an answer in flight, which must not be
 * taken for a dead connection.
 */
START_TEST(steady_traffic_keeps_its_connections)
{
	struct fix_net net;
	struct fix_vm *asker;

	fix_net_start(&net);
	asker = asker_of(&net, 0);
	fix_net_run(&net, CLK_MS(100));
	for (uint64_t i = 0; i < FIX_ANSWERS; i++) {
		fix_net_ask(asker, 1000 + i, RANK_URGENT, DEADLINE);
		fix_net_run(&net, CLK_MS(1));
		fix_net_release_all(asker, PERMIT_DONE);
	}
	ck_assert_uint_eq(net.reconnects, 0);
	fix_net_stop(&net);
}
END_TEST

/*
 * After a pause, a broker must not count the time of its pause as work of the
 * upstreams.
 */
START_TEST(pause_of_the_broker_is_not_time_that_work_took)
{
	const unsigned all = FIX_UPSTREAMS * FIX_SLOTS;
	struct permit_answer last = {0};
	struct fix_net net;
	struct fix_vm *asker;

	fix_net_start(&net);
	asker = asker_of(&net, 0);
	fix_net_run(&net, CLK_MS(100));
	fix_net_ask(asker, 1, RANK_NORMAL, DEADLINE);
	fix_net_run(&net, CLK_MS(10));
	fix_net_broker(&net)->host_paused = true;
	fix_net_release_all(asker, PERMIT_DONE);
	fix_net_run(&net, CLK_SEC(3));
	fix_net_broker(&net)->host_paused = false;
	fix_net_run(&net, CLK_SEC(1));
	for (unsigned i = 0; i < 3 * all; i++)
		fix_net_ask(asker, 100 + i, RANK_NORMAL, CLK_SEC(1));
	for (int i = 0; i < 3; i++) {
		fix_net_run(&net, CLK_MS(20));
		fix_net_release_all(asker, PERMIT_DONE);
	}
	for (unsigned i = 0; i < 3 * all; i++) {
		ck_assert_uint_eq(fix_net_answers(asker, 100 + i, &last), 1);
		ck_assert_int_eq(last.result, PERMIT_GRANTED);
		ck_assert(!(last.permit_id & PERMIT_LOCAL_BIT));
	}
	fix_net_stop(&net);
}
END_TEST

/* Asks wait at one broker when the VM list moves them to a silent one. */
START_TEST(asks_do_not_wait_for_a_broker_that_is_silent)
{
	const uint64_t asks = FIX_UPSTREAMS * FIX_SLOTS + 2;
	struct permit_answer last;
	struct fix_net net;
	struct fix_vm *broker;
	struct fix_vm *vm;

	fix_net_start(&net);
	broker = fix_net_broker(&net);
	vm = &net.vms[(broker->number + 1) % FIX_VMS];
	fix_net_kill_host(broker);
	fix_net_ask(vm, 100, RANK_NORMAL, CLK_SEC(2));
	fix_net_run(&net, CLK_SEC(2));
	fix_net_release_all(vm, PERMIT_DONE);
	net.vm_leaving[broker->number] = true;
	fix_net_list(&net);
	fix_net_run(&net, CLK_SEC(2));
	for (uint64_t id = 1; id <= asks; id++)
		fix_net_ask(vm, id, RANK_NORMAL, CLK_SEC(20));
	fix_net_run(&net, CLK_SEC(1));
	ck_assert_uint_eq(fix_net_answers(vm, asks, &last), 0);
	net.vm_leaving[broker->number] = false;
	fix_net_list(&net);
	for (int i = 0; i < 20; i++) {
		fix_net_run(&net, CLK_MS(100));
		fix_net_release_all(vm, PERMIT_DONE);
	}
	for (uint64_t id = 1; id <= asks; id++)
		ck_assert_msg(fix_net_answers(vm, id, &last) == 1,
			      "ask %lu waits", (unsigned long)id);
	fix_net_stop(&net);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("permit_faults");

	tcase_set_timeout(tc, 60);
	tcase_add_loop_test(tc, every_fault_at_every_step, 0,
			    FAULT_COUNT * STEP_COUNT);
	tcase_add_test(tc, pause_of_the_broker_is_not_time_that_work_took);
	tcase_add_test(tc, steady_traffic_keeps_its_connections);
	tcase_add_test(tc, asks_do_not_wait_for_a_broker_that_is_silent);
	tcase_add_loop_test(tc, pairs_of_faults, 1, PAIRS + 1);
	return fix_run("permit_faults", tc);
}
