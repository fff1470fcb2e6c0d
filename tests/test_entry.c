/*
 * The entry's carrying of requests, on real sockets, between a scripted
 * upstream and libcurl as the caller. The agents are stand-ins that grant at
 * once, so that only front, route, upstream thread and path are at work.
 */
#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <apr_general.h>
#include <curl/curl.h>

#include "common/err.h"
#include "common/evt.h"
#include "entryd/front.h"
#include "tests/fix_run.h"
#include "tests/fix_upstream.h"

#define ENTRY_PORT    18080
#define UPSTREAM_PORT 18090

/* The row of one rank. */
#define ROW(rank)                                                          \
	"{\"rank\":\"" rank "\",\"deadline_ms\":3000,\"reserved_pct\":20," \
	"\"shift_cap_pct_per_s\":10,\"weights\":{\"d1\":1},"               \
	"\"region_limits\":{}}"

static struct settings set;
static struct rte *rte;
static struct ctl_view view;
/* Index of the domain that is picked: 0 in this region, 1 in another. */
static int remote;
/* Bytes of the link that are given at a time. */
static size_t link_piece = 5000;
/* Bytes of the link taken and not returned. */
static atomic_uint_fast64_t taken;
static atomic_uint granted;
static atomic_uint released;
static atomic_uint reported_load;
static atomic_uint ended[3];
static enum tkt_verdict verdict = TKT_RUN;

struct ctl_view *ctl_agent_view(struct ctl_agent *agent)
{
	(void)agent;
	return &view;
}

void ctl_view_put(struct ctl_view *v)
{
	(void)v;
}

bool ctl_agent_fresh(struct ctl_agent *agent)
{
	(void)agent;
	return true;
}

int quota_pick_domain(struct quota_agent *agent, const struct tbl *tbl,
		      const struct tbl_row *row, uint64_t random,
		      const bool *skip)
{
	(void)agent;
	(void)tbl;
	(void)row;
	(void)random;
	return skip[0] ? -1 : remote;
}

bool quota_take_request(struct quota_agent *agent, const struct tbl_row *row,
			uint32_t region)
{
	(void)agent;
	(void)row;
	(void)region;
	return true;
}

size_t quota_take_bytes(struct quota_agent *agent, uint32_t from, uint32_t to,
			enum rank rank, size_t want)
{
	(void)agent;
	(void)rank;
	if (from == to)
		return want;
	ck_assert_uint_gt(want, 0);
	want = want < link_piece ? want : link_piece;
	taken += want;
	return want;
}

void quota_return_taken(struct quota_agent *agent, uint32_t from, uint32_t to,
			size_t bytes, apr_time_t taken_at)
{
	ck_assert_int_le(taken_at, clk_now(clk_system()));
	ck_assert_int_gt(taken_at, 0);
	(void)agent;
	(void)from;
	(void)to;
	taken -= bytes;
}

int permit_agent_ask(struct permit_agent *agent, const struct permit_ask *ask)
{
	struct permit_answer answer = {
		.ask_id = ask->id,
		.result = PERMIT_GRANTED,
		.permit_id = ask->id,
		.port = UPSTREAM_PORT,
	};

	(void)agent;
	strbuf_set(&answer.upstream, STR_LIT("u1"));
	strbuf_set(&answer.address, fix_ip());
	granted++;
	rte_on_permit(rte, &answer);
	return 0;
}

void permit_agent_cancel(struct permit_agent *agent, uint64_t ask_id)
{
	(void)agent;
	(void)ask_id;
}

void permit_agent_release(struct permit_agent *agent, uint64_t permit_id,
			  enum permit_outcome outcome)
{
	(void)agent;
	(void)permit_id;
	(void)outcome;
	released++;
}

void permit_agent_report(struct permit_agent *agent, uint64_t permit_id,
			 const struct permit_report *report)
{
	(void)agent;
	(void)permit_id;
	reported_load = report->load_permille;
}

int tkt_agent_admit(struct tkt_agent *agent, uint64_t request_id,
		    struct str key, apr_time_t deadline)
{
	const struct tkt_answer answer = {
		.request_id = request_id,
		.verdict = verdict,
		.reason = verdict == TKT_RUN ? 0 : PST_ERR_TKT_SEALED,
	};

