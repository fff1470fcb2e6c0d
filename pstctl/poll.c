#include "pstctl/poll.h"

#include <stdlib.h>

#include "agent/tablemsg.h"
#include "common/err.h"
#include "common/net.h"
#include "common/rpcc.h"
#include "pstctl/members.h"

/* Pause between two rounds of one thread. */
#define ROUND_INTERVAL CLK_MS(20)

struct worker {
	struct poll *poll;
	size_t first;
};

static int get_status(struct cmd *cmd, const struct vm *vm, struct rpcc **rpcc,
		      table_status *out)
{
	struct net_addr peer;
	int err;

	if (!*rpcc) {
		err = net_addr_make(&peer, strbuf_str(&vm->address),
				    (uint16_t)cmd->set->control.rpc_port);
		if (!err)
			err = rpcc_create(rpcc, cmd->set, cmd->clk,
					  strbuf_str(&vm->region), &peer,
					  TABLE_PROGRAM, TABLE_VERSION);
		if (err)
			return err;
	}
	return rpcc_call(*rpcc, TABLE_STATUS, tablemsg_xdr_void, NULL,
			 (xdrproc_t)xdr_table_status, out,
			 CLK_MS(cmd->set->net.rpc_timeout_ms));
}

static void record_status(struct poll *poll, struct poll_vm *vm,
			  const table_status *status)
{
	pthread_mutex_lock(&poll->lock);
	vm->answered = true;
	vm->revision = status->revision;
	vm->in_force = status->in_force;
	vm->confirmed_age_ms = status->confirmed_age_ms;
	vm->relay = status->relay;
	vm->store_reachable = status->store_reachable;
	vm->fresh = status->fresh;
	if (!vm->held_at && status->in_force >= poll->wanted)
		vm->held_at = clk_now(poll->cmd->clk);
	pthread_mutex_unlock(&poll->lock);
}

/* Returns whether the VM holds the wanted revision. */
static bool poll_one(struct poll *poll, struct poll_vm *vm, struct rpcc **rpcc)
{
	table_status status = {0};

	if (vm->held_at)
		return true;
	if (get_status(poll->cmd, vm->vm, rpcc, &status))
		return false;
	record_status(poll, vm, &status);
	xdr_free((xdrproc_t)xdr_table_status, &status);
	return vm->held_at;
}

/*
 * Polls every POLL_THREADS-th VM, beginning at first. Returns whether all of
 * them hold the wanted revision, or the poll is stopping.
 */
static bool poll_round(struct poll *poll, size_t first, struct rpcc **clients)
{
	bool done = true;

	for (size_t i = first; i < poll->count; i += POLL_THREADS) {
		if (poll->stopping)
			return true;
		if (!poll_one(poll, &poll->vms[i], &clients[i]))
			done = false;
	}
	return done;
}

static void *run_worker(void *arg)
{
	struct worker worker = *(struct worker *)arg;
	struct poll *poll = worker.poll;
	struct rpcc **clients = calloc(poll->count + 1, sizeof(struct rpcc *));

	free(arg);
	while (clients && !poll_round(poll, worker.first, clients)) {
		if (!poll->repeat || poll->stopping)
			break;
		apr_sleep(ROUND_INTERVAL);
	}
	for (size_t i = 0; clients && i < poll->count; i++)
		rpcc_destroy(clients[i]);
	free(clients);
	poll->running--;
	return NULL;
}

static int start_worker(struct poll *poll, size_t first)
{
	struct worker *worker = malloc(sizeof(*worker));

	if (!worker)
		return PST_ERR_NOMEM;
	*worker = (struct worker){.poll = poll, .first = first};
	poll->running++;
	if (pthread_create(&poll->threads[poll->thread_count], NULL, run_worker,
			   worker)) {
		poll->running--;
		free(worker);
		return PST_ERR_THREAD;
	}
	poll->thread_count++;
	return 0;
}

static int select_entry_vms(struct poll *poll)
{
	poll->vms = calloc(poll->list->count + 1, sizeof(*poll->vms));
	if (!poll->vms)
		return PST_ERR_NOMEM;
	for (size_t i = 0; i < poll->list->count; i++) {
		if (poll->list->vms[i].kind == VM_ENTRY)
			poll->vms[poll->count++].vm = &poll->list->vms[i];
	}
	return 0;
}

int poll_start(struct poll *poll, struct cmd *cmd, uint64_t wanted, bool repeat)
{
	int err;

	*poll = (struct poll){.cmd = cmd, .wanted = wanted, .repeat = repeat};
	pthread_mutex_init(&poll->lock, NULL);
	err = members_read(cmd, &poll->list);
	if (err)
		return err;
	err = select_entry_vms(poll);
	for (size_t i = 0; !err && i < poll->count && i < POLL_THREADS; i++)
		err = start_worker(poll, i);
	if (err)
		poll_stop(poll);
	return err;
}

void poll_stop(struct poll *poll)
{
	poll->stopping = true;
	for (size_t i = 0; i < poll->thread_count; i++)
		pthread_join(poll->threads[i], NULL);
	poll->thread_count = 0;
	free(poll->vms);
	poll->vms = NULL;
	vmlist_put(poll->list);
	poll->list = NULL;
}

bool poll_done(const struct poll *poll)
{
	return !poll->running;
}
