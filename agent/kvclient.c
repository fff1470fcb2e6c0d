#include "agent/kvclient.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <jansson.h>

#include "agent/bodybuf.h"
#include "agent/kvclient_json.h"
#include "common/ctr.h"
#include "common/curlhead.h"
#include "common/err.h"
#include "common/evt.h"
#include "common/wire.h"

#define LOG_MODULE "store"

/* Largest answer accepted, in bytes. */
#define MAX_ANSWER	 ((size_t)64 * 1024 * 1024)

#define HTTP_OK		 200
#define HTTP_NOT_FOUND	 404
#define HTTP_TOO_MANY	 429
#define HTTP_UNAVAILABLE 503

/* Size of the store's URL and of libcurl's interface text, in bytes. */
#define URL_MAX 512

struct kvclient {
	const struct settings *set;
	const struct clk *clk;
	CURL *easy;
	struct curl_slist *headers;
	char base[URL_MAX];
	/* Whether the last call failed; only changes are logged. */
	bool down;
	atomic_bool cancelled;
	/* Cleared when a call begins. */
	atomic_bool interrupted;
};

/* Whether libcurl may repeat the call. */
enum call_kind {
	/* Harmless when repeated. */
	CALL_READ,
	/* Sent once, on a new connection. */
	CALL_WRITE,
};

struct call {
	enum call_kind kind;
	const char *path;
	json_t *request;
	long timeout_ms;
	curl_write_callback on_data;
	void *ctx;
	long status;
};

static pthread_once_t curl_once = PTHREAD_ONCE_INIT;

static void init_curl(void)
{
	curl_global_init(CURL_GLOBAL_DEFAULT);
}

static int on_progress(void *ctx, curl_off_t down_total, curl_off_t down,
		       curl_off_t up_total, curl_off_t up)
{
	const struct kvclient *kvclient = ctx;

	(void)down_total;
	(void)down;
	(void)up_total;
	(void)up;
	return kvclient->cancelled || kvclient->interrupted;
}

static void count_call(const struct call *call, int err)
{
	char labels[64];

	snprintf(labels, sizeof(labels), "call=\"%s\",result=\"%s\"",
		 call->path, err_name(err));
	ctr_add(ctr_get("pst_store_calls_total", labels,
			"Calls of the platform's store."),
		1);
}

static void record_result(struct kvclient *kvclient, const struct call *call,
			  int err)
{
	const bool failed = err == PST_ERR_UNAVAILABLE ||
			    err == PST_ERR_TIMEOUT || err == PST_ERR_PROTOCOL;

	if (failed && !kvclient->down)
		evt_log(STORE_LOST, "path=%s err=%s status=%ld", call->path,
			err_name(err), call->status);
	else if (!failed && kvclient->down)
		evt_log(STORE_BACK, "path=%s", call->path);
	kvclient->down = failed;
	count_call(call, err);
}

/* Whether the store may have received a part of the request. */
static bool may_have_arrived(const struct kvclient *kvclient, CURLcode code)
{
	long sent = 0;

	if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST)
		return false;
	curl_easy_getinfo(kvclient->easy, CURLINFO_REQUEST_SIZE, &sent);
	return sent > 0;
}

static int call_error(const struct kvclient *kvclient, struct call *call,
		      CURLcode code)
{
	if (code != CURLE_OK)
		return may_have_arrived(kvclient, code) ? PST_ERR_TIMEOUT
							: PST_ERR_UNAVAILABLE;
	curl_easy_getinfo(kvclient->easy, CURLINFO_RESPONSE_CODE,
			  &call->status);
	if (call->status == HTTP_OK)
		return 0;
	if (call->status == HTTP_NOT_FOUND)
		return PST_ERR_NOTFOUND;
	if (call->status == HTTP_UNAVAILABLE || call->status == HTTP_TOO_MANY)
		return PST_ERR_UNAVAILABLE;
	return PST_ERR_TIMEOUT;
}

/*
 * libcurl repeats a request by itself when a reused connection turns out to be
 * closed. A write must be sent once, and is therefore sent on a new connection.
 */
