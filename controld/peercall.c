#include "controld/peercall.h"

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

struct peercall {
	const struct settings *set;
	const struct clk *clk;
	struct node *node;
	struct client clients[MAX_CLIENTS];
	uint64_t use_count;
};

static struct client *find_client(struct peercall *peercall,
				  const struct vm *vm)
{
	struct client *oldest = &peercall->clients[0];

	for (size_t i = 0; i < MAX_CLIENTS; i++) {
		struct client *c = &peercall->clients[i];

		if (c->rpcc && strbuf_eq(&c->id, &vm->id) &&
		    strbuf_eq(&c->address, &vm->address))
			return c;
		if (c->last_use < oldest->last_use)
			oldest = c;
	}
	return oldest;
}

static struct rpcc *get_client(struct peercall *peercall, const struct vm *vm)
{
	struct client *c = find_client(peercall, vm);
	struct net_addr peer;

	c->last_use = ++peercall->use_count;
	if (c->rpcc && strbuf_eq(&c->id, &vm->id) &&
	    strbuf_eq(&c->address, &vm->address))
		return c->rpcc;
	rpcc_destroy(c->rpcc);
	c->rpcc = NULL;
	c->id = vm->id;
	c->address = vm->address;
	if (net_addr_make(&peer, strbuf_str(&vm->address),
			  (uint16_t)peercall->set->control.rpc_port))
		return NULL;
	if (rpcc_create(&c->rpcc, peercall->set, peercall->clk,
			strbuf_str(&vm->region), &peer, TABLE_PROGRAM,
			TABLE_VERSION))
		c->rpcc = NULL;
	return c->rpcc;
}

static void record_result(struct peercall *peercall, const struct vm *vm,
			  int err)
{
	if (err)
		node_vm_failed(peercall->node, strbuf_str(&vm->id));
	else
		node_vm_heard(peercall->node, strbuf_str(&vm->id));
}

static int call(struct peercall *peercall, const struct vm *vm, rpcproc_t proc,
		xdrproc_t xargs, void *args, xdrproc_t xres, void *res)
{
	struct rpcc *rpcc = get_client(peercall, vm);
	const int err =
		rpcc ? rpcc_call(rpcc, proc, xargs, args, xres, res,
				 CLK_MS(peercall->set->net.rpc_timeout_ms))
		     : PST_ERR_CONNECT;

	record_result(peercall, vm, err);
	return err;
}

static int add_page(struct peercall *peercall, const table_answer *answer)
{
	struct tbl_part *parts = tablemsg_parts_borrow(answer->parts.parts_val,
						       answer->parts.parts_len);
	const int err = parts ? node_add_parts(peercall->node, parts,
					       answer->parts.parts_len)
			      : PST_ERR_NOMEM;

	free(parts);
	return err;
}

static void apply_last_page(struct peercall *peercall,
			    const table_answer *answer, apr_time_t asked_at)
{
	const table_status *status = &answer->status;

	node_note_peer(peercall->node, status);
	if (!status->revision)
		return;
	if (status->revision > node_revision(peercall->node))
		node_apply_parts(peercall->node, status->revision, status->vm);
	if (status->confirmed_age_ms != TABLE_AGE_NEVER)
		node_confirm(peercall->node, status->revision,
			     asked_at - CLK_MS(status->confirmed_age_ms),
			     NODE_SOURCE_PEER);
}

static void merge_membership(struct peercall *peercall,
			     const table_answer *answer)
{
	node_merge_absents(peercall->node, answer);
	if (answer->delta)
		node_apply_delta(peercall->node, answer->delta);
	node_merge_marks(peercall->node, answer->marks.marks_val,
			 answer->marks.marks_len);
}

/* Fetches a page and advances *after; all pages come from one process. */
static int sync_page(struct peercall *peercall, const struct vm *vm,
		     uint64_t *after, bool *more)
{
	const apr_time_t asked_at = clk_now(peercall->clk);
	table_ask ask = {
		.from = (char *)peercall->set->vm.id.ptr,
		.held = node_revision(peercall->node),
		.after = *after,
		.list_revision = node_listed_revision(peercall->node),
	};
	table_answer answer = {0};
	int err = call(peercall, vm, TABLE_SYNC, (xdrproc_t)xdr_table_ask, &ask,
		       (xdrproc_t)xdr_table_answer, &answer);

	if (err)
		return err;
	*more = answer.more;
	*after = tablemsg_last_revision(&answer, *after);
	merge_membership(peercall, &answer);
	err = add_page(peercall, &answer);
	if (!err && !answer.more)
		apply_last_page(peercall, &answer, asked_at);
	xdr_free((xdrproc_t)xdr_table_answer, &answer);
	return err;
}

int peercall_create(struct peercall **out, const struct settings *set,
		    const struct clk *clk, struct node *node)
{
	struct peercall *peercall = calloc(1, sizeof(*peercall));

	if (!peercall)
		return PST_ERR_NOMEM;
	peercall->set = set;
	peercall->clk = clk;
	peercall->node = node;
	*out = peercall;
	return 0;
}

void peercall_destroy(struct peercall *peercall)
{
	if (!peercall)
		return;
	for (size_t i = 0; i < MAX_CLIENTS; i++)
		rpcc_destroy(peercall->clients[i].rpcc);
	free(peercall);
}

int peercall_sync(struct peercall *peercall, const struct vm *vm)
{
	uint64_t after = node_revision(peercall->node);
	bool more = true;
	int err = 0;

	for (int i = 0; !err && more && i < MAX_PAGES; i++)
		err = sync_page(peercall, vm, &after, &more);
	return err;
}

int peercall_status(struct peercall *peercall, const struct vm *vm,
		    table_status *out, apr_time_t *asked_at)
{
	memset(out, 0, sizeof(*out));
	*asked_at = clk_now(peercall->clk);
	return call(peercall, vm, TABLE_STATUS, tablemsg_xdr_void, NULL,
		    (xdrproc_t)xdr_table_status, out);
}

static int send_one_way(struct peercall *peercall, const struct vm *vm,
			rpcproc_t proc, xdrproc_t xargs, void *args)
{
	struct rpcc *rpcc = get_client(peercall, vm);
	const int err =
		rpcc ? rpcc_send(rpcc, proc, xargs, args) : PST_ERR_CONNECT;

	if (err)
		record_result(peercall, vm, err);
	return err;
}

int peercall_push(struct peercall *peercall, const struct vm *vm,
		  table_change *change)
{
	return send_one_way(peercall, vm, TABLE_PUSH,
			    (xdrproc_t)xdr_table_change, change);
}

int peercall_marks(struct peercall *peercall, const struct vm *vm,
		   table_marks *marks)
{
	return send_one_way(peercall, vm, TABLE_MARKS,
			    (xdrproc_t)xdr_table_marks, marks);
}
