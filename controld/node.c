#include "controld/node.h"

#include <stdlib.h>
#include <string.h>

#include "agent/tablemsg.h"
#include "common/condvar.h"
#include "common/err.h"
#include "common/evt.h"
#include "controld/drains.h"
#include "controld/node_state.h"
#include "policy/relay.h"

#define LOG_MODULE "node"

/* Interval at which the VM list is corrected for absent VMs. */
#define CORRECTION_INTERVAL CLK_MS(500)

static const char *const source_names[] = {
	[NODE_SOURCE_NONE] = "none",
	[NODE_SOURCE_STORE] = "store",
	[NODE_SOURCE_PEER] = "peer",
	[NODE_SOURCE_MAJORITY] = "majority",
};

static void publish(struct node *node)
{
	struct ctl_view *view;

	if (!node->tblcache.tbl || !node->members)
		return;
	view = ctl_view_make(node->tblcache.tbl, node->members);
	if (view)
		curview_publish(node->curview, view);
}

static void log_vm(const struct vm *vm, const struct vmlist *listed)
{
	const struct vm *entry = vmlist_find(listed, strbuf_str(&vm->id));
	const bool listed_live = entry && entry->state == VM_LIVE;

	evt_log(VM_STATE, "vm=%s kind=%s domain=%s state=%s listed=%s",
		vm->id.ptr, vm->kind == VM_ENTRY ? "entry" : "upstream",
		vm->domain.ptr, vm->state == VM_LIVE ? "live" : "leaving",
		!entry	      ? "gone"
		: listed_live ? "live"
			      : "leaving");
}

static void log_changes(const struct vmlist *before, const struct vmlist *after,
			const struct vmlist *listed)
{
	if (!before)
		return;
	for (size_t i = 0; i < after->count; i++) {
		const struct vm *vm = &after->vms[i];
		const struct vm *old = vmlist_find(before, strbuf_str(&vm->id));

		if (!old || old->state != vm->state)
			log_vm(vm, listed);
	}
	for (size_t i = 0; i < before->count; i++) {
		struct vm gone = before->vms[i];

		if (vmlist_find(after, strbuf_str(&gone.id)))
			continue;
		gone.state = VM_LEAVING;
		log_vm(&gone, listed);
	}
}

static void update_role(struct node *node)
{
	const bool relay = relay_is(node->members, node->set->vm.failure_domain,
				    node->set->vm.id);

	if (relay == node->relay)
		return;
	node->relay = relay;
	node->relay_since = clk_now(node->clk);
	evt_log(RELAY_ROLE, "domain=%.*s relay=%d",
		STR_ARG(node->set->vm.failure_domain), relay);
}

void node_update_members_locked(struct node *node)
{
	const uint64_t next = node->members ? node->members->revision + 1 : 1;
	struct liveness_drain *drains = NULL;
	struct vmlist *members = NULL;
	size_t count = 0;
	int err;

	const struct vmlist *listed = vmhist_list(node->listed);

	if (!listed)
		return;
	node->corrected_at = clk_now(node->clk);
	err = drains_list(node->tblcache.partset, &drains, &count);
	if (!err)
		err = liveness_correct(node->liveness, listed, node->set->vm.id,
				       drains, count, next, clk_now(node->clk),
				       &members);
	free(drains);
	if (err)
		return;
	node_apply_marks_locked(node, members);
	if (node->members && liveness_lists_equal(node->members, members)) {
		vmlist_put(members);
		return;
	}
	log_changes(node->members, members, listed);
	vmlist_put(node->members);
	node->members = members;
	update_role(node);
	publish(node);
}

int node_create(struct node **out, const struct settings *set,
		const struct clk *clk, const struct clk *wall,
		struct curview *curview)
{
	struct node *node = calloc(1, sizeof(*node));
	int err;

	if (!node)
		return PST_ERR_NOMEM;
	node->set = set;
	node->clk = clk;
	node->curview = curview;
	node->incarnation = (uint64_t)apr_time_now();
	node->started_at = clk_now(clk);
	node->relay_heard_at = node->started_at;
	pthread_mutex_init(&node->lock, NULL);
	err = condvar_init(&node->newer);
	if (!err)
		err = tblcache_init(&node->tblcache, set, clk, wall);
	if (!err)
		err = vmhist_create(&node->listed);
	if (!err)
		err = liveness_create(&node->liveness,
				      CLK_MS(set->table.heartbeat_timeout_ms));
	if (err)
		node_destroy(node);
	else
		*out = node;
	return err;
}

