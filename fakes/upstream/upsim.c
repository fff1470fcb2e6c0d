#include "fakes/upstream/upsim.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/err.h"
#include "common/evt.h"
#include "fakes/upstream/answer.h"

#define LOG_MODULE	     "fake-upstream"

#define INJECTED_EXIT_STATUS 99

static const char *const fault_names[] = {
	"none", "die_before", "die_during", "die_after", "truncate",
	"late", "crossed",    "silence",    "lie",	 "slow",
	"shed", "error",      NULL,
};

TAILQ_HEAD(items, upsim_item);

struct upsim {
	struct evloop *loop;
	const struct upsim_config *config;
	struct key_journal *keys;
	struct items waiting;
	uint32_t waiting_count;
	uint32_t busy;
	apr_time_t started;
	bool draining;
	apr_time_t drain_began;
	apr_time_t last_arrival;
	uint64_t arrived_draining;
	uint64_t random;
	struct faultinj fault;
	/* Connections up to this number are silent permanently. */
	uint64_t silent_up_to;
	uint64_t newest_conn;
	uint64_t runs;
	uint64_t sheds;
	uint64_t cancelled;
	uint64_t expired;
	uint32_t max_busy;
	apr_time_t busy_since;
	uint64_t busy_us;
};

static uint64_t next_random(struct upsim *work)
{
	work->random ^= work->random << 13;
	work->random ^= work->random >> 7;
	work->random ^= work->random << 17;
	return work->random;
}

static void update_busy_time(struct upsim *work)
{
	const apr_time_t now = evloop_now(work->loop);

	work->busy_us += (uint64_t)(now - work->busy_since) * work->busy;
	work->busy_since = now;
}

/* The slow-down of a cold start: cold_factor at first, falling to 1. */
static double cold_factor(const struct upsim *work)
{
	const apr_interval_time_t age = evloop_now(work->loop) - work->started;
	const double left =
		1.0 - (double)age / ((double)work->config->cold_ms * 1000.0);

	if (!work->config->cold_ms || left <= 0)
		return 1.0;
	return 1.0 + left * (work->config->cold_factor - 1.0);
}

static apr_interval_time_t draw_run_time(struct upsim_item *item)
{
	struct upsim *work = item->work;
	double us = 1000.0 * (double)httpsrv_query_u64(item->req, "ms",
						       work->config->mean_ms);
	const double unit =
		((double)(next_random(work) >> 11) + 1.0) / 9007199254740993.0;

	if (work->config->vary)
		us *= -log(unit);
	us *= cold_factor(work);
	if (faultinj_take(&work->fault, UPSIM_FAULT_SLOW,
			  str_from_c(item->req->path)))
		us += 1000.0 * (double)work->fault.ms;
	return (apr_interval_time_t)us;
}

static void exit_on_fault(struct upsim_item *item, enum upsim_fault kind)
{
	struct upsim *work = item->work;

	if (!faultinj_take(&work->fault, (int)kind,
			   str_from_c(item->req->path)))
		return;
	evt_log(FAKE_DIE, "upstream=%s request_id=%.*s step=%s",
		work->config->id,
		STR_ARG(httpsrv_header(item->req, "X-Request-Id")),
		fault_names[kind]);
	_exit(INJECTED_EXIT_STATUS);
}

static bool is_silent(const struct upsim *work, const struct httpsrv_req *req)
{
	return req->conn_number <= work->silent_up_to;
}

static void start_run(struct upsim_item *item)
{
	struct upsim *work = item->work;
	const struct str key = httpsrv_header(item->req, "Idempotency-Key");

	exit_on_fault(item, UPSIM_FAULT_DIE_BEFORE);
	item->state = UPSIM_RUNNING;
	work->runs++;
	if (key.len)
		item->run = key_journal_add(work->keys, key);
	evt_log(FAKE_RUN, "upstream=%s request_id=%.*s key=%.*s busy=%u",
		work->config->id,
		STR_ARG(httpsrv_header(item->req, "X-Request-Id")),
		STR_ARG(key), work->busy);
	exit_on_fault(item, UPSIM_FAULT_DIE_DURING);
	evloop_timer_set(work->loop, &item->timer,
			 evloop_now(work->loop) + draw_run_time(item));
}

/*
 * Runs a complete request that has a slot, unless its client has gone or its
 * deadline has passed.
 */
