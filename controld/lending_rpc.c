/* RPC server for shares of limits (schema/share.x). */
#include <stdlib.h>
#include <string.h>

#include "agent/quota_msg.h"
#include "common/err.h"
#include "common/evt.h"
#include "common/rpcs.h"
#include "controld/lending_state.h"

#define LOG_MODULE "share"

/* Age at which reported splits are no longer offered as initial values. */
#define SPLITS_MAX_AGE CLK_SEC(10)

/* Used by the RPC server's thread only. */
static struct lending_ask asks[LENDING_ASKS_MAX];
static struct lending_grant grants[LENDING_ASKS_MAX];

static bool to_borrower(const struct shr_x_borrow *request,
			struct lending_borrower *out)
{
	*out = (struct lending_borrower){
		.incarnation = request->incarnation,
		.level = (enum shr_level)request->level,
	};
	return request->level <= LENDING_PEER &&
	       !strbuf_set(&out->lender, str_from_c(request->lender)) &&
	       !strbuf_set(&out->name, str_from_c(request->vm));
}

static int answer_grants(struct shr_x_lent *lent, size_t count)
{
	lent->grants.grants_val = calloc(count + 1, sizeof(shr_x_grant));
	if (!lent->grants.grants_val)
		return PST_ERR_NOMEM;
	lent->grants.grants_len = (u_int)count;
	for (size_t i = 0; i < count; i++) {
		lent->grants.grants_val[i].amount = grants[i].amount;
		lent->grants.grants_val[i].duration_us =
			(uint64_t)grants[i].duration;
	}
	return 0;
}

static int handle_borrow(void *ctx, const struct net_addr *peer, void *args,
			 void *res)
{
	const struct shr_x_borrow *request = args;
	const size_t count = request->asks.asks_len;
	struct lending_state *state = ctx;
	struct shr_x_lent *lent = res;
	struct lending_borrower from;
	apr_time_t now;

	(void)peer;
	if (!to_borrower(request, &from))
		return PST_ERR_INVALID;
	for (size_t i = 0; i < count; i++) {
		asks[i].id = request->asks.asks_val[i].id;
		asks[i].want = request->asks.asks_val[i].want;
	}
	pthread_mutex_lock(&state->lock);
	now = clk_now(state->clk);
	lending_state_apply(state, now);
	lent->err = lending_node_serve(state->node, now, &from, asks, count,
				       grants);
	pthread_mutex_unlock(&state->lock);
	evt_log(SHARE_LENT, "borrower=%s level=%s limits=%zu", request->vm,
		from.level == LENDING_CHILD ? "child" : "peer", count);
	return answer_grants(lent, count);
}

static int handle_about(void *ctx, const struct net_addr *peer, void *args,
			void *res)
{
	const struct shr_x_about *about = args;
	struct lending_state *state = ctx;
	struct shr_x_holds *holds = res;
	apr_time_t now;

	(void)peer;
	holds->incarnation = state->incarnation;
	pthread_mutex_lock(&state->lock);
	now = clk_now(state->clk);
	for (size_t i = 0; i < state->owned_count; i++) {
		struct lending_owned *owned = &state->owned[i];

		if (str_eq(strbuf_str(&owned->root.domain),
			   str_from_c(about->domain)))
			holds->holds = lending_root_on_inquiry(
				&owned->root, now, about->revision,
				&owned->view);
	}
	lending_state_apply(state, now);
	holds->rest_us = (uint64_t)lending_node_expiry_delay(state->node, now);
	pthread_mutex_unlock(&state->lock);
	return 0;
}

/* Keeps the request's contents and leaves an empty request to be freed. */
static int handle_put(void *ctx, const struct net_addr *peer, void *args,
		      void *res)
{
	struct shr_x_splits *splits = args;
	struct lending_state *state = ctx;

	(void)peer;
	(void)res;
	pthread_mutex_lock(&state->lock);
	xdr_free((xdrproc_t)xdr_shr_x_splits, &state->splits);
	state->splits = *splits;
	state->splits_at = clk_now(state->clk);
	pthread_mutex_unlock(&state->lock);
	memset(splits, 0, sizeof(*splits));
	return 0;
}

static bool copy_splits(const struct shr_x_splits *from,
			struct shr_x_splits *to)
{
	to->domains.domains_val = calloc(from->domains.domains_len + 1,
					 sizeof(*to->domains.domains_val));
	to->rows.rows_val =
		calloc(from->rows.rows_len + 1, sizeof(*to->rows.rows_val));
	if (!to->domains.domains_val || !to->rows.rows_val)
		return false;
	for (u_int i = 0; i < from->domains.domains_len; i++) {
		char *name = strdup(from->domains.domains_val[i]);

		if (!name)
			return false;
		to->domains.domains_val[to->domains.domains_len++] = name;
	}
	for (u_int i = 0; i < from->rows.rows_len; i++) {
		const struct shr_x_row *row = &from->rows.rows_val[i];
		struct shr_x_row *out = &to->rows.rows_val[i];

		out->rank = row->rank;
		out->service = strdup(row->service);
		out->parts.parts_val =
			calloc(row->parts.parts_len + 1, sizeof(u_int));
		if (!out->service || !out->parts.parts_val)
			return false;
		out->parts.parts_len = row->parts.parts_len;
		memcpy(out->parts.parts_val, row->parts.parts_val,
		       row->parts.parts_len * sizeof(u_int));
		to->rows.rows_len++;
	}
	return true;
}

static int handle_get(void *ctx, const struct net_addr *peer, void *args,
		      void *res)
{
	struct lending_state *state = ctx;
	struct shr_x_splits *splits = res;
	bool copied = true;

	(void)peer;
	(void)args;
	pthread_mutex_lock(&state->lock);
	splits->known = state->splits.known &&
			clk_now(state->clk) - state->splits_at < SPLITS_MAX_AGE;
	if (splits->known)
		copied = copy_splits(&state->splits, splits);
	pthread_mutex_unlock(&state->lock);
	return copied ? 0 : PST_ERR_NOMEM;
}

static const struct rpcs_proc procs[] = {
	{
		.proc = SHR_X_BORROW,
		.xargs = (xdrproc_t)xdr_shr_x_borrow,
		.args_size = sizeof(struct shr_x_borrow),
		.xres = (xdrproc_t)xdr_shr_x_lent,
		.res_size = sizeof(struct shr_x_lent),
		.handle = handle_borrow,
	},
	{
		.proc = SHR_X_ABOUT,
		.xargs = (xdrproc_t)xdr_shr_x_about,
		.args_size = sizeof(struct shr_x_about),
		.xres = (xdrproc_t)xdr_shr_x_holds,
		.res_size = sizeof(struct shr_x_holds),
		.handle = handle_about,
	},
	{
		.proc = SHR_X_SPLITS_PUT,
		.one_way = true,
		.xargs = (xdrproc_t)xdr_shr_x_splits,
		.args_size = sizeof(struct shr_x_splits),
		.handle = handle_put,
	},
	{
		.proc = SHR_X_SPLITS_GET,
		.xargs = quota_msg_xdr_none,
		.xres = (xdrproc_t)xdr_shr_x_splits,
		.res_size = sizeof(struct shr_x_splits),
		.handle = handle_get,
	},
};

static struct rpcs_program program = {
	.prog = SHR_X_PROGRAM,
	.vers = SHR_X_VERSION,
	.procs = procs,
	.proc_count = sizeof(procs) / sizeof(procs[0]),
};

int lending_rpc_register(struct lending_state *state)
{
	program.ctx = state;
	return rpcs_register(&program);
}
