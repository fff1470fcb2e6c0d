#include "controld/brk_svc.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>

#include "agent/permit_ring.h"
#include "common/err.h"
#include "common/evt.h"
#include "common/rpcs.h"
#include "controld/brk_host.h"

#define LOG_MODULE "broker"

/* Batches and reports that wait for the thread. */
#define RING_CAPACITY 16384

/* Time between ticks with and without a broker. */
#define TICK_BUSY CLK_MS(10)
#define TICK_IDLE CLK_MS(200)

/* Time between looks for a new view. */
#define VIEW_INTERVAL CLK_MS(50)

/* Messages taken before what they cause is sent. */
#define BURST 64

enum message_kind {
	MESSAGE_BATCH,
	MESSAGE_REPORT,
	MESSAGE_STOP,
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
			struct permit_report report;
		} report;
	};
};

struct brk_svc {
	const struct clk *clk;
	struct cview *cview;
	struct permit_ring *ring;
	struct permit_out *out;
	struct brk_poll *poll;
	struct brk_host *host;
	struct ctl_view *view;
	apr_time_t view_at;
	apr_time_t tick_at;
	atomic_bool stopping;
	pthread_t thread;
	bool started;
	struct rpcs_proc proc;
	struct rpcs_program program;
};

static int push(struct brk_svc *svc, const struct message *message)
{
	struct message *copy = malloc(sizeof(*copy));

	if (!copy)
		return PST_ERR_FULL;
	*copy = *message;
	if (permit_ring_push(svc->ring, copy))
		return 0;
	free(copy);
	evt_log(BROKER_RING_FULL, "ring=broker");
	return PST_ERR_FULL;
}

static int handle_batch(void *ctx, const struct net_addr *peer, void *args,
			void *res)
{
	struct brk_svc *svc = ctx;
	pmt_batch *batch = args;
	struct message message = {
		.kind = MESSAGE_BATCH,
		.batch = {.batch = *batch},
	};

	(void)res;
	net_addr_ip(peer, &message.batch.address);
	/* The thread frees what has been taken over. */
	if (!push(svc, &message))
		*batch = (pmt_batch){0};
	return 0;
}

static void on_report(void *ctx, const struct strbuf *upstream,
		      const struct permit_report *report)
{
	struct brk_svc *svc = ctx;
	const struct message message = {
		.kind = MESSAGE_REPORT,
		.report = {.upstream = *upstream, .report = *report},
	};

	push(svc, &message);
}

static void send_mail(void *ctx, const struct permit_mail *mail)
{
	struct brk_svc *svc = ctx;

	/* What does not get out is noticed by the count of messages. */
	(void)permit_out_send(svc->out, mail);
}

static void run_message(struct brk_svc *svc, const struct message *message)
{
	const apr_time_t now = clk_now(svc->clk);

	switch (message->kind) {
	case MESSAGE_BATCH:
		brk_host_batch(svc->host, &message->batch.batch,
			       &message->batch.address, now);
		break;
	case MESSAGE_REPORT:
		brk_host_report(svc->host, &message->report.upstream,
				&message->report.report, now);
		break;
	case MESSAGE_STOP:
		break;
	}
}

static void free_message(struct message *message)
{
	if (message->kind == MESSAGE_BATCH)
		xdr_free((xdrproc_t)xdr_pmt_batch, &message->batch.batch);
	free(message);
}

static void look_for_view(struct brk_svc *svc, apr_time_t now)
{
	struct ctl_view *view;

	if (svc->view && now - svc->view_at < VIEW_INTERVAL)
		return;
	svc->view_at = now;
	view = cview_get(svc->cview);
	if (view && view != svc->view)
		brk_host_view(svc->host, view, now);
	/* The reference kept here keeps the address from being used again. */
	if (view && svc->view)
		ctl_view_put(svc->view);
	if (view)
		svc->view = view;
}

static void update_poll(struct brk_svc *svc)
{
	struct brk_poll_target *targets;
	size_t count;

	if (brk_host_targets(svc->host, &targets, &count))
		brk_poll_set(svc->poll, targets, count);
}

static void *run(void *arg)
{
	struct brk_svc *svc = arg;

	while (!svc->stopping) {
		const apr_interval_time_t wait =
			brk_host_busy(svc->host) ? TICK_BUSY : TICK_IDLE;
		struct message *message = permit_ring_pop(svc->ring, wait);
		const apr_time_t now = clk_now(svc->clk);

		look_for_view(svc, now);
		for (int i = 0; message && i < BURST; i++) {
			run_message(svc, message);
			free_message(message);
			message = i + 1 < BURST ? permit_ring_pop(svc->ring, 0)
						: NULL;
		}
		if (now - svc->tick_at >= TICK_BUSY) {
			svc->tick_at = now;
			brk_host_tick(svc->host, now);
		}
		brk_host_flush(svc->host, clk_now(svc->clk));
		update_poll(svc);
	}
	return NULL;
}

static int register_program(struct brk_svc *svc)
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

static int start(struct brk_svc *svc, const struct settings *set)
{
	const uint64_t incarnation =
		str_hash(set->vm.id, (uint64_t)apr_time_now());
	const struct brk_host_io io = {.send = send_mail, .ctx = svc};
	int err = permit_ring_create(&svc->ring, RING_CAPACITY);

	if (!err)
		err = permit_out_start(&svc->out, set, svc->clk);
	if (!err)
		err = brk_host_create(&svc->host, set, incarnation, io);
	if (!err)
		err = brk_poll_start(&svc->poll, set, svc->clk, on_report, svc);
	if (!err)
		err = register_program(svc);
	if (err)
		return err;
	if (pthread_create(&svc->thread, NULL, run, svc))
		return PST_ERR_THREAD;
	svc->started = true;
	return 0;
}

int brk_svc_start(struct brk_svc **out, const struct settings *set,
		  const struct clk *clk, struct cview *cview)
{
	struct brk_svc *svc = calloc(1, sizeof(*svc));
	int err;

	if (!svc)
		return PST_ERR_NOMEM;
	svc->clk = clk;
	svc->cview = cview;
	err = start(svc, set);
	if (err) {
		brk_svc_stop(svc);
		return err;
	}
	*out = svc;
	return 0;
}

void brk_svc_stop(struct brk_svc *svc)
{
	const struct message stop = {.kind = MESSAGE_STOP};
	struct message *message;

	if (!svc)
		return;
	svc->stopping = true;
	if (svc->started) {
		push(svc, &stop);
		pthread_join(svc->thread, NULL);
	}
	brk_poll_stop(svc->poll);
	while (svc->ring && (message = permit_ring_pop(svc->ring, 0)))
		free_message(message);
	permit_out_stop(svc->out);
	brk_host_destroy(svc->host);
	if (svc->view)
		ctl_view_put(svc->view);
	permit_ring_destroy(svc->ring);
	free(svc);
}
