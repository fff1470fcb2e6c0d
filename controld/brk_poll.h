/*
 * Polls the load reports of upstreams (GET /load, ORCA as JSON) at an
 * interval, concurrently, on a thread of its own.
 */
#ifndef CONTROLD_BRK_POLL_H
#define CONTROLD_BRK_POLL_H

#include "common/clk.h"
#include "common/settings.h"
#include "policy/brk_types.h"

struct brk_poll;

/* An upstream to be polled. */
struct brk_poll_target {
	struct strbuf upstream;
	struct strbuf address;
	uint16_t port;
};

/*
 * on_report runs on the polling thread and must not block. Borrows set and clk.
 * Returns 0, PST_ERR_NOMEM, PST_ERR_HTTP or PST_ERR_THREAD.
 */
int brk_poll_start(struct brk_poll **out, const struct settings *set,
		   const struct clk *clk,
		   void (*on_report)(void *ctx, const struct strbuf *upstream,
				     const struct load_report *report),
		   void *ctx);

/* NULL is allowed. */
void brk_poll_stop(struct brk_poll *poll);

/*
 * Replaces the targets. Takes ownership of the array, which is from malloc(),
 * also on failure. Returns 0 or PST_ERR_NOMEM. Thread-safe.
 */
int brk_poll_set_targets(struct brk_poll *poll, struct brk_poll_target *targets,
			 size_t count);

#endif
