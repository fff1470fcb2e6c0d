/* Capacity of the at-most-once protocol: CSV role,quantity,size,value,unit. */
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>

#include <apr_general.h>

#include "agent/ticket.h"
#include "agent/tkt_wire.h"
#include "common/ctr.h"
#include "common/rpcs.h"
#include "policy/tkt_claimant.h"
#include "policy/tkt_home.h"

#define ADDRESS	   "127.250.7.1"
#define PORT	   18419
#define BLOCK	   1024
#define KEYS	   1024
#define SERVE_TIME CLK_MS(700)

static const size_t open_sizes[] = {1024, 8192, 65536, 262144};
static const size_t batch_sizes[] = {1, 16, 256};

static void print(const char *role, const char *quantity, size_t size,
		  double value, const char *unit)
{
	printf("%s,%s,%zu,%.3f,%s\n", role, quantity, size, value, unit);
}

static double per_op(apr_time_t began, size_t ops)
{
	return (double)(clk_now(clk_system()) - began) * 1000.0 / (double)ops;
}

static struct tkt_witness *make_witness(size_t tickets)
{
	const struct tkt_witness_conf conf = {
		.incarnation = 1,
		.ttl = CLK_SEC(3600),
		.max_blocks = (uint32_t)(tickets / BLOCK) + 1,
		.max_count = BLOCK,
	};
	struct tkt_witness *w = NULL;

	if (tkt_witness_create(&w, &conf))
		exit(EXIT_FAILURE);
	return w;
}

/* Tickets are claimed in the order in which they are issued. */
static void measure_witness(size_t tickets)
{
	struct tkt_witness *w = make_witness(tickets);
	uint32_t count = BLOCK;
	uint64_t block = 0;
	apr_time_t began = clk_now(clk_system());

	for (size_t i = 0; i < tickets; i++) {
		struct tkt_op op = {
			.kind = TKT_OP_CLAIM,
			.index = (uint32_t)(i % BLOCK),
			.requester = {.vm = 1,
				      .incarnation = 2,
				      .attempt = i + 1},
		};

		if (i % BLOCK == 0 && tkt_witness_open(w, 1, &count, 1, &block))
			exit(EXIT_FAILURE);
		op.block = block;
		tkt_witness_apply(w, 1, &op, 1);
	}
	print("witness", "claim", tickets, per_op(began, tickets), "ns");
	print("witness", "state", tickets,
	      (double)tkt_witness_stats(w).bytes / (double)tickets, "B/ticket");
	tkt_witness_destroy(w);
}

static uint64_t last_attempt;

static void note_attempt(void *ctx, const struct tkt_action *action)
{
	(void)ctx;
	last_attempt = action->attempt;
}

/* Admission, grant and end of a request while so many tickets are stored. */
static void measure_home(size_t tickets)
{
	const struct tkt_ruling granted = {.grant = TKT_GRANT_YOURS};
	const struct tkt_claimant_conf conf = {
		.vm = 1,
		.incarnation = 2,
		.capacity = (uint32_t)tickets,
		.retain = CLK_SEC(3600),
		.give_up = CLK_SEC(1),
		.act = note_attempt,
	};
	struct tkt_key key = {.kind = TKT_KEY_TICKET};
	struct tkt_claimant *claimant = NULL;
	apr_time_t began;

	if (tkt_claimant_create(&claimant, &conf))
		exit(EXIT_FAILURE);
	for (size_t i = 0; i < tickets; i++) {
		key.id.block = i;
		tkt_claimant_admit(claimant, i, &key, CLK_SEC(9), 1);
		tkt_claimant_ruling(claimant, last_attempt, &granted, 1);
		tkt_claimant_end(claimant, &key, TKT_END_RAN, 1);
	}
	began = clk_now(clk_system());
	for (size_t i = 0; i < tickets; i++) {
		key.id.block = tickets + i;
		tkt_claimant_admit(claimant, i, &key, CLK_SEC(9), 1);
		tkt_claimant_ruling(claimant, last_attempt, &granted, 1);
		tkt_claimant_end(claimant, &key, TKT_END_RAN, 1);
	}
	print("home", "admit_grant_end", tickets, per_op(began, tickets), "ns");
	print("home", "state", tickets,
	      (double)tkt_claimant_bytes(tickets) / (double)tickets,
	      "B/ticket");
	tkt_claimant_destroy(claimant);
}

/* Bytes of one batch and its answer, without RPC headers. */
static void measure_wire(size_t batch)
{
	struct tktm_op *ops = calloc(batch, sizeof(*ops));
	struct tktm_ruling *rulings = calloc(batch, sizeof(*rulings));
	struct tktm_apply_args args = {
		.ops = {.ops_len = (u_int)batch, .ops_val = ops},
	};
	struct tktm_apply_res res = {
		.rulings = {.rulings_len = (u_int)batch,
			    .rulings_val = rulings},
	};
	unsigned long bytes;

	if (!ops || !rulings)
		exit(EXIT_FAILURE);
	bytes = xdr_sizeof((xdrproc_t)xdr_tktm_apply_args, &args) +
		xdr_sizeof((xdrproc_t)xdr_tktm_apply_res, &res);
	print("witness", "wire_at_batch", batch, (double)bytes / (double)batch,
	      "B/ticket");
	free(ops);
	free(rulings);
}

