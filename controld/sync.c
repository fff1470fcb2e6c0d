#include "controld/sync.h"

#include <stdlib.h>

#include "agent/tablemsg.h"
#include "common/err.h"
#include "common/rpcs.h"

static int handle_sync(void *ctx, const struct net_addr *peer, void *args,
		       void *res)
{
	(void)peer;
	return node_answer_sync(ctx, args, res);
}

static int handle_view(void *ctx, const struct net_addr *peer, void *args,
		       void *res)
{
	(void)peer;
	return node_answer_view(ctx, args, res);
}

static int handle_push(void *ctx, const struct net_addr *peer, void *args,
		       void *res)
{
	const table_change *change = args;
	struct tbl_part *parts = tablemsg_parts_borrow(change->parts.parts_val,
						       change->parts.parts_len);
	int err;

	(void)peer;
	(void)res;
	if (!parts)
		return PST_ERR_NOMEM;
	node_vm_heard(ctx, str_from_c(change->from));
	err = node_apply_change(ctx, parts, change->parts.parts_len,
				change->previous, change->revision,
				change->from);
	free(parts);
	if (change->delta)
		node_apply_delta(ctx, change->delta);
	return err;
}

static int handle_marks(void *ctx, const struct net_addr *peer, void *args,
			void *res)
{
	const table_marks *marks = args;

	(void)peer;
	(void)res;
	node_vm_heard(ctx, str_from_c(marks->from));
	node_merge_marks(ctx, marks->marks.marks_val, marks->marks.marks_len);
	return 0;
}

static int handle_status(void *ctx, const struct net_addr *peer, void *args,
			 void *res)
{
	(void)peer;
	(void)args;
	return node_status(ctx, res);
}

static const struct rpcs_proc procs[] = {
	{
		.proc = TABLE_SYNC,
		.xargs = (xdrproc_t)xdr_table_ask,
		.args_size = sizeof(table_ask),
		.xres = (xdrproc_t)xdr_table_answer,
		.res_size = sizeof(table_answer),
		.handle = handle_sync,
	},
	{
		.proc = TABLE_VIEW,
		.xargs = (xdrproc_t)xdr_table_ask,
		.args_size = sizeof(table_ask),
		.xres = (xdrproc_t)xdr_table_answer,
		.res_size = sizeof(table_answer),
		.handle = handle_view,
	},
	{
		.proc = TABLE_PUSH,
		.one_way = true,
		.xargs = (xdrproc_t)xdr_table_change,
		.args_size = sizeof(table_change),
		.handle = handle_push,
	},
	{
		.proc = TABLE_STATUS,
		.xargs = tablemsg_xdr_void,
		.xres = (xdrproc_t)xdr_table_status,
		.res_size = sizeof(table_status),
		.handle = handle_status,
	},
	{
		.proc = TABLE_MARKS,
		.one_way = true,
		.xargs = (xdrproc_t)xdr_table_marks,
		.args_size = sizeof(table_marks),
		.handle = handle_marks,
	},
};

static struct rpcs_program program = {
	.prog = TABLE_PROGRAM,
	.vers = TABLE_VERSION,
	.procs = procs,
	.proc_count = sizeof(procs) / sizeof(procs[0]),
};

int sync_register(struct node *node)
{
	program.ctx = node;
	return rpcs_register(&program);
}
