/*
 * Links between regions. A link has a side for each of its two regions: an
 * HTTP CONNECT proxy on which the VMs of that region reach the other one.
 * Both sides share the link's rates, one for each way.
 */
#ifndef FAKES_LINK_LINK_H
#define FAKES_LINK_LINK_H

#include <jansson.h>

#include "common/str.h"
#include "fakes/loop.h"
#include "fakes/pace.h"

enum lnk_fault {
	LNK_FAULT_NONE,
	/* Connections are closed and new ones refused. */
	LNK_FAULT_CUT,
	/* Present connections go silent for good; new ones work. */
	LNK_FAULT_SILENCE,
	/* Nothing passes, present or new, and nothing is closed. */
	LNK_FAULT_DROP,
};

enum lnk_way {
	/* From region a to region b. */
	LNK_FORTH,
	LNK_BACK,
	LNK_WAYS,
};

struct lnk {
	struct strbuf a;
	struct strbuf b;
	apr_interval_time_t delay;
	enum lnk_fault fault;
	struct pac paces[LNK_WAYS];
	/* Connections open now and since the start. */
	size_t open;
	uint64_t opened;
	struct flp *loop;
	struct lnk_conns *conns;
};

/*
 * Reads "a=NAME,b=NAME,listen_a=IP:PORT,listen_b=IP:PORT,delay_us=N,mbps=N"
 * and listens. The link lives until the process ends. Returns 0,
 * PST_ERR_FAKE_LINK, PST_ERR_NOMEM or PST_ERR_IO.
 */
int lnk_open(struct lnk **out, struct flp *loop, const char *text);

void lnk_set_fault(struct lnk *link, enum lnk_fault fault);

/* Counts, owned by the caller. */
json_t *lnk_stats(const struct lnk *link);

#endif
