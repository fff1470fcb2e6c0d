/* The ticket agent over real RPC; the process is its own witness. */
#include <check.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include <apr_general.h>

#include "agent/ticket.h"
#include "common/err.h"
#include "common/rpcs.h"
#include "policy/tkt_claim.h"
#include "policy/tkt_key.h"
#include "tests/fix_run.h"

#define PORT	 18411
#define REQUESTS 300
#define WAIT	 CLK_SEC(5)

static struct settings set;
static struct vm vms[2];
static struct vmlist vmlist = {.ref.count = 1, .vms = vms, .count = 2};
static struct tkt_agent *service;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct tkt_answer answers[REQUESTS];
static unsigned answered[REQUESTS];
static char stored[TKT_CLAIM_MAX + 1];
static enum tkt_grant store_grant;

static struct vmlist *list(void *ctx)
{
	(void)ctx;
	ref_get(&vmlist.ref);
	return &vmlist;
}

static struct tkt_ruling claim(void *ctx, struct str key,
			       const struct tkt_owner *owner)
{
	(void)ctx;
	(void)key;
	if (store_grant != TKT_GRANT_YOURS)
		return (struct tkt_ruling){
			.grant = store_grant,
			.reason = PST_ERR_TKT_STORE_DOWN,
		};
	if (!stored[0])
		tkt_claim_format(owner, stored);
	return tkt_claim_read(str_from_c(stored), owner);
}

static void on_answer(void *ctx, const struct tkt_answer *answer)
{
	(void)ctx;
	pthread_mutex_lock(&lock);
	answers[answer->request_id] = *answer;
	answered[answer->request_id]++;
	pthread_mutex_unlock(&lock);
}

static bool allow(void *ctx, struct str ip)
{
	(void)ctx;
	(void)ip;
	return true;
}

static void set_vm(struct vm *vm, const char *id, const char *domain,
		   struct str address)
{
	strbuf_set(&vm->id, str_from_c(id));
	strbuf_set(&vm->region, STR_LIT("r"));
	strbuf_set(&vm->domain, str_from_c(domain));
	strbuf_set(&vm->address, address);
}

static void start(void)
{
	const struct tkt_env env = {.list = list, .claim = claim};

	memset(answered, 0, sizeof(answered));
	store_grant = TKT_GRANT_YOURS;
	ck_assert_int_eq(tkt_agent_start(&service, &set, clk_system(), &env,
					 on_answer, NULL),
			 0);
	ck_assert_int_eq(rpcs_start(set.vm.address, PORT,
				    (struct rpcs_filter){.allow = allow}),
			 0);
}

static void stop(void)
{
	rpcs_stop();
	tkt_agent_stop(service);
}

static void issue(size_t count, char out[][TKT_KEY_MAX + 1])
{
	const apr_time_t until = clk_now(clk_system()) + WAIT;
	size_t got = 0;

	while (got < count && clk_now(clk_system()) < until) {
		got += tkt_agent_issue(service, count - got, out + got);
		apr_sleep(CLK_MS(2));
	}
	ck_assert_uint_eq(got, count);
}

static void admit(uint64_t request, const char *key)
{
	ck_assert_int_eq(tkt_agent_admit(service, request, str_from_c(key),
					 clk_now(clk_system()) + CLK_SEC(2)),
			 0);
}

static struct tkt_answer wait_for(uint64_t request)
{
	const apr_time_t until = clk_now(clk_system()) + WAIT;
	struct tkt_answer answer = {0};
	unsigned count = 0;

	while (!count && clk_now(clk_system()) < until) {
		pthread_mutex_lock(&lock);
		count = answered[request];
		answer = answers[request];
		pthread_mutex_unlock(&lock);
		apr_sleep(CLK_MS(1));
	}
	ck_assert_uint_eq(count, 1);
	return answer;
}

static void expect(uint64_t request, enum tkt_verdict verdict, int reason)
{
	const struct tkt_answer answer = wait_for(request);

	ck_assert_int_eq(answer.verdict, verdict);
	ck_assert_int_eq(answer.reason, reason);
}

