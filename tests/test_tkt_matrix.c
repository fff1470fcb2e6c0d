/*
 * Fault matrix: each fault is injected at each step of a request. In each case
 * a caller sends the key to its entry (the ticket's home) at 0 s, to a second
 * entry at 1 s, and to both again at 4 s and 5 s, when the fault is over. A
 * cell of tkt_matrix.def gives the four verdicts (r run, n not run, u unknown,
 * - none) and how often the upstream ran the request.
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "tests/fix_run.h"
#include "tests/fix_tkt.h"

#define HOME	     0
#define WITNESS	     1
#define SECOND	     2
#define REQUESTS     4
#define TIME_ALLOWED CLK_MS(300)
#define PAUSE	     CLK_MS(2500)
#define STOP_TIME    CLK_MS(20)
#define PAIRS	     4000

enum fault {
	NONE,
	HOME_DIES,
	HOME_RESTARTS,
	HOME_PAUSES,
	WITNESS_DIES,
	WITNESS_RESTARTS,
	WITNESS_PAUSES,
	/* The witness begins a planned stop and exits after STOP_TIME. */
	WITNESS_LEAVES,
	CUT_OFF,
	MESSAGE_LOST,
	MESSAGES_REPEATED,
	UPSTREAM_SHEDS,
	UPSTREAM_DIES_BEFORE,
	UPSTREAM_DIES_AFTER,
	STORE_DOWN,
	FAULTS,
};

struct run {
	enum fault fault[2];
	enum fix_step step[2];
	bool done[2];
	unsigned lossy_ticks;
	apr_time_t witness_exits;
	char verdict[REQUESTS + 1];
	enum tkt_end end;
	bool upstream_runs;
	bool answered_twice;
};

static const char *const steps[FIX_STEPS] = {
	[FIX_ADMIT] = "admit", [FIX_CLAIM] = "claim", [FIX_RULING] = "ruling",
	[FIX_RUN] = "run",     [FIX_END] = "end",
};

#include "tests/tkt_matrix.def"

static void inject(struct fix_world *w, enum fault fault)
{
	struct run *r = w->ctx;

	switch (fault) {
	case HOME_DIES:
		fix_tkt_crash(w, HOME);
		return;
	case HOME_RESTARTS:
		fix_tkt_restart(w, HOME);
		return;
	case HOME_PAUSES:
		w->procs[HOME].paused_until = w->now + PAUSE;
		return;
	case WITNESS_DIES:
		fix_tkt_crash(w, WITNESS);
		return;
	case WITNESS_RESTARTS:
		fix_tkt_restart(w, WITNESS);
		return;
	case WITNESS_PAUSES:
		w->procs[WITNESS].paused_until = w->now + PAUSE;
		return;
	case WITNESS_LEAVES:
		fix_tkt_leave(w, WITNESS);
		r->witness_exits = w->now + STOP_TIME;
		return;
	case CUT_OFF:
		w->cut[HOME][WITNESS] = true;
		w->cut[WITNESS][HOME] = true;
		return;
	case MESSAGE_LOST:
		w->loss = 100;
		r->lossy_ticks = 1;
		return;
	case MESSAGES_REPEATED:
		w->repeat = 100;
		return;
	case UPSTREAM_SHEDS:
		r->end = TKT_END_NOT_RUN;
		r->upstream_runs = false;
		return;
	case UPSTREAM_DIES_BEFORE:
		r->end = TKT_END_UNKNOWN;
		r->upstream_runs = false;
		return;
	case UPSTREAM_DIES_AFTER:
		r->end = TKT_END_UNKNOWN;
		return;
	case STORE_DOWN:
		w->store_down = true;
		return;
	case NONE:
	case FAULTS:
		return;
	}
}

static void on_step(struct fix_world *w, enum fix_step step, int proc)
{
	struct run *r = w->ctx;

	for (int i = 0; i < 2; i++) {
		if (r->done[i] || step != r->step[i] || proc != HOME)
			continue;
		r->done[i] = true;
		inject(w, r->fault[i]);
	}
}

static void on_verdict(struct fix_world *w, const struct tkt_answer *answer)
{
	struct run *r = w->ctx;

	if (r->verdict[answer->request_id] != '-')
		r->answered_twice = true;
	r->verdict[answer->request_id] = "rnu?"[answer->verdict];
}

