/*
 * One whole session of a fleet of share holders, on a fixed seed, compared
 * to tests/golden/limits_session.txt. To write that file anew:
 *
 *	PST_GOLDEN_WRITE=1 build/tests/test_shr_golden
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/clk.h"
#include "tests/fix_run.h"
#include "tests/fix_shr.h"

#define GOLDEN	    "tests/golden/limits_session.txt"
#define SESSION_MAX 65536
#define SEED	    41

static void run_seconds(struct fs *fs, FILE *out, int seconds)
{
	for (int i = 0; i < seconds; i++) {
		const uint64_t link = fs_taken(fs, FS_LINK);
		const uint64_t intake = fs_taken(fs, FS_INTAKE);

		fs_run(fs, CLK_SEC(1));
		fprintf(out,
			"%6ld ms taken in 1 s: link %lu of %lu, "
			"requests %lu of %lu\n",
			(long)(fs_now(fs) / 1000),
			(unsigned long)(fs_taken(fs, FS_LINK) - link),
			(unsigned long)fs_limit(fs, FS_LINK),
			(unsigned long)(fs_taken(fs, FS_INTAKE) - intake),
			(unsigned long)fs_limit(fs, FS_INTAKE));
	}
}

/* A VM dies while it owns its domain's part, and comes back. */
static void run_session(FILE *out)
{
	struct fs *fs = fs_create(SEED, out);

	fs_demand(fs, 2, 0);
	run_seconds(fs, out, 8);
	fs_arm(fs, FS_VM_DIES, FS_WHILE_HOLDING);
	run_seconds(fs, out, 22);
	fs_heal(fs);
	run_seconds(fs, out, 12);
	fs_arm(fs, FS_STORE_DOWN, FS_WHILE_HOLDING);
	run_seconds(fs, out, 6);
	fs_destroy(fs);
}

static void write_golden(const char *text, size_t len)
{
	FILE *f = fopen(GOLDEN, "w");

	ck_assert_ptr_nonnull(f);
	ck_assert_uint_eq(fwrite(text, 1, len, f), len);
	fclose(f);
}

START_TEST(session_is_the_golden_one)
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

	tcase_add_test(tc, session_is_the_golden_one);
	return fix_run("shr_golden", tc);
}
