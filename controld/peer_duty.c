#include "controld/peer_duty.h"

#include <stdlib.h>
#include <string.h>

#include <sys/random.h>

#include "common/err.h"
#include "agent/duty.h"
#include "controld/xchg.h"
#include "policy/relay.h"

/* Longest wait for a change before the stop flag is checked. */
#define CHANGE_WAIT CLK_MS(200)

/* Wait between two attempts to get the VM list while none is held. */
#define UNLISTED_WAIT CLK_MS(100)

struct peer_duty {
	const struct settings *set;
	const struct clk *clk;
	struct node *node;
	struct duty syncer;
	struct duty pusher;
	struct xchg *sync_client;
	struct xchg *push_client;
	/* Revisions up to which changes were pushed. */
	struct node_held pushed;
	size_t round;
};

static bool is_self(const struct peer_duty *duty, const struct vm *vm)
{
	return str_eq(strbuf_str(&vm->id), duty->set->vm.id);
}

static uint64_t random_number(void)
{
	uint64_t number = 0;

	if (getrandom(&number, sizeof(number), 0) < 0)
		return (uint64_t)apr_time_now();
	return number;
}

static void sync_with_address(struct peer_duty *duty, struct str ip)
{
	struct vm vm = {.kind = VM_ENTRY};

	if (node_has_list(duty->node) || str_eq(ip, duty->set->vm.address) ||
	    strbuf_set(&vm.id, ip) || strbuf_set(&vm.address, ip))
		return;
	xchg_sync(duty->sync_client, &vm);
}

/*
 * Asks peers while no VM list is held: hinted addresses, and those of net.peers
 * that are not patterns.
 */
static void sync_unlisted(struct peer_duty *duty)
{
	struct strbuf hints[NODE_HINTS_MAX];
	const size_t count = node_hints(duty->node, hints);

	for (size_t i = 0; i < count; i++)
		sync_with_address(duty, strbuf_str(&hints[i]));
	for (size_t i = 0; i < duty->set->net.peers_count; i++) {
		const struct str ip = duty->set->net.peers[i];

		if (ip.len && ip.ptr[ip.len - 1] != '*')
			sync_with_address(duty, ip);
	}
}

/* Asks one relay a round, in rotation; the next one if it does not answer. */
static void sync_with_relay(struct peer_duty *duty,
			    const struct vmlist *members)
{
	const struct vm *relays[RELAY_PER_DOMAIN];
	const size_t count =
		relay_pick(members, duty->set->vm.failure_domain, relays);

	duty->round++;
	for (size_t i = 0; i < count; i++) {
		const struct vm *relay = relays[(duty->round + i) % count];

		if (is_self(duty, relay) || xchg_sync(duty->sync_client, relay))
			continue;
		node_relay_heard(duty->node);
		return;
	}
}

/* Asks a random VM, also a leaving one, to detect that an absent VM is back. */
static void sync_with_any(struct peer_duty *duty, const struct vmlist *members)
{
	const size_t first =
		members->count ? random_number() % members->count : 0;

	for (size_t i = 0; i < members->count; i++) {
		const struct vm *vm =
			&members->vms[(first + i) % members->count];

		if (vm->kind != VM_ENTRY || is_self(duty, vm))
			continue;
		xchg_sync(duty->sync_client, vm);
		return;
	}
}

static apr_interval_time_t run_syncer(void *ctx)
{
	struct peer_duty *duty = ctx;
	struct vmlist *members = node_members(duty->node);

	if (!members) {
		sync_unlisted(duty);
		return duty_jitter(UNLISTED_WAIT);
	}
	sync_with_relay(duty, members);
	sync_with_any(duty, members);
	vmlist_put(members);
	return duty_jitter(CLK_MS(duty->set->table.peer_interval_ms));
}

static void push_change(struct peer_duty *duty)
{
	const struct vm *children[RELAY_CHILDREN_MAX];
	struct vmlist *members = node_members(duty->node);
	table_change change;
	size_t count = 0;
	const int err = node_make_change(duty->node, &duty->pushed, &change);

	if (!err && members)
		count = relay_children(members, duty->set->vm.failure_domain,
				       duty->set->vm.id, children);
	for (size_t i = 0; i < count; i++)
		xchg_push(duty->push_client, children[i], &change);
	xdr_free((xdrproc_t)xdr_table_change, &change);
	vmlist_put(members);
}

/* The first table and list are not pushed: every VM fetches its own. */
static apr_interval_time_t run_pusher(void *ctx)
{
	struct peer_duty *duty = ctx;
	struct node_held held = duty->pushed;

	node_wait_newer(duty->node, &held, CHANGE_WAIT);
	if (held.table == duty->pushed.table && held.list == duty->pushed.list)
		return 0;
	if (duty->pushed.table && duty->pushed.list)
		push_change(duty);
	duty->pushed = held;
	return 0;
}

int peer_duty_start(struct peer_duty **out, const struct settings *set,
		    const struct clk *clk, struct node *node)
{
	struct peer_duty *duty = calloc(1, sizeof(*duty));
	int err;

	if (!duty)
		return PST_ERR_NOMEM;
	duty->set = set;
	duty->clk = clk;
	duty->node = node;
	err = xchg_create(&duty->sync_client, set, clk, node);
	if (!err)
		err = xchg_create(&duty->push_client, set, clk, node);
	if (!err)
		err = duty_start(&duty->syncer, run_syncer, duty);
	if (!err)
		err = duty_start(&duty->pusher, run_pusher, duty);
	if (err)
		peer_duty_stop(duty);
	else
		*out = duty;
	return err;
}

void peer_duty_stop(struct peer_duty *duty)
{
	if (!duty)
		return;
	duty_stop(&duty->pusher);
	duty_stop(&duty->syncer);
	xchg_destroy(duty->push_client);
	xchg_destroy(duty->sync_client);
	free(duty);
}
