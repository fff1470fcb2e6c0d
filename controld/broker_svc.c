#include "controld/broker_svc.h"

#include <stdlib.h>

#include "agent/permit_loop.h"
#include "common/err.h"
#include "common/rpcs.h"
#include "controld/broker_host.h"

/* Batches and load reports queued for the thread. */
#define RING_CAPACITY 16384

/* Time between ticks while an ask is waiting. */
#define TICK_INTERVAL CLK_MS(10)

enum message_kind {
	MESSAGE_BATCH,
	MESSAGE_REPORT,
};

struct message {
	enum message_kind kind;
	union {
		struct {
			pmt_batch batch;
			struct strbuf address;
		} batch;
		struct {
			struct strbuf upstream;
			struct load_report report;
		} report;
	};
};

struct broker_svc {
	const struct clk *clk;
	struct curview *curview;
	struct permit_loop *loop;
	struct permit_out *out;
	struct broker_poll *poll;
	struct broker_host *host;
	struct rpcs_proc proc;
	struct rpcs_program program;
};

static int handle_batch(void *ctx, const struct net_addr *peer, void *args,
			void *res)
{
	struct broker_svc *svc = ctx;
	pmt_batch *batch = args;
	struct message message = {
		.kind = MESSAGE_BATCH,
		.batch = {.batch = *batch},
	};

	(void)res;
	net_addr_ip(peer, &message.batch.address);
	/* Once queued, the batch is owned and freed by the thread. */
	if (!permit_loop_push(svc->loop, &message))
		*batch = (pmt_batch){0};
	return 0;
}

static void on_report(void *ctx, const struct strbuf *upstream,
		      const struct load_report *report)
{
	struct broker_svc *svc = ctx;
	const struct message message = {
		.kind = MESSAGE_REPORT,
		.report = {.upstream = *upstream, .report = *report},
	};

	/* A lost report is made up for by the next one. */
	(void)permit_loop_push(svc->loop, &message);
}

static void send_mail(void *ctx, const struct permit_message *mail)
{
	struct broker_svc *svc = ctx;

	/* The entry VM detects a lost message by the gap in seq. */
	(void)permit_out_send(svc->out, mail);
}

static void handle_message(void *ctx, void *item, apr_time_t now)
{
	const struct broker_svc *svc = ctx;
	const struct message *message = item;

	switch (message->kind) {
	case MESSAGE_BATCH:
		broker_host_batch(svc->host, &message->batch.batch,
				  &message->batch.address, now);
		break;
	case MESSAGE_REPORT:
		broker_host_report(svc->host, &message->report.upstream,
				   &message->report.report, now);
		break;
	}
}

static void drop_message(void *item)
{
	struct message *message = item;

	if (message->kind == MESSAGE_BATCH)
		xdr_free((xdrproc_t)xdr_pmt_batch, &message->batch.batch);
}

static struct ctl_view *current_view(void *ctx)
{
	const struct broker_svc *svc = ctx;

	return curview_get(svc->curview);
}

static void take_view(void *ctx, struct ctl_view *view, apr_time_t now)
{
	const struct broker_svc *svc = ctx;

	broker_host_set_view(svc->host, view, now);
}

static void tick(void *ctx, apr_time_t now)
{
	const struct broker_svc *svc = ctx;

	broker_host_tick(svc->host, now);
}

static void flush(void *ctx, apr_time_t now)
{
	const struct broker_svc *svc = ctx;
	struct broker_poll_target *targets;
	size_t count;

	broker_host_flush(svc->host, now);
	if (broker_host_targets(svc->host, &targets, &count))
		broker_poll_set_targets(svc->poll, targets, count);
}

static bool has_waiting(void *ctx)
{
	const struct broker_svc *svc = ctx;

	return broker_host_has_waiting(svc->host);
}

static int create_duty(struct broker_svc *svc)
{
	const struct permit_loop_cfg cfg = {
		.clk = svc->clk,
		.name = "broker",
		.capacity = RING_CAPACITY,
		.tick = TICK_INTERVAL,
		.item_size = sizeof(struct message),
	};
	const struct permit_loop_hooks hooks = {
		.handle_item = handle_message,
		.free_item = drop_message,
		.view = current_view,
		.view_changed = take_view,
		.tick = tick,
		.flush = flush,
		.busy = has_waiting,
		.ctx = svc,
	};

	return permit_loop_create(&svc->loop, &cfg, &hooks);
}

static int register_program(struct broker_svc *svc)
{
	svc->proc = (struct rpcs_proc){
		.proc = PMT_PROC_BATCH,
		.one_way = true,
		.xargs = (xdrproc_t)xdr_pmt_batch,
		.args_size = sizeof(pmt_batch),
		.handle = handle_batch,
	};
	svc->program = (struct rpcs_program){
		.prog = PMT_PROG_BROKER,
		.vers = PMT_VERS,
		.procs = &svc->proc,
		.proc_count = 1,
		.ctx = svc,
	};
	return rpcs_register(&svc->program);
}

static int start(struct broker_svc *svc, const struct settings *set)
{
	const uint64_t incarnation =
		str_hash(set->vm.id, (uint64_t)apr_time_now());
	const struct broker_host_io io = {.send = send_mail, .ctx = svc};
	int err = create_duty(svc);

	if (!err)
		err = permit_out_start(&svc->out, set, svc->clk);
	if (!err)
		err = broker_host_create(&svc->host, set, incarnation, io);
	if (!err)
		err = broker_poll_start(&svc->poll, set, svc->clk, on_report,
					svc);
	if (!err)
		err = register_program(svc);
	if (!err)
		err = permit_loop_start(svc->loop);
	return err;
}

int broker_svc_start(struct broker_svc **out, const struct settings *set,
		     const struct clk *clk, struct curview *curview)
{
	struct broker_svc *svc = calloc(1, sizeof(*svc));
	int err;

	if (!svc)
		return PST_ERR_NOMEM;
	svc->clk = clk;
	svc->curview = curview;
	err = start(svc, set);
	if (err) {
		broker_svc_stop(svc);
		return err;
	}
	*out = svc;
	return 0;
}

void broker_svc_stop(struct broker_svc *svc)
{
	if (!svc)
		return;
	permit_loop_stop(svc->loop);
	broker_poll_stop(svc->poll);
	permit_out_stop(svc->out);
	broker_host_destroy(svc->host);
	permit_loop_destroy(svc->loop);
	free(svc);
}