	(void)agent;
	(void)key;
	(void)deadline;
	rte_on_ticket(rte, &answer);
	return 0;
}

void tkt_agent_end(struct tkt_agent *agent, struct str key, enum tkt_end end)
{
	(void)agent;
	(void)key;
	ended[end]++;
}

size_t tkt_agent_issue(struct tkt_agent *agent, size_t count,
		       char out[][TKT_KEY_MAX + 1])
{
	(void)agent;
	for (size_t i = 0; i < count; i++)
		snprintf(out[i], TKT_KEY_MAX, "t%zu", i);
	return count;
}

struct caller {
	CURLcode code;
	long status;
	size_t bytes;
	bool pattern_ok;
	char text[2048];
};

static size_t on_bytes(char *bytes, size_t size, size_t count, void *ctx)
{
	struct caller *c = ctx;

	for (size_t i = 0; i < size * count; i++) {
		const size_t at = c->bytes++;

		if ((unsigned char)bytes[i] != fix_upstream_byte(at))
			c->pattern_ok = false;
		if (at < sizeof(c->text) - 1)
			c->text[at] = bytes[i];
	}
	return size * count;
}

static size_t give_bytes(char *out, size_t size, size_t count, void *ctx)
{
	size_t *left = ctx;
	const size_t n = *left < size * count ? *left : size * count;

	memset(out, 'x', n);
	*left -= n;
	return n;
}

/* Sends one request and waits for its end; upload 0 means no body. */
static struct caller call(const char *method, const char *path,
			  const char *header, size_t upload, bool chunked)
{
	struct caller c = {.pattern_ok = true};
	struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
	CURL *easy = curl_easy_init();
	char url[256];

	snprintf(url, sizeof(url), "http://%s:%d%s", fix_ip().ptr, ENTRY_PORT,
		 path);
	if (header)
		headers = curl_slist_append(headers, header);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_bytes);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &c);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 10000L);
	if (upload) {
		curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(easy, CURLOPT_READFUNCTION, give_bytes);
		curl_easy_setopt(easy, CURLOPT_READDATA, &upload);
		if (!chunked)
			curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE,
					 (curl_off_t)upload);
	} else if (strcmp(method, "GET") != 0) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, "");
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
	c.code = curl_easy_perform(easy);
	curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &c.status);
	curl_easy_cleanup(easy);
	curl_slist_free_all(headers);
	return c;
}

static void wait_idle(void)
{
	for (int i = 0; i < 500 && rte_in_progress(rte); i++)
		usleep(10000);
	ck_assert_uint_eq(rte_in_progress(rte), 0);
	ck_assert_uint_eq(granted, released);
}

START_TEST(answer_is_passed_whole)
{
	const struct caller c = call("GET", "/s/svc/ok", NULL, 0, false);

	ck_assert_int_eq(c.code, CURLE_OK);
	ck_assert_int_eq(c.status, 200);
	ck_assert_str_eq(c.text, "hello");
	wait_idle();
	ck_assert_uint_eq(reported_load, 250);
}
END_TEST

START_TEST(large_answer_is_passed_whole_through_a_small_buffer)
{
	const struct caller c = call("GET", "/s/svc/big", NULL, 0, false);

	ck_assert_int_eq(c.code, CURLE_OK);
	ck_assert_uint_eq(c.bytes, FIX_BIG_BYTES);
	ck_assert(c.pattern_ok);
	wait_idle();
}
END_TEST

START_TEST(upload_is_passed_whole_with_and_without_stated_length)
{
	struct caller c = call("POST", "/s/svc/length", NULL, 5000000, false);

	ck_assert_int_eq(c.code, CURLE_OK);
	ck_assert_str_eq(c.text, "5000000");
	c = call("POST", "/s/svc/length", NULL, 700001, true);
	ck_assert_int_eq(c.code, CURLE_OK);
	ck_assert_str_eq(c.text, "700001");
	wait_idle();
}
END_TEST

START_TEST(answer_of_another_request_is_never_passed)
{
	const struct caller c = call("GET", "/s/svc/crossed", NULL, 0, false);

	ck_assert_int_eq(c.status, 502);
	ck_assert_ptr_nonnull(strstr(c.text, "\"run\":\"unknown\""));
	wait_idle();
}
END_TEST

