#include "controld/vote_duty.h"

#include <stdlib.h>

#include "common/err.h"
#include "controld/duty.h"
#include "controld/xchg.h"

/* Rounds between two tries of a domain of which no VM answers. */
#define SILENT_DOMAIN_ROUNDS 4

/* Domains asked a round while the store confirms the table. */
#define IDLE_DOMAINS_PER_ROUND 6

struct vote_duty {
	const struct settings *set;
	const struct clk *clk;
	struct node *node;
	struct duty duty;
	struct xchg *xchg;
	/* One for each failure domain of the table. */
	struct rev_vote *votes;
	size_t count;
	apr_time_t round_began;
	/* Domain and VM to begin with. */
	size_t next_domain;
	size_t next_vm;
};

static bool fit_votes(struct vote_duty *duty, size_t count)
{
	struct rev_vote *votes;

	if (duty->count == count)
		return true;
	votes = calloc(count + 1, sizeof(*votes));
	if (!votes)
		return false;
	free(duty->votes);
	duty->votes = votes;
	duty->count = count;
	return true;
}

/* A live VM of the domain, or else a leaving one; a different one each time. */
static const struct vm *pick_vm(struct vote_duty *duty,
				const struct vml *members, struct str domain)
{
	const struct vm *leaving = NULL;

	for (size_t i = 0; i < members->count; i++) {
		const struct vm *vm =
			&members->vms[(duty->next_vm + i) % members->count];

		if (vm->kind != VM_ENTRY ||
		    !str_eq(strbuf_str(&vm->domain), domain))
			continue;
		if (vm->state == VM_LIVE)
			return vm;
		if (!leaving)
			leaving = vm;
	}
	return leaving;
}

static void ask_vm(struct vote_duty *duty, const struct vm *vm,
		   struct rev_vote *vote)
{
	table_status status;
	apr_time_t asked_at;

	if (xchg_status(duty->xchg, vm, &status, &asked_at))
		return;
	node_meet(duty->node, &status);
	*vote = (struct rev_vote){
		.valid = status.voter,
		.revision = status.revision,
		.asked_at = asked_at,
	};
	if (status.revision > node_revision(duty->node))
		xchg_sync(duty->xchg, vm);
	xdr_free((xdrproc_t)xdr_table_status, &status);
}

static void vote_self(struct vote_duty *duty, struct rev_vote *vote)
{
	*vote = (struct rev_vote){
		.valid = node_voter(duty->node),
		.revision = node_revision(duty->node),
		.asked_at = clk_now(duty->clk),
	};
}

static void ask_domain(struct vote_duty *duty, const struct tbl *tbl,
		       const struct vml *members, size_t d)
{
	const struct str domain = strbuf_str(&tbl->domains[d].name);
	const struct vm *vm;

	if (str_eq(domain, duty->set->vm.failure_domain)) {
		vote_self(duty, &duty->votes[d]);
		return;
	}
	vm = pick_vm(duty, members, domain);
	if (vm &&
	    (vm->state == VM_LIVE || duty->next_vm % SILENT_DOMAIN_ROUNDS == 0))
		ask_vm(duty, vm, &duty->votes[d]);
}

/* A few domains in turn, to learn which answer. */
static void ask_some(struct vote_duty *duty, const struct tbl *tbl,
		     const struct vml *members)
{
	const size_t most = duty->count < IDLE_DOMAINS_PER_ROUND
				    ? duty->count
				    : IDLE_DOMAINS_PER_ROUND;

	for (size_t i = 0; i < most; i++)
		ask_domain(duty, tbl, members,
			   duty->next_domain++ % duty->count);
}

/* Whether a majority has answered since the time. */
static bool count_votes(struct vote_duty *duty, apr_time_t since)
{
	const uint64_t held = node_revision(duty->node);
	apr_time_t at;

	if (!rev_majority(duty->votes, duty->count, held, &at))
		return false;
	node_confirm(duty->node, held, at, NODE_SOURCE_MAJORITY);
	return at >= since;
}

/*
 * Asks until a majority has answered, first the domains that answered in the
 * round before, so that silent ones do not delay it.
 */
static void ask_majority(struct vote_duty *duty, const struct tbl *tbl,
			 const struct vml *members)
{
	const apr_time_t began = clk_now(duty->clk);
	const apr_time_t before = duty->round_began;

	duty->round_began = began;
	for (int answered = 1; answered >= 0; answered--) {
		for (size_t d = 0; d < duty->count; d++) {
			const apr_time_t asked_at = duty->votes[d].asked_at;

			if (asked_at >= began ||
			    (asked_at >= before) != (bool)answered)
				continue;
			ask_domain(duty, tbl, members, d);
			if (count_votes(duty, began))
				return;
		}
	}
}

static bool confirmed_lately(const struct vote_duty *duty)
{
	const apr_interval_time_t timeout =
		CLK_MS(duty->set->control.freshness_timeout_ms);

	return node_age(duty->node) < timeout / 2;
}

static void run_round(struct vote_duty *duty, const struct tbl *tbl,
		      const struct vml *members)
{
	const bool relay = node_is_relay(duty->node);
	const bool idle = node_source(duty->node) != NODE_SOURCE_MAJORITY &&
			  confirmed_lately(duty) &&
			  (!relay || node_store_reachable(duty->node));

	if (!fit_votes(duty, tbl->domain_count))
		return;
	if (!idle)
		ask_majority(duty, tbl, members);
	else if (relay)
		ask_some(duty, tbl, members);
	duty->next_vm++;
}

static apr_interval_time_t run(void *ctx)
{
	struct vote_duty *duty = ctx;
	struct vml *members = node_members(duty->node);
	struct tbl *tbl = node_table(duty->node);

	if (members && tbl)
		run_round(duty, tbl, members);
	vml_put(members);
	tbl_put(tbl);
	return duty_jitter(CLK_MS(duty->set->table.peer_interval_ms));
}

int vote_duty_start(struct vote_duty **out, const struct settings *set,
		    const struct clk *clk, struct node *node)
{
	struct vote_duty *duty = calloc(1, sizeof(*duty));
	int err;

	if (!duty)
		return PST_ERR_NOMEM;
	duty->set = set;
	duty->clk = clk;
	duty->node = node;
	err = xchg_create(&duty->xchg, set, clk, node);
	if (!err)
		err = duty_start(&duty->duty, run, duty);
	if (err)
		vote_duty_stop(duty);
	else
		*out = duty;
	return err;
}

void vote_duty_stop(struct vote_duty *duty)
{
	if (!duty)
		return;
	duty_stop(&duty->duty);
	xchg_destroy(duty->xchg);
	free(duty->votes);
	free(duty);
}
