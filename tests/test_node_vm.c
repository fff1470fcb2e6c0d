/* What the processes of a VM tell its pst-controld of it and of others. */
#include <stdlib.h>

#include <check.h>

#include "agent/ctl.h"
#include "agent/hold.h"
#include "common/rpcs.h"
#include "controld/sync.h"
#include "tests/fix_run.h"
#include "tests/fix_table.h"

#define PORT 18404
#define WAIT CLK_SEC(5)
#define POLL CLK_MS(5)

static struct settings set;
static struct cview *cview;
static struct node *node;

static bool allow(void *ctx, struct str ip)
{
	(void)ctx;
	(void)ip;
	return true;
}

static void load_settings(void)
{
	struct set_range bad;

	if (!set.vm.id.ptr)
		ck_assert_int_eq(set_convert(NULL, &set, &bad), 0);
	set.vm.address = fix_ip();
	set.control.rpc_port = PORT;
	set.control.freshness_timeout_ms = 3000;
	set.control.sync_interval_ms = 20;
}

/* As a pst-controld that has been started and has heard nothing yet. */
static void begin_empty(void)
{
	const struct rpcs_gate gate = {.allow = allow};

	load_settings();
	ck_assert_int_eq(cview_create(&cview), 0);
	ck_assert_int_eq(node_create(&node, &set, clk_system(),
				     hold_wall_clock(), cview),
			 0);
	ck_assert_int_eq(sync_register(node), 0);
	ck_assert_int_eq(rpcs_start(fix_ip(), PORT, gate), 0);
}

static void begin(void)
{
	struct vml *list = NULL;
	char *text = fix_vm_list(1);

	begin_empty();
	ck_assert_int_eq(vml_parse(&list, str_from_c(text)), 0);
	node_read_list(node, list);
	free(text);
}

static void end(void)
{
	rpcs_stop();
	node_destroy(node);
	cview_destroy(cview);
}

static uint64_t view_revision(struct ctl_agent *agent)
{
	struct ctl_view *view = ctl_agent_view(agent);
	const uint64_t revision = view ? view->tbl->revision : 0;

	ctl_view_put(view);
	return revision;
}

static bool is_stopping(const char *id)
{
	struct vml *members = node_members(node);
	const struct vm *vm = vml_find(members, str_from_c(id));
	const bool stopping = vm->stopping;

	ck_assert_int_eq(vm->state, VM_LIVE);
	vml_put(members);
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

/* Until the next process of that VM serves; the look-up's agent says nothing.
 */
START_TEST(vm_is_stopping_while_its_pst_entryd_says_so)
{
	struct mbr_mark *marks;
	struct ctl_agent *lookup = NULL;
	struct ctl_agent *entry = NULL;
	uint64_t version = 0;
	size_t count;

	begin();
	ck_assert_int_eq(ctl_agent_start(&lookup, &set, clk_system()), 0);
	ck_assert_int_eq(ctl_agent_start(&entry, &set, clk_system()), 0);
	ctl_agent_announce(entry, TABLE_SERVES_ENTRY);
	ctl_agent_announce(entry, TABLE_SERVES_LEAVING);
	wait_stopping(set.vm.id.ptr, true);
	ck_assert_int_eq(node_wait_marks(node, &version, 0, &marks, &count), 0);
	ck_assert_uint_eq(count, 1);
	ck_assert(marks[0].here);
	free(marks);
	ctl_agent_stop(entry);
	apr_sleep(CLK_MS(3 * set.control.sync_interval_ms));
	ck_assert(is_stopping(set.vm.id.ptr));
	ck_assert_int_eq(ctl_agent_start(&entry, &set, clk_system()), 0);
	ctl_agent_announce(entry, TABLE_SERVES_ENTRY);
	wait_stopping(set.vm.id.ptr, false);
	ctl_agent_stop(entry);
	ctl_agent_stop(lookup);
	end();
}
END_TEST

/* With the platform down it has nobody else to learn the list from. */
START_TEST(agent_names_peers_to_a_restarted_node)
{
	const apr_time_t until = clk_now(clk_system()) + WAIT;
	struct strbuf hints[NODE_HINTS_MAX];
	struct ctl_agent *agent = NULL;

	begin();
	ck_assert_int_eq(node_keep(node, fix_parts, 3), 0);
	ck_assert_int_eq(node_apply(node, 5, "test"), 0);
	ck_assert_int_eq(ctl_agent_start(&agent, &set, clk_system()), 0);
	while (view_revision(agent) != 5) {
		ck_assert(clk_now(clk_system()) < until);
		apr_sleep(POLL);
	}
	end();
	begin_empty();
	ck_assert(!node_has_list(node));
	while (!node_hints(node, hints)) {
		ck_assert(clk_now(clk_system()) < until);
		apr_sleep(POLL);
	}
	ck_assert_uint_eq(view_revision(agent), 5);
	ctl_agent_stop(agent);
	end();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("node_vm");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, vm_is_stopping_while_its_pst_entryd_says_so);
	tcase_add_test(tc, agent_names_peers_to_a_restarted_node);
	return fix_run("node_vm", tc);
}
