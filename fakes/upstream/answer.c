#include "fakes/upstream/answer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/err.h"
#include "common/evt.h"

#define LOG_MODULE	 "fake-upstream"

#define BLOB_SEED	 7
#define BLOB_BLOCK_BYTES 65536
#define RETRY_AFTER_S	 "1"
#define CROSSED_ID	 "crossed-answer"

/* A generated body of len bytes, of which only the first cut are sent. */
struct blob {
	uint64_t len;
	uint64_t cut;
};

static json_t *load_json(struct upsim *work)
{
	const struct upsim_load load = upsim_load(work);

	return json_pack("{s:f,s:{s:i,s:i}}", "application_utilization",
			 load.utilization, "named_metrics", "draining",
			 (int)load.draining, "cold", (int)load.cold);
}

static void add_load(struct upsim *work, struct MHD_Response *response)
{
	json_t *root = load_json(work);
	char *text = json_dumps(root, JSON_COMPACT);
	char line[256];

	snprintf(line, sizeof(line), "JSON %s", text);
	MHD_add_response_header(response, "endpoint-load-metrics", line);
	free(text);
	json_decref(root);
}

static void add_id(struct httpsrv_req *req, struct MHD_Response *response,
		   bool crossed)
{
	const struct str id = httpsrv_header(req, "X-Request-Id");

	if (crossed)
		MHD_add_response_header(response, "X-Request-Id", CROSSED_ID);
	else if (id.len)
		MHD_add_response_header(response, "X-Request-Id", id.ptr);
}

static ssize_t read_blob(void *cls, uint64_t pos, char *buf, size_t max)
{
	const struct blob *blob = cls;

	if (pos >= blob->cut)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (max > blob->cut - pos)
		max = (size_t)(blob->cut - pos);
	dig_fill(BLOB_SEED, pos, buf, max);
	return (ssize_t)max;
}

static struct MHD_Response *blob_response(uint64_t len, bool cut)
{
	struct blob *blob = malloc(sizeof(*blob));
	char digest[DIG_TEXT_BYTES];
	struct MHD_Response *response;

	if (!blob)
		abort();
	blob->len = len;
	blob->cut = cut ? len / 2 : len;
	dig_of_fill(BLOB_SEED, len, digest);
	response = MHD_create_response_from_callback(len, BLOB_BLOCK_BYTES,
						     read_blob, blob, free);
	MHD_add_response_header(response, "Content-Digest", digest);
	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
				"application/octet-stream");
	return response;
}

/* Sends half of a text whose full length was announced. */
static ssize_t read_half(void *cls, uint64_t pos, char *buf, size_t max)
{
	const char *text = cls;
	const size_t half = strlen(text) / 2;

	if (pos >= half)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (max > half - pos)
		max = half - pos;
	memcpy(buf, text + pos, max);
	return (ssize_t)max;
}

static char *echo_text(const struct upsim_item *item, bool crossed)
{
	const struct httpsrv_req *req = item->req;
	const struct upsim_config *config = upsim_config(item->work);
	const struct str id = httpsrv_header(req, "X-Request-Id");
	const struct str key = httpsrv_header(req, "Idempotency-Key");
	json_t *root = json_pack(
		"{s:s%,s:s,s:s,s:s,s:s,s:s%,s:I,s:s,s:I}", "request_id",
		crossed	 ? CROSSED_ID
		: id.ptr ? id.ptr
			 : "",
		crossed ? strlen(CROSSED_ID) : id.len, "service",
		config->service, "upstream", config->id, "method", req->method,
		"path", req->path, "key", key.ptr ? key.ptr : "", key.len,
		"received", (json_int_t)item->received, "received_digest",
		item->received_digest, "run", (json_int_t)item->run);
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	return text;
}

