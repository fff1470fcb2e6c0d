/* Borrows shares from the own domain's lender, or from other domains. */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "agent/quota_msg.h"
#include "common/err.h"
#include "common/evt.h"
#include "common/rpcc.h"
#include "controld/lending_order.h"
#include "controld/lending_state.h"

#define LOG_MODULE "share"

/* VMs of one failure domain that may be tried as its lender. */
#define CANDIDATES_MAX 3

/* Lenders remembered, each with its connection. */
#define LENDERS_MAX 256

/* Time for which a lender that did not answer is skipped. */
#define SILENT_HOLD CLK_SEC(2)

/* Interval at which the wait for the next round checks for a stop. */
#define WAIT_STEP CLK_MS(10)

struct lender {
	struct strbuf vm;
	struct strbuf address;
	struct rpcc *rpc;
	apr_time_t silent_until;
	apr_time_t used_at;
};

/* A VM that has lent to this one, and the domain on whose behalf it did. */
struct loan_source {
	struct strbuf vm;
	struct strbuf domain;
	apr_time_t used_at;
	uint64_t round;
};

struct borrow {
	struct lending_state *state;
	uint64_t round;
	struct loan_source sources[LENDERS_MAX];
	size_t source_count;
	struct lender lenders[LENDERS_MAX];
	size_t count;
	struct strbuf parent;
	struct lending_ask asks[LENDING_ASKS_MAX];
	struct lending_grant grants[LENDING_ASKS_MAX];
};

static struct lender *take_lender_slot(struct borrow *b)
{
	struct lender *oldest = &b->lenders[0];

	if (b->count < LENDERS_MAX)
		return &b->lenders[b->count++];
	for (size_t i = 1; i < b->count; i++) {
		if (b->lenders[i].used_at < oldest->used_at)
			oldest = &b->lenders[i];
	}
	rpcc_destroy(oldest->rpc);
	return oldest;
}

static struct lender *get_lender(struct borrow *b, const struct vm *vm)
{
	const struct settings *set = b->state->set;
	struct lender *lender;
	struct net_addr addr;

	for (size_t i = 0; i < b->count; i++) {
		lender = &b->lenders[i];
		if (strbuf_eq(&lender->vm, &vm->id) &&
		    strbuf_eq(&lender->address, &vm->address))
			return lender;
	}
	lender = take_lender_slot(b);
	*lender = (struct lender){.vm = vm->id, .address = vm->address};
	if (net_addr_make(&addr, strbuf_str(&vm->address),
			  (uint16_t)set->control.rpc_port) ||
	    rpcc_create(&lender->rpc, set, b->state->clk,
			strbuf_str(&vm->region), &addr, SHR_X_PROGRAM,
			SHR_X_VERSION))
		lender->rpc = NULL;
	return lender;
}

/* Sends the asks and applies the grants. Returns 0 or an error. */
static int call_lender(struct borrow *b, struct lender *via,
		       const struct lending_lender *lender, size_t count)
{
	const enum shr_level level =
		lender->domain.len ? LENDING_PEER : LENDING_CHILD;
	struct lending_state *state = b->state;
	struct shr_x_lent lent = {0};
	struct shr_x_borrow request;
	apr_time_t sent_at;
	int err;

	if (!via->rpc)
		return PST_ERR_INVALID;
	err = quota_msg_borrow_make(&request, state->set->vm.id,
				    state->incarnation, level, lender->domain,
				    b->asks, count);
	if (err)
		return err;
	sent_at = clk_now(state->clk);
	err = rpcc_call(via->rpc, SHR_X_BORROW, (xdrproc_t)xdr_shr_x_borrow,
			&request, (xdrproc_t)xdr_shr_x_lent, &lent,
			CLK_MS(state->set->net.rpc_timeout_ms));
	xdr_free((xdrproc_t)xdr_shr_x_borrow, &request);
	if (err)
		return err;
	count = quota_msg_grants(&lent, b->grants, count);
	xdr_free((xdrproc_t)xdr_shr_x_lent, &lent);
	pthread_mutex_lock(&state->lock);
	lending_node_apply_grants(state->node, clk_now(state->clk), lender,
				  sent_at, b->asks, b->grants, count);
	pthread_mutex_unlock(&state->lock);
	return 0;
}

static size_t plan_asks(struct borrow *b, const struct lending_lender *lender)
{
	struct lending_state *state = b->state;
	size_t count;

	pthread_mutex_lock(&state->lock);
	count = lending_node_plan_asks(state->node, clk_now(state->clk), lender,
				       b->asks);
	pthread_mutex_unlock(&state->lock);
	return count;
}

static void record_source(struct borrow *b, const struct lending_lender *lender)
{
	struct loan_source *source = NULL;

	for (size_t i = 0; i < b->source_count && !source; i++) {
		if (str_eq(strbuf_str(&b->sources[i].vm), lender->vm) &&
		    str_eq(strbuf_str(&b->sources[i].domain), lender->domain))
			source = &b->sources[i];
	}
	if (!source) {
		if (b->source_count == LENDERS_MAX)
			return;
		source = &b->sources[b->source_count++];
		strbuf_set(&source->vm, lender->vm);
		strbuf_set(&source->domain, lender->domain);
	}
	source->used_at = clk_now(b->state->clk);
	source->round = b->round;
}

