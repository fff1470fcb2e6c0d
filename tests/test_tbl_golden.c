/*
 * Takes one pst-controld on manual clocks through edits, changes of the VM
 * list and an outage, and compares its log with
 * tests/golden/table_session.txt. To rewrite that file:
 *
 *	PST_GOLDEN_WRITE=1 build/tests/test_tbl_golden
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "common/err.h"
#include "common/evt.h"
#include "controld/node.h"
#include "tests/fix_run.h"
#include "tests/fix_table.h"

#define GOLDEN	    "tests/golden/table_session.txt"
#define SESSION_MAX 16384
#define STEP	    CLK_MS(100)

static struct settings set;
static struct clk_manual clk;
static struct clk_manual wall;
static struct curview *curview;
static struct node *node;
static FILE *out;

static void log_step(const char *what)
{
	fprintf(out, "# %lld ms: %s\n", (long long)clk.at / 1000, what);
}

/* The source confirms the held revision every 500 ms. */
static void run_for(apr_interval_time_t time, enum node_source source)
{
	const apr_time_t until = clk.at + time;

	while (clk.at < until) {
		clk_manual_advance(&clk, STEP);
		clk_manual_advance(&wall, STEP);
		if (source && clk.at % CLK_MS(500) == 0)
			node_confirm(node, node_revision(node), clk.at, source);
		node_tick(node);
	}
}

/* Reads a list in which the VM called leaving is leaving; NULL: none. */
static void read_list(const char *leaving)
{
	struct vmlist *list = fix_vms(2);

	if (leaving) {
		list->revision++;
		((struct vm *)vmlist_find(list, str_from_c(leaving)))->state =
			VM_LEAVING;
	}
	node_offer_list(node, list);
}

static void push(struct tbl_part part, const char *value, uint64_t previous,
		 uint64_t revision)
{
	part.value = str_from_c(value);
	part.mod_revision = revision;
	fprintf(out, "# result %s\n",
		err_name(node_apply_change(node, &part, 1, previous, revision,
					   "entry-2")));
}

static void start_node(void)
{
	const table_status peer = {.vm = (char *)"entry-2", .voter = true};

	log_step("the list and the table are read; no peer has been met");
	read_list(NULL);
	node_add_parts(node, fix_parts, 3);
	node_apply_parts(node, 5, "store");
	run_for(CLK_SEC(1), NODE_SOURCE_STORE);
	log_step("a confirmed peer is met");
	node_note_peer(node, &peer);
	run_for(CLK_SEC(1), NODE_SOURCE_STORE);
}

static void apply_edits(void)
{
	log_step("an edit is pushed; an older table is offered; a push has a "
		 "gap");
	push(fix_parts[1], fix_service, 5, 6);
	fprintf(out, "# result %s\n",
		err_name(node_apply_parts(node, 4, "store")));
	push(fix_parts[1], fix_service, 8, 9);
	run_for(CLK_SEC(1), NODE_SOURCE_NONE);
	log_step("the missing change comes");
	push(fix_parts[1], fix_service, 6, 9);
	log_step("a malformed value is written past pstctl, then corrected");
	push(fix_parts[1], "{\"rows\":[]}", 9, 10);
	push(fix_parts[1], fix_service, 10, 11);
}

static void change_members(void)
{
	const struct tbl_part mark = {.key = STR_LIT("/pst/drain/entry-3")};

	log_step("an operator drains entry-3; the platform lists entry-4 as "
		 "leaving");
	push(mark, "{\"drain\":true}", 11, 12);
	read_list("entry-4");
	log_step("two calls to entry-5 fail; it answers again");
	node_vm_failed(node, STR_LIT("entry-5"));
	node_vm_failed(node, STR_LIT("entry-5"));
	run_for(CLK_SEC(1), NODE_SOURCE_PEER);
	node_vm_heard(node, STR_LIT("entry-5"));
	run_for(CLK_SEC(1), NODE_SOURCE_PEER);
}

static void go_through_outage(void)
{
	log_step("the store is down; a majority of the domains confirms");
	run_for(CLK_SEC(2), NODE_SOURCE_MAJORITY);
	log_step("cut off");
	run_for(CLK_SEC(4), NODE_SOURCE_NONE);
	log_step("back");
	run_for(CLK_SEC(1), NODE_SOURCE_STORE);
	log_step("suspended for 5 s, unseen by the monotonic clock");
	clk_manual_advance(&wall, CLK_SEC(5));
	run_for(STEP, NODE_SOURCE_NONE);
	run_for(CLK_SEC(1), NODE_SOURCE_STORE);
}

static void compare_with_golden(const char *session, size_t len)
{
	static char golden[SESSION_MAX];
	FILE *f;
	size_t golden_len;

	if (getenv("PST_GOLDEN_WRITE")) {
		f = fopen(GOLDEN, "w");
		ck_assert_ptr_nonnull(f);
		fwrite(session, 1, len, f);
		fclose(f);
	}
	f = fopen(GOLDEN, "r");
	ck_assert_ptr_nonnull(f);
	golden_len = fread(golden, 1, sizeof(golden) - 1, f);
	fclose(f);
	golden[golden_len] = '\0';
	ck_assert_str_eq(session, golden);
}

START_TEST(session_matches_golden_file)
{
	static char session[SESSION_MAX];
	struct set_range bad;

	ck_assert_int_eq(set_convert(NULL, &set, &bad), 0);
	out = fmemopen(session, sizeof(session), "w");
	ck_assert_ptr_nonnull(out);
	ck_assert_int_eq(evt_init("info"), 0);
	evt_redirect(out);
	clk_manual_init(&clk, CLK_SEC(100));
	clk_manual_init(&wall, CLK_SEC(7000));
	ck_assert_int_eq(curview_create(&curview), 0);
	ck_assert_int_eq(
		node_create(&node, &set, &clk.base, &wall.base, curview), 0);
	start_node();
	apply_edits();
	change_members();
	go_through_outage();
	evt_redirect(NULL);
	fflush(out);
	compare_with_golden(session, strlen(session));
	fclose(out);
	node_destroy(node);
	curview_destroy(curview);
	evt_done();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("tbl_golden");

	tcase_add_test(tc, session_matches_golden_file);
	return fix_run("tbl_golden", tc);
}