START_TEST(truncated_answer_breaks_the_connection)
{
	const struct caller c = call("GET", "/s/svc/truncate", NULL, 0, false);

	ck_assert_int_ne(c.code, CURLE_OK);
	ck_assert_uint_lt(c.bytes, 100);
	wait_idle();
}
END_TEST

START_TEST(wrong_digest_is_never_passed_as_whole)
{
	const struct caller c = call("GET", "/s/svc/digest", NULL, 0, false);

	ck_assert(c.code != CURLE_OK || c.status == 502);
	ck_assert_uint_ne(c.bytes, 5);
	wait_idle();
}
END_TEST

START_TEST(shed_request_is_sent_again_or_told_not_run)
{
	struct caller c = call("POST", "/s/svc/shedonce", NULL, 0, false);

	ck_assert_int_eq(c.status, 200);
	c = call("POST", "/s/svc/shed", NULL, 0, false);
	ck_assert_int_eq(c.status, 503);
	ck_assert_ptr_nonnull(strstr(c.text, "\"run\":\"no\""));
	wait_idle();
}
END_TEST

START_TEST(lost_booking_runs_once_and_is_unknown)
{
	const unsigned before = fix_upstream_runs;
	struct caller c;

	/* Idle connections are there to be reused. */
	call("GET", "/s/svc/ok", NULL, 0, false);
	c = call("POST", "/s/svc/drop", "Idempotency-Key: \"k1\"", 0, false);
	ck_assert_int_eq(c.status, 502);
	ck_assert_ptr_nonnull(strstr(c.text, "\"run\":\"unknown\""));
	wait_idle();
	ck_assert_uint_eq(fix_upstream_runs, before + 2);
	ck_assert_uint_eq(ended[TKT_END_UNKNOWN], 1);
}
END_TEST

START_TEST(key_that_may_not_run_is_refused_without_a_run)
{
	const unsigned before = fix_upstream_runs;
	struct caller c;

	verdict = TKT_NOT_RUN;
	c = call("POST", "/s/svc/ok", "Idempotency-Key: k2", 0, false);
	ck_assert_int_eq(c.status, 409);
	ck_assert_ptr_nonnull(strstr(c.text, "\"run\":\"no\""));
	ck_assert_ptr_nonnull(strstr(c.text, "\"reason\":\"TKT_SEALED\""));
	verdict = TKT_UNKNOWN;
	c = call("POST", "/s/svc/ok", "Idempotency-Key: k3", 0, false);
	ck_assert_ptr_nonnull(strstr(c.text, "\"run\":\"unknown\""));
	verdict = TKT_RUN;
	wait_idle();
	ck_assert_uint_eq(fix_upstream_runs, before);
}
END_TEST

START_TEST(silent_upstream_is_left_within_the_bound)
{
	const apr_time_t began = clk_now(clk_system());
	const struct caller c = call("GET", "/s/svc/silent", NULL, 0, false);

	ck_assert_int_eq(c.status, 504);
	ck_assert_ptr_nonnull(strstr(c.text, "\"run\":\"unknown\""));
	/* Three tries of the silence bound each, and a margin of one more. */
	ck_assert_int_lt(clk_now(clk_system()) - began, CLK_MS(4 * 300));
	wait_idle();
}
END_TEST

START_TEST(connection_that_went_silent_is_not_used_again)
{
	/* The first request of a connection is answered, later ones are not. */
	for (int i = 0; i < 3; i++) {
		const struct caller c =
			call("GET", "/s/svc/later", NULL, 0, false);

		ck_assert_int_eq(c.status, 200);
	}
	wait_idle();
}
END_TEST

START_TEST(deadline_of_a_booking_ends_it_as_unknown)
{
	const struct caller c =
		call("POST", "/s/svc/silent", "X-Deadline-Ms: 200", 0, false);

	ck_assert_int_eq(c.status, 504);
	ck_assert_ptr_nonnull(strstr(c.text, "\"run\":\"unknown\""));
	wait_idle();
}
END_TEST

/* A request's head may be counted with this much more than it has. */
#define HEAD_SPARE 128

