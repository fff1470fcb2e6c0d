#include "steerd/acctbook.h"

#include <stdlib.h>

#include <openssl/rand.h>

#include "common/err.h"
#include "steerd/acctlist.h"
#include "steerd/acctpeers.h"
#include "steerd/acctstats.h"

/* Longest Retry-After that a message can state, in microseconds. */
#define MAX_RETRY_AFTER_US INT64_C(0xffffffff)

/*
 * When the share of a new account was last smaller, or may have been in use at
 * a VM that has left the list: the latest of that, of when this process started
 * and of when the limit changed, which changes the number of accounts.
 */
static apr_time_t share_since(struct acct_tenant *tenant,
			      const struct account_place *place)
{
	struct accounts *accounts = tenant->accounts;
	const struct st *st = accounts->st;
	struct acctorder order = {0};
	struct vms vms = {0};
	const apr_time_t last = acctlist_add_left(accounts, &vms);
	const size_t self = vms_find(&vms, st->set->vm.id);
	apr_time_t since = accounts->outdated_at;

	if (last > since &&
	    (self == vms.count ||
	     acctorder_find(&order, &vms, &tenant->limits, tenant->hash,
			    st->region, accounts->regions_by_name) ||
	     acctorder_place(&order, (int)self).share < place->share))
		since = last;
	acctorder_free(&order);
	vms_free(&vms);
	return since > tenant->limit_changed_at ? since
						: tenant->limit_changed_at;
}

void acctbook_bar(struct acct_tenant *tenant)
{
	account_bar(tenant->account, acctpeers_usable_at(tenant),
		    clk_now(tenant->accounts->st->clk));
}

/* This VM's place; without a share where it must not use it. */
static struct account_place usable_place(const struct acct_tenant *tenant)
{
	const struct accounts *accounts = tenant->accounts;
	struct account_place place =
		acctorder_place(&tenant->order, accounts->self);

	if (accounts->hold.is_stopped)
		place.share = 0;
	return place;
}

/* Adds the account if it is missing. Returns 0 or PST_ERR_NOMEM. */
static int open_account(struct acct_tenant *tenant)
{
	struct accounts *accounts = tenant->accounts;
	const struct account_place place = usable_place(tenant);
	const apr_time_t now = clk_now(accounts->st->clk);
	apr_time_t since;

	if (tenant->account)
		return 0;
	since = share_since(tenant, &place);
	tenant->account = calloc(1, sizeof(*tenant->account));
	if (!tenant->account)
		return PST_ERR_NOMEM;
	account_init(tenant->account, &tenant->limits, &place, since, now);
	if (accounts->was_listed && since == accounts->outdated_at &&
	    now - since < ACCOUNT_LIST_SPREAD_US)
		account_resume(tenant->account, now);
	acctbook_bar(tenant);
	if (place.share > 0)
		acctstats_log_share(tenant, &place);
	return 0;
}

int acctbook_grant(struct acct_tenant *tenant, int vm, uint32_t id,
		   unsigned wanted, struct account_answer *out)
{
	const int err = open_account(tenant);
	const apr_time_t now = clk_now(tenant->accounts->st->clk);

	if (err)
		return err;
	account_grant(tenant->account, &tenant->limits, wanted ? wanted : 1,
		      now, out);
	if (out->pending) {
		const struct account_waiter waiter = {
			.vm = vm,
			.id = id,
			.unmet = wanted - out->permits,
			.until = now + out->retry_after,
		};

		account_waiters_add(&tenant->account->waiters, &waiter);
	}
	acctstats_count_answer(out);
	acct_mark_dirty(tenant);
	return 0;
}

void acctbook_pull(struct acct_tenant *tenant)
{
	const apr_time_t now = clk_now(tenant->accounts->st->clk);
	struct account_pull pull;
	uint64_t random = 0;

	if (!tenant->account)
		return;
	RAND_bytes((unsigned char *)&random, sizeof(random));
	while (account_next_pull(tenant->account, &tenant->limits, random, now,
				 &pull)) {
		const struct acctmsg msg = {
			.type = ACCTMSG_PULL,
			.pull = {.id = pull.id,
				 .tenant = tenant->hash,
				 .wanted = pull.wanted,
				 .tokens = pull.tokens,
				 .per_s = pull.per_s,
				 .unmet = pull.unmet},
		};

		random = random * UINT64_C(6364136223846793005) + 1;
		if (pull.to >= tenant->order.accounts)
			continue;
		acctstats_count_pull(true);
		acct_send(tenant->accounts, tenant->order.vms[pull.to], &msg);
	}
}

void acctbook_set_place(struct acct_tenant *tenant)
{
	struct account *account = tenant->account;
	const apr_time_t now = clk_now(tenant->accounts->st->clk);
	const struct account_place place = usable_place(tenant);
	bool had_share;

	if (!account)
		return;
	had_share = account->place.share > 0;
	account_set_place(account, &tenant->limits, &place, now);
	acctbook_bar(tenant);
	if (had_share != (place.share > 0))
		acctstats_log_share(tenant, &place);
}

void acctbook_drop(struct acct_tenant *tenant)
{
	free(tenant->account);
	tenant->account = NULL;
}

