#include "entryd/forwarder.h"

#include <stdlib.h>

#include <apr_hash.h>
#include <apr_queue.h>

#include "common/err.h"
#include "common/evt.h"
#include "entryd/router.h"
#include "entryd/xfer.h"

#define LOG_MODULE "entry.upstream"

/* Capacity of the queue: commands per request, and others. */
#define COMMANDS_PER_REQUEST 6
#define SPARE_COMMANDS	     64

/* Time-out of the poll while a transfer is throttled, and otherwise. */
#define POLL_THROTTLED_MS 5
#define POLL_MS		  50

enum command_kind {
	CMD_SEND,
	CMD_CANCEL,
	CMD_RESUME,
	CMD_STOP,
};

struct command {
	enum command_kind kind;
	struct req *req;
	struct forwarder_target target;
};

/*
 * Counts how often an upstream's connections were abandoned. Transfers use only
 * connections of the current count.
 */
struct generation {
	struct strbuf upstream;
	unsigned count;
};

struct forwarder {
	struct xfer_env env;
	apr_pool_t *pool;
	apr_queue_t *commands;
	apr_hash_t *generations;
	CURLM *multi;
	struct xfer *active;
	pthread_t thread;
};

static void post(struct forwarder *forwarder, enum command_kind kind,
		 struct req *req, const struct forwarder_target *target)
{
	struct command *command = calloc(1, sizeof(*command));

	if (!command)
		abort();
	command->kind = kind;
	command->req = req;
	if (target)
		command->target = *target;
	if (req)
		req_get(req);
	if (apr_queue_push(forwarder->commands, command) != APR_SUCCESS) {
		if (req)
			req_put(req);
		free(command);
		return;
	}
	curl_multi_wakeup(forwarder->multi);
}

static struct generation *generation_of(struct forwarder *forwarder,
					const struct strbuf *upstream)
{
	struct generation *g = apr_hash_get(forwarder->generations,
					    upstream->ptr, upstream->len);

	if (g)
		return g;
	g = apr_pcalloc(forwarder->pool, sizeof(*g));
	g->upstream = *upstream;
	apr_hash_set(forwarder->generations, g->upstream.ptr, g->upstream.len,
		     g);
	return g;
}

static void unlink_xfer(struct forwarder *forwarder, struct xfer *x)
{
	struct xfer **at = &forwarder->active;

	while (*at && *at != x)
		at = &(*at)->next;
	if (*at)
		*at = x->next;
	if (x->started)
		curl_multi_remove_handle(forwarder->multi, x->easy);
	x->req->transfer = NULL;
}

static bool replayable(struct req *req)
{
	bool ok;

	pthread_mutex_lock(&req->lock);
	ok = pipe_can_rewind(&req->body) && !req->body.broken;
	if (ok)
		pipe_rewind(&req->body);
	pthread_mutex_unlock(&req->lock);
	return ok;
}

static void end_xfer(struct forwarder *forwarder, struct xfer *x,
		     enum reqstate_result result)
{
	struct req *req = x->req;
	const bool again = result != REQSTATE_RESULT_WHOLE && replayable(req);

	unlink_xfer(forwarder, x);
	if (result == REQSTATE_RESULT_WHOLE)
		xfer_complete(x);
	router_attempt_ended(forwarder->env.router, req, result, again,
			     x->status);
	xfer_destroy(x);
}

/* Starts a transfer, unless the limit of its link has no room yet. */
static void try_start(struct forwarder *forwarder, struct xfer *x)
{
	if (x->started)
		return;
	x->throttled = !xfer_take_link_bytes(x);
	if (x->throttled)
		return;
	x->started = true;
	curl_multi_add_handle(forwarder->multi, x->easy);
}

static void start_xfer(struct forwarder *forwarder, struct command *command)
{
	const struct generation *g =
		generation_of(forwarder, &command->target.upstream);
	struct xfer *x = NULL;
	const int err = xfer_create(&x, &forwarder->env, command->req,
				    &command->target, g->count);

	if (err) {
		router_attempt_ended(forwarder->env.router, command->req,
				     REQSTATE_RESULT_NOT_SENT,
				     replayable(command->req), 0);
		return;
	}
	x->next = forwarder->active;
	forwarder->active = x;
	command->req->transfer = x;
	try_start(forwarder, x);
}

static void cancel_xfer(struct forwarder *forwarder, struct req *req)
{
	struct xfer *x = req->transfer;

	if (!x)
		return;
	unlink_xfer(forwarder, x);
	xfer_destroy(x);
}

/* Returns true if the thread must stop. */
static bool execute(struct forwarder *forwarder, struct command *command)
{
	switch (command->kind) {
	case CMD_SEND:
		start_xfer(forwarder, command);
		break;
	case CMD_CANCEL:
		cancel_xfer(forwarder, command->req);
		break;
	case CMD_RESUME:
		command->req->resume_queued = false;
		if (command->req->transfer)
			xfer_resume(command->req->transfer);
		break;
	case CMD_STOP:
		return true;
	}
	return false;
}

static bool execute_all(struct forwarder *forwarder)
{
	void *item = NULL;
	bool stop = false;

	while (apr_queue_trypop(forwarder->commands, &item) == APR_SUCCESS) {
		struct command *command = item;

		stop = execute(forwarder, command) || stop;
		if (command->req)
			req_put(command->req);
		free(command);
	}
	return stop;
}

