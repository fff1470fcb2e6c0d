#include "steerd/state.h"

#include <string.h>

#include "common/err.h"
#include "common/evt.h"
#include "platform/plt_codec.h"
#include "steerd/accounts.h"
#include "steerd/feedstate.h"
#include "steerd/loads.h"
#include "steerd/pacelog.h"
#include "steerd/relay.h"
#include "steerd/self.h"

#define LOG_MODULE "state"

/*
 * Delays after an update: small parts of the users' bounds on the time until
 * a manifest is in force, an upstream has left, and an ended VM is dropped.
 */
#define OPERATORS_DELAY_S 0.1
#define UPSTREAMS_DELAY_S 0.4
#define VMS_DELAY_S	  1.5

/* Largest bandwidth of a VM's link that is believed: 10 Tbit/s. */
#define MAX_LINK_MBPS 10000000

/* A restored store goes on from a copy that is some seconds old. */
#define COPY_AGE_US (30 * APR_USEC_PER_SEC)

/* Time between two checks for entries whose hold after an outage has ended. */
#define EXPIRE_INTERVAL_S 0.25

/* Accepts the connections that arrived since the start, and is listed. */
static void accept_callers(struct st *st)
{
	if (st_nearly_ready(st))
		self_list(st->self);
	if (st_ready(st))
		srv_accept(&st->front);
}

/* Other VMs may have waited for the first manifest, and start now as well. */
static void on_first_manifest(struct st *st)
{
	const apr_time_t now = clk_now(st->clk);

	relaytree_begin_grace(&st->relaytree, now);
	relaytree_vms_listed(&st->relaytree, &st->vms, st->domain, now);
	feed_wake_waiting(st->feeds);
}

static void on_manifest(struct st *st, const struct plt_item *item)
{
	struct routing *routing;
	const int err = plt_read_manifest(item->value, &routing);

	if (err) {
		evt_log(MANIFEST_REFUSED, "revision=%llu bytes=%zu error=%s",
			(unsigned long long)item->revision, item->value.len,
			err_name(err));
		return;
	}
	if (st->routing && routing->version <= st->routing->version) {
		ref_put(&routing->ref);
		return;
	}
	if (st->routing)
		ref_put(&st->routing->ref);
	else
		on_first_manifest(st);
	st->routing = routing;
	st->front.limits = routing->limits;
	evt_log(MANIFEST_TAKEN, "version=%llu revision=%llu routes=%zu",
		(unsigned long long)routing->version,
		(unsigned long long)item->revision, routing->route_count);
	accounts_manifest_changed(st->accounts);
	accept_callers(st);
}

/* Upstreams may have become cold while nothing was sent to them. */
static void expect_cold_upstreams(struct st *st, int domain)
{
	for (apr_hash_index_t *i = apr_hash_first(NULL, st->registry.by_id); i;
	     i = apr_hash_next(i)) {
		struct up *up = apr_hash_this_val(i);

		if (up->domain == domain)
			up_assume_cold(up, clk_now(st->clk));
	}
}

static void on_evacuate(struct st *st, struct str name, bool gone)
{
	const int domain = geo_domain(&st->geo, name);

	/* Before a restore it was in force; it may be written again. */
	if (gone && st->restored && domain >= 0 && st->evacuated[domain]) {
		st->evacuation_missing[domain] = true;
		return;
	}
	if (domain >= 0)
		st->evacuation_missing[domain] = false;
	evt_log(EVACUATION, "domain=%.*s on=%d", STR_ARG(name), !gone);
	if (domain < 0)
		return;
	if (gone && st->evacuated[domain])
		expect_cold_upstreams(st, domain);
	st->evacuated[domain] = !gone;
}

static void on_operator(struct st *st, const struct plt_item *item)
{
	struct str domain;

	switch (plt_parse_op_key(item->key, &domain)) {
	case PLT_OP_MANIFEST:
		/* The manifest stays in force when its key is deleted. */
		if (!item->gone)
			on_manifest(st, item);
		return;
	case PLT_OP_EVACUATE:
		on_evacuate(st, domain, item->gone);
		return;
	case PLT_OP_OTHER:
		return;
	}
}

