/* Borrows from the own domain's lender, or from the other domains. */
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "agent/quota_msg.h"
#include "common/err.h"
#include "common/evt.h"
#include "common/rpcc.h"
#include "controld/shr_state.h"

#define LOG_MODULE "share"

/* VMs of one failure domain that are tried as its lender. */
#define TRIED_MAX 3

/* Lenders kept connected. */
#define LENDERS_MAX 256

/* Time for which a lender that did not answer is passed over. */
#define SILENT_TIME CLK_SEC(2)

/* Steps of the wait between two rounds. */
#define WAIT_STEP CLK_MS(10)

struct lender {
	struct strbuf vm;
	struct strbuf address;
	struct rpcc *rpc;
	apr_time_t silent_until;
	apr_time_t used_at;
};

struct borrow {
	struct shr_state *state;
	struct lender lenders[LENDERS_MAX];
	size_t count;
	struct strbuf parent;
	struct shr_ask asks[SHR_ASKS_MAX];
	struct shr_grant grants[SHR_ASKS_MAX];
};

static struct lender *oldest_slot(struct borrow *b)
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

static struct lender *lender_of(struct borrow *b, const struct vm *vm)
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
	lender = oldest_slot(b);
	*lender = (struct lender){.vm = vm->id, .address = vm->address};
	if (net_addr_make(&addr, strbuf_str(&vm->address),
			  (uint16_t)set->control.rpc_port) ||
	    rpcc_create(&lender->rpc, set, b->state->clk,
			strbuf_str(&vm->region), &addr, SHR_X_PROGRAM,
			SHR_X_VERSION))
		lender->rpc = NULL;
	return lender;
}

/* Sends the asks and takes over the answer. Returns 0 or an error. */
static int exchange(struct borrow *b, struct lender *lender, struct str domain,
		    enum shr_level level, size_t count)
{
	struct shr_state *state = b->state;
	struct shr_x_lent lent = {0};
	struct shr_x_borrow request;
	apr_time_t sent_at;
	int err;

	if (!lender->rpc)
		return PST_ERR_INVALID;
	err = qm_borrow_make(&request, state->set->vm.id, state->incarnation,
			     level, domain, b->asks, count);
	if (err)
		return err;
	sent_at = clk_now(state->clk);
	err = rpcc_call(lender->rpc, SHR_X_BORROW, (xdrproc_t)xdr_shr_x_borrow,
			&request, (xdrproc_t)xdr_shr_x_lent, &lent,
			CLK_MS(state->set->net.rpc_timeout_ms));
	xdr_free((xdrproc_t)xdr_shr_x_borrow, &request);
	if (err)
		return err;
	count = qm_grants(&lent, b->grants, count);
	xdr_free((xdrproc_t)xdr_shr_x_lent, &lent);
	pthread_mutex_lock(&state->lock);
	shr_node_apply(state->node, clk_now(state->clk), domain, sent_at,
		       b->asks, b->grants, count);
	pthread_mutex_unlock(&state->lock);
	return 0;
}

static size_t plan(struct borrow *b, struct str domain)
{
	struct shr_state *state = b->state;
	size_t count;

	pthread_mutex_lock(&state->lock);
	count = shr_node_plan(state->node, clk_now(state->clk), domain,
			      b->asks);
	pthread_mutex_unlock(&state->lock);
	return count;
}

/* Asks the first VM that answers. Returns false when none did. */
static bool borrow_from(struct borrow *b, const struct vm **vms,
			size_t vm_count, struct str domain,
			enum shr_level level, size_t asks)
{
	for (size_t i = 0; i < vm_count; i++) {
		struct lender *lender = lender_of(b, vms[i]);
		const apr_time_t now = clk_now(b->state->clk);
		int err;

		if (now < lender->silent_until)
			continue;
		lender->used_at = now;
		err = exchange(b, lender, domain, level, asks);
		if (!err)
			return true;
		lender->silent_until = clk_now(b->state->clk) + SILENT_TIME;
		evt_log(SHARE_LENDER_SILENT, "lender=%s domain=%s err=%s",
			vms[i]->id.ptr, vms[i]->domain.ptr, err_name(err));
	}
	return false;
}

static size_t lenders_of(const struct vml *vml, struct str domain,
			 const struct vm **out)
{
	const size_t count =
		vml_rendezvous(vml, domain, domain, out, TRIED_MAX);

	if (count)
		return count;
	return vml_rendezvous(vml, domain, STR_LIT(""), out, TRIED_MAX);
}

static void borrow_from_peers(struct borrow *b, const struct ctl_view *view)
{
	const struct settings *set = b->state->set;

	for (size_t i = 0; i < view->tbl->domain_count; i++) {
		const struct vm *vms[TRIED_MAX];
		const struct str domain =
			strbuf_str(&view->tbl->domains[i].name);
		const size_t asks = plan(b, domain);
		size_t count;

		if (b->state->stopping || !asks)
			continue;
		count = lenders_of(view->vml, domain, vms);
		if (count && str_eq(strbuf_str(&vms[0]->id), set->vm.id))
			continue;
		borrow_from(b, vms, count, domain, SHR_PEER, asks);
	}
}

static void note_parent(struct borrow *b, struct str vm, const char *why)
{
	const bool self = str_eq(vm, b->state->set->vm.id);

	if (str_eq(strbuf_str(&b->parent), vm))
		return;
	strbuf_set(&b->parent, vm);
	evt_log(SHARE_LENDER, "lender=%.*s role=%s why=%s", STR_ARG(vm),
		self ? "lends_to_domain" : "borrows_from_domain", why);
}

/*
 * The domain's VMs in their order: the first that answers is the lender of
 * the rest. When all before this VM are silent, it is itself.
 */
static void do_round(struct borrow *b, const struct ctl_view *view)
{
	const struct settings *set = b->state->set;
	const struct vm *vms[TRIED_MAX];
	size_t count = vml_rendezvous(view->vml, set->vm.failure_domain,
				      set->vm.failure_domain, vms, TRIED_MAX);
	size_t before = 0;
	size_t asks;

	while (before < count &&
	       !str_eq(strbuf_str(&vms[before]->id), set->vm.id))
		before++;
	/* Sent also when nothing is asked for: it shows who is silent. */
	asks = before ? plan(b, STR_LIT("")) : 0;
	for (size_t i = 0; i < before; i++) {
		if (borrow_from(b, &vms[i], 1, STR_LIT(""), SHR_CHILD, asks)) {
			b->state->acting = false;
			note_parent(b, strbuf_str(&vms[i]->id),
				    i ? "earlier_ones_silent"
				      : "first_of_domain");
			return;
		}
	}
	b->state->acting = before > 0;
	note_parent(b, set->vm.id,
		    before ? "earlier_ones_silent" : "first_of_domain");
	borrow_from_peers(b, view);
}

static void wait_round(struct shr_state *state)
{
	const apr_time_t until =
		clk_now(state->clk) + CLK_MS(state->set->share.interval_ms);

	while (!state->stopping && clk_now(state->clk) < until)
		usleep(WAIT_STEP);
}

void *shr_borrow_run(void *arg)
{
	struct borrow *b = calloc(1, sizeof(*b));

	if (!b)
		return NULL;
	b->state = arg;
	while (!b->state->stopping) {
		struct ctl_view *view = cview_get(b->state->cview);

		if (view) {
			do_round(b, view);
			ctl_view_put(view);
		}
		wait_round(b->state);
	}
	for (size_t i = 0; i < b->count; i++)
		rpcc_destroy(b->lenders[i].rpc);
	free(b);
	return NULL;
}
