#include "policy/pace.h"

#include <math.h>

/* Share of an upstream that has started, and the least share of any. */
#define START_LEVEL 0.25
#define MIN_LEVEL   0.05

/* Part of its rate that a VM uses for an upstream that has turned cold. */
#define START_COLD_LEVEL 0.1

/* Factors of the level on a response as expected and on a sign of trouble. */
#define GOOD_FACTOR 1.25
#define BAD_FACTOR  0.5

/*
 * Doublings of the share in the duration of a cold start. From START_LEVEL to
 * 0.9 it takes 1.85 of them, so that the share is reached well within half of
 * that duration after the cold start. With 8, it was reached too late (5.0 s
 * with a cold start of 3 s).
 */
#define DOUBLINGS_PER_PERIOD 10

/* Bounds of the time in which the share doubles. */
#define DOUBLING_MIN_US 100000
#define DOUBLING_MAX_US 2000000

/* Weight of a new sign, and time in which trouble loses two thirds. */
#define TROUBLE_GAIN	 0.2
#define TROUBLE_DECAY_US 8e6

/* Weight of a sign in the trouble of a service, which has many upstreams. */
#define USUAL_GAIN 0.01

/* Trouble from which an upstream is paced that has none, and below which a
 * pace may end. */
#define START_TROUBLE 0.3
#define END_TROUBLE   0.05

/*
 * Least requests per second to a paced upstream, from all VMs together, so that
 * it always gets some.
 */
#define MIN_PER_S 1.0

/* A cold upstream without a stated bound: its VMs, and what they use of the
 * rate that it tolerates. */
#define FIXED_SENDERS	 2
#define FIXED_RATE_SHARE 0.8

/*
 * Part of its rate that a VM uses at most: requests that were sent more than
 * a second apart may arrive within one.
 */
#define RATE_MARGIN 0.93

/* Least part of a VM's rate to a cold upstream. */
#define MIN_COLD_LEVEL 0.1

const char *pace_reason_name(enum pace_reason reason)
{
	static const char *const names[] = {
		[PACE_NONE] = "none",	  [PACE_STARTED] = "started",
		[PACE_COLD] = "cold",	  [PACE_RECOVERED] = "recovered",
		[PACE_SLOW] = "slow",	  [PACE_REFUSED] = "refused",
		[PACE_FAILED] = "failed",
	};

	return names[reason];
}

static double trouble_now(const struct pace *pace, apr_time_t now)
{
	return pace->trouble *
	       exp(-(double)(now - pace->trouble_at) / TROUBLE_DECAY_US);
}

/*
 * The most of its share that an upstream with so much trouble gets. Squared:
 * at half of its share an upstream is refused half as often if it refuses for
 * lack of room, and otherwise each of its refusals costs a second attempt.
 */
static double ceiling(const struct pace *pace, double usual, apr_time_t now)
{
	const double own = trouble_now(pace, now) - usual;
	double most;

	if (own <= END_TROUBLE)
		return 1;
	most = (1 - own) * (1 - own);
	return most > MIN_LEVEL ? most : MIN_LEVEL;
}

static double level_now(const struct pace *pace, double usual, apr_time_t now)
{
	const double most = ceiling(pace, usual, now);
	double level = pace->level;

	if (now > pace->level_at)
		level *= exp2((double)(now - pace->level_at) /
			      (double)pace->doubling);
	return level < most ? level : most;
}

static apr_interval_time_t doubling_of(apr_interval_time_t period)
{
	const apr_interval_time_t doubling = period / DOUBLINGS_PER_PERIOD;

	if (doubling < DOUBLING_MIN_US)
		return DOUBLING_MIN_US;
	return doubling < DOUBLING_MAX_US ? doubling : DOUBLING_MAX_US;
}

void pace_start(struct pace *pace, enum pace_reason reason,
		apr_interval_time_t period, apr_time_t now)
{
	if (pace->reason == PACE_NONE)
		pace->cold_level = START_COLD_LEVEL;
	if (pace->reason == PACE_NONE || pace->level > START_LEVEL)
		pace->level = START_LEVEL;
	if (pace->reason == PACE_NONE)
		pace->started_at = pace->min_at = now;
	pace->reason = reason;
	pace->doubling = doubling_of(period);
	if (pace->level_at < now)
		pace->level_at = now;
}

static enum pace_reason reason_of(enum pace_sign sign)
{
	switch (sign) {
	case PACE_SIGN_SLOW:
		return PACE_SLOW;
	case PACE_SIGN_REFUSED:
		return PACE_REFUSED;
	case PACE_SIGN_COLD:
	case PACE_SIGN_FAILED:
	case PACE_SIGN_GOOD:
		break;
	}
	return PACE_FAILED;
}

static void lower_cold_level(struct pace *pace)
{
	pace->cold_level *= BAD_FACTOR;
	if (pace->cold_level < MIN_COLD_LEVEL)
		pace->cold_level = MIN_COLD_LEVEL;
}

static void step_back(struct pace *pace, enum pace_sign sign, double level,
		      apr_time_t now)
{
	pace->reason = reason_of(sign);
	pace->level = level * BAD_FACTOR;
	if (pace->level < MIN_LEVEL)
		pace->level = MIN_LEVEL;
	/* It rises again when responses to the lower share have come. */
	pace->level_at = now + pace->doubling;
	lower_cold_level(pace);
}

