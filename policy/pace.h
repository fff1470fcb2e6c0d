/*
 * The pace of an upstream that has started, returned or turned cold: which
 * part of its share of the requests a VM sends to it, and at which rate while
 * it is cold. Pure functions of signs and `now`; a struct pace per upstream
 * incarnation and VM.
 *
 * Designed for: 33 to 300 VMs, of which each sends to any one of 234 upstreams
 * less than once a second. A VM sees few responses of one upstream, so the
 * share also rises with time while there are no signs of trouble, and VMs that
 * have seen nothing choose the same objects for it.
 */
#ifndef POLICY_PACE_H
#define POLICY_PACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <apr_time.h>

/* Why the pace is what it is. */
enum pace_reason {
	/* Not paced: it gets its full share. */
	PACE_NONE,
	/* It has started or returned. */
	PACE_STARTED,
	/* It has stated that it is cold. */
	PACE_COLD,
	/* It has recovered from failures, and may have restarted. */
	PACE_RECOVERED,
	/* Its responses are slower than expected. */
	PACE_SLOW,
	/* It refused requests though it had room. */
	PACE_REFUSED,
	/* Requests to it failed. */
	PACE_FAILED,
};

const char *pace_reason_name(enum pace_reason reason);

/* What a response, or its absence, says of the upstream. */
enum pace_sign {
	PACE_SIGN_GOOD,
	PACE_SIGN_SLOW,
	PACE_SIGN_REFUSED,
	PACE_SIGN_FAILED,
	/* Slow, or refused, while it was cold: only its cold rate is high. */
	PACE_SIGN_COLD,
};

/* Zeroed memory is an upstream that is not paced. */
struct pace {
	enum pace_reason reason;
	/* Part of its share at level_at, from which on it may rise. */
	double level;
	apr_time_t level_at;
	/* Time in which the level doubles while nothing speaks against it. */
	apr_interval_time_t doubling;
	/* Smoothed fraction of signs of trouble. */
	double trouble;
	apr_time_t trouble_at;
	/* Start of the pace. */
	apr_time_t started_at;
	/* Level of the token bucket while it is cold, at tokens_at. */
	double tokens;
	apr_time_t tokens_at;
	/* Part of the bucket's rate that is used, by the responses. */
	double cold_level;
	/* Last request at the minimum rate. */
	apr_time_t min_at;
};

/* What bounds the requests to a cold upstream. */
struct pace_rules {
	/* Requests per second that it tolerates. */
	double per_s;
	/*
	 * All VMs together may send per_s x overage + slack requests in any
	 * second. overage 0: no such bound is stated, and two VMs share a fixed
	 * rate below per_s.
	 */
	double overage;
	double slack;
	/*
	 * VMs of the list that all VMs know, and how many VMs come before this
	 * one, by that list or the current one, whichever has more.
	 */
	size_t vms;
	size_t ahead;
	/* This VM is in that list, and its own list is current. */
	bool is_settled;
};

/*
 * Starts the pace, or keeps a lower one. period is the duration of the cold
 * start, over which the share is to be reached.
 */
void pace_start(struct pace *pace, enum pace_reason reason,
		apr_interval_time_t period, apr_time_t now);

/*
 * Records a sign; usual is the smoothed fraction of trouble over all upstreams
 * of the service, which is not this one's. Frequent refusals or failures start
 * the pace of an upstream that has none.
 */
void pace_note(struct pace *pace, enum pace_sign sign, double usual,
	       apr_time_t now);

/* The share of its requests, 1 if it is not paced; ends a pace that is over. */
double pace_share(struct pace *pace, double usual, apr_time_t now);

/*
 * Whether a request may go to an upstream that is not cold. draw is from
 * [0, 1), the same for the same object on all VMs; vms the number of VMs.
 */
bool pace_allows(struct pace *pace, double draw, size_t vms, double usual,
		 apr_time_t now);

/* Records that a request was sent that pace_allows() at the minimum rate. */
void pace_spend_min(struct pace *pace, double draw, double usual,
		    apr_time_t now);

/* Most requests per second of this VM to a cold upstream; 0: none. */
double pace_cold_rate(const struct pace_rules *rules);

/* Whether this VM may send a request to the cold upstream now. */
bool pace_allows_cold(const struct pace *pace, const struct pace_rules *rules,
		      apr_time_t now);

/* Records that a request was sent to the cold upstream. */
void pace_spend_cold(struct pace *pace, const struct pace_rules *rules,
		     apr_time_t now);

/* Adds a sign to the smoothed trouble of a service. */
void pace_note_usual(double *usual, enum pace_sign sign);

#endif
