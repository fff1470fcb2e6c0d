/*
 * The splits of the table's rows, each idle or active. An active row holds
 * its split; an idle one only what the split is recomputed from. Private to
 * agent/quota_*.
 */
#ifndef AGENT_QUOTA_ROW_H
#define AGENT_QUOTA_ROW_H

#include "agent/quota_basis.h"
#include "policy/domsplit.h"
#include "policy/domsplit_goal.h"

struct active_split {
	struct domsplit domsplit;
	double *goal;
	/* Part of the traffic still to be moved to reach goal. */
	double remaining;
	/* Whether goal was computed from the view in force. */
	bool goal_current;
	/* At the goal: not stepped until the goal or the split changes. */
	bool settled;
	/* Whether the split was last logged as moving. */
	bool moving;
	/* Time of the last request. */
	apr_time_t used_at;
};

struct split_row {
	/* NULL while idle. */
	struct active_split *active;
	/* While idle: requests that domsplit_redraw() may still redirect. */
	double credit;
	/* While idle: the last epoch at whose goal the row is known to be. */
	uint32_t epoch;
	/* While active: its position in active_rows. */
	uint32_t active_at;
};

struct splitter {
	struct strbuf region;
	struct strbuf domain;
	struct tbl *tbl;
	struct vmlist *vmlist;
	struct split_basis basis;
	/* Total time that steps have accounted for. */
	apr_interval_time_t running_time;
	/* Time of the last step. */
	apr_time_t stepped_at;
	struct split_row *rows;
	size_t row_count;
	/* Indexes of active rows. */
	uint32_t *active_rows;
	size_t active_count;
	/* Scratch space for computing goals, one element per domain. */
	struct domsplit_domain *places;
	/* Index of this VM's region in tbl, or region_count. */
	size_t own;
	/* Index of this VM's failure domain in tbl, or domain_count. */
	size_t own_domain;
};

/* Creates row_count idle rows at their goals. Returns 0 or PST_ERR_NOMEM. */
int split_rows_create(struct splitter *splitter);
void split_rows_free(struct splitter *splitter);

/* Returns the row's split as of the last step, or NULL when out of memory. */
struct active_split *split_row_activate(struct splitter *splitter, size_t at);

/* Steps an active row, which may become idle. */
void split_row_step(struct splitter *splitter, size_t at);

/* Returns whether a row is on the way to its goal; if so it is active. */
bool split_row_is_moving(struct splitter *splitter, size_t at);

/*
 * Makes idle rows independent of the oldest epoch when it is about to be
 * dropped. Returns 0 or PST_ERR_NOMEM.
 */
int split_rows_release_oldest(struct splitter *splitter);

#endif
