/* Asks many VMs' pst-controlds for their status at once. */
#ifndef PSTCTL_POLL_H
#define PSTCTL_POLL_H

#include <pthread.h>
#include <stdatomic.h>

#include "pstctl/cmd.h"
#include "schema/gen/table.h"

/* Threads that ask. */
#define POLL_THREADS 32

/* What one VM said last; written under the poll's lock. */
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
	struct vml *list;
	uint64_t wanted;
	/* Asked again until they hold the wanted revision; else once. */
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
 * Reads the platform's list and starts asking its entry VMs. Returns 0,
 * PST_ERR_UNAVAILABLE, PST_ERR_NOMEM or PST_ERR_THREAD.
 */
int poll_start(struct poll *poll, struct cmd *cmd, uint64_t wanted,
	       bool repeat);

/* Waits for the threads and frees all. */
void poll_stop(struct poll *poll);

/* Whether every VM has been asked, or holds the wanted revision. */
bool poll_done(const struct poll *poll);

#endif
