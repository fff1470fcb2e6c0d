#include <check.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <apr_general.h>

#include "agent/permit.h"
#include "agent/permit_local.h"
#include "agent/tablemsg.h"
#include "common/err.h"
#include "common/rpcs.h"
#include "controld/broker_svc.h"
#include "schema/gen/table.h"
#include "tests/fix_run.h"

#define PORT	 18397
#define ROUNDS	 300
#define DEADLINE CLK_SEC(2)

/* Bounds the wait for a condition in a test that fails. */
#define MAX_WAIT_S 10

#define ROW(rank, reserved)                                  \
	"{\"rank\":\"" rank                                  \
	"\",\"deadline_ms\":1000,\"reserved_pct\":" reserved \
	",\"shift_cap_pct_per_s\":10,"                       \
	"\"weights\":{\"almaty-1\":100},\"region_limits\":{}}"

static const char manifest[] =
	"{\"regions\":[\"almaty\"],\"domains\":[{\"name\":\"almaty-1\","
	"\"region\":\"almaty\"}],\"links\":[],\"services\":[\"status\"]}";
static const char rows[] = "{\"rows\":[" ROW("urgent", "50") "," ROW(
	"normal", "30") "," ROW("bulk", "20") "]}";

static struct settings set;
static struct tbl *tbl;
static struct vmlist *vmlist;
static struct tbl_part parts[2];
static struct ctl_agent *ctl;
static struct curview *curview;
static struct permit_agent *agent;
static struct broker_svc *svc;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t came = PTHREAD_COND_INITIALIZER;
static struct permit_answer latest;
static uint64_t answers;

static int handle_view(void *ctx, const struct net_addr *peer, void *args,
		       void *res)
{
	table_answer *answer = res;

	(void)ctx;
	(void)peer;
	(void)args;
	answer->status.vm = strdup("e1");
	answer->status.incarnation = 1;
	answer->status.revision = 1;
	answer->status.fresh = true;
	answer->parts.parts_val = tablemsg_parts_encode(parts, 2);
	answer->parts.parts_len = 2;
	answer->list_incarnation = 1;
	answer->list = tablemsg_list_encode(vmlist);
	return 0;
}

static const struct rpcs_proc view_proc = {
	.proc = TABLE_VIEW,
	.xargs = (xdrproc_t)xdr_table_ask,
	.args_size = sizeof(table_ask),
	.xres = (xdrproc_t)xdr_table_answer,
	.res_size = sizeof(table_answer),
	.handle = handle_view,
};

static const struct rpcs_program view_program = {
	.prog = TABLE_PROGRAM,
	.vers = TABLE_VERSION,
	.procs = &view_proc,
	.proc_count = 1,
};

static bool allow(void *ctx, struct str ip)
{
	(void)ctx;
	(void)ip;
	return true;
}

static void on_answer(void *ctx, const struct permit_answer *answer)
{
	(void)ctx;
	pthread_mutex_lock(&lock);
	latest = *answer;
	answers++;
	pthread_cond_broadcast(&came);
	pthread_mutex_unlock(&lock);
}

static void read_platform(void)
{
	struct tbl_problem problem;
	char json[1024];
	const int len = snprintf(
		json, sizeof(json),
		"{\"revision\":1,\"vms\":["
		"{\"id\":\"e1\",\"kind\":\"entry\",\"state\":\"live\","
		"\"region\":\"almaty\",\"failure_domain\":\"almaty-1\","
		"\"address\":\"%s\"},"
		"{\"id\":\"u1\",\"kind\":\"upstream\",\"state\":\"live\","
		"\"region\":\"almaty\",\"failure_domain\":\"almaty-1\","
		"\"address\":\"%s\",\"port\":1,\"service\":\"status\","
		"\"slots\":4}]}",
		fix_ip().ptr, fix_ip().ptr);

	parts[0] = (struct tbl_part){STR_LIT("/pst/table/manifest"), 1,
				     str_from_c(manifest)};
	parts[1] = (struct tbl_part){STR_LIT("/pst/table/service/status"), 1,
				     str_from_c(rows)};
	ck_assert_int_eq(tbl_parse(&tbl, parts, 2, 1, &problem), 0);
	ck_assert_int_eq(vmlist_parse(&vmlist, (struct str){json, (size_t)len}),
			 0);
}

static void fill_settings(void)
{
	struct set_range bad;

	ck_assert_int_eq(set_convert(NULL, &set, &bad), 0);
	set.vm.id = STR_LIT("e1");
	set.vm.region = STR_LIT("almaty");
	set.vm.failure_domain = STR_LIT("almaty-1");
	set.vm.address = fix_ip();
	set.control.rpc_port = PORT;
	set.control.sync_interval_ms = 20;
	set.entry.rpc_port = PORT;
}