static enum tkt_end upstream(struct fix_world *w, bool *ran)
{
	const struct run *r = w->ctx;

	*ran = r->upstream_runs;
	return r->end;
}

/*
 * Ends MESSAGE_LOST after a short time in which messages are lost, so that
 * only the next message is lost.
 */
static void run_for(struct fix_world *w, apr_interval_time_t time)
{
	struct run *r = w->ctx;
	const apr_time_t until = w->now + time;

	while (w->now < until) {
		fix_tkt_run(w, w->now + CLK_MS(1));
		if (r->witness_exits && w->now >= r->witness_exits)
			fix_tkt_crash(w, WITNESS);
		if (w->loss && r->lossy_ticks++ > 1)
			w->loss = 0;
	}
}

static unsigned run_cell(struct fix_world *w, struct run *r, bool own_key)
{
	static const int where[REQUESTS] = {HOME, SECOND, HOME, SECOND};
	static const int wait_ms[REQUESTS] = {1000, 3000, 1000, 1000};
	size_t key;

	memset(r->verdict, '-', REQUESTS);
	r->upstream_runs = true;
	fix_tkt_init(w, 1);
	w->delay = 1;
	w->ctx = r;
	w->verdict = on_verdict;
	w->upstream = upstream;
	fix_tkt_open(w, HOME, WITNESS);
	key = fix_tkt_key(w, own_key ? -1 : HOME);
	w->hook = on_step;
	for (int i = 0; i < REQUESTS; i++) {
		fix_tkt_admit(w, where[i], key, (uint64_t)i, TIME_ALLOWED);
		run_for(w, CLK_MS(wait_ms[i]));
		if (i == 1) {
			w->store_down = false;
			memset(w->cut, 0, sizeof(w->cut));
		}
	}
	fix_tkt_done(w);
	return w->keys[key].runs;
}

static void check_matrix(const char *const cells[FAULTS][FIX_STEPS],
			 bool own_key)
{
	unsigned wrong = 0;

	for (int fault = 0; fault < FAULTS; fault++) {
		for (int step = 0; step < FIX_STEPS; step++) {
			const char *want = cells[fault][step];
			struct fix_world w;
			struct run r = {
				.fault = {(enum fault)fault, NONE},
				.step = {(enum fix_step)step, FIX_ADMIT},
			};
			char got[16];
			const unsigned runs = run_cell(&w, &r, own_key);

			snprintf(got, sizeof(got), "%s%u", r.verdict, runs);
			if (w.violation || r.answered_twice || !want ||
			    strcmp(got, want) != 0) {
				printf("fault %d at %s: got %s, want %s (%s)\n",
				       fault, steps[step], got,
				       want ? want : "?",
				       w.violation ? w.violation : "held");
				wrong++;
			}
		}
	}
	ck_assert_uint_eq(wrong, 0);
}

START_TEST(every_fault_at_every_step_of_a_ticket)
{
	check_matrix(ticket_cells, false);
}
END_TEST

START_TEST(every_fault_at_every_step_of_an_own_key)
{
	check_matrix(own_cells, true);
}
END_TEST

START_TEST(random_pairs_of_faults)
{
	struct fix_world rng;

	fix_tkt_init(&rng, 20261204);
	for (int i = 0; i < PAIRS; i++) {
		struct fix_world w;
		struct run r = {0};
		bool own;

		for (int j = 0; j < 2; j++) {
			r.fault[j] = (enum fault)fix_tkt_random(&rng, FAULTS);
			r.step[j] =
				(enum fix_step)fix_tkt_random(&rng, FIX_STEPS);
		}
		own = fix_tkt_random(&rng, 2);
		run_cell(&w, &r, own);
		ck_assert_msg(!w.violation && !r.answered_twice,
			      "pair %d: %d at %s, %d at %s: %s", i, r.fault[0],
			      steps[r.step[0]], r.fault[1], steps[r.step[1]],
			      w.violation ? w.violation : "answered twice");
	}
	fix_tkt_done(&rng);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("tkt_matrix");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, every_fault_at_every_step_of_a_ticket);
	tcase_add_test(tc, every_fault_at_every_step_of_an_own_key);
	tcase_add_test(tc, random_pairs_of_faults);
	return fix_run("tkt_matrix", tc);
}