static void start_if_ready(struct upsim_item *item)
{
	struct upsim *work = item->work;

	if (!item->complete || !item->has_slot || item->state == UPSIM_RUNNING)
		return;
	if (httpsrv_client_closed(item->req)) {
		work->cancelled++;
		httpsrv_abort(item->req);
		return;
	}
	if (item->deadline && item->deadline <= evloop_now(work->loop)) {
		work->expired++;
		item->state = UPSIM_READY;
		answer_shed(work, item->req, "deadline passed");
		return;
	}
	start_run(item);
}

static void take_slot(struct upsim_item *item)
{
	struct upsim *work = item->work;

	update_busy_time(work);
	work->busy++;
	if (work->busy > work->max_busy)
		work->max_busy = work->busy;
	item->has_slot = true;
	item->state = UPSIM_ARRIVING;
}

static void release_slot(struct upsim_item *item)
{
	struct upsim *work = item->work;
	struct upsim_item *next;

	if (!item->has_slot)
		return;
	update_busy_time(work);
	item->has_slot = false;
	work->busy--;
	next = TAILQ_FIRST(&work->waiting);
	if (!next)
		return;
	TAILQ_REMOVE(&work->waiting, next, link);
	work->waiting_count--;
	take_slot(next);
	start_if_ready(next);
}

static void on_timer(struct evloop_timer *timer)
{
	struct upsim_item *item =
		(struct upsim_item *)(void *)((char *)timer -
					      offsetof(struct upsim_item,
						       timer));
	struct upsim *work = item->work;
	const struct str path = str_from_c(item->req->path);

	if (item->state == UPSIM_RUNNING) {
		item->state = UPSIM_READY;
		exit_on_fault(item, UPSIM_FAULT_DIE_AFTER);
		if (faultinj_take(&work->fault, UPSIM_FAULT_LATE, path)) {
			evloop_timer_set(work->loop, &item->timer,
					 evloop_now(work->loop) +
						 CLK_MS(work->fault.ms));
			return;
		}
	}
	if (is_silent(work, item->req) ||
	    faultinj_take(&work->fault, UPSIM_FAULT_SILENCE, path)) {
		release_slot(item);
		return;
	}
	upsim_send(item, &work->fault);
}

static bool is_control_path(const char *path)
{
	return !strcmp(path, "/load") || !strncmp(path, "/fake/", 6);
}

/* Returns the reason for refusing a new request, or NULL. */
static const char *refusal_reason(struct upsim *work,
				  const struct httpsrv_req *req)
{
	if (work->draining)
		return "draining";
	if (faultinj_take(&work->fault, UPSIM_FAULT_SHED,
			  str_from_c(req->path)))
		return "ordered";
	if (work->busy >= work->config->slots &&
	    work->waiting_count >= work->config->queue)
		return "full";
	return NULL;
}

static struct upsim_item *make_item(struct upsim *work, struct httpsrv_req *req)
{
	struct upsim_item *item = calloc(1, sizeof(*item));
	uint64_t ms;

	if (!item)
		return NULL;
	item->work = work;
	item->req = req;
	item->timer.fire = on_timer;
	item->digest = dig_start();
	if (!str_to_u64(httpsrv_header(req, "X-Deadline-Ms"), &ms))
		item->deadline = evloop_now(work->loop) + CLK_MS(ms);
	req->user = item;
	return item;
}

static void on_head(void *ctx, struct httpsrv_req *req)
{
	struct upsim *work = ctx;
	struct upsim_item *item;
	const char *reason;

	if (req->conn_number > work->newest_conn)
		work->newest_conn = req->conn_number;
	if (is_control_path(req->path) || is_silent(work, req))
		return;
	if (work->draining) {
		work->arrived_draining++;
		work->last_arrival = evloop_now(work->loop);
	}
	reason = refusal_reason(work, req);
	if (reason) {
		work->sheds++;
		answer_shed(work, req, reason);
		return;
	}
	item = make_item(work, req);
	if (!item) {
		httpsrv_abort(req);
		return;
	}
	if (work->busy < work->config->slots) {
		take_slot(item);
		return;
	}
	item->state = UPSIM_WAITING;
	work->waiting_count++;
	TAILQ_INSERT_TAIL(&work->waiting, item, link);
}

static void append_control_body(struct httpsrv_req *req, const char *data,
				size_t len)
{
	char *grown = realloc(req->body, req->body_len + len);

	if (!grown)
		return;
	memcpy(grown + req->body_len, data, len);
	req->body = grown;
	req->body_len += len;
}

