#include "steerd/loads.h"

#include <string.h>

#include "common/ctr.h"
#include "common/err.h"
#include "common/evt.h"
#include "platform/plt_codec.h"
#include "schema/gen/loads.h"
#include "steerd/loadmsg.h"

#define LOG_MODULE "loads"

/* Time from the first report of a batch until the batch is sent. */
#define BATCH_DELAY_S 0.2

static void count_reports(const char *labels)
{
	ctr_add(ctr_get("pst_load_reports_total", labels,
			"Reports of upstreams' load that VMs shared."),
		1);
}

/* Encodes a batch of one kind. Returns its size, or 0 if it is empty. */
static size_t encode(enum loadmsg_kind kind,
		     const struct peerload_report *reports, size_t count,
		     apr_time_t now, char *out)
{
	struct loadmsg batch = {.kind = kind, .count = count};

	if (!count)
		return 0;
	memcpy(batch.reports, reports, count * sizeof(*reports));
	return loadmsg_encode(&batch, now, out, LOADMSG_MAX_BYTES);
}

static void send_bytes(struct loads *loads, const struct sockaddr_in *to,
		       const char *bytes, size_t len)
{
	/* A lost datagram is not resent: later reports replace it. */
	if (len && peersock_send(loads->sock, to,
				 (struct str){.ptr = bytes, .len = len}))
		count_reports("way=\"sent\"");
}

static void on_batch_due(struct ev_loop *loop, struct ev_timer *timer,
			 int events)
{
	struct loads *loads = timer->data;
	struct st *st = loads->st;
	struct peerload *peerload = &loads->peerload;
	const apr_time_t now = clk_now(st->clk);
	const struct vms_entry *to[PEERLOAD_MAX_RECEIVERS];
	char queues[LOADMSG_MAX_BYTES];
	char speeds[LOADMSG_MAX_BYTES];
	const size_t queues_len = encode(LOADMSG_QUEUES, peerload->reports,
					 peerload->count, now, queues);
	const size_t speeds_len = encode(LOADMSG_SPEEDS, peerload->slow,
					 peerload->slow_count, now, speeds);
	const size_t vms = peerload_receivers(peerload, &st->vms, st->domain,
					      st->set->vm.id, to);

	(void)loop;
	(void)events;
	peerload->count = 0;
	peerload->slow_count = 0;
	for (size_t i = 0; i < vms; i++) {
		struct sockaddr_in addr;

		if (plt_read_addr(strbuf_str(&to[i]->peer), &addr))
			continue;
		send_bytes(loads, &addr, queues, queues_len);
		send_bytes(loads, &addr, speeds, speeds_len);
	}
}

void loads_share(struct loads *loads, const struct up *up,
		 const struct up_load_report *load, apr_time_t now)
{
	struct ev_loop *loop = loads->st->loop;
	bool added;

	added = peerload_add_report(&loads->peerload, up, load, now);
	added |= peerload_add_speed(&loads->peerload, up, load, now);
	if (!added || ev_is_active(&loads->timer))
		return;
	ev_timer_set(&loads->timer, BATCH_DELAY_S, 0);
	ev_timer_start(loop, &loads->timer);
}

static void on_datagram(void *ctx, size_t vm, struct str bytes)
{
	struct loads *loads = ctx;
	struct st *st = loads->st;
	const apr_time_t now = clk_now(st->clk);
	struct loadmsg batch;

	if (st->vms.list[vm].domain != st->domain) {
		count_reports("way=\"unknown_sender\"");
		return;
	}
	if (!loadmsg_decode(bytes, now, &batch)) {
		count_reports("way=\"damaged\"");
		return;
	}
	for (size_t i = 0; i < batch.count; i++) {
		const struct peerload_report *report = &batch.reports[i];
		const bool taken = batch.kind == LOADMSG_QUEUES
					   ? peerload_apply_report(
						     &st->registry, report, now)
					   : peerload_apply_speed(&st->registry,
								  report, now);

		count_reports(taken ? "way=\"taken\"" : "way=\"older\"");
	}
}

void loads_start(struct loads *loads, struct st *st, struct peersock *sock)
{
	static const uint32_t kinds[] = {LDS_X_KIND, LDS_X_SPEEDS_KIND};

	loads->st = st;
	loads->sock = sock;
	ev_timer_init(&loads->timer, on_batch_due, BATCH_DELAY_S, 0);
	loads->timer.data = loads;
	for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
		const struct peersock_kind kind = {
			.kind = kinds[i],
			.receive = on_datagram,
			.ctx = loads,
		};

		peersock_add_kind(sock, &kind);
	}
}
