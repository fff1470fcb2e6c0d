/*
 * The splits in force of all rows, in one entry process.
 *
 * A row without requests rests: it is worked out at its next use, and is then
 * where it would be had it been stepped all the time. Only rows in use and
 * rows on the way to a goal of their own cost memory and steps.
 *
 * Not thread-safe; the quota agent's lock guards it.
 */
#ifndef AGENT_QUOTA_SPLIT_H
#define AGENT_QUOTA_SPLIT_H

#include "policy/shf.h"
#include "policy/tbl.h"
#include "policy/vml.h"

struct qs;

/* region: that of this VM. Returns 0 or PST_ERR_NOMEM. */
int qs_create(struct qs **out, struct str region);
void qs_destroy(struct qs *qs);

/*
 * Names this VM's failure domain, before the first view; without it goals do
 * not prefer a domain within the region. Returns 0 or PST_ERR_NOMEM.
 */
int qs_set_domain(struct qs *qs, struct str domain);

/*
 * Puts a table and a list of VMs in force. Goals (see policy/shf_goal.h, with
 * demand in proportion to the entry VMs of regions and domains) follow at once,
 * splits by qs_step(). A row seen for the first time starts at its goal, or at
 * what qs_adopt() gave. Takes references. Returns 0 or PST_ERR_NOMEM, upon
 * which the former view stays.
 */
int qs_set_view(struct qs *qs, apr_time_t now, struct tbl *tbl,
		struct vml *vml);

/* Moves every split towards its goal by what the shift caps allow. */
void qs_step(struct qs *qs, apr_time_t now);

/*
 * Picks a failure domain (index in tbl) for a request of a row; skip, with
 * one bool each, marks those that could not take it and may be NULL. Returns
 * -1 when none is left or the shift cap leaves no room.
 */
int qs_pick(struct qs *qs, apr_time_t now, const struct tbl *tbl,
	    const struct tbl_row *cells, uint64_t random, const bool *skip);

/* One row's split, for another process to start from. */
struct qs_row_view {
	struct str service;
	enum rank rank;
	const double *share;
};

/* The table in force, or NULL. */
const struct tbl *qs_table(const struct qs *qs);

/*
 * Lists rows that are on the way to their goal, also those that rest; returns
 * how many, up to max. Valid until the next call.
 */
size_t qs_moving(struct qs *qs, struct qs_row_view *out, size_t max);

/* Starts one row from a peer's split over the named domains. */
void qs_adopt(struct qs *qs, apr_time_t now, struct str from,
	      struct str service, enum rank rank, const struct str *domains,
	      const double *share, size_t count);

#endif