static void on_body(void *ctx, struct httpsrv_req *req, const char *data,
		    size_t len)
{
	struct upsim_item *item = req->user;

	(void)ctx;
	if (!item) {
		append_control_body(req, data, len);
		return;
	}
	item->received += len;
	dig_add(item->digest, data, len);
}

static void on_request(void *ctx, struct httpsrv_req *req)
{
	struct upsim_item *item = req->user;

	if (is_silent(ctx, req))
		return;
	if (!item) {
		if (!answer_control(ctx, req))
			httpsrv_abort(req);
		return;
	}
	item->complete = true;
	dig_finish(item->digest, item->received_digest);
	item->digest = NULL;
	start_if_ready(item);
}

static void on_end(void *ctx, struct httpsrv_req *req, bool whole)
{
	struct upsim_item *item = req->user;

	(void)ctx;
	(void)whole;
	if (!item)
		return;
	if (item->state == UPSIM_WAITING) {
		TAILQ_REMOVE(&item->work->waiting, item, link);
		item->work->waiting_count--;
	}
	evloop_timer_clear(item->work->loop, &item->timer);
	release_slot(item);
	dig_free(item->digest);
	free(item);
}

static const struct httpsrv_ops ops = {
	.head = on_head,
	.body = on_body,
	.request = on_request,
	.end = on_end,
};

const struct httpsrv_ops *upsim_ops(void)
{
	return &ops;
}

int upsim_create(struct upsim **out, struct evloop *loop,
		 const struct upsim_config *config, struct key_journal *keys)
{
	struct upsim *work = calloc(1, sizeof(*work));

	if (!work)
		return PST_ERR_NOMEM;
	work->loop = loop;
	work->config = config;
	work->keys = keys;
	work->started = evloop_now(loop);
	work->busy_since = work->started;
	work->random = config->seed * 2 + 1;
	TAILQ_INIT(&work->waiting);
	*out = work;
	return 0;
}

const struct upsim_config *upsim_config(const struct upsim *work)
{
	return work->config;
}

struct key_journal *upsim_keys(struct upsim *work)
{
	return work->keys;
}

struct upsim_load upsim_load(struct upsim *work)
{
	struct upsim_load load = {
		.utilization = (double)work->busy / (double)work->config->slots,
		.draining = work->draining,
		.cold = cold_factor(work) > 1.0,
	};

	if (faultinj_take(&work->fault, UPSIM_FAULT_LIE, STR_LIT("")))
		load.utilization = 0;
	return load;
}

json_t *upsim_stats(struct upsim *work)
{
	const apr_interval_time_t last =
		work->arrived_draining ? work->last_arrival - work->drain_began
				       : -1;

	update_busy_time(work);
	return json_pack(
		"{s:s,s:i,s:i,s:i,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I}", "upstream",
		work->config->id, "busy", (int)work->busy, "max_busy",
		(int)work->max_busy, "waiting", (int)work->waiting_count,
		"runs", (json_int_t)work->runs, "sheds",
		(json_int_t)work->sheds, "cancelled",
		(json_int_t)work->cancelled, "expired",
		(json_int_t)work->expired, "busy_us", (json_int_t)work->busy_us,
		"age_us", (json_int_t)(evloop_now(work->loop) - work->started),
		"arrived_draining", (json_int_t)work->arrived_draining,
		"last_arrival_draining_us", (json_int_t)last);
}

int upsim_set_fault(struct upsim *work, struct str json)
{
	struct faultinj fault;
	const int err = faultinj_parse(json, fault_names, &fault);

	if (err)
		return err;
	evt_log(FAKE_FAULT_SET, "kind=%s count=%lld ms=%llu",
		fault_names[fault.kind], (long long)fault.count,
		(unsigned long long)fault.ms);
	work->fault = fault;
	if (fault.kind != UPSIM_FAULT_SILENCE ||
	    !str_eq(strbuf_str(&fault.scope), STR_LIT("existing")))
		return 0;
	work->silent_up_to = work->newest_conn;
	work->fault.kind = UPSIM_FAULT_NONE;
	return 0;
}

void upsim_set_drain(struct upsim *work, bool on)
{
	evt_log(FAKE_DRAIN, "upstream=%s on=%d busy=%u queued=%u",
		work->config->id, on, work->busy, work->waiting_count);
	work->draining = on;
	work->drain_began = evloop_now(work->loop);
	work->arrived_draining = 0;
}
