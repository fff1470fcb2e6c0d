/*
 * Compares the log of one complete session with a golden file, byte by byte.
 * To update the file: PST_GOLDEN_WRITE=1 build/tests/test_tkt_golden
 */
#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "common/evt.h"
#include "tests/fix_run.h"
#include "tests/fix_tkt.h"

#define SEED   20261204
#define GOLDEN "tests/golden/ticket_session.txt"

static enum tkt_end upstream(struct fix_world *w, bool *ran)
{
	*ran = w->key_count != 3;
	return *ran ? TKT_END_RAN : TKT_END_NOT_RUN;
}

static void admit(struct fix_world *w, int proc, size_t key, uint64_t request)
{
	fix_tkt_admit(w, proc, key, request, CLK_MS(300));
	fix_tkt_run(w, w->now + CLK_MS(500));
}

/*
 * Requests that are repeated, whose home crashed, that the upstream refused,
 * whose witness cannot be reached or restarted, and that depend on the store.
 */
static void run_session(struct fix_world *w)
{
	size_t key = fix_tkt_key(w, 0);

	admit(w, 0, key, 1);
	admit(w, 2, key, 2);
	key = fix_tkt_key(w, 0);
	fix_tkt_crash(w, 0);
	admit(w, 2, key, 3);
	admit(w, 3, key, 4);
	key = fix_tkt_key(w, 1);
	admit(w, 1, key, 5);
	admit(w, 3, key, 6);
	key = fix_tkt_key(w, 1);
	w->cut[1][2] = true;
	admit(w, 1, key, 7);
	w->cut[1][2] = false;
	admit(w, 1, key, 8);
	key = fix_tkt_key(w, 1);
	fix_tkt_restart(w, 2);
	admit(w, 1, key, 9);
	key = fix_tkt_key(w, -1);
	w->store_down = true;
	admit(w, 1, key, 10);
	w->store_down = false;
	admit(w, 1, key, 11);
	admit(w, 3, key, 12);
}

static void write_session_log(FILE *out)
{
	struct fix_world w;

	evt_init("debug");
	evt_redirect(out);
	fix_tkt_init(&w, SEED);
	w.delay = CLK_MS(5);
	w.upstream = upstream;
	fix_tkt_open(&w, 0, 1);
	fix_tkt_open(&w, 1, 2);
	run_session(&w);
	fix_tkt_done(&w);
	evt_redirect(NULL);
	evt_done();
}

static char *read_all(FILE *file, size_t *len)
{
	char *text = calloc(1, 65536);

	rewind(file);
	*len = fread(text, 1, 65536, file);
	return text;
}

START_TEST(session_is_as_recorded)
{
	FILE *actual = tmpfile();
	FILE *golden = fopen(GOLDEN, "r");
	size_t actual_len;
	size_t golden_len;
	char *actual_text;
	char *golden_text;
	size_t same = 0;

	ck_assert_ptr_nonnull(golden);
	write_session_log(actual);
	actual_text = read_all(actual, &actual_len);
	golden_text = read_all(golden, &golden_len);
	ck_assert_uint_gt(actual_len, 0);
	while (same < actual_len && actual_text[same] == golden_text[same])
		same++;
	ck_assert_msg(actual_len == golden_len && same == actual_len,
		      "differs at byte %zu: %.120s", same, actual_text + same);
	free(actual_text);
	free(golden_text);
	fclose(actual);
	fclose(golden);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("tkt_golden");

	if (getenv("PST_GOLDEN_WRITE")) {
		FILE *out = fopen(GOLDEN, "w");

		if (!out)
			return EXIT_FAILURE;
		write_session_log(out);
		return fclose(out) ? EXIT_FAILURE : EXIT_SUCCESS;
	}
	tcase_add_test(tc, session_is_as_recorded);
	return fix_run("tkt_golden", tc);
}
