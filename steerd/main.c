/* pst-steerd: the entry VM's process on a platform with a metadata store. */
#include <signal.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <unistd.h>

#include <apr_general.h>
#include <curl/curl.h>

#include "common/cli.h"
#include "common/err.h"
#include "common/evt.h"
#include "platform/plt_bounds.h"
#include "platform/plt_codec.h"
#include "steerd/endpoint.h"
#include "steerd/feed.h"
#include "steerd/flow.h"
#include "steerd/self.h"
#include "steerd/state.h"
#include "steerd/stoplog.h"

#define LOG_MODULE "steerd"

/* Round-trip time to another region before one was measured. */
#define DEFAULT_RTT_US 50000

/* Time between two checks whether the process may exit. */
#define STOP_CHECK_INTERVAL_S 0.05

/*
 * Longest time after a start in which callers wait for the table instead of
 * being refused: callers turn to another VM when one reads nothing for a
 * second.
 */
#define START_WAIT_S 0.8

/* Time between two writes of the log. */
#define LOG_INTERVAL_S 0.2

/* Time between two checks of the settings file. */
#define STAT_INTERVAL_S 2.0

/* Descriptors that are kept for files and for the process itself. */
#define RESERVED_DESCRIPTORS 300

/* Connections of other VMs that follow the store through this one. */
#define MAX_PEER_CONNS 512

/* Limits until a manifest sets others. */
#define DEFAULT_MAX_HEADER_BYTES 16384
#define DEFAULT_MAX_BODY_BYTES	 67108864

struct steerd {
	struct st st;
	struct self self;
	struct ev_signal term;
	struct ev_signal intr;
	struct ev_signal hup;
	struct ev_timer start_timer;
	struct ev_timer stop_timer;
	struct ev_timer log_timer;
	struct ev_timer stat_timer;
	/* The settings file's status when it was last read. */
	struct stat settings_stat;
};

bool st_nearly_ready(const struct st *st)
{
	return st->routing && st->upstreams_known && !st->stopping;
}

bool st_ready(const struct st *st)
{
	return st_nearly_ready(st) && st->table_known;
}

struct shutdown st_shutdown(const struct st *st)
{
	return (struct shutdown){
		.elapsed = clk_now(st->clk) - st->stopping_since,
		.grace = CLK_SEC(st->set->bounds.grace_s),
	};
}

bool st_would_cut(const struct st *st, apr_interval_time_t expected)
{
	struct shutdown shutdown;

	if (!st->stopping)
		return false;
	shutdown = st_shutdown(st);
	return !shutdown_admits(&shutdown, expected);
}

const struct vmset *st_settled_vms(struct st *st)
{
	if (st->downtime.store_unavailable)
		return NULL;
	vmset_update(&st->settled, &st->vms, st->vms_changed_at,
		     clk_now(st->clk));
	return &st->settled;
}

void st_store_call_ended(struct st *st, int err)
{
	/* With these errors the store did answer. */
	const bool failed = err && err != PST_ERR_NOTFOUND &&
			    err != PST_ERR_STALE && err != PST_ERR_CONFLICT;
	const bool back =
		downtime_record_call(&st->downtime, failed, clk_now(st->clk));

	if (back)
		relaytree_store_back(&st->relaytree, st->downtime.ended_at);
	if (back && st->feeds)
		feed_resume_all(st->feeds);
	else if (!failed && st->feeds)
		feed_wake_waiting(st->feeds);
}

/* The client for a relay; NULL while the client for another is in use. */
static struct plt_store *relay_client(struct st *st, const struct vms_entry *vm)
{
	const struct str addr = strbuf_str(&vm->peer);

	if (st->relay && str_eq(plt_store_addr(st->relay), addr))
		return st->relay;
	/* The caller may be a callback of the old client: freed later. */
	if (st->previous_relay || (st->relay && plt_store_busy(st->relay)))
		return NULL;
	st->previous_relay = st->relay;
	st->relay = NULL;
	if (plt_store_new(&st->relay, st->loop, addr, &plt_store_relay))
		return NULL;
	evt_log(RELAY_TAKEN, "relay=%s address=%.*s", vm->id.ptr,
		STR_ARG(addr));
	return st->relay;
}

