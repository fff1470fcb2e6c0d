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

struct gateway {
	struct evloop *loop;
	struct httpsrv *server;
	struct memstore *store;
	/* State shown by stale reads, or NULL. */
	struct memstore *stale;
	struct watchset *watches;
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
	struct gateway *gateway =
		(struct gateway *)(void *)((char *)timer -
					   offsetof(struct gateway,
						    lease_timer));
	const uint64_t before = memstore_revision(gateway->store);
	const apr_time_t next = memstore_lease_expire(
		gateway->store, evloop_now(gateway->loop));

	if (memstore_revision(gateway->store) != before)
		watchset_notify(gateway->watches);
	if (next)
		evloop_timer_set(gateway->loop, &gateway->lease_timer, next);
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

static void send_later(struct gateway *gateway, struct httpsrv_req *req,
		       json_t *root, uint64_t ms)
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
	evloop_timer_set(gateway->loop, &delayed->timer,
			 evloop_now(gateway->loop) + CLK_MS(ms));
}

static bool take_fault(struct gateway *gateway, enum fault_kind kind,
		       enum call call)
{
	if (call == CALL_VMS && !gateway->fault_on_list)
		return false;
	return faultinj_take(&gateway->fault, (int)kind,
			     str_from_c(calls[call].name));
}

static const struct memstore *store_to_read(struct gateway *gateway)
{
	if (gateway->stale && take_fault(gateway, FAULT_STALE_READ, CALL_RANGE))
		return gateway->stale;
	return gateway->store;
}

static json_t *run_call(struct gateway *gateway, enum call call,
			const json_t *request)
{
	const apr_time_t now = evloop_now(gateway->loop);

	switch (call) {
	case CALL_RANGE:
		return etcdjson_range(store_to_read(gateway), request);
	case CALL_PUT:
		return etcdjson_put(gateway->store, request);
	case CALL_DELETE:
		return etcdjson_delete(gateway->store, request);
	case CALL_TXN:
		return etcdjson_txn(gateway->store, request);
	case CALL_GRANT:
		return etcdjson_grant(gateway->store, request, now);
	case CALL_KEEPALIVE:
		return etcdjson_renew(gateway->store, request, now);
	case CALL_REVOKE:
		return etcdjson_revoke(gateway->store, request);
	case CALL_VMS:
		return vms_visible(gateway->vms);
	case CALL_WATCH:
	case CALL_COUNT:
		break;
	}
	return NULL;
}

static void serve(struct gateway *gateway, struct httpsrv_req *req,
		  enum call call)
{
	json_t *request =
		json_loadb(req->body ? req->body : "", req->body_len, 0, NULL);
	const uint64_t before = memstore_revision(gateway->store);
	json_t *root;

	gateway->counts[call]++;
	if (call == CALL_WATCH) {
		watchset_add(gateway->watches, req, request);
		json_decref(request);
		return;
	}
	root = run_call(gateway, call, request);
	json_decref(request);
	if (memstore_revision(gateway->store) != before)
		watchset_notify(gateway->watches);
	expire_leases(&gateway->lease_timer);
	if (take_fault(gateway, FAULT_LOSE_REPLY, call)) {
		json_decref(root);
		httpsrv_abort(req);
		return;
	}
	if (take_fault(gateway, FAULT_SLOW, call))
		send_later(gateway, req, root, gateway->fault.ms);
	else if (call == CALL_VMS)
		reply_list(req, root);
	else
		reply(req, root);
}

static json_t *stats(const struct gateway *gateway)
{
	json_t *root = json_object();

	for (int i = 0; i < CALL_COUNT; i++)
		json_object_set_new(
			root, calls[i].name,
			json_integer((json_int_t)gateway->counts[i]));
	json_object_set_new(
		root, "waiting_watches",
		json_integer((json_int_t)watchset_count(gateway->watches)));
	json_object_set_new(
		root, "revision",
		json_integer((json_int_t)memstore_revision(gateway->store)));
	return root;
}