/* What one exchange took: its bodies and both heads, counted upstream. */
static void expect_taken(uint64_t bodies)
{
	const uint64_t sent = bodies + atomic_exchange(&fix_upstream_heads, 0);
	const uint64_t got = atomic_exchange(&taken, 0);

	ck_assert_uint_ge(got, sent);
	ck_assert_uint_le(got, sent + HEAD_SPARE);
}

START_TEST(small_share_of_a_link_slows_but_does_not_stop)
{
	struct caller c;

	remote = 1;
	atomic_store(&fix_upstream_heads, 0);
	c = call("GET", "/s/svc/ok", NULL, 0, false);
	ck_assert_int_eq(c.status, 200);
	wait_idle();
	/* Every byte taken was sent, or has been returned. */
	expect_taken(5);
	c = call("GET", "/s/svc/big", NULL, 0, false);
	ck_assert_int_eq(c.code, CURLE_OK);
	ck_assert_uint_eq(c.bytes, FIX_BIG_BYTES);
	wait_idle();
	expect_taken(FIX_BIG_BYTES);
	c = call("POST", "/s/svc/length", NULL, 500000, false);
	ck_assert_str_eq(c.text, "500000");
	wait_idle();
	expect_taken(500000 + 6);
	remote = 0;
}
END_TEST

START_TEST(link_without_room_ends_a_request_after_its_deadline)
{
	struct caller c;

	remote = 1;
	link_piece = 0;
	c = call("POST", "/s/svc/length", "X-Deadline-Ms: 200", 500000, false);
	link_piece = 5000;
	remote = 0;
	ck_assert_int_eq(c.status, 502);
	ck_assert_ptr_nonnull(strstr(c.text, "\"run\":\"no\""));
	wait_idle();
}
END_TEST

START_TEST(refusal_of_the_proxy_is_told_as_not_run)
{
	static char text[64];
	struct str proxy;
	struct caller c;

	snprintf(text, sizeof(text), "r2=%s:%d", fix_ip().ptr, UPSTREAM_PORT);
	proxy = str_from_c(text);
	set.net.proxies = &proxy;
	set.net.proxies_count = 1;
	remote = 1;
	c = call("POST", "/s/svc/ok", "Idempotency-Key: k4", 0, false);
	ck_assert_int_eq(c.status, 502);
	ck_assert_ptr_nonnull(strstr(c.text, "\"run\":\"no\""));
	wait_idle();
	set.net.proxies_count = 0;
	remote = 0;
}
END_TEST

START_TEST(connection_stays_open_between_requests)
{
	CURL *easy = curl_easy_init();
	long opened = 0;
	char url[128];

	for (int i = 0; i < 4; i++) {
		struct caller c = {0};

		/* The last one is refused. */
		snprintf(url, sizeof(url), "http://%s:%d/s/%s/ok", fix_ip().ptr,
			 ENTRY_PORT, i < 3 ? "svc" : "other");
		curl_easy_setopt(easy, CURLOPT_URL, url);
		curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_bytes);
		curl_easy_setopt(easy, CURLOPT_WRITEDATA, &c);
		ck_assert_int_eq(curl_easy_perform(easy), CURLE_OK);
		curl_easy_getinfo(easy, CURLINFO_NUM_CONNECTS, &opened);
		ck_assert_int_eq(opened, i ? 0 : 1);
	}
	curl_easy_cleanup(easy);
	wait_idle();
}
END_TEST

START_TEST(malformed_requests_get_their_own_answer)
{
	struct caller c = call("GET", "/nowhere", NULL, 0, false);

	ck_assert_int_eq(c.status, 404);
	c = call("GET", "/s/other/ok", NULL, 0, false);
	ck_assert_int_eq(c.status, 404);
	c = call("GET", "/s/svc/ok", "Priority: u=9", 0, false);
	ck_assert_int_eq(c.status, 400);
	ck_assert_ptr_null(strstr(c.text, "\"request_id\":\"\""));
	c = call("POST", "/s/svc/ok", "Idempotency-Key: a b", 0, false);
	ck_assert_int_eq(c.status, 400);
	c = call("POST", "/s/svc/length", NULL, 20000000, false);
	ck_assert_int_eq(c.status, 413);
	c = call("POST", "/v1/tickets?count=2", NULL, 0, false);
	ck_assert_str_eq(c.text, "{\"tickets\":[\"t0\",\"t1\"]}");
	c = call("POST", "/v1/tickets?count=0", NULL, 0, false);
	ck_assert_int_eq(c.status, 400);
	wait_idle();
}
END_TEST

