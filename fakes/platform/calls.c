#include "fakes/platform/calls.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/err.h"
#include "common/evt.h"
#include "fakes/fault.h"
#include "fakes/platform/etcd.h"
#include "fakes/platform/vms.h"
#include "fakes/platform/watch.h"

#define LOG_MODULE "fake-platform"

enum fault_kind {
	FAULT_NONE,
	/* Every connection is closed without an answer. */
	FAULT_DOWN,
	/* Answers come after ms. */
	FAULT_SLOW,
	/* The call takes effect; its connection is closed. */
	FAULT_LOSE_REPLY,
	/* The watches open at this time send no more events. */
	FAULT_SILENT_WATCH,
	/* Reads return the state at the time when the fault was set. */
	FAULT_STALE_READ,
	/* Calls are accepted and never answered. */
	FAULT_SILENT,
};

static const char *const fault_names[] = {
	"none",		"down",	      "slow",	"lose_reply",
	"silent_watch", "stale_read", "silent", NULL,
};

enum call {
	CALL_RANGE,
	CALL_PUT,
	CALL_DELETE,
	CALL_TXN,
	CALL_GRANT,
	CALL_KEEPALIVE,
	CALL_REVOKE,
	CALL_WATCH,
	CALL_VMS,
	CALL_COUNT,
};

static const struct {
	const char *path;
	const char *name;
} calls[CALL_COUNT] = {
	[CALL_RANGE] = {"/v3/kv/range", "range"},
	[CALL_PUT] = {"/v3/kv/put", "put"},
	[CALL_DELETE] = {"/v3/kv/deleterange", "deleterange"},
	[CALL_TXN] = {"/v3/kv/txn", "txn"},
	[CALL_GRANT] = {"/v3/lease/grant", "lease_grant"},
	[CALL_KEEPALIVE] = {"/v3/lease/keepalive", "lease_keepalive"},
	[CALL_REVOKE] = {"/v3/lease/revoke", "lease_revoke"},
	[CALL_WATCH] = {"/v3/watch", "watch"},
	[CALL_VMS] = {"/v1/vms", "vms"},
};

struct cal {
	struct evloop *loop;
	struct httpsrv *server;
	struct memstore *store;
	/* State shown by stale reads, or NULL. */
	struct memstore *stale;
	struct wat_list *watches;
	struct vms *vms;
	struct faultinj fault;
	/* Whether faults also apply to the VM list, not only to the store. */
	bool fault_on_list;
	struct evloop_timer lease_timer;
	uint64_t counts[CALL_COUNT];
};

/* An answer that is sent after a delay. */
struct delayed {
	struct evloop_timer timer;
	struct httpsrv_req *req;
	json_t *root;
};

static void expire_leases(struct evloop_timer *timer)
{
	struct cal *cal =
		(struct cal *)(void *)((char *)timer -
				       offsetof(struct cal, lease_timer));
	const uint64_t before = memstore_revision(cal->store);
	const apr_time_t next =
		memstore_lease_expire(cal->store, evloop_now(cal->loop));

	if (memstore_revision(cal->store) != before)
		wat_notify(cal->watches);
	if (next)
		evloop_timer_set(cal->loop, &cal->lease_timer, next);
}

static void reply(struct httpsrv_req *req, json_t *root)
{
	if (root)
		httpsrv_answer_json(req, MHD_HTTP_OK, root);
	else
		httpsrv_answer_json(req, MHD_HTTP_NOT_FOUND,
				    json_pack("{s:s,s:i}", "error", "not found",
					      "code", 5));
}

/* Sends the VM list, or 304 for a current If-None-Match; ETag is a hash. */
static void reply_list(struct httpsrv_req *req, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);
	struct MHD_Response *response;
	char etag[32];
	bool known;

	json_decref(root);
	if (!text) {
		httpsrv_abort(req);
		return;
	}
	snprintf(etag, sizeof(etag), "\"%016llx\"",
		 (unsigned long long)str_hash(str_from_c(text), 0));
	known = str_eq(httpsrv_header(req, "If-None-Match"), str_from_c(etag));
	response = MHD_create_response_from_buffer(known ? 0 : strlen(text),
						   text, MHD_RESPMEM_MUST_COPY);
	free(text);
	MHD_add_response_header(response, "ETag", etag);
	MHD_add_response_header(response, "Content-Type", "application/json");
	httpsrv_answer(req, known ? MHD_HTTP_NOT_MODIFIED : MHD_HTTP_OK,
		       response);
}