static void operators_listed(struct st *st)
{
	st->table_known = true;
	accept_callers(st);
}

static void drop_upstream(struct st *st, struct str id, const char *why)
{
	const apr_time_t hold = st_hold_until(st);

	if (registry_remove(&st->registry, id, hold))
		evt_log(UPSTREAM_LEFT, "upstream=%.*s why=%s held_ms=%lld",
			STR_ARG(id), why,
			hold ? (long long)(hold - clk_now(st->clk)) / 1000
			     : 0LL);
}

static void on_upstream(struct st *st, const struct plt_item *item)
{
	static const char *const changes[] = {
		[REGISTRY_SAME] = "same",
		[REGISTRY_ADDED] = "added",
		[REGISTRY_CHANGED] = "changed",
		[REGISTRY_RESTARTED] = "restarted",
	};
	const size_t prefix = strlen(PLT_PREFIX_UPSTREAMS);
	struct registry_entry entry;
	struct str id = item->key;
	struct up *up;
	json_t *doc;
	int change;

	id.ptr += prefix;
	id.len -= prefix;
	if (item->gone) {
		drop_upstream(st, id, "not_listed");
		return;
	}
	if (plt_read_upstream(item->key, item->value, item->revision, &entry,
			      &doc)) {
		evt_log(UPSTREAM_DAMAGED, "upstream=%.*s revision=%llu",
			STR_ARG(id), (unsigned long long)item->revision);
		registry_remove(&st->registry, id, 0);
		return;
	}
	change = registry_put(&st->registry, &entry, clk_now(st->clk));
	if (change < 0)
		evt_log(UPSTREAM_DAMAGED, "upstream=%.*s error=%s", STR_ARG(id),
			err_name(change));
	else if (change != REGISTRY_SAME)
		evt_log(UPSTREAM_LISTED,
			"upstream=%.*s change=%s service=%.*s domain=%.*s "
			"draining=%d cold_ms=%lld revision=%llu",
			STR_ARG(id), changes[change], STR_ARG(entry.service),
			STR_ARG(entry.domain), entry.state == UP_DRAINING,
			(long long)(entry.cold_for / 1000),
			(unsigned long long)item->revision);
	up = registry_find(&st->registry, id);
	if (change >= 0 && up)
		pacelog_update(st, up);
	json_decref(doc);
}

static void upstreams_listed(struct st *st)
{
	st->upstreams_known = true;
	accept_callers(st);
}

static int read_vm(struct st *st, struct str id, struct str value,
		   struct vms_entry *out)
{
	json_t *doc = json_loadb(value.ptr, value.len, 0, NULL);
	const char *front = NULL;
	const char *domain = NULL;
	const char *peer = NULL;
	/* VMs of an earlier version state none. */
	json_int_t link_mbps = 0;
	int err;

	*out = (struct vms_entry){0};
	err = json_unpack(doc, "{s:s, s:s, s:s, s?I}", "front", &front,
			  "domain", &domain, "peer", &peer, "link_mbps",
			  &link_mbps);
	if (!err)
		err = strbuf_set(&out->id, id) ||
		      strbuf_set(&out->front, str_from_c(front)) ||
		      strbuf_set(&out->peer, str_from_c(peer));
	if (!err) {
		out->domain = geo_domain(&st->geo, str_from_c(domain));
		out->region = geo_region_of(&st->geo, out->domain);
		if (link_mbps > 0 && link_mbps <= MAX_LINK_MBPS)
			out->link_mbps = (unsigned)link_mbps;
	}
	json_decref(doc);
	return err ? PST_ERR_INVALID : 0;
}