struct plt_store *st_relay(struct st *st)
{
	const struct vms_entry *vm =
		relaytree_choose(&st->relaytree, &st->vms, st->domain,
				 st->set->vm.id, clk_now(st->clk));

	return vm ? relay_client(st, vm) : NULL;
}

struct plt_store *st_fallback(struct st *st, bool searches)
{
	const struct vms_entry *vm = NULL;

	if (st->relaytree.fallback_works || searches)
		vm = relaytree_fallback(&st->relaytree, &st->vms,
					st->set->vm.id);
	return vm ? relay_client(st, vm) : NULL;
}

apr_time_t st_hold_until(const struct st *st)
{
	return downtime_hold_until(&st->downtime,
				   CLK_MS(st->set->bounds.leave_ms),
				   clk_now(st->clk));
}

static void prepare_server(struct st *st, struct srv *srv,
			   const struct srv_ops *ops, unsigned max_conns)
{
	srv->loop = st->loop;
	srv->clk = st->clk;
	srv->ops = ops;
	srv->ctx = st;
	srv->max_conns = max_conns;
	srv->outquota.limit = (size_t)st->set->steer.memory_mb << 17;
	srv->max_held = (size_t)st->set->steer.memory_mb << 18;
	srv->limits = (struct routing_limits){
		.max_header = DEFAULT_MAX_HEADER_BYTES,
		.max_body = DEFAULT_MAX_BODY_BYTES,
		.header_timeout = CLK_SEC(3),
		.idle_timeout = CLK_SEC(15),
	};
}

static int start_server(struct st *st, struct srv *srv, struct str addr,
			const struct srv_ops *ops, unsigned max_conns)
{
	struct sockaddr_in sin;
	int err;

	if (!addr.len)
		return 0;
	prepare_server(st, srv, ops, max_conns);
	err = plt_read_addr(addr, &sin);
	if (!err)
		err = srv_listen(srv, &sin);
	if (err)
		evt_log(LISTEN_FAILED, "address=%.*s error=%s", STR_ARG(addr),
			err_name(err));
	return err;
}

static void on_dropped(void *ctx, struct up *up)
{
	(void)ctx;
	upclient_close_idle(up);
}

static int start_servers(struct st *st)
{
	const struct set_steer *set = &st->set->steer;
	const unsigned conns =
		(unsigned)(set->descriptors - RESERVED_DESCRIPTORS) / 2;
	char addr[64];
	int err;

	snprintf(addr, sizeof(addr), "%.*s:%u", STR_ARG(st->set->vm.address),
		 (unsigned)set->metrics_port);
	err = start_server(st, &st->front, set->front, &flow_ops, conns);
	if (!err)
		err = start_server(st, &st->ready, set->ready, &endpoint_ready,
				   64);
	if (!err)
		err = start_server(st, &st->directory, set->directory,
				   &endpoint_directory, 256);
	if (!err && set->metrics_port)
		err = start_server(st, &st->metrics, str_from_c(addr),
				   &endpoint_ready, 16);
	/* The front accepts once there is a table; see state_start(). */
	srv_accept(&st->ready);
	srv_accept(&st->directory);
	srv_accept(&st->metrics);
	return err;
}

static void on_start_wait(struct ev_loop *loop, struct ev_timer *timer,
			  int events)
{
	struct steerd *steerd = timer->data;

	(void)loop;
	(void)events;
	srv_accept(&steerd->st.front);
}

