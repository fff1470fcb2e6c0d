/* The state of a pst-controld behind its RPC server, and an agent as client. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <check.h>

#include "agent/ctl.h"
#include "agent/tblcache.h"
#include "agent/tablemsg.h"
#include "common/err.h"
#include "controld/peercall.h"
#include "tests/fix_node.h"
#include "tests/fix_run.h"
#include "tests/fix_table.h"

#define PORT	     18403
#define BIG_SERVICES 200
#define WAIT	     CLK_SEC(5)
#define POLL	     CLK_MS(5)

static struct fix_node fix;

static void begin(void)
{
	fix_node_start(&fix, PORT);
	fix_node_set_list(&fix);
}

static void end(void)
{
	fix_node_stop(&fix);
}

/* Applies parts the way a read of the whole table from the store does. */
static void apply_parts(const struct tbl_part *parts, size_t count,
			uint64_t revision)
{
	ck_assert_int_eq(node_add_parts(fix.node, parts, count), 0);
	ck_assert_int_eq(node_apply_parts(fix.node, revision, "test"), 0);
}

/* Copies a part with from replaced by to; the caller frees *text. */
static struct tbl_part edited_part(const struct tbl_part *old,
				   uint64_t revision, const char *from,
				   const char *to, char **text)
{
	const char *at = strstr(old->value.ptr, from);

	ck_assert_ptr_nonnull(at);
	if (asprintf(text, "%.*s%s%s", (int)(at - old->value.ptr),
		     old->value.ptr, to, at + strlen(from)) < 0)
		ck_abort();
	return (struct tbl_part){
		.key = old->key,
		.mod_revision = revision,
		.value = str_from_c(*text),
	};
}

static void wait_revision(struct ctl_agent *agent, uint64_t revision)
{
	const apr_time_t until = clk_now(clk_system()) + WAIT;

	while (fix_node_revision(agent) != revision) {
		ck_assert_msg(clk_now(clk_system()) < until,
			      "held %llu, want %llu",
			      (unsigned long long)fix_node_revision(agent),
			      (unsigned long long)revision);
		apr_sleep(POLL);
	}
}

static uint64_t in_force(void)
{
	table_status status = {0};
	uint64_t revision;

	ck_assert_int_eq(node_status(fix.node, &status), 0);
	revision = status.in_force;
	xdr_free((xdrproc_t)xdr_table_status, &status);
	return revision;
}

static void wait_in_force(uint64_t revision)
{
	const apr_time_t until = clk_now(clk_system()) + WAIT;

	while (in_force() != revision) {
		ck_assert(clk_now(clk_system()) < until);
		apr_sleep(POLL);
	}
}

#define DOMAINS 88

/*
 * A relay of a fleet with many failure domains answers every exchange. While
 * no VM is absent, it must not send an empty report for each domain.
 */
START_TEST(exchange_without_changes_has_no_reports)
{
	table_absent reports[DOMAINS] = {0};
	table_answer heard = {.absents = {DOMAINS, reports}};
	table_answer answer = {0};
	table_ask ask = {.from = (char *)"entry-2"};
	char names[DOMAINS][16];

	begin();
	for (int i = 0; i < DOMAINS; i++) {
		snprintf(names[i], sizeof(names[i]), "region-%d", i);
		reports[i].domain = names[i];
	}
	node_merge_absents(fix.node, &heard);
	ask.list_revision = node_listed_revision(fix.node);
	ck_assert_int_eq(node_answer_sync(fix.node, &ask, &answer), 0);
	ck_assert_uint_eq(answer.absents.absents_len, 0);
	ck_assert_uint_le(xdr_sizeof((xdrproc_t)xdr_table_answer, &answer),
			  128);
	xdr_free((xdrproc_t)xdr_table_answer, &answer);
	end();
}
END_TEST