void pace_note(struct pace *pace, enum pace_sign sign, double usual,
	       apr_time_t now)
{
	const bool is_bad = sign != PACE_SIGN_GOOD;
	double level;

	if (sign == PACE_SIGN_COLD) {
		lower_cold_level(pace);
		return;
	}
	if (sign == PACE_SIGN_SLOW && pace->reason == PACE_NONE)
		return;
	pace->trouble = trouble_now(pace, now) * (1 - TROUBLE_GAIN) +
			(is_bad ? TROUBLE_GAIN : 0);
	pace->trouble_at = now;
	if (pace->reason == PACE_NONE) {
		if (!is_bad || pace->trouble - usual < START_TROUBLE)
			return;
		pace->min_at = now;
		pace->doubling = DOUBLING_MAX_US;
		pace->cold_level = 1;
		step_back(pace, sign, 1, now);
		return;
	}
	level = level_now(pace, usual, now);
	if (is_bad) {
		step_back(pace, sign, level, now);
		return;
	}
	pace->cold_level = fmin(1, pace->cold_level * GOOD_FACTOR);
	if (pace->level_at > now)
		return;
	pace->level = fmin(1, level * GOOD_FACTOR);
	pace->level_at = now;
}

double pace_share(struct pace *pace, double usual, apr_time_t now)
{
	double level;

	if (pace->reason == PACE_NONE)
		return 1;
	level = level_now(pace, usual, now);
	if (level >= 1)
		pace->reason = PACE_NONE;
	return level;
}

/* Whether the VM's turn at the minimum rate has come. */
static bool is_min_due(const struct pace *pace, size_t vms, apr_time_t now)
{
	const double interval =
		(double)(vms ? vms : 1) / MIN_PER_S * APR_USEC_PER_SEC;

	return (double)(now - pace->min_at) >= interval;
}

bool pace_allows(struct pace *pace, double draw, size_t vms, double usual,
		 apr_time_t now)
{
	return draw < pace_share(pace, usual, now) ||
	       is_min_due(pace, vms, now);
}

void pace_spend_min(struct pace *pace, double draw, double usual,
		    apr_time_t now)
{
	if (draw >= pace_share(pace, usual, now))
		pace->min_at = now;
}

/* Requests in any second that all VMs may send to a cold upstream. */
static double cold_bound(const struct pace_rules *rules)
{
	/* Whole requests: rounding errors must not lose one. */
	return floor(rules->per_s * rules->overage + rules->slack + 1e-9);
}

/* VMs that may send, at one request a second or more each. */
static double cold_senders(const struct pace_rules *rules, double bound)
{
	return fmin(bound, rules->vms ? (double)rules->vms : 1);
}

double pace_cold_rate(const struct pace_rules *rules)
{
	const double bound = cold_bound(rules);
	const double senders = cold_senders(rules, bound);

	if (rules->overage <= 0)
		return rules->ahead < FIXED_SENDERS
			       ? FIXED_RATE_SHARE * rules->per_s / FIXED_SENDERS
			       : 0;
	if (!rules->is_settled)
		return 0;
	/* One request at a time is the least that a bound can mean. */
	if (bound < 1)
		return rules->ahead
			       ? 0
			       : RATE_MARGIN * (rules->per_s * rules->overage +
						rules->slack);
	if ((double)rules->ahead >= senders)
		return 0;
	return RATE_MARGIN * floor(bound / senders);
}

/* Part of its rate to a cold upstream that this VM uses. */
static double cold_part(const struct pace *pace, const struct pace_rules *rules)
{
	const double bound = cold_bound(rules);
	double least = MIN_COLD_LEVEL;

	if (rules->overage <= 0)
		return 1;
	if (bound * least < MIN_PER_S)
		least = bound > MIN_PER_S ? MIN_PER_S / bound : 1;
	return fmax(pace->cold_level, least);
}

/*
 * Level of the bucket that fills from the start of the pace on. The VMs start
 * at different levels, so that the first requests come one after the other.
 */
static double first_tokens(const struct pace *pace,
			   const struct pace_rules *rules, double rate,
			   apr_time_t now)
{
	const double senders = cold_senders(rules, cold_bound(rules));

	if (rules->overage <= 0 || senders < 1)
		return 1;
	return 1 - (double)rules->ahead / senders +
	       rate * (double)(now - pace->started_at) / APR_USEC_PER_SEC;
}

/*
 * Level of the token bucket, at most 1. Its part of the rate falls with the
 * upstream's responses, so that the bound holds whatever they are.
 */
static double cold_tokens(const struct pace *pace,
			  const struct pace_rules *rules, apr_time_t now)
{
	const double rate = cold_part(pace, rules) * pace_cold_rate(rules);
	const double filled =
		pace->tokens +
		rate * (double)(now - pace->tokens_at) / APR_USEC_PER_SEC;

	return fmin(1, fmin(filled, first_tokens(pace, rules, rate, now)));
}

bool pace_allows_cold(const struct pace *pace, const struct pace_rules *rules,
		      apr_time_t now)
{
	return pace_cold_rate(rules) > 0 && cold_tokens(pace, rules, now) >= 1;
}

void pace_spend_cold(struct pace *pace, const struct pace_rules *rules,
		     apr_time_t now)
{
	pace->tokens = cold_tokens(pace, rules, now) - 1;
	pace->tokens_at = now;
}

void pace_note_usual(double *usual, enum pace_sign sign)
{
	if (sign == PACE_SIGN_COLD)
		return;
	*usual += USUAL_GAIN * ((sign != PACE_SIGN_GOOD) - *usual);
}