static int start(struct steerd *steerd)
{
	struct st *st = &steerd->st;
	const struct settings *set = st->set;
	int err = geo_parse(&st->geo, set->steer.domains,
			    set->steer.domains_count);

	if (err)
		return err;
	st->domain = geo_domain(&st->geo, set->vm.failure_domain);
	st->region = geo_region_of(&st->geo, st->domain);
	if (st->region < 0)
		return PST_ERR_INVALID;
	for (int r = 0; r < st->geo.region_count; r++)
		st->region_rtt[r] = r == st->region ? 0 : DEFAULT_RTT_US;
	registry_init(&st->registry, st->pool, &st->geo);
	st->registry.dropped = on_dropped;
	st->registry.ctx = st;
	st->upclient = (struct upclient){
		.loop = st->loop,
		.clk = st->clk,
		.region_rtt = st->region_rtt,
		.max_total_conns = (unsigned)(set->steer.descriptors -
					      RESERVED_DESCRIPTORS) /
				   2,
		.max_head = 65536,
		.max_body = (size_t)set->steer.memory_mb << 18,
		.quota.limit = (size_t)set->steer.memory_mb << 18,
	};
	upclient_init(&st->upclient);
	err = plt_store_new(&st->store, st->loop, set->steer.store,
			    &plt_store_direct);
	if (!err)
		err = start_servers(st);
	st->self = &steerd->self;
	steerd->self.st = st;
	relaytree_init(&st->relaytree, clk_now(st->clk));
	/* state_start() sets the operations and the address. */
	prepare_server(st, &st->peers, NULL, MAX_PEER_CONNS);
	if (!err)
		err = state_start(st);
	if (err)
		return err;
	self_start(&steerd->self);
	ev_timer_init(&steerd->start_timer, on_start_wait, START_WAIT_S, 0);
	steerd->start_timer.data = steerd;
	ev_timer_start(st->loop, &steerd->start_timer);
	return 0;
}

static void on_log(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	(void)loop;
	(void)timer;
	(void)events;
	evt_flush();
}

static void on_stop_check(struct ev_loop *loop, struct ev_timer *timer,
			  int events)
{
	struct steerd *steerd = timer->data;
	struct st *st = &steerd->st;
	const struct shutdown shutdown = st_shutdown(st);

	(void)events;
	if (shutdown_accepts(&shutdown))
		return;
	if (st->front.listening)
		stoplog_drain(&st->front);
	srv_stop_accept(&st->front);
	srv_drain(&st->front);
	if (st->front.conn_count && !shutdown_is_over(&shutdown))
		return;
	ev_break(loop, EVBREAK_ALL);
}

static void on_term(struct ev_loop *loop, struct ev_signal *signal, int events)
{
	struct steerd *steerd = signal->data;
	struct st *st = &steerd->st;
	const bool ready = st_ready(st);

	(void)events;
	if (st->stopping)
		return;
	st->stopping = true;
	st->stopping_since = clk_now(st->clk);
	st->front.stopping = true;
	st->ready.stopping = true;
	st->directory.stopping = true;
	st->metrics.stopping = true;
	evt_log(PROCESS_STOP,
		"program=pst-steerd reason=signal requests=%u connections=%u "
		"ready=%d accepting=%d",
		st->front.req_count, st->front.conn_count, ready,
		ev_is_active(&st->front.accept_io));
	self_leave(&steerd->self);
	ev_timer_init(&steerd->stop_timer, on_stop_check, STOP_CHECK_INTERVAL_S,
		      STOP_CHECK_INTERVAL_S);
	steerd->stop_timer.data = steerd;
	ev_timer_start(loop, &steerd->stop_timer);
}

/* Applies the settings that may change at run time: the users' bounds. */
static void reload(struct steerd *steerd)
{
	struct settings_problem problem = {0};
	struct settings *set;
	const int err = settings_load(cli_settings_file(), &set, &problem);

	if (err) {
		evt_log(SETTINGS_KEPT, "error=%s key=%s line=%zu",
			err_name(err), problem.key, problem.line);
		return;
	}
	plt_apply_bounds(set->steer.platform_bounds, &set->bounds);
	steerd->st.set->bounds = set->bounds;
	evt_log(SETTINGS_TAKEN, "leave_ms=%llu",
		(unsigned long long)set->bounds.leave_ms);
	settings_free(set);
}

