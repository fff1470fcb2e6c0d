/*
 * A process's copy of the table, built from parts that arrive over time, with
 * its revision and freshness. Not thread-safe.
 */
#ifndef AGENT_TBLCACHE_H
#define AGENT_TBLCACHE_H

#include "common/clk.h"
#include "common/settings.h"
#include "policy/partset.h"
#include "policy/rev.h"

/* Most malformed parts that are recorded. */
#define TBLCACHE_MAX_REFUSED 32

/* A part that is not in force because it is malformed. */
struct tblcache_refused {
	/* Empty for the manifest. */
	struct strbuf service;
	uint64_t mod_revision;
};

struct tblcache {
	const struct clk *clk;
	const struct clk *wall;
	struct partset *partset;
	struct rev rev;
	/* The table in force; NULL before the first one. */
	struct tbl *tbl;
	/* Discard the parts once they are in force, to save memory. */
	bool discard_parts;
	/* Set by the caller that requests all parts after PST_ERR_AGAIN. */
	bool has_all_parts;
	struct tblcache_refused refused[TBLCACHE_MAX_REFUSED];
	size_t refused_count;
};

/* The system's wall clock. */
const struct clk *tblcache_wall_clock(void);

/*
 * Borrows clk and wall; a difference between their advances shows that the VM
 * was suspended. Returns 0 or PST_ERR_NOMEM.
 */
int tblcache_init(struct tblcache *tblcache, const struct settings *set,
		  const struct clk *clk, const struct clk *wall);
void tblcache_done(struct tblcache *tblcache);

/*
 * Stores parts of an exchange in progress without putting them in force.
 * Returns 0 or PST_ERR_NOMEM.
 */
int tblcache_store_parts(struct tblcache *tblcache,
			 const struct tbl_part *parts, size_t count);

/*
 * Puts the stored parts in force; with them, every change up to revision must
 * have been received. Malformed parts are left out and stay at their last valid
 * value. Logs a new table and each refusal of a value, and sets *changed when
 * tbl is a new one. Returns 0, PST_ERR_STALE when a higher revision is held,
 * PST_ERR_INVALID when all new parts are malformed and the last table stays in
 * force, PST_ERR_NOMEM, or PST_ERR_AGAIN when the manifest has changed and
 * discarded parts are needed: request and store all parts, and call this again.
 */
int tblcache_apply(struct tblcache *tblcache, uint64_t revision,
		   const char *source, bool *changed);

/* Highest revision up to which all changes are in force; 0 without a table. */
uint64_t tblcache_in_force(const struct tblcache *tblcache);

/*
 * Detects that the VM was suspended, after which the table needs a new
 * confirmation. Logs a pause and each change between fresh and stale. Returns
 * whether the table is fresh.
 */
bool tblcache_tick(struct tblcache *tblcache, bool was_fresh);

#endif