START_TEST(agent_follows_edits_and_a_new_manifest)
{
	struct ctl_agent *agent = NULL;
	struct tbl_part change;
	struct ctl_view *view;
	char *text;

	begin();
	ck_assert_int_eq(ctl_agent_start(&agent, &fix.set, clk_system()), 0);
	ck_assert(!ctl_agent_fresh(agent));
	apply_parts(fix_parts, 3, 5);
	wait_revision(agent, 5);
	/* The table has not been confirmed yet. */
	ck_assert(!ctl_agent_fresh(agent));
	change = edited_part(&fix_parts[1], 6, "\"almaty-1\":100",
			     "\"almaty-1\":7", &text);
	apply_parts(&change, 1, 6);
	wait_revision(agent, 6);
	wait_in_force(6);
	free(text);
	/* The agent has dropped its parts and must fetch all of them. */
	change = edited_part(&fix_parts[0], 7, "4000", "3000", &text);
	apply_parts(&change, 1, 7);
	wait_revision(agent, 7);
	free(text);
	view = ctl_agent_view(agent);
	ck_assert_uint_eq(view->tbl->links[0].bytes_per_s, 375000000);
	ck_assert_uint_eq(tbl_row(view->tbl, 0, RANK_URGENT)->weights[0], 7);
	ck_assert_uint_eq(view->vmlist->count, 6);
	ctl_view_put(view);
	ctl_agent_stop(agent);
	end();
}
END_TEST

/*
 * Waiting for the agent of a stopped process would delay every edit by the
 * freshness time-out.
 */
START_TEST(stopped_agent_does_not_delay_edits)
{
	struct ctl_agent *agent = NULL;
	struct tbl_part change;
	char *text;

	begin();
	ck_assert_int_eq(ctl_agent_start(&agent, &fix.set, clk_system()), 0);
	apply_parts(fix_parts, 3, 5);
	wait_revision(agent, 5);
	wait_in_force(5);
	ctl_agent_stop(agent);
	change = edited_part(&fix_parts[1], 6, "\"almaty-1\":100",
			     "\"almaty-1\":7", &text);
	apply_parts(&change, 1, 6);
	ck_assert_uint_eq(in_force(), 6);
	free(text);
	end();
}
END_TEST

START_TEST(agent_is_fresh_as_long_as_the_node_is_confirmed)
{
	struct ctl_agent *agent = NULL;
	const table_status peer = {.vm = (char *)"entry-2", .voter = true};
	const apr_time_t until = clk_now(clk_system()) + WAIT;

	begin();
	fix.set.control.freshness_timeout_ms = 400;
	ck_assert_int_eq(ctl_agent_start(&agent, &fix.set, clk_system()), 0);
	apply_parts(fix_parts, 3, 5);
	wait_revision(agent, 5);
	/* The store alone does not confirm the table of a new process. */
	node_confirm(fix.node, 5, clk_now(clk_system()), NODE_SOURCE_STORE);
	ck_assert_int_eq(node_age(fix.node), REV_NEVER);
	node_note_peer(fix.node, &peer);
	while (!ctl_agent_fresh(agent)) {
		node_confirm(fix.node, 5, clk_now(clk_system()),
			     NODE_SOURCE_STORE);
		ck_assert(clk_now(clk_system()) < until);
		apr_sleep(POLL);
	}
	/* The confirmation expires. */
	apr_sleep(CLK_MS(500));
	ck_assert(!ctl_agent_fresh(agent));
	ck_assert_uint_eq(fix_node_revision(agent), 5);
	ctl_agent_stop(agent);
	end();
}
END_TEST

START_TEST(push_after_a_missing_change_is_refused)
{
	struct tbl_part change;
	char *text;

	begin();
	apply_parts(fix_parts, 3, 5);
	change = edited_part(&fix_parts[1], 8, "\"almaty-1\":100",
			     "\"almaty-1\":8", &text);
	ck_assert_int_eq(node_apply_change(fix.node, &change, 1, 7, 8, "peer"),
			 PST_ERR_STALE);
	ck_assert_uint_eq(node_revision(fix.node), 5);
	ck_assert(node_is_behind(fix.node));
	ck_assert_int_eq(node_apply_change(fix.node, &change, 1, 5, 8, "peer"),
			 0);
	ck_assert_uint_eq(node_revision(fix.node), 8);
	/* A repeated and an older change have no effect. */
	ck_assert_int_eq(node_apply_change(fix.node, &change, 1, 5, 8, "peer"),
			 0);
	ck_assert_int_eq(node_apply_parts(fix.node, 6, "peer"), PST_ERR_STALE);
	ck_assert_uint_eq(node_revision(fix.node), 8);
	free(text);
	end();
}
END_TEST

