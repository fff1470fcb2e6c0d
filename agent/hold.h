/*
 * A table built from parts that arrive piece by piece, with its revision and
 * freshness. Not thread-safe.
 */
#ifndef AGENT_HOLD_H
#define AGENT_HOLD_H

#include "common/clk.h"
#include "common/settings.h"
#include "policy/pts.h"
#include "policy/rev.h"

/* Malformed parts remembered. */
#define HOLD_MAX_REFUSED 32

/* A part that is not in force because it is malformed. */
struct hold_refused {
	/* Empty for the manifest. */
	struct strbuf service;
	uint64_t mod_revision;
};

struct hold {
	const struct clk *clk;
	const struct clk *wall;
	struct pts *pts;
	struct rev rev;
	/* NULL before the first. */
	struct tbl *tbl;
	/* Drops the parts once they are in force, to save memory. */
	bool lean;
	/* Every part has been asked for, after PST_ERR_AGAIN. */
	bool whole;
	struct hold_refused refused[HOLD_MAX_REFUSED];
	size_t refused_count;
};

/* The system's wall clock. */
const struct clk *hold_wall_clock(void);

/*
 * Borrows clk and wall, which is compared with it to find a VM that was
 * suspended. Returns 0 or PST_ERR_NOMEM.
 */
int hold_init(struct hold *hold, const struct settings *set,
	      const struct clk *clk, const struct clk *wall);
void hold_done(struct hold *hold);

/* Keeps parts of an exchange that goes on; nothing is in force yet. */
int hold_keep(struct hold *hold, const struct tbl_part *parts, size_t count);

/*
 * Puts in force all that is kept, after which every change up to revision is
 * held. Logs a new table, or the refusal of a value. Sets *changed when tbl
 * is a new one. Returns 0, PST_ERR_STALE when a higher revision is held, or
 * PST_ERR_INVALID when all that is new is malformed, with the last good table
 * still in force. Malformed parts among others are left out.
 */
int hold_apply(struct hold *hold, uint64_t revision, const char *source,
	       bool *changed);

/* Highest revision up to which everything is in force; 0 before the first. */
uint64_t hold_in_force(const struct hold *hold);

/*
 * Notes the time, drops the confirmation after a pause, and logs that and
 * each change between fresh and stale. Returns whether it is fresh.
 */
bool hold_tick(struct hold *hold, bool was_fresh);

#endif
