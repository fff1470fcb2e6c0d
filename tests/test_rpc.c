#include <arpa/inet.h>
#include <check.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/ctr.h"
#include "common/err.h"
#include "common/net.h"
#include "common/rpcc.h"
#include "common/rpcs.h"
#include "tests/fix_run.h"

#define PROG	    0x20505399
#define PORT	    18399
#define PROC_DOUBLE 1
#define PROC_NOTE   2

static atomic_uint noted;
static atomic_bool allowed = true;

static int handle_double(void *ctx, const struct net_addr *peer, void *args,
			 void *res)
{
	(void)ctx;
	(void)peer;
	*(u_int *)res = 2 * *(u_int *)args;
	return 0;
}

static int handle_note(void *ctx, const struct net_addr *peer, void *args,
		       void *res)
{
	(void)ctx;
	(void)peer;
	(void)res;
	noted = *(u_int *)args;
	return 0;
}

static bool allow(void *ctx, struct str ip)
{
	(void)ctx;
	(void)ip;
	return allowed;
}

static const struct rpcs_proc procs[] = {
	{
		.proc = PROC_DOUBLE,
		.xargs = (xdrproc_t)xdr_u_int,
		.args_size = sizeof(u_int),
		.xres = (xdrproc_t)xdr_u_int,
		.res_size = sizeof(u_int),
		.handle = handle_double,
	},
	{
		.proc = PROC_NOTE,
		.one_way = true,
		.xargs = (xdrproc_t)xdr_u_int,
		.args_size = sizeof(u_int),
		.handle = handle_note,
	},
};

static const struct rpcs_program program = {
	.prog = PROG,
	.vers = 1,
	.procs = procs,
	.proc_count = 2,
};

static struct settings set;

static struct rpcc *open_client(void)
{
	struct net_addr peer;
	struct rpcc *c = NULL;

	set.vm.address = fix_ip();
	set.net.rpc_timeout_ms = 500;
	net_addr_make(&peer, fix_ip(), PORT);
	ck_assert_int_eq(rpcc_create(&c, &set, clk_system(), STR_LIT(""), &peer,
				     PROG, 1),
			 0);
	return c;
}

static void start_server(void)
{
	ck_assert_int_eq(rpcs_register(&program), 0);
	ck_assert_int_eq(rpcs_start(fix_ip(), PORT,
				    (struct rpcs_filter){.allow = allow}),
			 0);
}

START_TEST(calls_and_one_way_messages_arrive)
{
	struct rpcc *c;
	u_int arg = 21;
	u_int res = 0;

	start_server();
	c = open_client();
	ck_assert_int_eq(rpcc_call(c, PROC_DOUBLE, (xdrproc_t)xdr_u_int, &arg,
				   (xdrproc_t)xdr_u_int, &res, CLK_MS(500)),
			 0);
	ck_assert_uint_eq(res, 42);
	ck_assert_int_eq(rpcc_send(c, PROC_NOTE, (xdrproc_t)xdr_u_int, &arg),
			 0);
	ck_assert_int_eq(rpcc_call(c, PROC_DOUBLE, (xdrproc_t)xdr_u_int, &arg,
				   (xdrproc_t)xdr_u_int, &res, CLK_MS(500)),
			 0);
	ck_assert_uint_eq(noted, 21);
	rpcc_destroy(c);
	rpcs_stop();
}
END_TEST

#define CALLS 10UL

/* Sizes of the record mark, RPC header and argument or result. */
#define CALL_BYTES   (4 + 40 + 4)
#define ANSWER_BYTES (4 + 24 + 4)

static uint64_t counted(const char *name, const char *side)
{
	char labels[64];

	snprintf(labels, sizeof(labels),
		 "use=\"20505399\",side=\"%s\",scope=\"vm\"", side);
	return ctr_value(ctr_get(name, labels, ""));
}

START_TEST(bytes_of_both_sides_are_counted)
{
	const char *sent = "pst_wire_sent_bytes";
	const char *received = "pst_wire_received_bytes";
	const uint64_t out = counted(sent, "client");
	const uint64_t in = counted(received, "client");
	const uint64_t arrived = counted(received, "server");
	const uint64_t answered = counted(sent, "server");
	struct rpcc *c;
	u_int arg = 21;
	u_int res = 0;

	start_server();
	c = open_client();
	for (size_t i = 0; i < CALLS; i++)
		ck_assert_int_eq(rpcc_call(c, PROC_DOUBLE, (xdrproc_t)xdr_u_int,
					   &arg, (xdrproc_t)xdr_u_int, &res,
					   CLK_MS(500)),
				 0);
	ck_assert_uint_eq(counted(sent, "client") - out, CALLS * CALL_BYTES);
	ck_assert_uint_eq(counted(received, "client") - in,
			  CALLS * ANSWER_BYTES);
	rpcc_destroy(c);
	rpcs_stop();
	/* The kernel counts the end of a connection as one byte. */
	ck_assert_uint_ge(counted(received, "server") - arrived,
			  CALLS * CALL_BYTES);
	ck_assert_uint_le(counted(received, "server") - arrived,
			  CALLS * CALL_BYTES + 1);
	/* The last answer may not be counted yet. */
	ck_assert_uint_ge(counted(sent, "server") - answered,
			  (CALLS - 1) * ANSWER_BYTES);
}
END_TEST