static int apply_fault(struct gateway *gateway, const struct faultinj *fault)
{
	memstore_destroy(gateway->stale);
	gateway->stale = NULL;
	gateway->fault = *fault;
	gateway->fault_on_list =
		str_eq(strbuf_str(&fault->scope), STR_LIT("list"));
	evt_log(FAKE_FAULT_SET, "kind=%s count=%lld ms=%llu",
		fault_names[fault->kind], (long long)fault->count,
		(unsigned long long)fault->ms);
	if (fault->kind == FAULT_DOWN)
		watchset_close(gateway->watches);
	if (fault->kind == FAULT_SILENT_WATCH || fault->kind == FAULT_SILENT)
		watchset_mute(gateway->watches);
	if (fault->kind == FAULT_STALE_READ)
		return memstore_clone(gateway->store, &gateway->stale);
	return 0;
}

static int set_fault(struct gateway *gateway, const struct httpsrv_req *req)
{
	const struct str text = {.ptr = req->body, .len = req->body_len};
	struct faultinj fault;
	const int err = faultinj_parse(text, fault_names, &fault);

	return err ? err : apply_fault(gateway, &fault);
}

static int set_vms(struct gateway *gateway, const struct httpsrv_req *req)
{
	json_t *root =
		json_loadb(req->body ? req->body : "", req->body_len, 0, NULL);
	json_t *lag = json_object_get(root, "lag_ms");

	if (json_is_integer(lag))
		vms_set_lag(gateway->vms, CLK_MS(json_integer_value(lag)));
	if (!json_is_array(json_object_get(root, "vms"))) {
		json_decref(root);
		return json_is_integer(lag) ? 0 : PST_ERR_INVALID;
	}
	vms_set(gateway->vms, root);
	return 0;
}

static int mark_vm(struct gateway *gateway, const struct httpsrv_req *req)
{
	json_t *root =
		json_loadb(req->body ? req->body : "", req->body_len, 0, NULL);
	const char *id = NULL;
	const char *state = NULL;
	int err = PST_ERR_INVALID;

	if (!json_unpack(root, "{s:s,s:s}", "id", &id, "state", &state))
		err = vms_mark(gateway->vms, id, state);
	json_decref(root);
	return err;
}

static void answer_control(struct httpsrv_req *req, int err)
{
	httpsrv_answer_json(req, err ? MHD_HTTP_BAD_REQUEST : MHD_HTTP_OK,
			    json_pack("{s:s}", "result", err_name(err)));
}

/* Serves the calls by which tests control the fake; returns whether it did. */
static bool serve_control(struct gateway *gateway, struct httpsrv_req *req)
{
	if (!strcmp(req->path, "/fake/stats"))
		httpsrv_answer_json(req, MHD_HTTP_OK, stats(gateway));
	else if (!strcmp(req->path, "/fake/fault"))
		answer_control(req, set_fault(gateway, req));
	else if (!strcmp(req->path, "/fake/vms"))
		answer_control(req, set_vms(gateway, req));
	else if (!strcmp(req->path, "/fake/vms/state"))
		answer_control(req, mark_vm(gateway, req));
	else
		return false;
	return true;
}

static void on_request(void *ctx, struct httpsrv_req *req)
{
	struct gateway *gateway = ctx;

	if (serve_control(gateway, req))
		return;
	for (int i = 0; i < CALL_COUNT; i++) {
		const enum call call = (enum call)i;

		if (strcmp(req->path, calls[i].path) != 0)
			continue;
		if (take_fault(gateway, FAULT_DOWN, call))
			httpsrv_abort(req);
		else if (!take_fault(gateway, FAULT_SILENT, call))
			serve(gateway, req, call);
		return;
	}
	reply(req, NULL);
}

static const struct httpsrv_ops ops = {.request = on_request};

int gateway_start(struct gateway **out, struct evloop *loop, struct str ip,
		  uint16_t port, apr_interval_time_t vms_lag)
{
	struct gateway *gateway = calloc(1, sizeof(*gateway));
	int err;

	if (!gateway)
		return PST_ERR_NOMEM;
	gateway->loop = loop;
	gateway->lease_timer.fire = expire_leases;
	err = memstore_create(&gateway->store);
	if (!err)
		err = watchset_create(&gateway->watches, loop, gateway->store);
	if (!err)
		err = vms_create(&gateway->vms, loop, vms_lag);
	if (!err)
		err = httpsrv_start(&gateway->server, loop, ip, port, &ops,
				    gateway);
	*out = gateway;
	return err;
}
