/* pst-entryd: accepts callers' requests and forwards them to upstreams. */
#include <signal.h>
#include <stdlib.h>
#include <time.h>

#include <apr_general.h>
#include <curl/curl.h>

#include "agent/tkt_bind.h"
#include "common/admin.h"
#include "common/cli.h"
#include "common/err.h"
#include "common/evt.h"
#include "common/rpcs.h"
#include "entryd/frontend.h"

#define LOG_MODULE "entry.main"

/* Time in which callers that connected before the port closed are answered. */
#define REFUSE_TIME CLK_MS(300)

struct daemon {
	struct settings *set;
	const struct clk *clk;
	struct router_deps deps;
	struct tkt_bind *bind;
	struct router *router;
	struct frontend *frontend;
	struct admin *admin;
};

static bool allow_peer(void *ctx, struct str ip)
{
	const struct daemon *d = ctx;
	struct ctl_view *view;
	bool listed;

	if (str_eq(ip, d->set->vm.address) || rpcs_peer_listed(d->set, ip))
		return true;
	view = ctl_agent_view(d->deps.ctl);
	if (!view)
		return false;
	listed = vmlist_has_entry_address(view->vmlist, ip);
	ctl_view_put(view);
	return listed;
}

static int start_tickets(struct daemon *d)
{
	struct tkt_env env;
	int err = tkt_bind_create(&d->bind, d->set, d->clk, d->deps.ctl);

	if (err)
		return err;
	env = tkt_bind_env(d->bind);
	return tkt_agent_start(&d->deps.ticket, d->set, d->clk, &env,
			       router_on_ticket, d->router);
}

static int start_agents(struct daemon *d)
{
	const struct rpcs_filter gate = {.allow = allow_peer, .ctx = d};
	struct router_deps *p = &d->deps;
	int err = ctl_agent_start(&p->ctl, d->set, d->clk);

	if (!err)
		err = quota_agent_start(&p->quota, d->set, d->clk, p->ctl);
	if (!err)
		err = permit_agent_start(&p->permit, d->set, d->clk, p->ctl,
					 router_on_permit, d->router);
	if (!err)
		err = start_tickets(d);
	if (!err)
		err = rpcs_start(d->set->vm.address,
				 (uint16_t)d->set->entry.rpc_port, gate);
	return err;
}

static int start(struct daemon *d)
{
	int err = router_create(&d->router, d->set, d->clk);

	if (!err)
		err = start_agents(d);
	if (!err)
		err = forwarder_start(&d->deps.forwarder, d->set, d->clk,
				      d->deps.quota, d->router);
	if (!err)
		err = router_start(d->router, &d->deps);
	if (!err)
		err = admin_start(&d->admin, d->set,
				  (uint16_t)d->set->entry.admin_port);
	return err;
}

/*
 * Ticks until the given time, until one of the signals arrives or, if
 * until_idle is set, until no request is in progress. Returns the signal or 0.
 */
static int tick_until(struct daemon *d, const sigset_t *signals,
		      apr_time_t until, bool until_idle)
{
	const struct timespec tick = {
		.tv_nsec = ROUTER_TICK * 1000,
	};

	while (clk_now(d->clk) < until) {
		const int got = sigtimedwait(signals, NULL, &tick);

		if (got > 0)
			return got;
		router_tick(d->router);
		if (until_idle && !router_in_progress(d->router))
			return 0;
	}
	return 0;
}

/*
 * Keeps serving for the grace period, in which callers with old look-up answers
 * still arrive; then closes the port, refuses what still comes on connections
 * that it has accepted, and finishes the requests in progress. A second signal
 * ends the grace period and skips the rest.
 */
static void drain(struct daemon *d, const sigset_t *signals)
{
	const apr_time_t began = clk_now(d->clk);
	const apr_interval_time_t grace = CLK_MS(d->set->entry.leave_grace_ms);

	evt_log(ENTRY_LEAVING, "in_progress=%zu grace_ms=%llu",
		router_in_progress(d->router),
		(unsigned long long)d->set->entry.leave_grace_ms);
	ctl_agent_announce(d->deps.ctl, TABLE_SERVES_LEAVING);
	frontend_drain(d->frontend);
	if (!tick_until(d, signals, began + grace, false)) {
		router_refuse_new(d->router);
		frontend_close_port(d->frontend);
		tick_until(d, signals, clk_now(d->clk) + REFUSE_TIME, false);
		tick_until(d, signals, INT64_MAX, true);
		tkt_agent_drain(d->deps.ticket);
	}
	evt_log(PROCESS_EXIT, "program=pst-entryd drain_ms=%lld",
		(long long)(clk_now(d->clk) - began) / 1000);
}

static void stop(struct daemon *d)
{
	if (d->frontend)
		frontend_stop(d->frontend);
	rpcs_stop();
	forwarder_stop(d->deps.forwarder);
	tkt_agent_stop(d->deps.ticket);
	tkt_bind_destroy(d->bind);
	permit_agent_stop(d->deps.permit);
	quota_agent_stop(d->deps.quota);
	router_stop(d->router);
	ctl_agent_stop(d->deps.ctl);
	router_destroy(d->router);
	admin_stop(d->admin);
}

/*
 * Opens the port for callers once the table is confirmed, so that a caller that
 * looked up this VM too early gets a refused connection rather than a refused
 * request. Returns 0, an error, or 1 if a signal arrived first.
 */
static int open_port(struct daemon *d, const sigset_t *signals)
{
	while (!ctl_agent_fresh(d->deps.ctl)) {
		if (tick_until(d, signals, clk_now(d->clk) + ROUTER_TICK,
			       false))
			return 1;
	}
	return frontend_start(&d->frontend, d->set, d->clk, d->router,
			      d->deps.forwarder, d->deps.ticket);
}

static int run(struct daemon *d)
{
	sigset_t signals;
	int err;

	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	signal(SIGPIPE, SIG_IGN);
	err = start(d);
	if (!err)
		err = open_port(d, &signals);
	if (err > 0) {
		evt_log(PROCESS_STOP, "program=pst-entryd reason=signal");
		stop(d);
		return CLI_EXIT_OK;
	}
	if (err) {
		evt_log(PROCESS_STOP, "program=pst-entryd reason=%s",
			err_name(err));
		return CLI_EXIT_UNAVAILABLE;
	}
	ctl_agent_announce(d->deps.ctl, TABLE_SERVES_ENTRY);
	evt_log(PROCESS_READY, "program=pst-entryd");
	tick_until(d, &signals, INT64_MAX, false);
	evt_log(PROCESS_STOP, "program=pst-entryd reason=signal");
	drain(d, &signals);
	stop(d);
	return CLI_EXIT_OK;
}

int main(int argc, char **argv)
{
	struct daemon d = {.clk = clk_system()};
	int status = CLI_EXIT_OK;

	if (cli_start("pst-entryd", "Carries callers' requests to upstreams.",
		      argc, argv, &d.set, &status) == CLI_DONE)
		return status;
	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	evt_log(PROCESS_START, "program=pst-entryd version=%s vm=%s",
		PST_VERSION, d.set->vm.id.ptr);
	status = run(&d);
	curl_global_cleanup();
	apr_terminate();
	settings_free(d.set);
	return status;
}