static void on_delayed(struct evloop_timer *timer)
{
	struct delayed *delayed = (struct delayed *)(void *)timer;

	reply(delayed->req, delayed->root);
	free(delayed);
}

static void send_later(struct cal *cal, struct httpsrv_req *req, json_t *root,
		       uint64_t ms)
{
	struct delayed *delayed = calloc(1, sizeof(*delayed));

	if (!delayed) {
		json_decref(root);
		httpsrv_abort(req);
		return;
	}
	delayed->timer.fire = on_delayed;
	delayed->req = req;
	delayed->root = root;
	evloop_timer_set(cal->loop, &delayed->timer,
			 evloop_now(cal->loop) + CLK_MS(ms));
}

static bool take_fault(struct cal *cal, enum fault_kind kind, enum call call)
{
	if (call == CALL_VMS && !cal->fault_on_list)
		return false;
	return faultinj_take(&cal->fault, (int)kind,
			     str_from_c(calls[call].name));
}

static const struct memstore *store_to_read(struct cal *cal)
{
	if (cal->stale && take_fault(cal, FAULT_STALE_READ, CALL_RANGE))
		return cal->stale;
	return cal->store;
}

static json_t *run_call(struct cal *cal, enum call call, const json_t *request)
{
	const apr_time_t now = evloop_now(cal->loop);

	switch (call) {
	case CALL_RANGE:
		return etc_range(store_to_read(cal), request);
	case CALL_PUT:
		return etc_put(cal->store, request);
	case CALL_DELETE:
		return etc_delete(cal->store, request);
	case CALL_TXN:
		return etc_txn(cal->store, request);
	case CALL_GRANT:
		return etc_grant(cal->store, request, now);
	case CALL_KEEPALIVE:
		return etc_renew(cal->store, request, now);
	case CALL_REVOKE:
		return etc_revoke(cal->store, request);
	case CALL_VMS:
		return vms_visible(cal->vms);
	case CALL_WATCH:
	case CALL_COUNT:
		break;
	}
	return NULL;
}

static void serve(struct cal *cal, struct httpsrv_req *req, enum call call)
{
	json_t *request =
		json_loadb(req->body ? req->body : "", req->body_len, 0, NULL);
	const uint64_t before = memstore_revision(cal->store);
	json_t *root;

	cal->counts[call]++;
	if (call == CALL_WATCH) {
		wat_add(cal->watches, req, request);
		json_decref(request);
		return;
	}
	root = run_call(cal, call, request);
	json_decref(request);
	if (memstore_revision(cal->store) != before)
		wat_notify(cal->watches);
	expire_leases(&cal->lease_timer);
	if (take_fault(cal, FAULT_LOSE_REPLY, call)) {
		json_decref(root);
		httpsrv_abort(req);
		return;
	}
	if (take_fault(cal, FAULT_SLOW, call))
		send_later(cal, req, root, cal->fault.ms);
	else if (call == CALL_VMS)
		reply_list(req, root);
	else
		reply(req, root);
}

static json_t *stats(const struct cal *cal)
{
	json_t *root = json_object();

	for (int i = 0; i < CALL_COUNT; i++)
		json_object_set_new(root, calls[i].name,
				    json_integer((json_int_t)cal->counts[i]));
	json_object_set_new(root, "waiting_watches",
			    json_integer((json_int_t)wat_count(cal->watches)));
	json_object_set_new(
		root, "revision",
		json_integer((json_int_t)memstore_revision(cal->store)));
	return root;
}

