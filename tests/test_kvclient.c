#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include <check.h>
#include <jansson.h>
#include <microhttpd.h>

#include "agent/kvclient.h"
#include "common/err.h"
#include "common/net.h"
#include "tests/fix_run.h"

#define PORT	   18401
#define DEAD_PORT  18402
#define TIMEOUT_MS 200
#define SLOW_MS	   400

/* What the test server does with each call. */
enum mode {
	MODE_ANSWER,
	/* Closes the connection after it has received the call. */
	MODE_LOSE_REPLY,
	MODE_SLOW,
	MODE_STATUS,
	/* Sends the first half of the answer. */
	MODE_CUT,
};

static struct MHD_Daemon *daemon_;
static enum mode mode;
static unsigned status;
static const char *text;
static atomic_uint calls;
static char seen[4096];
static size_t seen_len;
static struct settings set;
static atomic_int slow_ms = SLOW_MS;

static enum MHD_Result send_text(struct MHD_Connection *connection)
{
	const size_t len = strlen(text);
	struct MHD_Response *response = MHD_create_response_from_buffer(
		len, (void *)(uintptr_t)text, MHD_RESPMEM_PERSISTENT);
	const enum MHD_Result result = MHD_queue_response(
		connection, mode == MODE_STATUS ? status : MHD_HTTP_OK,
		response);

	MHD_destroy_response(response);
	return result;
}

static ssize_t cut_body(void *ctx, uint64_t pos, char *buf, size_t max)
{
	const size_t half = strlen(text) / 2;

	(void)ctx;
	if (pos >= half)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (max > half - pos)
		max = half - pos;
	memcpy(buf, text + pos, max);
	return (ssize_t)max;
}

static enum MHD_Result send_half(struct MHD_Connection *connection)
{
	struct MHD_Response *response = MHD_create_response_from_callback(
		strlen(text), 1024, cut_body, NULL, NULL);
	const enum MHD_Result result =
		MHD_queue_response(connection, MHD_HTTP_OK, response);

	MHD_destroy_response(response);
	return result;
}

static enum MHD_Result handle(void *ctx, struct MHD_Connection *connection,
			      const char *url, const char *method,
			      const char *version, const char *data,
			      size_t *size, void **state)
{
	static int begun;

	(void)ctx;
	(void)url;
	(void)method;
	(void)version;
	if (!*state) {
		*state = &begun;
		seen_len = 0;
		return MHD_YES;
	}
	if (*size) {
		if (seen_len + *size < sizeof(seen)) {
			memcpy(seen + seen_len, data, *size);
			seen_len += *size;
			seen[seen_len] = '\0';
		}
		*size = 0;
		return MHD_YES;
	}
	calls++;
	switch (mode) {
	case MODE_LOSE_REPLY:
		return MHD_NO;
	case MODE_SLOW:
		apr_sleep(CLK_MS(slow_ms));
		return send_text(connection);
	case MODE_CUT:
		return send_half(connection);
	case MODE_ANSWER:
	case MODE_STATUS:
		break;
	}
	return send_text(connection);
}

static struct kvclient *open_store(enum mode new_mode, const char *answer)
{
	static char url[64];
	struct net_addr addr;
	struct kvclient *kvclient = NULL;

	mode = new_mode;
	text = answer;
	calls = 0;
	net_addr_make(&addr, fix_ip(), PORT);
	daemon_ = MHD_start_daemon(
		MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION,
		PORT, NULL, NULL, handle, NULL, MHD_OPTION_SOCK_ADDR, &addr.ss,
		MHD_OPTION_END);
	ck_assert_ptr_nonnull(daemon_);
	snprintf(url, sizeof(url), "http://%.*s:%d", STR_ARG(fix_ip()), PORT);
	set.vm.address = fix_ip();
	set.platform.store_url = str_from_c(url);
	set.platform.call_timeout_ms = TIMEOUT_MS;
	ck_assert_int_eq(kvclient_create(&kvclient, &set, clk_system()), 0);
	return kvclient;
}

static void close_store(struct kvclient *kvclient)
{
	kvclient_destroy(kvclient);
	MHD_stop_daemon(daemon_);
}