static struct MHD_Response *echo_response(const struct upsim_item *item,
					  bool cut, bool crossed)
{
	char *text = echo_text(item, crossed);
	char digest[DIG_TEXT_BYTES];
	struct dig *dig = dig_start();
	struct MHD_Response *response;

	dig_add(dig, text, strlen(text));
	dig_finish(dig, digest);
	if (cut)
		response = MHD_create_response_from_callback(
			strlen(text), BLOB_BLOCK_BYTES, read_half, text, free);
	else
		response = MHD_create_response_from_buffer(
			strlen(text), text, MHD_RESPMEM_MUST_FREE);
	MHD_add_response_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
				"application/json");
	MHD_add_response_header(response, "Content-Digest", digest);
	return response;
}

void upsim_send(struct upsim_item *item, struct faultinj *fault)
{
	struct httpsrv_req *req = item->req;
	const struct str path = str_from_c(req->path);
	const bool crossed = faultinj_take(fault, UPSIM_FAULT_CROSSED, path);
	const bool cut = faultinj_take(fault, UPSIM_FAULT_TRUNCATE, path);
	const bool error = faultinj_take(fault, UPSIM_FAULT_ERROR, path);
	struct MHD_Response *response;

	if (!strcmp(req->path, "/blob") && !crossed)
		response =
			blob_response(httpsrv_query_u64(req, "bytes", 0), cut);
	else
		response = echo_response(item, cut, crossed);
	add_id(req, response, crossed);
	add_load(item->work, response);
	MHD_add_response_header(response, "X-Upstream",
				upsim_config(item->work)->id);
	httpsrv_answer(req,
		       error ? MHD_HTTP_INTERNAL_SERVER_ERROR : MHD_HTTP_OK,
		       response);
}

void answer_shed(struct upsim *work, struct httpsrv_req *req,
		 const char *reason)
{
	const struct str id = httpsrv_header(req, "X-Request-Id");
	struct MHD_Response *response =
		httpsrv_response(str_from_c(reason), "text/plain");

	evt_log(FAKE_SHED, "upstream=%s request_id=%.*s reason=%s",
		upsim_config(work)->id, STR_ARG(id), reason);
	MHD_add_response_header(response, MHD_HTTP_HEADER_RETRY_AFTER,
				RETRY_AFTER_S);
	MHD_add_response_header(response, "X-Not-Run", "1");
	add_id(req, response, false);
	add_load(work, response);
	httpsrv_answer(req, MHD_HTTP_SERVICE_UNAVAILABLE, response);
}

static int set_drain(struct upsim *work, const struct httpsrv_req *req)
{
	json_t *root =
		json_loadb(req->body ? req->body : "", req->body_len, 0, NULL);
	json_t *on = json_object_get(root, "on");
	const bool known = json_is_boolean(on);

	if (known)
		upsim_set_drain(work, json_is_true(on));
	json_decref(root);
	return known ? 0 : PST_ERR_INVALID;
}

static void answer_result(struct httpsrv_req *req, int err)
{
	httpsrv_answer_json(req, err ? MHD_HTTP_BAD_REQUEST : MHD_HTTP_OK,
			    json_pack("{s:s}", "result", err_name(err)));
}

bool answer_control(struct upsim *work, struct httpsrv_req *req)
{
	const struct str body = {.ptr = req->body, .len = req->body_len};

	if (!strcmp(req->path, "/load"))
		httpsrv_answer_json(req, MHD_HTTP_OK, load_json(work));
	else if (!strcmp(req->path, "/fake/keys"))
		httpsrv_answer_json(req, MHD_HTTP_OK,
				    key_journal_dump(upsim_keys(work)));
	else if (!strcmp(req->path, "/fake/stats"))
		httpsrv_answer_json(req, MHD_HTTP_OK, upsim_stats(work));
	else if (!strcmp(req->path, "/fake/fault"))
		answer_result(req, upsim_set_fault(work, body));
	else if (!strcmp(req->path, "/fake/drain"))
		answer_result(req, set_drain(work, req));
	else
		return false;
	return true;
}
