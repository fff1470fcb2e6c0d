#include "agent/tkt_serve.h"

#include <inttypes.h>
#include <stdlib.h>

#include "agent/tkt_log.h"
#include "agent/tkt_wire.h"
#include "common/err.h"
#include "common/evt.h"

#define LOG_MODULE "ticket.witness"

static struct tkt_ruling apply_op(struct tkt_serve *s, uint64_t incarnation,
				  const struct tkt_op *op, apr_time_t now)
{
	const struct tkt_ruling ruling =
		tkt_wset_apply(s->witnesses, incarnation, op, now);

	if (ruling.handed_over)
		tkt_log_handed_over(op);
	return ruling;
}

static int handle_apply(void *ctx, const struct net_addr *peer, void *args,
			void *res)
{
	struct tkt_serve *s = ctx;
	const struct tktm_apply_args *in = args;
	struct tktm_apply_res *out = res;
	const apr_time_t now = clk_now(s->clk);
	struct tkt_op op = {
		.requester = {.vm = in->vm, .incarnation = in->incarnation},
	};
	bool known = true;

	(void)peer;
	out->leaving = s->leaving;
	out->rulings.rulings_val =
		calloc(in->ops.ops_len + 1, sizeof(*out->rulings.rulings_val));
	if (!out->rulings.rulings_val)
		return PST_ERR_NOMEM;
	out->rulings.rulings_len = in->ops.ops_len;
	pthread_mutex_lock(&s->lock);
	for (u_int i = 0; i < in->ops.ops_len && known; i++) {
		struct tkt_ruling ruling;

		known = tkt_wire_decode_op(&op, &in->ops.ops_val[i]);
		if (!known)
			break;
		ruling = apply_op(s, in->witness_incarnation, &op, now);
		tkt_wire_encode_ruling(&out->rulings.rulings_val[i], &ruling);
	}
	pthread_mutex_unlock(&s->lock);
	return known ? 0 : PST_ERR_PROTOCOL;
}

static int handle_open(void *ctx, const struct net_addr *peer, void *args,
		       void *res)
{
	struct tkt_serve *s = ctx;
	const struct tktm_open_args *in = args;
	struct tktm_open_res *out = res;

	(void)peer;
	out->count = in->count;
	out->leaving = s->leaving;
	out->witness_incarnation = s->incarnation;
	out->ttl_us = (uint64_t)s->ttl;
	if (s->leaving) {
		out->err = PST_ERR_STOPPED;
		return 0;
	}
	pthread_mutex_lock(&s->lock);
	out->err = tkt_wset_open(s->witnesses, in->vm, &out->count,
				 clk_now(s->clk), &out->block);
	pthread_mutex_unlock(&s->lock);
	return 0;
}

static int handle_shrink(void *ctx, const struct net_addr *peer, void *args,
			 void *res)
{
	struct tkt_serve *s = ctx;
	const struct tktm_shrink_args *in = args;

	(void)peer;
	(void)res;
	pthread_mutex_lock(&s->lock);
	tkt_wset_shrink(s->witnesses, in->witness_incarnation, in->block,
			in->first_unused, clk_now(s->clk));
	pthread_mutex_unlock(&s->lock);
	return 0;
}

static int handle_adopt(void *ctx, const struct net_addr *peer, void *args,
			void *res)
{
	struct tkt_serve *s = ctx;
	const struct tktm_adopt_args *in = args;
	struct tktm_adopt_res *out = res;
	struct tkt_chunk *chunk = malloc(sizeof(*chunk));

	(void)peer;
	if (!chunk)
		return PST_ERR_NOMEM;
	tkt_wire_decode_chunk(chunk, in);
	pthread_mutex_lock(&s->lock);
	out->err = tkt_wset_adopt(s->witnesses, chunk, clk_now(s->clk));
	pthread_mutex_unlock(&s->lock);
	if (out->err || chunk->last)
		evt_log(TICKET_ADOPTED,
			"witness=%" PRIx64 " chunks=%" PRIu32 " err=%s",
			chunk->vm, chunk->sequence + 1, err_name(out->err));
	free(chunk);
	return 0;
}

static int handle_query(void *ctx, const struct net_addr *peer, void *args,
			void *res)
{
	struct tkt_serve *s = ctx;
	const struct tktm_query_args *in = args;
	struct tktm_query_res *out = res;

	(void)peer;
	out->outcome = TKT_OUTCOME_NO_RECORD;
	if (in->incarnation == s->incarnation)
		out->outcome = (u_int)s->query(s->ctx, str_from_c(in->key),
					       in->attempt);
	return 0;
}

static const struct rpcs_proc home_procs[] = {
	{
		.proc = TKT_PROC_QUERY,
		.xargs = (xdrproc_t)xdr_tktm_query_args,
		.args_size = sizeof(struct tktm_query_args),
		.xres = (xdrproc_t)xdr_tktm_query_res,
		.res_size = sizeof(struct tktm_query_res),
		.handle = handle_query,
	},
};

static const struct rpcs_proc witness_procs[] = {
	{
		.proc = TKT_PROC_APPLY,
		.xargs = (xdrproc_t)xdr_tktm_apply_args,
		.args_size = sizeof(struct tktm_apply_args),
		.xres = (xdrproc_t)xdr_tktm_apply_res,
		.res_size = sizeof(struct tktm_apply_res),
		.handle = handle_apply,
	},
	{
		.proc = TKT_PROC_OPEN,
		.xargs = (xdrproc_t)xdr_tktm_open_args,
		.args_size = sizeof(struct tktm_open_args),
		.xres = (xdrproc_t)xdr_tktm_open_res,
		.res_size = sizeof(struct tktm_open_res),
		.handle = handle_open,
	},
	{
		.proc = TKT_PROC_ADOPT,
		.xargs = (xdrproc_t)xdr_tktm_adopt_args,
		.args_size = sizeof(struct tktm_adopt_args),
		.xres = (xdrproc_t)xdr_tktm_adopt_res,
		.res_size = sizeof(struct tktm_adopt_res),
		.handle = handle_adopt,
	},
	{
		.proc = TKT_PROC_SHRINK,
		.one_way = true,
		.xargs = (xdrproc_t)xdr_tktm_shrink_args,
		.args_size = sizeof(struct tktm_shrink_args),
		.handle = handle_shrink,
	},
};

int tkt_serve_register(struct tkt_serve *s)
{
	int err;

	s->home_program = (struct rpcs_program){
		.prog = TKT_HOME_PROG,
		.vers = TKT_VERS,
		.procs = home_procs,
		.proc_count = sizeof(home_procs) / sizeof(*home_procs),
		.ctx = s,
	};
	s->witness_program = (struct rpcs_program){
		.prog = TKT_WITNESS_PROG,
		.vers = TKT_VERS,
		.procs = witness_procs,
		.proc_count = sizeof(witness_procs) / sizeof(*witness_procs),
		.ctx = s,
	};
	err = rpcs_register(&s->home_program);
	return err ? err : rpcs_register(&s->witness_program);
}
