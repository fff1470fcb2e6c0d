/* Polls the pst-controlds of many VMs for their status in parallel. */
#ifndef PSTCTL_POLL_H
#define PSTCTL_POLL_H

#include <pthread.h>
#include <stdatomic.h>

#include "pstctl/cmd.h"
#include "schema/gen/table.h"

/* Most threads of a poll. */
#define POLL_THREADS 32

/* Last status of one VM; written under the poll's lock. */
struct poll_vm {
	const struct vm *vm;
	bool answered;
	uint64_t revision;
	uint64_t in_force;
	uint32_t confirmed_age_ms;
	bool relay;
	bool store_reachable;
	bool fresh;
	/* When in_force first reached the wanted revision; 0: not yet. */
	apr_time_t held_at;
};

struct poll {
	struct cmd *cmd;
	struct vmlist *list;
	/* The revision waited for. */
	uint64_t wanted;
	/* Whether VMs are polled until they hold the wanted revision, not once.
	 */
	bool repeat;
	struct poll_vm *vms;
	size_t count;
	pthread_mutex_t lock;
	atomic_bool stopping;
	atomic_size_t running;
	pthread_t threads[POLL_THREADS];
	size_t thread_count;
};

/*
 * Reads the platform's list and starts polling its entry VMs. Returns 0,
 * PST_ERR_UNAVAILABLE, PST_ERR_NOMEM or PST_ERR_THREAD.
 */
int poll_start(struct poll *poll, struct cmd *cmd, uint64_t wanted,
	       bool repeat);

/* Stops the threads, waits for them and frees the results. */
void poll_stop(struct poll *poll);

/*
 * Whether all threads have ended: every VM holds the wanted revision or,
 * without repeat, has been polled once.
 */
bool poll_done(const struct poll *poll);

#endif
