/*
 * Timed waits must end in time when the clock of the time of day is stepped.
 * Waits based on that clock last as much longer as it is set back.
 */
#include <check.h>
#include <stdatomic.h>

#include <apr_thread_proc.h>

#include "agent/task.h"
#include "common/clk.h"
#include "common/condvar.h"
#include "common/err.h"
#include "tests/fix_run.h"

/* Time between two runs of the duty, and runs that the test waits for. */
#define TASK_INTERVAL CLK_MS(5)
#define RUNS	      5

/* Longest time that the waits may take on a busy machine. */
#define MAX_WAIT CLK_SEC(5)

static atomic_uint runs;

/*
 * Replaces APR's function: the time read is an hour ahead of the system's, so
 * a wait until a time computed from it would last an hour too long.
 */
apr_time_t apr_time_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	return (apr_time_t)(ts.tv_sec + 3600) * APR_USEC_PER_SEC;
}

static apr_interval_time_t run_duty(void *ctx)
{
	(void)ctx;
	atomic_fetch_add(&runs, 1);
	return TASK_INTERVAL;
}

START_TEST(duties_go_on)
{
	const apr_time_t end = clk_now(clk_system()) + MAX_WAIT;
	struct task task;

	ck_assert_int_eq(task_start(&task, run_duty, NULL), 0);
	while (atomic_load(&runs) < RUNS && clk_now(clk_system()) < end)
		apr_sleep(TASK_INTERVAL);
	task_stop(&task);
	ck_assert_uint_ge(atomic_load(&runs), RUNS);
}
END_TEST

START_TEST(waits_end)
{
	pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
	pthread_cond_t cond;
	const apr_time_t began = clk_now(clk_system());
	struct timespec end;
	int err = 0;

	ck_assert_int_eq(condvar_init(&cond), 0);
	/* Nearly always carries over into the next second. */
	end = condvar_deadline(999999);
	pthread_mutex_lock(&lock);
	while (!err)
		err = condvar_wait(&cond, &lock, &end);
	pthread_mutex_unlock(&lock);
	pthread_cond_destroy(&cond);
	ck_assert_int_eq(err, PST_ERR_TIMEOUT);
	ck_assert_int_ge(clk_now(clk_system()) - began, 999999);
	ck_assert_int_lt(clk_now(clk_system()) - began, MAX_WAIT);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("conditions");

	tcase_set_timeout(tc, 20);
	tcase_add_test(tc, duties_go_on);
	tcase_add_test(tc, waits_end);
	return fix_run("cvr", tc);
}