START_TEST(tickets_run_once)
{
	static char keys[REQUESTS / 2][TKT_KEY_MAX + 1];
	const size_t half = REQUESTS / 2;

	start();
	issue(half, keys);
	for (size_t i = 0; i < half; i++) {
		admit(2 * i, keys[i]);
		admit(2 * i + 1, keys[i]);
	}
	for (size_t i = 0; i < half; i++) {
		expect(2 * i, TKT_RUN, 0);
		expect(2 * i + 1, TKT_UNKNOWN, PST_ERR_TKT_IN_PROGRESS);
	}
	tkt_agent_end(service, str_from_c(keys[0]), TKT_END_RAN);
	tkt_agent_end(service, str_from_c(keys[1]), TKT_END_NOT_RUN);
	memset(answered, 0, sizeof(answered));
	admit(0, keys[0]);
	admit(1, keys[1]);
	expect(0, TKT_UNKNOWN, PST_ERR_TKT_RAN);
	expect(1, TKT_NOT_RUN, PST_ERR_TKT_SEALED);
	stop();
}
END_TEST

START_TEST(tickets_of_an_earlier_incarnation_are_unknown)
{
	char keys[2][TKT_KEY_MAX + 1];

	start();
	issue(2, keys);
	admit(0, keys[0]);
	expect(0, TKT_RUN, 0);
	stop();
	start();
	admit(1, keys[0]);
	admit(2, keys[1]);
	expect(1, TKT_UNKNOWN, PST_ERR_TKT_WITNESS_LOST);
	expect(2, TKT_UNKNOWN, PST_ERR_TKT_WITNESS_LOST);
	stop();
}
END_TEST

START_TEST(unreachable_witness_gives_unknown)
{
	const struct tkt_id id = {
		.home = 1,
		.witness = tkt_vm_hash(STR_LIT("absent")),
		.block = 1,
	};
	char key[TKT_KEY_MAX + 1];

	tkt_id_format(&id, key);
	start();
	admit(0, key);
	expect(0, TKT_UNKNOWN, PST_ERR_TKT_WITNESS_SILENT);
	admit(1, "not a key");
	expect(1, TKT_REFUSED, PST_ERR_TKT_MALFORMED);
	stop();
}
END_TEST

START_TEST(own_keys_are_claimed_in_the_store)
{
	char key[] = "order-0";

	start();
	store_grant = TKT_GRANT_UNAVAILABLE;
	admit(0, key);
	expect(0, TKT_UNKNOWN, PST_ERR_TKT_STORE_DOWN);
	store_grant = TKT_GRANT_YOURS;
	admit(1, key);
	expect(1, TKT_RUN, 0);
	/* The store has a claim of another attempt, whose end is unknown. */
	admit(2, "order-1");
	expect(2, TKT_UNKNOWN, PST_ERR_TKT_OWNED);
	/* The VM's share is 4 writes per second, of which 3 are used. */
	admit(3, "order-2");
	wait_for(3);
	admit(4, "order-3");
	expect(4, TKT_UNKNOWN, PST_ERR_TKT_BUDGET);
	stop();
}
END_TEST

START_TEST(drained_process_issues_no_tickets)
{
	char keys[1][TKT_KEY_MAX + 1];

	start();
	issue(1, keys);
	tkt_agent_drain(service);
	ck_assert_uint_eq(tkt_agent_issue(service, 1, keys + 0), 0);
	stop();
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("tkt_service");

	apr_initialize();
	set.vm.id = STR_LIT("self");
	set.vm.region = STR_LIT("r");
	set.vm.failure_domain = STR_LIT("r-1");
	set.vm.address = fix_ip();
	set.entry.rpc_port = PORT;
	set.net.rpc_timeout_ms = 500;
	set.platform.call_timeout_ms = 1000;
	set.ticket.block_tickets = 64;
	set.ticket.max_blocks = 16;
	set.ticket.ttl_ms = 60000;
	set.ticket.max_open = 1024;
	set.ticket.give_up_ms = 1000;
	set.ticket.call_timeout_ms = 250;
	set.ticket.store_writes_per_s = 8;
	set_vm(&vms[0], "self", "r-1", fix_ip());
	set_vm(&vms[1], "witness", "r-2", fix_ip());
	tcase_set_timeout(tc, 60);
	tcase_add_test(tc, tickets_run_once);
	tcase_add_test(tc, tickets_of_an_earlier_incarnation_are_unknown);
	tcase_add_test(tc, unreachable_witness_gives_unknown);
	tcase_add_test(tc, own_keys_are_claimed_in_the_store);
	tcase_add_test(tc, drained_process_issues_no_tickets);
	return fix_run("tkt_service", tc);
}
