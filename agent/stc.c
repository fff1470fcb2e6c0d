#include "agent/stc.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <apr_base64.h>
#include <curl/curl.h>
#include <jansson.h>

#include "common/ctr.h"
#include "common/err.h"
#include "common/evt.h"

#define LOG_MODULE "store"

/* Largest answer accepted, in bytes. */
#define MAX_ANSWER	 ((size_t)64 * 1024 * 1024)

#define HTTP_OK		 200
#define HTTP_NOT_FOUND	 404
#define HTTP_TOO_MANY	 429
#define HTTP_UNAVAILABLE 503

/* Longest "http://..." and "if!..." text, in bytes. */
#define URL_MAX 512

/* Longest decimal text of a 64-bit number, with its NUL. */
#define U64_TEXT 24

struct stc {
	const struct settings *set;
	const struct clk *clk;
	CURL *easy;
	struct curl_slist *headers;
	char base[URL_MAX];
	/* Whether the last call failed, to log changes only. */
	bool down;
	atomic_bool cancelled;
};

struct body {
	char *ptr;
	size_t len;
};

/* What a call is, for its bounds and for what its failure means. */
enum call_kind {
	/* May be repeated freely. */
	CALL_READ,
	/* Sent once, on a connection of its own. */
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

static size_t keep_body(char *data, size_t size, size_t count, void *ctx)
{
	struct body *body = ctx;
	const size_t add = size * count;
	char *grown;

	if (add > MAX_ANSWER - body->len)
		return 0;
	grown = realloc(body->ptr, body->len + add + 1);
	if (!grown)
		return 0;
	memcpy(grown + body->len, data, add);
	body->ptr = grown;
	body->len += add;
	grown[body->len] = '\0';
	return add;
}

static int on_progress(void *ctx, curl_off_t down_total, curl_off_t down,
		       curl_off_t up_total, curl_off_t up)
{
	const struct stc *stc = ctx;

	(void)down_total;
	(void)down;
	(void)up_total;
	(void)up;
	return stc->cancelled;
}

static json_t *json_b64(struct str s)
{
	const int need = apr_base64_encode_len((int)s.len);
	char *text = malloc((size_t)need);
	json_t *out;

	if (!text)
		return NULL;
	apr_base64_encode_binary(text, (const unsigned char *)s.ptr,
				 (int)s.len);
	out = json_string(text);
	free(text);
	return out;
}

/* Returns 0 with *out owned by the caller, or PST_ERR_PROTOCOL. */
static int take_b64(const json_t *from, struct str *out)
{
	const char *text = json_string_value(from);
	char *plain;
	int len;

	if (!from) {
		*out = (struct str){.ptr = calloc(1, 1)};
		return out->ptr ? 0 : PST_ERR_NOMEM;
	}
	if (!text)
		return PST_ERR_PROTOCOL;
	plain = malloc((size_t)apr_base64_decode_len(text) + 1);
	if (!plain)
		return PST_ERR_NOMEM;
	len = apr_base64_decode_binary((unsigned char *)plain, text);
	plain[len] = '\0';
	*out = (struct str){.ptr = plain, .len = (size_t)len};
	return 0;
}

static json_t *json_u64(uint64_t value)
{
	char text[U64_TEXT];

	snprintf(text, sizeof(text), "%llu", (unsigned long long)value);
	return json_string(text);
}

/* The gateway leaves out zeros and writes 64-bit numbers as strings. */
static int take_u64(const json_t *from, uint64_t *out)
{
	*out = 0;
	if (!from)
		return 0;
	if (json_is_integer(from) && json_integer_value(from) >= 0) {
		*out = (uint64_t)json_integer_value(from);
		return 0;
	}
	if (!json_is_string(from))
		return PST_ERR_PROTOCOL;
	return str_to_u64(str_from_c(json_string_value(from)), out)
		       ? PST_ERR_PROTOCOL
		       : 0;
}

static int take_revision(const json_t *answer, uint64_t *out)
{
	const json_t *header = json_object_get(answer, "header");
	const int err = take_u64(json_object_get(header, "revision"), out);

	return err || !*out ? PST_ERR_PROTOCOL : 0;
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

static void note_result(struct stc *stc, const struct call *call, int err)
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

/* Whether any byte of the request may have reached the store. */
static bool may_have_arrived(const struct stc *stc, CURLcode code)
{
	long sent = 0;

	if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST)
		return false;
	curl_easy_getinfo(stc->easy, CURLINFO_REQUEST_SIZE, &sent);
	return sent > 0;
}

static int judge(const struct stc *stc, struct call *call, CURLcode code)
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
 * libcurl repeats a request by itself when a kept connection turns out dead.
 * A write must be sent once, hence on a fresh connection.
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
	err = judge(stc, call, code);
	free(text);
	return err;
}

