#include "policy/adm.h"

/*
 * Load over slots up to which a late request is sent. It is above 1, since an
 * upstream that ends a run while none waits is idle for a way there and back,
 * and since an answer that is late by part of a run is of use still.
 */
#define LATE_LOAD 1.6

/* Load over slots up to which a request that yields is sent. */
#define YIELD_LOAD 0.75

/*
 * Where no warm run can be in time, for the distance: times over the least
 * time up to which a request counts as in time.
 */
#define FAR_TIMES 2

bool adm_is_late(const struct adm_ask *ask)
{
	const apr_interval_time_t aim =
		ask->least > ask->aim ? FAR_TIMES * ask->least : ask->aim;

	return ask->aim > 0 && ask->waited + ask->expected > aim;
}

enum adm_verdict adm_decide(const struct adm_ask *ask,
			    apr_interval_time_t *back)
{
	enum adm_verdict verdict = ADM_SEND;
	double limit = 0;

	*back = 0;
	if (ask->yields) {
		verdict = ADM_YIELD;
		limit = YIELD_LOAD * ask->slots;
	} else if (adm_is_late(ask)) {
		verdict = ADM_LATE;
		limit = LATE_LOAD * ask->slots;
	}
	if (verdict == ADM_SEND || ask->load < limit)
		return ADM_SEND;
	*back = (apr_interval_time_t)((ask->load - limit) * (double)ask->turn);
	return verdict;
}

enum adm_verdict adm_request(struct rnk *ranks,
			     const struct adm_request *request, apr_time_t now,
			     apr_interval_time_t *back)
{
	const struct rtm_route *route = request->route;
	const struct plc_pick *pick = request->pick;
	const struct adm_ask ask = {
		.aim = route->aim,
		.waited = request->waited,
		.expected = pick->expected,
		.least = pick->least,
		.load = pick->load,
		.slots = pick->up->slots ? pick->up->slots : 1,
		.turn = pick->turn,
		.yields = rnk_yields(ranks, route->rank),
	};

	if (!request->again)
		rnk_note_request(ranks, route->rank, adm_is_late(&ask), now);
	return adm_decide(&ask, back);
}
