/* pst-controld: the table, VM list, limits and permits of one VM. */
#include <signal.h>
#include <stdio.h>

#include <apr_general.h>
#include <curl/curl.h>

#include "common/admin.h"
#include "common/cli.h"
#include "common/err.h"
#include "common/evt.h"
#include "common/rpcs.h"
#include "controld/broker_svc.h"
#include "agent/tblcache.h"
#include "controld/list_task.h"
#include "controld/mark_task.h"
#include "controld/node.h"
#include "controld/peer_task.h"
#include "controld/lending_svc.h"
#include "controld/store_task.h"
#include "controld/sync.h"
#include "controld/vote_task.h"

#define LOG_MODULE "main"

#define PROGRAM	   "pst-controld"

#define US_PER_MS  1000

struct app {
	struct settings *set;
	const struct clk *clk;
	struct curview *curview;
	struct node *node;
	struct admin *admin;
	struct store_task *store;
	struct list_task *list;
	struct peer_task *peer;
	struct vote_task *vote;
	struct mark_task *mark;
	struct broker_svc *broker;
	struct lending_svc *shares;
	bool serving;
};

/*
 * Without a VM list a broker would refuse permits for lack of upstreams, and
 * callers would take that as final. Until there is a list only processes of the
 * own VM, which send hints on where to get it, are allowed.
 */
static bool allow(void *ctx, struct str ip)
{
	const struct app *app = ctx;
	const bool listed = rpcs_peer_listed(app->set, ip);

	if (str_eq(ip, app->set->vm.address))
		return true;
	if (node_has_list(app->node))
		return listed || node_lists_address(app->node, ip);
	if (listed)
		node_add_hint(app->node, ip);
	return false;
}

static int start_serving(struct app *app)
{
	const struct rpcs_filter gate = {.allow = allow, .ctx = app};
	const int err = rpcs_start(app->set->vm.address,
				   (uint16_t)app->set->control.rpc_port, gate);

	app->serving = !err;
	return err;
}

/* The order matters; stop() is the reverse. */
static int start(struct app *app)
{
	const struct settings *set = app->set;
	int err = curview_create(&app->curview);

	if (!err)
		err = node_create(&app->node, set, app->clk,
				  tblcache_wall_clock(), app->curview);
	if (!err)
		err = admin_start(&app->admin, set,
				  (uint16_t)set->control.admin_port);
	if (!err)
		err = sync_register(app->node);
	if (!err)
		err = broker_svc_start(&app->broker, set, app->clk,
				       app->curview);
	if (!err)
		err = lending_svc_start(&app->shares, set, app->clk,
					app->curview);
	if (!err)
		err = start_serving(app);
	if (!err)
		err = list_task_start(&app->list, set, app->node);
	if (!err)
		err = store_task_start(&app->store, set, app->clk, app->node);
	if (!err)
		err = peer_task_start(&app->peer, set, app->clk, app->node);
	if (!err)
		err = vote_task_start(&app->vote, set, app->clk, app->node);
	if (!err)
		err = mark_task_start(&app->mark, set, app->clk, app->node);
	return err;
}

static void stop(struct app *app)
{
	mark_task_stop(app->mark);
	vote_task_stop(app->vote);
	peer_task_stop(app->peer);
	store_task_stop(app->store);
	list_task_stop(app->list);
	if (app->serving)
		rpcs_stop();
	lending_svc_stop(app->shares);
	broker_svc_stop(app->broker);
	admin_stop(app->admin);
	node_destroy(app->node);
	curview_destroy(app->curview);
}

static int run(struct app *app, const sigset_t *signals)
{
	apr_time_t began;
	int signal = 0;
	const int err = start(app);

	if (err) {
		fprintf(stderr, PROGRAM ": %s\n", err_text(err));
		stop(app);
		return err == PST_ERR_IO ? CLI_EXIT_UNAVAILABLE
					 : CLI_EXIT_INTERNAL;
	}
	evt_log(PROCESS_READY, "program=" PROGRAM);
	sigwait(signals, &signal);
	began = clk_now(app->clk);
	evt_log(PROCESS_STOP, "program=" PROGRAM " reason=%s",
		signal == SIGTERM ? "SIGTERM" : "SIGINT");
	stop(app);
	evt_log(PROCESS_EXIT, "program=" PROGRAM " drain_ms=%lld",
		(long long)(clk_now(app->clk) - began) / US_PER_MS);
	return CLI_EXIT_OK;
}

int main(int argc, char **argv)
{
	struct app app = {.clk = clk_system()};
	sigset_t signals;
	int status;

	if (cli_start(PROGRAM, "Keeps the table and the VM list of one VM.",
		      argc, argv, &app.set, &status) == CLI_DONE)
		return status;
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	signal(SIGPIPE, SIG_IGN);
	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	evt_log(PROCESS_START, "program=" PROGRAM " version=%s vm=%.*s",
		PST_VERSION, STR_ARG(app.set->vm.id));
	status = run(&app, &signals);
	curl_global_cleanup();
	apr_terminate();
	evt_done();
	settings_free(app.set);
	return status;
}