/* The tenant's record if the manifest knows the tenant; else NULL. */
static struct acct_tenant *known_tenant(struct accounts *accounts,
					uint64_t hash)
{
	const struct routing *routing = accounts->st->routing;

	if (!routing || !routing_tenant_by_hash(routing, hash))
		return NULL;
	return acct_find_or_add(accounts, hash);
}

static void on_ask(struct accounts *accounts, int vm,
		   const struct act_x_ask *ask)
{
	struct acct_tenant *tenant = known_tenant(accounts, ask->tenant);
	struct account_answer answer = {0};
	struct acctmsg msg = {
		.type = ACCTMSG_GRANT,
		.grant = {.id = ask->id, .tenant = ask->tenant},
	};

	if (tenant) {
		acct_note_limit(tenant, ask->manifest, ask->rate, ask->burst);
		acct_refresh(tenant);
	}
	if (!tenant || !ask->wanted) {
		acctstats_count_answer(NULL);
	} else if (tenant->limits.rate <= 0) {
		/* This VM's manifest is newer, and has no limit any more. */
		msg.grant.permits = ask->wanted;
	} else if (!acctbook_grant(tenant, vm, ask->id, ask->wanted, &answer)) {
		msg.grant.permits = answer.permits;
		msg.grant.pending = answer.pending;
		msg.grant.retry_after_us =
			(u_int)(answer.retry_after < MAX_RETRY_AFTER_US
					? answer.retry_after
					: MAX_RETRY_AFTER_US);
	}
	acct_send(accounts, vm, &msg);
}

static void on_grant(struct accounts *accounts, const struct act_x_grant *grant)
{
	struct acct_tenant *tenant = acct_find(accounts, grant->tenant);
	const struct permits_grant taken = {
		.id = grant->id,
		.permits = grant->permits,
		.retry_after = (apr_interval_time_t)grant->retry_after_us,
		.pending = grant->pending,
	};

	if (!tenant)
		return;
	permits_note_grant(&tenant->permits, &taken,
			   clk_now(accounts->st->clk));
	acct_mark_dirty(tenant);
}

static void on_pull(struct accounts *accounts, int vm,
		    const struct act_x_pull *pull)
{
	struct acct_tenant *tenant = known_tenant(accounts, pull->tenant);
	const struct account_pull taken = {
		.id = pull->id,
		.wanted = pull->wanted,
		.tokens = pull->tokens,
		.per_s = pull->per_s,
		.unmet = pull->unmet,
	};
	struct account_give give = {.id = pull->id};
	struct acctmsg msg = {.type = ACCTMSG_GIVE};

	if (tenant)
		acct_refresh(tenant);
	if (tenant && tenant->limits.rate > 0 && !open_account(tenant)) {
		tenant->used_at = clk_now(accounts->st->clk);
		account_answer_pull(tenant->account, &tenant->limits, &taken,
				    tenant->used_at, &give);
		acct_mark_dirty(tenant);
	}
	acctstats_count_pull(false);
	acctstats_count_tokens(false, give.tokens);
	msg.give = (struct act_x_give){
		.id = pull->id,
		.tenant = pull->tenant,
		.tokens = give.tokens,
		.left = give.left,
		.per_s = give.per_s,
	};
	acct_send(accounts, vm, &msg);
}

/* Tokens have come: grants them to the asks that wait for them. */
static void serve_waiters(struct acct_tenant *tenant)
{
	struct accounts *accounts = tenant->accounts;
	const apr_time_t now = clk_now(accounts->st->clk);
	struct account_waiter waiter;

	while (account_next_waiter(tenant->account, &tenant->limits, now,
				   &waiter)) {
		const struct acctmsg msg = {
			.type = ACCTMSG_GRANT,
			.grant = {.id = waiter.id,
				  .tenant = tenant->hash,
				  .permits = waiter.unmet},
		};
		const struct permits_grant own = {
			.id = waiter.id,
			.permits = waiter.unmet,
		};

		acctstats_count_late_grant(waiter.unmet);
		if (waiter.vm == accounts->self)
			permits_note_grant(&tenant->permits, &own, now);
		else
			acct_send(accounts, waiter.vm, &msg);
	}
}

static void on_give(struct accounts *accounts, const struct act_x_give *give)
{
	struct acct_tenant *tenant = acct_find(accounts, give->tenant);
	const struct account_give taken = {
		.id = give->id,
		.tokens = give->tokens,
		.left = give->left,
		.per_s = give->per_s,
	};

	if (!tenant || !tenant->account)
		return;
	acct_refresh(tenant);
	if (tenant->limits.rate <= 0)
		return;
	acctstats_count_tokens(true, give->tokens);
	account_note_give(tenant->account, &tenant->limits, &taken,
			  clk_now(accounts->st->clk));
	serve_waiters(tenant);
	acct_mark_dirty(tenant);
}

void acctbook_receive(struct accounts *accounts, int vm,
		      const struct acctmsg_batch *batch)
{
	for (unsigned i = 0; i < batch->grant_count; i++)
		on_grant(accounts, &batch->grants[i]);
	for (unsigned i = 0; i < batch->give_count; i++)
		on_give(accounts, &batch->gives[i]);
	for (unsigned i = 0; i < batch->ask_count; i++)
		on_ask(accounts, vm, &batch->asks[i]);
	for (unsigned i = 0; i < batch->pull_count; i++)
		on_pull(accounts, vm, &batch->pulls[i]);
}
