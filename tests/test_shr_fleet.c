#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/clk.h"
#include "tests/fix_run.h"
#include "tests/fix_shr.h"

/* VMs of region r0, from which the link under test leads. */
#define HOT_VMS 1

/* Seeds of each cell, and of pairs of faults. */
#define CELL_SEEDS 2
#define PAIR_SEEDS 60

/* Part of a limit that one-sided demand must reach. */
#define LEAST_USED_PCT 90

/* Time to settle, and time over which use is measured. */
#define SETTLE	CLK_SEC(20)
#define MEASURE CLK_SEC(10)

static void expect_within(const struct fs *fs, const char *cell, unsigned seed)
{
	for (size_t i = 0; i < FS_LIMITS; i++)
		ck_assert_msg(!fs_excess(fs, i),
			      "%s, seed %u: limit %zu exceeded by %lu", cell,
			      seed, i, (unsigned long)fs_excess(fs, i));
}

/* Lets demand go on and expects the stated part of each limit to be used. */
static void expect_used(struct fs *fs, const char *cell, unsigned seed)
{
	uint64_t before[FS_LIMITS];

	fs_run(fs, SETTLE);
	for (size_t i = 0; i < FS_LIMITS; i++)
		before[i] = fs_taken(fs, i);
	fs_run(fs, MEASURE);
	for (size_t i = 0; i < FS_LIMITS; i++) {
		const uint64_t used = fs_taken(fs, i) - before[i];
		const uint64_t limit =
			fs_limit(fs, i) * MEASURE / APR_USEC_PER_SEC;

		ck_assert_msg(100 * used >= LEAST_USED_PCT * limit,
			      "%s, seed %u: limit %zu used to %lu%%", cell,
			      seed, i, (unsigned long)(100 * used / limit));
	}
}

/* Demand of all VMs, and now and then of some only. */
static void run_with_demand(struct fs *fs, apr_interval_time_t time)
{
	const apr_time_t end = fs_now(fs) + time;

	while (fs_now(fs) < end) {
		size_t some;

		fs_demand(fs, FS_VMS, 0);
		fs_run(fs, CLK_MS(2000 + random() % 4000));
		some = 1 + (size_t)random() % FS_VMS;
		fs_demand(fs, some, (size_t)random() % FS_VMS);
		fs_run(fs, CLK_MS(random() % 2000));
	}
}

static void run_cell(enum fs_fault fault, enum fs_when when, unsigned seed)
{
	struct fs *fs = fs_create(seed, NULL);
	char cell[128];

	snprintf(cell, sizeof(cell), "%s while %s", fs_fault_name(fault),
		 fs_when_name(when));
	fs_demand(fs, FS_VMS, 0);
	/* A handover needs a VM that comes back. */
	if (when == FS_WHILE_HANDING_OVER) {
		fs_run(fs, CLK_SEC(6));
		fs_arm(fs, FS_VM_DIES, FS_WHILE_HOLDING);
		fs_run(fs, CLK_SEC(20));
		fs_heal(fs);
	}
	fs_arm(fs, fault, when);
	run_with_demand(fs, CLK_SEC(25));
	ck_assert_msg(fs_struck(fs), "%s did not come about", cell);
	expect_within(fs, cell, seed);
	fs_heal(fs);
	fs_demand(fs, HOT_VMS, 0);
	expect_used(fs, cell, seed);
	expect_within(fs, cell, seed);
	fs_destroy(fs);
}

START_TEST(every_fault_at_every_step)
{
	const enum fs_fault fault = (enum fs_fault)_i;

	for (int when = 0; when < FS_WHENS; when++) {
		for (unsigned seed = 1; seed <= CELL_SEEDS; seed++)
			run_cell(fault, (enum fs_when)when, seed);
	}
}
END_TEST

/* PST_PAIR_SEEDS in the environment asks for more than CI runs. */
static unsigned pair_seeds(void)
{
	const char *more = getenv("PST_PAIR_SEEDS");
	const long count = more ? strtol(more, NULL, 10) : 0;

	return count > 0 ? (unsigned)count : PAIR_SEEDS;
}

/* Two faults at once, and demand that moves between VMs. */
START_TEST(pairs_of_faults)
{
	const unsigned seeds = pair_seeds();

	for (unsigned seed = 1; seed <= seeds; seed++) {
		struct fs *fs = fs_create(1000 + seed, NULL);
		char cell[160];
		enum fs_fault first;
		enum fs_fault second;

		first = (enum fs_fault)(random() % FS_FAULTS);
		second = (enum fs_fault)(random() % FS_FAULTS);
		snprintf(cell, sizeof(cell), "%s and %s", fs_fault_name(first),
			 fs_fault_name(second));
		fs_demand(fs, 2, (size_t)random() % FS_VMS);
		fs_run(fs, CLK_MS(random() % 8000));
		fs_arm(fs, first, (enum fs_when)(random() % FS_WHENS));
		fs_run(fs, CLK_SEC(5));
		fs_arm(fs, second, (enum fs_when)(random() % FS_WHENS));
		run_with_demand(fs, CLK_SEC(30));
		expect_within(fs, cell, 1000 + seed);
		fs_heal(fs);
		fs_demand(fs, HOT_VMS, 1);
		expect_used(fs, cell, 1000 + seed);
		expect_within(fs, cell, 1000 + seed);
		fs_destroy(fs);
	}
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("shr_fleet");

	tcase_add_loop_test(tc, every_fault_at_every_step, 0, FS_FAULTS);
	tcase_add_test(tc, pairs_of_faults);
	return fix_run("shr_fleet", tc);
}