START_TEST(malformed_part_leaves_the_last_table_in_force)
{
	struct tbl_part change;
	struct tbl *tbl;
	char *text;

	begin();
	apply_parts(fix_parts, 3, 5);
	change = edited_part(&fix_parts[1], 6, "\"almaty-1\":100",
			     "\"almaty-1\":-1", &text);
	ck_assert_int_eq(node_apply_change(fix.node, &change, 1, 5, 6, "peer"),
			 PST_ERR_INVALID);
	tbl = node_table(fix.node);
	ck_assert_uint_eq(tbl->revision, 5);
	tbl_put(tbl);
	free(text);
	/* A later, well-formed value of the cell is applied. */
	change = edited_part(&fix_parts[1], 7, "\"almaty-1\":100",
			     "\"almaty-1\":9", &text);
	ck_assert_int_eq(node_apply_change(fix.node, &change, 1, 6, 7, "peer"),
			 0);
	tbl = node_table(fix.node);
	ck_assert_uint_eq(tbl->revision, 7);
	tbl_put(tbl);
	free(text);
	end();
}
END_TEST

/*
 * A malformed part must not count as accepted, and must not block the edits of
 * other services.
 */
START_TEST(malformed_part_delays_only_itself)
{
	struct tbl_part change;
	struct tbl *tbl;
	char *text;

	begin();
	apply_parts(fix_parts, 3, 5);
	ck_assert_uint_eq(in_force(), 5);
	change = edited_part(&fix_parts[1], 6, "\"almaty-1\":100",
			     "\"almaty-1\":-1", &text);
	node_apply_change(fix.node, &change, 1, 5, 6, "peer");
	free(text);
	ck_assert_uint_eq(in_force(), 5);
	change = edited_part(&fix_parts[2], 7, "\"almaty-1\":100",
			     "\"almaty-1\":9", &text);
	node_apply_change(fix.node, &change, 1, 6, 7, "peer");
	free(text);
	tbl = node_table(fix.node);
	ck_assert_uint_eq(tbl_row(tbl, 0, RANK_URGENT)->weights[0], 100);
	ck_assert_uint_eq(tbl_row(tbl, 1, RANK_URGENT)->weights[0], 9);
	tbl_put(tbl);
	ck_assert_uint_eq(in_force(), 5);
	change = edited_part(&fix_parts[1], 8, "\"almaty-1\":100",
			     "\"almaty-1\":3", &text);
	node_apply_change(fix.node, &change, 1, 7, 8, "peer");
	free(text);
	ck_assert_uint_eq(in_force(), 8);
	end();
}
END_TEST

/* Makes a table of large parts that takes several pages to transfer. */
static struct tbl_part *big_table(char **manifest)
{
	struct tbl_part *parts = calloc(BIG_SERVICES + 1, sizeof(*parts));
	char *names = strdup("");
	char *padded = malloc(fix_parts[1].value.len + 16384);

	memset(padded, ' ', fix_parts[1].value.len + 16384);
	memcpy(padded, fix_parts[1].value.ptr, fix_parts[1].value.len);
	for (int i = 0; i < BIG_SERVICES; i++) {
		char *key = NULL;
		char *more = NULL;

		if (asprintf(&key, TBL_PREFIX_SERVICE "s%d", i) < 0 ||
		    asprintf(&more, "%s%s\"s%d\"", names, i ? "," : "", i) < 0)
			ck_abort();
		free(names);
		names = more;
		parts[i + 1] = (struct tbl_part){
			.key = str_from_c(key),
			.mod_revision = 10 + (uint64_t)i / 3,
			.value = {.ptr = padded,
				  .len = fix_parts[1].value.len + 16384},
		};
	}
	parts[0] = edited_part(&fix_parts[0], 9, "\"status\",\"booking\"",
			       names, manifest);
	free(names);
	return parts;
}

