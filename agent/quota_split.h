/*
 * How one entry process splits each row's requests over failure domains.
 *
 * A split follows a goal no faster than the row's shift cap. A row without
 * requests becomes idle: its split is recomputed at its next use, as if it had
 * been stepped all the time. Only rows in use and rows whose own weights, cap
 * or upstreams changed take memory and time in a step.
 *
 * Not thread-safe; the quota agent's lock guards it.
 */
#ifndef AGENT_QUOTA_SPLIT_H
#define AGENT_QUOTA_SPLIT_H

#include "policy/domsplit.h"
#include "policy/tbl.h"
#include "policy/vmlist.h"

struct splitter;

/* region: the region of this VM. Returns 0 or PST_ERR_NOMEM. */
int splitter_create(struct splitter **out, struct str region);
void splitter_destroy(struct splitter *splitter);

/*
 * Sets this VM's failure domain, to be called before the first view is set.
 * Without it, goals prefer no domain within the region. Returns 0 or
 * PST_ERR_NOMEM.
 */
int splitter_set_domain(struct splitter *splitter, struct str domain);

/*
 * Puts a table and a list of VMs in force. Goals (see policy/domsplit_goal.h,
 * with demand in proportion to the entry VMs of regions and domains) change at
 * once; splitter_step() moves the splits towards them. A new row starts at its
 * goal, unless splitter_adopt() sets its split. Takes references. Returns 0, or
 * PST_ERR_NOMEM with the previous view still in force.
 */
int splitter_set_view(struct splitter *splitter, apr_time_t now,
		      struct tbl *tbl, struct vmlist *vmlist);

/* Moves every split towards its goal as far as the shift cap allows. */
void splitter_step(struct splitter *splitter, apr_time_t now);

/*
 * Picks a failure domain (index in tbl) for a request of a row. skip marks the
 * domains (one bool each) that could not take it, and may be NULL. Returns -1
 * when no domain is left or the shift cap allows no further redirection.
 */
int splitter_pick(struct splitter *splitter, apr_time_t now,
		  const struct tbl *tbl, const struct tbl_row *cells,
		  uint64_t random, const bool *skip);

/* One row's split, from which another process may start. */
struct splitter_row_view {
	struct str service;
	enum rank rank;
	const double *share;
};

/* Returns the table in force, or NULL before the first view. */
const struct tbl *splitter_table(const struct splitter *splitter);

/*
 * Lists rows that are on the way to their goal, idle ones included. Returns how
 * many, up to max. The list is valid until the next call.
 */
size_t splitter_moving(struct splitter *splitter, struct splitter_row_view *out,
		       size_t max);

/* Replaces one row's split by that of peer from over the named domains. */
void splitter_adopt(struct splitter *splitter, apr_time_t now, struct str from,
		    struct str service, enum rank rank,
		    const struct str *domains, const double *share,
		    size_t count);

#endif
