/*
 * At-most-once under seeded loss, repetition and reordering of messages, and
 * crashes, restarts and pauses of processes. Variants of the protocol that are
 * broken on purpose show that a violation would be detected.
 */
#include <check.h>
#include <stdlib.h>

#include "tests/fix_run.h"
#include "tests/fix_tkt.h"

#define SEEDS 6000
#define STEPS 120
/* Seeds within which a broken variant must be detected. */
#define DETECTION_SEEDS 3000

static enum tkt_end upstream(struct fix_world *w, bool *ran)
{
	static const enum tkt_end ends[] = {
		TKT_END_RAN,
		TKT_END_NOT_RUN,
		TKT_END_UNKNOWN,
		TKT_END_RAN,
	};
	const enum tkt_end end = ends[fix_tkt_random(w, 4)];

	*ran = end == TKT_END_RAN ||
	       (end == TKT_END_UNKNOWN && fix_tkt_random(w, 2));
	return end;
}

static void inject_fault(struct fix_world *w)
{
	const int proc = (int)fix_tkt_random(w, FIX_PROCS);
	const int other = (int)fix_tkt_random(w, FIX_PROCS + 1);

	switch (fix_tkt_random(w, 8)) {
	case 0:
		fix_tkt_crash(w, proc);
		return;
	case 1:
	case 2:
		fix_tkt_restart(w, proc);
		return;
	case 3:
		w->procs[proc].paused_until =
			w->now + (apr_time_t)fix_tkt_random(w, CLK_SEC(2));
		return;
	case 4:
		w->cut[proc][other] = !w->cut[proc][other];
		return;
	case 5:
		w->store_down = !w->store_down;
		return;
	case 6:
		fix_tkt_leave(w, proc);
		return;
	default:
		fix_tkt_open(w, proc, other % FIX_PROCS);
		return;
	}
}

static void run_step(struct fix_world *w, uint64_t request_id)
{
	const int proc = (int)fix_tkt_random(w, FIX_PROCS);

	if (fix_tkt_random(w, 12) == 0)
		inject_fault(w);
	if (w->key_count < FIX_KEYS && fix_tkt_random(w, 3) == 0)
		fix_tkt_key(w, fix_tkt_random(w, 5) ? proc : -1);
	if (w->key_count)
		fix_tkt_admit(w, proc, fix_tkt_random(w, w->key_count),
			      request_id,
			      1 + (apr_time_t)fix_tkt_random(w, CLK_MS(700)));
	fix_tkt_run(w, w->now + CLK_MS(1 + fix_tkt_random(w, 60)));
}

static const char *run_seed(uint64_t seed, enum fix_broken broken,
			    uint64_t *verdicts)
{
	struct fix_world w;

	fix_tkt_init(&w, seed);
	w.broken = broken;
	w.loss = (unsigned)fix_tkt_random(&w, 30);
	w.repeat = (unsigned)fix_tkt_random(&w, 30);
	w.delay = 1 + (apr_time_t)fix_tkt_random(&w, CLK_MS(300));
	w.upstream = upstream;
	for (int i = 0; i < FIX_PROCS; i++)
		fix_tkt_open(&w, i, (i + 1) % FIX_PROCS);
	for (uint64_t i = 0; i < STEPS && !w.violation; i++)
		run_step(&w, i);
	fix_tkt_run(&w, w.now + CLK_SEC(3));
	for (int i = 0; verdicts && i <= TKT_REFUSED; i++)
		verdicts[i] += w.verdicts[i];
	fix_tkt_done(&w);
	return w.violation;
}

START_TEST(never_twice_and_never_after_not_run)
{
	uint64_t verdicts[TKT_REFUSED + 1] = {0};

	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		const char *violation = run_seed(seed, FIX_CORRECT, verdicts);

		ck_assert_msg(!violation, "seed %llu: %s",
			      (unsigned long long)seed, violation);
	}
	printf("seeds %d: run %llu, not run %llu, unknown %llu\n", SEEDS,
	       (unsigned long long)verdicts[TKT_RUN],
	       (unsigned long long)verdicts[TKT_NOT_RUN],
	       (unsigned long long)verdicts[TKT_UNKNOWN]);
	ck_assert_uint_gt(verdicts[TKT_RUN], SEEDS);
	ck_assert_uint_gt(verdicts[TKT_NOT_RUN], SEEDS);
	ck_assert_uint_gt(verdicts[TKT_UNKNOWN], SEEDS);
}
END_TEST

START_TEST(broken_variants_are_detected)
{
	for (int broken = FIX_NO_SEAL; broken < FIX_VARIANTS; broken++) {
		uint64_t seed = 1;

		while (seed <= DETECTION_SEEDS &&
		       !run_seed(seed, (enum fix_broken)broken, NULL))
			seed++;
		printf("broken variant %d: seed %llu\n", broken,
		       (unsigned long long)seed);
		ck_assert_uint_le(seed, DETECTION_SEEDS);
	}
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("tkt_sim");

	tcase_set_timeout(tc, 100);
	tcase_add_test(tc, never_twice_and_never_after_not_run);
	tcase_add_test(tc, broken_variants_are_detected);
	return fix_run("tkt_sim", tc);
}