void node_destroy(struct node *node)
{
	if (!node)
		return;
	tblcache_done(&node->tblcache);
	liveness_destroy(node->liveness);
	liveness_marks_free(&node->marks);
	vmhist_destroy(node->listed);
	vmlist_put(node->members);
	pthread_cond_destroy(&node->newer);
	pthread_mutex_destroy(&node->lock);
	free(node);
}

int node_add_parts(struct node *node, const struct tbl_part *parts,
		   size_t count)
{
	int err;

	pthread_mutex_lock(&node->lock);
	err = tblcache_store_parts(&node->tblcache, parts, count);
	pthread_mutex_unlock(&node->lock);
	return err;
}

static int apply_locked(struct node *node, uint64_t revision,
			const char *source)
{
	bool changed = false;
	const int err =
		tblcache_apply(&node->tblcache, revision, source, &changed);

	if (err)
		return err;
	if (changed) {
		node_update_members_locked(node);
		publish(node);
		pthread_cond_broadcast(&node->newer);
	}
	return 0;
}

int node_apply_parts(struct node *node, uint64_t revision, const char *source)
{
	int err;

	pthread_mutex_lock(&node->lock);
	err = apply_locked(node, revision, source);
	pthread_mutex_unlock(&node->lock);
	return err;
}

int node_apply_change(struct node *node, const struct tbl_part *parts,
		      size_t count, uint64_t previous, uint64_t revision,
		      const char *source)
{
	int err = 0;

	pthread_mutex_lock(&node->lock);
	rev_note_exists(&node->tblcache.rev, revision);
	if (revision > node->tblcache.rev.revision) {
		if (previous > node->tblcache.rev.revision)
			err = PST_ERR_STALE;
		if (!err)
			err = tblcache_store_parts(&node->tblcache, parts,
						   count);
		if (!err)
			err = apply_locked(node, revision, source);
	}
	pthread_mutex_unlock(&node->lock);
	return err;
}

/*
 * Whether no other entry VM is listed, or none has answered within the
 * freshness time-out.
 */
static bool is_alone(const struct node *node)
{
	size_t entries = 0;

	if (clk_now(node->clk) - node->started_at >
	    node->tblcache.rev.freshness_timeout)
		return true;
	for (size_t i = 0; node->members && i < node->members->count; i++)
		entries += node->members->vms[i].kind == VM_ENTRY;
	return entries == 1;
}

void node_confirm(struct node *node, uint64_t newest, apr_time_t at,
		  enum node_source source)
{
	bool confirmed;

	pthread_mutex_lock(&node->lock);
	if (is_alone(node))
		rev_allow_confirm(&node->tblcache.rev);
	confirmed = rev_confirm(&node->tblcache.rev, newest, at);
	if (confirmed && source != node->source) {
		evt_log(TABLE_CONFIRM_BY, "source=%s revision=%llu",
			source_names[source], (unsigned long long)newest);
		node->source = source;
	}
	pthread_mutex_unlock(&node->lock);
}

void node_note_peer(struct node *node, const table_status *peer)
{
	pthread_mutex_lock(&node->lock);
	rev_note_exists(&node->tblcache.rev, peer->revision);
	if (peer->voter)
		rev_allow_confirm(&node->tblcache.rev);
	pthread_mutex_unlock(&node->lock);
}

uint64_t node_revision(struct node *node)
{
	uint64_t revision;

	pthread_mutex_lock(&node->lock);
	revision = node->tblcache.rev.revision;
	pthread_mutex_unlock(&node->lock);
	return revision;
}

bool node_is_behind(struct node *node)
{
	bool behind;

	pthread_mutex_lock(&node->lock);
	behind = node->tblcache.rev.newest_known > node->tblcache.rev.revision;
	pthread_mutex_unlock(&node->lock);
	return behind;
}

apr_interval_time_t node_age(struct node *node)
{
	apr_interval_time_t age;

	pthread_mutex_lock(&node->lock);
	age = rev_confirmation_age(&node->tblcache.rev, clk_now(node->clk));
	pthread_mutex_unlock(&node->lock);
	return age;
}

enum node_source node_source(struct node *node)
{
	enum node_source source;

