#include "controld/peer_task.h"

#include <stdlib.h>
#include <string.h>

#include <sys/random.h>

#include "common/err.h"
#include "agent/task.h"
#include "controld/peercall.h"
#include "policy/relay.h"

/* Longest wait for a change before the stop flag is checked. */
#define CHANGE_WAIT CLK_MS(200)

/* Wait between two attempts to get the VM list while none is held. */
#define UNLISTED_WAIT CLK_MS(100)

struct peer_task {
	const struct settings *set;
	const struct clk *clk;
	struct node *node;
	struct task syncer;
	struct task pusher;
	struct peercall *sync_client;
	struct peercall *push_client;
	/* Revisions up to which changes were pushed. */
	struct node_held pushed;
	size_t round;
};

static bool is_self(const struct peer_task *task, const struct vm *vm)
{
	return str_eq(strbuf_str(&vm->id), task->set->vm.id);
}

static uint64_t random_number(void)
{
	uint64_t number = 0;

	if (getrandom(&number, sizeof(number), 0) < 0)
		return (uint64_t)apr_time_now();
	return number;
}

static void sync_with_address(struct peer_task *task, struct str ip)
{
	struct vm vm = {.kind = VM_ENTRY};

	if (node_has_list(task->node) || str_eq(ip, task->set->vm.address) ||
	    strbuf_set(&vm.id, ip) || strbuf_set(&vm.address, ip))
		return;
	peercall_sync(task->sync_client, &vm);
}

/*
 * Asks peers while no VM list is held: hinted addresses, and those of net.peers
 * that are not patterns.
 */
static void sync_unlisted(struct peer_task *task)
{
	struct strbuf hints[NODE_HINTS_MAX];
	const size_t count = node_hints(task->node, hints);

	for (size_t i = 0; i < count; i++)
		sync_with_address(task, strbuf_str(&hints[i]));
	for (size_t i = 0; i < task->set->net.peers_count; i++) {
		const struct str ip = task->set->net.peers[i];

		if (ip.len && ip.ptr[ip.len - 1] != '*')
			sync_with_address(task, ip);
	}
}

/* Asks one relay a round, in rotation; the next one if it does not answer. */
static void sync_with_relay(struct peer_task *task,
			    const struct vmlist *members)
{
	const struct vm *relays[RELAY_PER_DOMAIN];
	const size_t count =
		relay_pick(members, task->set->vm.failure_domain, relays);

	task->round++;
	for (size_t i = 0; i < count; i++) {
		const struct vm *relay = relays[(task->round + i) % count];

		if (is_self(task, relay) ||
		    peercall_sync(task->sync_client, relay))
			continue;
		node_relay_heard(task->node);
		return;
	}
}

/* Asks a random VM, also a leaving one, to detect that an absent VM is back. */
static void sync_with_any(struct peer_task *task, const struct vmlist *members)
{
	const size_t first =
		members->count ? random_number() % members->count : 0;

	for (size_t i = 0; i < members->count; i++) {
		const struct vm *vm =
			&members->vms[(first + i) % members->count];

		if (vm->kind != VM_ENTRY || is_self(task, vm))
			continue;
		peercall_sync(task->sync_client, vm);
		return;
	}
}

static apr_interval_time_t run_syncer(void *ctx)
{
	struct peer_task *task = ctx;
	struct vmlist *members = node_members(task->node);

	if (!members) {
		sync_unlisted(task);
		return task_jitter(UNLISTED_WAIT);
	}
	sync_with_relay(task, members);
	sync_with_any(task, members);
	vmlist_put(members);
	return task_jitter(CLK_MS(task->set->table.peer_interval_ms));
}

static void push_change(struct peer_task *task)
{
	const struct vm *children[RELAY_CHILDREN_MAX];
	struct vmlist *members = node_members(task->node);
	table_change change;
	size_t count = 0;
	const int err = node_make_change(task->node, &task->pushed, &change);

	if (!err && members)
		count = relay_children(members, task->set->vm.failure_domain,
				       task->set->vm.id, children);
	for (size_t i = 0; i < count; i++)
		peercall_push(task->push_client, children[i], &change);
	xdr_free((xdrproc_t)xdr_table_change, &change);
	vmlist_put(members);
}

/* The first table and list are not pushed: every VM fetches its own. */
static apr_interval_time_t run_pusher(void *ctx)
{
	struct peer_task *task = ctx;
	struct node_held held = task->pushed;

	node_wait_newer(task->node, &held, CHANGE_WAIT);
	if (held.table == task->pushed.table && held.list == task->pushed.list)
		return 0;
	if (task->pushed.table && task->pushed.list)
		push_change(task);
	task->pushed = held;
	return 0;
}

int peer_task_start(struct peer_task **out, const struct settings *set,
		    const struct clk *clk, struct node *node)
{
	struct peer_task *task = calloc(1, sizeof(*task));
	int err;

	if (!task)
		return PST_ERR_NOMEM;
	task->set = set;
	task->clk = clk;
	task->node = node;
	err = peercall_create(&task->sync_client, set, clk, node);
	if (!err)
		err = peercall_create(&task->push_client, set, clk, node);
	if (!err)
		err = task_start(&task->syncer, run_syncer, task);
	if (!err)
		err = task_start(&task->pusher, run_pusher, task);
	if (err)
		peer_task_stop(task);
	else
		*out = task;
	return err;
}

void peer_task_stop(struct peer_task *task)
{
	if (!task)
		return;
	task_stop(&task->pusher);
	task_stop(&task->syncer);
	peercall_destroy(task->push_client);
	peercall_destroy(task->sync_client);
	free(task);
}