/* Takes over request. On 0, *answer is owned by the caller. */
static int exchange(struct stc *stc, enum call_kind kind, const char *path,
		    json_t *request, json_t **answer)
{
	struct body body = {0};
	struct call call = {
		.kind = kind,
		.path = path,
		.request = request,
		.timeout_ms = (long)stc->set->platform.call_timeout_ms,
		.on_data = keep_body,
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
	note_result(stc, &call, err);
	json_decref(request);
	free(body.ptr);
	return err;
}

/* What a failed read means to callers: the store cannot answer now. */
static int read_error(int err)
{
	return err && err != PST_ERR_NOTFOUND && err != PST_ERR_NOMEM
		       ? PST_ERR_UNAVAILABLE
		       : err;
}

/* What a failed write means: taken or not is unknown unless proved. */
static int write_error(int err)
{
	return err == PST_ERR_PROTOCOL || err == PST_ERR_NOTFOUND
		       ? PST_ERR_TIMEOUT
		       : err;
}

/* The first key after all that start with prefix; "\0" means no end. */
static json_t *json_range_end(struct str prefix)
{
	char end[STC_KEY_MAX];

	if (!prefix.len)
		return json_b64(STR_LIT("\0"));
	memcpy(end, prefix.ptr, prefix.len);
	end[prefix.len - 1]++;
	return json_b64((struct str){.ptr = end, .len = prefix.len});
}

static int take_item(const json_t *kv, struct stc_item *item)
{
	int err = take_u64(json_object_get(kv, "mod_revision"),
			   &item->mod_revision);

	if (!err)
		err = take_b64(json_object_get(kv, "key"), &item->key);
	if (!err)
		err = take_b64(json_object_get(kv, "value"), &item->value);
	return err;
}

static int take_list(const json_t *answer, struct stc_list *out)
{
	const json_t *kvs = json_object_get(answer, "kvs");
	const size_t count = json_array_size(kvs);
	int err = take_revision(answer, &out->revision);

	if (err)
		return err;
	out->items = calloc(count + 1, sizeof(*out->items));
	if (!out->items)
		return PST_ERR_NOMEM;
	for (size_t i = 0; !err && i < count; i++) {
		out->count = i + 1;
		err = take_item(json_array_get(kvs, i), &out->items[i]);
	}
	return err;
}

static int read_range(struct stc *stc, json_t *request, struct stc_list *out)
{
	json_t *answer = NULL;
	int err;

	memset(out, 0, sizeof(*out));
	err = exchange(stc, CALL_READ, "/v3/kv/range", request, &answer);
	if (!err) {
		err = take_list(answer, out);
		json_decref(answer);
	}
	if (err)
		stc_list_free(out);
	return err && err != PST_ERR_NOMEM ? PST_ERR_UNAVAILABLE : err;
}

static json_t *json_compare(const struct stc_change *change)
{
	return json_pack("{s:s, s:s, s:o, s:o}", "result", "EQUAL", "target",
			 "MOD", "key", json_b64(change->key), "mod_revision",
			 json_u64(change->expected));
}

static json_t *json_put(const struct stc_change *change, uint64_t lease)
{
	json_t *put = json_pack("{s:o, s:o}", "key", json_b64(change->key),
				"value", json_b64(change->value));

	if (lease)
		json_object_set_new(put, "lease", json_u64(lease));
	return json_pack("{s:o}", "request_put", put);
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
					      json_compare(&changes[i]));
		json_array_append_new(puts, json_put(&changes[i], lease));
	}
	err = exchange(
		stc, CALL_WRITE, "/v3/kv/txn",
		json_pack("{s:o, s:o}", "compare", compare, "success", puts),
		&answer);
	if (err)
		return write_error(err);
	err = take_revision(answer, revision);
	if (!err && !json_is_true(json_object_get(answer, "succeeded")))
		err = PST_ERR_CONFLICT;
	json_decref(answer);
	return write_error(err);
}

