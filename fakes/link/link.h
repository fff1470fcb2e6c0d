/*
 * Simulated links between regions. A link has a side for each of its two
 * regions: an HTTP CONNECT proxy through which the VMs of that region reach
 * the other one. Both sides share the link's rate limits, one per direction.
 */
#ifndef FAKES_LINK_LINK_H
#define FAKES_LINK_LINK_H

#include <jansson.h>

#include "common/str.h"
#include "fakes/loop.h"
#include "fakes/pace.h"

enum lnk_fault {
	LNK_FAULT_NONE,
	/* Open connections are closed and new ones refused. */
	LNK_FAULT_CUT,
	/* Open connections become silent permanently; new ones work. */
	LNK_FAULT_SILENCE,
	/* No bytes pass on open or new connections; none is closed. */
	LNK_FAULT_DROP,
};

enum lnk_direction {
	/* From region a to region b. */
	LNK_A_TO_B,
	LNK_B_TO_A,
	LNK_DIRECTIONS,
};

struct lnk {
	struct strbuf a;
	struct strbuf b;
	apr_interval_time_t delay;
	enum lnk_fault fault;
	struct pace paces[LNK_DIRECTIONS];
	/* Connections open now and since the start. */
	size_t open;
	uint64_t opened;
	struct evloop *loop;
	struct lnk_conns *conns;
};

/*
 * Reads "a=NAME,b=NAME,listen_a=IP:PORT,listen_b=IP:PORT,delay_us=N,mbps=N"
 * and listens. The link lives until the process ends. Returns 0,
 * PST_ERR_FAKE_LINK, PST_ERR_NOMEM or PST_ERR_IO.
 */
int lnk_open(struct lnk **out, struct evloop *loop, const char *text);

void lnk_set_fault(struct lnk *link, enum lnk_fault fault);

/* Returns the link's counts as JSON, owned by the caller. */
json_t *lnk_stats(const struct lnk *link);

#endif
