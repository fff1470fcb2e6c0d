/*
 * Polls the load reports of upstreams (GET /load, ORCA as JSON) at an
 * interval, concurrently, on a thread of its own.
 */
#ifndef CONTROLD_BROKER_POLL_H
#define CONTROLD_BROKER_POLL_H

#include "common/clk.h"
#include "common/settings.h"
#include "policy/broker_types.h"

struct broker_poll;

/* An upstream to be polled. */
struct broker_poll_target {
	struct strbuf upstream;
	struct strbuf address;
	uint16_t port;
};

/*
 * on_report runs on the polling thread and must not block. Borrows set and clk.
 * Returns 0, PST_ERR_NOMEM, PST_ERR_HTTP or PST_ERR_THREAD.
 */
int broker_poll_start(struct broker_poll **out, const struct settings *set,
		      const struct clk *clk,
		      void (*on_report)(void *ctx,
					const struct strbuf *upstream,
					const struct load_report *report),
		      void *ctx);

/* NULL is allowed. */
void broker_poll_stop(struct broker_poll *poll);

/*
 * Replaces the targets. Takes ownership of the array, which is from malloc(),
 * also on failure. Returns 0 or PST_ERR_NOMEM. Thread-safe.
 */
int broker_poll_set_targets(struct broker_poll *poll,
			    struct broker_poll_target *targets, size_t count);

#endif