static void set_connection(struct kvclient *kvclient, const struct call *call)
{
	const long once = call->kind == CALL_WRITE;
	char interface[URL_MAX];

	snprintf(interface, sizeof(interface), "host!%.*s",
		 STR_ARG(kvclient->set->vm.address));
	curl_easy_setopt(kvclient->easy, CURLOPT_INTERFACE, interface);
	curl_easy_setopt(kvclient->easy, CURLOPT_FRESH_CONNECT, once);
	curl_easy_setopt(kvclient->easy, CURLOPT_FORBID_REUSE, once);
	curl_easy_setopt(kvclient->easy, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(kvclient->easy, CURLOPT_XFERINFOFUNCTION, on_progress);
	curl_easy_setopt(kvclient->easy, CURLOPT_XFERINFODATA, kvclient);
	curl_easy_setopt(kvclient->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(kvclient->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(kvclient->easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(kvclient->easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)kvclient->set->platform.call_timeout_ms);
}

static int perform(struct kvclient *kvclient, struct call *call)
{
	char *text = json_dumps(call->request, JSON_COMPACT);
	char url[URL_MAX + 32];
	struct curlhead head;
	CURLcode code;
	int err;

	if (!text)
		return PST_ERR_NOMEM;
	snprintf(url, sizeof(url), "%s%s", kvclient->base, call->path);
	kvclient->interrupted = false;
	curl_easy_reset(kvclient->easy);
	set_connection(kvclient, call);
	curl_easy_setopt(kvclient->easy, CURLOPT_URL, url);
	curl_easy_setopt(kvclient->easy, CURLOPT_HTTPHEADER, kvclient->headers);
	curl_easy_setopt(kvclient->easy, CURLOPT_POSTFIELDS, text);
	curl_easy_setopt(kvclient->easy, CURLOPT_POSTFIELDSIZE,
			 (long)strlen(text));
	curl_easy_setopt(kvclient->easy, CURLOPT_TIMEOUT_MS, call->timeout_ms);
	curl_easy_setopt(kvclient->easy, CURLOPT_WRITEFUNCTION, call->on_data);
	curl_easy_setopt(kvclient->easy, CURLOPT_WRITEDATA, call->ctx);
	curlhead_watch(&head, kvclient->easy);
	code = curlhead_result(&head, curl_easy_perform(kvclient->easy));
	wire_count_http("store", kvclient->easy);
	err = call_error(kvclient, call, code);
	free(text);
	return err;
}

/* Takes over request. On 0, *answer is owned by the caller. */
static int exchange(struct kvclient *kvclient, enum call_kind kind,
		    const char *path, json_t *request, json_t **answer)
{
	struct bodybuf body = {.max = MAX_ANSWER};
	struct call call = {
		.kind = kind,
		.path = path,
		.request = request,
		.timeout_ms = (long)kvclient->set->platform.call_timeout_ms,
		.on_data = bodybuf_append,
		.ctx = &body,
	};
	int err = request ? perform(kvclient, &call) : PST_ERR_NOMEM;

	if (!err) {
		*answer =
			json_loadb(body.ptr ? body.ptr : "", body.len, 0, NULL);
		err = json_is_object(*answer) ? 0 : PST_ERR_PROTOCOL;
		if (err)
			json_decref(*answer);
	}
	record_result(kvclient, &call, err);
	json_decref(request);
	free(body.ptr);
	return err;
}

/* Maps errors of a read: whatever failed, the store is unavailable. */
static int read_error(int err)
{
	return err && err != PST_ERR_NOTFOUND && err != PST_ERR_NOMEM
		       ? PST_ERR_UNAVAILABLE
		       : err;
}

/* Maps errors of a write: a time-out if the store may have written. */
static int write_error(int err)
{
	return err == PST_ERR_PROTOCOL || err == PST_ERR_NOTFOUND
		       ? PST_ERR_TIMEOUT
		       : err;
}

static int read_range(struct kvclient *kvclient, json_t *request,
		      struct kvclient_list *out)
{
	json_t *answer = NULL;
	int err;

	memset(out, 0, sizeof(*out));
	err = exchange(kvclient, CALL_READ, "/v3/kv/range", request, &answer);
	if (!err) {
		err = kvclient_json_read_list(answer, out);
		json_decref(answer);
	}
	if (err)
		kvclient_list_free(out);
	return err && err != PST_ERR_NOMEM ? PST_ERR_UNAVAILABLE : err;
}

static int swap(struct kvclient *kvclient,
		const struct kvclient_change *changes, size_t count,
		uint64_t lease, uint64_t *revision)
{
	json_t *compare = json_array();
	json_t *puts = json_array();
	json_t *answer = NULL;
	int err;

	for (size_t i = 0; i < count; i++) {
		if (changes[i].expected != KVCLIENT_ANY)
			json_array_append_new(
				compare, kvclient_json_compare(&changes[i]));
		json_array_append_new(puts,
				      kvclient_json_put(&changes[i], lease));
	}
	err = exchange(
		kvclient, CALL_WRITE, "/v3/kv/txn",
		json_pack("{s:o, s:o}", "compare", compare, "success", puts),
		&answer);
	if (err)
		return write_error(err);
	err = kvclient_json_read_revision(answer, revision);
	if (!err && !json_is_true(json_object_get(answer, "succeeded")))
		err = PST_ERR_CONFLICT;
	json_decref(answer);
	return write_error(err);
}

/* Reads the lines of a watch, and ends the transfer at the first change. */
struct watch {
	struct bodybuf line;
	bool changed;
	bool broken;
};

static void handle_watch_line(struct watch *watch)
{
	json_t *line = json_loadb(watch->line.ptr, watch->line.len, 0, NULL);
	const json_t *result = json_object_get(line, "result");

	if (!result || json_is_true(json_object_get(result, "canceled")))
		watch->broken = true;
	else if (json_array_size(json_object_get(result, "events")))
		watch->changed = true;
	json_decref(line);
	watch->line.len = 0;
}

static size_t on_watch_data(char *data, size_t size, size_t count, void *ctx)
{
	struct watch *watch = ctx;
	const size_t total = size * count;

	for (size_t i = 0; i < total; i++) {
		if (data[i] != '\n') {
			if (!bodybuf_append(&data[i], 1, 1, &watch->line))
				return 0;
			continue;
		}
		if (watch->line.len)
			handle_watch_line(watch);
		if (watch->changed || watch->broken)
			return 0;
	}
	return total;
}

int kvclient_create(struct kvclient **out, const struct settings *set,
		    const struct clk *clk)
{
	struct kvclient *kvclient = calloc(1, sizeof(*kvclient));

	if (!kvclient)
		return PST_ERR_NOMEM;
	pthread_once(&curl_once, init_curl);
	kvclient->set = set;
	kvclient->clk = clk;
	snprintf(kvclient->base, sizeof(kvclient->base), "%.*s",
		 STR_ARG(set->platform.store_url));
	kvclient->easy = curl_easy_init();
	kvclient->headers =
		curl_slist_append(NULL, "Content-Type: application/json");
	if (!kvclient->easy || !kvclient->headers) {
		kvclient_destroy(kvclient);
		return PST_ERR_HTTP;
	}
	*out = kvclient;
	return 0;
}

void kvclient_destroy(struct kvclient *kvclient)
{
	if (!kvclient)
		return;
	curl_easy_cleanup(kvclient->easy);
	curl_slist_free_all(kvclient->headers);
	free(kvclient);
}

void kvclient_cancel(struct kvclient *kvclient)
{
	kvclient->cancelled = true;
}

void kvclient_interrupt(struct kvclient *kvclient)
{
	kvclient->interrupted = true;
}

int kvclient_read(struct kvclient *kvclient, struct str prefix,
		  struct kvclient_list *out)
{
	if (prefix.len > KVCLIENT_KEY_MAX)
		return PST_ERR_INVALID;
	return read_range(kvclient,
			  json_pack("{s:o, s:o}", "key",
				    kvclient_json_bytes(prefix), "range_end",
				    kvclient_json_range_end(prefix)),
			  out);
}

int kvclient_read_key(struct kvclient *kvclient, struct str key,
		      struct kvclient_list *out)
{
	return read_range(kvclient,
			  json_pack("{s:o}", "key", kvclient_json_bytes(key)),
			  out);
}

void kvclient_list_free(struct kvclient_list *list)
{
	for (size_t i = 0; i < list->count; i++) {
		free((char *)list->items[i].key.ptr);
		free((char *)list->items[i].value.ptr);
	}
	free(list->items);
	memset(list, 0, sizeof(*list));
}

int kvclient_swap(struct kvclient *kvclient, struct str key, uint64_t expected,
		  struct str value, uint64_t lease, uint64_t *revision)
{
	const struct kvclient_change change = {
		.key = key,
		.expected = expected,
		.value = value,
	};

	return swap(kvclient, &change, 1, lease, revision);
}

int kvclient_swap_all(struct kvclient *kvclient,
		      const struct kvclient_change *changes, size_t count,
		      uint64_t *revision)
{
	return swap(kvclient, changes, count, 0, revision);
}

int kvclient_lease_grant(struct kvclient *kvclient, uint32_t ttl_s,
			 uint64_t *lease)
{
	json_t *answer = NULL;
	int err = exchange(kvclient, CALL_WRITE, "/v3/lease/grant",
			   json_pack("{s:o}", "TTL", kvclient_json_u64(ttl_s)),
			   &answer);

	if (err)
		return read_error(err);
	err = kvclient_json_read_u64(json_object_get(answer, "ID"), lease);
	json_decref(answer);
	return err || !*lease ? PST_ERR_UNAVAILABLE : 0;
}

int kvclient_lease_keepalive(struct kvclient *kvclient, uint64_t lease)
{
	json_t *answer = NULL;
	const json_t *result;
	uint64_t ttl = 0;
	int err = exchange(kvclient, CALL_READ, "/v3/lease/keepalive",
			   json_pack("{s:o}", "ID", kvclient_json_u64(lease)),
			   &answer);

	if (err)
		return read_error(err);
	result = json_object_get(answer, "result");
	err = result ? kvclient_json_read_u64(json_object_get(result, "TTL"),
					      &ttl)
		     : PST_ERR_PROTOCOL;
	json_decref(answer);
	if (err)
		return PST_ERR_UNAVAILABLE;
	return ttl ? 0 : PST_ERR_NOTFOUND;
}

int kvclient_delete(struct kvclient *kvclient, struct str first, struct str end)
{
	json_t *answer = NULL;
	const int err = exchange(
		kvclient, CALL_READ, "/v3/kv/deleterange",
		json_pack("{s:o, s:o}", "key", kvclient_json_bytes(first),
			  "range_end", kvclient_json_bytes(end)),
		&answer);

	if (!err)
		json_decref(answer);
	return err;
}

int kvclient_lease_revoke(struct kvclient *kvclient, uint64_t lease)
{
	json_t *answer = NULL;
	const int err = exchange(
		kvclient, CALL_READ, "/v3/lease/revoke",
		json_pack("{s:o}", "ID", kvclient_json_u64(lease)), &answer);

	if (!err)
		json_decref(answer);
	return read_error(err);
}

int kvclient_watch(struct kvclient *kvclient, struct str prefix,
		   uint64_t after_revision, apr_interval_time_t timeout)
{
	const apr_time_t end = clk_now(kvclient->clk) + timeout;
	struct watch watch = {.line.max = MAX_ANSWER};
	struct call call = {
		.kind = CALL_READ,
		.path = "/v3/watch",
		.timeout_ms = (long)(timeout / 1000) + 1,
		.on_data = on_watch_data,
		.ctx = &watch,
	};
	int err;

	if (prefix.len > KVCLIENT_KEY_MAX)
		return PST_ERR_INVALID;
	call.request = kvclient_json_watch(prefix, after_revision);
	err = call.request ? perform(kvclient, &call) : PST_ERR_NOMEM;
	json_decref(call.request);
	free(watch.line.ptr);
	if (watch.changed)
		return 0;
	if (err == PST_ERR_TIMEOUT && !watch.broken &&
	    clk_now(kvclient->clk) >= end)
		return PST_ERR_TIMEOUT;
	record_result(kvclient, &call, PST_ERR_UNAVAILABLE);
	return PST_ERR_UNAVAILABLE;
}
