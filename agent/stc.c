#include "agent/stc.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <jansson.h>

#include "agent/hbuf.h"
#include "agent/stc_json.h"
#include "common/ctr.h"
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

struct stc {
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
	const struct stc *stc = ctx;

	(void)down_total;
	(void)down;
	(void)up_total;
	(void)up;
	return stc->cancelled || stc->interrupted;
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

static void record_result(struct stc *stc, const struct call *call, int err)
{
	const bool failed = err == PST_ERR_UNAVAILABLE ||
			    err == PST_ERR_TIMEOUT || err == PST_ERR_PROTOCOL;

	if (failed && !stc->down)
		evt_log(STORE_LOST, "path=%s err=%s status=%ld", call->path,
			err_name(err), call->status);
	else if (!failed && stc->down)
		evt_log(STORE_BACK, "path=%s", call->path);
	stc->down = failed;
	count_call(call, err);
}

/* Whether the store may have received a part of the request. */
static bool may_have_arrived(const struct stc *stc, CURLcode code)
{
	long sent = 0;

	if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST)
		return false;
	curl_easy_getinfo(stc->easy, CURLINFO_REQUEST_SIZE, &sent);
	return sent > 0;
}

static int call_error(const struct stc *stc, struct call *call, CURLcode code)
{
	if (code != CURLE_OK)
		return may_have_arrived(stc, code) ? PST_ERR_TIMEOUT
						   : PST_ERR_UNAVAILABLE;
	curl_easy_getinfo(stc->easy, CURLINFO_RESPONSE_CODE, &call->status);
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
static void set_connection(struct stc *stc, const struct call *call)
{
	const long once = call->kind == CALL_WRITE;
	char interface[URL_MAX];

	snprintf(interface, sizeof(interface), "host!%.*s",
		 STR_ARG(stc->set->vm.address));
	curl_easy_setopt(stc->easy, CURLOPT_INTERFACE, interface);
	curl_easy_setopt(stc->easy, CURLOPT_FRESH_CONNECT, once);
	curl_easy_setopt(stc->easy, CURLOPT_FORBID_REUSE, once);
	curl_easy_setopt(stc->easy, CURLOPT_NOPROGRESS, 0L);
	curl_easy_setopt(stc->easy, CURLOPT_XFERINFOFUNCTION, on_progress);
	curl_easy_setopt(stc->easy, CURLOPT_XFERINFODATA, stc);
	curl_easy_setopt(stc->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(stc->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(stc->easy, CURLOPT_TCP_NODELAY, 1L);
	curl_easy_setopt(stc->easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)stc->set->platform.call_timeout_ms);
}

static int perform(struct stc *stc, struct call *call)
{
	char *text = json_dumps(call->request, JSON_COMPACT);
	char url[URL_MAX + 32];
	CURLcode code;
	int err;

	if (!text)
		return PST_ERR_NOMEM;
	snprintf(url, sizeof(url), "%s%s", stc->base, call->path);
	stc->interrupted = false;
	curl_easy_reset(stc->easy);
	set_connection(stc, call);
	curl_easy_setopt(stc->easy, CURLOPT_URL, url);
	curl_easy_setopt(stc->easy, CURLOPT_HTTPHEADER, stc->headers);
	curl_easy_setopt(stc->easy, CURLOPT_POSTFIELDS, text);
	curl_easy_setopt(stc->easy, CURLOPT_POSTFIELDSIZE, (long)strlen(text));
	curl_easy_setopt(stc->easy, CURLOPT_TIMEOUT_MS, call->timeout_ms);
	curl_easy_setopt(stc->easy, CURLOPT_WRITEFUNCTION, call->on_data);
	curl_easy_setopt(stc->easy, CURLOPT_WRITEDATA, call->ctx);
	code = curl_easy_perform(stc->easy);
	wire_count_http("store", stc->easy);
	err = call_error(stc, call, code);
	free(text);
	return err;
}

/* Takes over request. On 0, *answer is owned by the caller. */
static int exchange(struct stc *stc, enum call_kind kind, const char *path,
		    json_t *request, json_t **answer)
{
	struct hbuf body = {.max = MAX_ANSWER};
	struct call call = {
		.kind = kind,
		.path = path,
		.request = request,
		.timeout_ms = (long)stc->set->platform.call_timeout_ms,
		.on_data = hbuf_append,
		.ctx = &body,
	};
	int err = request ? perform(stc, &call) : PST_ERR_NOMEM;

	if (!err) {
		*answer =
			json_loadb(body.ptr ? body.ptr : "", body.len, 0, NULL);
		err = json_is_object(*answer) ? 0 : PST_ERR_PROTOCOL;
		if (err)
			json_decref(*answer);
	}
	record_result(stc, &call, err);
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

static int read_range(struct stc *stc, json_t *request, struct stc_list *out)
{
	json_t *answer = NULL;
	int err;

	memset(out, 0, sizeof(*out));
	err = exchange(stc, CALL_READ, "/v3/kv/range", request, &answer);
	if (!err) {
		err = stc_json_read_list(answer, out);
		json_decref(answer);
	}
	if (err)
		stc_list_free(out);
	return err && err != PST_ERR_NOMEM ? PST_ERR_UNAVAILABLE : err;
}

static int swap(struct stc *stc, const struct stc_change *changes, size_t count,
		uint64_t lease, uint64_t *revision)
{
	json_t *compare = json_array();
	json_t *puts = json_array();
	json_t *answer = NULL;
	int err;

	for (size_t i = 0; i < count; i++) {
		if (changes[i].expected != STC_ANY)
			json_array_append_new(compare,
					      stc_json_compare(&changes[i]));
		json_array_append_new(puts, stc_json_put(&changes[i], lease));
	}
	err = exchange(
		stc, CALL_WRITE, "/v3/kv/txn",
		json_pack("{s:o, s:o}", "compare", compare, "success", puts),
		&answer);
	if (err)
		return write_error(err);
	err = stc_json_read_revision(answer, revision);
	if (!err && !json_is_true(json_object_get(answer, "succeeded")))
		err = PST_ERR_CONFLICT;
	json_decref(answer);
	return write_error(err);
}

/* Reads the lines of a watch, and ends the transfer at the first change. */
struct watch {
	struct hbuf line;
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
			if (!hbuf_append(&data[i], 1, 1, &watch->line))
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

int stc_create(struct stc **out, const struct settings *set,
	       const struct clk *clk)
{
	struct stc *stc = calloc(1, sizeof(*stc));

	if (!stc)
		return PST_ERR_NOMEM;
	pthread_once(&curl_once, init_curl);
	stc->set = set;
	stc->clk = clk;
	snprintf(stc->base, sizeof(stc->base), "%.*s",
		 STR_ARG(set->platform.store_url));
	stc->easy = curl_easy_init();
	stc->headers =
		curl_slist_append(NULL, "Content-Type: application/json");
	if (!stc->easy || !stc->headers) {
		stc_destroy(stc);
		return PST_ERR_HTTP;
	}
	*out = stc;
	return 0;
}

void stc_destroy(struct stc *stc)
{
	if (!stc)
		return;
	curl_easy_cleanup(stc->easy);
	curl_slist_free_all(stc->headers);
	free(stc);
}

void stc_cancel(struct stc *stc)
{
	stc->cancelled = true;
}

void stc_interrupt(struct stc *stc)
{
	stc->interrupted = true;
}

int stc_read(struct stc *stc, struct str prefix, struct stc_list *out)
{
	if (prefix.len > STC_KEY_MAX)
		return PST_ERR_INVALID;
	return read_range(stc,
			  json_pack("{s:o, s:o}", "key", stc_json_bytes(prefix),
				    "range_end", stc_json_range_end(prefix)),
			  out);
}

int stc_read_key(struct stc *stc, struct str key, struct stc_list *out)
{
	return read_range(stc, json_pack("{s:o}", "key", stc_json_bytes(key)),
			  out);
}

void stc_list_free(struct stc_list *list)
{
	for (size_t i = 0; i < list->count; i++) {
		free((char *)list->items[i].key.ptr);
		free((char *)list->items[i].value.ptr);
	}
	free(list->items);
	memset(list, 0, sizeof(*list));
}

int stc_swap(struct stc *stc, struct str key, uint64_t expected,
	     struct str value, uint64_t lease, uint64_t *revision)
{
	const struct stc_change change = {
		.key = key,
		.expected = expected,
		.value = value,
	};

	return swap(stc, &change, 1, lease, revision);
}

int stc_swap_all(struct stc *stc, const struct stc_change *changes,
		 size_t count, uint64_t *revision)
{
	return swap(stc, changes, count, 0, revision);
}

int stc_lease_grant(struct stc *stc, uint32_t ttl_s, uint64_t *lease)
{
	json_t *answer = NULL;
	int err = exchange(stc, CALL_WRITE, "/v3/lease/grant",
			   json_pack("{s:o}", "TTL", stc_json_u64(ttl_s)),
			   &answer);

	if (err)
		return read_error(err);
	err = stc_json_read_u64(json_object_get(answer, "ID"), lease);
	json_decref(answer);
	return err || !*lease ? PST_ERR_UNAVAILABLE : 0;
}

int stc_lease_keepalive(struct stc *stc, uint64_t lease)
{
	json_t *answer = NULL;
	const json_t *result;
	uint64_t ttl = 0;
	int err = exchange(stc, CALL_READ, "/v3/lease/keepalive",
			   json_pack("{s:o}", "ID", stc_json_u64(lease)),
			   &answer);

	if (err)
		return read_error(err);
	result = json_object_get(answer, "result");
	err = result ? stc_json_read_u64(json_object_get(result, "TTL"), &ttl)
		     : PST_ERR_PROTOCOL;
	json_decref(answer);
	if (err)
		return PST_ERR_UNAVAILABLE;
	return ttl ? 0 : PST_ERR_NOTFOUND;
}

int stc_delete(struct stc *stc, struct str first, struct str end)
{
	json_t *answer = NULL;
	const int err =
		exchange(stc, CALL_READ, "/v3/kv/deleterange",
			 json_pack("{s:o, s:o}", "key", stc_json_bytes(first),
				   "range_end", stc_json_bytes(end)),
			 &answer);

	if (!err)
		json_decref(answer);
	return err;
}

int stc_lease_revoke(struct stc *stc, uint64_t lease)
{
	json_t *answer = NULL;
	const int err = exchange(stc, CALL_READ, "/v3/lease/revoke",
				 json_pack("{s:o}", "ID", stc_json_u64(lease)),
				 &answer);

	if (!err)
		json_decref(answer);
	return read_error(err);
}

int stc_watch(struct stc *stc, struct str prefix, uint64_t after_revision,
	      apr_interval_time_t timeout)
{
	const apr_time_t end = clk_now(stc->clk) + timeout;
	struct watch watch = {.line.max = MAX_ANSWER};
	struct call call = {
		.kind = CALL_READ,
		.path = "/v3/watch",
		.timeout_ms = (long)(timeout / 1000) + 1,
		.on_data = on_watch_data,
		.ctx = &watch,
	};
	int err;

	if (prefix.len > STC_KEY_MAX)
		return PST_ERR_INVALID;
	call.request = stc_json_watch(prefix, after_revision);
	err = call.request ? perform(stc, &call) : PST_ERR_NOMEM;
	json_decref(call.request);
	free(watch.line.ptr);
	if (watch.changed)
		return 0;
	if (err == PST_ERR_TIMEOUT && !watch.broken && clk_now(stc->clk) >= end)
		return PST_ERR_TIMEOUT;
	record_result(stc, &call, PST_ERR_UNAVAILABLE);
	return PST_ERR_UNAVAILABLE;
}