static int swap_one(struct kvclient *kvclient, uint64_t *revision)
{
	return kvclient_swap(kvclient, STR_LIT("k"), 3, STR_LIT("v"), 0,
			     revision);
}

START_TEST(read_decodes_keys_and_values)
{
	struct kvclient *kvclient = open_store(
		MODE_ANSWER,
		"{\"header\":{\"revision\":\"12\"},\"kvs\":[{\"key\":\"L2E=\","
		"\"value\":\"eHl6\",\"mod_revision\":\"7\"},"
		"{\"key\":\"L2I=\"}],\"count\":\"2\"}");
	struct kvclient_list list;

	ck_assert_int_eq(kvclient_read(kvclient, STR_LIT("/"), &list), 0);
	ck_assert_uint_eq(list.revision, 12);
	ck_assert_uint_eq(list.count, 2);
	ck_assert(str_eq(list.items[0].key, STR_LIT("/a")));
	ck_assert(str_eq(list.items[0].value, STR_LIT("xyz")));
	ck_assert_uint_eq(list.items[0].mod_revision, 7);
	ck_assert_uint_eq(list.items[1].value.len, 0);
	/* The prefix "/", and "0" as the end of its range. */
	ck_assert_ptr_nonnull(strstr(seen, "\"key\":\"Lw==\""));
	ck_assert_ptr_nonnull(strstr(seen, "\"range_end\":\"MA==\""));
	kvclient_list_free(&list);
	close_store(kvclient);
}
END_TEST

static const struct malformed {
	const char *text;
} malformed[] = {
	{""},
	{"[]"},
	{"{"},
	{"{}"},
	{"{\"header\":{}}"},
	{"{\"header\":{\"revision\":-4}}"},
	{"{\"header\":{\"revision\":\"x\"}}"},
	{"{\"header\":{\"revision\":\"99999999999999999999999\"}}"},
	{"{\"header\":{\"revision\":\"1\"},\"kvs\":[{\"key\":5}]}"},
	{"{\"header\":{\"revision\":\"1\"},\"kvs\":[7]}extra"},
	{"{\"header\":{\"revision\":\"1\"},\"kvs\":[{\"mod_revision\":{}}]}"},
};

START_TEST(malformed_answer_is_no_answer)
{
	struct kvclient *kvclient = open_store(MODE_ANSWER, malformed[_i].text);
	struct kvclient_list list;
	uint64_t revision;

	ck_assert_int_eq(kvclient_read(kvclient, STR_LIT("/"), &list),
			 PST_ERR_UNAVAILABLE);
	/* The store may have written the value before its malformed answer. */
	if (!strstr(malformed[_i].text, "kvs"))
		ck_assert_int_eq(swap_one(kvclient, &revision),
				 PST_ERR_TIMEOUT);
	close_store(kvclient);
}
END_TEST

static const struct fault {
	enum mode mode;
	unsigned status;
	int read_err;
	int swap_err;
} faults[] = {
	{MODE_LOSE_REPLY, 0, PST_ERR_UNAVAILABLE, PST_ERR_TIMEOUT},
	{MODE_SLOW, 0, PST_ERR_UNAVAILABLE, PST_ERR_TIMEOUT},
	{MODE_CUT, 0, PST_ERR_UNAVAILABLE, PST_ERR_TIMEOUT},
	{MODE_STATUS, 503, PST_ERR_UNAVAILABLE, PST_ERR_UNAVAILABLE},
	{MODE_STATUS, 429, PST_ERR_UNAVAILABLE, PST_ERR_UNAVAILABLE},
	{MODE_STATUS, 500, PST_ERR_UNAVAILABLE, PST_ERR_TIMEOUT},
	{MODE_STATUS, 404, PST_ERR_UNAVAILABLE, PST_ERR_TIMEOUT},
};

START_TEST(each_fault_has_its_error)
{
	struct kvclient *kvclient =
		open_store(faults[_i].mode, "{\"header\":{\"revision\":\"4\"},"
					    "\"succeeded\":true}");
	struct kvclient_list list;
	uint64_t revision;

	status = faults[_i].status;
	ck_assert_int_eq(kvclient_read(kvclient, STR_LIT("/"), &list),
			 faults[_i].read_err);
	ck_assert_int_eq(swap_one(kvclient, &revision), faults[_i].swap_err);
	close_store(kvclient);
}
END_TEST