START_TEST(peer_that_is_not_allowed_gets_an_error)
{
	struct rpcc *c;
	u_int arg = 1;
	u_int res = 0;

	start_server();
	allowed = false;
	c = open_client();
	ck_assert_int_eq(rpcc_call(c, PROC_DOUBLE, (xdrproc_t)xdr_u_int, &arg,
				   (xdrproc_t)xdr_u_int, &res, CLK_MS(500)),
			 PST_ERR_IO);
	allowed = true;
	rpcc_destroy(c);
	rpcs_stop();
}
END_TEST

START_TEST(absent_peer_is_a_connect_error)
{
	struct rpcc *c = open_client();
	u_int arg = 1;
	u_int res = 0;

	ck_assert_int_eq(rpcc_call(c, PROC_DOUBLE, (xdrproc_t)xdr_u_int, &arg,
				   (xdrproc_t)xdr_u_int, &res, CLK_MS(500)),
			 PST_ERR_CONNECT);
	rpcc_destroy(c);
}
END_TEST

#define CUT_PORT 18398

/* Answers one call after another with its first bytes, 1 more each time. */
static void *answer_cut(void *arg)
{
	const int listener = (int)(intptr_t)arg;
	const struct linger reset = {.l_onoff = 1};

	for (size_t i = 0; i < 2 * ANSWER_BYTES - 1; i++) {
		const int fd = accept(listener, NULL, NULL);
		uint32_t call[CALL_BYTES / 4];
		uint32_t answer[ANSWER_BYTES / 4] = {
			htonl(0x80000000U | (ANSWER_BYTES - 4)),
			0,
			htonl(1),
		};

		recv(fd, call, sizeof(call), MSG_WAITALL);
		answer[1] = call[1];
		answer[ANSWER_BYTES / 4 - 1] = htonl(42);
		send(fd, answer, i / 2 + (i == 2 * ANSWER_BYTES - 2),
		     MSG_NOSIGNAL);
		if (i & 1)
			setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset,
				   sizeof(reset));
		close(fd);
	}
	return NULL;
}

START_TEST(answer_cut_at_any_byte_is_an_error)
{
	const int listener = net_listen(fix_ip(), CUT_PORT);
	struct net_addr peer;
	pthread_t thread;

	ck_assert_int_ge(listener, 0);
	set.vm.address = fix_ip();
	set.net.rpc_timeout_ms = 500;
	net_addr_make(&peer, fix_ip(), CUT_PORT);
	pthread_create(&thread, NULL, answer_cut, (void *)(intptr_t)listener);
	for (size_t i = 0; i < 2 * ANSWER_BYTES - 1; i++) {
		const bool whole = i == 2 * ANSWER_BYTES - 2;
		struct rpcc *c = NULL;
		u_int arg = 21;
		u_int res = 0;
		int err;

		ck_assert_int_eq(rpcc_create(&c, &set, clk_system(),
					     STR_LIT(""), &peer, PROG, 1),
				 0);
		err = rpcc_call(c, PROC_DOUBLE, (xdrproc_t)xdr_u_int, &arg,
				(xdrproc_t)xdr_u_int, &res, CLK_MS(500));
		ck_assert_msg(!err == whole && (!whole || res == 42),
			      "%zu of %u bytes: %s", i / 2 + whole,
			      ANSWER_BYTES, err_name(err));
		rpcc_destroy(c);
	}
	pthread_join(thread, NULL);
	close(listener);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("rpc");

	tcase_add_test(tc, calls_and_one_way_messages_arrive);
	tcase_add_test(tc, bytes_of_both_sides_are_counted);
	tcase_add_test(tc, peer_that_is_not_allowed_gets_an_error);
	tcase_add_test(tc, absent_peer_is_a_connect_error);
	tcase_add_test(tc, answer_cut_at_any_byte_is_an_error);
	return fix_run("rpc", tc);
}
