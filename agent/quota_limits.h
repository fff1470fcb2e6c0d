/*
 * The limits in use by one process: what of each was granted, taken and
 * wanted. Amounts are bytes or requests, rates are per second.
 *
 * Not thread-safe; the quota agent's lock guards it.
 */
#ifndef AGENT_QUOTA_LIMITS_H
#define AGENT_QUOTA_LIMITS_H

#include "policy/ratelimit.h"
#include "policy/lending_node.h"
#include "policy/tbl.h"

/* Limits in use at once; taking from more is refused. */
#define LIMITER_LIMITS_MAX 4096

struct limiter_limit {
	uint64_t id;
	/* Least burst, where the rate allows it. */
	uint64_t min_burst;
	/* The granted rate, valid until expires by this process's clock. */
	uint64_t rate;
	apr_time_t expires;
	/* Amounts taken by all ranks. */
	struct ratelimit taken;
	/* Amounts that callers wanted, taken or not. */
	struct ratelimit wanted;
	/* The last amount refused to each rank, and when. */
	uint64_t refused[RANK_COUNT];
	apr_time_t refused_at[RANK_COUNT];
	/* Taken since measured_at. */
	uint64_t taken_unmeasured;
	apr_time_t measured_at;
	/*
	 * Sums that decay over time: what was taken, what the rate allowed,
	 * and the seconds measured.
	 */
	double recent_taken;
	double recent_allowed;
	double recent_s;
	/* The peak of recent demand, and when it was reached. */
	uint64_t demand;
	apr_time_t demand_at;
	/* Time of the last take, and of the last log line. */
	apr_time_t used_at;
	apr_time_t logged_at;
};

struct limiter;

/* Nothing may be taken before open_at. Returns 0 or PST_ERR_NOMEM. */
int limiter_create(struct limiter **out, apr_time_t open_at);
void limiter_destroy(struct limiter *limiter);

/*
 * Returns the limit, created if needed, or NULL when there are too many or
 * out of memory. min_burst: least burst, where the rate allows it.
 */
struct limiter_limit *limiter_limit(struct limiter *limiter, uint64_t id,
				    uint64_t min_burst);

/*
 * Takes up to want for a rank and returns how much. What higher ranks were
 * refused within the last eighth of a second is reserved for them.
 */
uint64_t limiter_take(struct limiter *limiter, struct limiter_limit *limit,
		      apr_time_t now, enum rank rank, uint64_t want);

/* Gives back an amount that was taken at taken_at and not used. */
void limiter_return(struct limiter_limit *limit, apr_time_t now,
		    apr_time_t taken_at, uint64_t amount);

/*
 * Writes what to ask for, at most LENDING_ASKS_MAX limits, and returns how
 * many. Removes limits that have been unused for a minute.
 */
size_t limiter_plan(struct limiter *limiter, apr_time_t now,
		    struct lending_ask *out);

/*
 * Applies the grants that answer the asks. Their durations count from sent_at,
 * a time before the request was sent.
 */
void limiter_apply(struct limiter *limiter, apr_time_t sent_at,
		   const struct lending_ask *asks,
		   const struct lending_grant *grants, size_t count);

/* Number of limits with a valid grant above 0. */
size_t limiter_valid(const struct limiter *limiter, apr_time_t now);
/* Number of limits in use. */
size_t limiter_count(const struct limiter *limiter);

#endif