START_TEST(table_of_many_pages_arrives_whole)
{
	struct ctl_agent *agent = NULL;
	struct ctl_view *view;
	char *manifest;
	struct tbl_part *parts;

	begin();
	parts = big_table(&manifest);
	apply_parts(parts, BIG_SERVICES + 1, 10 + (BIG_SERVICES - 1) / 3);
	ck_assert_int_eq(ctl_agent_start(&agent, &fix.set, clk_system()), 0);
	wait_revision(agent, 10 + (BIG_SERVICES - 1) / 3);
	view = ctl_agent_view(agent);
	ck_assert_uint_eq(view->tbl->service_count, BIG_SERVICES);
	ctl_view_put(view);
	ctl_agent_stop(agent);
	for (int i = 1; i <= BIG_SERVICES; i++)
		free((char *)parts[i].key.ptr);
	free((char *)parts[1].value.ptr);
	free(parts);
	free(manifest);
	end();
}
END_TEST

/*
 * During an outage of the store and the platform a new VM has only its peers to
 * get its state from.
 */
START_TEST(new_node_takes_table_list_and_confirmation_from_a_peer)
{
	const table_status peer = {.vm = (char *)"entry-2", .voter = true};
	struct curview *other_view;
	struct node *other;
	struct peercall *peercall;
	struct vmlist *members;

	begin();
	apply_parts(fix_parts, 3, 5);
	node_note_peer(fix.node, &peer);
	node_confirm(fix.node, 5, clk_now(clk_system()), NODE_SOURCE_STORE);
	ck_assert_int_eq(curview_create(&other_view), 0);
	ck_assert_int_eq(node_create(&other, &fix.set, clk_system(),
				     tblcache_wall_clock(), other_view),
			 0);
	ck_assert_int_eq(
		peercall_create(&peercall, &fix.set, clk_system(), other), 0);
	members = node_members(fix.node);
	((struct vm *)vmlist_find(members, STR_LIT("entry-2")))->address.len =
		(uint8_t)fix_ip().len;
	memcpy(members->vms[1].address.ptr, fix_ip().ptr, fix_ip().len + 1);
	ck_assert_int_eq(peercall_sync(peercall, &members->vms[1]), 0);
	vmlist_put(members);
	ck_assert_uint_eq(node_revision(other), 5);
	ck_assert_int_lt(node_age(other), CLK_SEC(2));
	ck_assert(node_is_voter(other));
	members = node_members(other);
	ck_assert_uint_eq(members->count, 6);
	vmlist_put(members);
	peercall_destroy(peercall);
	node_destroy(other);
	curview_destroy(other_view);
	end();
}
END_TEST

START_TEST(drain_mark_makes_a_vm_leave)
{
	const struct tbl_part mark = {
		.key = STR_LIT("/pst/drain/entry-3"),
		.mod_revision = 6,
		.value = STR_LIT("{\"drain\":true}"),
	};
	const struct tbl_part cleared = {
		.key = STR_LIT("/pst/drain/entry-3"),
		.mod_revision = 7,
		.value = STR_LIT("{\"drain\":false}"),
	};
	struct ctl_view *view;

	begin();
	apply_parts(fix_parts, 3, 5);
	ck_assert_int_eq(node_apply_change(fix.node, &mark, 1, 5, 6, "peer"),
			 0);
	view = curview_get(fix.curview);
	ck_assert_int_eq(vmlist_find(view->vmlist, STR_LIT("entry-3"))->state,
			 VM_LEAVING);
	ctl_view_put(view);
	ck_assert_int_eq(node_apply_change(fix.node, &cleared, 1, 6, 7, "peer"),
			 0);
	view = curview_get(fix.curview);
	ck_assert_int_eq(vmlist_find(view->vmlist, STR_LIT("entry-3"))->state,
			 VM_LIVE);
	ctl_view_put(view);
	end();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("node");

	tcase_add_test(tc, exchange_without_changes_has_no_reports);
	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, agent_follows_edits_and_a_new_manifest);
	tcase_add_test(tc, stopped_agent_does_not_delay_edits);
	tcase_add_test(tc, agent_is_fresh_as_long_as_the_node_is_confirmed);
	tcase_add_test(tc, push_after_a_missing_change_is_refused);
	tcase_add_test(tc, malformed_part_leaves_the_last_table_in_force);
	tcase_add_test(tc, malformed_part_delays_only_itself);
	tcase_add_test(tc, table_of_many_pages_arrives_whole);
	tcase_add_test(tc,
		       new_node_takes_table_list_and_confirmation_from_a_peer);
	tcase_add_test(tc, drain_mark_makes_a_vm_leave);
	return fix_run("node", tc);
}