static void on_hup(struct ev_loop *loop, struct ev_signal *signal, int events)
{
	(void)loop;
	(void)events;
	reload(signal->data);
}

/* Reloads the settings file if it changed without a signal. */
static void on_stat(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct steerd *steerd = timer->data;
	struct stat now;

	(void)loop;
	(void)events;
	if (stat(cli_settings_file(), &now) ||
	    (now.st_mtim.tv_sec == steerd->settings_stat.st_mtim.tv_sec &&
	     now.st_mtim.tv_nsec == steerd->settings_stat.st_mtim.tv_nsec &&
	     now.st_size == steerd->settings_stat.st_size))
		return;
	steerd->settings_stat = now;
	reload(steerd);
}

/* Blocks or unblocks the signals that are handled. */
static void mask_signals(int how)
{
	sigset_t set;

	sigemptyset(&set);
	sigaddset(&set, SIGTERM);
	sigaddset(&set, SIGINT);
	sigaddset(&set, SIGHUP);
	sigprocmask(how, &set, NULL);
}

static void watch_signals(struct steerd *steerd)
{
	struct ev_loop *loop = steerd->st.loop;

	ev_signal_init(&steerd->term, on_term, SIGTERM);
	ev_signal_init(&steerd->intr, on_term, SIGINT);
	ev_signal_init(&steerd->hup, on_hup, SIGHUP);
	steerd->term.data = steerd;
	steerd->intr.data = steerd;
	steerd->hup.data = steerd;
	ev_signal_start(loop, &steerd->term);
	ev_signal_start(loop, &steerd->intr);
	ev_signal_start(loop, &steerd->hup);
	mask_signals(SIG_UNBLOCK);
	ev_timer_init(&steerd->log_timer, on_log, LOG_INTERVAL_S,
		      LOG_INTERVAL_S);
	ev_timer_start(loop, &steerd->log_timer);
	stat(cli_settings_file(), &steerd->settings_stat);
	ev_timer_init(&steerd->stat_timer, on_stat, STAT_INTERVAL_S,
		      STAT_INTERVAL_S);
	steerd->stat_timer.data = steerd;
	ev_timer_start(loop, &steerd->stat_timer);
}

static int run(struct steerd *steerd)
{
	struct st *st = &steerd->st;
	int err;

	apr_initialize();
	apr_pool_create(&st->pool, NULL);
	curl_global_init(CURL_GLOBAL_ALL);
	st->loop = ev_default_loop(0);
	st->clk = clk_system();
	evt_buffer(STDOUT_FILENO);
	watch_signals(steerd);
	err = start(steerd);
	if (err) {
		evt_log(PROCESS_STOP, "program=pst-steerd reason=%s",
			err_name(err));
		evt_flush();
		return CLI_EXIT_UNAVAILABLE;
	}
	evt_log(PROCESS_READY, "program=pst-steerd vm=%.*s domain=%.*s",
		STR_ARG(st->set->vm.id), STR_ARG(st->set->vm.failure_domain));
	ev_run(st->loop, 0);
	srv_close(&st->front);
	/* Leaves room for the last line. */
	evt_flush();
	stoplog_exit(st);
	evt_flush();
	return CLI_EXIT_OK;
}

int main(int argc, char **argv)
{
	static struct steerd steerd;
	int status;

	/* A process that is told to stop while it starts stops as planned. */
	mask_signals(SIG_BLOCK);
	if (cli_start("pst-steerd",
		      "Steers requests on a platform with a metadata store.",
		      argc, argv, &steerd.st.set, &status) == CLI_DONE)
		return status;
	plt_apply_bounds(steerd.st.set->steer.platform_bounds,
			 &steerd.st.set->bounds);
	return run(&steerd);
}