/* Reads the watch's lines; stops the transfer at the first change. */
struct watch {
	struct body line;
	bool changed;
	bool broken;
};

static void take_watch_line(struct watch *watch)
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
			if (!keep_body(&data[i], 1, 1, &watch->line))
				return 0;
			continue;
		}
		if (watch->line.len)
			take_watch_line(watch);
		if (watch->changed || watch->broken)
			return 0;
	}
	return total;
}

static json_t *json_watch(struct str prefix, uint64_t after)
{
	return json_pack("{s:{s:o, s:o, s:o}}", "create_request", "key",
			 json_b64(prefix), "range_end", json_range_end(prefix),
			 "start_revision", json_u64(after + 1));
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

int stc_read(struct stc *stc, struct str prefix, struct stc_list *out)
{
	if (prefix.len > STC_KEY_MAX)
		return PST_ERR_INVALID;
	return read_range(stc,
			  json_pack("{s:o, s:o}", "key", json_b64(prefix),
				    "range_end", json_range_end(prefix)),
			  out);
}

int stc_read_key(struct stc *stc, struct str key, struct stc_list *out)
{
	return read_range(stc, json_pack("{s:o}", "key", json_b64(key)), out);
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
			   json_pack("{s:o}", "TTL", json_u64(ttl_s)), &answer);

	if (err)
		return read_error(err);
	err = take_u64(json_object_get(answer, "ID"), lease);
	json_decref(answer);
	return err || !*lease ? PST_ERR_UNAVAILABLE : 0;
}

int stc_lease_keepalive(struct stc *stc, uint64_t lease)
{
	json_t *answer = NULL;
	const json_t *result;
	uint64_t ttl = 0;
	int err = exchange(stc, CALL_READ, "/v3/lease/keepalive",
			   json_pack("{s:o}", "ID", json_u64(lease)), &answer);

	if (err)
		return read_error(err);
	result = json_object_get(answer, "result");
	err = result ? take_u64(json_object_get(result, "TTL"), &ttl)
		     : PST_ERR_PROTOCOL;
	json_decref(answer);
	if (err)
		return PST_ERR_UNAVAILABLE;
	return ttl ? 0 : PST_ERR_NOTFOUND;
}

int stc_lease_revoke(struct stc *stc, uint64_t lease)
{
	json_t *answer = NULL;
	const int err =
		exchange(stc, CALL_READ, "/v3/lease/revoke",
			 json_pack("{s:o}", "ID", json_u64(lease)), &answer);

	if (!err)
		json_decref(answer);
	return read_error(err);
}

int stc_watch(struct stc *stc, struct str prefix, uint64_t after_revision,
	      apr_interval_time_t timeout)
{
	const apr_time_t end = clk_now(stc->clk) + timeout;
	struct watch watch = {0};
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
	call.request = json_watch(prefix, after_revision);
	err = call.request ? perform(stc, &call) : PST_ERR_NOMEM;
	json_decref(call.request);
	free(watch.line.ptr);
	if (watch.changed)
		return 0;
	if (err == PST_ERR_TIMEOUT && !watch.broken && clk_now(stc->clk) >= end)
		return PST_ERR_TIMEOUT;
	note_result(stc, &call, PST_ERR_UNAVAILABLE);
	return PST_ERR_UNAVAILABLE;
}
