#include "agent/tkt_handover.h"

#include <inttypes.h>
#include <stdlib.h>

#include "agent/tkt_dial.h"
#include "agent/tkt_wire.h"
#include "common/err.h"
#include "common/evt.h"
#include "policy/tkt_pick.h"

#define LOG_MODULE "ticket.witness"

struct handover {
	struct tkt_serve *serve;
	const struct settings *set;
	const struct vmlist *vmlist;
	struct tkt_cursor cursor;
	struct tkt_chunk chunk;
	struct tktm_item items[TKT_CHUNK_ITEMS];
	/* Successor of the witness whose chunks are being sent. */
	const struct vm *successor;
	struct rpcc *client;
	/* Items sent of that witness. */
	size_t sent;
};

static bool next_chunk(struct handover *h)
{
	bool found;

	pthread_mutex_lock(&h->serve->lock);
	found = tkt_wset_export(h->serve->witnesses, &h->cursor, &h->chunk,
				clk_now(h->serve->clk));
	pthread_mutex_unlock(&h->serve->lock);
	return found;
}

/* Called with the first chunk, so that each witness has one successor. */
static int choose_successor(struct handover *h)
{
	h->sent = 0;
	rpcc_destroy(h->client);
	h->client = NULL;
	h->successor = tkt_pick_live_successor(h->vmlist, h->chunk.vm,
					       tkt_vm_hash(h->set->vm.id));
	if (!h->successor)
		return PST_ERR_NOTFOUND;
	return tkt_dial(&h->client, h->set, h->serve->clk, h->successor,
			TKT_WITNESS_PROG);
}

static int send_chunk(struct handover *h)
{
	struct tktm_adopt_args args = {.items.items_val = h->items};
	struct tktm_adopt_res res = {0};
	int err = h->chunk.sequence ? 0 : choose_successor(h);

	if (err)
		return err;
	tkt_wire_encode_chunk(&args, &h->chunk);
	err = rpcc_call(h->client, TKT_PROC_ADOPT,
			(xdrproc_t)xdr_tktm_adopt_args, &args,
			(xdrproc_t)xdr_tktm_adopt_res, &res,
			CLK_MS(h->set->ticket.call_timeout_ms));
	h->sent += h->chunk.count;
	return err ? err : res.err;
}

static void end_handover(struct handover *h, int err)
{
	evt_log(TICKET_MOVED,
		"witness=%" PRIx64 " successor=%s records=%zu err=%s",
		h->chunk.vm, h->successor ? h->successor->id.ptr : "", h->sent,
		err_name(err));
	if (err) {
		if (!h->chunk.last)
			tkt_wset_skip(&h->cursor);
		return;
	}
	pthread_mutex_lock(&h->serve->lock);
	tkt_wset_handed_over(h->serve->witnesses, h->chunk.incarnation);
	pthread_mutex_unlock(&h->serve->lock);
}

void tkt_handover(struct tkt_serve *s, const struct settings *set,
		  const struct vmlist *vmlist)
{
	struct handover *h = calloc(1, sizeof(*h));

	if (!h)
		return;
	h->serve = s;
	h->set = set;
	h->vmlist = vmlist;
	while (next_chunk(h)) {
		const int err = send_chunk(h);

		if (err || h->chunk.last)
			end_handover(h, err);
	}
	rpcc_destroy(h->client);
	free(h);
}