START_TEST(store_that_is_down_did_not_take_a_write)
{
	struct kvclient *kvclient = open_store(MODE_ANSWER, "{}");
	struct kvclient_list list;
	uint64_t revision;
	char url[64];

	snprintf(url, sizeof(url), "http://%.*s:%d", STR_ARG(fix_ip()),
		 DEAD_PORT);
	set.platform.store_url = str_from_c(url);
	kvclient_destroy(kvclient);
	ck_assert_int_eq(kvclient_create(&kvclient, &set, clk_system()), 0);
	ck_assert_int_eq(kvclient_read(kvclient, STR_LIT("/"), &list),
			 PST_ERR_UNAVAILABLE);
	ck_assert_int_eq(swap_one(kvclient, &revision), PST_ERR_UNAVAILABLE);
	close_store(kvclient);
}
END_TEST

/*
 * A write whose answer is lost on a reused connection must not be repeated by
 * libcurl, because the store may have carried it out.
 */
START_TEST(write_is_sent_once)
{
	const char *answer =
		"{\"header\":{\"revision\":\"4\"},\"succeeded\":true}";
	struct kvclient *kvclient = open_store(MODE_ANSWER, answer);
	struct kvclient_list list;
	uint64_t revision = 0;

	ck_assert_int_eq(kvclient_read(kvclient, STR_LIT("/"), &list), 0);
	kvclient_list_free(&list);
	ck_assert_int_eq(swap_one(kvclient, &revision), 0);
	ck_assert_uint_eq(revision, 4);
	mode = MODE_LOSE_REPLY;
	calls = 0;
	ck_assert_int_eq(swap_one(kvclient, &revision), PST_ERR_TIMEOUT);
	ck_assert_uint_eq(calls, 1);
	close_store(kvclient);
}
END_TEST

START_TEST(swap_compares_only_what_is_asked)
{
	const struct kvclient_change changes[] = {
		{.key = STR_LIT("a"), .expected = 9, .value = STR_LIT("1")},
		{.key = STR_LIT("b"), .expected = KVCLIENT_ANY},
	};
	struct kvclient *kvclient =
		open_store(MODE_ANSWER, "{\"header\":{\"revision\":\"6\"}}");
	uint64_t revision = 0;
	json_t *sent;

	ck_assert_int_eq(kvclient_swap_all(kvclient, changes, 2, &revision),
			 PST_ERR_CONFLICT);
	sent = json_loads(seen, 0, NULL);
	ck_assert_uint_eq(json_array_size(json_object_get(sent, "compare")), 1);
	ck_assert_uint_eq(json_array_size(json_object_get(sent, "success")), 2);
	ck_assert_ptr_nonnull(strstr(seen, "\"mod_revision\":\"9\""));
	json_decref(sent);
	close_store(kvclient);
}
END_TEST

START_TEST(lapsed_lease_is_not_found)
{
	struct kvclient *kvclient =
		open_store(MODE_ANSWER, "{\"header\":{\"revision\":\"4\"},"
					"\"ID\":\"77\",\"TTL\":\"5\"}");
	uint64_t lease = 0;

	ck_assert_int_eq(kvclient_lease_grant(kvclient, 5, &lease), 0);
	ck_assert_uint_eq(lease, 77);
	text = "{\"result\":{\"ID\":\"77\",\"TTL\":\"5\"}}";
	ck_assert_int_eq(kvclient_lease_keepalive(kvclient, lease), 0);
	text = "{\"result\":{\"ID\":\"77\"}}";
	ck_assert_int_eq(kvclient_lease_keepalive(kvclient, lease),
			 PST_ERR_NOTFOUND);
	text = "{}";
	ck_assert_int_eq(kvclient_lease_keepalive(kvclient, lease),
			 PST_ERR_UNAVAILABLE);
	mode = MODE_STATUS;
	status = 404;
	ck_assert_int_eq(kvclient_lease_revoke(kvclient, lease),
			 PST_ERR_NOTFOUND);
	close_store(kvclient);
}
END_TEST

