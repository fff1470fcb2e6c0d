/* State that pst-controld learns from the processes of its VM. */
#include <stdlib.h>

#include <check.h>

#include "agent/ctl.h"
#include "tests/fix_node.h"
#include "tests/fix_run.h"
#include "tests/fix_table.h"

#define PORT 18404
#define WAIT CLK_SEC(5)
#define POLL CLK_MS(5)

static struct fix_node fix;

/* A started pst-controld that has no VM list yet. */
static void begin_without_list(void)
{
	fix_node_start(&fix, PORT);
}

static void begin(void)
{
	fix_node_start(&fix, PORT);
	fix_node_set_list(&fix);
}

static void end(void)
{
	fix_node_stop(&fix);
}

static bool is_stopping(const char *id)
{
	struct vmlist *members = node_members(fix.node);
	const struct vm *vm = vmlist_find(members, str_from_c(id));
	const bool stopping = vm->stopping;

	ck_assert_int_eq(vm->state, VM_LIVE);
	vmlist_put(members);
	return stopping;
}

static void wait_stopping(const char *id, bool stopping)
{
	const apr_time_t until = clk_now(clk_system()) + WAIT;

	while (is_stopping(id) != stopping) {
		ck_assert(clk_now(clk_system()) < until);
		apr_sleep(POLL);
	}
}

/*
 * The VM counts as stopping until its next pst-entryd announces itself. The
 * agent of pst-lookupd, which announces nothing, must not change that.
 */
START_TEST(vm_is_stopping_while_its_pst_entryd_says_so)
{
	struct mbr_mark *marks;
	struct ctl_agent *lookup = NULL;
	struct ctl_agent *entry = NULL;
	uint64_t version = 0;
	size_t count;

	begin();
	ck_assert_int_eq(ctl_agent_start(&lookup, &fix.set, clk_system()), 0);
	ck_assert_int_eq(ctl_agent_start(&entry, &fix.set, clk_system()), 0);
	ctl_agent_announce(entry, TABLE_SERVES_ENTRY);
	ctl_agent_announce(entry, TABLE_SERVES_LEAVING);
	wait_stopping(fix.set.vm.id.ptr, true);
	ck_assert_int_eq(node_wait_marks(fix.node, &version, 0, &marks, &count),
			 0);
	ck_assert_uint_eq(count, 1);
	ck_assert(marks[0].made_here);
	free(marks);
	ctl_agent_stop(entry);
	apr_sleep(CLK_MS(3 * fix.set.control.sync_interval_ms));
	ck_assert(is_stopping(fix.set.vm.id.ptr));
	ck_assert_int_eq(ctl_agent_start(&entry, &fix.set, clk_system()), 0);
	ctl_agent_announce(entry, TABLE_SERVES_ENTRY);
	wait_stopping(fix.set.vm.id.ptr, false);
	ctl_agent_stop(entry);
	ctl_agent_stop(lookup);
	end();
}
END_TEST

/*
 * While the platform is down, a restarted pst-controld can get the VM list from
 * peers only, so it needs their addresses.
 */
START_TEST(agent_sends_peer_hints_to_a_restarted_node)
{
	const apr_time_t until = clk_now(clk_system()) + WAIT;
	struct strbuf hints[NODE_HINTS_MAX];
	struct ctl_agent *agent = NULL;

	begin();
	ck_assert_int_eq(node_add_parts(fix.node, fix_parts, 3), 0);
	ck_assert_int_eq(node_apply_parts(fix.node, 5, "test"), 0);
	ck_assert_int_eq(ctl_agent_start(&agent, &fix.set, clk_system()), 0);
	while (fix_node_revision(agent) != 5) {
		ck_assert(clk_now(clk_system()) < until);
		apr_sleep(POLL);
	}
	end();
	begin_without_list();
	ck_assert(!node_has_list(fix.node));
	while (!node_hints(fix.node, hints)) {
		ck_assert(clk_now(clk_system()) < until);
		apr_sleep(POLL);
	}
	ck_assert_uint_eq(fix_node_revision(agent), 5);
	ctl_agent_stop(agent);
	end();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("node_vm");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, vm_is_stopping_while_its_pst_entryd_says_so);
	tcase_add_test(tc, agent_sends_peer_hints_to_a_restarted_node);
	return fix_run("node_vm", tc);
}