/* Asks one VM. Returns false if it does not answer or did not lately. */
static bool borrow_from(struct borrow *b, const struct vm *vm,
			enum lending_lender_kind kind, struct str domain)
{
	const struct lending_lender lender = {
		.kind = kind,
		.vm = strbuf_str(&vm->id),
		.domain = domain,
	};
	struct lender *via = get_lender(b, vm);
	const apr_time_t now = clk_now(b->state->clk);
	size_t asks;
	int err;

	if (now < via->silent_until)
		return false;
	asks = plan_asks(b, &lender);
	/* A parent is called without asks too, to learn whether it answers. */
	if (!asks && kind != LENDING_PARENT)
		return true;
	via->used_at = now;
	err = call_lender(b, via, &lender, asks);
	if (!err) {
		record_source(b, &lender);
		return true;
	}
	via->silent_until = clk_now(b->state->clk) + SILENT_HOLD;
	evt_log(SHARE_LENDER_SILENT, "lender=%s domain=%s err=%s", vm->id.ptr,
		vm->domain.ptr, err_name(err));
	return false;
}

static void borrow_from_peers(struct borrow *b, const struct ctl_view *view)
{
	const struct settings *set = b->state->set;

	for (size_t i = 0; i < view->tbl->domain_count; i++) {
		const struct str domain =
			strbuf_str(&view->tbl->domains[i].name);
		const struct vm *vms[CANDIDATES_MAX];
		const size_t count =
			lending_order(view, domain, vms, CANDIDATES_MAX);

		if (count && str_eq(strbuf_str(&vms[0]->id), set->vm.id))
			continue;
		for (size_t j = 0; j < count && !b->state->stopping; j++) {
			if (borrow_from(b, vms[j], LENDING_OTHER_DOMAIN,
					domain))
				break;
		}
	}
}

/* Renews loans of former lenders for as long as these answer. */
static void borrow_from_former(struct borrow *b, const struct ctl_view *view)
{
	const apr_time_t since =
		clk_now(b->state->clk) - CLK_MS(b->state->set->share.loan_ms);
	size_t kept = 0;

	for (size_t i = 0; i < b->source_count; i++) {
		struct loan_source source = b->sources[i];
		const struct vm *vm =
			vmlist_find(view->vmlist, strbuf_str(&source.vm));

		if (!vm || source.used_at < since)
			continue;
		b->sources[kept++] = source;
	}
	b->source_count = kept;
	for (size_t i = 0; i < kept && !b->state->stopping; i++) {
		const struct loan_source source = b->sources[i];

		if (source.round != b->round)
			borrow_from(b,
				    vmlist_find(view->vmlist,
						strbuf_str(&source.vm)),
				    LENDING_FORMER, strbuf_str(&source.domain));
	}
}

static void set_parent(struct borrow *b, struct str vm, const char *why)
{
	const bool self = str_eq(vm, b->state->set->vm.id);

	if (str_eq(strbuf_str(&b->parent), vm))
		return;
	strbuf_set(&b->parent, vm);
	evt_log(SHARE_LENDER, "lender=%.*s role=%s why=%s", STR_ARG(vm),
		self ? "lends_to_domain" : "borrows_from_domain", why);
}

/*
 * Tries the domain's VMs in rendezvous order: the first that answers lends to
 * the rest. When none before this VM answers, this VM is the lender.
 */
static void run_round(struct borrow *b, const struct ctl_view *view)
{
	const struct settings *set = b->state->set;
	const struct vm *vms[CANDIDATES_MAX];
	size_t count =
		vmlist_rendezvous(view->vmlist, set->vm.failure_domain,
				  set->vm.failure_domain, vms, CANDIDATES_MAX);
	size_t before = 0;

	while (before < count &&
	       !str_eq(strbuf_str(&vms[before]->id), set->vm.id))
		before++;
	for (size_t i = 0; i < before; i++) {
		if (!borrow_from(b, vms[i], LENDING_PARENT, STR_LIT("")))
			continue;
		b->state->acting_lender = false;
		set_parent(b, strbuf_str(&vms[i]->id),
			   i ? "earlier_ones_silent" : "first_of_domain");
		return;
	}
	b->state->acting_lender = before > 0;
	set_parent(b, set->vm.id,
		   before ? "earlier_ones_silent" : "first_of_domain");
	borrow_from_peers(b, view);
}

static void wait_for_next_round(struct lending_state *state)
{
	const apr_time_t until =
		clk_now(state->clk) + CLK_MS(state->set->share.interval_ms);

	while (!state->stopping && clk_now(state->clk) < until)
		usleep(WAIT_STEP);
}

void *lending_borrow_run(void *arg)
{
	struct borrow *b = calloc(1, sizeof(*b));

	if (!b)
		return NULL;
	b->state = arg;
	while (!b->state->stopping) {
		struct ctl_view *view = curview_get(b->state->curview);

		if (view) {
			b->round++;
			run_round(b, view);
			borrow_from_former(b, view);
			ctl_view_put(view);
		}
		wait_for_next_round(b->state);
	}
	for (size_t i = 0; i < b->count; i++)
		rpcc_destroy(b->lenders[i].rpc);
	free(b);
	return NULL;
}