static void start(void)
{
	apr_initialize();
	fill_settings();
	read_platform();
	ck_assert_int_eq(curview_create(&curview), 0);
	curview_publish(curview, ctl_view_make(tbl, vmlist));
	ck_assert_int_eq(rpcs_register(&view_program), 0);
	ck_assert_int_eq(ctl_agent_start(&ctl, &set, clk_system()), 0);
	ck_assert_int_eq(permit_agent_start(&agent, &set, clk_system(), ctl,
					    on_answer, NULL),
			 0);
	ck_assert_int_eq(broker_svc_start(&svc, &set, clk_system(), curview),
			 0);
	ck_assert_int_eq(rpcs_start(fix_ip(), PORT,
				    (struct rpcs_filter){.allow = allow}),
			 0);
}

static void stop(void)
{
	rpcs_stop();
	permit_agent_stop(agent);
	broker_svc_stop(svc);
	ctl_agent_stop(ctl);
	curview_destroy(curview);
	tbl_put(tbl);
	vmlist_put(vmlist);
	apr_terminate();
}

/* Asks and waits for the answer; returns the time taken. */
static apr_interval_time_t ask_once(uint64_t id, enum rank rank)
{
	const apr_time_t from = clk_now(clk_system());
	struct permit_ask ask = {
		.id = id,
		.rank = rank,
		.deadline = from + DEADLINE,
	};
	struct timespec until;
	uint64_t before;
	int err = 0;

	strbuf_set(&ask.service, STR_LIT("status"));
	strbuf_set(&ask.domain, STR_LIT("almaty-1"));
	clock_gettime(CLOCK_REALTIME, &until);
	until.tv_sec += MAX_WAIT_S;
	pthread_mutex_lock(&lock);
	before = answers;
	ck_assert_int_eq(permit_agent_ask(agent, &ask), 0);
	while (answers == before && !err)
		err = pthread_cond_timedwait(&came, &lock, &until);
	pthread_mutex_unlock(&lock);
	ck_assert_int_eq(err, 0);
	return clk_now(clk_system()) - from;
}

static void wait_for_view(void)
{
	struct ctl_view *view = NULL;

	for (int i = 0; !view && i < MAX_WAIT_S * 100; i++) {
		usleep(10000);
		view = ctl_agent_view(ctl);
	}
	ck_assert_ptr_nonnull(view);
	ctl_view_put(view);
}

static int by_value(const void *a, const void *b)
{
	const apr_interval_time_t x = *(const apr_interval_time_t *)a;
	const apr_interval_time_t y = *(const apr_interval_time_t *)b;

	return (x > y) - (x < y);
}

/*
 * Threads that keep the processors from idling: on an idle machine, waking a
 * processor takes up to 0.3 ms, and a permit needs four wake-ups.
 */
#define SPINNERS_MAX 64

static pthread_t spinners[SPINNERS_MAX];
static int spinner_count;
static bool stop_spinning;

static void *spin(void *arg)
{
	(void)arg;
	while (!__atomic_load_n(&stop_spinning, __ATOMIC_RELAXED))
		;
	return NULL;
}

static void start_spinners(void)
{
	const long count = sysconf(_SC_NPROCESSORS_ONLN);

	while (spinner_count < count && spinner_count < SPINNERS_MAX &&
	       !pthread_create(&spinners[spinner_count], NULL, spin, NULL))
		spinner_count++;
}

static void end_spinners(void)
{
	__atomic_store_n(&stop_spinning, true, __ATOMIC_RELAXED);
	while (spinner_count)
		pthread_join(spinners[--spinner_count], NULL);
}

START_TEST(permits_come_from_the_broker_over_rpc)
{
	apr_interval_time_t took[ROUNDS];

	start();
	wait_for_view();
	/* The first ask meets a new broker, which is still learning. */
	ask_once(1, RANK_URGENT);
	ck_assert_int_eq(latest.result, PERMIT_GRANTED);
	ck_assert(!(latest.permit_id & PERMIT_LOCAL_BIT));
	ck_assert_str_eq(latest.upstream.ptr, "u1");
	ck_assert_uint_eq(latest.port, 1);
	permit_agent_release(agent, latest.permit_id, PERMIT_DONE);
	start_spinners();
	for (uint64_t i = 0; i < ROUNDS; i++) {
		took[i] = ask_once(100 + i, RANK_URGENT);
		ck_assert_int_eq(latest.result, PERMIT_GRANTED);
		permit_agent_release(agent, latest.permit_id, PERMIT_DONE);
	}
	end_spinners();
	qsort(took, ROUNDS, sizeof(*took), by_value);
	printf("permit over loopback: p50 %lld us, p99 %lld us\n",
	       (long long)took[ROUNDS / 2], (long long)took[ROUNDS * 99 / 100]);
	/* Half of the latency that the whole hop may add. */
	ck_assert_int_lt(took[ROUNDS / 2], 500);
	stop();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("permit_agent");

	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, permits_come_from_the_broker_over_rpc);
	return fix_run("permit_agent", tc);
}
