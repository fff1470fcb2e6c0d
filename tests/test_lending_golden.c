/*
 * Compares the log of a simulated fleet that lends limits, on a fixed seed,
 * with tests/golden/limits_session.txt. To write that file again:
 *
 *	PST_GOLDEN_WRITE=1 build/tests/test_lending_golden
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clk.h"
#include "tests/fix_run.h"
#include "tests/fix_lending.h"

#define GOLDEN	    "tests/golden/limits_session.txt"
#define SESSION_MAX 65536
#define SEED	    41

static void run_seconds(struct sim *sim, FILE *out, int seconds)
{
	for (int i = 0; i < seconds; i++) {
		const uint64_t link = sim_taken(sim, SIM_LINK);
		const uint64_t intake = sim_taken(sim, SIM_INTAKE);

		sim_run(sim, CLK_SEC(1));
		fprintf(out,
			"%6ld ms taken in 1 s: link %lu of %lu, "
			"requests %lu of %lu\n",
			(long)(sim_now(sim) / 1000),
			(unsigned long)(sim_taken(sim, SIM_LINK) - link),
			(unsigned long)sim_limit(sim, SIM_LINK),
			(unsigned long)(sim_taken(sim, SIM_INTAKE) - intake),
			(unsigned long)sim_limit(sim, SIM_INTAKE));
	}
}

/* A VM dies while it holds its domain's part, and comes back. */
static void run_session(FILE *out)
{
	struct sim *sim = sim_create(SEED, out);

	sim_set_demand(sim, 2, 0);
	run_seconds(sim, out, 8);
	sim_arm_fault(sim, SIM_VM_DIES, SIM_WHILE_HOLDING);
	run_seconds(sim, out, 22);
	sim_clear_faults(sim);
	run_seconds(sim, out, 12);
	sim_arm_fault(sim, SIM_STORE_DOWN, SIM_WHILE_HOLDING);
	run_seconds(sim, out, 6);
	sim_destroy(sim);
}

static void write_golden(const char *text, size_t len)
{
	FILE *f = fopen(GOLDEN, "w");

	ck_assert_ptr_nonnull(f);
	ck_assert_uint_eq(fwrite(text, 1, len, f), len);
	fclose(f);
}

START_TEST(session_matches_golden_file)
{
	static char golden[SESSION_MAX];
	char *session = NULL;
	size_t size = 0;
	FILE *out = open_memstream(&session, &size);
	size_t len;
	FILE *f;

	run_session(out);
	fclose(out);
	if (getenv("PST_GOLDEN_WRITE"))
		write_golden(session, size);
	f = fopen(GOLDEN, "r");
	ck_assert_ptr_nonnull(f);
	len = fread(golden, 1, sizeof(golden), f);
	fclose(f);
	ck_assert_uint_eq(len, size);
	ck_assert_mem_eq(golden, session, len);
	free(session);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("shr_golden");

	tcase_add_test(tc, session_matches_golden_file);
	return fix_run("shr_golden", tc);
}