static const struct watch_case {
	enum mode mode;
	const char *text;
	int err;
} watch_cases[] = {
	{MODE_ANSWER,
	 "{\"result\":{\"created\":true}}\n{\"result\":{\"events\":[{}]}}\n",
	 0},
	{MODE_ANSWER, "{\"result\":{\"created\":true}}\n", PST_ERR_UNAVAILABLE},
	{MODE_ANSWER, "{\"result\":{\"canceled\":true}}\n",
	 PST_ERR_UNAVAILABLE},
	{MODE_ANSWER, "nonsense\n", PST_ERR_UNAVAILABLE},
	{MODE_LOSE_REPLY, "", PST_ERR_UNAVAILABLE},
	{MODE_SLOW, "{\"result\":{\"events\":[{}]}}\n", PST_ERR_TIMEOUT},
};

START_TEST(watch_tells_change_end_and_silence_apart)
{
	struct kvclient *kvclient =
		open_store(watch_cases[_i].mode, watch_cases[_i].text);

	ck_assert_int_eq(
		kvclient_watch(kvclient, STR_LIT("/pst/"), 41, CLK_MS(100)),
		watch_cases[_i].err);
	ck_assert_ptr_nonnull(strstr(seen, "\"start_revision\":\"42\""));
	close_store(kvclient);
}
END_TEST

static void *interrupt_soon(void *arg)
{
	apr_sleep(CLK_MS(100));
	kvclient_interrupt(arg);
	return NULL;
}

START_TEST(interrupted_watch_ends_and_the_next_call_works)
{
	struct kvclient *kvclient = open_store(MODE_SLOW, "{}\n");
	const apr_time_t began = clk_now(clk_system());
	pthread_t thread;

	slow_ms = 3000;
	ck_assert_int_eq(
		pthread_create(&thread, NULL, interrupt_soon, kvclient), 0);
	ck_assert_int_eq(
		kvclient_watch(kvclient, STR_LIT("/pst/"), 41, CLK_SEC(30)),
		PST_ERR_UNAVAILABLE);
	ck_assert_int_lt(clk_now(clk_system()) - began, CLK_MS(2500));
	pthread_join(thread, NULL);
	slow_ms = SLOW_MS;
	mode = MODE_ANSWER;
	text = "{\"result\":{\"events\":[{}]}}\n";
	ck_assert_int_eq(
		kvclient_watch(kvclient, STR_LIT("/pst/"), 41, CLK_SEC(30)), 0);
	close_store(kvclient);
}
END_TEST

START_TEST(overlong_prefix_is_refused)
{
	static char key[KVCLIENT_KEY_MAX + 1];
	const struct str prefix = {.ptr = key, .len = sizeof(key)};
	struct kvclient *kvclient = open_store(MODE_ANSWER, "{}");
	struct kvclient_list list;

	ck_assert_int_eq(kvclient_read(kvclient, prefix, &list),
			 PST_ERR_INVALID);
	ck_assert_int_eq(kvclient_watch(kvclient, prefix, 1, 1),
			 PST_ERR_INVALID);
	ck_assert_uint_eq(calls, 0);
	close_store(kvclient);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("stc");

#define COUNT(array) ((int)(sizeof(array) / sizeof((array)[0])))
	tcase_add_test(tc, read_decodes_keys_and_values);
	tcase_add_loop_test(tc, malformed_answer_is_no_answer, 0,
			    COUNT(malformed));
	tcase_add_loop_test(tc, each_fault_has_its_error, 0, COUNT(faults));
	tcase_add_test(tc, store_that_is_down_did_not_take_a_write);
	tcase_add_test(tc, write_is_sent_once);
	tcase_add_test(tc, swap_compares_only_what_is_asked);
	tcase_add_test(tc, lapsed_lease_is_not_found);
	tcase_add_loop_test(tc, watch_tells_change_end_and_silence_apart, 0,
			    COUNT(watch_cases));
	tcase_add_test(tc, interrupted_watch_ends_and_the_next_call_works);
	tcase_add_test(tc, overlong_prefix_is_refused);
	return fix_run("stc", tc);
}
