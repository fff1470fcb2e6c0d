#include "steerd/endpoint.h"

#include <stdlib.h>

#include "common/ctr.h"
#include "common/evt.h"
#include "platform/plt_lookup.h"
#include "steerd/upstats.h"

#define LOG_MODULE "asks"

#define JSON_FIELD "Content-Type: application/json\r\n"
#define TEXT_FIELD "Content-Type: text/plain; version=0.0.4\r\n"

static void send_empty(struct srv_req *req, unsigned status, struct str reason)
{
	srv_answer(req, status, reason, STR_LIT(""), STR_LIT(""));
}

static void answer_lookup(struct st *st, struct srv_req *req,
			  const struct plt_lookup *lookup)
{
	struct strbuf addrs[VMS_MAX_ANSWER];
	struct buf body = {0};
	const int domain = geo_domain(&st->geo, strbuf_str(&lookup->domain));
	int region = geo_region(&st->geo, strbuf_str(&lookup->region));
	size_t count;

	if (region < 0)
		region = geo_region_of(&st->geo, domain);
	count = vms_choose(&st->vms, domain, region, (uint64_t)clk_now(st->clk),
			   clk_now(st->clk), addrs);
	if (!count || plt_put_lookup(&body, addrs, count,
				     (unsigned)st->set->bounds.resolve_ttl_s)) {
		evt_log(LOOKUP_EMPTY, "vms=%zu", st->vms.count);
		send_empty(req, 503, STR_LIT("Service Unavailable"));
	} else {
		srv_answer(req, 200, STR_LIT("OK"), STR_LIT(JSON_FIELD),
			   buf_str(&body));
	}
	buf_free(&body);
}

static void on_directory(void *ctx, struct srv_req *req)
{
	struct st *st = ctx;
	struct plt_lookup lookup;

	if (plt_read_lookup(msg_target(&req->msg), &lookup))
		send_empty(req, 404, STR_LIT("Not Found"));
	else
		answer_lookup(st, req, &lookup);
}

static void answer_metrics(const struct st *st, struct srv_req *req)
{
	size_t len = 0;
	char *text = ctr_render(&len);
	struct buf body = {0};

	if (!text || buf_add(&body, (struct str){.ptr = text, .len = len}) ||
	    upstats_put_gauges(st, &body))
		send_empty(req, 503, STR_LIT("Service Unavailable"));
	else
		srv_answer(req, 200, STR_LIT("OK"), STR_LIT(TEXT_FIELD),
			   buf_str(&body));
	buf_free(&body);
	free(text);
}

static void on_ready(void *ctx, struct srv_req *req)
{
	struct st *st = ctx;
	const struct str target = msg_target(&req->msg);

	if (plt_is_readiness_check(target)) {
		if (st_ready(st))
			send_empty(req, 200, STR_LIT("OK"));
		else
			send_empty(req, 503, STR_LIT("Service Unavailable"));
	} else if (str_eq(target, STR_LIT("/metrics"))) {
		answer_metrics(st, req);
	} else {
		send_empty(req, 404, STR_LIT("Not Found"));
	}
}

/* Requests are answered at once, so there is nothing to cancel. */
static void on_gone(void *ctx, struct srv_req *req, enum srv_end end)
{
	(void)ctx;
	(void)req;
	(void)end;
}

const struct srv_ops endpoint_directory = {
	.request = on_directory,
	.gone = on_gone,
};

const struct srv_ops endpoint_ready = {
	.request = on_ready,
	.gone = on_gone,
};