static int apply_fault(struct cal *cal, const struct faultinj *fault)
{
	memstore_destroy(cal->stale);
	cal->stale = NULL;
	cal->fault = *fault;
	cal->fault_on_list = str_eq(strbuf_str(&fault->scope), STR_LIT("list"));
	evt_log(FAKE_FAULT_SET, "kind=%s count=%lld ms=%llu",
		fault_names[fault->kind], (long long)fault->count,
		(unsigned long long)fault->ms);
	if (fault->kind == FAULT_DOWN)
		wat_close(cal->watches);
	if (fault->kind == FAULT_SILENT_WATCH || fault->kind == FAULT_SILENT)
		wat_mute(cal->watches);
	if (fault->kind == FAULT_STALE_READ)
		return memstore_clone(cal->store, &cal->stale);
	return 0;
}

static int set_fault(struct cal *cal, const struct httpsrv_req *req)
{
	const struct str text = {.ptr = req->body, .len = req->body_len};
	struct faultinj fault;
	const int err = faultinj_parse(text, fault_names, &fault);

	return err ? err : apply_fault(cal, &fault);
}

static int set_vms(struct cal *cal, const struct httpsrv_req *req)
{
	json_t *root =
		json_loadb(req->body ? req->body : "", req->body_len, 0, NULL);
	json_t *lag = json_object_get(root, "lag_ms");

	if (json_is_integer(lag))
		vms_set_lag(cal->vms, CLK_MS(json_integer_value(lag)));
	if (!json_is_array(json_object_get(root, "vms"))) {
		json_decref(root);
		return json_is_integer(lag) ? 0 : PST_ERR_INVALID;
	}
	vms_set(cal->vms, root);
	return 0;
}

static int mark_vm(struct cal *cal, const struct httpsrv_req *req)
{
	json_t *root =
		json_loadb(req->body ? req->body : "", req->body_len, 0, NULL);
	const char *id = NULL;
	const char *state = NULL;
	int err = PST_ERR_INVALID;

	if (!json_unpack(root, "{s:s,s:s}", "id", &id, "state", &state))
		err = vms_mark(cal->vms, id, state);
	json_decref(root);
	return err;
}

static void answer_control(struct httpsrv_req *req, int err)
{
	httpsrv_answer_json(req, err ? MHD_HTTP_BAD_REQUEST : MHD_HTTP_OK,
			    json_pack("{s:s}", "result", err_name(err)));
}

/* Serves the calls by which tests control the fake; returns whether it did. */
static bool serve_control(struct cal *cal, struct httpsrv_req *req)
{
	if (!strcmp(req->path, "/fake/stats"))
		httpsrv_answer_json(req, MHD_HTTP_OK, stats(cal));
	else if (!strcmp(req->path, "/fake/fault"))
		answer_control(req, set_fault(cal, req));
	else if (!strcmp(req->path, "/fake/vms"))
		answer_control(req, set_vms(cal, req));
	else if (!strcmp(req->path, "/fake/vms/state"))
		answer_control(req, mark_vm(cal, req));
	else
		return false;
	return true;
}

static void on_request(void *ctx, struct httpsrv_req *req)
{
	struct cal *cal = ctx;

	if (serve_control(cal, req))
		return;
	for (int i = 0; i < CALL_COUNT; i++) {
		const enum call call = (enum call)i;

		if (strcmp(req->path, calls[i].path) != 0)
			continue;
		if (take_fault(cal, FAULT_DOWN, call))
			httpsrv_abort(req);
		else if (!take_fault(cal, FAULT_SILENT, call))
			serve(cal, req, call);
		return;
	}
	reply(req, NULL);
}

static const struct httpsrv_ops ops = {.request = on_request};

int cal_start(struct cal **out, struct evloop *loop, struct str ip,
	      uint16_t port, apr_interval_time_t vms_lag)
{
	struct cal *cal = calloc(1, sizeof(*cal));
	int err;

	if (!cal)
		return PST_ERR_NOMEM;
	cal->loop = loop;
	cal->lease_timer.fire = expire_leases;
	err = memstore_create(&cal->store);
	if (!err)
		err = wat_create(&cal->watches, loop, cal->store);
	if (!err)
		err = vms_create(&cal->vms, loop, vms_lag);
	if (!err)
		err = httpsrv_start(&cal->server, loop, ip, port, &ops, cal);
	*out = cal;
	return err;
}