static void collect_finished(struct forwarder *forwarder)
{
	CURLMsg *msg;
	int left;

	while ((msg = curl_multi_info_read(forwarder->multi, &left))) {
		const CURLcode code = msg->data.result;
		struct xfer *x = NULL;

		if (msg->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &x);
		end_xfer(forwarder, x, xfer_conclude(x, code));
	}
}

/*
 * Whether a silent attempt may be ended. An answer to a request that must not
 * run twice is waited for.
 */
static bool may_time_out(const struct xfer *x)
{
	return x->req->idempotent || x->head_published ||
	       (x->req->body_length && !x->req->body.closed);
}

static void end_silent(struct forwarder *forwarder, struct xfer *x)
{
	const enum reqstate_result result = x->head_published
						    ? REQSTATE_RESULT_TRUNCATED
						    : REQSTATE_RESULT_SILENT;

	evt_log(UPSTREAM_SUSPECT, "upstream=%s req=%s", x->target.upstream.ptr,
		x->req->id.ptr);
	generation_of(forwarder, &x->target.upstream)->count++;
	end_xfer(forwarder, x, result);
}

/* The cause is the limit of the link, so the connections stay in use. */
static void end_starved(struct forwarder *forwarder, struct xfer *x)
{
	enum reqstate_result result = REQSTATE_RESULT_SILENT;

	if (!x->started)
		result = REQSTATE_RESULT_NOT_SENT;
	else if (x->head_published)
		result = REQSTATE_RESULT_TRUNCATED;
	evt_log(LINK_STARVED, "req=%s upstream=%s", x->req->id.ptr,
		x->target.upstream.ptr);
	end_xfer(forwarder, x, result);
}

/* Returns whether any transfer waits for the limit of a link. */
static bool check_transfers(struct forwarder *forwarder)
{
	const apr_time_t now = clk_now(forwarder->env.clk);
	bool throttled = false;
	struct xfer *next;

	for (struct xfer *x = forwarder->active; x; x = next) {
		next = x->next;
		if (!x->started)
			try_start(forwarder, x);
		else if (x->throttled)
			xfer_resume(x);
		throttled = throttled || x->throttled;
		if (xfer_starved(x, now))
			end_starved(forwarder, x);
		else if (xfer_silent(x, now) && may_time_out(x))
			end_silent(forwarder, x);
	}
	return throttled;
}

static void *run_transfers(void *arg)
{
	struct forwarder *forwarder = arg;
	int running = 0;

	while (!execute_all(forwarder)) {
		bool throttled;

		curl_multi_perform(forwarder->multi, &running);
		collect_finished(forwarder);
		throttled = check_transfers(forwarder);
		curl_multi_poll(forwarder->multi, NULL, 0,
				throttled ? POLL_THROTTLED_MS : POLL_MS, NULL);
	}
	while (forwarder->active)
		cancel_xfer(forwarder, forwarder->active->req);
	return NULL;
}

int forwarder_start(struct forwarder **out, const struct settings *set,
		    const struct clk *clk, struct quota_agent *quota,
		    struct router *router)
{
	const unsigned capacity =
		(unsigned)set->entry.max_requests * COMMANDS_PER_REQUEST +
		SPARE_COMMANDS;
	struct forwarder *forwarder = calloc(1, sizeof(*forwarder));

	if (!forwarder)
		return PST_ERR_NOMEM;
	forwarder->env = (struct xfer_env){
		.set = set,
		.clk = clk,
		.quota = quota,
		.router = router,
	};
	apr_pool_create(&forwarder->pool, NULL);
	forwarder->generations = apr_hash_make(forwarder->pool);
	forwarder->multi = curl_multi_init();
	if (!forwarder->multi ||
	    apr_queue_create(&forwarder->commands, capacity, forwarder->pool) !=
		    APR_SUCCESS)
		goto fail;
	curl_multi_setopt(forwarder->multi, CURLMOPT_MAXCONNECTS,
			  (long)XFER_MAX_IDLE_CONNECTIONS);
	if (pthread_create(&forwarder->thread, NULL, run_transfers, forwarder))
		goto fail;
	*out = forwarder;
	return 0;
fail:
	if (forwarder->multi)
		curl_multi_cleanup(forwarder->multi);
	apr_pool_destroy(forwarder->pool);
	free(forwarder);
	return PST_ERR_HTTP;
}

void forwarder_stop(struct forwarder *forwarder)
{
	post(forwarder, CMD_STOP, NULL, NULL);
	pthread_join(forwarder->thread, NULL);
	curl_multi_cleanup(forwarder->multi);
	apr_pool_destroy(forwarder->pool);
	free(forwarder);
}

void forwarder_send(struct forwarder *forwarder, struct req *req,
		    const struct forwarder_target *target)
{
	post(forwarder, CMD_SEND, req, target);
}

void forwarder_cancel(struct forwarder *forwarder, struct req *req)
{
	post(forwarder, CMD_CANCEL, req, NULL);
}

void forwarder_resume(struct forwarder *forwarder, struct req *req)
{
	if (!atomic_exchange(&req->resume_queued, true))
		post(forwarder, CMD_RESUME, req, NULL);
}
