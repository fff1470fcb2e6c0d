#include "steerd/acct_state.h"

#include <stdlib.h>

#include "steerd/acctbook.h"

/*
 * Accounts of the region that a VM asks before it decides alone: when a zone is
 * lost, two in a row often are. The waits must end within a permit's life.
 */
#define MAX_POSITIONS 4

/* Time after which an unused record is freed, beyond that to fill a bucket. */
#define KEEP_US (60 * APR_USEC_PER_SEC)

struct acct_tenant *acct_find(struct accounts *accounts, uint64_t hash)
{
	return apr_hash_get(accounts->tenants, &hash, sizeof(hash));
}

struct acct_tenant *acct_find_or_add(struct accounts *accounts, uint64_t hash)
{
	struct acct_tenant *tenant = acct_find(accounts, hash);

	if (tenant)
		return tenant;
	tenant = calloc(1, sizeof(*tenant));
	if (!tenant)
		return NULL;
	tenant->accounts = accounts;
	tenant->hash = hash;
	tenant->used_at = clk_now(accounts->st->clk);
	TAILQ_INIT(&tenant->waits);
	ev_timer_init(&tenant->timer, accounts->due, 0, 0);
	tenant->timer.data = tenant;
	apr_hash_set(accounts->tenants, &tenant->hash, sizeof(tenant->hash),
		     tenant);
	return tenant;
}

static void free_tenant(struct acct_tenant *tenant)
{
	struct accounts *accounts = tenant->accounts;

	if (tenant->is_dirty)
		TAILQ_REMOVE(&accounts->dirty, tenant, dirty_link);
	ev_timer_stop(accounts->st->loop, &tenant->timer);
	apr_hash_set(accounts->tenants, &tenant->hash, sizeof(tenant->hash),
		     NULL);
	acctbook_drop(tenant);
	acctorder_free(&tenant->order);
	free(tenant);
}

void acct_free_if_unused(struct acct_tenant *tenant)
{
	const struct account_limits *limits = &tenant->limits;
	apr_interval_time_t keep = KEEP_US;

	if (limits->rate > 0)
		keep += (apr_interval_time_t)(account_depth(limits) /
					      limits->rate *
					      (double)APR_USEC_PER_SEC);
	if (TAILQ_EMPTY(&tenant->waits) &&
	    clk_now(tenant->accounts->st->clk) - tenant->used_at > keep)
		free_tenant(tenant);
}

static void set_limit(struct acct_tenant *tenant, double rate, double burst)
{
	struct account_limits *limits = &tenant->limits;

	if (limits->rate > 0 &&
	    (limits->rate != rate || limits->burst != burst))
		tenant->limit_changed_at = clk_now(tenant->accounts->st->clk);
	limits->rate = rate;
	limits->burst = burst;
	tenant->has_order = false;
}

/* Takes over the limit of this VM's manifest if it is the newest. */
static void compare_manifest(struct acct_tenant *tenant)
{
	const struct routing *routing = tenant->accounts->st->routing;
	const struct routing_tenant *known;

	if (!routing || tenant->own_manifest == routing->version)
		return;
	tenant->own_manifest = routing->version;
	if (routing->version < tenant->manifest)
		return;
	known = routing_tenant_by_hash(routing, tenant->hash);
	tenant->manifest = routing->version;
	set_limit(tenant, known ? known->rate : 0, known ? known->burst : 0);
}

void acct_note_limit(struct acct_tenant *tenant, uint64_t manifest, double rate,
		     double burst)
{
	compare_manifest(tenant);
	if (manifest <= tenant->manifest || rate <= 0)
		return;
	tenant->manifest = manifest;
	set_limit(tenant, rate, burst);
}

void acct_refresh(struct acct_tenant *tenant)
{
	struct accounts *accounts = tenant->accounts;
	const struct st *st = accounts->st;
	const struct set_bounds *bounds = &st->set->bounds;
	const struct account_limits was = tenant->limits;
	struct account_limits *limits = &tenant->limits;

	compare_manifest(tenant);
	limits->window = CLK_SEC(bounds->tenant_window_s);
	limits->overage = bounds->tenant_overage;
	limits->slack = bounds->tenant_slack;
	if (limits->rate <= 0 ||
	    (tenant->has_order && tenant->list_version == st->vms.version &&
	     was.window == limits->window && was.overage == limits->overage &&
	     was.slack == limits->slack))
		return;
	/* Without memory, the search is made again next time. */
	tenant->has_order =
		!acctorder_find(&tenant->order, &st->vms, limits, tenant->hash,
				st->region, accounts->regions_by_name);
	tenant->list_version = st->vms.version;
	permits_note_accounts(&tenant->permits);
	tenant->permits.positions =
		tenant->order.region_accounts < MAX_POSITIONS
			? tenant->order.region_accounts
			: MAX_POSITIONS;
	acctbook_set_place(tenant);
}
