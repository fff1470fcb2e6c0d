/*
 * Rows of the splits in force: at rest, where only what they started from is
 * known, or live, with the split itself. Private to agent/quota_*.
 */
#ifndef AGENT_QUOTA_ROW_H
#define AGENT_QUOTA_ROW_H

#include "agent/quota_basis.h"
#include "policy/shf.h"
#include "policy/shf_goal.h"

struct live {
	struct shf shf;
	double *goal;
	double left;
	/* Whether goal is that of the view in force. */
	bool current;
	/* At the goal; nothing to step until a new goal or split comes. */
	bool settled;
	bool moving;
	/* Time of the last request. */
	apr_time_t used_at;
};

struct row {
	/* NULL at rest. */
	struct live *live;
	/* At rest: what shf_redraw() may still use. */
	double credit;
	/* At rest: the epoch whose goal it was at; place among live ones. */
	uint32_t since;
	uint32_t live_at;
};

struct qs {
	struct strbuf region;
	struct strbuf domain;
	struct tbl *tbl;
	struct vml *vml;
	struct qb basis;
	/* Time that steps have accounted for, and the last step's. */
	apr_interval_time_t run;
	apr_time_t stepped_at;
	struct row *rows;
	size_t row_count;
	/* Indexes of live rows. */
	uint32_t *live;
	size_t live_count;
	struct shf_domain *places;
	/* This VM's region in tbl, or the count of regions. */
	size_t own;
	/* This VM's failure domain in tbl, or the count of domains. */
	size_t own_domain;
};

/* Makes row_count resting rows at their goals. Returns 0, PST_ERR_NOMEM. */
int qr_make_rows(struct qs *qs);
void qr_free_rows(struct qs *qs);

/* The row's split, as of the last step; NULL when memory is out. */
struct live *qr_wake(struct qs *qs, size_t at);

/* Steps a live row, which may come to rest. */
void qr_step(struct qs *qs, size_t at);

/* Whether a row is on the way to its goal; if so it is live. */
bool qr_moving(struct qs *qs, size_t at);

/* Prepares for the oldest epoch to be dropped. Returns 0, PST_ERR_NOMEM. */
int qr_leave_oldest(struct qs *qs);

#endif
