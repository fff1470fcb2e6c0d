#include "tests/fix_node.h"

#include <check.h>

#include "agent/tblcache.h"
#include "common/rpcs.h"
#include "controld/sync.h"
#include "tests/fix_run.h"
#include "tests/fix_table.h"

static bool allow(void *ctx, struct str ip)
{
	(void)ctx;
	(void)ip;
	return true;
}

static void load_settings(struct settings *set, uint16_t port)
{
	struct set_range bad;

	if (!set->vm.id.ptr)
		ck_assert_int_eq(set_convert(NULL, set, &bad), 0);
	set->vm.address = fix_ip();
	set->control.rpc_port = port;
	set->control.freshness_timeout_ms = 3000;
	set->control.sync_interval_ms = 20;
}

void fix_node_start(struct fix_node *fix, uint16_t port)
{
	const struct rpcs_filter gate = {.allow = allow};

	load_settings(&fix->set, port);
	ck_assert_int_eq(curview_create(&fix->curview), 0);
	ck_assert_int_eq(node_create(&fix->node, &fix->set, clk_system(),
				     tblcache_wall_clock(), fix->curview),
			 0);
	ck_assert_int_eq(sync_register(fix->node), 0);
	ck_assert_int_eq(rpcs_start(fix_ip(), port, gate), 0);
}

void fix_node_set_list(struct fix_node *fix)
{
	node_offer_list(fix->node, fix_vms(1));
}

void fix_node_stop(struct fix_node *fix)
{
	rpcs_stop();
	node_destroy(fix->node);
	curview_destroy(fix->curview);
}

uint64_t fix_node_revision(struct ctl_agent *agent)
{
	struct ctl_view *view = ctl_agent_view(agent);
	const uint64_t revision = view ? view->tbl->revision : 0;

	ctl_view_put(view);
	return revision;
}
