#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "agent/permit_batch.h"
#include "common/clk.h"
#include "tests/fix_permit.h"
#include "tests/fix_run.h"

#define PERMIT 77

/* Last batch that e1 sent to its broker; it is not delivered. */
static pmt_batch *sent;

static void keep_message(void *ctx, const struct permit_message *message)
{
	(void)ctx;
	if (sent) {
		xdr_free((xdrproc_t)xdr_pmt_batch, sent);
		free(sent);
	}
	sent = message->args;
}

static struct permit_answer latest;
static size_t answers;

static void keep_answer(void *ctx, const struct permit_answer *answer)
{
	(void)ctx;
	latest = *answer;
	answers++;
}

static struct permit_state *new_state(struct ctl_view *view)
{
	const struct permit_state_cfg cfg = {
		.policy = PICK_BROKER,
		.entry = STR_LIT("e1"),
		.region = STR_LIT("almaty"),
		.incarnation = 5,
		.broker_port = 8083,
		.heartbeat = CLK_SEC(1),
		.silent_timeout = CLK_MS(400),
	};
	const struct permit_io io = {keep_message, keep_answer, NULL};
	struct permit_state *st = NULL;

	ck_assert_int_eq(permit_state_create(&st, &cfg, io), 0);
	permit_state_view(st, view, CLK_SEC(1));
	return st;
}

static void ask(struct permit_state *st, uint64_t id)
{
	struct permit_ask a = {.id = id, .deadline = CLK_SEC(5)};

	strbuf_set(&a.service, STR_LIT("status"));
	strbuf_set(&a.domain, STR_LIT("almaty-1"));
	permit_state_ask(st, &a, CLK_SEC(1));
}

static void grant(struct permit_state *st, struct str broker, uint64_t seq,
		  uint64_t id)
{
	const pmt_answer a = {.ask = id, .permit = PERMIT, .grant = seq};
	pmt_answers *m = permit_answers_new(broker, 1, 5);

	ck_assert_ptr_nonnull(m);
	m->seq = seq;
	ck_assert(permit_answers_add(m, &a, STR_LIT("status"),
				     STR_LIT("almaty-1"), STR_LIT("u1"),
				     STR_LIT("127.0.2.1")));
	permit_state_answers(st, m, CLK_SEC(1));
	xdr_free((xdrproc_t)xdr_pmt_answers, m);
	free(m);
}

START_TEST(id_granted_twice_is_cancelled_and_asked_again)
{
	struct fix_net net;
	struct permit_state *st;
	struct str broker;

	fix_net_start(&net);
	broker = str_from_c(fix_net_broker(&net)->id);
	st = new_state(net.view);
	ask(st, 1);
	ask(st, 2);
	permit_state_flush(st, CLK_SEC(1));
	grant(st, broker, 1, 1);
	ck_assert_uint_eq(answers, 1);
	grant(st, broker, 2, 1);
	ck_assert_uint_eq(answers, 1);
	grant(st, broker, 3, 2);
	ck_assert_uint_eq(answers, 1);
	permit_state_flush(st, CLK_SEC(1));
	ck_assert_uint_eq(sent->parts.parts_len, 1);
	ck_assert_uint_eq(sent->parts.parts_val[0].cancels.cancels_len, 1);
	ck_assert_uint_eq(sent->parts.parts_val[0].cancels.cancels_val[0], 2);
	ck_assert_uint_eq(sent->parts.parts_val[0].asks.asks_len, 1);
	ck_assert_uint_eq(sent->parts.parts_val[0].asks.asks_val[0].id, 2);
	permit_state_destroy(st);
	xdr_free((xdrproc_t)xdr_pmt_batch, sent);
	free(sent);
	sent = NULL;
	fix_net_stop(&net);
}
END_TEST

START_TEST(asks_are_sent_again_in_the_order_in_which_they_came)
{
	struct fix_net net;
	struct permit_state *st;
	pmt_answers *m;

	fix_net_start(&net);
	st = new_state(net.view);
	ask(st, 1);
	ask(st, 2);
	ask(st, 3);
	permit_state_flush(st, CLK_SEC(1));
	m = permit_answers_new(str_from_c(fix_net_broker(&net)->id), 1, 5);
	ck_assert_ptr_nonnull(m);
	m->resync = true;
	m->seq = 1;
	permit_state_answers(st, m, CLK_SEC(1));
	permit_state_flush(st, CLK_SEC(1));
	ck_assert_uint_eq(sent->parts.parts_val[0].asks.asks_len, 3);
	for (u_int i = 0; i < 3; i++)
		ck_assert_uint_eq(sent->parts.parts_val[0].asks.asks_val[i].id,
				  i + 1);
	xdr_free((xdrproc_t)xdr_pmt_answers, m);
	free(m);
	permit_state_destroy(st);
	xdr_free((xdrproc_t)xdr_pmt_batch, sent);
	free(sent);
	sent = NULL;
	fix_net_stop(&net);
}
END_TEST

int main(void)
{
	TCase *tc = tcase_create("permit_state");

	tcase_add_test(tc, id_granted_twice_is_cancelled_and_asked_again);
	tcase_add_test(tc, asks_are_sent_again_in_the_order_in_which_they_came);
	return fix_run("permit_state", tc);
}
