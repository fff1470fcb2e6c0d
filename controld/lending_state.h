/* State that the threads of the share service have in common. */
#ifndef CONTROLD_LENDING_STATE_H
#define CONTROLD_LENDING_STATE_H

#include <pthread.h>
#include <stdatomic.h>

#include <apr_queue.h>

#include "common/clk.h"
#include "common/settings.h"
#include "controld/curview.h"
#include "policy/lending_node.h"
#include "policy/lending_root.h"
#include "schema/gen/share.h"

/* Failure domains whose parts one VM may own at once. */
#define LENDING_OWNED_MAX 128

/* Queued actions on the store and on holders. */
#define LENDING_JOBS_MAX 256

/* Time between two steps of the ownership state machines. */
#define LENDING_STEP_INTERVAL CLK_MS(100)

/* One failure domain's part, as seen by this VM. */
struct lending_owned {
	struct lending_root root;
	struct lending_view view;
	enum lending_phase logged;
	/* Since when the named holder is not on the VM list; 0 if listed. */
	apr_time_t absent_since;
};

struct lending_state {
	const struct settings *set;
	const struct clk *clk;
	struct curview *curview;
	uint64_t incarnation;
	atomic_bool stopping;
	/* No VM ranked before this one in its domain answers. */
	atomic_bool acting_lender;
	pthread_mutex_t lock;
	/* Guarded by lock. */
	struct lending_node *node;
	struct lending_owned owned[LENDING_OWNED_MAX];
	size_t owned_count;
	struct shr_x_splits splits;
	apr_time_t splits_at;
	/* Of struct lending_owned *, for the thread of lending_store_run(). */
	apr_queue_t *jobs;
};

/* Sets which domains the node holds; state->lock must be held. */
void lending_state_apply(struct lending_state *state, apr_time_t now);

/*
 * Thread that steps the ownership state machines and queues their actions.
 * arg: struct lending_state, as for the next two.
 */
void *lending_tick_run(void *arg);

/* Thread that reads and swaps records, and asks holders. */
void *lending_store_run(void *arg);

/* Thread that borrows from other VMs. */
void *lending_borrow_run(void *arg);

/* Registers the RPC program. Returns 0, PST_ERR_EXISTS or PST_ERR_FULL. */
int lending_rpc_register(struct lending_state *state);

/*
 * Logs a change of the ownership state, if there is one. why is NULL for the
 * usual reason of the new state. state->lock must be held.
 */
void lending_state_log(struct lending_owned *owned, const char *why);

#endif
