#include "tests/fix_entry.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <apr_general.h>

#include "common/err.h"
#include "common/evt.h"
#include "entryd/frontend.h"
#include "tests/fix_run.h"
#include "tests/fix_upstream.h"
#include "tests/stub_agents.h"

/* The JSON row of one rank. */
#define ROW(rank)                                                          \
	"{\"rank\":\"" rank "\",\"deadline_ms\":3000,\"reserved_pct\":20," \
	"\"shift_cap_pct_per_s\":10,\"weights\":{\"d1\":1},"               \
	"\"region_limits\":{}}"

struct settings fix_entry_set;

static struct frontend *frontend;

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

	if (tbl_parse(&stub_view.tbl, parts, 2, 1, &problem)) {
		fprintf(stderr, "table refused: %s\n", problem.cell.ptr);
		exit(EXIT_FAILURE);
	}
}

static void start_entry(void)
{
	struct router_deps deps = {0};

	fix_entry_set.vm.id = STR_LIT("e1");
	fix_entry_set.vm.region = STR_LIT("r1");
	fix_entry_set.vm.failure_domain = STR_LIT("d1");
	fix_entry_set.vm.address = fix_ip();
	fix_entry_set.entry.port = FIX_ENTRY_PORT;
	fix_entry_set.entry.max_connections = 64;
	fix_entry_set.entry.max_requests = 64;
	fix_entry_set.entry.max_header_bytes = 16384;
	fix_entry_set.entry.max_body_bytes = 10000000;
	fix_entry_set.entry.buffer_bytes = 65536;
	fix_entry_set.entry.idle_timeout_ms = 1000;
	fix_entry_set.entry.head_timeout_ms = 1000;
	fix_entry_set.entry.body_min_bytes_per_s = 1000;
	fix_entry_set.entry.silence_timeout_ms = 300;
	fix_entry_set.entry.connect_timeout_ms = 300;
	fix_entry_set.entry.link_window_bytes = 262144;
	fix_entry_set.entry.threads = 1;
	stub_upstream_ip = fix_ip();
	stub_upstream_port = FIX_ENTRY_UPSTREAM_PORT;
	load_table();
	if (router_create(&stub_rte, &fix_entry_set, clk_system()) ||
	    forwarder_start(&deps.forwarder, &fix_entry_set, clk_system(), NULL,
			    stub_rte) ||
	    router_start(stub_rte, &deps) ||
	    frontend_start(&frontend, &fix_entry_set, clk_system(), stub_rte,
			   deps.forwarder, NULL)) {
		fprintf(stderr, "the entry could not be started\n");
		exit(EXIT_FAILURE);
	}
}

static pthread_t tick_thread;
static atomic_bool tick_thread_stop;

static void *tick(void *arg)
{
	(void)arg;
	while (!tick_thread_stop) {
		usleep(ROUTER_TICK);
		router_tick(stub_rte);
	}
	return NULL;
}

/* A message still queued at the exit would be reported as a leak. */
static void stop_threads(void)
{
	tick_thread_stop = true;
	pthread_join(tick_thread, NULL);
	router_stop(stub_rte);
}

size_t fix_entry_collect(char *bytes, size_t size, size_t count, void *ctx)
{
	struct fix_caller *c = ctx;

	for (size_t i = 0; i < size * count; i++) {
		const size_t position = c->bytes++;

		if ((unsigned char)bytes[i] != fix_upstream_byte(position))
			c->pattern_ok = false;
		if (position < sizeof(c->text) - 1)
			c->text[position] = bytes[i];
	}
	return size * count;
}

static size_t upload_bytes(char *out, size_t size, size_t count, void *ctx)
{
	size_t *left = ctx;
	const size_t n = *left < size * count ? *left : size * count;

	memset(out, 'x', n);
	*left -= n;
	return n;
}

struct fix_caller fix_entry_call(const char *method, const char *path,
				 const char *header, size_t upload,
				 bool chunked)
{
	struct fix_caller c = {.pattern_ok = true};
	struct curl_slist *headers = curl_slist_append(NULL, "Expect:");
	CURL *easy = curl_easy_init();
	char url[256];

	snprintf(url, sizeof(url), "http://%s:%d%s", fix_ip().ptr,
		 FIX_ENTRY_PORT, path);
	if (header)
		headers = curl_slist_append(headers, header);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, fix_entry_collect);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &c);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 10000L);
	if (upload) {
		curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(easy, CURLOPT_READFUNCTION, upload_bytes);
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

void fix_entry_drain(void)
{
	frontend_drain(frontend);
}

void fix_entry_stop(void)
{
	frontend_stop(frontend);
}

void fix_entry_wait_idle(void)
{
	for (int i = 0; i < 500 && router_in_progress(stub_rte); i++)
		usleep(10000);
	ck_assert_uint_eq(router_in_progress(stub_rte), 0);
	ck_assert_uint_eq(stub_granted, stub_released);
}

int fix_entry_run(const char *module, TCase *tc)
{
	apr_initialize();
	curl_global_init(CURL_GLOBAL_DEFAULT);
	evt_init(getenv("PST_TEST_LOG") ? "info" : "error");
	fix_upstream_start(fix_ip(), FIX_ENTRY_UPSTREAM_PORT);
	start_entry();
	pthread_create(&tick_thread, NULL, tick, NULL);
	atexit(stop_threads);
	tcase_set_timeout(tc, 60);
	return fix_run(module, tc);
}
