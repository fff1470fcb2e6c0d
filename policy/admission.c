#include "policy/admission.h"

#include <math.h>

/*
 * Ratio of load to slots below which a late request is sent. It is above 1,
 * since an upstream with an empty queue is idle for a round trip after a run
 * ends, and since an answer that is late by part of a run is still useful.
 */
#define LATE_LOAD_LIMIT 1.6

/*
 * Ratio of load to slots below which a request is sent that yields or is over
 * its tenant's share.
 */
#define YIELD_LOAD_LIMIT 0.75

/*
 * Replaces the latency target where even a warm, idle upstream is too far
 * away to meet it: a multiple of the best-case time.
 */
#define UNREACHABLE_TARGET_FACTOR 2

bool admission_is_late(const struct admission_input *in)
{
	const apr_interval_time_t target =
		in->best_case > in->latency_target
			? UNREACHABLE_TARGET_FACTOR * in->best_case
			: in->latency_target;

	return in->latency_target > 0 && in->waited + in->expected > target;
}

enum admission_verdict admission_decide(const struct admission_input *in,
					apr_interval_time_t *retry_after)
{
	enum admission_verdict verdict = ADMISSION_SEND;
	double limit = 0;

	*retry_after = 0;
	if (in->must_yield) {
		verdict = ADMISSION_YIELD;
		limit = YIELD_LOAD_LIMIT * in->slots;
	} else if (in->is_over_share) {
		verdict = ADMISSION_OVER_SHARE;
		limit = YIELD_LOAD_LIMIT * in->free_factor * in->slots;
	} else if (admission_is_late(in)) {
		verdict = ADMISSION_LATE;
		limit = LATE_LOAD_LIMIT * in->slots;
	}
	if (verdict == ADMISSION_SEND || in->load < limit)
		return ADMISSION_SEND;
	*retry_after = (apr_interval_time_t)((in->load - limit) *
					     (double)in->queue_step);
	return verdict;
}

/* Counts the request for its tenant and compares its use with its share. */
static struct fairshare_use note_tenant(const struct rankstats *ranks,
					const struct admission_request *request,
					const struct fairshare_request *share,
					apr_time_t now)
{
	struct fairshare_use use = {.level = INFINITY};

	if (request->shares && !request->is_retry) {
		fairshare_note_request(request->shares, share, now);
		use = fairshare_judge(request->shares, share,
				      rankstats_late(ranks, request->rank),
				      now);
	}
	if (request->use && !request->is_retry)
		*request->use = use;
	return use;
}

enum admission_verdict
admission_request(struct rankstats *ranks,
		  const struct admission_request *request, apr_time_t now,
		  apr_interval_time_t *retry_after)
{
	const struct routing_route *route = request->route;
	const struct placement_pick *pick = request->pick;
	struct admission_input in = {
		.latency_target = route->target_latency,
		.waited = request->waited,
		.expected = pick->expected,
		.best_case = pick->best_case,
		.load = pick->load,
		.slots = pick->up->slots ? pick->up->slots : 1,
		.queue_step = pick->queue_step,
		.must_yield = rankstats_yields(ranks, request->rank),
	};
	const struct fairshare_request share = {
		.tenant = request->tenant,
		.rank = request->rank,
		.slot_time = in.slots * (double)pick->queue_step,
	};
	enum admission_verdict verdict;
	struct fairshare_use use;
	apr_interval_time_t in_share;

	if (!request->is_retry)
		rankstats_note_request(ranks, request->rank,
				       admission_is_late(&in), now);
	use = note_tenant(ranks, request, &share, now);
	in.is_over_share = use.is_over;
	in.free_factor = use.free_factor;
	verdict = admission_decide(&in, retry_after);
	if (verdict == ADMISSION_OVER_SHARE) {
		in_share = fairshare_reserve_retry(request->shares, &share,
						   &use, now);
		if (in_share > *retry_after)
			*retry_after = in_share;
	} else if (verdict == ADMISSION_SEND && request->shares &&
		   !request->is_retry) {
		fairshare_note_admitted(request->shares, &share, now);
	}
	return verdict;
}
