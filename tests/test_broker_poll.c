#include <check.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <microhttpd.h>

#include "common/clk.h"
#include "common/err.h"
#include "common/net.h"
#include "controld/broker_poll.h"
#include "policy/orca.h"
#include "tests/fix_run.h"

#define PORT 18398

/* Longest time until the first sign of draining stops new work. */
#define DRAIN_TIME_MAX CLK_SEC(2)

/* Time limit of each wait, in seconds. */
#define WAIT_MAX_S 10

static struct settings set;
static atomic_bool draining;
static atomic_bool malformed;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t report_arrived = PTHREAD_COND_INITIALIZER;
static struct load_report latest;
static uint64_t reports;

static enum MHD_Result answer(void *cls, struct MHD_Connection *connection,
			      const char *url, const char *method,
			      const char *version, const char *body,
			      size_t *body_size, void **ctx)
{
	const char *text = draining ? "{\"application_utilization\":0.75,"
				      "\"named_metrics\":{\"draining\":1}}"
				    : "{\"application_utilization\":0.25}";
	struct MHD_Response *response;
	enum MHD_Result result;

	(void)cls;
	(void)method;
	(void)version;
	(void)body;
	(void)body_size;
	(void)ctx;
	if (malformed)
		text = "[not a report";
	response = MHD_create_response_from_buffer(
		strlen(text), (void *)(uintptr_t)text, MHD_RESPMEM_PERSISTENT);
	result = MHD_queue_response(connection,
				    strcmp(url, "/load") ? 404 : 200, response);
	MHD_destroy_response(response);
	return result;
}

static struct MHD_Daemon *start_upstream(void)
{
	struct net_addr addr;
	struct MHD_Daemon *daemon;

	ck_assert_int_eq(net_addr_make(&addr, fix_ip(), PORT), 0);
	daemon = MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD, PORT, NULL,
				  NULL, answer, NULL, MHD_OPTION_SOCK_ADDR,
				  &addr.ss, MHD_OPTION_END);
	ck_assert_ptr_nonnull(daemon);
	return daemon;
}

static void on_report(void *ctx, const struct strbuf *upstream,
		      const struct load_report *report)
{
	(void)ctx;
	ck_assert_str_eq(upstream->ptr, "u1");
	pthread_mutex_lock(&lock);
	latest = *report;
	reports++;
	pthread_cond_broadcast(&report_arrived);
	pthread_mutex_unlock(&lock);
}

static void wait_for(bool wanted)
{
	struct timespec until;
	uint64_t first;
	int err = 0;

	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += WAIT_MAX_S;
	pthread_mutex_lock(&lock);
	first = reports;
	while ((reports == first || latest.draining != wanted) && !err)
		err = pthread_cond_timedwait(&report_arrived, &lock, &until);
	pthread_mutex_unlock(&lock);
	ck_assert_int_eq(err, 0);
}

static struct broker_poll *start_poll(void)
{
	struct broker_poll_target *target = calloc(2, sizeof(*target));
	struct broker_poll *poll = NULL;
	struct set_range bad;

	if (!set.broker.poll_interval_ms)
		ck_assert_int_eq(set_convert(NULL, &set, &bad), 0);
	set.vm.address = fix_ip();
	ck_assert_ptr_nonnull(target);
	strbuf_set(&target[0].upstream, STR_LIT("u1"));
	strbuf_set(&target[0].address, fix_ip());
	target[0].port = PORT;
	/* Nothing listens on this port. */
	strbuf_set(&target[1].upstream, STR_LIT("u2"));
	strbuf_set(&target[1].address, fix_ip());
	target[1].port = 1;
	ck_assert_int_eq(
		broker_poll_start(&poll, &set, clk_system(), on_report, NULL),
		0);
	ck_assert_int_eq(broker_poll_set_targets(poll, target, 2), 0);
	return poll;
}

START_TEST(drain_is_seen_in_time)
{
	struct MHD_Daemon *upstream = start_upstream();
	struct broker_poll *poll = start_poll();
	apr_time_t from;

	wait_for(false);
	ck_assert_uint_eq(latest.load_permille, 250);
	draining = true;
	from = clk_now(clk_system());
	wait_for(true);
	ck_assert_int_lt(clk_now(clk_system()) - from, DRAIN_TIME_MAX);
	broker_poll_stop(poll);
	MHD_stop_daemon(upstream);
	draining = false;
}
END_TEST

START_TEST(malformed_report_is_ignored)
{
	struct MHD_Daemon *upstream = start_upstream();
	struct broker_poll *poll = start_poll();
	uint64_t before;

	wait_for(false);
	malformed = true;
	pthread_mutex_lock(&lock);
	before = reports;
	pthread_mutex_unlock(&lock);
	apr_sleep(CLK_MS(3 * set.broker.poll_interval_ms));
	/* One report may have been in flight. */
	ck_assert_uint_le(reports, before + 1);
	malformed = false;
	wait_for(false);
	broker_poll_stop(poll);
	MHD_stop_daemon(upstream);
}
END_TEST

START_TEST(reports_are_parsed)
{
	struct load_report r;

	ck_assert_int_eq(orca_parse(STR_LIT("{\"application_utilization\":0.5,"
					    "\"named_metrics\":{\"draining\":0,"
					    "\"cold\":1}}"),
				    &r),
			 0);
	ck_assert_uint_eq(r.load_permille, 500);
	ck_assert(!r.draining && r.cold);
	ck_assert_int_eq(orca_parse(STR_LIT("{}"), &r), 0);
	ck_assert_uint_eq(r.load_permille, 0);
	ck_assert_int_eq(
		orca_parse(STR_LIT("{\"application_utilization\":-1e99}"), &r),
		0);
	ck_assert_uint_eq(r.load_permille, 0);
	ck_assert_int_eq(orca_parse(STR_LIT("3"), &r), PST_ERR_INVALID);
	ck_assert_int_eq(orca_parse(STR_LIT(""), &r), PST_ERR_INVALID);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("brk_poll");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, drain_is_seen_in_time);
	tcase_add_test(tc, malformed_report_is_ignored);
	tcase_add_test(tc, reports_are_parsed);
	return fix_run("brk_poll", tc);
}
