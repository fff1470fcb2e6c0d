/* What the duties of the share service have in common; private to it. */
#ifndef CONTROLD_SHR_STATE_H
#define CONTROLD_SHR_STATE_H

#include <pthread.h>
#include <stdatomic.h>

#include <apr_queue.h>

#include "common/clk.h"
#include "common/settings.h"
#include "controld/cview.h"
#include "policy/shr_node.h"
#include "policy/shr_root.h"
#include "schema/gen/share.h"

/* Failure domains whose parts one VM may own at once. */
#define SHR_ROOTS_MAX 128

/* Actions towards the store and holders that wait for their duty. */
#define SHR_JOBS_MAX 256

/* Time between two steps of the ownerships. */
#define SHR_STEP CLK_MS(100)

/* One failure domain's part, as seen by this VM. */
struct shr_owned {
	struct shr_root root;
	struct shr_view view;
	enum shr_phase logged;
	/* Named holder not on the list since; 0: it is. */
	apr_time_t absent_since;
};

struct shr_state {
	const struct settings *set;
	const struct clk *clk;
	struct cview *cview;
	uint64_t incarnation;
	atomic_bool stopping;
	/* Every VM that comes before this one in its domain is silent. */
	atomic_bool acting;
	pthread_mutex_t lock;
	/* Guarded by lock. */
	struct shr_node *node;
	struct shr_owned owned[SHR_ROOTS_MAX];
	size_t owned_count;
	struct shr_x_splits splits;
	apr_time_t splits_at;
	/* Of struct shr_owned *, towards the duty that acts on them. */
	apr_queue_t *jobs;
};

/* Brings what the node owns in line with the ownerships. Locked. */
void shr_state_apply(struct shr_state *state, apr_time_t now);

/* Duty: steps the ownerships and hands out actions. arg: struct shr_state. */
void *shr_tick_run(void *arg);

/* Duty: reads and swaps records, and asks holders. */
void *shr_store_run(void *arg);

/* Duty: borrows from other VMs. */
void *shr_borrow_run(void *arg);

/* Registers the RPC program. Returns 0, PST_ERR_EXISTS or PST_ERR_FULL. */
int shr_rpc_register(struct shr_state *state);

/* Logs a step of an ownership, once for each state. Locked. */
void shr_state_log(struct shr_owned *owned, const char *why);

#endif