static void load_table(void)
{
	const struct tbl_part parts[] = {
		{
			.key = STR_LIT("/pst/table/manifest"),
			.value = STR_LIT(
				"{\"regions\":[\"r1\",\"r2\"],\"domains\":[{"
				"\"name\":\"d1\",\"region\":\"r1\"},{"
				"\"name\":\"d2\",\"region\":\"r2\"}],\"links\":"
				"[],"
				"\"services\":[\"svc\"]}"),
		},
		{
			.key = STR_LIT("/pst/table/service/svc"),
			.value = STR_LIT("{\"rows\":[" ROW("urgent") "," ROW(
				"normal") "," ROW("bulk") "]}"),
		},
	};
	struct tbl_problem problem;

	if (tbl_parse(&view.tbl, parts, 2, 1, &problem)) {
		fprintf(stderr, "table refused: %s\n", problem.cell.ptr);
		exit(EXIT_FAILURE);
	}
}

static void start_entry(void)
{
	struct rte_parts parts = {0};
	struct frt *frt = NULL;

	set.vm.id = STR_LIT("e1");
	set.vm.region = STR_LIT("r1");
	set.vm.failure_domain = STR_LIT("d1");
	set.vm.address = fix_ip();
	set.entry.port = ENTRY_PORT;
	set.entry.max_connections = 64;
	set.entry.max_requests = 64;
	set.entry.max_header_bytes = 16384;
	set.entry.max_body_bytes = 10000000;
	set.entry.buffer_bytes = 65536;
	set.entry.idle_timeout_ms = 5000;
	set.entry.silence_timeout_ms = 300;
	set.entry.connect_timeout_ms = 300;
	set.entry.link_window_bytes = 262144;
	set.entry.threads = 1;
	load_table();
	if (rte_create(&rte, &set, clk_system()) ||
	    ups_start(&parts.ups, &set, clk_system(), NULL, rte) ||
	    rte_start(rte, &parts) ||
	    frt_start(&frt, &set, clk_system(), rte, parts.ups, NULL)) {
		fprintf(stderr, "the entry could not be started\n");
		exit(EXIT_FAILURE);
	}
}

static void *tick(void *arg)
{
	(void)arg;
	for (;;) {
		usleep(RTE_TICK);
		rte_tick(rte);
	}
	return NULL;
}

int main(void)
{
	TCase *tc = tcase_create("entry");
	pthread_t ticker;

	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	evt_init(getenv("PST_TEST_LOG") ? "info" : "error");
	fix_upstream_start(fix_ip(), UPSTREAM_PORT);
	start_entry();
	pthread_create(&ticker, NULL, tick, NULL);
	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, answer_is_passed_whole);
	tcase_add_test(tc, large_answer_is_passed_whole_through_a_small_buffer);
	tcase_add_test(tc,
		       upload_is_passed_whole_with_and_without_stated_length);
	tcase_add_test(tc, answer_of_another_request_is_never_passed);
	tcase_add_test(tc, truncated_answer_breaks_the_connection);
	tcase_add_test(tc, wrong_digest_is_never_passed_as_whole);
	tcase_add_test(tc, shed_request_is_sent_again_or_told_not_run);
	tcase_add_test(tc, lost_booking_runs_once_and_is_unknown);
	tcase_add_test(tc, key_that_may_not_run_is_refused_without_a_run);
	tcase_add_test(tc, silent_upstream_is_left_within_the_bound);
	tcase_add_test(tc, connection_that_went_silent_is_not_used_again);
	tcase_add_test(tc, deadline_of_a_booking_ends_it_as_unknown);
	tcase_add_test(tc, small_share_of_a_link_slows_but_does_not_stop);
	tcase_add_test(tc, link_without_room_ends_a_request_after_its_deadline);
	tcase_add_test(tc, refusal_of_the_proxy_is_told_as_not_run);
	tcase_add_test(tc, connection_stays_open_between_requests);
	tcase_add_test(tc, malformed_requests_get_their_own_answer);
	return fix_run("entry", tc);
}
