#include "controld/xchg.h"

#include <stdlib.h>
#include <string.h>

#include "agent/tablemsg.h"
#include "common/err.h"
#include "common/net.h"
#include "common/rpcc.h"

/* Connections kept; the least recently used one is replaced. */
#define MAX_CLIENTS 128

/* Most pages of one exchange; a table has fewer. */
#define MAX_PAGES 64

struct client {
	struct strbuf id;
	struct strbuf address;
	struct rpcc *rpcc;
	uint64_t last_use;
};

struct xchg {
	const struct settings *set;
	const struct clk *clk;
	struct node *node;
	struct client clients[MAX_CLIENTS];
	uint64_t use_count;
};

static struct client *find_client(struct xchg *xchg, const struct vm *vm)
{
	struct client *oldest = &xchg->clients[0];

	for (size_t i = 0; i < MAX_CLIENTS; i++) {
		struct client *c = &xchg->clients[i];

		if (c->rpcc && strbuf_eq(&c->id, &vm->id) &&
		    strbuf_eq(&c->address, &vm->address))
			return c;
		if (c->last_use < oldest->last_use)
			oldest = c;
	}
	return oldest;
}

static struct rpcc *get_client(struct xchg *xchg, const struct vm *vm)
{
	struct client *c = find_client(xchg, vm);
	struct net_addr peer;

	c->last_use = ++xchg->use_count;
	if (c->rpcc && strbuf_eq(&c->id, &vm->id) &&
	    strbuf_eq(&c->address, &vm->address))
		return c->rpcc;
	rpcc_destroy(c->rpcc);
	c->rpcc = NULL;
	c->id = vm->id;
	c->address = vm->address;
	if (net_addr_make(&peer, strbuf_str(&vm->address),
			  (uint16_t)xchg->set->control.rpc_port))
		return NULL;
	if (rpcc_create(&c->rpcc, xchg->set, xchg->clk, strbuf_str(&vm->region),
			&peer, TABLE_PROGRAM, TABLE_VERSION))
		c->rpcc = NULL;
	return c->rpcc;
}

static void record_result(struct xchg *xchg, const struct vm *vm, int err)
{
	if (err)
		node_vm_failed(xchg->node, strbuf_str(&vm->id));
	else
		node_vm_heard(xchg->node, strbuf_str(&vm->id));
}

static int call(struct xchg *xchg, const struct vm *vm, rpcproc_t proc,
		xdrproc_t xargs, void *args, xdrproc_t xres, void *res)
{
	struct rpcc *rpcc = get_client(xchg, vm);
	const int err = rpcc ? rpcc_call(rpcc, proc, xargs, args, xres, res,
					 CLK_MS(xchg->set->net.rpc_timeout_ms))
			     : PST_ERR_CONNECT;

	record_result(xchg, vm, err);
	return err;
}

static int add_page(struct xchg *xchg, const table_answer *answer)
{
	struct tbl_part *parts = tablemsg_parts_borrow(answer->parts.parts_val,
						       answer->parts.parts_len);
	const int err = parts ? node_add_parts(xchg->node, parts,
					       answer->parts.parts_len)
			      : PST_ERR_NOMEM;

	free(parts);
	return err;
}

static void apply_last_page(struct xchg *xchg, const table_answer *answer,
			    apr_time_t asked_at)
{
	const table_status *status = &answer->status;

	node_note_peer(xchg->node, status);
	if (!status->revision)
		return;
	if (status->revision > node_revision(xchg->node))
		node_apply_parts(xchg->node, status->revision, status->vm);
	if (status->confirmed_age_ms != TABLE_AGE_NEVER)
		node_confirm(xchg->node, status->revision,
			     asked_at - CLK_MS(status->confirmed_age_ms),
			     NODE_SOURCE_PEER);
}

static void merge_membership(struct xchg *xchg, const table_answer *answer)
{
	node_merge_absents(xchg->node, answer);
	if (answer->delta)
		node_apply_delta(xchg->node, answer->delta);
	node_merge_marks(xchg->node, answer->marks.marks_val,
			 answer->marks.marks_len);
}

/* Fetches a page and advances *after; all pages come from one process. */
static int sync_page(struct xchg *xchg, const struct vm *vm, uint64_t *after,
		     bool *more)
{
	const apr_time_t asked_at = clk_now(xchg->clk);
	table_ask ask = {
		.from = (char *)xchg->set->vm.id.ptr,
		.held = node_revision(xchg->node),
		.after = *after,
		.list_revision = node_listed_revision(xchg->node),
	};
	table_answer answer = {0};
	int err = call(xchg, vm, TABLE_SYNC, (xdrproc_t)xdr_table_ask, &ask,
		       (xdrproc_t)xdr_table_answer, &answer);

	if (err)
		return err;
	*more = answer.more;
	*after = tablemsg_last_revision(&answer, *after);
	merge_membership(xchg, &answer);
	err = add_page(xchg, &answer);
	if (!err && !answer.more)
		apply_last_page(xchg, &answer, asked_at);
	xdr_free((xdrproc_t)xdr_table_answer, &answer);
	return err;
}

int xchg_create(struct xchg **out, const struct settings *set,
		const struct clk *clk, struct node *node)
{
	struct xchg *xchg = calloc(1, sizeof(*xchg));

	if (!xchg)
		return PST_ERR_NOMEM;
	xchg->set = set;
	xchg->clk = clk;
	xchg->node = node;
	*out = xchg;
	return 0;
}

void xchg_destroy(struct xchg *xchg)
{
	if (!xchg)
		return;
	for (size_t i = 0; i < MAX_CLIENTS; i++)
		rpcc_destroy(xchg->clients[i].rpcc);
	free(xchg);
}

int xchg_sync(struct xchg *xchg, const struct vm *vm)
{
	uint64_t after = node_revision(xchg->node);
	bool more = true;
	int err = 0;

	for (int i = 0; !err && more && i < MAX_PAGES; i++)
		err = sync_page(xchg, vm, &after, &more);
	return err;
}

int xchg_status(struct xchg *xchg, const struct vm *vm, table_status *out,
		apr_time_t *asked_at)
{
	memset(out, 0, sizeof(*out));
	*asked_at = clk_now(xchg->clk);
	return call(xchg, vm, TABLE_STATUS, tablemsg_xdr_void, NULL,
		    (xdrproc_t)xdr_table_status, out);
}

static int send_one_way(struct xchg *xchg, const struct vm *vm, rpcproc_t proc,
			xdrproc_t xargs, void *args)
{
	struct rpcc *rpcc = get_client(xchg, vm);
	const int err =
		rpcc ? rpcc_send(rpcc, proc, xargs, args) : PST_ERR_CONNECT;

	if (err)
		record_result(xchg, vm, err);
	return err;
}

int xchg_push(struct xchg *xchg, const struct vm *vm, table_change *change)
{
	return send_one_way(xchg, vm, TABLE_PUSH, (xdrproc_t)xdr_table_change,
			    change);
}

int xchg_marks(struct xchg *xchg, const struct vm *vm, table_marks *marks)
{
	return send_one_way(xchg, vm, TABLE_MARKS, (xdrproc_t)xdr_table_marks,
			    marks);
}