static struct settings set;
static struct vm vms[2];
static struct vmlist vmlist = {.ref.count = 1, .vms = vms, .count = 2};
static struct tkt_agent *service;
static atomic_size_t answered;
/* Keys of the requests in flight, by request number modulo KEYS. */
static char keys[KEYS][TKT_KEY_MAX + 1];

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
	(void)owner;
	return (struct tkt_ruling){.grant = TKT_GRANT_YOURS};
}

static void on_answer(void *ctx, const struct tkt_answer *answer)
{
	(void)ctx;
	if (answer->verdict == TKT_RUN)
		tkt_agent_end(service,
			      str_from_c(keys[answer->request_id % KEYS]),
			      TKT_END_RAN);
	answered++;
}

static bool allow(void *ctx, struct str ip)
{
	(void)ctx;
	(void)ip;
	return true;
}

/* Processor time of the process, in microseconds. */
static double cpu_us(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
	return (double)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1e6 +
	       (double)(usage.ru_utime.tv_usec + usage.ru_stime.tv_usec);
}

/* Keeps in_progress requests in flight, over the real RPC on loopback. */
static void measure_service(size_t in_progress)
{
	struct ctr *messages = ctr_get("pst_ticket_messages_total", "", "");
	const uint64_t sent = ctr_value(messages);
	const apr_time_t began = clk_now(clk_system());
	const size_t answered_then = answered;
	const double cpu_then = cpu_us();
	size_t admitted = 0;
	double done;

	while (clk_now(clk_system()) < began + SERVE_TIME) {
		if (admitted - (answered - answered_then) >= in_progress ||
		    !tkt_agent_issue(service, 1, &keys[admitted % KEYS])) {
			apr_sleep(20);
			continue;
		}
		if (!tkt_agent_admit(service, admitted,
				     str_from_c(keys[admitted % KEYS]),
				     clk_now(clk_system()) + CLK_SEC(5)))
			admitted++;
	}
	while (answered - answered_then < admitted)
		apr_sleep(20);
	done = (double)(answered - answered_then);
	print("home", "messages_at_in_progress", in_progress,
	      (double)(ctr_value(messages) - sent) / done, "calls/request");
	print("home", "home_and_witness_cpu_at_in_progress", in_progress,
	      (cpu_us() - cpu_then) / done, "us/request");
	print("home", "requests_at_in_progress", in_progress,
	      done * APR_USEC_PER_SEC / (double)SERVE_TIME, "1/s");
}

/* Processor time of the service without requests. */
static void measure_idle(void)
{
	const double cpu_then = cpu_us();

	apr_sleep(SERVE_TIME);
	print("home", "idle_cpu", 1,
	      (cpu_us() - cpu_then) * 100.0 / (double)SERVE_TIME,
	      "% of a core");
}

static void start_service(void)
{
	const struct tkt_env env = {.list = list, .claim = claim};
	const struct rpcs_filter gate = {.allow = allow};

	set.vm.id = STR_LIT("self");
	set.vm.region = STR_LIT("r");
	set.vm.failure_domain = STR_LIT("r-1");
	set.vm.address = STR_LIT(ADDRESS);
	set.entry.rpc_port = PORT;
	set.net.rpc_timeout_ms = 500;
	set.platform.call_timeout_ms = 1000;
	set.ticket.block_tickets = 16384;
	set.ticket.max_blocks = 1024;
	set.ticket.ttl_ms = 60000;
	set.ticket.max_open = 65536;
	set.ticket.give_up_ms = 1000;
	set.ticket.call_timeout_ms = 250;
	set.ticket.store_writes_per_s = 4;
	for (int i = 0; i < 2; i++) {
		strbuf_set(&vms[i].id, i ? STR_LIT("other") : set.vm.id);
		strbuf_set(&vms[i].region, STR_LIT("r"));
		strbuf_set(&vms[i].domain, i ? STR_LIT("r-2") : STR_LIT("r-1"));
		strbuf_set(&vms[i].address, set.vm.address);
	}
	if (tkt_agent_start(&service, &set, clk_system(), &env, on_answer,
			    NULL) ||
	    rpcs_start(set.vm.address, PORT, gate))
		exit(EXIT_FAILURE);
}

int main(void)
{
	apr_initialize();
	for (size_t i = 0; i < sizeof(open_sizes) / sizeof(*open_sizes); i++) {
		measure_witness(open_sizes[i]);
		measure_home(open_sizes[i]);
	}
	for (size_t i = 0; i < sizeof(batch_sizes) / sizeof(*batch_sizes); i++)
		measure_wire(batch_sizes[i]);
	start_service();
	apr_sleep(CLK_MS(200));
	measure_idle();
	for (size_t i = 0; i < sizeof(batch_sizes) / sizeof(*batch_sizes); i++)
		measure_service(batch_sizes[i]);
	rpcs_stop();
	tkt_agent_stop(service);
	return EXIT_SUCCESS;
}
