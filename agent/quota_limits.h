/*
 * The limits that this process uses: what was granted, taken and wanted.
 *
 * Not thread-safe; the quota agent's lock guards it.
 */
#ifndef AGENT_QUOTA_LIMITS_H
#define AGENT_QUOTA_LIMITS_H

#include "policy/bkt.h"
#include "policy/shr_node.h"
#include "policy/tbl.h"

/* Limits in use at once; taking from more is refused. */
#define QL_LIMITS_MAX 4096

struct ql_limit {
	uint64_t id;
	/* Given at once where the rate allows it. */
	uint64_t least_burst;
	/* Granted, until expires by this process's clock. */
	uint64_t rate;
	apr_time_t expires;
	/* Taken by all ranks, and what was asked for, given or not. */
	struct bkt taken;
	struct bkt wanted;
	/* Refused to a rank lately, and when that was. */
	uint64_t refused[RANK_COUNT];
	apr_time_t refused_at[RANK_COUNT];
	/*
	 * Taken since measured_at, and recent sums in which what is older
	 * counts less: taken, what the rate allowed, and the time in seconds.
	 */
	uint64_t fresh;
	apr_time_t measured_at;
	double used;
	double offered;
	double lasted;
	/* Largest recent demand, falling over time. */
	uint64_t demand;
	apr_time_t demand_at;
	apr_time_t used_at;
	apr_time_t logged_at;
};

struct ql;

/* Nothing may be taken before open_at. Returns 0 or PST_ERR_NOMEM. */
int ql_create(struct ql **out, apr_time_t open_at);
void ql_destroy(struct ql *ql);

/*
 * Returns the limit, creating it if needed, or NULL when there are too many.
 * least_burst: amount given at once where the rate allows it.
 */
struct ql_limit *ql_limit(struct ql *ql, uint64_t id, uint64_t least_burst);

/*
 * Takes up to want for a rank and returns how much. Higher ranks that were
 * refused an eighth of a second ago or less are served first.
 */
uint64_t ql_take(struct ql *ql, struct ql_limit *limit, apr_time_t now,
		 enum rank rank, uint64_t want);

/* Gives back what was taken at taken_at and not used. */
void ql_return(struct ql_limit *limit, apr_time_t now, apr_time_t taken_at,
	       uint64_t amount);

/*
 * Lists what to ask for, at most SHR_ASKS_MAX, and forgets limits that were
 * not used for a while.
 */
size_t ql_plan(struct ql *ql, apr_time_t now, struct shr_ask *out);

/* Takes over grants; sent_at: before the request was sent. */
void ql_apply(struct ql *ql, apr_time_t sent_at, const struct shr_ask *asks,
	      const struct shr_grant *grants, size_t count);

/* Limits with a valid grant, and limits in use. */
size_t ql_valid(const struct ql *ql, apr_time_t now);
size_t ql_count(const struct ql *ql);

#endif