	pthread_mutex_lock(&node->lock);
	source = node->source;
	pthread_mutex_unlock(&node->lock);
	return source;
}

bool node_is_voter(struct node *node)
{
	bool voter;

	pthread_mutex_lock(&node->lock);
	voter = node->tblcache.rev.voter;
	pthread_mutex_unlock(&node->lock);
	return voter;
}

static uint64_t listed_revision(const struct node *node)
{
	const struct vmlist *listed = vmhist_list(node->listed);

	return listed ? listed->revision : 0;
}

void node_wait_locked(struct node *node, apr_interval_time_t timeout)
{
	const struct timespec end = condvar_deadline(timeout);

	/* The caller compares revisions, so a time-out needs no handling. */
	(void)condvar_wait(&node->newer, &node->lock, &end);
}

void node_wait_newer(struct node *node, struct node_held *held,
		     apr_interval_time_t timeout)
{
	pthread_mutex_lock(&node->lock);
	if (node->tblcache.rev.revision <= held->table &&
	    listed_revision(node) <= held->list)
		node_wait_locked(node, timeout);
	held->table = node->tblcache.rev.revision;
	held->list = listed_revision(node);
	pthread_mutex_unlock(&node->lock);
}

struct tbl *node_table(struct node *node)
{
	struct tbl *tbl;

	pthread_mutex_lock(&node->lock);
	tbl = node->tblcache.tbl;
	if (tbl)
		tbl_get(tbl);
	pthread_mutex_unlock(&node->lock);
	return tbl;
}

void node_set_store(struct node *node, bool reachable)
{
	pthread_mutex_lock(&node->lock);
	node->store_reachable = reachable;
	pthread_mutex_unlock(&node->lock);
}

bool node_store_reachable(struct node *node)
{
	bool reachable;

	pthread_mutex_lock(&node->lock);
	reachable = node->store_reachable;
	pthread_mutex_unlock(&node->lock);
	return reachable;
}

uint64_t node_listed_revision(struct node *node)
{
	uint64_t revision;

	pthread_mutex_lock(&node->lock);
	revision = listed_revision(node);
	pthread_mutex_unlock(&node->lock);
	return revision;
}

struct vmlist *node_members(struct node *node)
{
	struct vmlist *members;

	pthread_mutex_lock(&node->lock);
	members = node->members;
	if (members)
		vmlist_get(members);
	pthread_mutex_unlock(&node->lock);
	return members;
}

bool node_is_relay(struct node *node)
{
	bool relay;

	pthread_mutex_lock(&node->lock);
	relay = node->relay || !node->members;
	pthread_mutex_unlock(&node->lock);
	return relay;
}

void node_relay_heard(struct node *node)
{
	pthread_mutex_lock(&node->lock);
	node->relay_heard_at = clk_now(node->clk);
	pthread_mutex_unlock(&node->lock);
}

bool node_reads_platform(struct node *node)
{
	const apr_interval_time_t bound =
		CLK_MS(node->set->table.heartbeat_timeout_ms);
	bool reads;

	pthread_mutex_lock(&node->lock);
	reads = node->relay || !node->members ||
		clk_now(node->clk) - node->relay_heard_at > bound;
	pthread_mutex_unlock(&node->lock);
	return reads;
}

void node_vm_heard(struct node *node, struct str id)
{
	pthread_mutex_lock(&node->lock);
	liveness_heard(node->liveness, id, clk_now(node->clk));
	pthread_mutex_unlock(&node->lock);
}

void node_vm_failed(struct node *node, struct str id)
{
	pthread_mutex_lock(&node->lock);
	liveness_failed(node->liveness, id, clk_now(node->clk));
	pthread_mutex_unlock(&node->lock);
}

void node_tick(struct node *node)
{
	const apr_time_t now = clk_now(node->clk);

	pthread_mutex_lock(&node->lock);
	node->fresh = tblcache_tick(&node->tblcache, node->fresh);
	if (now - node->corrected_at >= CORRECTION_INTERVAL) {
		if (node->relay && vmhist_list(node->listed))
			liveness_observe(
				node->liveness, vmhist_list(node->listed),
				node->set->vm.id, node->set->vm.failure_domain,
				node->relay_since, now);
		node_expire_marks_locked(node);
		node_update_members_locked(node);
	}
	pthread_mutex_unlock(&node->lock);
}