static void on_vm(struct st *st, const struct plt_item *item)
{
	const apr_time_t now = clk_now(st->clk);
	const size_t prefix = strlen(STATE_PREFIX_VMS);
	struct str id = item->key;
	struct vms_entry entry;
	bool known;

	id.ptr += prefix;
	id.len -= prefix;
	if (item->gone) {
		const apr_time_t hold = st_hold_until(st);
		const size_t at = vms_find(&st->vms, id);

		if (at < st->vms.count)
			accounts_note_left(st->accounts, &st->vms.list[at]);
		if (vms_remove(&st->vms, id, hold)) {
			st->vms_changed_at = clk_now(st->clk);
			evt_log(VM_LEFT, "vm=%.*s held=%d", STR_ARG(id),
				hold != 0);
		}
		accounts_list_changed(st->accounts);
		return;
	}
	known = vms_find(&st->vms, id) < st->vms.count;
	if (read_vm(st, id, item->value, &entry)) {
		evt_log(VM_DAMAGED, "vm=%.*s", STR_ARG(id));
		return;
	}
	if (!known && st->restored &&
	    accounts_has_left(st->accounts, id, now - COPY_AGE_US))
		entry.doubt_until = now + CLK_MS(SELF_LEASE_MS);
	if (vms_put(&st->vms, &entry)) {
		evt_log(VM_DAMAGED, "vm=%.*s", STR_ARG(id));
		return;
	}
	accounts_list_changed(st->accounts);
	if (known)
		return;
	st->vms_changed_at = clk_now(st->clk);
	evt_log(VM_JOINED, "vm=%.*s front=%s count=%zu", STR_ARG(id),
		entry.front.ptr, st->vms.count);
}

static void vms_listed(struct st *st)
{
	accounts_list_known(st->accounts);
	relaytree_vms_listed(&st->relaytree, &st->vms, st->domain,
			     clk_now(st->clk));
	feed_prefer_relay(st->feeds);
	/* They may have waited for the relay. */
	feed_wake_waiting(st->feeds);
}

/* Takes in an entry that was passed over; others are in use as they are. */
static void put_upstream(void *ctx, const struct plt_item *item)
{
	struct st *st = ctx;
	const size_t prefix = strlen(PLT_PREFIX_UPSTREAMS);
	const struct str id = {.ptr = item->key.ptr + prefix,
			       .len = item->key.len - prefix};
	const struct up *up = registry_find(&st->registry, id);

	if (!up || up->revision != item->revision)
		on_upstream(st, item);
}

/*
 * Ends the time after a restore: what the store still lacks is gone, and what
 * it has again is as it says.
 */
static void end_restore(struct st *st)
{
	st->restored = false;
	st->registry.restored = false;
	for (int i = 0; i < st->geo.domain_count; i++) {
		if (st->evacuation_missing[i])
			on_evacuate(st, strbuf_str(&st->geo.domains[i]), true);
	}
	feed_each_key(st->feeds, STR_LIT(PLT_PREFIX_UPSTREAMS), put_upstream,
		      st);
	evt_log(STORE_RESTORE_ENDED, "era=%llu", (unsigned long long)st->era);
}

static void on_restore(struct st *st)
{
	self_restart(st->self);
	feed_restart_all(st->feeds);
}

static void on_expire(struct ev_loop *loop, struct ev_timer *timer, int events)
{
	struct st *st = timer->data;
	const apr_time_t now = clk_now(st->clk);
	int upstreams;
	int vms;

	(void)loop;
	(void)events;
	if (st->restored && !feed_any_restarted(st->feeds) &&
	    !downtime_is_recent(&st->downtime, now))
		end_restore(st);
	plt_store_free(st->previous_relay);
	st->previous_relay = NULL;
	feed_prefer_relay(st->feeds);
	upstreams = registry_expire(&st->registry, now);
	vms = vms_expire(&st->vms, now);
	accounts_list_changed(st->accounts);
	if (vms)
		st->vms_changed_at = now;
	if (upstreams || vms)
		evt_log(HELD_EXPIRED, "upstreams=%d vms=%d", upstreams, vms);
}

/*
 * Lets other VMs follow the store through this one, and exchanges load reports
 * and permits with them. Returns 0 or an error.
 */
static int start_peers(struct st *st, struct feed_group *group)
{
	struct relay *relay = apr_pcalloc(st->pool, sizeof(*relay));
	struct peersock *sock = apr_pcalloc(st->pool, sizeof(*sock));
	struct sockaddr_in addr;
	int err;

	st->accounts = apr_pcalloc(st->pool, sizeof(*st->accounts));
	if (!relay || !sock || !st->accounts)
		return PST_ERR_NOMEM;
	if (!st->set->steer.peer.len)
		return accounts_start(st->accounts, st, NULL);
	if (plt_read_addr(st->set->steer.peer, &addr))
		return PST_ERR_INVALID;
	relay->st = st;
	relay->group = group;
	relay_init(relay);
	group->on_update = relay_on_update;
	group->on_restart = relay_on_restart;
	group->ctx = relay;
	st->peers.ops = &relay_ops;
	st->peers.ctx = relay;
	st->loads = apr_pcalloc(st->pool, sizeof(*st->loads));
	if (!st->loads)
		return PST_ERR_NOMEM;
	err = peersock_start(sock, st, &addr);
	if (err)
		return err;
	loads_start(st->loads, st, sock);
	err = accounts_start(st->accounts, st, sock);
	return err ? err : srv_start(&st->peers, &addr);
}

int state_start(struct st *st)
{
	static const struct {
		struct str prefix;
		struct feed_ops ops;
		double update_delay_s;
		bool lists_vms;
		/* The table must not be older than the one in force. */
		bool must_be_current;
		bool after_table;
	} specs[] = {
		/* First, so that the others know of a relay. */
		{.prefix = STR_LIT(STATE_PREFIX_VMS),
		 .ops = {.changed = on_vm, .listed = vms_listed},
		 .update_delay_s = VMS_DELAY_S,
		 .lists_vms = true,
		 .after_table = true},
		{.prefix = STR_LIT(PLT_PREFIX_OPERATORS),
		 .ops = {.changed = on_operator, .listed = operators_listed},
		 .update_delay_s = OPERATORS_DELAY_S,
		 .must_be_current = true},
		{.prefix = STR_LIT(PLT_PREFIX_UPSTREAMS),
		 .ops = {.changed = on_upstream, .listed = upstreams_listed},
		 .update_delay_s = UPSTREAMS_DELAY_S,
		 .after_table = true},
	};
	const size_t count = sizeof(specs) / sizeof(specs[0]);
	struct feed *feeds = apr_pcalloc(st->pool, count * sizeof(*feeds));
	struct feed_group *group = apr_pcalloc(st->pool, sizeof(*group));
	struct ev_timer *timer = apr_pcalloc(st->pool, sizeof(*timer));
	int err;

	if (!feeds || !group || !timer)
		return PST_ERR_NOMEM;
	*group = (struct feed_group){.feeds = feeds, .count = count};
	st->feeds = group;
	st->on_restore = on_restore;
	err = start_peers(st, group);
	if (err)
		return err;
	for (size_t i = 0; i < count; i++) {
		feeds[i].st = st;
		feeds[i].group = group;
		feeds[i].prefix = specs[i].prefix;
		feeds[i].ops = &specs[i].ops;
		feeds[i].update_delay_s = specs[i].update_delay_s;
		feeds[i].lists_vms = specs[i].lists_vms;
		feeds[i].must_be_current = specs[i].must_be_current;
		feeds[i].after_table = specs[i].after_table;
		feed_start(&feeds[i]);
	}
	ev_timer_init(timer, on_expire, EXPIRE_INTERVAL_S, EXPIRE_INTERVAL_S);
	timer->data = st;
	ev_timer_start(st->loop, timer);
	return 0;
}
